package entry

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"ragwortstep/internal/cluster"
	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/informer"
	"ragwortstep/internal/servertest"
	"ragwortstep/internal/slots"
	"ragwortstep/internal/store"
	"ragwortstep/internal/store/storetest"
	"ragwortstep/internal/upstream"
)

// fakePlatform decodes configurations that are one version number.
type fakePlatform struct {
	servertest.Codec
	retired atomic.Int64
	fault   atomic.Bool
}

var _ Platform = (*fakePlatform)(nil)

func (*fakePlatform) Store() Store { return nil }
func (*fakePlatform) Collections() Collections {
	return Collections{"config/", "servers/", "retirements/"}
}

func (*fakePlatform) DecodeConfig(o store.Object) (*routing.Snapshot, error) {
	if len(o.Value) != 1 {
		return nil, errors.New("not a version")
	}
	return routing.New(int64(o.Value[0]), nil, nil, nil, nil), nil
}

func (*fakePlatform) DecodeServer(o store.Object) (placement.Server, error) {
	if len(o.Value) == 0 {
		return placement.Server{}, errors.New("nothing to read")
	}
	return placement.Server{ID: o.Key, Instance: o.Key, Service: "s", Address: o.Key, Slots: 8, Ready: true}, nil
}

func (p *fakePlatform) CompleteRetirement(context.Context, store.Object) error {
	if p.fault.Load() {
		return store.ErrUnavailable
	}
	p.retired.Add(1)
	return nil
}

func (*fakePlatform) Callers(Services) http.Handler      { return nil }
func (*fakePlatform) Readiness(func() bool) http.Handler { return nil }

var quiet = slog.New(slog.DiscardHandler)

func copyOf(objects ...store.Object) informer.Copy {
	c := informer.Copy{Objects: map[string]store.Object{}}
	for _, o := range objects {
		c.Objects[o.Key] = o
	}
	return c
}

// TestAConfigurationNeverGoesBack guards against an older version after a
// newer one, and against losing the present one to an object that cannot be read.
func TestAConfigurationNeverGoesBack(t *testing.T) {
	is := is.New(t)
	c := &configuration{platform: &fakePlatform{}, log: quiet}
	is.True(c.Current() == nil)
	is.True(!c.Fresh())
	for _, step := range []struct {
		value []byte
		want  int64
	}{{[]byte{5}, 5}, {[]byte{3}, 5}, {[]byte{9}, 9}, {[]byte("??"), 9}, {[]byte{9}, 9}} {
		c.changed(copyOf(store.Object{Key: "config/main", Value: step.value}))
		is.Equal(c.Current().Version, step.want)
	}
}

func newServerList(t *testing.T) (*serverList, *slots.Scheduler) {
	t.Helper()
	udp, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = udp.Close() })
	s := slots.New(slots.Options{Zone: "z", Cluster: cluster.New(cluster.Options{Conn: udp, Logger: quiet}), Logger: quiet})
	return &serverList{platform: &fakePlatform{}, slots: s, upstream: upstream.New(upstream.Options{}), log: quiet}, s
}

func serverObject(key string) store.Object {
	return store.Object{Key: key, Version: 1, Value: []byte("x")}
}

// TestAnUnreadableEntryHarmsNoOther guards against losing all servers to one
// entry by another writer.
func TestAnUnreadableEntryHarmsNoOther(t *testing.T) {
	is := is.New(t)
	l, s := newServerList(t)
	l.changed(copyOf(serverObject("a"), store.Object{Key: "b"}, serverObject("c")))
	_, total := s.Fill("s")
	is.Equal(total, 16)
}

// TestEntriesThatLapsedInAnOutageAreKeptForAMoment guards against refusing
// everything because the servers' entries lapsed while the store was away, and
// against using servers that do not come back.
func TestEntriesThatLapsedInAnOutageAreKeptForAMoment(t *testing.T) {
	is := is.New(t)
	l, s := newServerList(t)
	l.changed(copyOf(serverObject("a"), serverObject("b")))
	lapsed := copyOf(serverObject("c"))
	lapsed.Returned = time.Now().Add(-lapsedFor + 150*time.Millisecond)
	l.changed(lapsed)
	_, total := s.Fill("s")
	is.Equal(total, 24)
	time.Sleep(300 * time.Millisecond)
	_, total = s.Fill("s")
	is.Equal(total, 8)
	l.changed(copyOf()) // an entry that goes in calm times goes at once
	_, total = s.Fill("s")
	is.Equal(total, 0)
}

// TestARetirementIsAnsweredUntilItIsStored guards against a machine that is
// never taken away because one answer failed.
func TestARetirementIsAnsweredUntilItIsStored(t *testing.T) {
	is := is.New(t)
	p := &fakePlatform{}
	p.fault.Store(true)
	r := &retirements{platform: p, log: quiet}
	request := copyOf(store.Object{Key: "retirements/m"})
	r.changed(request)
	r.answer(context.Background())
	is.Equal(p.retired.Load(), int64(0))
	p.fault.Store(false)
	r.answer(context.Background())
	r.answer(context.Background())
	r.changed(request)
	r.answer(context.Background())
	is.Equal(p.retired.Load(), int64(1))
	r.changed(copyOf()) // taken away, and asked for once more
	r.changed(request)
	r.answer(context.Background())
	is.Equal(p.retired.Load(), int64(2))
}

// TestAHostThatIsGoneIsForgotten guards against registrations, and shares of
// quotas reserved for them, that pile up as hosts are replaced.
func TestAHostThatIsGoneIsForgotten(t *testing.T) {
	is := is.New(t)
	udp, err := net.ListenPacket("udp4", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = udp.Close() })
	objects := storetest.New()
	ctx := context.Background()
	for _, name := range []string{"a", "b"} {
		_, err := objects.Put(ctx, memberKey(name), []byte(`{}`), 0)
		is.NoErr(err)
	}
	c := cluster.New(cluster.Options{Self: cluster.Member{Name: "a"}, Conn: udp, Logger: quiet})
	c.SetMembers([]cluster.Member{{Name: "a"}, {Name: "b", Incarnation: 1, Address: "127.0.0.1:1"}})
	reader := false
	m := &members{cluster: c, store: objects, isReader: func() bool { return reader }, log: quiet}
	now := time.Now()
	m.sweep(ctx, now)
	m.sweep(ctx, now.Add(goneFor))
	_, err = objects.Get(ctx, memberKey("b"))
	is.NoErr(err) // another host reads the store
	reader = true
	m.sweep(ctx, now.Add(goneFor))
	_, err = objects.Get(ctx, memberKey("b"))
	is.True(errors.Is(err, store.ErrNotFound))
	_, err = objects.Get(ctx, memberKey("a"))
	is.NoErr(err)
}
