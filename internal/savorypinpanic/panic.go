// Package savorypinpanic limits the effect of a panic to the unit of work in which it
// happened: one message, one request or one iteration of a loop.
package savorypinpanic

import (
	"fmt"
	"runtime/debug"
)

// PanicError is a recovered panic.
type PanicError struct {
	// Stack is the stack trace of the goroutine that panicked, for the log.
	Stack []byte
	// Value is the value passed to panic.
	Value any
}

// Error returns the panic value only: errors may be sent to peers, which must not see
// the stack.
func (e *PanicError) Error() string {
	return fmt.Sprintf("panic: %v", e.Value)
}

// Recover calls f and returns its error, or a *PanicError if f panics.
func Recover(f func() error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = &PanicError{Stack: debug.Stack(), Value: value}
		}
	}()
	return f()
}
