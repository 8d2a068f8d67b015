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

	"ragwortstep/internal/panics"
)

var counters = expvar.NewMap("backend")

const (
	loadPath           = "/load"
	maxLoadBytes       = 4 << 10
	pollJitter         = 0.2         // fraction of the interval
	maxFailedPolls     = 2           // consecutive failures until the generation is replaced
	pooledPollTimeouts = 3           // PollTimeouts until a poll on the pooled connection is cancelled
	minSlowPollDelay   = time.Second // between polls requested for a slow exchange
	// minBrokenPollDelay limits the rate of polls after broken connections.
	minBrokenPollDelay = 50 * time.Millisecond
)

// Load is a server's load report. It lags behind the server's actual load.
type Load struct {
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
	Slots   int     `json:"slots"`
	KVUsed  float64 `json:"kv_used"` // fraction of the KV cache in use, 0 to 1
	AtMS    int64   `json:"at_ms"`   // server's clock, Unix ms
}

// Observer receives the results of polls. Its methods must not block.
type Observer interface {
	// LoadReported is called when a poll succeeds. The poll was sent at sentAt
	// over a connection opened at openedAt. hasLoad is false for a server that
	// responds but offers no load report.
	LoadReported(server string, load Load, hasLoad bool, openedAt, sentAt time.Time)
	// PollFailed is called when the server refused the poll, or did not respond on
	// a new connection either.
	PollFailed(server string, err error)
}

// Run polls the servers and enforces the deadlines of exchanges until ctx ends.
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
			c.checkDeadlines(now.UnixNano())
		}
	}
}

// checkDeadlines advances the coarse clock and checks the exchanges of all servers.
func (c *Client) checkDeadlines(now int64) {
	c.clock.Store(now)
	c.mu.Lock()
	list := make([]*server, 0, len(c.servers))
	for _, s := range c.servers {
		list = append(list, s)
	}
	c.mu.Unlock()
	for _, s := range list {
		s.checkDeadlines(now)
	}
}

// startPoll starts the server's poll loop. The caller holds mu.
func (c *Client) startPoll(s *server) {
	ctx, cancel := context.WithCancel(c.runCtx)
	s.stopPoll = cancel
	s.pollIntervalNS.Store(int64(c.pollInterval()))
	go c.pollLoop(ctx, s, c.observer)
}

func (c *Client) pollLoop(ctx context.Context, s *server, observer Observer) {
	timer := time.NewTimer(rand.N(time.Duration(s.pollIntervalNS.Load())))
	defer timer.Stop()
	last := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.pollAfterSlow:
			if time.Since(last) < minSlowPollDelay {
				continue
			}
		case <-s.pollAfterBroken:
			if time.Since(last) < minBrokenPollDelay {
				continue
			}
		}
		last = time.Now()
		c.pollOnce(ctx, s, observer)
		timer.Reset(jittered(time.Duration(s.pollIntervalNS.Load())))
	}
}

func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - pollJitter + 2*pollJitter*rand.Float64()))
}

// pollResult is the outcome of one poll.
type pollResult struct {
	load     Load
	hasLoad  bool
	openedAt time.Time // when the connection was opened
	sentAt   time.Time
	answered bool // the server answered, also if it refused
	err      error
}

// pollOnce polls on the pooled connection and, if that is slow or fails, on a new
// one. If only the new connection delivers a response, although its poll was sent
// later, the server is up and its older connections are broken, so they are
// replaced. An overloaded server delays both polls and keeps its connections.
func (c *Client) pollOnce(ctx context.Context, s *server, observer Observer) {
	gen := s.currentGeneration()
	ctx, cancel := context.WithTimeout(ctx, pooledPollTimeouts*c.opts.PollTimeout)
	defer cancel()
	sentAt := time.Now()
	pooled := s.pollAsync(ctx, gen)
	var result pollResult
	select {
	case result = <-pooled:
	case <-time.After(c.opts.PollTimeout):
		result.err = errSilent
	}
	if !result.answered && ctx.Err() == nil {
		result = c.pollNewConnection(ctx, s, gen, pooled, sentAt)
	}
	c.report(ctx, s, observer, result, sentAt)
}

// pollNewConnection polls on a new connection while the poll on the pooled one is
// still outstanding. It replaces the generation when only the new one responds.
func (c *Client) pollNewConnection(ctx context.Context, s *server, gen *generation, pooled <-chan pollResult, sentAt time.Time) pollResult {
	fresh := newGeneration(gen.number, c.opts)
	defer fresh.closeIdle()
	ctx, cancel := context.WithTimeout(ctx, c.opts.PollTimeout)
	defer cancel()
	result := <-s.pollAsync(ctx, fresh)
	if !result.answered {
		return result
	}
	select {
	case late := <-pooled:
		if late.answered {
			return late
		}
	case <-time.After(monitorInterval):
	}
	s.replaceGeneration(gen, time.Now().UnixNano(), sentAt.UnixNano())
	return result
}

func (c *Client) report(ctx context.Context, s *server, observer Observer, r pollResult, sentAt time.Time) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	if r.answered {
		s.pollFailures = 0
	} else if s.pollFailures++; s.pollFailures >= maxFailedPolls {
		// A server that responds on no connection is hung or down. Replacing the
		// generation cancels the exchanges that may be aborted, after the grace
		// period.
		s.replaceGeneration(s.currentGeneration(), time.Now().UnixNano(), sentAt.UnixNano())
	}
	if r.err != nil {
		observer.PollFailed(s.name, r.err)
	} else {
		observer.LoadReported(s.name, r.load, r.hasLoad, r.openedAt, r.sentAt)
	}
}

func (s *server) pollAsync(ctx context.Context, gen *generation) <-chan pollResult {
	out := make(chan pollResult, 1)
	go func() {
		result, err := panics.Catch(func() (pollResult, error) { return s.poll(ctx, gen), nil })
		if err != nil {
			counters.Add("exchange_panics", 1)
			result = pollResult{err: errors.Wrapf(err, "poll server %s", s.name)}
		}
		out <- result
	}()
	return out
}

// poll fetches the load report over the generation's poll connection.
func (s *server) poll(ctx context.Context, gen *generation) pollResult {
	result := pollResult{sentAt: time.Now()}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := tracked(info.Conn); ok {
			result.openedAt = conn.openedAt
		}
	}}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodGet, "http://"+s.address+loadPath, nil)
	if err != nil {
		return pollResult{err: errors.Wrapf(err, "poll server %s", s.name)}
	}
	resp, err := gen.polls.RoundTrip(req)
	if err != nil {
		// A server that sends a broken answer is not hung.
		return pollResult{err: errors.Wrapf(err, "poll server %s", s.name), answered: isBrokenHead(err)}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxLoadBytes))
	result.answered = err == nil
	switch {
	case err != nil:
		result.err = errors.Wrapf(err, "poll server %s: read", s.name)
	case resp.StatusCode == http.StatusServiceUnavailable:
		result.err = errors.Newf("poll server %s: status %d", s.name, resp.StatusCode)
	case resp.StatusCode == http.StatusOK:
		result.hasLoad = json.Unmarshal(raw, &result.load) == nil
	}
	return result
}

// PollNow polls the server immediately, to find out whether it is still up after a
// connection broke.
func (c *Client) PollNow(name string) {
	s, err := c.server(name)
	if err != nil {
		return
	}
	select {
	case s.pollAfterBroken <- struct{}{}:
	default:
	}
}
