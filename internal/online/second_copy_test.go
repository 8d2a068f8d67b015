package online_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/servertest"
)

// refusalForms are the headers and bodies of a response with which a server states
// that it has not run the request.
var refusalForms = map[string]string{
	"no body":              "Content-Length: 0\r\n\r\n",
	"body of known length": "Content-Length: 4\r\n\r\nfull",
	"chunked body":         "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
	"body without length":  "\r\nfull",
}

func refusal(c *servertest.Conn, status int, form string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%s: 1\r\n%s", status, servertest.HeaderID, c.ID, servertest.HeaderNotRun, form)
}

// copyingServers are faulty servers. They write each refusal once more, where the
// next response on its connection is expected.
type copyingServers struct {
	// refuse returns the refusal of a request at a server that received a number of
	// requests before, empty to run it.
	refuse func(c *servertest.Conn, server string, earlier int) string
	run    func(c *servertest.Conn, server string) bool
	delay  time.Duration // of the second copy

	mu       sync.Mutex
	received map[string]int // requests by server
	runs     map[string]int // requests run by server
}

func (s *copyingServers) serve(c *servertest.Conn) bool {
	server := c.Header.Get("X-Instance")
	s.mu.Lock()
	if s.received == nil {
		s.received, s.runs = map[string]int{}, map[string]int{}
	}
	answer := s.refuse(c, server, s.received[server])
	s.received[server]++
	if answer == "" {
		s.runs[server]++
	}
	s.mu.Unlock()
	if answer == "" {
		return s.run(c, server)
	}
	_, _ = io.WriteString(c, answer)
	go func() {
		time.Sleep(s.delay)
		_, _ = io.WriteString(c, answer) // blocks until the next request's response is read
	}()
	return true
}

// totalRuns returns the number of runs at all servers.
func (s *copyingServers) totalRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, n := range s.runs {
		total += n
	}
	return total
}

// A second copy of a refusal names the request too. When the request returns to the
// server that was full, the copy must not be taken for the answer: the caller would be
// told that it has not run while it runs, or it would run at another server too.
func TestSecondCopyOfRefusalIsNoAnswer(t *testing.T) {
	for name, form := range refusalForms {
		for _, servers := range [][]string{{"a"}, {"a", "b"}} {
			for _, delay := range []time.Duration{0, 450 * time.Millisecond} {
				t.Run(fmt.Sprint(name, servers, delay), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { testSecondCopyOfRefusal(t, form, servers, delay) })
				})
			}
		}
	}
}

func testSecondCopyOfRefusal(t *testing.T, form string, servers []string, delay time.Duration) {
	is := is.New(t)
	s := &copyingServers{
		delay: delay,
		refuse: func(c *servertest.Conn, _ string, earlier int) string {
			if earlier > 0 {
				return ""
			}
			return refusal(c, http.StatusServiceUnavailable, form)
		},
		run: func(c *servertest.Conn, _ string) bool {
			time.Sleep(700 * time.Millisecond)
			return ok(c)
		},
	}
	f := newPipedFixture(t, s.serve, servers...)
	f.setRoutes(func(r *routing.Route) { r.Objective, r.MaxAttempts = time.Second, len(servers) })
	got, _ := f.serve("/busy/1", "k")
	time.Sleep(time.Second)           // other runs would begin
	is.Equal(got.Code, http.StatusOK) // not refused while it runs
	is.Equal(s.totalRuns(), 1)        // nor run twice
	is.Equal(got.Body.String(), "ok") // and the answer is the run's
	load, _ := f.slots.ServiceLoad("s")
	is.Equal(load, 0)
}

// A server that refused while another one was silent is asked again. A second copy of
// its refusal must not be taken for its answer: it would work on a request that counts
// as rejected and is sent to it once more.
func TestSecondCopyOfRefusalEndsNoTakeOver(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				silent := ""
				s := &copyingServers{
					refuse: func(c *servertest.Conn, server string, earlier int) string {
						if silent == "" {
							silent = server
						}
						if server == silent || earlier > 0 {
							return ""
						}
						return refusal(c, status, refusalForms["no body"])
					},
					run: func(c *servertest.Conn, server string) bool {
						if server == silent {
							<-c.PeerClosed()
							return false
						}
						time.Sleep(50 * time.Millisecond)
						return ok(c)
					},
				}
				f := newPipedFixture(t, s.serve, "a", "b")
				got, _ := f.serve("/get/1", "k")
				time.Sleep(time.Second) // runs end
				is.Equal(got.Code, http.StatusOK)
				is.Equal(s.totalRuns(), 2) // one at each server
			})
		})
	}
}

// A refusal that names another request, or none, belongs to an earlier request on the
// connection. It must not count as a promise for this one, which its server may run.
func TestRefusalOfOtherRequestPromisesNothing(t *testing.T) {
	for id, name := range map[string]string{"X-Other: id-1": "no id", servertest.HeaderID + ":": "empty id", servertest.HeaderID + ": id-0": "another id"} {
		for formName, form := range refusalForms {
			for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest} {
				t.Run(fmt.Sprint(name, formName, status), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						is := is.New(t)
						received := 0
						f := newPipedFixture(t, func(c *servertest.Conn) bool {
							received++
							fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%s\r\n%s: 1\r\n%s", status, id, servertest.HeaderNotRun, form)
							<-c.PeerClosed() // runs until the host drops it
							return false
						}, "a", "b")
						got, _ := f.serve("/once/1", "k")
						is.Equal(got.Code, http.StatusBadGateway)
						synctest.Wait()
						is.Equal(received, 1)
					})
				})
			}
		}
	}
}
