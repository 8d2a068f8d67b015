// Package gateway serves the callers' API: OpenAI-style model requests, files
// and batches, and plain services under their route's prefix. It
// authenticates callers, applies limits, and returns either a complete response
// or an error that states whether the request may have been executed.
package gateway

import (
	"context"
	"expvar"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"ragwortstep/internal/abort"
	"ragwortstep/internal/core/config"
	"ragwortstep/internal/dispatch"
	"ragwortstep/internal/events"
	"ragwortstep/internal/fleet"
	"ragwortstep/internal/limiter"
	"ragwortstep/internal/settings"
	"ragwortstep/internal/upstream"
)

var counters = expvar.NewMap("gateway")

// Limiter enforces the rate and burst of each workspace.
type Limiter interface {
	// Acquire takes n tokens. It returns *limiter.RefusedError when the limit is
	// reached.
	Acquire(ctx context.Context, workspace string, n float64, class limiter.Class) error
}

// Dispatcher sends requests to backend servers.
type Dispatcher interface {
	// Do returns *dispatch.RefusedError when the request got no response.
	Do(ctx context.Context, req *dispatch.Request) (*dispatch.Response, error)
}

// WithWorkspace stores the authenticated workspace in the context for the
// handler of files and batches.
type WithWorkspace func(ctx context.Context, workspace string) context.Context

// Options configures a Gateway. All fields but Logger and Events are required.
type Options struct {
	Fleet            fleet.Service
	Limiter          Limiter
	Dispatcher       Dispatcher
	IdempotencyStore IdempotencyStore // records of idempotency keys
	Jobs             http.Handler     // files and batches
	WithWorkspace    WithWorkspace
	Settings         settings.Gateway
	Events           *events.Recorder
	Logger           *slog.Logger
}

// Gateway is one host's HTTP handler for callers.
type Gateway struct {
	opts           Options
	keys           atomic.Pointer[keyIndex]
	routes         atomic.Pointer[routeTable]
	requestTracker *requestTracker
	answers        *upstream.AnswerMemory // for responses that are buffered
	draining       atomic.Bool
	mux            *http.ServeMux
	handler        http.Handler // mux, with responses that are visibly aborted
}

// New returns a gateway that applies every new configuration of the fleet.
func New(opts Options) *Gateway {
	if opts.Logger == nil {
		opts.Logger = slog.Default()
	}
	g := &Gateway{
		opts: opts, requestTracker: newRequestTracker(), mux: http.NewServeMux(),
		answers: upstream.NewAnswerMemory(maxBufferedBytes, upstream.DefaultAnswerMemory),
	}
	g.applyConfig(opts.Fleet.Config())
	opts.Fleet.OnConfig(g.applyConfig)
	g.mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	g.mux.HandleFunc("GET /readyz", g.handleReady)
	g.mux.HandleFunc("GET /v1/models", g.withKey(g.listModels))
	g.mux.HandleFunc("GET /v1/models/{model}", g.withKey(g.getModel))
	g.mux.HandleFunc("POST /v1/chat/completions", g.withKey(g.completion))
	g.mux.HandleFunc("POST /v1/completions", g.withKey(g.completion))
	g.mux.HandleFunc("/v1/files", g.withKey(g.batchAPI))
	g.mux.HandleFunc("/v1/files/", g.withKey(g.batchAPI))
	g.mux.HandleFunc("/v1/batches", g.withKey(g.batchAPI))
	g.mux.HandleFunc("/v1/batches/", g.withKey(g.batchAPI))
	g.mux.HandleFunc("/", g.service)
	g.handler = abort.Handler(g.recovering(g.mux))
	return g
}

// applyConfig switches to a new configuration and cancels the requests of
// revoked keys.
func (g *Gateway) applyConfig(s *config.Snapshot) {
	index := newKeyIndex(s)
	g.keys.Store(index)
	g.routes.Store(newRouteTable(s))
	if n := g.requestTracker.cancelRevoked(index); n > 0 {
		counters.Add("ended_key_revoked", int64(n))
	}
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	counters.Add("requests", 1)
	r.Header.Set(headerRequestID, requestID(r))
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	if g.draining.Load() {
		// The caller then opens a new connection, which the load balancer routes to
		// another host.
		w.Header().Set("Connection", "close")
	}
	g.handler.ServeHTTP(w, r)
}

// StartDraining makes the readiness check fail. Running and new requests are
// still served.
func (g *Gateway) StartDraining() { g.draining.Store(true) }

// handleReady serves the load balancer's readiness check.
func (g *Gateway) handleReady(w http.ResponseWriter, _ *http.Request) {
	if g.draining.Load() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	if err := g.opts.Fleet.MayAdmit(time.Now()); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// requestID returns the caller's request id if it is short, printable and
// contains no key, and a new id otherwise.
func requestID(r *http.Request) string {
	id := r.Header.Get(headerRequestID)
	if id == "" || len(id) > maxRequestIDBytes || containsKey(id, "") || strings.ContainsFunc(id, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return uuid.NewString()
	}
	return id
}

const (
	headerRequestID   = "X-Request-Id"
	headerExecuted    = "Ragwortstep-Executed"
	headerIdempotency = "Idempotency-Key"
	maxRequestIDBytes = 128
)

// admit checks that this host may admit requests now and takes a token from the
// workspace's limit. Requests without a workspace are not limited.
func (g *Gateway) admit(ctx context.Context, workspace string) *apiError {
	if err := g.opts.Fleet.MayAdmit(time.Now()); err != nil {
		return refusal(http.StatusServiceUnavailable, "host_not_current", "this host is cut off from the fleet", retryAfterUnavailable)
	}
	if workspace == "" {
		return nil
	}
	err := g.opts.Limiter.Acquire(ctx, workspace, 1, limiter.Online)
	return limitError(err)
}
