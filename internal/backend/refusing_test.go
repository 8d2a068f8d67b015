package backend

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against taking a server for hung that refuses its load report, as one does
// that leaves or is full: its streams were cut, and its idempotent exchanges ended,
// when they paused for a second.
func TestServerThatRefusesPollsKeepsItsExchanges(t *testing.T) {
	is := is.NewRelaxed(t)
	const pause = 2500 * time.Millisecond
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case loadPath:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case "/stream":
			_, _ = io.WriteString(w, "first ")
			w.(http.Flusher).Flush()
		}
		time.Sleep(pause)
		_, _ = io.WriteString(w, "last")
	}))
	defer server.Close()
	c := newClient(t, server.Listener.Addr().String(), Options{PollInterval: 100 * time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	var group sync.WaitGroup
	for path, want := range map[string]string{"/stream": "first last", "/whole": "last"} {
		group.Go(func() {
			resp, err := c.Do(ctx, "s", &Request{Method: "POST", Path: path, Body: []byte("x"), Idempotent: true})
			is.NoErr(err)
			if err != nil {
				return
			}
			defer resp.Body.Close()
			got, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(string(got), want)
		})
	}
	group.Wait()
}
