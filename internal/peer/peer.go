// Package peer carries calls between hosts as JSON-RPC 2.0 over TCP, with
// mutual TLS or a shared secret.
package peer

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// HostID is a host's name from its settings, unique in the fleet.
type HostID string

// Errors of Call. Test for them with errors.Is.
var (
	// ErrPeerUnreachable reports that nothing was sent to the peer.
	ErrPeerUnreachable = errors.New("peer unreachable")
	// ErrNoResponse reports that the call was sent and may have run.
	ErrNoResponse = errors.New("no response from peer")
)

// HandlerFunc serves one method. from is the authenticated caller.
type HandlerFunc func(ctx context.Context, from HostID, params json.RawMessage) (any, error)

// Caller calls methods of other hosts and serves their calls.
type Caller interface {
	// Call runs a method at the host. It fails with ErrPeerUnreachable,
	// ErrNoResponse, or the error that the peer's handler returned.
	Call(ctx context.Context, to HostID, method string, params, result any) error
	// Handle registers the handler of a method. Register before Start.
	Handle(method string, fn HandlerFunc)
}
