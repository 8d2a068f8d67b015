package events

import (
	"container/heap"
	"path"
	"sort"
	"time"
)

// Placed is an event at its place in the time line.
type Placed struct {
	Event
	// Adjusted is the event's time on the common clock.
	Adjusted time.Time `json:"adjusted"`
}

// Lane is one host of the time line.
type Lane struct {
	Host string `json:"host"`
	// AheadMS is the estimated amount by which the host's clock is ahead of the
	// common clock, in milliseconds.
	AheadMS float64 `json:"ahead_ms"`
}

// Timeline holds the events of several hosts in one order: events of a host by
// sequence, each event after its cause, and otherwise by adjusted time.
type Timeline struct {
	Lanes  []Lane   `json:"lanes"`
	Events []Placed `json:"events"`
}

// Merge orders events of several hosts. Events that are given twice are taken once.
func Merge(events []Event) Timeline {
	events = unique(events)
	ahead := offsets(events)
	var t Timeline
	for host, d := range ahead {
		t.Lanes = append(t.Lanes, Lane{Host: host, AheadMS: float64(d.Microseconds()) / 1000})
	}
	sort.Slice(t.Lanes, func(i, j int) bool { return t.Lanes[i].Host < t.Lanes[j].Host })
	placed := make([]Placed, len(events))
	for i, e := range events {
		placed[i] = Placed{Event: e, Adjusted: e.Time.Add(-ahead[e.Host])}
	}
	t.Events = order(placed)
	return t
}

// unique removes repeated events and sorts by host and sequence.
func unique(events []Event) []Event {
	seen := map[eventID]bool{}
	var out []Event
	for _, e := range events {
		id := eventID{e.Host, e.Seq}
		if !seen[id] {
			seen[id] = true
			out = append(out, e)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Host != out[j].Host {
			return out[i].Host < out[j].Host
		}
		return out[i].Seq < out[j].Seq
	})
	return out
}

// order sorts topologically along sequences and causes, and takes the event
// with the least adjusted time among those that are free. Causes that form a
// cycle contradict each other; the earliest event of the cycle is then freed.
func order(placed []Placed) []Placed {
	waiting, after := dependencies(placed)
	free := &byAdjusted{placed: placed}
	for i := range placed {
		if waiting[i] == 0 {
			heap.Push(free, i)
		}
	}
	done := make([]bool, len(placed))
	out := make([]Placed, 0, len(placed))
	for len(out) < len(placed) {
		if free.Len() == 0 {
			heap.Push(free, earliestWaiting(placed, done))
		}
		i := heap.Pop(free).(int)
		if done[i] {
			continue
		}
		done[i] = true
		out = append(out, placed[i])
		for _, j := range after[i] {
			if waiting[j]--; waiting[j] == 0 && !done[j] {
				heap.Push(free, j)
			}
		}
	}
	return out
}

// dependencies returns, for events sorted by host and sequence, how many events
// each one waits for, and which ones wait for each.
func dependencies(placed []Placed) (waiting []int, after [][]int) {
	index := map[eventID]int{}
	for i, p := range placed {
		index[eventID{p.Host, p.Seq}] = i
	}
	waiting, after = make([]int, len(placed)), make([][]int, len(placed))
	link := func(before, later int) {
		waiting[later]++
		after[before] = append(after[before], later)
	}
	for i, p := range placed {
		if i > 0 && placed[i-1].Host == p.Host {
			link(i-1, i)
		}
		if cause, ok := index[eventID{p.CauseHost, p.CauseSeq}]; ok && cause != i {
			link(cause, i)
		}
	}
	return waiting, after
}

func earliestWaiting(placed []Placed, done []bool) int {
	best := -1
	for i, p := range placed {
		if !done[i] && (best < 0 || p.Adjusted.Before(placed[best].Adjusted)) {
			best = i
		}
	}
	return best
}

// byAdjusted is a heap of indexes into placed, by adjusted time and host.
type byAdjusted struct {
	placed []Placed
	items  []int
}

func (h *byAdjusted) Len() int { return len(h.items) }

func (h *byAdjusted) Less(i, j int) bool {
	a, b := h.placed[h.items[i]], h.placed[h.items[j]]
	if !a.Adjusted.Equal(b.Adjusted) {
		return a.Adjusted.Before(b.Adjusted)
	}
	return h.items[i] < h.items[j]
}

func (h *byAdjusted) Swap(i, j int) { h.items[i], h.items[j] = h.items[j], h.items[i] }

// Push implements heap.Interface.
func (h *byAdjusted) Push(x any) { h.items = append(h.items, x.(int)) }

// Pop implements heap.Interface.
func (h *byAdjusted) Pop() any {
	last := h.items[len(h.items)-1]
	h.items = h.items[:len(h.items)-1]
	return last
}

// Filter selects events. Empty fields select everything. Host matches the
// host and the peer of an event. Kind may be a pattern such as config.*.
type Filter struct {
	Host, Job, Workspace, Server, Kind string

	From, To time.Time // span on the common clock, To excluded
}

// Match reports whether the filter selects the event.
func (f Filter) Match(p Placed) bool {
	matches := func(want, got string) bool { return want == "" || want == got }
	host := matches(f.Host, p.Host) || matches(f.Host, p.Peer)
	kind, _ := path.Match(f.Kind, p.Kind)
	if !host || !matches(f.Job, p.Job) || !matches(f.Workspace, p.Workspace) || !matches(f.Server, p.Server) {
		return false
	}
	inSpan := (f.From.IsZero() || !p.Adjusted.Before(f.From)) && (f.To.IsZero() || p.Adjusted.Before(f.To))
	return inSpan && (f.Kind == "" || kind)
}

// Select returns the time line with the matching events only. Lanes without
// events stay, because their clocks were estimated from all events.
func (t Timeline) Select(f Filter) Timeline {
	out := Timeline{Lanes: t.Lanes, Events: []Placed{}}
	for _, p := range t.Events {
		if f.Match(p) {
			out.Events = append(out.Events, p)
		}
	}
	return out
}
