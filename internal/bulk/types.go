// Package bulk accepts jobs of many items, runs the items as streams at
// backend servers when online requests leave places, and lists their results
// at fixed positions. All that must last is in the store: the items' bodies in
// payload objects, a head per job, and segments of results. Any host answers
// for any job; one host at a time runs it.
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
	Path   string            `json:"path"` // path and query at the server
	Header map[string]string `json:"headers"`
	Body   []byte            `json:"body"`
	Tokens float64           `json:"tokens"` // estimated work
}

// Submission is a job as submitted.
type Submission struct {
	ID        string
	Workspace string
	Route     string
	Host      string // host header for the items' requests
	Items     []Item
}

// MaxItems is the most items of one job.
const MaxItems = 200

// CheckItems returns what is wrong with the items, or nil. A path must not
// smuggle a second request to a server.
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

// Head is a job's object in the fleet's collection. It is small, because every
// host holds a copy.
type Head struct {
	Workspace string   `json:"workspace"`
	Route     string   `json:"route"`
	Host      string   `json:"host"`
	Owner     string   `json:"owner"`    // name of the host that accepted the job
	Accepted  int64    `json:"accepted"` // Unix ms, by the clock of that host
	Items     []string `json:"items"`
	Parts     int      `json:"parts"` // payload objects
	Ended     bool     `json:"ended,omitempty"`
	Done      bool     `json:"done,omitempty"`     // all items are listed
	Segments  int      `json:"segments,omitempty"` // when Done
}

// payload is one part of the items' bodies.
type payload struct {
	Items []Item `json:"items"`
}

// Page is an answer to a reader of results.
type Page struct {
	Total   int               `json:"total"`
	Results []itemlist.Result `json:"results"`
	Next    int               `json:"next"`
}

// Errors for callers. Test for them with errors.Is.
var (
	// ErrNoJob reports a job that certainly does not exist for the workspace.
	ErrNoJob = errors.New("no such job")
	// ErrNoItem reports an item that is unknown, listed already, or of an ended job.
	ErrNoItem = errors.New("no such item")
	// ErrUnsure reports that this host cannot tell now; nothing was done.
	ErrUnsure = errors.New("the store does not answer")
	// ErrUnknownOutcome reports that a write may have taken effect.
	ErrUnknownOutcome = errors.New("the store's answer was lost")
	// ErrTooMany reports that this host holds as much unfinished work as it may.
	ErrTooMany = errors.New("too many jobs are open")
)

// ItemCodec builds the requests of items and reads their answers.
type ItemCodec interface {
	// ItemHeader returns the header of an item's request to a server.
	ItemHeader(item *Item, workspace, instance string, left time.Duration, resume bool, after int64) http.Header
}
