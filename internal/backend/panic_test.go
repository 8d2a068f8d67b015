package backend

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"ragwortstep/internal/panics"
)

// An exchange that panicked counted as open for good, and its panic reached whoever had
// sent the request, which ends the process if that is not a caller's handler.
func TestPanicOfExchangeFailsIt(t *testing.T) {
	is := is.New(t)
	c := newClient(t, "127.0.0.1:1", Options{})
	s, err := c.server("s")
	is.NoErr(err)
	s.mu.Lock()
	gen := s.gen
	s.gen = nil // which panics
	s.mu.Unlock()
	_, err = c.Do(context.Background(), "s", &Request{Method: "POST", Path: "/"})
	s.mu.Lock()
	s.gen = gen
	defer s.mu.Unlock()
	var failure *Error
	is.True(errors.As(err, &failure))
	is.Equal(failure.Stage, NoResponse) // it may have run
	var panicked *panics.Error
	is.True(errors.As(err, &panicked))
	is.Equal(len(s.exchanges), 0)
}

// A poll that panicked ended the process.
func TestPanicOfPollFailsIt(t *testing.T) {
	is := is.New(t)
	c := newClient(t, "127.0.0.1:1", Options{})
	s, err := c.server("s")
	is.NoErr(err)
	result := <-s.pollAsync(t.Context(), &generation{}) // which panics, as it has no transport
	is.True(!result.answered)
	var panicked *panics.Error
	is.True(errors.As(result.err, &panicked))
}
