// Package limiter applies each workspace's rate and burst over all hosts
// together. It drives core/limit and borrows tokens from other hosts.
package limiter

import (
	"fmt"
	"time"
)

// Class separates online requests, which may be refused, from batch items,
// which are only paced.
type Class int

// Classes of admission.
const (
	Online Class = iota
	Batch
)

// RefusedError is returned when no token could be had within the bounded wait.
type RefusedError struct {
	Workspace  string
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("workspace %s: rate exceeded, retry after %s", e.Workspace, e.RetryAfter)
}
