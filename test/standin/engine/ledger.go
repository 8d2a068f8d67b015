package engine

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Record is the ledger's record of one request that reached the engine.
type Record struct {
	Seq          int64       `json:"seq"` // order of arrival, from 1
	ID           string      `json:"id"`  // tag in the prompt, metadata.request_id or X-Request-Id
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
	StartedMS    int64       `json:"started_ms"` // when it was admitted to the batch; 0 if it never was
	EndedMS      int64       `json:"ended_ms"`   // 0 while it is running
	Outcome      outcome     `json:"outcome"`
	Tokens       int         `json:"tokens"`      // generated for this request
	Concurrency  int         `json:"concurrency"` // sequences in the batch when it was admitted
}

// entry is a record in the ledger. The ledger's lock guards the record; the
// token counter is atomic.
type entry struct {
	Record
	tokens atomic.Int64
}

func (e *entry) addToken()       { e.tokens.Add(1) }
func (e *entry) tokenCount() int { return int(e.tokens.Load()) }

// Summary is the response of GET /ledger?summary=1.
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

// ledger keeps up to max records; it drops the oldest quarter when it is full.
type ledger struct {
	max         int
	keepHeaders bool

	mu       sync.Mutex
	seq      int64
	records  []*entry
	outcomes map[outcome]int
	tokens   int64
}

func newLedger(limit int, keepHeaders bool) *ledger {
	return &ledger{max: limit, keepHeaders: keepHeaders, outcomes: map[outcome]int{}}
}

func (l *ledger) addRequest(r *http.Request, now time.Time) *entry {
	rec := &entry{Record: Record{Path: r.URL.Path, Query: r.URL.RawQuery, ArrivedMS: unixMillis(now), Outcome: outcomeRunning}}
	if l.keepHeaders {
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

// setAdmitted records that the request was admitted to the batch.
func (l *ledger) setAdmitted(rec *entry, now time.Time, concurrency, cached int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec.StartedMS = unixMillis(now)
	rec.Concurrency = concurrency
	rec.CachedTokens = cached
}

// setOutcome records how the request ended. Only the first call has an effect.
func (l *ledger) setOutcome(rec *entry, result outcome, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if rec.Outcome != outcomeRunning {
		return
	}
	rec.Outcome = result
	rec.EndedMS = unixMillis(now)
	rec.Tokens = rec.tokenCount()
	l.outcomes[result]++
	l.tokens += int64(rec.Tokens)
}

// afterSeq returns copies of the records with a Seq above seq.
func (l *ledger) afterSeq(seq int64) []Record {
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
	for result, n := range l.outcomes {
		s.Outcomes[result] = n
	}
	return s
}

// reset drops the records of ended requests and clears the counts.
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
