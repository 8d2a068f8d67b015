package backend

import (
	"context"
	"encoding/json"
	"expvar"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/cockroachdb/errors"
)

// counters holds the package's expvar counters.
var counters = expvar.NewMap("backend")

const (
	loadPath      = "/load"
	maxLoadBytes  = 4 << 10
	pollJitter    = 0.2         // part of the interval
	hungPolls     = 2           // consecutive failed polls
	pollPatience  = 3           // poll timeouts until the pooled connection is given up
	minPokedDelay = time.Second // between polls that a slow exchange asked for
	// minUrgentDelay bounds the polls after broken connections.
	minUrgentDelay = 50 * time.Millisecond
)

// Load is a server's load report. It lags behind the server's actual state.
type Load struct {
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
	Slots   int     `json:"slots"`
	KVUsed  float64 `json:"kv_used"` // part of the KV cache in use, 0 to 1
	AtMS    int64   `json:"at_ms"`   // server's clock, Unix ms
}

// Observer receives the results of polls. Its methods must not block.
type Observer interface {
	// LoadReported receives a report that arrived now over a connection that
	// was opened at opened, after a question sent at asked. A server without
	// load reports is alive but has no report: known is false.
	LoadReported(server string, load Load, known bool, opened, asked time.Time)
	// PollFailed reports that the server did not answer on a new connection.
	PollFailed(server string, err error)
}

// Run polls load reports and enforces deadlines until ctx ends.
func (c *Client) Run(ctx context.Context, observer Observer) {
	c.mu.Lock()
	c.runCtx, c.observer = ctx, observer
	for _, s := range c.servers {
		c.startPoll(s)
	}
	c.mu.Unlock()
	ticker := time.NewTicker(monitorInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.check(now.UnixNano())
		}
	}
}

// check advances the coarse clock and checks every server's exchanges.
func (c *Client) check(now int64) {
	c.clock.Store(now)
	c.mu.Lock()
	list := make([]*server, 0, len(c.servers))
	for _, s := range c.servers {
		list = append(list, s)
	}
	c.mu.Unlock()
	for _, s := range list {
		s.check(now)
	}
}

// startPoll starts the server's poll loop. The caller holds mu.
func (c *Client) startPoll(s *server) {
	ctx, cancel := context.WithCancel(c.runCtx)
	s.stopPoll = cancel
	s.pollEvery.Store(int64(c.pollInterval()))
	go c.pollLoop(ctx, s, c.observer)
}

func (c *Client) pollLoop(ctx context.Context, s *server, observer Observer) {
	timer := time.NewTimer(rand.N(time.Duration(s.pollEvery.Load())))
	defer timer.Stop()
	last := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.pollNow:
			if time.Since(last) < minPokedDelay {
				continue
			}
		case <-s.pollUrgent:
			if time.Since(last) < minUrgentDelay {
				continue
			}
		}
		last = time.Now()
		c.pollOnce(ctx, s, observer)
		timer.Reset(jittered(time.Duration(s.pollEvery.Load())))
	}
}

func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - pollJitter + 2*pollJitter*rand.Float64()))
}

// pollResult is the outcome of one poll.
type pollResult struct {
	load   Load
	known  bool
	opened time.Time // when the connection was opened
	asked  time.Time
	err    error
}

// pollOnce polls on the pooled connection and, when that is slow or fails, on
// a new one. When the new connection answers and the pooled one, which was
// asked earlier, does not, the server lives and its older connections do not,
// so they are replaced. An overloaded server delays both and passes the test.
func (c *Client) pollOnce(ctx context.Context, s *server, observer Observer) {
	gen := s.current()
	ctx, cancel := context.WithTimeout(ctx, pollPatience*c.opts.PollTimeout)
	defer cancel()
	pooled := s.pollAsync(ctx, gen)
	var result pollResult
	select {
	case result = <-pooled:
	case <-time.After(c.opts.PollTimeout):
		result.err = errSilent
	}
	if result.err != nil && ctx.Err() == nil {
		result = c.pollFresh(ctx, s, gen, pooled)
	}
	c.report(ctx, s, observer, result)
}

// pollFresh polls on a new connection while the pooled poll is outstanding.
func (c *Client) pollFresh(ctx context.Context, s *server, gen *generation, pooled <-chan pollResult) pollResult {
	fresh := newGeneration(gen.number, c.opts)
	defer fresh.retire()
	ctx, cancel := context.WithTimeout(ctx, c.opts.PollTimeout)
	defer cancel()
	result := <-s.pollAsync(ctx, fresh)
	if result.err != nil {
		return result
	}
	select {
	case late := <-pooled:
		if late.err == nil {
			return late
		}
	case <-time.After(monitorInterval):
	}
	s.replace(gen, time.Now().UnixNano())
	return result
}

func (c *Client) report(ctx context.Context, s *server, observer Observer, r pollResult) {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
	case r.err != nil:
		// A server that answers on no connection is hung or gone. Exchanges
		// that may be repeated are ended as after a silent connection.
		if s.pollFailures++; s.pollFailures >= hungPolls {
			s.replace(s.current(), time.Now().UnixNano())
		}
		observer.PollFailed(s.name, r.err)
	default:
		s.pollFailures = 0
		observer.LoadReported(s.name, r.load, r.known, r.opened, r.asked)
	}
}

func (s *server) pollAsync(ctx context.Context, gen *generation) <-chan pollResult {
	out := make(chan pollResult, 1)
	go func() {
		out <- s.poll(ctx, gen)
	}()
	return out
}

// poll fetches the load report over one generation's poll connection.
func (s *server) poll(ctx context.Context, gen *generation) pollResult {
	result := pollResult{asked: time.Now()}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*trackedConn); ok {
			result.opened = conn.opened
		}
	}}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodGet, "http://"+s.address+loadPath, nil)
	if err != nil {
		return pollResult{err: errors.Wrapf(err, "poll server %s", s.name)}
	}
	resp, err := gen.polls.RoundTrip(req)
	if err != nil {
		return pollResult{err: errors.Wrapf(err, "poll server %s", s.name)}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxLoadBytes))
	switch {
	case err != nil:
		result.err = errors.Wrapf(err, "poll server %s: read", s.name)
	case resp.StatusCode == http.StatusServiceUnavailable:
		result.err = errors.Newf("poll server %s: status %d", s.name, resp.StatusCode)
	case resp.StatusCode == http.StatusOK:
		result.known = json.Unmarshal(raw, &result.load) == nil
	}
	return result
}

// PollNow polls the server at once, to learn whether it survived the loss of
// a connection.
func (c *Client) PollNow(name string) {
	s, err := c.server(name)
	if err != nil {
		return
	}
	select {
	case s.pollUrgent <- struct{}{}:
	default:
	}
}
