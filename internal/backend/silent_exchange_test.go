package backend

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against cutting sound streams that pause for a second because another
// exchange with their server got no byte within its deadline, while the server
// answers polls on its older connections.
func TestOverdueExchangeEndsNoOther(t *testing.T) {
	is := is.NewRelaxed(t)
	const gap = 1700 * time.Millisecond
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == loadPath {
			_, _ = io.WriteString(w, `{"running":1,"slots":8}`)
			return
		}
		_, _ = io.WriteString(w, "first ")
		w.(http.Flusher).Flush()
		if r.URL.Path == "/stalled" {
			<-r.Context().Done()
			return
		}
		for _, part := range []string{"second ", "third"} {
			time.Sleep(gap)
			_, _ = io.WriteString(w, part)
			w.(http.Flusher).Flush()
		}
	}))
	defer server.Close()
	c := newClient(t, server.Listener.Addr().String(), Options{BetweenBytesTimeout: 2500 * time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	read := func(path string) (string, error) {
		resp, err := c.Do(ctx, "s", &Request{Method: "POST", Path: path, Body: []byte("x")})
		if err != nil {
			return "", err
		}
		defer resp.Body.Close()
		got, err := io.ReadAll(resp.Body)
		return string(got), err
	}
	stalled := make(chan error, 1)
	go func() {
		_, err := read("/stalled")
		stalled <- err
	}()
	time.Sleep(500 * time.Millisecond)
	got, err := read("/paused")
	is.NoErr(err)
	is.Equal(got, "first second third")
	is.Equal(<-stalled, io.ErrUnexpectedEOF)
}

// Guards against cutting sound streams whose header has arrived and whose server needs
// some seconds until the first event, because another exchange with it got no byte
// within its deadline. Such a stream counted as one that can be sent again.
func TestOverdueExchangeEndsNoStreamBeforeItsFirstEvent(t *testing.T) {
	is := is.NewRelaxed(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == loadPath {
			_, _ = io.WriteString(w, `{"running":1,"slots":8}`)
			return
		}
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
		if r.URL.Path == "/stalled" {
			_, _ = io.WriteString(w, "first ")
			w.(http.Flusher).Flush()
			<-r.Context().Done()
			return
		}
		time.Sleep(4 * time.Second)
		_, _ = io.WriteString(w, "whole")
	}))
	defer server.Close()
	c := newClient(t, server.Listener.Addr().String(), Options{BetweenBytesTimeout: time.Second})
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	read := func(path string) (string, error) {
		resp, err := c.Do(ctx, "s", &Request{Method: "POST", Path: path, Body: []byte("x"), Idempotent: true})
		if err != nil {
			return "", err
		}
		defer resp.Body.Close()
		got, err := io.ReadAll(resp.Body)
		return string(got), err
	}
	stalled := make(chan error, 1)
	go func() {
		_, err := read("/stalled")
		stalled <- err
	}()
	got, err := read("/late")
	is.NoErr(err)
	is.Equal(got, "whole")
	is.Equal(<-stalled, io.ErrUnexpectedEOF)
}

// Guards against cutting a sound stream because polls were lost at an earlier time, on
// connections that were replaced then.
func TestLostPollsAreForgotten(t *testing.T) {
	for name, lostAgain := range map[string]bool{"overdue exchange": false, "lost polls": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := New(Options{})
			s := newServer("s", "127.0.0.1:1", c.opts)
			past := int64(c.opts.ReplacedConnGrace) + 1
			now := time.Now().UnixNano()
			s.replaceGeneration(s.currentGeneration(), now, now)
			s.checkDeadlines(now + past)
			now += 10 * past
			ex := newExchange(context.Background(), c, s, &Request{})
			defer ex.cancel(nil)
			ex.headArrived.Store(true)
			ex.bodyStarted.Store(true)
			ex.waitingSince.Store(now)
			s.register(ex)
			unansweredSince := int64(0)
			if lostAgain {
				unansweredSince = now
			}
			s.replaceGeneration(s.currentGeneration(), now, unansweredSince)
			overdue, _ := s.findOverdue(now + past)
			is.Equal(len(overdue) > 0, lostAgain)
		})
	}
}

// Guards against cutting streams whose server answers no load report for a while, but
// goes on with them every two seconds.
func TestStreamThatGoesOnOutlivesUnansweredPolls(t *testing.T) {
	t.Parallel()
	const gap, parts = 1900 * time.Millisecond, 8
	ended := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == loadPath {
			<-ended
			return
		}
		for range parts {
			_, _ = io.WriteString(w, "part ")
			w.(http.Flusher).Flush()
			time.Sleep(gap)
		}
	}))
	defer server.Close()
	defer close(ended)
	c := newClient(t, server.Listener.Addr().String(), Options{})
	var group sync.WaitGroup
	for i := range 10 { // at different points of the polls
		group.Go(func() {
			time.Sleep(time.Duration(i) * gap / 10)
			resp, err := c.Do(context.Background(), "s", &Request{Method: "POST", Path: "/run", Body: []byte("x"), Idempotent: true})
			if err != nil {
				t.Error(err)
				return
			}
			defer resp.Body.Close()
			if got, err := io.ReadAll(resp.Body); err != nil || strings.Count(string(got), "part") != parts {
				t.Errorf("got %q, error %v", got, err)
			}
		})
	}
	group.Wait()
}
