// Package bulk accepts jobs of many items, runs the items as streams at backend
// servers in slots that online requests leave free, and lists the results: it
// appends them to the job's result list, in which their positions never change.
// All persistent state is in the store: payload objects with the items' bodies,
// a head for each job, and segments of the result list. Any host serves calls for
// any job; one host at a time, its owner, runs it.
package bulk

import (
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/itemlist"
)

// Item is one item as submitted.
type Item struct {
	ID     string            `json:"id"`
	Path   string            `json:"path"` // with the query
	Header map[string]string `json:"headers"`
	Body   []byte            `json:"body"`
	Tokens float64           `json:"tokens"` // estimated cost
}

// Submission is a job as submitted.
type Submission struct {
	ID        string
	Workspace string
	Route     string
	Host      string // Host header of the items' requests
	Items     []Item
	Deadline  time.Time // when the caller gives up, zero if that is not known
}

// MaxItems is the largest number of items in a job.
const MaxItems = 200

// CheckItems validates the items. Paths must not contain white space, with which
// a second request could be smuggled to a server.
func (s *Submission) CheckItems() error {
	if len(s.Items) == 0 || len(s.Items) > MaxItems {
		return errors.Newf("%d items; a job has 1 to %d", len(s.Items), MaxItems)
	}
	seen := map[string]bool{}
	for _, item := range s.Items {
		if item.ID == "" || seen[item.ID] {
			return errors.Newf("item id %q is empty or stands twice", item.ID)
		}
		seen[item.ID] = true
		if _, err := url.ParseRequestURI(item.Path); err != nil || strings.ContainsAny(item.Path, " \r\n\t") {
			return errors.Newf("item %s: path %q is not usable", item.ID, item.Path)
		}
	}
	return nil
}

// Head is a job's metadata, an object in a collection that every host copies. It
// must therefore stay small.
type Head struct {
	Workspace string   `json:"workspace"`
	Route     string   `json:"route"`
	Host      string   `json:"host"`
	Owner     string   `json:"owner"`              // name of the host that accepted the job, kept after a takeover
	Accepted  int64    `json:"accepted"`           // Unix ms on that host's clock
	Items     []string `json:"items"`              // ids
	Parts     int      `json:"parts"`              // number of payload objects
	Ended     bool     `json:"ended,omitempty"`    // by the caller
	Done      bool     `json:"done,omitempty"`     // all items are listed
	Segments  int      `json:"segments,omitempty"` // number of segments, set with Done
}

// payload is the content of one payload object.
type payload struct {
	Items []Item `json:"items"`
}

// Page is a part of a job's result list.
type Page struct {
	Total   int               `json:"total"`
	Results []itemlist.Result `json:"results"`
	Next    int               `json:"next"` // position after the last result
}

// Errors for callers. Test for them with errors.Is.
var (
	// ErrNoJob reports that the workspace certainly has no such job.
	ErrNoJob = errors.New("no such job")
	// ErrNoItem reports an item that is unknown, already listed, or of an ended job.
	ErrNoItem = errors.New("no such item")
	// ErrStoreUnavailable reports that the store is unavailable and that the call
	// had no effect.
	ErrStoreUnavailable = errors.New("store unavailable")
	// ErrUnknownOutcome reports that a write may have taken effect.
	ErrUnknownOutcome = errors.New("outcome of the store write is unknown")
	// ErrTooManyJobs reports that this host's limit of unfinished items is reached.
	ErrTooManyJobs = errors.New("too many jobs are open")
)

// ItemCodec builds the requests of items.
type ItemCodec interface {
	// ItemHeader returns the header of an item's request to a server. With resume
	// set, the server continues the stream after the event with id after.
	ItemHeader(item *Item, workspace, instance string, left time.Duration, resume bool, after int64) http.Header
	// OutputTokens returns the submitter's estimate of the length of an item's output, 0
	// without one.
	OutputTokens(item *Item) float64
}
