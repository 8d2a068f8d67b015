// Package backend is the HTTP client for backend servers. It keeps one connection
// pool per server, bounds every wait for a server, replaces connections that stay
// open without delivering data, reports truncated responses, and polls load
// reports.
package backend

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/config"
	"ragwortstep/internal/defaults"
)

const (
	keepAliveProbes  = 3
	monitorInterval  = 100 * time.Millisecond
	maxIdlePerServer = 256
	idleConnTimeout  = 60 * time.Second
)

// Options configures a Client. Zero fields take the defaults given below.
type Options struct {
	DialTimeout         time.Duration // default 1 s
	FirstByteTimeout    time.Duration // longest wait for the first byte of a response, default 60 s
	BetweenBytesTimeout time.Duration // longest wait between bytes of a response, default 10 s
	KeepAliveInterval   time.Duration // idle time and interval of TCP keepalive, default 2 s
	UserTimeout         time.Duration // TCP_USER_TIMEOUT, default 5 s
	// PollAfterSilence is how long an exchange waits for a byte before the server is
	// polled immediately, default 1 s.
	PollAfterSilence time.Duration
	// ReplacedConnGrace is how long exchanges on replaced connections may continue
	// without receiving a byte, default 1 s.
	ReplacedConnGrace time.Duration
	// PollInterval is the shortest poll interval per server, default 500 ms.
	PollInterval time.Duration
	// PollRate bounds the polls per second over all servers, default 32.
	PollRate float64
	// PollTimeout is the deadline of one poll, default 1 s.
	PollTimeout time.Duration
}

func (o Options) withDefaults() Options {
	defaults.Positive(&o.DialTimeout, time.Second)
	defaults.Positive(&o.FirstByteTimeout, time.Minute)
	defaults.Positive(&o.BetweenBytesTimeout, 10*time.Second)
	defaults.Positive(&o.KeepAliveInterval, 2*time.Second)
	defaults.Positive(&o.UserTimeout, 5*time.Second)
	defaults.Positive(&o.PollAfterSilence, time.Second)
	defaults.Positive(&o.ReplacedConnGrace, time.Second)
	defaults.Positive(&o.PollInterval, 500*time.Millisecond)
	defaults.Positive(&o.PollTimeout, time.Second)
	if o.PollRate <= 0 {
		o.PollRate = 32
	}
	return o
}

// Request is one attempt at one server.
type Request struct {
	ID               string // unique per attempt
	Method           string
	Path             string // path and query
	Header           http.Header
	Body             []byte
	Stream           bool // the response is an SSE stream that ends with data: [DONE]
	Idempotent       bool
	FirstByteTimeout time.Duration // 0 for the client's default
}

// Response is a server's response. Body must be closed; closing it early closes
// the connection, which cancels the work at the server.
//
// Body.Read returns io.ErrUnexpectedEOF when the response was truncated or no
// byte arrived within the deadline, and the context's cause when the context
// ended.
type Response struct {
	Status int
	Header http.Header
	Body   *Body
}

// Client sends requests to backend servers. It is safe for concurrent use.
type Client struct {
	opts  Options
	clock atomic.Int64 // coarse time in Unix ns, advanced by Run

	mu       sync.Mutex
	servers  map[string]*server
	observer Observer
	runCtx   context.Context // set by Run
}

// New returns a client without servers.
func New(opts Options) *Client {
	c := &Client{opts: opts.withDefaults(), servers: map[string]*server{}}
	c.clock.Store(time.Now().UnixNano())
	return c
}

// SetServers replaces the set of servers. Idle connections to removed servers
// are closed; exchanges in progress end normally.
func (c *Client) SetServers(list []config.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	configured := make(map[string]bool, len(list))
	for _, s := range list {
		configured[s.Name] = true
		c.setServer(s)
	}
	for name, s := range c.servers {
		if !configured[name] {
			s.close()
			delete(c.servers, name)
		}
	}
	for _, s := range c.servers {
		s.pollIntervalNS.Store(int64(c.pollInterval()))
	}
}

// setServer adds a server, or replaces one whose address changed. The caller
// holds mu.
func (c *Client) setServer(s config.Server) {
	old, ok := c.servers[s.Name]
	if ok && old.address == s.Address {
		return
	}
	if ok {
		old.close()
	}
	srv := newServer(s.Name, s.Address, c.opts)
	c.servers[s.Name] = srv
	if c.runCtx != nil {
		c.startPoll(srv)
	}
}

// pollInterval returns the poll interval per server. It grows with the number of
// servers, so that the client's polls stay within PollRate. The caller holds mu.
func (c *Client) pollInterval() time.Duration {
	bound := time.Duration(float64(len(c.servers)) / c.opts.PollRate * float64(time.Second))
	return max(c.opts.PollInterval, bound)
}

var errNoServer = errors.New("server is not configured")

func (c *Client) server(name string) (*server, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.servers[name]
	if !ok {
		return nil, errNoServer
	}
	return s, nil
}

// Do sends a request to the named server and returns when the response's
// header has arrived. Its errors are of type *Error.
func (c *Client) Do(ctx context.Context, name string, req *Request) (*Response, error) {
	s, err := c.server(name)
	if err != nil {
		return nil, &Error{Stage: NotSent, Cause: Dial, Step: "dial", Peer: name, Err: err}
	}
	for attempt := 0; ; attempt++ {
		ex := newExchange(ctx, c, s, req)
		resp, err := ex.runGuarded(req)
		if err == nil {
			return resp, nil
		}
		// A pooled connection that the server has closed fails before anything
		// is sent, so the request can be retried on another connection.
		stale := err.Stage == NotSent && err.Cause == Broken && ex.reused
		if !stale || attempt >= maxStaleRetries {
			return nil, err
		}
	}
}

// maxStaleRetries bounds the retries of one Do after closed pooled connections.
const maxStaleRetries = 3
