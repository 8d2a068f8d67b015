// Package events records state changes of a host for the time line over all
// hosts. Lines are recorded for changes of state only; frequent occurrences
// belong into counters.
package events

import (
	"sync"
	"time"
)

// Event is one state change. Time is the host's clock; Seq orders the events
// of one host. Cause names the host and sequence number of an event of a peer
// that happened before this one, so that the time line is ordered although
// clocks differ.
type Event struct {
	Time      time.Time `json:"time"`
	Host      string    `json:"host"`
	Seq       uint64    `json:"seq"`
	Kind      string    `json:"kind"` // for example config.adopted, lease.lapsed, server.ejected
	Workspace string    `json:"workspace,omitempty"`
	Job       string    `json:"job,omitempty"`
	Server    string    `json:"server,omitempty"`
	Peer      string    `json:"peer,omitempty"`
	Detail    string    `json:"detail,omitempty"`
	CauseHost string    `json:"cause_host,omitempty"`
	CauseSeq  uint64    `json:"cause_seq,omitempty"`
}

// ringCapacity is how many events a host keeps in memory.
const ringCapacity = 16384

// Recorder keeps the latest events of one host. It is safe for concurrent use.
type Recorder struct {
	host string
	now  func() time.Time

	mu   sync.Mutex
	seq  uint64
	ring []Event
	sink func(Event)
}

// NewRecorder returns a recorder for the host. sink, when not nil, receives
// each event in order; it must not block for long.
func NewRecorder(host string, sink func(Event)) *Recorder {
	return &Recorder{host: host, now: time.Now, sink: sink}
}

// Record stores the event after setting its host, sequence and, when zero, its time.
func (r *Recorder) Record(e Event) Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	e.Host, e.Seq = r.host, r.seq
	if e.Time.IsZero() {
		e.Time = r.now()
	}
	r.ring = append(r.ring, e)
	if len(r.ring) > 2*ringCapacity {
		r.ring = append([]Event(nil), r.ring[len(r.ring)-ringCapacity:]...)
	}
	if r.sink != nil {
		r.sink(e)
	}
	return e
}

// After returns up to limit events with a sequence larger than seq, oldest first.
func (r *Recorder) After(seq uint64, limit int) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	for _, e := range r.ring {
		if e.Seq > seq && len(out) < limit {
			out = append(out, e)
		}
	}
	return out
}
