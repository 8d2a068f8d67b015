package jobs

import (
	"testing"

	"github.com/matryer/is"

	"ragwortstep/internal/fleet"
	"ragwortstep/internal/peer"
)

// Guards against a zone without hosts that watch for cancellations, and a zone in
// which all hosts list the jobs every second.
func TestWatchersPerZone(t *testing.T) {
	is := is.New(t)
	v := fleet.View{Alive: map[peer.HostID]bool{}}
	for _, host := range []peer.HostID{"a", "b", "c", "d"} {
		v.Members = append(v.Members, fleet.Member{Host: host, Zone: "z"})
		v.Alive[host] = host != "b"
	}
	v.Members = append(v.Members, fleet.Member{Host: "e", Zone: "y"})
	v.Alive["e"] = true
	for host, want := range map[peer.HostID]bool{"a": true, "b": false, "c": true, "d": false, "e": true, "new": false} {
		v.Self = host
		is.Equal(isWatcher(v), want)
	}
}
