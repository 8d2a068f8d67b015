package online_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/online"
	"ragwortstep/internal/servertest"
)

// serveParts serves a stream whose prompt has the shared parts and returns the
// response's status, 0 for an aborted one, and its body.
func (f *fixture) serveParts(id, path string, parts ...string) (status int, body string) {
	recorder := httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			status = 0
		}
	}()
	f.service.Serve(f.t.Context(), recorder, &online.Call{
		ID: id, Key: "k", Host: "h.example", Method: http.MethodPost, Target: path + id, Path: path + id, Header: http.Header{},
		Body: []byte(strings.Join(parts, ",")), Arrived: time.Now(), SharedParts: parts,
	})
	return recorder.Code, recorder.Body.String()
}

// Each server that begins to answer a request with one part of a prompt crashes; the
// requests differ else. After a few losses such requests must be refused without
// reaching a server, and say so, while sound requests with the same other parts are
// served. A stream that may be resumed must not go on to the next server either.
func TestPromptPartThatCrashesServersIsRefused(t *testing.T) {
	for _, path := range []string{"/stream/", "/resumable/"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				reached := 0
				var ids []string
				for i := range 12 {
					ids = append(ids, fmt.Sprint("server", i))
				}
				f := newPipedFixture(t, func(c *servertest.Conn) bool {
					if strings.HasPrefix(c.ID, "bad") {
						reached++
						time.Sleep(30 * time.Millisecond)
						c.WriteHead(200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
						return false
					}
					return slowStream(c)
				}, ids...)
				for i := range 10 {
					status, body := f.serveParts(fmt.Sprint("sound", i), path, "workspace", fmt.Sprint("subject", i))
					is.Equal(status, http.StatusOK)
					is.Equal(body, events(1, 4))
					status, _ = f.serveParts(fmt.Sprint("bad", i), path, "workspace", "crashing", fmt.Sprint("subject", i))
					if i >= 5 {
						is.Equal(status, http.StatusServiceUnavailable) // not run
					}
					time.Sleep(500 * time.Millisecond)
				}
				is.True(reached <= 5) // of 10 requests
				status, _ := f.serveParts("bad-again", path, "workspace2", "crashing")
				is.Equal(status, http.StatusServiceUnavailable)
				status, _ = f.serveParts("sound-again", path, "workspace", "subject1")
				is.Equal(status, http.StatusOK)
			})
		})
	}
}

// slowStream writes four events over longer than it takes a crash to show.
func slowStream(c *servertest.Conn) bool {
	c.StartStream()
	for id := c.After + 1; id <= 4; id++ {
		c.WriteEvent(id)
		time.Sleep(40 * time.Millisecond)
	}
	c.EndStream()
	return true
}

// A server that crashes in the middle of answers says nothing about the parts of
// these prompts: servers have answered on them.
func TestLossAfterBeginOfAnswerQuarantinesNoPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var ids []string
		for i := range 12 {
			ids = append(ids, fmt.Sprint("server", i))
		}
		f := newPipedFixture(t, func(c *servertest.Conn) bool {
			c.StartStream()
			for id := int64(1); id <= 4; id++ {
				c.WriteEvent(id)
				time.Sleep(40 * time.Millisecond)
			}
			return false
		}, ids...)
		for i := range 10 {
			status, _ := f.serveParts(fmt.Sprint("id", i), "/stream/", "workspace", "subject")
			is.Equal(status, 0)          // broken off, not refused
			time.Sleep(10 * time.Second) // the server is ejected for up to 4 s
		}
	})
}
