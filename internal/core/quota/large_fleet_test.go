package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// largeFleet simulates hosts in zones. As in internal/cluster, hosts report to
// the delegate of their zone, delegates exchange sums of their zones, and each
// delegate passes all sums on to its hosts without their own part.
type largeFleet struct {
	hosts        []*Quotas
	names        []string
	incarnations []int64
	zoneOf       []int
	reported     []Report   // what each host's delegate knows of it
	heard        []bool     // the delegate has a report of the present process
	sums         [][]report // by receiving zone and sending zone
	restartedAt  time.Time  // of all hosts
	cutZone      int        // sends and receives no reports; -1 if there is none
	// hostsKnownAfter is the time from the start of all hosts until they have the
	// list of hosts.
	hostsKnownAfter time.Duration
	admitted        []time.Time
	now             time.Time
	rng             *rand.Rand
	limit           Limit
}

// report is a zone's sum.
type report struct {
	Report
	incarnation int64
	hosts       []int
}

const (
	reportInterval = 250 * time.Millisecond
	fleetStep      = 5 * time.Millisecond
	reportLag      = 3 * reportInterval / 2 // from a host by two delegates to another
	// firstReports is the time from the start of all hosts until they send reports.
	firstReports = 150 * time.Millisecond
)

func newLargeFleet(zones, hostsPerZone int, limit Limit, seed uint64) *largeFleet {
	n := zones * hostsPerZone
	f := &largeFleet{
		hosts: make([]*Quotas, n), incarnations: make([]int64, n), zoneOf: make([]int, n), reported: make([]Report, n), heard: make([]bool, n),
		sums: make([][]report, zones), cutZone: -1, now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 0)), limit: limit,
	}
	for z := range f.sums {
		f.sums[z] = make([]report, zones)
	}
	for i := range f.hosts {
		f.zoneOf[i] = i % zones
		f.names = append(f.names, fmt.Sprint("host", i))
		f.restart(i)
	}
	return f
}

func (f *largeFleet) restart(i int) {
	f.hosts[i] = New(f.now, f.rng)
	if f.hostsKnownAfter == 0 {
		f.register(i)
	}
	f.incarnations[i]++
	f.reported[i], f.heard[i] = Report{}, false
}

// register gives a host the list of hosts.
func (f *largeFleet) register(i int) {
	f.hosts[i].SetHosts(len(f.hosts), f.now)
	f.hosts[i].SetReportLag(reportLag)
}

// restartAll kills all hosts, which start again after the given time.
func (f *largeFleet) restartAll(down time.Duration) {
	f.now = f.now.Add(down)
	f.restartedAt = f.now
	for i := range f.hosts {
		f.restart(i)
	}
	for z := range f.sums {
		clear(f.sums[z])
	}
}

// run offers requests at a rate to all hosts evenly.
func (f *largeFleet) run(d time.Duration, offered float64) (asked, admitted int) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(fleetStep) {
		for i, q := range f.hosts {
			if f.hostsKnownAfter > 0 && f.now.Equal(f.restartedAt.Add(f.hostsKnownAfter)) {
				f.register(i)
			}
			if f.rng.Float64() < offered/float64(len(f.hosts))*fleetStep.Seconds() {
				asked++
				if ok, _ := q.Admit("w", f.limit, f.now); ok {
					admitted++
					f.admitted = append(f.admitted, f.now)
				}
			}
			if f.due(i * 7) {
				f.reported[i], f.heard[i] = q.Reports(f.now)["w"], true
			}
		}
		for zone := range f.sums {
			if f.due(zone*13) && zone != f.cutZone {
				f.forward(zone)
			}
		}
	}
	return asked, admitted
}

// due reports whether an interval with the given phase ends in this step.
func (f *largeFleet) due(phase int) bool {
	if f.now.Before(f.restartedAt.Add(firstReports)) {
		return false
	}
	steps := int64(reportInterval / fleetStep)
	return (f.now.UnixMilli()/fleetStep.Milliseconds())%steps == int64(phase)%steps
}

// forward sends a zone's sum to the other delegates and all sums to its hosts.
func (f *largeFleet) forward(zone int) {
	var sum report
	for i, host := range f.zoneOf {
		if host == zone && f.heard[i] {
			sum.add(f.reported[i], 1)
			sum.incarnation = sum.incarnation*31 + f.incarnations[i]
			sum.hosts = append(sum.hosts, i)
		}
	}
	for to := range f.sums {
		f.sums[to][zone] = sum
	}
	for i, host := range f.zoneOf {
		if host != zone {
			continue
		}
		for from, sum := range f.sums[zone] {
			if from == zone && f.heard[i] {
				sum.add(f.reported[i], -1)
			}
			f.deliver(i, from, sum)
		}
	}
}

func (r *report) add(o Report, sign float64) {
	r.Admitted += sign * o.Admitted
	r.Rate += sign * o.Rate
	r.Asked += sign * o.Asked
}

func (f *largeFleet) deliver(to, zone int, sum report) {
	for _, host := range sum.hosts {
		if host != to {
			f.hosts[to].Seen(f.names[host], f.now)
		}
	}
	if sum.Admitted != 0 {
		f.hosts[to].ApplyReport(fmt.Sprint("/zone", zone), sum.incarnation, "w", sum.Report, f.limit, f.now)
	}
}

func (f *largeFleet) maxInWindow() int { return maxInWindow(f.admitted) }

// TestRestartOfLargeFleetGivesNoSecondBurst guards against full buckets after a
// restart of all hosts while one workspace sends many times its rate: its
// requests of the 5 s around the restart were limited by two bursts.
func TestRestartOfLargeFleetGivesNoSecondBurst(t *testing.T) {
	t.Parallel()
	for _, hostsPerZone := range []int{22, 50} {
		for _, rate := range []float64{10, 40, 120} {
			for seed := range uint64(2) {
				limit := Limit{Rate: rate, Burst: rate}
				f := newLargeFleet(3, hostsPerZone, withTolerance(limit), seed)
				f.run(4*time.Second, rate/2)
				f.run(2*time.Second, 5*rate)
				f.restartAll(time.Second)
				f.run(6*time.Second, 5*rate)
				if n := f.maxInWindow(); float64(n) > allowed(limit) {
					t.Errorf("%d hosts, rate %g, seed %d: %d in a window, %g allowed", 3*hostsPerZone, rate, seed, n, allowed(limit))
				}
			}
		}
	}
}

// TestRetriesAfterRestartOfLargeFleetShareItsRate guards against hosts that each
// admit at the workspace's full rate until the first reports arrive: all callers
// whose connections a restart broke send again at the same time.
func TestRetriesAfterRestartOfLargeFleetShareItsRate(t *testing.T) {
	t.Parallel()
	testRetriesAfterRestart(t, 0)
}

// TestRetriesBeforeHostsAreKnownShareTheRate guards against hosts that take
// themselves for the only one until they have the list of hosts.
func TestRetriesBeforeHostsAreKnownShareTheRate(t *testing.T) {
	t.Parallel()
	testRetriesAfterRestart(t, 150*time.Millisecond)
}

func testRetriesAfterRestart(t *testing.T, hostsKnownAfter time.Duration) {
	const (
		firstRequests = 100 * time.Millisecond // after the hosts' start
		retries       = 600 * time.Millisecond
	)
	for _, hostsPerZone := range []int{19, 50} {
		for _, rate := range []float64{10, 40, 120} {
			for seed := range uint64(2) {
				limit := Limit{Rate: rate, Burst: 4 * rate}
				f := newLargeFleet(3, hostsPerZone, withTolerance(limit), seed)
				f.hostsKnownAfter = hostsKnownAfter
				f.run(4*time.Second, rate/2)
				f.restartAll(time.Second)
				f.run(firstRequests, 0)
				_, n := f.run(retries, 20*rate)
				tolerance := allowed(limit) - limit.Rate*window.Seconds() - limit.Burst
				if most := rate*(firstRequests+retries).Seconds() + tolerance; float64(n) > most {
					t.Errorf("%d hosts, rate %g, seed %d: %d admitted, %g allowed", 3*hostsPerZone, rate, seed, n, most)
				}
			}
		}
	}
}

// TestSurgeInLargeFleetStaysWithinLimit guards against hosts that each admit a
// sudden surge until the reports of the others arrive.
func TestSurgeInLargeFleetStaysWithinLimit(t *testing.T) {
	t.Parallel()
	for _, hostsPerZone := range []int{22, 50} {
		for _, rate := range []float64{10, 40, 120} {
			for seed := range uint64(2) {
				limit := Limit{Rate: rate, Burst: rate}
				f := newLargeFleet(3, hostsPerZone, withTolerance(limit), seed)
				f.run(4*time.Second, rate/2)
				f.run(8*time.Second, 8*rate)
				if n := f.maxInWindow(); float64(n) > allowed(limit) {
					t.Errorf("%d hosts, rate %g, seed %d: %d in a window, %g allowed", 3*hostsPerZone, rate, seed, n, allowed(limit))
				}
			}
		}
	}
}

// TestRequestsWithinRateAreAdmittedInLargeFleet guards against refusals of a
// workspace that stays within its limit.
func TestRequestsWithinRateAreAdmittedInLargeFleet(t *testing.T) {
	t.Parallel()
	limit := Limit{Rate: 40, Burst: 40}
	f := newLargeFleet(5, 50, withTolerance(limit), 1)
	f.run(3*time.Second, 0)
	asked, admitted := f.run(20*time.Second, 25)
	if float64(asked-admitted) > 0.01*float64(asked) {
		t.Errorf("%d of %d refused", asked-admitted, asked)
	}
}

// TestBurstsWithinLimitAreAdmittedInLargeFleet guards against refusals in bursts
// that exceed a workspace's rate for some seconds and stay within its burst.
func TestBurstsWithinLimitAreAdmittedInLargeFleet(t *testing.T) {
	t.Parallel()
	for _, rate := range []float64{5, 40} {
		limit := Limit{Rate: rate, Burst: rate}
		f := newLargeFleet(5, 50, withTolerance(limit), 1)
		f.run(3*time.Second, 0)
		asked, admitted := 0, 0
		for range 12 {
			for _, phase := range []struct {
				seconds, load float64
			}{{2.4, 1.15}, {3.6, 0.25}} {
				a, ok := f.run(time.Duration(phase.seconds*float64(time.Second)), phase.load*rate)
				asked, admitted = asked+a, admitted+ok
			}
		}
		if float64(asked-admitted) > 0.01*float64(asked) {
			t.Errorf("rate %g: %d of %d refused", rate, asked-admitted, asked)
		}
	}
}

// withTolerance raises a burst by a third of the tolerance and gives another
// third to unreported admissions, as internal/quotas does.
func withTolerance(l Limit) Limit {
	third := (allowed(l) - l.Rate*window.Seconds() - l.Burst) / 3
	return Limit{Rate: l.Rate, Burst: l.Burst + third, Slack: third}
}

// TestQuotaIsWholeAgainAfterAZoneWasSilent guards against refusals of requests
// within their rate after the hosts of a zone heard nothing for a short while, for
// example because its delegate and deputy were frozen: the hosts had lowered their
// buckets to an even share of the burst.
func TestQuotaIsWholeAgainAfterAZoneWasSilent(t *testing.T) {
	t.Parallel()
	for _, rate := range []float64{10, 40, 120} {
		limit := Limit{Rate: rate, Burst: 2 * rate}
		f := newLargeFleet(3, 19, withTolerance(limit), 1)
		f.run(4*time.Second, 0)
		f.run(4*time.Second, 0.8*rate)
		f.cutZone = 0
		f.run(1500*time.Millisecond, 0.8*rate)
		f.cutZone = -1
		f.run(reportInterval*3, 0.8*rate)
		asked, admitted := f.run(10*time.Second, 0.8*rate)
		if float64(asked-admitted) > 0.01*float64(asked) {
			t.Errorf("rate %g: %d of %d refused", rate, asked-admitted, asked)
		}
	}
}
