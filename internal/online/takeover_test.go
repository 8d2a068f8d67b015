package online_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/online"
	"ragwortstep/internal/servertest"
	"ragwortstep/internal/slots"
)

// gapRecorder records the longest time without a write of the response body.
type gapRecorder struct {
	*httptest.ResponseRecorder
	last time.Time
	gap  time.Duration
}

func (g *gapRecorder) Write(p []byte) (int, error) {
	g.gap, g.last = max(g.gap, time.Since(g.last)), time.Now()
	return g.ResponseRecorder.Write(p)
}

// lateFailure is a call whose first server fails after a silence.
type lateFailure struct {
	path        string
	maxAttempts int
	first       func(*servertest.Conn) bool
	otherNeeds  time.Duration
}

var lateFailures = map[string]lateFailure{
	// The other server is asked after 0.5 s of silence and dropped 0.3 s later.
	// Then the first server ends. The other one was counted, and it is sound and may
	// be asked again, but the call is given up.
	"stream: first server ends after the other was dropped": {"/resumable/1", 2, func(c *servertest.Conn) bool {
		c.StartStream()
		c.WriteEvents(1, 2)
		time.Sleep(time.Second)
		return false
	}, 400 * time.Millisecond},
	// The first server is heard once more, so that the other one is dropped, and ends.
	"stream: first server is heard once and ends": {"/resumable/1", 2, func(c *servertest.Conn) bool {
		c.StartStream()
		c.WriteEvents(1, 2)
		time.Sleep(600 * time.Millisecond)
		c.WriteEvent(3)
		time.Sleep(100 * time.Millisecond)
		return false
	}, 200 * time.Millisecond},
	"stream: first server is heard once and stays silent": {"/resumable/1", 2, func(c *servertest.Conn) bool {
		c.StartStream()
		c.WriteEvents(1, 2)
		time.Sleep(600 * time.Millisecond)
		c.WriteEvent(3)
		<-c.PeerClosed()
		return false
	}, 200 * time.Millisecond},
	"stream: first server sends its head late and ends": {"/resumable/1", 2, func(c *servertest.Conn) bool {
		time.Sleep(700 * time.Millisecond)
		c.StartStream()
		time.Sleep(100 * time.Millisecond)
		return false
	}, 200 * time.Millisecond},
	"whole: first server sends its head late and breaks off": {"/get/1", 2, func(c *servertest.Conn) bool {
		time.Sleep(700 * time.Millisecond)
		c.WriteHead(200, "Content-Length: 9")
		time.Sleep(100 * time.Millisecond)
		return false
	}, 200 * time.Millisecond},
	"whole: first server sends its head late and stays silent": {"/get/1", 2, func(c *servertest.Conn) bool {
		time.Sleep(700 * time.Millisecond)
		c.WriteHead(200, "Content-Length: 9")
		<-c.PeerClosed()
		return false
	}, 200 * time.Millisecond},
	// The route allows more servers than the service has.
	"stream: two servers and three attempts": {"/resumable/1", 3, func(c *servertest.Conn) bool {
		c.StartStream()
		c.WriteEvents(1, 2)
		<-c.PeerClosed()
		return false
	}, 400 * time.Millisecond},
	"stream: two servers and three attempts, no head": {"/resumable/1", 3, func(c *servertest.Conn) bool {
		<-c.PeerClosed()
		return false
	}, 400 * time.Millisecond},
}

// A sound server that was asked in vain while the first one was silent, because that
// one was heard again or both were silent, must be asked again when the first one
// fails.
func TestSoundServerIsAskedAgain(t *testing.T) {
	for name, c := range lateFailures {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				var first firstAsked
				f := newPipedFixture(t, func(s *servertest.Conn) bool {
					if first.is(s) {
						return c.first(s)
					}
					time.Sleep(c.otherNeeds)
					if c.path == "/get/1" {
						return ok(s)
					}
					return stream(s)
				}, "a", "b")
				f.setRoutes(func(r *routing.Route) {
					r.Timeout, r.Objective, r.MaxAttempts = 8*time.Second, 200*time.Millisecond, c.maxAttempts
				})
				asked := time.Now()
				status, body := f.serveWhole(c.path, "k")
				t.Logf("status %d after %v", status, time.Since(asked))
				is.Equal(status, http.StatusOK)
				want := "ok"
				if c.path != "/get/1" {
					want = events(1, 4)
				}
				is.Equal(body, want)
				is.True(time.Since(asked) < 5*time.Second)
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// Callers give up a stream after 2 s without an event. A dead server that leaves its
// connection open must not hold the stream for longer, if another one needs 0.4 s.
func TestStreamLeavesDeadServerWhileItsCallerWaits(t *testing.T) {
	for _, sent := range []int64{0, 2} {
		for _, needs := range []time.Duration{250, 350, 500} {
			t.Run(fmt.Sprint(sent, " events sent, other needs ", int(needs), " ms"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.NewRelaxed(t)
					var first firstAsked
					f := newPipedFixture(t, func(c *servertest.Conn) bool {
						if first.is(c) {
							if sent > 0 {
								c.StartStream()
								c.WriteEvents(1, sent)
							}
							<-c.PeerClosed()
							return false
						}
						time.Sleep(needs * time.Millisecond)
						return stream(c)
					}, "a", "b")
					f.setRoutes(func(r *routing.Route) { r.Timeout, r.Objective = 8*time.Second, 200*time.Millisecond })
					recorder := &gapRecorder{ResponseRecorder: httptest.NewRecorder(), last: time.Now()}
					f.service.Serve(t.Context(), recorder, &online.Call{
						ID: "id-1", Key: "k", Host: "h.example", Method: http.MethodPost, Target: "/resumable/1", Path: "/resumable/1", Header: http.Header{}, Arrived: time.Now(),
					})
					t.Logf("longest gap %v", recorder.gap)
					is.Equal(recorder.Body.String(), events(1, 4))
					is.True(recorder.gap <= 2*time.Second)
					time.Sleep(time.Second)
				})
			})
		}
	}
}

// Both servers of a call are told at once that the caller has left, and that the
// call's time is over.
func TestBothServersLearnThatTheCallEnded(t *testing.T) {
	for _, path := range []string{"/get/1", "/resumable/1"} {
		for _, end := range []string{"caller leaves", "deadline"} {
			for _, begun := range []string{"nothing", "head", "flood of comments"} {
				t.Run(path+" "+end+" "+begun, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						is := is.NewRelaxed(t)
						var first firstAsked
						var told, asked atomic.Int64
						start := time.Now()
						const left = 700 * time.Millisecond
						f := newPipedFixture(t, func(c *servertest.Conn) bool {
							asked.Add(1)
							isFirst := first.is(c)
							if isFirst && path == "/resumable/1" {
								c.StartStream()
								c.WriteEvents(1, 1)
							}
							switch {
							case isFirst:
							case begun == "head" && path == "/get/1":
								c.WriteHead(200, "Content-Length: 9")
							case begun != "nothing" && path != "/get/1":
								c.StartStream()
								for begun != "head" {
									if _, err := fmt.Fprint(c, "3\r\n:c\n\r\n2\r\n\n\n\r\n"); err != nil {
										break
									}
									time.Sleep(10 * time.Millisecond)
								}
							}
							<-c.PeerClosed()
							if time.Since(start) <= left+20*time.Millisecond {
								told.Add(1)
							}
							return false
						}, "a", "b")
						timeout := 8 * time.Second
						if end == "deadline" {
							timeout = left
						}
						f.setRoutes(func(r *routing.Route) { r.Timeout = timeout })
						ctx, cancel := context.WithCancel(t.Context())
						defer cancel()
						if end != "deadline" {
							time.AfterFunc(left, cancel)
						}
						func() {
							defer func() { _ = recover() }()
							f.service.Serve(ctx, httptest.NewRecorder(), &online.Call{
								ID: "id-1", Key: "k", Host: "h.example", Method: http.MethodPost, Target: path, Path: path, Header: http.Header{}, Arrived: start,
							})
						}()
						is.Equal(time.Since(start), left)
						time.Sleep(100 * time.Millisecond) // the server that floods pauses between its comments
						is.Equal(asked.Load(), int64(2))
						is.Equal(told.Load(), int64(2))
						load, _ := f.slots.ServiceLoad("s")
						is.Equal(load, 0)
					})
				})
			}
		}
	}
}

// A key that is withdrawn while its request is at a silent server ends no answer, and
// no further server is asked with it.
func TestWithdrawnKeyReachesNoOtherServer(t *testing.T) {
	for _, path := range []string{"/get/1", "/resumable/1"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				var asked atomic.Int64
				f := newPipedFixture(t, func(c *servertest.Conn) bool {
					asked.Add(1)
					time.Sleep(2 * time.Second)
					if path == "/get/1" {
						return ok(c)
					}
					return stream(c)
				}, "a", "b")
				f.setPatience(8 * time.Second)
				time.AfterFunc(100*time.Millisecond, func() {
					f.snapshot.Store(routing.New(2, routes(), f.snapshot.Load().Workspaces, nil, nil))
				})
				status, _ := f.serveWhole(path, "k")
				is.Equal(status, http.StatusOK)
				is.Equal(asked.Load(), int64(1))
			})
		})
	}
}

// A request that may run once is sent to one server only, however long that one is
// silent.
func TestCallThatMayRunOnceStaysAtItsSilentServer(t *testing.T) {
	for _, path := range []string{"/once/1", "/stream/1"} {
		for phase := range 4 {
			t.Run(fmt.Sprint(path, " before piece ", phase), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.NewRelaxed(t)
					var asked atomic.Int64
					f := newPipedFixture(t, func(c *servertest.Conn) bool {
						asked.Add(1)
						for i, piece := range answerPieces(c, path, "chunked") {
							if i == phase {
								time.Sleep(6 * time.Second)
							}
							_, _ = fmt.Fprint(c, piece)
						}
						return true
					}, "a", "b")
					f.setPatience(8 * time.Second)
					status, _ := f.serveWhole(path, "k")
					is.Equal(status, http.StatusOK)
					is.Equal(asked.Load(), int64(1))
				})
			})
		}
	}
}

// A server that sends the body of its answer slowly is alone with the request.
func TestSlowBodyIsNotAskedForElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		var asked atomic.Int64
		f := newPipedFixture(t, func(c *servertest.Conn) bool {
			asked.Add(1)
			c.WriteHead(200, "Content-Length: 10")
			for range 10 {
				time.Sleep(500 * time.Millisecond)
				_, _ = fmt.Fprint(c, "x")
			}
			return true
		}, "a", "b")
		f.setPatience(8 * time.Second)
		status, body := f.serveWhole("/get/1", "k")
		is.Equal(status, http.StatusOK)
		is.Equal(body, "xxxxxxxxxx")
		is.Equal(asked.Load(), int64(1))
	})
}

// No call reaches more servers than its route allows, whatever they do after a
// silence, also if it is sent to one of them several times.
func TestCallReachesNoMoreServersThanAllowed(t *testing.T) {
	for _, path := range []string{"/get/1", "/resumable/1"} {
		for attempts := 1; attempts <= 3; attempts++ {
			for seed := range 300 {
				t.Run(fmt.Sprint(path, " ", attempts, " seed ", seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						is := is.NewRelaxed(t)
						rng := rand.New(rand.NewPCG(uint64(seed), uint64(attempts)))
						var mu sync.Mutex
						ran := map[string]bool{} // by instance
						refusals := true
						draw := func(n int) int { mu.Lock(); defer mu.Unlock(); return rng.IntN(n) }
						f := newPipedFixture(t, func(c *servertest.Conn) bool {
							time.Sleep(time.Duration(draw(8)) * 150 * time.Millisecond)
							if draw(4) == 0 {
								c.RespondNotRun(http.StatusServiceUnavailable)
								return true
							}
							mu.Lock()
							ran[c.Header.Get("X-Instance")], refusals = true, false
							mu.Unlock()
							if draw(8) == 0 {
								c.Respond(http.StatusInternalServerError, "e")
								return true
							}
							for _, piece := range answerPieces(c, path, []string{"chunked", "length"}[draw(2)]) {
								if draw(3) == 0 {
									time.Sleep(time.Duration(draw(20)) * 150 * time.Millisecond)
								}
								if draw(12) == 0 {
									return false
								}
								_, _ = fmt.Fprint(c, piece)
							}
							return true
						}, "a", "b", "c", "d", "e")
						f.setRoutes(func(r *routing.Route) { r.Timeout, r.MaxAttempts = 8*time.Second, attempts })
						started := time.Now()
						status, body := f.serveWhole(path, "k")
						is.True(time.Since(started) <= 8*time.Second)
						mu.Lock()
						defer mu.Unlock()
						is.True(len(ran) <= attempts)
						is.True(status != http.StatusServiceUnavailable || refusals) // 503 promises that it has not run
						if status == http.StatusOK {
							want := "hello"
							if path == "/resumable/1" {
								want = events(1, 4)
							}
							is.Equal(body, want)
						} else if status == 0 {
							is.True(strings.HasPrefix(events(1, 4), body))
						}
						mu.Unlock()
						time.Sleep(time.Minute)
						mu.Lock()
						load, _ := f.slots.ServiceLoad("s")
						is.Equal(load, 0)
					})
				})
			}
		}
	}
}

// pausingStream writes four events with a pause before each but the first.
func pausingStream(c *servertest.Conn, pause time.Duration) bool {
	c.StartStream()
	for id := int64(1); id <= 4; id++ {
		if id > 1 {
			time.Sleep(pause)
		}
		c.WriteEvent(id)
	}
	c.EndStream()
	return true
}

// A stream whose servers fall silent in each of its runs must not wander between them
// until its time is over: each run makes little progress before it is left, and the
// server would go on if it were not.
func TestStreamDoesNotWanderBetweenSilentServers(t *testing.T) {
	for _, silence := range []time.Duration{600 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
		t.Run(silence.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				const last = 40
				var runs atomic.Int64
				f := newPipedFixture(t, func(c *servertest.Conn) bool {
					runs.Add(1)
					c.StartStream()
					for id := c.After + 1; id <= last; id++ {
						if id == c.After+3 {
							time.Sleep(silence)
						}
						c.WriteEvent(id)
					}
					c.EndStream()
					return true
				}, "a", "b")
				f.setRoutes(func(r *routing.Route) { r.Timeout, r.GapObjective = 4*time.Second, 200*time.Millisecond })
				asked := time.Now()
				status, body := f.serveWhole("/resumable/1", "k")
				t.Logf("status %d after %v and %d runs", status, time.Since(asked), runs.Load())
				is.Equal(status, http.StatusOK)
				is.Equal(strings.Count(body, "data: "), last)
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// The other server must be told at once that the first one was heard, or both work on
// the stream.
func TestOtherServerEndsWhenTheFirstIsHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		var first firstAsked
		ended := make(chan time.Duration, 1)
		f := newPipedFixture(t, func(c *servertest.Conn) bool {
			if first.is(c) {
				return pausingStream(c, 600*time.Millisecond)
			}
			<-c.PeerClosed()
			select {
			case ended <- time.Since(c.At):
			default:
			}
			return false
		}, "a", "b")
		status, body := f.serveWhole("/resumable/1", "k")
		is.Equal(status, http.StatusOK)
		is.Equal(body, events(1, 4))
		is.Equal(<-ended, 100*time.Millisecond) // asked after 500 ms of 600
	})
}

// Several pauses of a sound stream must not add up to one for which its server is
// given up, and comments or events out of order of another server must not take over.
func TestOnlySoundEventsTakeOver(t *testing.T) {
	for name, other := range map[string]func(*servertest.Conn){
		"silent":       func(*servertest.Conn) {},
		"comments":     func(c *servertest.Conn) { c.StartStream(); _, _ = fmt.Fprint(c, "4\r\n:x\n\n\r\n") },
		"out of order": func(c *servertest.Conn) { c.StartStream(); c.WriteEvent(9); c.EndStream() },
		"not started":  func(c *servertest.Conn) { c.WriteHead(http.StatusOK) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				var first firstAsked
				f := newPipedFixture(t, func(c *servertest.Conn) bool {
					if first.is(c) {
						return pausingStream(c, 1400*time.Millisecond) // callers of the route leave after 2 s
					}
					other(c)
					<-c.PeerClosed()
					return false
				}, "a", "b")
				f.setRoutes(func(r *routing.Route) { r.Timeout = 8 * time.Second })
				status, body := f.serveWhole("/resumable/1", "k")
				is.Equal(status, http.StatusOK)
				is.Equal(body, events(1, 4))
			})
		})
	}
}

// A server that begins an error response late must not end the exchange with another
// one, which may answer.
func TestLateErrorLeavesTheOtherServer(t *testing.T) {
	for _, path := range []string{"/get/1", "/resumable/1"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				var first firstAsked
				f := newPipedFixture(t, func(c *servertest.Conn) bool {
					if first.is(c) {
						time.Sleep(350 * time.Millisecond)
						c.WriteHead(http.StatusInternalServerError, "Content-Length: 5")
						<-c.PeerClosed()
						return false
					}
					time.Sleep(200 * time.Millisecond)
					if path == "/get/1" {
						return ok(c)
					}
					return stream(c)
				}, "a", "b")
				status, _ := f.serveWhole(path, "k")
				is.Equal(status, http.StatusOK)
			})
		})
	}
}

// A call that a silent server may have run must not be refused as not run when all
// servers reject it afterwards.
func TestRejectionsAfterSilencePromiseNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		var first firstAsked
		var asked atomic.Int64
		f := newPipedFixture(t, func(c *servertest.Conn) bool {
			switch {
			case first.is(c) && asked.Add(1) == 1:
				<-c.PeerClosed()
				return false
			case !first.is(c):
				time.Sleep(2500 * time.Millisecond)
			}
			c.RespondNotRun(http.StatusServiceUnavailable)
			return true
		}, "a", "b", "c")
		f.setRoutes(func(r *routing.Route) { r.Timeout, r.MaxAttempts = 8*time.Second, 3 })
		status, _ := f.serveWhole("/get/1", "k")
		is.Equal(status, http.StatusBadGateway)
	})
}

// A server that was given up for its silence twice must get no more calls for a while.
func TestServerThatWasGivenUpIsEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		var atA atomic.Int64
		f := newPipedFixture(t, func(c *servertest.Conn) bool {
			if c.Header.Get("X-Instance") == "a" {
				atA.Add(1)
				<-c.PeerClosed()
				return false
			}
			return ok(c)
		}, "a", "b")
		var group sync.WaitGroup
		for range 8 { // as many as there are slots
			group.Go(func() {
				status, _ := f.serveWhole("/get/1", "k")
				is.Equal(status, http.StatusOK)
			})
		}
		group.Wait()
		is.True(atA.Load() >= 2)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		_, err := f.slots.Acquire(ctx, slots.Request{Service: "s", Class: placement.Online, Workspace: "w", Cost: 1, Only: []string{"a"}})
		is.True(err != nil)
	})
}
