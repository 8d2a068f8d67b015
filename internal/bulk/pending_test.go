package bulk

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/cluster"
	"ragwortstep/internal/core/itemlist"
	"ragwortstep/internal/informer"
	"ragwortstep/internal/metrics"
	"ragwortstep/internal/peer/peertest"
	"ragwortstep/internal/slots"
	"ragwortstep/internal/store/storetest"
)

// TestResultsThatWaitedAreListedAfterATakeover guards against results that
// ended before this host gave a job up, and are never listed when it takes the
// job over again: no item is left whose end would start the writing.
func TestResultsThatWaitedAreListedAfterATakeover(t *testing.T) {
	is := is.New(t)
	udp, err := net.ListenPacket("udp4", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = udp.Close() })
	objects, logger := storetest.New(), slog.New(slog.DiscardHandler)
	c := cluster.New(cluster.Options{Self: cluster.Member{Name: "a"}, Conn: udp, Logger: logger})
	node := peertest.New().Node("a")
	inf := informer.New(informer.Options{
		Store: objects, Cluster: c, Peers: node, Members: Collection, Logger: logger,
		Collections: []informer.Collection{{Prefix: Collection, Wait: time.Millisecond, TakeOver: time.Second}},
	})
	s := New(Options{
		Store: objects, Cluster: c, Informer: inf, Peers: node, Slots: slots.New(slots.Options{Cluster: c, Logger: logger}),
		Metrics: metrics.New(), Logger: logger,
	})
	j := newJob("job", Head{Items: []string{"x"}})
	j.setItems([]Item{{ID: "x"}})
	is.True(j.list.Add(itemlist.Result{ID: "x", State: itemlist.Completed}))
	s.start(j)
	for deadline := time.Now().Add(2 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if _, err := objects.Get(context.Background(), segmentKey("job", 0)); err == nil {
			break
		}
		is.True(time.Now().Before(deadline)) // the result is listed
	}
}
