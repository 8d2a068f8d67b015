// Package events records the state changes of a host and merges those of
// several hosts into one timeline. Frequent occurrences that change no state
// are counted in metrics instead.
package events

import (
	"sort"
	"sync"
	"time"
)

// Event is one state change. Time is read from the host's clock; Seq orders the
// events of one host. CauseHost and CauseSeq identify an event of a peer that
// happened before this one, so that the timeline is ordered correctly although
// the clocks of hosts differ.
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

// ringCapacity is the minimum number of recent events that a host keeps in memory.
const ringCapacity = 16384

// seqPerMillisecond is the number of sequence numbers per millisecond since
// 1970. The first number of a recorder is derived from its start time, so that
// a restarted host continues above the numbers of its earlier run. Numbers stay
// below 2^53, which JSON readers represent exactly, until the year 2039.
const seqPerMillisecond = 1 << 12

// Recorder keeps the latest events of one host. It is safe for concurrent use.
type Recorder struct {
	host string
	now  func() time.Time

	mu        sync.Mutex
	seq       uint64
	ring      []Event
	sink      func(Event)
	observed  map[string]uint64 // latest sequence number received from each peer
	causePeer string            // peer whose number advanced since the last event
}

// NewRecorder returns a recorder for the host. sink, when not nil, is called
// with each event in order; it must not block for long.
func NewRecorder(host string, sink func(Event)) *Recorder {
	return newRecorder(host, sink, time.Now)
}

func newRecorder(host string, sink func(Event), now func() time.Time) *Recorder {
	first := uint64(now().UnixMilli()) * seqPerMillisecond
	return &Recorder{host: host, now: now, sink: sink, seq: first, observed: map[string]uint64{}}
}

// Record stores the event after setting its host, its sequence number and, when
// zero, its time. An event without a cause gets the peer passed to the last
// Observe since the previous event, if any.
func (r *Recorder) Record(e Event) Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	e.Host, e.Seq = r.host, r.seq
	if e.Time.IsZero() {
		e.Time = r.now()
	}
	if e.CauseHost == "" && r.causePeer != "" {
		e.CauseHost, e.CauseSeq = r.causePeer, r.observed[r.causePeer]
	}
	r.causePeer = ""
	r.ring = append(r.ring, e)
	if len(r.ring) > 2*ringCapacity {
		r.ring = append([]Event(nil), r.ring[len(r.ring)-ringCapacity:]...)
	}
	if r.sink != nil {
		r.sink(e)
	}
	return e
}

// LastSeq returns the sequence number of the latest event, which messages to peers
// carry for their Observe.
func (r *Recorder) LastSeq() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seq
}

// Observe records that a message arrived which the peer sent after its event
// seq. The next event of this host is then ordered after that event.
func (r *Recorder) Observe(peer string, seq uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if peer != r.host && seq > r.observed[peer] {
		r.observed[peer] = seq
		r.causePeer = peer
	}
}

// EventsAfter returns up to limit events with a sequence number larger than seq,
// oldest first.
func (r *Recorder) EventsAfter(seq uint64, limit int) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	from := sort.Search(len(r.ring), func(i int) bool { return r.ring[i].Seq > seq })
	to := min(len(r.ring), from+limit)
	return append([]Event(nil), r.ring[from:to]...)
}
