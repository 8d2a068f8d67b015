// Package store is the client side of the platform's object API, which holds the
// only durable state that hosts share. It defines the Store interface, an HTTP
// client for it, and Update, which performs conditional updates also when
// responses are lost. The in-memory fake is in storetest.
package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// AnyVersion makes Put or Delete unconditional.
const AnyVersion int64 = -1

// MaxValueBytes is the largest value the platform stores, in bytes.
const MaxValueBytes = 1 << 20

// Errors returned by Store. Test for them with errors.Is.
var (
	// ErrNotFound reports that the key does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict reports that the object's version is not the expected one.
	ErrConflict = errors.New("object version conflict")
	// ErrUnavailable reports that the call failed and was not applied.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrUnknownOutcome reports a lost response: the call may have been applied.
	ErrUnknownOutcome = errors.New("platform answer lost")
	// ErrTooLarge reports a value above MaxValueBytes.
	ErrTooLarge = errors.New("object value too large")
	// ErrHistoryGone reports that the store no longer has the events since the
	// version a watch starts from; the caller must list again.
	ErrHistoryGone = errors.New("store history is gone")
	// ErrRateLimited reports that the platform's call rate is exhausted; the call was not applied.
	ErrRateLimited = errors.New("platform rate limit")
)

// Object is one stored value. Versions come from one counter of the whole
// store, so of two objects the one with the larger version was written later.
type Object struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
}

// Page is one page of a listing in key order. Next is the key to pass as
// after for the next page, or empty on the last page. Version is the store's
// version when the page was read; a watch from the first page's version
// misses no change.
type Page struct {
	Objects []Object `json:"objects"`
	Next    string   `json:"next"`
	Version int64    `json:"version"`
}

// Event is one change seen by a watch.
type Event struct {
	Object
	Deleted bool `json:"deleted"`
}

// WatchResult holds the events later than the requested version, possibly
// none, and the version from which to continue.
type WatchResult struct {
	Version int64   `json:"version"`
	Events  []Event `json:"events"`
}

// HostEntry is an entry of the platform's list of hosts and backend servers,
// which lags behind the actual state.
type HostEntry struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Kind    string `json:"kind"`  // host or server
	State   string `json:"state"` // live or leaving
}

// Store is the platform's object API.
type Store interface {
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// GetStale is a cheaper Get that may return an older state: a value that was
	// replaced since, or ErrNotFound for a key that was just created.
	GetStale(ctx context.Context, key string) (Object, error)
	// List returns up to limit objects with the prefix and a key after the given one.
	List(ctx context.Context, prefix, after string, limit int) (Page, error)
	// Put writes the value if the object has version ifVersion; 0 creates
	// only, AnyVersion overwrites. It returns the object as stored. On
	// ErrConflict it returns the current object if the store includes it.
	Put(ctx context.Context, key string, value []byte, ifVersion int64) (Object, error)
	// Delete removes the object if it has version ifVersion or ifVersion is AnyVersion.
	Delete(ctx context.Context, key string, ifVersion int64) error
	// Watch waits for events with the prefix later than from, for at most wait
	// (0 means the store's default), after which it returns an empty set. It
	// fails with ErrHistoryGone when the store no longer has the events.
	Watch(ctx context.Context, prefix string, from int64, wait time.Duration) (WatchResult, error)
	// Hosts returns the platform's list of live and leaving hosts and servers.
	Hosts(ctx context.Context) ([]HostEntry, error)
}
