// Package admin serves the operators' API below /admin/v1/: the table of
// workspaces, keys, routes, backend servers, history, status, events and
// orders. Every write is one conditional update of the configuration.
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

// ConfigSource returns the configuration in force at this host. fleet.Service
// implements it.
type ConfigSource interface {
	Config() *config.Snapshot
}

// ConfigWriter changes the configuration by one conditional update.
type ConfigWriter interface {
	// Write applies mutate to the snapshot at expectedRevision and returns the
	// new one. When the configuration has another revision it returns an error
	// that wraps *ConflictError and changes nothing. An error of mutate is
	// returned as is, or wrapped.
	Write(ctx context.Context, expectedRevision int64, author, note string, mutate func(*config.Snapshot) error) (*config.Snapshot, error)
	// History returns the latest changes, newest first.
	History(ctx context.Context, limit int) ([]config.Change, error)
}

// ConflictError reports that the configuration was changed by somebody else.
type ConflictError struct {
	Expected int64
	Current  int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("configuration is at revision %d, not %d", e.Current, e.Expected)
}

// HostStatus is what this host knows of one host of the fleet.
type HostStatus struct {
	Host        string `json:"host"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation,omitempty"`
	// AdminAddress is the host's operators' address, for the timeline; empty when unknown.
	AdminAddress string `json:"admin_address,omitempty"`
	Alive        bool   `json:"alive"`
	Leaving      bool   `json:"leaving"`
	Revision     int64  `json:"revision"` // configuration in force at the host
	Epoch        uint64 `json:"epoch"`
	LeaseHeld    bool   `json:"lease_held"`
	// LeaseLeftMS is the rest of the freshness lease in milliseconds, known of
	// the answering host only and 0 otherwise.
	LeaseLeftMS int64 `json:"lease_left_ms"`
}

// StatusSource lists the hosts of the fleet in order of their names; *Board
// implements it over the heartbeats.
type StatusSource interface {
	Status() []HostStatus
}

// EventSource returns events of this host; *events.Recorder implements it.
type EventSource interface {
	After(seq uint64, limit int) []events.Event
}

// OrderService keeps the desired state of the engines; *orders.Desired implements it.
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
	Events EventSource  // /events answers 404 when nil
	Orders OrderService // /orders answers 404 when nil

	// OperatorKey is the first operator key, settings admin.key. Further
	// operator keys are Keys of the configuration with Operator set.
	OperatorKey string
	Recorder    *events.Recorder // records changes for the time line; may be nil
	Logger      *slog.Logger     // slog.Default when nil
	Random      io.Reader        // source of new keys; crypto/rand when nil
	Now         func() time.Time // time.Now when nil
	MaxBody     int64            // bytes of a JSON body; 1 MiB when 0
}

const (
	defaultMaxBody = 1 << 20
	// maxWait bounds ?wait=; the bound for a configuration in force is 9 s at full size.
	maxWait = 30 * time.Second
	// waitPoll is how often a waiting write reads the status of the hosts.
	waitPoll = 20 * time.Millisecond
)

// server holds the handlers' dependencies.
type server struct {
	Options
	keys atomic.Pointer[keyCache]
}

// New returns the handler of the operators' API. It panics when a required
// option is missing, because the process would otherwise fail at the first request.
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
	o.Config = startedConfig{o.Config}
	s := &server{Options: o}
	mux := http.NewServeMux()
	for _, r := range s.routes() {
		mux.Handle(r.method+" "+r.pattern, s.authenticate(r.handler))
	}
	mux.Handle("/", s.authenticate(s.unknown(mux)))
	return mux
}

// startedConfig returns the empty configuration until the fleet has one, so
// that the status can be read while a host starts.
type startedConfig struct{ ConfigSource }

// Config implements ConfigSource.
func (c startedConfig) Config() *config.Snapshot {
	if s := c.ConfigSource.Config(); s != nil {
		return s
	}
	return config.Empty()
}

// route is one method and pattern of the API.
type route struct {
	method  string
	pattern string
	handler handlerFunc
}

// handlerFunc serves one request of an authenticated operator. A returned
// error is answered as JSON.
type handlerFunc func(w http.ResponseWriter, r *http.Request, op operator) error

// Prefix starts all paths of the API.
const Prefix = "/admin/v1"

// routes lists everything that openapi.json describes.
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
