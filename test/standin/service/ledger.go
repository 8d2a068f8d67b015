package service

import (
	"net/http"
	"sync"
)

// Call is the ledger's record of one call that ran.
type Call struct {
	Seq            int64       `json:"seq"` // order in which calls ran, from 1
	ID             string      `json:"id"`  // body field request_id, Idempotency-Key or X-Request-Id
	RequestID      string      `json:"request_id,omitempty"`
	IdempotencyKey string      `json:"idempotency_key,omitempty"`
	BodyID         string      `json:"body_id,omitempty"`
	Method         string      `json:"method"`
	Path           string      `json:"path"`
	Query          string      `json:"query,omitempty"`
	Header         http.Header `json:"header,omitempty"`
	Trailer        http.Header `json:"trailer,omitempty"`
	BodyBytes      int         `json:"body_bytes"`
	ArrivedMS      int64       `json:"arrived_ms"`
	RanMS          int64       `json:"ran_ms"`
	Answer         string      `json:"answer"` // sent, failed or cut
}

// Summary is the response of GET /ledger?summary=1.
type Summary struct {
	Name     string         `json:"name"`
	Arrived  int64          `json:"arrived"`
	Ran      int64          `json:"ran"`
	Answers  map[string]int `json:"answers"`
	Repeated map[string]int `json:"repeated"` // ids that ran more than once, with their counts
}

// ledger keeps up to max calls that ran; it drops the oldest quarter when it is
// full. Counts by id are kept until a reset, so that a repeated call is detected
// however late it arrives.
type ledger struct {
	max int

	mu               sync.Mutex
	arrived          int64
	seq              int64
	calls            []*Call
	byID             map[string]int // runs of each id
	responseOutcomes map[string]int // calls by Answer
}

func newLedger(limit int) *ledger {
	l := &ledger{max: limit}
	l.reset()
	return l
}

func (l *ledger) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrived, l.seq, l.calls = 0, 0, nil
	l.byID, l.responseOutcomes = map[string]int{}, map[string]int{}
}

func (l *ledger) countArrival() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrived++
}

// recordRun records that the call has run.
func (l *ledger) recordRun(c *Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	c.Seq = l.seq
	l.byID[c.ID]++
	if len(l.calls) >= l.max {
		l.calls = append([]*Call(nil), l.calls[l.max/4:]...)
	}
	l.calls = append(l.calls, c)
}

// finishCall records how a call that ran was answered.
func (l *ledger) finishCall(c *Call, outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.Answer = outcome
	l.responseOutcomes[outcome]++
}

// find returns copies of the calls with a Seq above seq, and only those with the
// given id if id is not empty.
func (l *ledger) find(seq int64, id string) []Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []Call{}
	for _, c := range l.calls {
		if c.Seq > seq && (id == "" || c.ID == id) {
			out = append(out, *c)
		}
	}
	return out
}

func (l *ledger) summary() Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Summary{Arrived: l.arrived, Ran: l.seq, Answers: map[string]int{}, Repeated: map[string]int{}}
	for outcome, n := range l.responseOutcomes {
		s.Answers[outcome] = n
	}
	for id, n := range l.byID {
		if n > 1 && id != "" {
			s.Repeated[id] = n
		}
	}
	return s
}
