package bulk

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"ragwortstep/internal/cluster"
	"ragwortstep/internal/informer"
	"ragwortstep/internal/metrics"
	"ragwortstep/internal/peer/peertest"
	"ragwortstep/internal/slots"
	"ragwortstep/internal/store/storetest"
)

// newLocal returns the Service of a single host without running it.
func newLocal(t *testing.T, objects *storetest.Fake, readable time.Duration) *Service {
	t.Helper()
	udp, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = udp.Close() })
	logger := slog.New(slog.DiscardHandler)
	c := cluster.New(cluster.Options{Self: cluster.Member{Name: "a"}, Conn: udp, Logger: logger})
	node := peertest.New().Node("a")
	inf := informer.New(informer.Options{
		Store: objects, Cluster: c, Peers: node, Members: Collection, Logger: logger,
		Collections: []informer.Collection{{Prefix: Collection, Wait: time.Millisecond, TakeOver: time.Second}},
	})
	return New(Options{
		Store: objects, Cluster: c, Informer: inf, Peers: node, Slots: slots.New(slots.Options{Cluster: c, Logger: logger}),
		Metrics: metrics.New(), Readable: readable, Logger: logger,
	})
}
