package platform

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	client "ragwortstep/internal/store"
)

func start(t *testing.T, change func(*Options)) (*client.HTTPStore, *Server, string) {
	t.Helper()
	opts := Options{Writes: 400, Reads: 2000, WritesPerClient: 200, ReadsPerClient: 1000, HistoryValues: []string{"config/"}}
	if change != nil {
		change(&opts)
	}
	s := New(opts)
	srv := httptest.NewServer(s)
	t.Cleanup(srv.CloseClientConnections)
	return client.NewHTTPStore(srv.URL, "host-1"), s, srv.URL
}

// Guards against a stand-in that is incompatible with the real store client, or
// that accepts a write with a stale version.
func TestStoreClientAgainstStandin(t *testing.T) {
	is := is.New(t)
	store, _, _ := start(t, nil)
	ctx := context.Background()
	first, err := store.Put(ctx, "config/head", []byte("one"), 0)
	is.NoErr(err)
	_, err = store.Put(ctx, "config/head", []byte("two"), 0)
	is.True(errors.Is(err, client.ErrConflict))
	second, err := store.Put(ctx, "config/head", []byte("two"), first.Version)
	is.NoErr(err)
	is.True(second.Version > first.Version)
	got, err := store.Get(ctx, "config/head")
	is.NoErr(err)
	is.Equal(string(got.Value), "two")
	is.Equal(got.Version, second.Version)
	_, err = store.Get(ctx, "config/none")
	is.True(errors.Is(err, client.ErrNotFound))
	is.True(errors.Is(store.Delete(ctx, "config/head", first.Version), client.ErrConflict))
	is.NoErr(store.Delete(ctx, "config/head", second.Version))
}

// Guards against listings that skip or repeat keys between pages.
func TestListPaging(t *testing.T) {
	is := is.New(t)
	store, _, _ := start(t, nil)
	ctx := context.Background()
	for _, key := range []string{"a/2", "a/1", "b/1", "a/3"} {
		_, err := store.Put(ctx, key, []byte(key), 0)
		is.NoErr(err)
	}
	page, err := store.List(ctx, "a/", "", 2)
	is.NoErr(err)
	is.Equal(len(page.Objects), 2)
	is.Equal(page.Next, "a/2")
	page, err = store.List(ctx, "a/", page.Next, 2)
	is.NoErr(err)
	is.Equal(len(page.Objects), 1)
	is.Equal(page.Objects[0].Key, "a/3")
	is.Equal(page.Next, "")
}

// Guards against a watch that returns early, misses a change, or returns for a
// change under another prefix.
func TestWatchDeliversChange(t *testing.T) {
	is := is.New(t)
	store, _, _ := start(t, nil)
	ctx := context.Background()
	first, err := store.Put(ctx, "a/1", nil, 0)
	is.NoErr(err)
	go func() {
		_, _ = store.Put(ctx, "b/1", []byte("x"), 0)
		time.Sleep(50 * time.Millisecond)
		_ = store.Delete(ctx, "a/1", client.AnyVersion)
	}()
	result, err := store.Watch(ctx, "a/", first.Version, 0)
	is.NoErr(err)
	is.Equal(len(result.Events), 1)
	is.True(result.Events[0].Deleted)
	is.True(result.Version >= result.Events[0].Version)
}

// Guards against injected faults that change the effect of a call rather than its
// response.
func TestFaults(t *testing.T) {
	is := is.New(t)
	store, s, _ := start(t, nil)
	ctx := context.Background()
	s.faults.Set(Faults{LostResponseRate: 1})
	_, err := store.Put(ctx, "config/a", []byte("v"), 0)
	is.True(errors.Is(err, client.ErrUnknownOutcome))
	s.faults.Set(Faults{Outage: outageRefuse})
	_, err = store.Get(ctx, "config/a")
	is.True(errors.Is(err, client.ErrUnavailable))
	s.faults.Set(Faults{BlockedClients: []string{"host-1"}, BlockedMode: outageReset})
	_, err = store.Get(ctx, "config/a")
	is.True(errors.Is(err, client.ErrUnavailable))
	s.faults.Set(Faults{})
	got, err := store.Get(ctx, "config/a")
	is.NoErr(err)
	is.Equal(string(got.Value), "v")
	writes := s.ledger.history("config/")
	is.Equal(len(writes), 1)
	is.True(writes[0].ResponseLost)
	is.Equal(string(writes[0].Value), "v")
}

// Guards against rate and size limits that are not enforced, and against a refused
// write that is applied.
func TestRateLimitAndSize(t *testing.T) {
	is := is.New(t)
	store, s, _ := start(t, func(o *Options) { o.WritesPerClient = 2 })
	ctx := context.Background()
	refused := 0
	for range 10 {
		if _, err := store.Put(ctx, "k", []byte("v"), client.AnyVersion); errors.Is(err, client.ErrRateLimited) {
			refused++
		}
	}
	is.True(refused >= 7)
	is.Equal(len(s.ledger.history("k")), 10-refused)
	is.Equal(s.ledger.summary().Clients["host-1"]["put_refused"], refused)
	other, s2, url := start(t, nil)
	_, err := other.Put(ctx, "big", make([]byte, client.MaxValueBytes), 0)
	is.NoErr(err)
	req, err := http.NewRequest(http.MethodPut, url+"/v1/objects/bigger", bytes.NewReader(make([]byte, client.MaxValueBytes+1)))
	is.NoErr(err)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
	is.Equal(len(s2.ledger.history("bigger")), 0)
}

// Guards against a change of the host list that is visible before the delay.
func TestHostListDelay(t *testing.T) {
	is := is.New(t)
	h := &hostList{delay: time.Second}
	now := time.Unix(1000, 0)
	h.set([]client.HostEntry{{Name: "host-1", State: "live"}}, now)
	is.Equal(len(h.get(now.Add(999*time.Millisecond))), 0)
	is.Equal(len(h.get(now.Add(time.Second))), 1)
}

// Guards against a dropped event that is delivered or ends the watch, or whose
// object is missing from a listing.
func TestDroppedEvents(t *testing.T) {
	is := is.New(t)
	store, s, _ := start(t, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	s.faults.Set(Faults{DropEventRate: 1})
	_, err := store.Put(ctx, "a/1", []byte("v"), 0)
	is.NoErr(err)
	_, err = store.Watch(ctx, "a/", 0, 0)
	is.True(err != nil) // no event arrived before ctx ended
	page, err := store.List(context.Background(), "a/", "", 10)
	is.NoErr(err)
	is.Equal(len(page.Objects), 1)
}
