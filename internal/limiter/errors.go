package limiter

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrUnknownWorkspace is returned by Acquire for a workspace that is not configured.
var ErrUnknownWorkspace = errors.New("unknown workspace")

// RefusedError is returned when a request got no tokens within its maximum
// wait.
type RefusedError struct {
	Workspace  string
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("workspace %s: rate exceeded, retry after %s", e.Workspace, e.RetryAfter)
}
