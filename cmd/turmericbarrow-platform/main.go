// Command turmericbarrow-platform is the dispatcher's processes on the users'
// platform, which asks for programs that are linked against the C library.
package main

import "C"

import "github.com/turmericbarrow/turmericbarrow/platform"

func main() {
	platform.Execute()
}
