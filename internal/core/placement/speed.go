package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// speedBelief is how long a report of a server's speed says anything of this moment.
	// Its weight falls evenly from 1 to 0: speeds are steady for some hundred ms and then
	// change at once, so the older a report, the less likely it still holds.
	speedBelief = 600 * time.Millisecond
	// recentSpeedTime is the time constant of a server's recent mean slowdown, which
	// reports pull towards their value, and time without reports towards the usual. A
	// server that is slow for seconds is known by it between two reports; the mean of
	// speeds that hold for speedBelief stays near the usual.
	recentSpeedTime = time.Second
	// maxRecentSpeed is how long after the newest report the recent mean may differ from
	// the usual.
	maxRecentSpeed = 5 * recentSpeedTime
	// minSlowdown and maxSlowdown bound what reports change in a choice: hosts that hear
	// of the same fast server must not all go there, and a slow one still gets requests
	// when the others are filled.
	minSlowdown = 0.5
	maxSlowdown = 4.0
	// minReportedSlowdown and maxReportedSlowdown bound what is believed of a report.
	minReportedSlowdown = 0.1
	maxReportedSlowdown = 100.0
	// notableSlowdown is the slowdown, or the speedup, from which a report is worth a
	// place in a digest.
	notableSlowdown = 1.25
	// maxSpeedReports bounds the reports in a digest, to about half a kilobyte.
	maxSpeedReports = 48
)

// speed is what is known of the speed of a server's machine at this moment. Slowdowns are
// the time that work takes, relative to the usual.
type speed struct {
	slowdown  float64   // of the newest report
	at        time.Time // when that was reported, zero if never
	own       bool      // in an answer to this host
	recent    float64   // recent mean until then
	notableAt time.Time // of the newest report that was notable, zero if there was none
}

// SpeedReport says how long work takes at a server at a moment.
type SpeedReport struct {
	Server   string
	Slowdown float64 // relative to the usual time
	Age      time.Duration
}

// record replaces the newest report unless that is newer. A report out of bounds says
// nothing.
func (v *speed) record(slowdown float64, own bool, at time.Time) {
	if !(slowdown >= minReportedSlowdown && slowdown <= maxReportedSlowdown) || at.Before(v.at) { // rejects NaN too
		return
	}
	v.recent = v.recentMean(at)
	v.slowdown, v.own, v.at = slowdown, own, at
	if isNotable(slowdown) {
		v.notableAt = at
	}
}

func isNotable(slowdown float64) bool {
	return slowdown >= notableSlowdown || slowdown <= 1/notableSlowdown
}

func (v *speed) notableWithin(d time.Duration, now time.Time) bool {
	return !v.notableAt.IsZero() && now.Sub(v.notableAt) < d
}

// recentMean returns the mean slowdown of the last recentSpeedTime. It is called for each
// server in each choice, so the exponential curves are taken as straight while the newest
// report is believed.
func (v *speed) recentMean(now time.Time) float64 {
	since := max(now.Sub(v.at), 0)
	if v.at.IsZero() || since >= maxRecentSpeed {
		return 1
	}
	believed := beliefUntil(since)
	pulled := v.recent + (v.slowdown-v.recent)*halfBeliefChange*believed/halfBelief.Seconds()
	if since < speedBelief {
		return 1 + (pulled-1)*(1-halfBeliefChange*(since.Seconds()-believed)/halfBelief.Seconds())
	}
	return 1 + (pulled-1)*math.Exp(-(since-halfBelief).Seconds()/recentSpeedTime.Seconds())
}

// halfBelief is the mean time that a report is believed, and the rest of speedBelief.
const halfBelief = speedBelief / 2

// halfBeliefChange is the part of its way that the recent mean goes in halfBelief.
var halfBeliefChange = 1 - math.Exp(-halfBelief.Seconds()/recentSpeedTime.Seconds())

// estimate returns the slowdown at this moment.
func (v *speed) estimate(now time.Time) float64 {
	if v.at.IsZero() {
		return 1
	}
	mean := v.recentMean(now)
	return mean + (v.slowdown-mean)*v.weight(now)
}

// weight returns how much the newest report says of this moment, from 0 to 1.
func (v *speed) weight(now time.Time) float64 {
	return max(1-float64(max(now.Sub(v.at), 0))/float64(speedBelief), 0)
}

// during returns the mean slowdown of a request that took the given time until now.
func (v *speed) during(took time.Duration, now time.Time) float64 {
	mean := v.recentMean(now)
	if v.at.IsZero() || took <= 0 {
		return mean
	}
	end := now.Sub(v.at)
	weight := (beliefUntil(end) - beliefUntil(end-took)) / took.Seconds()
	return mean + (v.slowdown-mean)*weight
}

// beliefUntil returns the integral, in seconds, of the weight of a report over the time
// from its moment to the offset x, which may be negative: a report also says something
// of the time before it.
func beliefUntil(x time.Duration) float64 {
	t, limit := min(max(x, -speedBelief), speedBelief).Seconds(), speedBelief.Seconds()
	return t - t*math.Abs(t)/(2*limit)
}

// slowdown returns the estimated time that work takes at a server now, relative to the
// usual, within the bounds of what reports may change: 1 if it is as usual or unknown.
func (p *Placement) slowdown(s *server, now time.Time) float64 {
	return min(max(s.speed.estimate(now), minSlowdown), maxSlowdown)
}

// Slowdown returns the estimated time that work takes at a server now, relative to the
// usual: 1 if it is as usual or unknown.
func (p *Placement) Slowdown(id string, now time.Time) float64 {
	s, ok := p.servers[id]
	if !ok {
		return 1
	}
	return p.slowdown(s, now)
}

// SpeedReports returns the reports that are worth telling other hosts: those that are
// notable, and those that end a slowness which others may still believe. Those from peers
// are included on request, for hosts that pass on what they hear.
func (p *Placement) SpeedReports(fromPeers bool, now time.Time) []SpeedReport {
	var out []SpeedReport
	for id, s := range p.servers {
		v := &s.speed
		age := max(now.Sub(v.at), 0)
		if v.at.IsZero() || age >= speedBelief || !v.own && !fromPeers {
			continue
		}
		if v.notableWithin(speedBelief, now) || isNotable(v.recentMean(now)) {
			out = append(out, SpeedReport{id, v.slowdown, age})
		}
	}
	if len(out) > maxSpeedReports {
		slices.SortFunc(out, func(a, b SpeedReport) int { return cmp.Compare(a.Age, b.Age) })
		out = out[:maxSpeedReports]
	}
	return out
}

// RecordPeerSpeed records a report that a peer heard of. Reports from a peer are dated
// by their age, and never replace a newer one.
func (p *Placement) RecordPeerSpeed(r SpeedReport, now time.Time) {
	s, ok := p.servers[r.Server]
	if ok && r.Age >= 0 && r.Age < speedBelief {
		s.speed.record(r.Slowdown, false, now.Add(-r.Age))
	}
}

// SlowServers returns the number of servers that are believed to be slow now.
func (p *Placement) SlowServers(now time.Time) int {
	n := 0
	for _, s := range p.servers {
		if p.slowdown(s, now) >= notableSlowdown {
			n++
		}
	}
	return n
}
