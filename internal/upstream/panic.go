package upstream

import (
	"fmt"
	"runtime/debug"
)

// maxStackBytes bounds the stack that a PanicError keeps.
const maxStackBytes = 4 << 10

// PanicError is a panic while a request was sent or its response was read. It says
// nothing about the server, which may have run the request.
type PanicError struct {
	Value any
	Stack string
}

// NewPanicError returns the error for a recovered value. Call it where that is
// recovered.
func NewPanicError(value any) *PanicError {
	stack := debug.Stack()
	return &PanicError{Value: value, Stack: string(stack[:min(len(stack), maxStackBytes)])}
}

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v", e.Value) }
