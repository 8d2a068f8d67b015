package membership

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

func member(host string) Member {
	return Member{Host: host, Incarnation: host + "/1", PeerAddress: host, Zone: "z"}
}

// heartbeatFrom returns a heartbeat from a host at a generation.
func heartbeatFrom(host string, epoch uint64, revision int64, silent ...string) Heartbeat {
	return Heartbeat{From: member(host), Generation: Generation{Epoch: epoch, Revision: revision}, Silent: silent}
}

// newSettledMember returns the machine of host a in a settled epoch 1 with the
// members a to e.
func newSettledMember(t *testing.T) (*Machine, time.Time) {
	t.Helper()
	now := time.Unix(1000, 0)
	m := New(Options{Self: member("a")}, now)
	e := Epoch{Number: 1}
	for _, host := range []string{"a", "b", "c", "d", "e"} {
		e.Members = append(e.Members, member(host))
	}
	m.AdoptEpoch(now, e)
	m.AdoptRevision(now, 1)
	for _, host := range []string{"b", "c", "d", "e"} {
		m.OnHeartbeatReply(now, now, heartbeatFrom(host, 1, 1))
	}
	if !m.Settled() || !now.Before(m.LeaseUntil()) {
		t.Fatal("generation not settled or lease not held")
	}
	return m, now
}

// Guards against a lease that is extended from the time of a reply instead of its
// request, by replies with a larger epoch or revision, or by less than a majority.
func TestLeaseCountsFromRequestStart(t *testing.T) {
	is := is.New(t)
	m, start := newSettledMember(t)
	now := start.Add(2 * time.Second)
	sentAt := now.Add(-time.Second)
	m.OnHeartbeatReply(now, sentAt, heartbeatFrom("b", 1, 1))
	m.Tick(now)
	is.Equal(m.LeaseUntil(), start.Add(DefaultLease)) // a and b are two of five
	m.OnHeartbeatReply(now, now, heartbeatFrom("c", 1, 2))
	m.Tick(now)
	is.Equal(m.LeaseUntil(), start.Add(DefaultLease)) // c has a larger revision
	m.OnHeartbeatReply(now, now, heartbeatFrom("d", 1, 1))
	m.Tick(now)
	is.Equal(m.LeaseUntil(), sentAt.Add(DefaultLease)) // a, b and d
	m.OnPlatformRead(now, now, Generation{Epoch: 1, Revision: 2})
	is.Equal(m.LeaseUntil(), sentAt.Add(DefaultLease)) // revision 2 is not adopted yet
	m.AdoptRevision(now.Add(time.Second), 2)
	is.Equal(m.LeaseUntil(), now.Add(DefaultLease)) // counted from the start of the read
	out := m.Tick(now.Add(10 * time.Second))
	is.True(out.LeaseLapsed)
}

// Guards against removing a member that only one host or a minority reports as
// silent, and against never removing members when the majority has failed.
func TestRemovalNeedsMajorityOrHostList(t *testing.T) {
	is := is.New(t)
	m, now := newSettledMember(t)
	advance := func(d time.Duration, received ...Heartbeat) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(100 * time.Millisecond)
			m.Tick(now)
			for _, hb := range received {
				m.OnHeartbeat(now, hb)
			}
		}
	}
	propose := func() []string {
		next, _ := m.Propose(now, m.Epoch(), true)
		var hosts []string
		for _, member := range next.Members {
			hosts = append(hosts, member.Host)
		}
		return hosts
	}
	advance(4*time.Second, heartbeatFrom("b", 1, 1), heartbeatFrom("c", 1, 1), heartbeatFrom("d", 1, 1))
	is.Equal(propose(), nil) // b, c and d do not report e as silent
	advance(time.Second, heartbeatFrom("b", 1, 1, "e"), heartbeatFrom("c", 1, 1, "e"), heartbeatFrom("d", 1, 1, "e"))
	is.Equal(propose(), []string{"a", "b", "c", "d"})
	advance(4*time.Second, heartbeatFrom("b", 1, 1, "c", "d", "e"))
	is.Equal(propose(), nil) // a and b may be partitioned from the majority
	is.True(m.NeedsHostList(now))
	m.SetAbsentHosts(now, map[string]bool{"b": true, "c": true, "e": true})
	is.Equal(propose(), []string{"a", "b", "d"}) // b sends heartbeats, d is still on the list
}

// Guards against activating a generation while a process may still hold its
// lease at the previous one.
func TestActivationWaitsForSilentMembers(t *testing.T) {
	is := is.New(t)
	m, now := newSettledMember(t)
	m.AdoptRevision(now, 2)
	for _, host := range []string{"b", "c"} {
		m.OnHeartbeat(now, heartbeatFrom(host, 1, 2))
	}
	m.OnHeartbeat(now, heartbeatFrom("d", 1, 1))
	is.True(!m.Settled())
	now = now.Add(DefaultLease + DefaultMargin - time.Millisecond)
	m.Tick(now)
	is.True(!m.Settled())
	now = now.Add(time.Millisecond)
	is.True(m.Tick(now).NewlySettled) // a majority confirmed it L plus the margin ago
	m.AdoptRevision(now, 3)
	for _, host := range []string{"b", "c", "d", "e"} {
		m.OnHeartbeat(now, heartbeatFrom(host, 1, 3))
	}
	is.True(m.Settled()) // all confirmed
	m.AdoptRevision(now, 4)
	for _, host := range []string{"b", "c", "d", "e"} {
		m.OnHeartbeat(now, heartbeatFrom(host, 1, 5))
	}
	is.True(!m.Settled()) // revision 5 may already be settled elsewhere
}

// Guards against two processes of one host that replace each other repeatedly
// after a paused one resumes.
func TestReplacedProcessDoesNotRejoin(t *testing.T) {
	is := is.New(t)
	m, now := newSettledMember(t)
	next := Epoch{Number: 2, Members: slices.Clone(m.Epoch().Members), Prior: []Prior{{Number: 1, Members: m.Epoch().identities()}}}
	next.Members[0].Incarnation = "a/2"
	removed := Epoch{Number: 2, Members: next.Members[1:]}
	m.AdoptEpoch(now, removed)
	_, change := m.Propose(now, removed, true)
	is.True(change) // it was removed but not replaced, so it rejoins
	next.Number = 3
	m.AdoptEpoch(now, next)
	_, change = m.Propose(now, next, true)
	is.True(!change)

	fresh := New(Options{Self: Member{Host: "a", Incarnation: "a/3"}}, now)
	fresh.AdoptEpoch(now, next)
	after, change := fresh.Propose(now, next, true)
	is.True(change)
	is.True(after.Has(Identity{Host: "a", Incarnation: "a/3"})) // a newer process replaces it
}
