package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Required bound: in every window of 5 s at most 1.1 times the requests that rate
// and burst allow, plus 20.
const (
	window  = 5 * time.Second
	overage = 0.1
	slack   = 20
)

func allowed(l Limit) float64 { return (l.Rate*window.Seconds()+l.Burst)*(1+overage) + slack }

// fleet simulates hosts that report to each other.
type fleet struct {
	hosts        []*Quotas
	incarnations []int64
	partitioned  map[[2]int]bool
	admitted     []time.Time
	now          time.Time
	rng          *rand.Rand
	limit        Limit
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{partitioned: map[[2]int]bool{}, now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 0))}
	for range n {
		f.hosts = append(f.hosts, nil)
		f.incarnations = append(f.incarnations, 0)
	}
	for i := range f.hosts {
		f.restart(i)
	}
	return f
}

func (f *fleet) restart(i int) {
	f.hosts[i] = New(f.now, f.rng)
	f.hosts[i].SetHosts(len(f.hosts), f.now)
	f.hosts[i].SetReportLag(100 * time.Millisecond)
	f.incarnations[i]++
}

// run offers requests at a rate, divided among the hosts by share. Each host
// reports to all others every 200 ms. It returns the offered and the admitted
// requests.
func (f *fleet) run(d time.Duration, offered float64, share []float64, limit Limit) (asked, admitted int) {
	const step = 5 * time.Millisecond
	f.limit = limit
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
		if to == from || f.partitioned[[2]int{from, to}] {
			continue
		}
		name := fmt.Sprint("host", from)
		q.Seen(name, f.now)
		for w, r := range reports {
			q.ApplyReport(name, f.incarnations[from], w, r, f.limit, f.now)
		}
	}
}

// maxInWindow returns the maximum of admissions in any window.
func (f *fleet) maxInWindow() int { return maxInWindow(f.admitted) }

func maxInWindow(admitted []time.Time) int {
	most, start := 0, 0
	for end := range admitted {
		for admitted[end].Sub(admitted[start]) >= window {
			start++
		}
		most = max(most, end-start+1)
	}
	return most
}

func testRand() *rand.Rand { return rand.New(rand.NewPCG(1, 0)) }

func evenShares(n int) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = 1 / float64(n)
	}
	return out
}

// TestFleetStaysWithinLimit guards against hosts that each admit the whole quota
// when traffic far above the limit moves between hosts.
func TestFleetStaysWithinLimit(t *testing.T) {
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
			if maxInWindow := f.maxInWindow(); float64(maxInWindow) > allowed(limit) {
				t.Errorf("rate %g seed %d: %d in a window, %g allowed", rate, seed, maxInWindow, allowed(limit))
			}
		}
	}
}

// TestPartitionedFleetStaysWithinLimit guards against two halves of a fleet that
// each admit the whole rate during a network partition.
func TestPartitionedFleetStaysWithinLimit(t *testing.T) {
	limit := Limit{Rate: 60, Burst: 60}
	f := newFleet(8, 1)
	f.run(4*time.Second, 300, evenShares(8), limit)
	for a := range 8 {
		for b := range 8 {
			f.partitioned[[2]int{a, b}] = (a < 4) != (b < 4)
		}
	}
	f.run(10*time.Second, 300, evenShares(8), limit)
	clear(f.partitioned)
	f.run(4*time.Second, 300, evenShares(8), limit)
	if maxInWindow := f.maxInWindow(); float64(maxInWindow) > allowed(limit) {
		t.Errorf("%d in a window, %g allowed", maxInWindow, allowed(limit))
	}
}

// TestRestartsGiveNoSecondBurst guards against a full bucket after each restart
// of a host.
func TestRestartsGiveNoSecondBurst(t *testing.T) {
	limit := Limit{Rate: 60, Burst: 60}
	f := newFleet(8, 2)
	f.run(4*time.Second, 300, evenShares(8), limit)
	for i := range 8 {
		f.restart(i)
		f.run(500*time.Millisecond, 300, evenShares(8), limit)
	}
	f.run(3*time.Second, 300, evenShares(8), limit)
	if maxInWindow := f.maxInWindow(); float64(maxInWindow) > allowed(limit) {
		t.Errorf("%d in a window, %g allowed", maxInWindow, allowed(limit))
	}
}

// TestRequestsWithinRateAreAdmitted guards against refusals of a workspace that
// stays within its limit, whichever hosts its requests reach.
func TestRequestsWithinRateAreAdmitted(t *testing.T) {
	limit := Limit{Rate: 40, Burst: 40}
	for _, share := range [][]float64{evenShares(8), {1, 0, 0, 0, 0, 0, 0, 0}, {0.6, 0.4, 0, 0, 0, 0, 0, 0}} {
		f := newFleet(8, 3)
		f.run(2*time.Second, 25, share, limit)
		asked, admitted := f.run(20*time.Second, 25, share, limit)
		if float64(asked-admitted) > 0.01*float64(asked) {
			t.Errorf("share %v: %d of %d refused", share, asked-admitted, asked)
		}
	}
}

func TestZeroRateAdmitsEverything(t *testing.T) {
	is := is.New(t)
	q := New(time.Unix(0, 0), testRand())
	for range 1000 {
		ok, _ := q.Admit("w", Limit{}, time.Unix(0, 0))
		is.True(ok)
	}
}

// TestRefusalReturnsRetryDelay guards against a retry delay after which the
// request is refused again.
func TestRefusalReturnsRetryDelay(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	q := New(now.Add(-time.Second), testRand()) // long enough to fill the bucket
	q.SetHosts(1, now)
	limit := Limit{Rate: 2, Burst: 1}
	ok, _ := q.Admit("w", limit, now)
	is.True(ok)
	ok, after := q.Admit("w", limit, now)
	is.True(!ok)
	is.Equal(after, 500*time.Millisecond)
	ok, _ = q.Admit("w", limit, now.Add(after))
	is.True(ok)
}

// TestFirstRequestsAtIdleHostsAreAdmitted guards against refusals at hosts that
// get a workspace's first request: with 56 hosts an even share of the burst is
// less than one request, although the bucket is full.
func TestFirstRequestsAtIdleHostsAreAdmitted(t *testing.T) {
	is := is.New(t)
	limit := Limit{Rate: 10, Burst: 10}
	f := newFleet(56, 4)
	f.run(3*time.Second, 0, evenShares(56), limit)
	asked, admitted := f.run(6*time.Second, 6, evenShares(56), limit)
	is.Equal(admitted, asked)
}
