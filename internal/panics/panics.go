// Package panics turns panics into errors, so that a fault in the handling of one
// message, object or answer does not end the process.
package panics

import (
	"fmt"
	"log/slog"
	"runtime/debug"
)

// maxStackBytes bounds the stack that an Error keeps.
const maxStackBytes = 4 << 10

// Error is a recovered panic.
type Error struct {
	Value any
	Stack string
}

// New returns the error for a recovered value. Call it where that is recovered.
func New(value any) *Error {
	stack := debug.Stack()
	return &Error{Value: value, Stack: string(stack[:min(len(stack), maxStackBytes)])}
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("panic: %v", e.Value) }

// Catch calls fn and returns its panic as an *Error.
func Catch[T any](fn func() (T, error)) (out T, err error) {
	defer func() {
		if value := recover(); value != nil {
			err = New(value)
		}
	}()
	return fn()
}

// Log calls fn, which must release its locks by defer, and logs its panic with the event
// and the attributes. It reports false then.
func Log(log *slog.Logger, event, step string, fn func(), attributes ...any) bool {
	_, err := Catch(func() (struct{}, error) {
		fn()
		return struct{}{}, nil
	})
	if err == nil {
		return true
	}
	panicked := err.(*Error)
	log.Error("panic recovered", append([]any{"event", event, "step", step, "panic", panicked.Value, "stack", panicked.Stack}, attributes...)...)
	return false
}
