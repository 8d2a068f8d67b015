package engine

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Record is the ledger's entry of one request that reached the engine.
type Record struct {
	Seq          int64       `json:"seq"` // order of arrival, from 1
	ID           string      `json:"id"`  // prompt tag, metadata.request_id or X-Request-Id
	Path         string      `json:"path"`
	Query        string      `json:"query,omitempty"`
	Header       http.Header `json:"header,omitempty"`
	Model        string      `json:"model"`
	Stream       bool        `json:"stream"`
	ResumeFrom   int         `json:"resume_from,omitempty"`
	PromptTokens int         `json:"prompt_tokens"`
	CachedTokens int         `json:"cached_tokens"`
	MaxTokens    int         `json:"max_tokens"`
	ArrivedMS    int64       `json:"arrived_ms"`
	StartedMS    int64       `json:"started_ms"` // admitted to the batch; 0 when it never was
	EndedMS      int64       `json:"ended_ms"`   // 0 while it runs
	Outcome      outcome     `json:"outcome"`
	Tokens       int         `json:"tokens"`      // made in this request
	Concurrency  int         `json:"concurrency"` // sequences in the batch when it was admitted
}

// entry is a record of the ledger. The ledger's lock guards the record;
// tokens are counted without it.
type entry struct {
	Record
	tokens atomic.Int64
}

func (e *entry) addToken()       { e.tokens.Add(1) }
func (e *entry) tokenCount() int { return int(e.tokens.Load()) }

// Summary is the answer of GET /ledger?summary=1.
type Summary struct {
	Name           string          `json:"name"`
	Requests       int64           `json:"requests"`
	Outcomes       map[outcome]int `json:"outcomes"`
	Tokens         int64           `json:"tokens"`
	MaxConcurrency int             `json:"max_concurrency"`
	Steps          int64           `json:"steps"`
	Crashes        int64           `json:"crashes"`
	BusyMS         int64           `json:"busy_ms"` // time with at least one running sequence
}

// ledger keeps up to max records; the oldest quarter is dropped when it is full.
type ledger struct {
	max     int
	headers bool

	mu       sync.Mutex
	seq      int64
	records  []*entry
	outcomes map[outcome]int
	tokens   int64
}

func newLedger(limit int, headers bool) *ledger {
	return &ledger{max: limit, headers: headers, outcomes: map[outcome]int{}}
}

func (l *ledger) begin(r *http.Request, now time.Time) *entry {
	rec := &entry{Record: Record{Path: r.URL.Path, Query: r.URL.RawQuery, ArrivedMS: millis(now), Outcome: outcomeRunning}}
	if l.headers {
		rec.Header = r.Header.Clone()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	rec.Seq = l.seq
	if len(l.records) >= l.max {
		l.records = append([]*entry(nil), l.records[l.max/4:]...)
	}
	l.records = append(l.records, rec)
	return rec
}

// admitted notes that the request entered the batch.
func (l *ledger) admitted(rec *entry, now time.Time, concurrency, cached int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec.StartedMS = millis(now)
	rec.Concurrency = concurrency
	rec.CachedTokens = cached
}

// end notes how the request ended. Only the first call has an effect.
func (l *ledger) end(rec *entry, how outcome, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if rec.Outcome != outcomeRunning {
		return
	}
	rec.Outcome = how
	rec.EndedMS = millis(now)
	rec.Tokens = rec.tokenCount()
	l.outcomes[how]++
	l.tokens += int64(rec.Tokens)
}

// after returns copies of the records with a sequence larger than seq.
func (l *ledger) after(seq int64) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []Record{}
	for _, rec := range l.records {
		if rec.Seq > seq {
			out = append(out, rec.snapshot())
		}
	}
	return out
}

func (e *entry) snapshot() Record {
	rec := e.Record
	rec.Tokens = e.tokenCount()
	return rec
}

func (l *ledger) summary() Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Summary{Requests: l.seq, Tokens: l.tokens, Outcomes: map[outcome]int{}}
	for how, n := range l.outcomes {
		s.Outcomes[how] = n
	}
	return s
}

// reset drops the records of ended requests and sets the counts to zero.
func (l *ledger) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	var open []*entry
	for _, rec := range l.records {
		if rec.Outcome == outcomeRunning {
			open = append(open, rec)
		}
	}
	l.records = open
	l.tokens = 0
	clear(l.outcomes)
}
