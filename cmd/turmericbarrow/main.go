// Command turmericbarrow runs the processes of the dispatcher and the commands for its
// operators.
package main

import (
	"os"

	"github.com/turmericbarrow/turmericbarrow/pkg/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
