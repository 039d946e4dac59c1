// Command turmericbarrow is the dispatcher: its processes and its operators' tool.
package main

import (
	"os"

	"github.com/turmericbarrow/turmericbarrow/pkg/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
