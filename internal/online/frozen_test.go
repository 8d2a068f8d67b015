package online_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/online"
	"ragwortstep/internal/servertest"
)

// freezes are the times at which a server is silent, counted from a start.
type freezes struct {
	start   time.Time
	windows [][2]time.Duration
}

// wait returns once the server is not silent.
func (z *freezes) wait() {
	for _, w := range z.windows {
		if at := time.Since(z.start); at >= w[0] && at < w[1] {
			time.Sleep(w[1] - at)
		}
	}
}

// drawFreezes returns silences of 0.5 to 2 s with calm between them.
func drawFreezes(rng *rand.Rand, until time.Duration) *freezes {
	z := &freezes{start: time.Now()}
	for at := time.Duration(0); at < until; {
		from := at + time.Duration(1000+rng.IntN(2000))*time.Millisecond
		to := from + time.Duration(500+rng.IntN(1500))*time.Millisecond
		z.windows, at = append(z.windows, [2]time.Duration{from, to}), to
	}
	return z
}

// Sound servers of a small service that all fall silent now and then, also at the
// same moment, must answer every call: none is refused, cut or ended without an
// answer.
func TestSmallServiceOfSilentServersAnswersAllCalls(t *testing.T) {
	paths := []string{"/get/1", "/resumable/1", "/once/1", "/stream/1"}
	for _, servers := range [][]string{{"a"}, {"a", "b"}} {
		for _, together := range []bool{true, false} {
			for seed := range uint64(10) {
				t.Run(fmt.Sprint(len(servers), " together ", together, " seed ", seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						is := is.NewRelaxed(t)
						const lasts = 30 * time.Second
						rng := rand.New(rand.NewPCG(seed, 1))
						silent := map[string]*freezes{}
						for _, id := range servers {
							if silent[id] = drawFreezes(rng, lasts); together {
								silent[id] = silent[servers[0]]
							}
						}
						f := newPipedFixture(t, func(c *servertest.Conn) bool {
							z := silent[c.Header.Get("X-Instance")]
							time.Sleep(100 * time.Millisecond)
							z.wait()
							if c.Body == "/get/1" || c.Body == "/once/1" {
								return ok(c)
							}
							c.StartStream()
							for id := c.After + 1; id <= 4; id++ {
								time.Sleep(50 * time.Millisecond)
								z.wait()
								c.WriteEvent(id)
							}
							c.EndStream()
							return true
						}, servers...)
						f.setRoutes(func(r *routing.Route) {
							r.Timeout, r.Objective, r.GapObjective = 8*time.Second, 400*time.Millisecond, 200*time.Millisecond
						})
						var group sync.WaitGroup
						for i := range 200 {
							path := paths[rng.IntN(len(paths))]
							at := time.Duration(rng.Int64N(int64(lasts)))
							group.Go(func() {
								time.Sleep(at)
								status, body := f.serveBody(fmt.Sprint("id-", i), path)
								want := "ok"
								if path == "/resumable/1" || path == "/stream/1" {
									want = events(1, 4)
								}
								if status != http.StatusOK || body != want {
									t.Errorf("%s at %v: status %d %q", path, at, status, body)
								}
							})
						}
						group.Wait()
						time.Sleep(10 * time.Second)
						load, _ := f.slots.ServiceLoad("s")
						is.Equal(load, 0)
					})
				})
			}
		}
	}
}

// serveBody serves a call whose body is its path.
func (f *fixture) serveBody(id, path string) (status int, body string) {
	recorder := httptest.NewRecorder()
	defer func() {
		if r := recover(); r != nil {
			status, body = 0, recorder.Body.String()
		}
	}()
	f.service.Serve(f.t.Context(), recorder, &online.Call{
		ID: id, Key: "k", Host: "h.example", Method: http.MethodPost, Target: path, Path: path, Header: http.Header{}, Body: []byte(path), Arrived: time.Now(),
	})
	return recorder.Code, recorder.Body.String()
}
