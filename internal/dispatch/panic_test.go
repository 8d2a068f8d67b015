package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/backend"
)

// A request that panicked after it had got its slot kept it for good, and a draining
// host waited for that request.
func TestPanicKeepsNoSlot(t *testing.T) {
	is := is.New(t)
	server := newFakeServer(t, "e", 1, respondAfter(0))
	n := newNetwork(t, snapshot([]*fakeServer{server}, map[string]float64{"w": 1}), "h")
	d := n.start(t, "h", Options{})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	client := d.client
	for range 3 {
		d.client = nil // which panics
		func() {
			defer func() { is.True(recover() != nil) }()
			_, _ = call(ctx, d, &Request{ID: "1", Workspace: "w"}) // it does not return
		}()
		d.client = client
		got, err := call(ctx, d, &Request{ID: "2", Workspace: "w", Body: []byte("x")})
		is.NoErr(err)
		is.Equal(got, "did x")
	}
	is.NoErr(d.Drain(ctx))
}

// A load report whose handling panicked ended the process.
func TestPanicOfObserverLosesOneReport(t *testing.T) {
	is := is.New(t)
	d := New(Options{Fleet: newNetwork(t, snapshot(nil, nil), "h").hosts["h"]}) // not started
	d.bal = nil                                                                 // which panics
	pollObserver{d}.LoadReported("e", backend.Load{Slots: 1}, true, time.Now(), time.Now())
	pollObserver{d}.PollFailed("e", context.DeadlineExceeded)
	is.True(d.mu.TryLock())
	d.mu.Unlock()
}
