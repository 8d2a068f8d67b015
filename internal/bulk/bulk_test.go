package bulk_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"ragwortstep/internal/bulk"
	"ragwortstep/internal/core/itemlist"
	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/servertest"
)

// Each item must run once, also if the job is submitted again at another host,
// and every host must return the same results.
func TestJobRunsOnceOnAllHosts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := servertest.New(t, generate(time.Millisecond))
	f := newFleet(t, s)
	a, b := f.start("a"), f.start("b")
	f.waitForPeers()
	is.NoErr(a.bulk.Submit(context.Background(), submission("job", 10)))
	first := f.complete(a, "job", 10)
	is.Equal(f.complete(b, "job", 10), first)
	is.NoErr(b.bulk.Submit(context.Background(), submission("job", 10))) // submitted again
	is.Equal(len(s.ReceivedRequests()), 10)
	_, err := a.bulk.Results(context.Background(), "other", "job", 0, 0)
	is.True(errors.Is(err, bulk.ErrNoJob))
	_, err = b.bulk.Results(context.Background(), "w", "none", 0, 0)
	is.True(errors.Is(err, bulk.ErrNoJob))
}

// A job must survive the failure of its owner, and results that were already read
// must keep their positions.
func TestJobOfFailedHostIsTakenOver(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var slow atomic.Bool
	s := servertest.New(t, func(c *servertest.Conn) bool {
		if slow.Load() && !strings.HasSuffix(c.ID, "-0") {
			<-c.PeerClosed()
			return false
		}
		return generate(time.Millisecond)(c)
	})
	slow.Store(true)
	f := newFleet(t, s)
	a, b, c := f.start("a"), f.start("b"), f.start("c")
	f.waitForPeers()
	is.NoErr(a.bulk.Submit(context.Background(), submission("job", 5)))
	f.eventually("the first result", func() bool { r, err := f.read(a, "job"); return err == nil && len(r) == 1 })
	before, err := f.read(b, "job")
	is.NoErr(err)
	f.kill(a)
	slow.Store(false)
	after := f.complete(b, "job", 5)
	is.Equal(after[:1], before)
	is.Equal(f.complete(c, "job", 5), after)
}

// A job must run even if its only host fails right after accepting it, so that
// only the store has it.
func TestJobRunsAfterCrashOfAllHosts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := servertest.New(t, generate(time.Millisecond))
	f := newFleet(t, s)
	a := f.start("a")
	f.waitForPeers()
	s.SetScript(func(c *servertest.Conn) bool { <-c.PeerClosed(); return false })
	is.NoErr(a.bulk.Submit(context.Background(), submission("job", 3)))
	f.kill(a)
	s.SetScript(generate(time.Millisecond))
	b := f.start("b")
	f.complete(b, "job", 3)
}

// A host that has just taken over a job must not return its own list before it
// has read the segments, or callers would miss results they got from another host.
func TestNoPartialListAfterTakeover(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := servertest.New(t, generate(time.Millisecond))
	f := newFleet(t, s)
	a := f.start("a")
	s.SetScript(func(c *servertest.Conn) bool {
		if strings.HasSuffix(c.ID, "-4") {
			<-c.PeerClosed()
			return false
		}
		return generate(time.Millisecond)(c)
	})
	is.NoErr(a.bulk.Submit(context.Background(), submission("job", 5)))
	f.eventually("four results", func() bool { r, err := f.read(a, "job"); return err == nil && len(r) == 4 })
	f.kill(a)
	b := f.start("b")
	b.store.getDelay.Store(int64(300 * time.Millisecond))
	for deadline := time.Now().Add(3 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if r, err := f.read(b, "job"); err == nil && len(r) < 4 {
			t.Fatalf("got %d results after 4 had been read", len(r))
		}
	}
}

// A lost response of the store to a successful write must not cause the job to be
// refused or accepted twice, or a result to be listed twice.
func TestLostStoreResponses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := servertest.New(t, generate(time.Millisecond))
	f := newFleet(t, s)
	a := f.start("a")
	f.waitForPeers()
	f.store.LoseResponses(2) // of the payload and the head
	is.NoErr(a.bulk.Submit(context.Background(), submission("job", 4)))
	f.store.LoseResponses(1)
	f.complete(a, "job", 4)
	is.Equal(len(s.ReceivedRequests()), 4)
}

// A job must not be accepted while the store is down. 503 must be used only if the
// job was certainly not stored, not after an unknown outcome.
func TestNoJobAcceptedWhileStoreIsDown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, servertest.New(t, generate(time.Millisecond)))
	a := f.start("a")
	f.waitForPeers()
	f.store.SetDown(true)
	err := a.bulk.Submit(context.Background(), submission("job", 1))
	is.True(errors.Is(err, bulk.ErrStoreUnavailable))
	is.Equal(bulk.RefusalOf(err).Status, 503)
	_, err = a.bulk.Results(context.Background(), "w", "job", 0, 0)
	is.True(errors.Is(err, bulk.ErrStoreUnavailable)) // not ErrNoJob
	f.store.SetDown(false)
	f.store.LoseResponses(100)
	headLost := a.bulk.Submit(context.Background(), submission("job2", 1))
	f.store.LoseResponses(0)
	if headLost != nil {
		is.True(bulk.RefusalOf(headLost).Status != 503)
	}
}

// Results of items that end during a store outage must not be lost, nor be
// returned before they are stored.
func TestResultsSurviveStoreOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, servertest.New(t, generate(20*time.Millisecond)))
	a := f.start("a")
	f.waitForPeers()
	is.NoErr(a.bulk.Submit(context.Background(), submission("job", 4)))
	f.store.SetDown(true)
	time.Sleep(time.Second)
	r, err := f.read(a, "job")
	is.NoErr(err)
	is.Equal(len(r), 0) // results that are not stored are not returned
	f.store.SetDown(false)
	f.complete(a, "job", 4)
}

// Items that always fail must become dead letters: after MaxAttempts responses of
// 500, or after one 422.
func TestFailingItemsBecomeDeadLetters(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := servertest.New(t, func(c *servertest.Conn) bool {
		switch {
		case strings.HasSuffix(c.ID, "-0"):
			c.Respond(500, "no")
		case strings.HasSuffix(c.ID, "-1"):
			c.Respond(422, "never")
		default:
			return generate(time.Millisecond)(c)
		}
		return true
	})
	f := newFleet(t, s)
	a := f.start("a")
	is.NoErr(a.bulk.Submit(context.Background(), submission("job", 4)))
	states := map[string]itemlist.State{}
	for _, r := range f.complete(a, "job", 4) {
		states[r.ID] = r.State
	}
	is.Equal(states, map[string]itemlist.State{"job-0": itemlist.DeadLetter, "job-1": itemlist.DeadLetter, "job-2": itemlist.Completed, "job-3": itemlist.Completed})
	runs := map[string]int{}
	for _, arrival := range s.ReceivedRequests() {
		runs[arrival.ID]++
	}
	is.Equal(runs, map[string]int{"job-0": 2, "job-1": 1, "job-2": 1, "job-3": 1})
}

// After a broken connection an item must resume with the next event, without
// missing or duplicate output and without running from the start.
func TestItemResumesAfterBrokenConnection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := servertest.New(t, func(c *servertest.Conn) bool {
		if c.After == 0 {
			c.StartStream()
			c.WriteEvents(1, 2)
			_, _ = c.Write([]byte("9\r\nid: 3\nda\r\n"))
			return false
		}
		return generate(time.Millisecond)(c)
	})
	f := newFleet(t, s)
	a := f.start("a")
	is.NoErr(a.bulk.Submit(context.Background(), submission("job", 2)))
	f.complete(a, "job", 2)
	is.Equal(len(s.ReceivedRequests()), 4)
}

// No item may reach a server after the end of its job was confirmed, whichever
// host got the call.
func TestEndedJobStops(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := servertest.New(t, generate(100*time.Millisecond))
	f := newFleet(t, s)
	a, b := f.start("a"), f.start("b")
	f.waitForPeers()
	is.NoErr(a.bulk.Submit(context.Background(), submission("job", 40)))
	f.eventually("items run", func() bool { return len(s.ReceivedRequests()) > 0 })
	is.NoErr(b.bulk.End(context.Background(), "w", "job"))
	is.NoErr(a.bulk.End(context.Background(), "w", "job")) // repeated
	time.Sleep(time.Second)
	ran := len(s.ReceivedRequests())
	time.Sleep(time.Second)
	is.Equal(len(s.ReceivedRequests()), ran)
	_, err := a.bulk.Body(context.Background(), "w", "job", "job-39")
	is.True(errors.Is(err, bulk.ErrNoItem))
	r, err := f.read(b, "job")
	is.NoErr(err)
	is.True(len(r) < 40)
}

// Every host must return an item's body until the item's result is listed.
func TestBodyUntilListed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	release := make(chan struct{})
	s := servertest.New(t, func(c *servertest.Conn) bool {
		if strings.HasSuffix(c.ID, "-1") {
			<-release
		}
		return generate(time.Millisecond)(c)
	})
	f := newFleet(t, s)
	a, b := f.start("a"), f.start("b")
	f.waitForPeers()
	is.NoErr(a.bulk.Submit(context.Background(), submission("job", 2)))
	for _, h := range []*testHost{a, b} {
		body, err := h.bulk.Body(context.Background(), "w", "job", "job-1")
		is.NoErr(err)
		is.Equal(string(body), "body 1")
	}
	close(release)
	f.complete(b, "job", 2)
	_, err := a.bulk.Body(context.Background(), "w", "job", "job-1")
	is.True(errors.Is(err, bulk.ErrNoItem))
}

// Other hosts must take over the jobs of a host that is shutting down before its
// process ends.
func TestJobsAreTakenOverDuringShutdown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, servertest.New(t, generate(50*time.Millisecond)))
	a, b := f.start("a"), f.start("b")
	f.waitForPeers()
	is.NoErr(a.bulk.Submit(context.Background(), submission("job", 60)))
	time.Sleep(100 * time.Millisecond)
	a.cluster.Leave()
	a.bulk.Close(context.Background())
	f.complete(b, "job", 60)
	f.complete(a, "job", 60)
}

// After a partition between two hosts that both ran a job, both must return the
// same list of results.
func TestOwnershipConflictAfterPartition(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := servertest.New(t, generate(200*time.Millisecond))
	f := newFleet(t, s)
	a, b := f.start("a"), f.start("b")
	f.waitForPeers()
	is.NoErr(a.bulk.Submit(context.Background(), submission("job", 16)))
	// No digests in either direction; both hosts still reach the store.
	a.udp.cut.Store(true)
	f.network.Cut("a", "b", true)
	time.Sleep(3 * time.Second)
	a.udp.cut.Store(false)
	f.network.Cut("a", "b", false)
	is.Equal(f.complete(a, "job", 16), f.complete(b, "job", 16))
}

// A call must not return the incomplete list while a concurrent call is still
// reading the segments.
func TestNoPartialListForConcurrentReaders(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, servertest.New(t, generate(time.Millisecond)))
	a := f.start("a")
	is.NoErr(a.bulk.Submit(context.Background(), submission("job", 5)))
	f.complete(a, "job", 5)
	f.kill(a)
	b := f.start("b")
	b.store.getDelay.Store(int64(100 * time.Millisecond))
	var group sync.WaitGroup
	for i := range 10 {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			if r, err := f.read(b, "job"); err == nil && len(r) < 5 {
				t.Errorf("got %d results after 5 had been read", len(r))
			}
		})
	}
	group.Wait()
}

// After a partition, a host must return the results of a job that another host
// completed in the meantime. It gets no conflicting claim in that case, because a
// complete job is not claimed.
func TestRefreshAfterPartition(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := servertest.New(t, generate(time.Millisecond))
	f := newFleet(t, s)
	a, b := f.start("a"), f.start("b")
	f.waitForPeers()
	var stuck atomic.Bool
	stuck.Store(true)
	s.SetScript(func(c *servertest.Conn) bool {
		if stuck.Load() {
			<-c.PeerClosed()
			return false
		}
		return generate(time.Millisecond)(c)
	})
	is.NoErr(a.bulk.Submit(context.Background(), submission("job", 6)))
	f.eventually("items run at a", func() bool { return len(s.ReceivedRequests()) == 6 })
	a.store.cut.Store(true) // partitions a from the store and, below, from b
	f.network.Cut("a", "b", true)
	a.udp.cut.Store(true)
	stuck.Store(false)
	f.complete(b, "job", 6)
	a.store.cut.Store(false)
	f.network.Cut("a", "b", false)
	a.udp.cut.Store(false)
	time.Sleep(time.Second)
	for range 20 {
		if r, err := f.read(a, "job"); err == nil && len(r) < 6 {
			t.Fatalf("got %d results after 6 had been read", len(r))
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Comments that a server sends to keep a stream open must not become part of an
// item's text, nor hide that the stream stalls: the item continues elsewhere.
func TestCommentsInStreamOfItem(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := servertest.New(t, func(c *servertest.Conn) bool {
		if c.After > 0 {
			return generate(time.Millisecond)(c)
		}
		c.StartStream()
		c.WriteEvents(1, 2)
		for {
			if _, err := io.WriteString(c, "4\r\n:x\n\n\r\n"); err != nil {
				return false
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
	f := newFleet(t, s)
	a := f.start("a")
	is.NoErr(a.bulk.Submit(context.Background(), submission("job", 1)))
	f.complete(a, "job", 1) // compares the text
}

// A burst of server crashes hits the same item several times, before and in the
// middle of its answer, until no server is left. The item must not be given up: it
// is placed again once there are servers, and completes with each event once.
func TestItemUnderCrashingServersIsPlacedAgain(t *testing.T) {
	is := is.New(t)
	var crashes atomic.Int64
	sound := generate(time.Millisecond)
	unlucky := func(c *servertest.Conn) bool {
		if c.ID != "job-2" {
			return sound(c)
		}
		n := crashes.Add(1)
		if n > 8 {
			return sound(c)
		}
		if n%2 == 0 {
			c.StartStream()
			c.WriteEvents(c.After+1, min(c.After+1, lastEvent))
		}
		return false
	}
	f := newFleet(t, servertest.New(t, unlucky), servertest.New(t, unlucky), servertest.New(t, unlucky))
	a := f.start("a")
	f.eventually("accepted", func() bool { return a.bulk.Submit(context.Background(), submission("job", 5)) == nil })
	f.eventually("some crashes", func() bool { return crashes.Load() >= 3 })
	a.slots.SetServers(nil)
	time.Sleep(500 * time.Millisecond)
	var list []placement.Server
	for i, s := range f.servers {
		list = append(list, s.PlacementServer(fmt.Sprint("restarted", i), "s", 8))
	}
	a.slots.SetServers(list)
	for _, r := range f.complete(a, "job", 5) {
		is.Equal(r.State, itemlist.Completed)
	}
	is.True(crashes.Load() > 8)
}

// A stream without length or chunks ends with its connection. An item whose server
// ends before the first event must not be listed as completed without output.
func TestStreamUntilCloseWithoutEventIsNoResult(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	sound := generate(time.Millisecond)
	f := newFleet(t, servertest.New(t, func(c *servertest.Conn) bool {
		if runs.Add(1) <= 2 {
			c.WriteHead(200, "Content-Type: text/event-stream")
			return false
		}
		return sound(c)
	}))
	a := f.start("a")
	f.eventually("accepted", func() bool { return a.bulk.Submit(context.Background(), submission("job", 2)) == nil })
	for _, r := range f.complete(a, "job", 2) {
		is.Equal(r.State, itemlist.Completed)
		is.Equal(r.Output, wholeOutput)
	}
}

// Items must not reach a server after it said in an answer to one that it is
// leaving, although its entry stays ready; those that run there go on to their end.
func TestLeavingServerGetsNoItem(t *testing.T) {
	is := is.New(t)
	var leaving atomic.Bool
	var said atomic.Int64 // answers in which the server said that it is leaving
	sound := generate(20 * time.Millisecond)
	leaver := servertest.New(t, func(c *servertest.Conn) bool {
		if !leaving.Load() {
			return sound(c)
		}
		said.Add(1)
		c.WriteHead(200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked", servertest.LeavingLine)
		time.Sleep(50 * time.Millisecond)
		c.WriteEvents(c.After+1, lastEvent)
		c.EndStream()
		return true
	})
	other := servertest.New(t, sound)
	f := newFleet(t, leaver, other)
	a := f.start("a")
	f.eventually("accepted", func() bool { return a.bulk.Submit(context.Background(), submission("running", 6)) == nil })
	f.eventually("an item runs at the server", func() bool { return len(leaver.ReceivedRequests()) > 0 })
	leaving.Store(true)
	is.NoErr(a.bulk.Submit(context.Background(), submission("job", 40)))
	for _, job := range []struct {
		id    string
		items int
	}{{"running", 6}, {"job", 40}} {
		for _, r := range f.complete(a, job.id, job.items) {
			is.Equal(r.State, itemlist.Completed)
		}
	}
	for _, r := range append(leaver.ReceivedRequests(), other.ReceivedRequests()...) {
		is.Equal(r.After, int64(0)) // no run was broken off
	}
	is.True(said.Load() >= 1)
	is.True(said.Load() <= 8) // those that were on their way when the first answer came
}

// The first item at a server after its ejection runs for long. The others must not
// wait for its end once the server answers.
func TestItemsRunBesideTheFirstAfterAnEjection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var asked atomic.Int64
	s := servertest.New(t, func(c *servertest.Conn) bool {
		if asked.Add(1) <= 4 { // all items fail once
			return false
		}
		return generate(400 * time.Millisecond)(c)
	})
	f := newFleet(t, s)
	a := f.start("a")
	is.NoErr(a.bulk.Submit(context.Background(), submission("job", 4)))
	f.eventually("two items run again", func() bool { return len(s.ReceivedRequests()) >= 6 })
	again := s.ReceivedRequests()[4:]
	is.True(again[1].At.Sub(again[0].At) < time.Second) // a run takes two
	f.complete(a, "job", 4)
}
