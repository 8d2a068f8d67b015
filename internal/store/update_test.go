package store_test

import (
	"context"
	"encoding/json"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"ragwortstep/internal/store"
	"ragwortstep/internal/store/storetest"
)

// lateStore answers the first writes with an unknown outcome. It makes the first one
// after the last of them, if its condition still holds.
type lateStore struct {
	*storetest.Fake
	unanswered int // writes that are not answered yet
	first      []byte
}

func (s *lateStore) Put(ctx context.Context, key string, value []byte, ifVersion int64) (store.Object, error) {
	if s.unanswered == 0 {
		return s.Fake.Put(ctx, key, value, ifVersion)
	}
	if s.first == nil {
		s.first = value
	}
	if s.unanswered--; s.unanswered == 0 {
		if _, err := s.Fake.Put(ctx, key, s.first, ifVersion); err != nil {
			return store.Object{}, err
		}
	}
	return store.Object{}, store.ErrUnknownOutcome
}

// Guards against making an update twice when the answers to several attempts were lost
// and an earlier one of them takes effect.
func TestLateWriteOfEarlierAttemptIsTheUpdate(t *testing.T) {
	for unanswered := range 4 {
		t.Run(strconv.Itoa(unanswered), func(t *testing.T) {
			is := is.New(t)
			objects := &lateStore{Fake: storetest.New(), unanswered: unanswered}
			increment := func(current json.RawMessage, _ bool) (json.RawMessage, error) {
				n := 0
				if current != nil {
					is.NoErr(json.Unmarshal(current, &n))
				}
				return json.Marshal(n + 1)
			}
			_, got, err := store.Update(t.Context(), objects, store.NewWriter("w"), "k/x", increment)
			is.NoErr(err)
			is.Equal(string(got), "1")
			_, env, _, err := store.ReadEnvelope(t.Context(), objects, "k/x")
			is.NoErr(err)
			is.Equal(string(env.Data), "1")
		})
	}
}
