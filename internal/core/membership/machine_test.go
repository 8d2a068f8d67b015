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

// beat is a heartbeat of a host at a generation.
func beat(host string, epoch uint64, revision int64, silent ...string) Heartbeat {
	return Heartbeat{From: member(host), Generation: Generation{Epoch: epoch, Revision: revision}, Silent: silent}
}

// newMember returns host a in epoch 1 of a to e, settled.
func newMember(t *testing.T) (*Machine, time.Time) {
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
		m.OnAnswer(now, now, beat(host, 1, 1))
	}
	if !m.Settled() || !now.Before(m.LeaseUntil()) {
		t.Fatal("not settled or no lease")
	}
	return m, now
}

// Guards against a lease that is counted from the answer, or renewed by
// answers that know something larger, or by less than a majority.
func TestLeaseCountsFromTheQuestion(t *testing.T) {
	is := is.New(t)
	m, start := newMember(t)
	now := start.Add(2 * time.Second)
	asked := now.Add(-time.Second)
	m.OnAnswer(now, asked, beat("b", 1, 1))
	m.Tick(now)
	is.Equal(m.LeaseUntil(), start.Add(DefaultLease)) // a and b are two of five
	m.OnAnswer(now, now, beat("c", 1, 2))
	m.Tick(now)
	is.Equal(m.LeaseUntil(), start.Add(DefaultLease)) // c knows a larger revision
	m.OnAnswer(now, now, beat("d", 1, 1))
	m.Tick(now)
	is.Equal(m.LeaseUntil(), asked.Add(DefaultLease)) // a, b and d
	m.OnPlatform(now, now, Generation{Epoch: 1, Revision: 2})
	is.Equal(m.LeaseUntil(), asked.Add(DefaultLease)) // revision 2 is not adopted yet
	m.AdoptRevision(now.Add(time.Second), 2)
	is.Equal(m.LeaseUntil(), now.Add(DefaultLease)) // the read counts from when it was asked
	out := m.Tick(now.Add(10 * time.Second))
	is.True(out.LeaseLapsed)
}

// Guards against removing a member on the word of one host or of a minority,
// and against keeping members of a lost majority for ever.
func TestRemovalNeedsMajorityOrHostList(t *testing.T) {
	is := is.New(t)
	m, now := newMember(t)
	pass := func(d time.Duration, hear ...Heartbeat) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(100 * time.Millisecond)
			m.Tick(now)
			for _, hb := range hear {
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
	pass(4*time.Second, beat("b", 1, 1), beat("c", 1, 1), beat("d", 1, 1))
	is.Equal(propose(), nil) // b, c and d still hear e
	pass(time.Second, beat("b", 1, 1, "e"), beat("c", 1, 1, "e"), beat("d", 1, 1, "e"))
	is.Equal(propose(), []string{"a", "b", "c", "d"})
	pass(4*time.Second, beat("b", 1, 1, "c", "d", "e"))
	is.Equal(propose(), nil) // a and b may be cut off from the majority
	is.True(m.NeedsHostList(now))
	m.SetGone(now, map[string]bool{"b": true, "c": true, "e": true})
	is.Equal(propose(), []string{"a", "b", "d"}) // b is heard, d is still listed
}

// Guards against activating a generation while a process may hold its lease at
// the former one.
func TestActivationWaitsForSilentMembers(t *testing.T) {
	is := is.New(t)
	m, now := newMember(t)
	m.AdoptRevision(now, 2)
	for _, host := range []string{"b", "c"} {
		m.OnHeartbeat(now, beat(host, 1, 2))
	}
	m.OnHeartbeat(now, beat("d", 1, 1))
	is.True(!m.Settled())
	now = now.Add(DefaultLease + DefaultMargin - time.Millisecond)
	m.Tick(now)
	is.True(!m.Settled())
	now = now.Add(time.Millisecond)
	is.True(m.Tick(now).NewlySettled) // a majority confirmed L and the margin ago
	m.AdoptRevision(now, 3)
	for _, host := range []string{"b", "c", "d", "e"} {
		m.OnHeartbeat(now, beat(host, 1, 3))
	}
	is.True(m.Settled()) // all confirmed
	m.AdoptRevision(now, 4)
	for _, host := range []string{"b", "c", "d", "e"} {
		m.OnHeartbeat(now, beat(host, 1, 5))
	}
	is.True(!m.Settled()) // revision 5 may be in force
}

// Guards against two processes of one host that displace each other in turn,
// when a paused one resumes after it was replaced.
func TestReplacedProcessDoesNotReturn(t *testing.T) {
	is := is.New(t)
	m, now := newMember(t)
	next := Epoch{Number: 2, Members: slices.Clone(m.Epoch().Members), Prior: []Prior{{Number: 1, Members: m.Epoch().identities()}}}
	next.Members[0].Incarnation = "a/2"
	removed := Epoch{Number: 2, Members: next.Members[1:]}
	m.AdoptEpoch(now, removed)
	_, change := m.Propose(now, removed, true)
	is.True(change) // it was only removed, and returns
	next.Number = 3
	m.AdoptEpoch(now, next)
	_, change = m.Propose(now, next, true)
	is.True(!change)

	fresh := New(Options{Self: Member{Host: "a", Incarnation: "a/3"}}, now)
	fresh.AdoptEpoch(now, next)
	after, change := fresh.Propose(now, next, true)
	is.True(change)
	is.True(after.Has(Identity{Host: "a", Incarnation: "a/3"})) // a new process takes its place
}
