package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The users' bound: in every window of 5 s no more than 1.1 times what rate
// and burst allow, and 20.
const (
	window  = 5 * time.Second
	overage = 0.1
	slack   = 20
)

func allowed(l Limit) float64 { return (l.Rate*window.Seconds()+l.Burst)*(1+overage) + slack }

// fleet simulates hosts that report to each other.
type fleet struct {
	hosts    []*Quotas
	inc      []int64
	cut      map[[2]int]bool
	admitted []time.Time
	now      time.Time
	rng      *rand.Rand
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{cut: map[[2]int]bool{}, now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 0))}
	for range n {
		f.hosts = append(f.hosts, nil)
		f.inc = append(f.inc, 0)
	}
	for i := range f.hosts {
		f.restart(i)
	}
	return f
}

func (f *fleet) restart(i int) {
	f.hosts[i] = New(f.now)
	f.hosts[i].SetHosts(len(f.hosts))
	f.inc[i]++
}

// run offers requests at a rate to hosts drawn by share, with a report of each
// host to each other one every 200 ms.
func (f *fleet) run(d time.Duration, offered float64, share []float64, limit Limit) (asked, admitted int) {
	const step = 5 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for i, q := range f.hosts {
			if f.rng.Float64() < offered*share[i]*step.Seconds() {
				asked++
				if ok, _ := q.Admit("w", limit, f.now); ok {
					admitted++
					f.admitted = append(f.admitted, f.now)
				}
			}
			if f.now.UnixMilli()%200 == int64(i*20%200) {
				f.report(i)
			}
		}
	}
	return asked, admitted
}

func (f *fleet) report(from int) {
	reports := f.hosts[from].Reports(f.now)
	for to, q := range f.hosts {
		if to == from || f.cut[[2]int{from, to}] {
			continue
		}
		name := fmt.Sprint("host", from)
		q.Heard(name, f.now)
		for w, r := range reports {
			q.Reported(name, f.inc[from], w, r, f.now)
		}
	}
}

// most returns the most admissions in any window.
func (f *fleet) most() int {
	most, start := 0, 0
	for end := range f.admitted {
		for f.admitted[end].Sub(f.admitted[start]) >= window {
			start++
		}
		most = max(most, end-start+1)
	}
	return most
}

func even(n int) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = 1 / float64(n)
	}
	return out
}

// TestTheFleetKeepsTheLimit guards against hosts that each give the whole
// quota away, with traffic far over the limit that moves between hosts.
func TestTheFleetKeepsTheLimit(t *testing.T) {
	for _, rate := range []float64{2, 20, 60, 150} {
		for seed := range uint64(5) {
			limit := Limit{Rate: rate, Burst: rate}
			f := newFleet(8, seed)
			for range 4 {
				share := make([]float64, 8)
				share[f.rng.IntN(8)] += 0.5
				share[f.rng.IntN(8)] += 0.3
				share[f.rng.IntN(8)] += 0.2
				f.run(3*time.Second, 5*rate, share, limit)
			}
			if most := f.most(); float64(most) > allowed(limit) {
				t.Errorf("rate %g seed %d: %d in a window, %g allowed", rate, seed, most, allowed(limit))
			}
		}
	}
}

// TestHalvesThatDoNotHearEachOther guards against two halves of a fleet that
// each take the whole rate while they are cut from each other.
func TestHalvesThatDoNotHearEachOther(t *testing.T) {
	limit := Limit{Rate: 60, Burst: 60}
	f := newFleet(8, 1)
	f.run(4*time.Second, 300, even(8), limit)
	for a := range 8 {
		for b := range 8 {
			f.cut[[2]int{a, b}] = (a < 4) != (b < 4)
		}
	}
	f.run(10*time.Second, 300, even(8), limit)
	clear(f.cut)
	f.run(4*time.Second, 300, even(8), limit)
	if most := f.most(); float64(most) > allowed(limit) {
		t.Errorf("%d in a window, %g allowed", most, allowed(limit))
	}
}

// TestRestartsGiveNoSecondBurst guards against a full bucket at each start.
func TestRestartsGiveNoSecondBurst(t *testing.T) {
	limit := Limit{Rate: 60, Burst: 60}
	f := newFleet(8, 2)
	f.run(4*time.Second, 300, even(8), limit)
	for i := range 8 {
		f.restart(i)
		f.run(500*time.Millisecond, 300, even(8), limit)
	}
	f.run(3*time.Second, 300, even(8), limit)
	if most := f.most(); float64(most) > allowed(limit) {
		t.Errorf("%d in a window, %g allowed", most, allowed(limit))
	}
}

// TestRequestsInsideTheRateAreAdmitted guards against refusals of a workspace
// that stays inside its limit, whichever hosts its requests reach.
func TestRequestsInsideTheRateAreAdmitted(t *testing.T) {
	limit := Limit{Rate: 40, Burst: 40}
	for _, share := range [][]float64{even(8), {1, 0, 0, 0, 0, 0, 0, 0}, {0.6, 0.4, 0, 0, 0, 0, 0, 0}} {
		f := newFleet(8, 3)
		f.run(2*time.Second, 25, share, limit)
		asked, admitted := f.run(20*time.Second, 25, share, limit)
		if float64(asked-admitted) > 0.01*float64(asked) {
			t.Errorf("share %v: %d of %d refused", share, asked-admitted, asked)
		}
	}
}

func TestALimitOfZeroAdmitsEverything(t *testing.T) {
	is := is.New(t)
	q := New(time.Unix(0, 0))
	for range 1000 {
		ok, _ := q.Admit("w", Limit{}, time.Unix(0, 0))
		is.True(ok)
	}
}

// TestARefusalTellsWhenToComeBack guards against advice that only the balance
// of this moment supports.
func TestARefusalTellsWhenToComeBack(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	q := New(now)
	limit := Limit{Rate: 2, Burst: 1}
	ok, _ := q.Admit("w", limit, now)
	is.True(ok)
	ok, after := q.Admit("w", limit, now)
	is.True(!ok)
	is.Equal(after, 500*time.Millisecond)
	ok, _ = q.Admit("w", limit, now.Add(after))
	is.True(ok)
}

// TestAnIdleHostKnowsTheBucketIsFull guards against refusals at hosts that see
// a workspace for the first time: with 56 hosts an even share of a burst is
// less than one request.
func TestAnIdleHostKnowsTheBucketIsFull(t *testing.T) {
	is := is.New(t)
	limit := Limit{Rate: 10, Burst: 10}
	f := newFleet(56, 4)
	f.run(3*time.Second, 0, even(56), limit)
	asked, admitted := f.run(6*time.Second, 6, even(56), limit)
	is.Equal(admitted, asked)
}
