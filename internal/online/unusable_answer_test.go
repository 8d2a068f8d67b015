package online_test

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"ragwortstep/internal/servertest"
)

// unusableAnswers are answers of servers that are well, which this host does not use.
var unusableAnswers = map[string]struct {
	path   string
	answer func(c *servertest.Conn) bool
}{
	"too large a body": {"/get/1", func(c *servertest.Conn) bool {
		c.Respond(http.StatusOK, strings.Repeat("x", 5<<20))
		return true
	}},
	"too large an event": {"/resumable/1", func(c *servertest.Conn) bool {
		c.Respond(http.StatusOK, "id: 1\ndata: "+strings.Repeat("x", 2<<20)+"\n\n")
		return true
	}},
	"an event is missing": {"/resumable/1", func(c *servertest.Conn) bool {
		c.StartStream()
		c.WriteEvent(c.After + 1)
		c.WriteEvent(c.After + 3)
		c.EndStream()
		return true
	}},
}

// An answer that this host does not use is no lost connection: the request was refused
// for ten minutes, at all hosts, as one that crashes servers.
func TestUnusableAnswerIsNoCrash(t *testing.T) {
	for name, unusable := range unusableAnswers {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				f := newPipedFixture(t, unusable.answer, "a", "b")
				for range 4 {
					status, body := f.serveBody("id-1", unusable.path)
					is.True(status != http.StatusServiceUnavailable)
					is.True(!strings.Contains(body, "crashes_servers"))
				}
			})
		})
	}
}
