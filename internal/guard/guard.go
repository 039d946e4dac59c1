// Package guard keeps an unexpected panic from ending the process.
package guard

import (
	"runtime/debug"

	"github.com/juju/errors"
)

// maxStackBytes bounds the part of a stack trace that an error contains.
const maxStackBytes = 2 << 10

// Call runs f and returns its error. If f panics, Call returns an error with the step, the
// cause and the stack. Runtime failures that Go cannot recover from, such as a stack
// overflow, still end the process.
func Call(step string, f func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			stack := debug.Stack()
			err = errors.Errorf("%s: panic: %v\n%s", step, cause, stack[:min(len(stack), maxStackBytes)])
		}
	}()
	return f()
}

// Run is Call for a function without an error.
func Run(step string, f func()) error {
	return Call(step, func() error {
		f()
		return nil
	})
}
