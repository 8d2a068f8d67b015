package store_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"ragwortstep/internal/servertest"
	"ragwortstep/internal/store"
)

// platformCalls are calls of the client, with the errors for lost answers.
var platformCalls = map[string]struct {
	lost error
	call func(context.Context, *store.HTTPStore) error
}{
	"get": {store.ErrUnavailable, func(ctx context.Context, s *store.HTTPStore) error { _, err := s.Get(ctx, "a/b"); return err }},
	"watch": {store.ErrUnavailable, func(ctx context.Context, s *store.HTTPStore) error {
		_, err := s.Watch(ctx, "a/", 1, time.Second)
		return err
	}},
	"put": {store.ErrUnknownOutcome, func(ctx context.Context, s *store.HTTPStore) error {
		_, err := s.Put(ctx, "a/b", []byte("x"), 1)
		return err
	}},
	"delete": {store.ErrUnknownOutcome, func(ctx context.Context, s *store.HTTPStore) error { return s.Delete(ctx, "a/b", 1) }},
}

// An answer of the platform with a malformed status must not count as a success.
func TestMalformedStatusOfPlatform(t *testing.T) {
	testMalformedPlatformHeads(t, servertest.MalformedStatuses)
}

// The same for a malformed line of the header.
func TestMalformedFieldOfPlatform(t *testing.T) {
	testMalformedPlatformHeads(t, servertest.MalformedFields)
}

func testMalformedPlatformHeads(t *testing.T, malformed func(lines, body string) map[string]string) {
	for name, call := range platformCalls {
		for fault, answer := range malformed("ETag: 7\r\nContent-Length: 2\r\n", "{}") {
			t.Run(name+" "+fault, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s := servertest.New(t, servertest.RespondAndHold(answer))
				is.True(errors.Is(call.call(t.Context(), store.NewHTTPStore("http://"+s.Address(), "host-1")), call.lost))
			})
		}
	}
}
