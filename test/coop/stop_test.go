package coop

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

const (
	stopCallers   = 8 // for each host
	maxPieceGap   = 40 * time.Millisecond
	resetDelay    = 20 * time.Millisecond // in which a reset that follows the end of a connection arrives
	answerTimeout = 8 * time.Second
	pipelineDepth = 2
	// shortestTimeout is the shortest time-out of a route.
	shortestTimeout = 4 * time.Second
	// lastSendAfterStop is how long after SIGTERM a request may be sent that may last
	// beyond the end of the grace period.
	lastSendAfterStop = 3 * time.Second
)

// stopCaller sends requests on connections of its own to one host, and opens new
// ones as long as the host accepts them.
type stopCaller struct {
	*soakRun
	client *Client
	host   *Host
	name   string
	conn   *net.TCPConn
	reader *bufio.Reader
	sent   int
	count  *stopCounts
	// planned is set if the run has planned work only, which excuses nothing but what
	// stopCounts.allowCut allows.
	planned bool
}

// stopCounts are the stops and the requests without a whole answer.
type stopCounts struct {
	mu          sync.Mutex
	stops       int
	unanswered  []string // ids of requests that the host had not read
	outOfTime   int      // answers cut at the end of the route's time
	atGraceEnds int      // answers cut in the last sixth of the grace period
	excused     int      // answers cut or lost by a fault
}

// allowCut reports whether an answer that has just been cut may be, at the end of the
// route's time or of the host's grace period. The latter holds for requests that were
// sent soon enough after the signal and have lasted until then.
func (s *stopCounts) allowCut(h *Host, sentAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	grace := shutdownGraceSeconds * time.Second
	stoppedAt := h.StoppedAt()
	stopping := time.Since(stoppedAt)
	switch {
	case time.Since(sentAt) >= shortestTimeout:
		s.outOfTime++
	case stopping >= grace*5/6 && stopping <= grace+time.Second && sentAt.Sub(stoppedAt) <= lastSendAfterStop:
		s.atGraceEnds++
	default:
		return false
	}
	return true
}

// send sends one or more requests and receives the answers.
func (c *stopCaller) send() {
	if c.conn == nil && !c.dial() {
		return
	}
	kinds := []string{"plain", "once", "stream", "resume"}
	var ids, routes []string
	var text bytes.Buffer
	n := 1
	if c.randN(8) == 0 {
		n = pipelineDepth
	}
	for range n {
		id, route := fmt.Sprintf("%s-%d", c.name, c.sent), kinds[c.randN(len(kinds))]
		c.sent++
		r, err := c.client.newCall(c.host.Callers, route, id, callerKey, sharedPart)
		if err == nil {
			err = r.Write(&text)
		}
		if err != nil {
			c.ledger.AddFailure("request %s: %v", id, err)
			return
		}
		ids, routes = append(ids, id), append(routes, route)
		c.ledger.recordSent(c.host.Callers, route, id)
	}
	sentAt := time.Now()
	whole := c.write(text.Bytes())
	for i, id := range ids {
		if c.conn != nil {
			c.receive(routes[i], id, whole, sentAt)
		} else {
			c.lose(routes[i], id) // pipelined behind an answer that ends the connection
		}
	}
	if c.conn != nil && c.randN(10) == 0 {
		c.close()
	}
}

func (c *stopCaller) dial() bool {
	conn, err := net.DialTimeout("tcp", c.host.Callers, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn.(*net.TCPConn), bufio.NewReader(conn)
	return true
}

// write sends bytes, at times in two pieces. It reports whether it sent them all.
func (c *stopCaller) write(text []byte) bool {
	_ = c.conn.SetDeadline(time.Now().Add(answerTimeout)) // fails if it is closed
	if cut := c.randN(2 * len(text)); cut < len(text) {
		if _, err := c.conn.Write(text[:cut]); err != nil {
			return false
		}
		time.Sleep(time.Duration(c.randN(int(maxPieceGap))))
		text = text[cut:]
	}
	_, err := c.conn.Write(text)
	return err == nil
}

// receive receives an answer. Its connection may end before only if the host has not
// read all bytes of the request, so that it resets the connection or answers the
// rest by a reset.
func (c *stopCaller) receive(route, id string, sentAll bool, sentAt time.Time) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		whole := c.client.receive(route, id, resp)
		if !whole && !c.excused(sentAt) && !c.count.allowCut(c.host, sentAt) {
			c.ledger.AddFailure("%s %s at %s: answer %d is cut after %v", route, id, c.host.Name, resp.StatusCode, time.Since(sentAt))
		}
		if !whole || resp.Close {
			c.close()
		}
		return
	}
	wasRead := sentAll && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE)
	if wasRead && !errors.Is(err, os.ErrDeadlineExceeded) {
		time.Sleep(resetDelay)
		wasRead = c.socketError() == 0
	}
	c.close()
	if wasRead && !c.excused(sentAt) {
		c.ledger.AddFailure("%s %s at %s: read and not answered after %v: %v", route, id, c.host.Name, time.Since(sentAt), err)
	}
	c.lose(route, id)
}

// excused reports whether a fault since then may have cut an answer or a connection:
// the end or a pause of the host, or the crash of a server.
func (c *stopCaller) excused(since time.Time) bool {
	if c.planned || !c.host.Disturbed(since, time.Now()) && !c.crashedSince(since) {
		return false
	}
	c.count.mu.Lock()
	defer c.count.mu.Unlock()
	c.count.excused++
	return true
}

func (c *stopCaller) close() {
	_ = c.conn.Close() // it may have ended
	c.conn = nil
}

// lose notes a request without an answer, which no server may run.
func (c *stopCaller) lose(route, id string) {
	c.ledger.recordAnswer(route, id, 0, false)
	c.count.mu.Lock()
	defer c.count.mu.Unlock()
	c.count.unanswered = append(c.count.unanswered, id)
}

// socketError returns the pending error of the connection.
func (c *stopCaller) socketError() int {
	code := int(syscall.ECONNRESET)
	raw, err := c.conn.SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { code, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR) }) // fails if it is closed
	}
	if err != nil {
		c.ledger.AddFailure("socket error: %v", err)
	}
	return code
}

// startStopCallers starts n callers of each host that use their connections until stop
// is closed.
func (run *soakRun) startStopCallers(n int, planned bool) *stopCounts {
	count := &stopCounts{}
	for i, h := range run.fleet.Hosts {
		for n := range n {
			c := &stopCaller{soakRun: run, client: NewClient(run.ledger), host: h, name: fmt.Sprintf("stop-%d-%d", i, n), count: count, planned: planned}
			run.group.Go(func() {
				for run.sleepRandom(time.Millisecond, 30*time.Millisecond) {
					c.send()
				}
			})
		}
	}
	return count
}

// stopAmidSignals stops a host by SIGTERM, with SIGHUP before and after it, and starts
// it again. The process must end by itself within its grace period.
func (run *soakRun) stopAmidSignals(h *Host) error {
	h.restartMu.Lock()
	defer h.restartMu.Unlock()
	var signals sync.WaitGroup
	for range run.randN(4) {
		delay := time.Duration(run.randN(int(2 * time.Second)))
		signals.Go(func() { time.Sleep(delay); h.Signal(syscall.SIGHUP) })
	}
	time.Sleep(time.Duration(run.randN(int(100 * time.Millisecond))))
	h.Signal(syscall.SIGTERM)
	began := time.Now()
	err := h.Wait()
	if took := time.Since(began); (err != nil || took > shutdownGraceSeconds*time.Second) && !h.Paused(began, time.Now()) {
		run.ledger.AddFailure("%s ended with %v after %v", h.Name, err, took)
	}
	signals.Wait() // before the next process, which may not handle them yet
	return h.Start()
}

// startStops stops and starts a host until stop is closed.
func (run *soakRun) startStops(h *Host, count *stopCounts) {
	run.group.Go(func() {
		for run.sleepRandom(300*time.Millisecond, 1500*time.Millisecond) {
			count.mu.Lock()
			count.stops++
			count.mu.Unlock()
			if err := run.stopAmidSignals(h); err != nil {
				run.ledger.AddFailure("%s does not start: %v", h.Name, err)
			}
		}
	})
}

// Planned stops cut requests that had just been accepted: hosts are stopped at random
// moments, beside SIGHUP, changes of the configuration and servers that fall silent,
// while callers use open connections, and open new ones, until the process is gone.
func TestPlannedStopsCutNoRequest(t *testing.T) {
	list, duration := soakSettings(t)
	if os.Getenv("SOAK_SEEDS") == "" {
		list = list[:1]
	}
	for _, seed := range list {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			is := is.NewRelaxed(t)
			run := newSilentSoakRun(t, seed, sizeOf(seed), occasionalSilence)
			callers := stopCallers
			if run.size == largeFleet {
				callers = run.size.callersOfHost
			}
			run.startChanges()
			count := run.startStopCallers(callers, true)
			leavings := run.startLeaving(false)
			for _, h := range run.fleet.Hosts[:run.size.changing] {
				run.startStops(h, count)
			}
			time.Sleep(duration)
			close(run.stop)
			run.group.Wait()
			run.checkRuns()
			runs := map[string]bool{}
			for _, s := range run.allServers {
				for _, r := range s.Runs() {
					runs[r.ID] = true
				}
			}
			for _, id := range count.unanswered {
				if runs[id] {
					run.ledger.AddFailure("request %s ran and has no answer", id)
				}
			}
			statuses := map[int]int{}
			for _, status := range run.ledger.Answers {
				statuses[status]++
			}
			t.Logf("%d stops, %d leaving servers, %d answers that say so, answers by status: %v, cut at the end of their time: %d, of the grace period: %d",
				count.stops, leavings.Load(), len(run.ledger.Leaving), statuses, count.outOfTime, count.atGraceEnds)
			is.Equal(run.ledger.Failures, nil)
			is.True(count.stops >= run.size.changing)
			is.True(statuses[http.StatusOK] > 100)
			if t.Failed() {
				run.keepLogs()
			}
		})
	}
}
