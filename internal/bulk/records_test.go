package bulk

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"ragwortstep/internal/store"
	"ragwortstep/internal/store/storetest"
)

// fadingStore loses the answer to the first write of a head, which takes effect, and
// answers no read after it. It names no object with a conflict.
type fadingStore struct {
	*storetest.Fake
	written bool
}

func (s *fadingStore) Put(ctx context.Context, key string, value []byte, version int64) (store.Object, error) {
	obj, err := s.Fake.Put(ctx, key, value, version)
	if err != nil {
		return store.Object{}, err
	}
	if !s.written {
		s.written = true
		return store.Object{}, store.ErrUnknownOutcome
	}
	return obj, nil
}

func (s *fadingStore) Get(ctx context.Context, key string) (store.Object, error) {
	if s.written {
		return store.Object{}, store.ErrUnavailable
	}
	return s.Fake.Get(ctx, key)
}

// A call on a job whose write took effect, but whose answer was lost, must not be
// refused with a status that says that nothing was done.
func TestLostAnswerOfWritePromisesNothing(t *testing.T) {
	for name, call := range map[string]func(context.Context, records) error{
		"submit": func(ctx context.Context, r records) error {
			_, _, err := r.create(ctx, HeadKey("job"), Head{Workspace: "w"})
			return err
		},
		"end": func(ctx context.Context, r records) error {
			obj, err := r.store.(*fadingStore).Fake.Put(ctx, HeadKey("job"), []byte(`{}`), 0)
			if err != nil {
				return err
			}
			return r.changeHead(ctx, "job", &headCopy{Head{}, obj.Version}, func(h *Head) bool { h.Ended = true; return true })
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := call(t.Context(), records{&fadingStore{Fake: storetest.New()}})
			is.True(err != nil)
			is.Equal(RefusalOf(err).Status, http.StatusBadGateway)
		})
	}
}
