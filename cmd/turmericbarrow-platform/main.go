// Command turmericbarrow-platform runs the processes of the dispatcher on the users'
// platform. It imports "C" because the platform requires programs that are linked against
// the C library.
package main

import "C"

import "github.com/turmericbarrow/turmericbarrow/platform"

func main() {
	platform.Execute()
}
