package hedge

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxReportedRoutes bounds the routes in a report, those with the most answers first.
	maxReportedRoutes = 16
	// peerExpiry is how long a peer's report is used without a newer one.
	peerExpiry = 5 * time.Second
)

// Report is what a host, or several hosts together, know of first bytes.
type Report struct {
	Times    map[uint32]TimesReport   `cbor:"t"` // by hash of route and service
	Services map[uint32]ServiceReport `cbor:"s"` // by hash of the service
}

// TimesReport is a histogram of times to the first byte without its empty ends.
type TimesReport struct {
	_      struct{} `cbor:",toarray"`
	First  int      // bucket of the first count
	Counts []int
}

// ServiceReport counts the requests of a service that were answered or became slow in
// the last slowTime.
type ServiceReport struct {
	Due  int            `cbor:"d"`
	Slow map[uint32]int `cbor:"l,omitempty"` // overdue ones, by hash of the server
}

func (r *ServiceReport) add(o ServiceReport, sign int) {
	r.Due += sign * o.Due
	for id, n := range o.Slow {
		if r.Slow == nil {
			r.Slow = map[uint32]int{}
		}
		if _, ok := r.Slow[id]; ok || len(r.Slow) < maxSlowServers {
			r.Slow[id] += sign * n
		}
	}
}

func timesReport(h *histogram) TimesReport {
	first, last := buckets, -1
	for i, n := range h {
		if n > 0 {
			first, last = min(first, i), i
		}
	}
	out := TimesReport{First: first}
	for i := first; i <= last; i++ {
		out.Counts = append(out.Counts, int(h[i]))
	}
	return out
}

// histogram ignores counts that no histogram has: a report comes from another process.
func (t TimesReport) histogram() (h histogram) {
	for i, n := range t.Counts {
		if at := t.First + i; at >= 0 && at < buckets && n > 0 {
			h[at] = uint32(min(n, maxReportedCount))
		}
	}
	return h
}

// maxReportedCount keeps sums of counts from overflowing.
const maxReportedCount = 1 << 24

// Add adds a report, or with sign -1 takes away one that is part of this one.
func (r *Report) Add(o Report, sign int) {
	if r.Times == nil {
		r.Times, r.Services = map[uint32]TimesReport{}, map[uint32]ServiceReport{}
	}
	for key, t := range o.Times {
		r.Times[key] = r.Times[key].plus(t, sign)
	}
	for key, s := range o.Services {
		sum := r.Services[key]
		sum.Slow = maps.Clone(sum.Slow)
		sum.add(s, sign)
		r.Services[key] = sum
	}
	r.trim()
}

func (t TimesReport) plus(o TimesReport, sign int) TimesReport {
	var sum [buckets]int
	for _, part := range []struct {
		TimesReport
		sign int
	}{{t, 1}, {o, sign}} {
		for i, n := range part.Counts {
			if at := part.First + i; at >= 0 && at < buckets {
				sum[at] += part.sign * min(max(n, 0), maxReportedCount)
			}
		}
	}
	var h histogram
	for i, n := range sum {
		h[i] = uint32(max(n, 0))
	}
	return timesReport(&h)
}

// trim leaves the routes with the most answers.
func (r *Report) trim() {
	if len(r.Times) <= maxReportedRoutes {
		return
	}
	answers := func(key uint32) (n int) {
		for _, c := range r.Times[key].Counts {
			n += c
		}
		return n
	}
	keys := slices.SortedFunc(maps.Keys(r.Times), func(a, b uint32) int { return cmp.Or(cmp.Compare(answers(b), answers(a)), cmp.Compare(a, b)) })
	for _, key := range keys[maxReportedRoutes:] {
		delete(r.Times, key)
	}
}
