// Package engine is a stand-in for a model engine: an OpenAI-style server that
// simulates continuous batching, a prefix cache, load reports, cache events,
// orders and injected faults, and keeps a ledger of requests.
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

// Options configures an engine. Times apply at Speed 1.
type Options struct {
	Name               string
	Models             []string
	Slots              int           // largest batch, in sequences
	Knee               int           // largest batch for which a step takes StepTime
	Growth             float64       // exponent of the step time for batches beyond Knee
	Speed              float64       // divides all times
	StepTime           time.Duration // of one decoding step
	PrefillPerToken    time.Duration // added to a step for each prompt token
	PrefillChunk       int           // prompt tokens processed in one step
	KVTokens           int           // capacity of the KV memory, in tokens
	CacheTokens        int           // capacity of the prefix cache, in tokens
	LoadInterval       time.Duration // time between measurements of the reported load
	CacheEventDelay    time.Duration // delay before a cache event is visible
	CacheEventLossRate float64       // probability that a cache event is lost
	Fencing            bool          // refuse orders with an old fencing number
	OrderDelay         time.Duration // delay before an order is applied
	ExitOnCrash        bool          // a crash ends the process
	MaxLedgerRecords   int           // records kept
	LedgerHeaders      bool          // keep the headers of each request
	Seed               uint64
}

// Faults are the fault injection settings. A marker takes effect for each
// prompt that contains it.
type Faults struct {
	CrashMarker  string  `json:"crash_marker"`  // crashes the engine
	CrashDownMS  int64   `json:"crash_down_ms"` // time for which a crashed engine refuses connections
	StuckMarker  string  `json:"stuck_marker"`  // the request is never answered
	FailStatus   int     `json:"fail_status"`   // error status of failed requests
	FailRate     float64 `json:"fail_rate"`     // probability that a request fails with FailStatus
	Frozen       bool    `json:"frozen"`        // no steps are executed and no responses are sent
	TruncateRate float64 `json:"truncate_rate"` // probability that a response is truncated
	TruncateAt   int     `json:"truncate_at"`   // tokens after which a stream is truncated
	Speed        float64 `json:"speed"`         // replaces Options.Speed when above 0
}

// DefaultFaults returns the settings of a healthy engine, with the markers enabled.
func DefaultFaults() Faults {
	return Faults{CrashMarker: "crash-engine", CrashDownMS: 1000, StuckMarker: "never-ends", TruncateAt: 3}
}

// Server is the engine. It implements http.Handler.
type Server struct {
	opts        Options
	cache       *prefixCache
	ledger      *ledger
	orders      *orders
	batch       *batcher
	faults      *control.Faults[Faults]
	random      *control.Random
	mux         *http.ServeMux
	crashes     atomic.Int64
	freezeEnded atomic.Pointer[chan struct{}] // closed when the freeze ends; nil if not frozen
	onCrash     func(downtime time.Duration)
}

// New returns an engine. onCrash is called when a prompt crashes the engine: it
// must close all connections and refuse new ones for the given time, or exit
// the process.
func New(opts Options, onCrash func(downtime time.Duration)) *Server {
	random := control.NewRandom(opts.Seed)
	s := &Server{
		opts:    opts,
		random:  random,
		cache:   newPrefixCache(opts.CacheTokens, opts.CacheEventDelay, opts.CacheEventLossRate, random),
		ledger:  newLedger(opts.MaxLedgerRecords, opts.LedgerHeaders),
		orders:  newOrders(opts.Models, opts.Fencing, opts.OrderDelay),
		mux:     http.NewServeMux(),
		onCrash: onCrash,
	}
	s.batch = newBatcher(opts, s.cache, s.ledger, s.handleCrash)
	s.faults = control.NewFaults(DefaultFaults(), s.applyFaults)
	s.registerRoutes()
	return s
}

// Run executes batch steps and measures the load until ctx ends.
func (s *Server) Run(ctx context.Context) {
	go s.updateLoad(ctx)
	s.batch.run(ctx)
}

func (s *Server) updateLoad(ctx context.Context) {
	for control.Sleep(ctx, s.opts.LoadInterval) {
		if !s.faults.Get().Frozen {
			s.batch.updateLoad(time.Now())
		}
	}
}

// ServeHTTP implements http.Handler for the engine's API. It blocks while the engine is frozen.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.waitWhileFrozen(r.Context()) {
		control.Abort()
	}
	s.mux.ServeHTTP(w, r)
}

func (s *Server) registerRoutes() {
	s.mux.HandleFunc("POST /v1/completions", s.handleCompletion)
	s.mux.HandleFunc("POST /v1/chat/completions", s.handleCompletion)
	s.mux.HandleFunc("GET /v1/models", s.handleModels)
	s.mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, http.StatusOK, s.batch.report())
	})
	s.mux.HandleFunc("GET /cache/events", s.handleCacheEvents)
	s.mux.HandleFunc("POST /orders", s.orders.handleOrder)
	s.mux.HandleFunc("GET /orders", s.orders.report)
	s.mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
}

// Control returns the handler of the fault settings and the ledger. It works
// while the engine is frozen or crashed.
func (s *Server) Control() http.Handler {
	mux := http.NewServeMux()
	s.faults.Register(mux)
	mux.HandleFunc("GET /ledger", s.handleLedger)
	mux.HandleFunc("DELETE /ledger", func(w http.ResponseWriter, _ *http.Request) {
		s.ledger.reset()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /orders", s.orders.report)
	return mux
}

func (s *Server) handleLedger(w http.ResponseWriter, r *http.Request) {
	if r.FormValue("summary") != "" {
		control.WriteJSON(w, http.StatusOK, s.Summary())
		return
	}
	afterSeq, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	control.WriteJSON(w, http.StatusOK, s.ledger.afterSeq(afterSeq))
}

// Summary returns the counts of requests, tokens, steps and crashes.
func (s *Server) Summary() Summary {
	sum := s.ledger.summary()
	sum.Name = s.opts.Name
	sum.Crashes = s.crashes.Load()
	s.batch.mu.Lock()
	defer s.batch.mu.Unlock()
	sum.Steps = s.batch.steps
	sum.BusyMS = s.batch.busyTime.Milliseconds()
	sum.MaxConcurrency = s.batch.maxRunning
	return sum
}

func (s *Server) applyFaults(f Faults) {
	speed := s.opts.Speed
	if f.Speed > 0 {
		speed = f.Speed
	}
	s.batch.setFaults(f.Frozen, speed)
	if f.Frozen {
		ended := make(chan struct{})
		s.freezeEnded.CompareAndSwap(nil, &ended)
		return
	}
	if ended := s.freezeEnded.Swap(nil); ended != nil {
		close(*ended)
	}
}

// waitWhileFrozen waits while the engine is frozen. It returns false if ctx ends first.
func (s *Server) waitWhileFrozen(ctx context.Context) bool {
	ended := s.freezeEnded.Load()
	if ended == nil {
		return true
	}
	select {
	case <-*ended:
		return true
	case <-ctx.Done():
		return false
	}
}

// handleCrash drops all requests and the cache, as the exit of a process would.
func (s *Server) handleCrash() {
	s.crashes.Add(1)
	s.batch.removeAll(outcomeCrashed)
	s.cache.clear(time.Now())
	s.onCrash(time.Duration(s.faults.Get().CrashDownMS) * time.Millisecond)
}

func (s *Server) handleModels(w http.ResponseWriter, _ *http.Request) {
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

func (s *Server) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	afterSeq, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	control.WriteJSON(w, http.StatusOK, struct {
		Events []CacheEvent `json:"events"`
	}{s.cache.afterSeq(afterSeq, time.Now())})
}

func (s *Server) handleCompletion(w http.ResponseWriter, r *http.Request) {
	rec := s.ledger.addRequest(r, time.Now())
	q, err := parseRequest(w, r)
	if err != nil {
		s.writeFailure(w, rec, http.StatusBadRequest, err.Error())
		return
	}
	s.fillRecord(rec, q)
	f := s.faults.Get()
	if s.random.Chance(f.FailRate) {
		s.writeFailure(w, rec, f.FailStatus, "failure switch")
		return
	}
	if !s.orders.isLoaded(q.Model) {
		s.writeFailure(w, rec, http.StatusNotFound, "model "+q.Model+" is not loaded")
		return
	}
	truncate := s.random.Chance(f.TruncateRate)
	seq := newSequence(q, rec, f)
	s.batch.submit(seq, q.prompt)
	if q.Stream {
		s.respondStreaming(w, r, q, seq, truncate, f.TruncateAt)
		return
	}
	s.respondNonStreaming(w, r, q, seq, truncate)
}

func newSequence(q *request, rec *entry, f Faults) *sequence {
	return &sequence{
		record:           rec,
		remainingPrefill: q.promptTokens() + q.ResumeFrom,
		firstToken:       q.ResumeFrom,
		endToken:         q.totalTokens,
		stuck:            f.StuckMarker != "" && strings.Contains(q.prompt, f.StuckMarker),
		crash:            f.CrashMarker != "" && strings.Contains(q.prompt, f.CrashMarker),
		progress:         make(chan int, 1),
		done:             make(chan struct{}),
	}
}

// fillRecord sets the request fields of the record. It runs before the sequence
// is submitted to the batcher.
func (s *Server) fillRecord(rec *entry, q *request) {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	rec.ID, rec.Model, rec.Stream = q.id, q.Model, q.Stream
	rec.ResumeFrom, rec.MaxTokens = q.ResumeFrom, q.totalTokens
	rec.PromptTokens = q.promptTokens()
}

func (s *Server) writeFailure(w http.ResponseWriter, rec *entry, status int, text string) {
	s.ledger.setOutcome(rec, outcomeFailed, time.Now())
	control.WriteJSON(w, status, map[string]any{"error": map[string]any{"message": text, "type": "server_error"}})
}

func (s *Server) respondNonStreaming(w http.ResponseWriter, r *http.Request, q *request, seq *sequence, truncate bool) {
	select {
	case <-seq.done:
	case <-r.Context().Done():
		s.cancelDisconnected(seq)
		control.Abort()
	}
	if !seq.isComplete() {
		control.Abort()
	}
	if !s.waitWhileFrozen(r.Context()) {
		control.Abort()
	}
	q.writeNonStreaming(w, seq.record, truncate)
}

// respondStreaming sends tokens as they are generated. It calls Abort if the
// engine crashes, the caller disconnects, or the stream is to be truncated.
func (s *Server) respondStreaming(w http.ResponseWriter, r *http.Request, q *request, seq *sequence, truncate bool, truncateAt int) {
	out := q.newStreamWriter(w)
	limit := seq.endToken
	if truncate {
		limit = min(limit, q.ResumeFrom+truncateAt)
	}
	for finished := false; !finished; {
		generated := 0
		select {
		case generated = <-seq.progress:
		case <-seq.done:
			generated = seq.firstToken + seq.record.tokenCount()
			finished = true
		case <-r.Context().Done():
			s.cancelDisconnected(seq)
			control.Abort()
		}
		if !s.waitWhileFrozen(r.Context()) || out.sendBefore(min(generated, limit)) != nil {
			s.cancelDisconnected(seq)
			control.Abort()
		}
		if truncate && generated >= limit {
			s.ledger.setOutcome(seq.record, outcomeTruncated, time.Now())
			s.batch.cancel(seq)
			control.Abort()
		}
	}
	if !seq.isComplete() {
		control.Abort()
	}
	_ = out.finish(seq.record)
}

// cancelDisconnected cancels the sequence of a caller that disconnected.
func (s *Server) cancelDisconnected(seq *sequence) {
	s.batch.cancel(seq)
	s.ledger.setOutcome(seq.record, outcomeCancelled, time.Now())
}
