// Package admin serves the operators' API below /admin/v1/: the table of
// workspaces, keys, routes, backend servers, history, status, events and
// orders. Every write of the configuration is one conditional update.
package admin

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"ragwortstep/internal/core/config"
	"ragwortstep/internal/events"
	"ragwortstep/internal/orders"
)

// ConfigSource returns the configuration in force at this host; fleet.Service
// implements it.
type ConfigSource interface {
	Config() *config.Snapshot
}

// ConfigWriter changes the configuration by one conditional update.
type ConfigWriter interface {
	// Write applies mutate to the snapshot at expectedRevision and returns the
	// new snapshot. If the configuration has another revision, it changes
	// nothing and returns an error that wraps *ConflictError. An error of mutate
	// is returned, possibly wrapped.
	Write(ctx context.Context, expectedRevision int64, author, note string, mutate func(*config.Snapshot) error) (*config.Snapshot, error)
	// History returns the latest changes, newest first.
	History(ctx context.Context, limit int) ([]config.Change, error)
}

// ConflictError reports that the configuration is not at the expected revision.
type ConflictError struct {
	Expected int64
	Current  int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("configuration is at revision %d, not %d", e.Current, e.Expected)
}

// HostStatus is the status of one host of the fleet as seen by this host.
type HostStatus struct {
	Host        string `json:"host"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation,omitempty"`
	// AdminAddress is the address of the host's administration API, used by the
	// timeline command; empty when unknown.
	AdminAddress string `json:"admin_address,omitempty"`
	Alive        bool   `json:"alive"`
	Leaving      bool   `json:"leaving"`
	Revision     int64  `json:"revision"` // configuration in force at the host
	Epoch        uint64 `json:"epoch"`
	LeaseHeld    bool   `json:"lease_held"`
	// LeaseLeftMS is the remaining time of the freshness lease in milliseconds.
	// It is known only for the responding host and 0 for others.
	LeaseLeftMS int64 `json:"lease_left_ms"`
}

// StatusSource lists the hosts of the fleet in order of their names; *StatusCollector
// implements it.
type StatusSource interface {
	Status() []HostStatus
}

// EventSource returns the events of this host; *events.Recorder implements it.
type EventSource interface {
	EventsAfter(seq uint64, limit int) []events.Event
}

// OrderService stores the desired state of the engines; *orders.Desired
// implements it.
type OrderService interface {
	List(ctx context.Context) ([]orders.Entry, error)
	Set(ctx context.Context, order orders.Order) (orders.Entry, error)
	Remove(ctx context.Context, server, slot string) error
}

// Options configures the handler. Config, Writer, Status and OperatorKey are required.
type Options struct {
	Config ConfigSource
	Writer ConfigWriter
	Status StatusSource
	Events EventSource  // /events responds with 404 when nil
	Orders OrderService // /orders responds with 404 when nil

	// OperatorKey is the operator key from the setting admin.key. Further
	// operator keys are Keys of the configuration with Operator set.
	OperatorKey string
	Recorder    *events.Recorder // records changes for the timeline; may be nil
	Logger      *slog.Logger     // slog.Default when nil
	Random      io.Reader        // random source of new keys; crypto/rand when nil
	Now         func() time.Time // time.Now when nil
	MaxBody     int64            // largest JSON body in bytes; 1 MiB when 0
}

const (
	defaultMaxBody = 1 << 20
	// maxWait bounds ?wait=. At full fleet size a configuration is in force at all
	// hosts within 9 s.
	maxWait = 30 * time.Second
	// statusPollInterval is how often a write with ?wait= reads the status of the hosts.
	statusPollInterval = 20 * time.Millisecond
)

// server implements the handlers.
type server struct {
	Options
	keys atomic.Pointer[keyCache]
}

// New returns the handler of the operators' API. It panics when a required
// option is missing, so that the process fails at its start and not at the first
// request.
func New(o Options) http.Handler {
	if o.Config == nil || o.Writer == nil || o.Status == nil || o.OperatorKey == "" {
		panic("admin: Config, Writer, Status and OperatorKey are required")
	}
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	if o.Random == nil {
		o.Random = rand.Reader
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.MaxBody == 0 {
		o.MaxBody = defaultMaxBody
	}
	o.Config = configOrEmpty{o.Config}
	s := &server{Options: o}
	mux := http.NewServeMux()
	for _, r := range s.routes() {
		mux.Handle(r.method+" "+r.pattern, s.authenticate(r.handler))
	}
	mux.Handle("/", s.authenticate(s.handleUnmatched(mux)))
	return mux
}

// configOrEmpty returns an empty configuration until the fleet has one, so that
// the status can be read while a host starts.
type configOrEmpty struct{ ConfigSource }

// Config implements ConfigSource.
func (c configOrEmpty) Config() *config.Snapshot {
	if s := c.ConfigSource.Config(); s != nil {
		return s
	}
	return config.EmptySnapshot()
}

// route is one method and pattern of the API.
type route struct {
	method  string
	pattern string
	handler handlerFunc
}

// handlerFunc serves one request of an authenticated operator. A returned error
// is sent as JSON.
type handlerFunc func(w http.ResponseWriter, r *http.Request, op operator) error

// Prefix is the path prefix of the API.
const Prefix = "/admin/v1"

// routes lists all operations of the API. openapi.json describes the same ones.
func (s *server) routes() []route {
	return []route{
		{"GET", Prefix + "/table", s.getTable},
		{"PUT", Prefix + "/table", s.putTable},
		{"GET", Prefix + "/workspaces", s.listWorkspaces},
		{"GET", Prefix + "/workspaces/{name}", s.getWorkspace},
		{"PUT", Prefix + "/workspaces/{name}", s.putWorkspace},
		{"DELETE", Prefix + "/workspaces/{name}", s.deleteWorkspace},
		{"GET", Prefix + "/workspaces/{name}/keys", s.listWorkspaceKeys},
		{"POST", Prefix + "/workspaces/{name}/keys", s.createKey},
		{"GET", Prefix + "/keys", s.listKeys},
		{"DELETE", Prefix + "/keys/{id}", s.deleteKey},
		{"GET", Prefix + "/operators", s.listOperators},
		{"POST", Prefix + "/operators", s.createOperator},
		{"GET", Prefix + "/routes", s.listRoutes},
		{"GET", Prefix + "/routes/{name}", s.getRoute},
		{"PUT", Prefix + "/routes/{name}", s.putRoute},
		{"DELETE", Prefix + "/routes/{name}", s.deleteRoute},
		{"GET", Prefix + "/servers", s.listServers},
		{"GET", Prefix + "/servers/{name}", s.getServer},
		{"PUT", Prefix + "/servers/{name}", s.putServer},
		{"DELETE", Prefix + "/servers/{name}", s.deleteServer},
		{"POST", Prefix + "/servers/{name}/leave", s.leaveServer},
		{"GET", Prefix + "/config", s.getConfig},
		{"GET", Prefix + "/history", s.getHistory},
		{"GET", Prefix + "/status", s.getStatus},
		{"GET", Prefix + "/events", s.getEvents},
		{"GET", Prefix + "/orders", s.listOrders},
		{"POST", Prefix + "/orders", s.postOrder},
		{"DELETE", Prefix + "/orders/{server}/{slot}", s.deleteOrder},
		{"GET", Prefix + "/openapi.json", s.getOpenAPI},
	}
}
