// Package engine is the stand-in of a model engine: an OpenAI-style server
// with continuous batching, a prefix cache, load reports, cache events,
// orders, fault switches and a ledger.
package engine

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"ragwortstep/test/standin/control"
)

// Options configures an engine. Times hold at speed 1.
type Options struct {
	Name            string
	Models          []string
	Slots           int           // largest batch, in sequences
	Knee            int           // sequences up to which a step takes StepTime
	Growth          float64       // exponent of the step time beyond the knee
	Speed           float64       // divides all times
	StepTime        time.Duration // of one decoding step
	PrefillPerToken time.Duration // added to a step for each prompt token
	PrefillChunk    int           // prompt tokens processed in one step
	KVTokens        int           // capacity of the KV memory, in tokens
	CacheTokens     int           // capacity of the prefix cache, in tokens
	LoadLag         time.Duration // between measurements of the load report
	CacheLag        time.Duration // before a cache event is visible
	CacheLoss       float64       // probability that a cache event is lost
	Fencing         bool          // refuse orders with an old fencing number
	OrderDelay      time.Duration // time that an order takes
	CrashExit       bool          // a crash ends the process
	LedgerMax       int           // records kept
	LedgerHeaders   bool          // keep the headers of each request
	Seed            uint64
}

// Faults are the fault switches. Markers are texts that a prompt may contain.
type Faults struct {
	CrashMarker  string  `json:"crash_marker"`  // a prompt with it crashes the engine
	CrashDownMS  int64   `json:"crash_down_ms"` // time for which a crashed engine refuses connections
	StuckMarker  string  `json:"stuck_marker"`  // a prompt with it is never answered
	FailStatus   int     `json:"fail_status"`   // answered with probability FailRate
	FailRate     float64 `json:"fail_rate"`
	Frozen       bool    `json:"frozen"`        // nothing advances and nothing is answered
	TruncateRate float64 `json:"truncate_rate"` // probability that an answer is cut
	TruncateAt   int     `json:"truncate_at"`   // tokens after which a stream is cut
	Speed        float64 `json:"speed"`         // replaces Options.Speed when above 0
}

// DefaultFaults are the switches of a healthy engine, with the markers armed.
func DefaultFaults() Faults {
	return Faults{CrashMarker: "crash-engine", CrashDownMS: 1000, StuckMarker: "never-ends", TruncateAt: 3}
}

// Server is the engine. It implements http.Handler.
type Server struct {
	opts    Options
	cache   *prefixCache
	ledger  *ledger
	orders  *orders
	batch   *batcher
	faults  *control.Faults[Faults]
	random  *control.Random
	mux     *http.ServeMux
	crashes atomic.Int64
	thaw    atomic.Pointer[chan struct{}] // closed when a freeze ends; nil when not frozen
	crash   func(down time.Duration)
}

// New returns an engine. crash is called when a prompt crashes it: it must
// close all connections and refuse new ones for the given time, or end the process.
func New(opts Options, crash func(down time.Duration)) *Server {
	random := control.NewRandom(opts.Seed)
	s := &Server{
		opts:   opts,
		random: random,
		cache:  newPrefixCache(opts.CacheTokens, opts.CacheLag, opts.CacheLoss, random),
		ledger: newLedger(opts.LedgerMax, opts.LedgerHeaders),
		orders: newOrders(opts.Models, opts.Fencing, opts.OrderDelay),
		mux:    http.NewServeMux(),
		crash:  crash,
	}
	s.batch = newBatcher(opts, s.cache, s.ledger, s.crashed)
	s.faults = control.NewFaults(DefaultFaults(), s.applyFaults)
	s.routes()
	return s
}

// Run steps the batch and measures the load until ctx ends.
func (s *Server) Run(ctx context.Context) {
	go s.measure(ctx)
	s.batch.run(ctx)
}

func (s *Server) measure(ctx context.Context) {
	for control.Sleep(ctx, s.opts.LoadLag) {
		if !s.faults.Get().Frozen {
			s.batch.measure(time.Now())
		}
	}
}

// ServeHTTP implements http.Handler for the engine's own interface.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.awaitThaw(r.Context()) {
		control.Abort()
	}
	s.mux.ServeHTTP(w, r)
}

func (s *Server) routes() {
	s.mux.HandleFunc("POST /v1/completions", s.complete)
	s.mux.HandleFunc("POST /v1/chat/completions", s.complete)
	s.mux.HandleFunc("GET /v1/models", s.listModels)
	s.mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, http.StatusOK, s.batch.report())
	})
	s.mux.HandleFunc("GET /cache/events", s.cacheEvents)
	s.mux.HandleFunc("POST /orders", s.orders.handle)
	s.mux.HandleFunc("GET /orders", s.orders.report)
	s.mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
}

// Control returns the handler of fault switches and ledger, which works
// while the engine is frozen or crashed.
func (s *Server) Control() http.Handler {
	mux := http.NewServeMux()
	s.faults.Register(mux)
	mux.HandleFunc("GET /ledger", s.readLedger)
	mux.HandleFunc("DELETE /ledger", func(w http.ResponseWriter, _ *http.Request) {
		s.ledger.reset()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /orders", s.orders.report)
	return mux
}

func (s *Server) readLedger(w http.ResponseWriter, r *http.Request) {
	if r.FormValue("summary") != "" {
		control.WriteJSON(w, http.StatusOK, s.Summary())
		return
	}
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	control.WriteJSON(w, http.StatusOK, s.ledger.after(after))
}

// Summary returns the ledger's counts.
func (s *Server) Summary() Summary {
	sum := s.ledger.summary()
	sum.Name = s.opts.Name
	sum.Crashes = s.crashes.Load()
	s.batch.mu.Lock()
	defer s.batch.mu.Unlock()
	sum.Steps = s.batch.steps
	sum.BusyMS = s.batch.busy.Milliseconds()
	sum.MaxConcurrency = s.batch.maxSeen
	return sum
}

func (s *Server) applyFaults(f Faults) {
	speed := s.opts.Speed
	if f.Speed > 0 {
		speed = f.Speed
	}
	s.batch.setFrozen(f.Frozen, speed)
	if f.Frozen {
		ch := make(chan struct{})
		s.thaw.CompareAndSwap(nil, &ch)
		return
	}
	if ch := s.thaw.Swap(nil); ch != nil {
		close(*ch)
	}
}

// awaitThaw waits while the engine is frozen and reports whether it thawed before ctx ended.
func (s *Server) awaitThaw(ctx context.Context) bool {
	ch := s.thaw.Load()
	if ch == nil {
		return true
	}
	select {
	case <-*ch:
		return true
	case <-ctx.Done():
		return false
	}
}

// crashed drops all work, as the end of the process would.
func (s *Server) crashed() {
	s.crashes.Add(1)
	s.batch.dropAll(outcomeCrashed)
	s.cache.clear(time.Now())
	s.crash(time.Duration(s.faults.Get().CrashDownMS) * time.Millisecond)
}

func (s *Server) listModels(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	data := []model{}
	for _, name := range s.orders.models() {
		data = append(data, model{ID: name, Object: "model"})
	}
	control.WriteJSON(w, http.StatusOK, struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", data})
}

func (s *Server) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	control.WriteJSON(w, http.StatusOK, struct {
		Events []CacheEvent `json:"events"`
	}{s.cache.after(after, time.Now())})
}

func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	rec := s.ledger.begin(r, time.Now())
	q, err := parse(w, r)
	if err != nil {
		s.refuse(w, rec, http.StatusBadRequest, err.Error())
		return
	}
	s.describe(rec, q)
	f := s.faults.Get()
	if s.random.Chance(f.FailRate) {
		s.refuse(w, rec, f.FailStatus, "failure switch")
		return
	}
	if !s.orders.serves(q.Model) {
		s.refuse(w, rec, http.StatusNotFound, "model "+q.Model+" is not loaded")
		return
	}
	cut := s.random.Chance(f.TruncateRate)
	seq := newSequence(q, rec, f)
	s.batch.submit(seq, q.prompt)
	if q.Stream {
		s.answerStream(w, r, q, seq, cut, f.TruncateAt)
		return
	}
	s.answerPlain(w, r, q, seq, cut)
}

func newSequence(q *request, rec *entry, f Faults) *sequence {
	return &sequence{
		record:   rec,
		prefill:  q.promptTokens() + q.ResumeFrom,
		first:    q.ResumeFrom,
		total:    q.tokens,
		stuck:    f.StuckMarker != "" && strings.Contains(q.prompt, f.StuckMarker),
		crash:    f.CrashMarker != "" && strings.Contains(q.prompt, f.CrashMarker),
		progress: make(chan int, 1),
		done:     make(chan struct{}),
	}
}

// describe fills the record before the batcher knows it.
func (s *Server) describe(rec *entry, q *request) {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	rec.ID, rec.Model, rec.Stream = q.id, q.Model, q.Stream
	rec.ResumeFrom, rec.MaxTokens = q.ResumeFrom, q.tokens
	rec.PromptTokens = q.promptTokens()
}

func (s *Server) refuse(w http.ResponseWriter, rec *entry, status int, text string) {
	s.ledger.end(rec, outcomeFailed, time.Now())
	control.WriteJSON(w, status, map[string]any{"error": map[string]any{"message": text, "type": "server_error"}})
}

func (s *Server) answerPlain(w http.ResponseWriter, r *http.Request, q *request, seq *sequence, cut bool) {
	select {
	case <-seq.done:
	case <-r.Context().Done():
		s.abandon(seq)
		control.Abort()
	}
	if !seq.complete() {
		control.Abort()
	}
	if !s.awaitThaw(r.Context()) {
		control.Abort()
	}
	q.writePlain(w, seq.record, cut)
}

// answerStream sends tokens as they are made. It leaves by Abort when the
// engine crashes, the caller goes away, or the stream is to be cut.
func (s *Server) answerStream(w http.ResponseWriter, r *http.Request, q *request, seq *sequence, cut bool, cutAt int) {
	out := q.newStream(w)
	limit := seq.total
	if cut {
		limit = min(limit, q.ResumeFrom+cutAt)
	}
	for finished := false; !finished; {
		made := 0
		select {
		case made = <-seq.progress:
		case <-seq.done:
			made = seq.first + seq.record.tokenCount()
			finished = true
		case <-r.Context().Done():
			s.abandon(seq)
			control.Abort()
		}
		if !s.awaitThaw(r.Context()) || out.sendUpTo(min(made, limit)) != nil {
			s.abandon(seq)
			control.Abort()
		}
		if cut && made >= limit {
			s.ledger.end(seq.record, outcomeTruncated, time.Now())
			s.batch.cancel(seq)
			control.Abort()
		}
	}
	if !seq.complete() {
		control.Abort()
	}
	_ = out.finish(seq.record)
}

// abandon takes the sequence out of the batch because its caller went away.
func (s *Server) abandon(seq *sequence) {
	s.batch.cancel(seq)
	s.ledger.end(seq.record, outcomeCancelled, time.Now())
}
