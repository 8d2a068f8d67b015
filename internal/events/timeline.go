package events

import (
	"container/heap"
	"path"
	"sort"
	"time"
)

// TimelineEvent is an event of the timeline.
type TimelineEvent struct {
	Event
	// Adjusted is the event's time on the common clock.
	Adjusted time.Time `json:"adjusted"`
}

// Lane is one host of the timeline.
type Lane struct {
	Host string `json:"host"`
	// AheadMS is the estimated amount by which the host's clock is ahead of the
	// common clock, in milliseconds.
	AheadMS float64 `json:"ahead_ms"`
}

// Timeline holds the events of several hosts in one order: the events of each
// host by sequence number, each event after its cause, and otherwise by adjusted
// time.
type Timeline struct {
	Lanes  []Lane          `json:"lanes"`
	Events []TimelineEvent `json:"events"`
}

// Merge returns the timeline of the events of several hosts. Duplicate events
// are removed.
func Merge(events []Event) Timeline {
	events = unique(events)
	ahead := clockOffsets(events)
	var t Timeline
	for host, d := range ahead {
		t.Lanes = append(t.Lanes, Lane{Host: host, AheadMS: float64(d.Microseconds()) / 1000})
	}
	sort.Slice(t.Lanes, func(i, j int) bool { return t.Lanes[i].Host < t.Lanes[j].Host })
	adjusted := make([]TimelineEvent, len(events))
	for i, e := range events {
		adjusted[i] = TimelineEvent{Event: e, Adjusted: e.Time.Add(-ahead[e.Host])}
	}
	t.Events = causalOrder(adjusted)
	return t
}

// unique removes duplicate events and sorts by host and sequence number.
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

// causalOrder sorts topologically by sequence numbers and causes. Of the events
// without a pending predecessor, the one with the earliest adjusted time comes
// first. Damaged files may contain cycles of causes; a cycle is broken at the
// event with the earliest adjusted time.
func causalOrder(events []TimelineEvent) []TimelineEvent {
	waiting, successors := dependencies(events)
	ready := &byAdjusted{events: events}
	for i := range events {
		if waiting[i] == 0 {
			heap.Push(ready, i)
		}
	}
	done := make([]bool, len(events))
	out := make([]TimelineEvent, 0, len(events))
	for len(out) < len(events) {
		if ready.Len() == 0 {
			heap.Push(ready, earliestWaiting(events, done))
		}
		i := heap.Pop(ready).(int)
		if done[i] {
			continue
		}
		done[i] = true
		out = append(out, events[i])
		for _, j := range successors[i] {
			if waiting[j]--; waiting[j] == 0 && !done[j] {
				heap.Push(ready, j)
			}
		}
	}
	return out
}

// dependencies takes events sorted by host and sequence number. It returns the
// number of predecessors of each event, and the indices of its successors.
func dependencies(events []TimelineEvent) (waiting []int, successors [][]int) {
	index := map[eventID]int{}
	for i, e := range events {
		index[eventID{e.Host, e.Seq}] = i
	}
	waiting, successors = make([]int, len(events)), make([][]int, len(events))
	link := func(before, later int) {
		waiting[later]++
		successors[before] = append(successors[before], later)
	}
	for i, e := range events {
		if i > 0 && events[i-1].Host == e.Host {
			link(i-1, i)
		}
		if cause, ok := index[eventID{e.CauseHost, e.CauseSeq}]; ok && cause != i {
			link(cause, i)
		}
	}
	return waiting, successors
}

func earliestWaiting(events []TimelineEvent, done []bool) int {
	best := -1
	for i, e := range events {
		if !done[i] && (best < 0 || e.Adjusted.Before(events[best].Adjusted)) {
			best = i
		}
	}
	return best
}

// byAdjusted is a heap of indices into events, by adjusted time, then by index.
type byAdjusted struct {
	events []TimelineEvent
	items  []int
}

func (h *byAdjusted) Len() int { return len(h.items) }

func (h *byAdjusted) Less(i, j int) bool {
	a, b := h.events[h.items[i]], h.events[h.items[j]]
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

	From, To time.Time // range of adjusted times, To excluded
}

// Match reports whether the filter selects the event.
func (f Filter) Match(e TimelineEvent) bool {
	matches := func(want, got string) bool { return want == "" || want == got }
	host := matches(f.Host, e.Host) || matches(f.Host, e.Peer)
	kind, _ := path.Match(f.Kind, e.Kind)
	if !host || !matches(f.Job, e.Job) || !matches(f.Workspace, e.Workspace) || !matches(f.Server, e.Server) {
		return false
	}
	inSpan := (f.From.IsZero() || !e.Adjusted.Before(f.From)) && (f.To.IsZero() || e.Adjusted.Before(f.To))
	return inSpan && (f.Kind == "" || kind)
}

// Select returns the timeline with the matching events only. Lanes without
// events are kept, because their clock offsets were estimated from all events.
func (t Timeline) Select(f Filter) Timeline {
	out := Timeline{Lanes: t.Lanes, Events: []TimelineEvent{}}
	for _, e := range t.Events {
		if f.Match(e) {
			out.Events = append(out.Events, e)
		}
	}
	return out
}
