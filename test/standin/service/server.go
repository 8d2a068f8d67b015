// Package service is a stand-in for a plain HTTP service: it accepts any method,
// path and body, echoes the call, and keeps a ledger of the calls that ran.
package service

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"ragwortstep/test/standin/control"
)

// maxBodyBytes bounds a call's body, in bytes.
const maxBodyBytes = 16 << 20

// Values of Call.Answer.
const (
	responseSent   = "sent"
	responseFailed = "failed" // the call ran, then the response was an error
	responseCut    = "cut"    // the call ran, then the connection was closed before the whole response
)

// Options configures a service.
type Options struct {
	Name           string
	Slots          int           // largest number of calls that run at once; others wait
	CallDuration   time.Duration // time that a call takes at speed 1
	Speed          float64       // divides CallDuration
	LoadInterval   time.Duration // time between measurements of the reported load
	MaxLedgerCalls int           // largest number of calls kept in the ledger
	Seed           uint64
}

// Faults are the fault injection settings. Rates are probabilities per call.
type Faults struct {
	DelayMS         int64   `json:"delay_ms"`        // added before a call runs
	ResponseDelayMS int64   `json:"answer_delay_ms"` // added before the response is sent
	FailStatus      int     `json:"fail_status"`     // status of failed and rejected calls, default 500
	FailRate        float64 `json:"fail_rate"`       // the call runs and the response has FailStatus
	RejectRate      float64 `json:"reject_rate"`     // the call does not run and the response has FailStatus
	NoResponseRate  float64 `json:"cut_rate"`        // the call runs and gets no response
	DropRate        float64 `json:"drop_rate"`       // the call does not run and gets no response
	TruncateRate    float64 `json:"truncate_rate"`   // the call runs and gets half of the response
}

// Load is the service's load report.
type Load struct {
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
	Slots   int     `json:"slots"`
	KVUsed  float64 `json:"kv_used"` // always 0
	AtMS    int64   `json:"at_ms"`
}

// Echo is the body of each successful response.
type Echo struct {
	Service string `json:"service"`
	Tag     string `json:"tag"` // the call's id
	Method  string `json:"method"`
	Path    string `json:"path"`
	Query   string `json:"query"`
	Body    string `json:"body"`
}

// Server is the service. It implements http.Handler.
type Server struct {
	opts    Options
	slots   chan struct{}
	waiting atomic.Int64
	load    atomic.Pointer[Load]
	ledger  *ledger
	faults  *control.Faults[Faults]
	random  *control.Random
	mux     *http.ServeMux
}

// New returns a service.
func New(opts Options) *Server {
	s := &Server{
		opts:   opts,
		slots:  make(chan struct{}, opts.Slots),
		ledger: newLedger(opts.MaxLedgerCalls),
		faults: control.NewFaults(Faults{FailStatus: http.StatusInternalServerError}, nil),
		random: control.NewRandom(opts.Seed),
		mux:    http.NewServeMux(),
	}
	s.updateLoad()
	s.mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, http.StatusOK, s.load.Load())
	})
	s.mux.HandleFunc("/", s.handleCall)
	return s
}

// ServeHTTP implements http.Handler for the service's API.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Run measures the load until ctx ends.
func (s *Server) Run(ctx context.Context) {
	for control.Sleep(ctx, s.opts.LoadInterval) {
		s.updateLoad()
	}
}

func (s *Server) updateLoad() {
	s.load.Store(&Load{
		Running: len(s.slots), Waiting: int(s.waiting.Load()), Slots: s.opts.Slots, AtMS: time.Now().UnixMilli(),
	})
}

// Control returns the handler of the fault settings and the ledger.
func (s *Server) Control() http.Handler {
	mux := http.NewServeMux()
	s.faults.Register(mux)
	mux.HandleFunc("GET /ledger", s.handleLedger)
	mux.HandleFunc("DELETE /ledger", func(w http.ResponseWriter, _ *http.Request) {
		s.ledger.reset()
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func (s *Server) handleLedger(w http.ResponseWriter, r *http.Request) {
	if r.FormValue("summary") != "" {
		sum := s.ledger.summary()
		sum.Name = s.opts.Name
		control.WriteJSON(w, http.StatusOK, sum)
		return
	}
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	control.WriteJSON(w, http.StatusOK, s.ledger.find(after, r.FormValue("id")))
}

func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	s.ledger.countArrival()
	arrived := time.Now()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		control.Abort()
	}
	f := s.faults.Get()
	if s.random.Chance(f.DropRate) {
		control.Abort()
	}
	if s.random.Chance(f.RejectRate) {
		http.Error(w, "rejected, not run", f.FailStatus)
		return
	}
	if !s.runCall(r.Context(), time.Duration(f.DelayMS)*time.Millisecond) {
		control.Abort()
	}
	c := s.newCall(r, body, arrived)
	s.ledger.recordRun(c)
	s.finishCall(w, c, body, f)
}

// runCall waits for a slot and holds it for the duration of a call. It returns
// false if the caller disconnects before the end; the call then has not run.
func (s *Server) runCall(ctx context.Context, delay time.Duration) bool {
	s.waiting.Add(1)
	select {
	case s.slots <- struct{}{}:
		s.waiting.Add(-1)
	case <-ctx.Done():
		s.waiting.Add(-1)
		return false
	}
	defer func() { <-s.slots }()
	return control.Sleep(ctx, delay+time.Duration(float64(s.opts.CallDuration)/s.opts.Speed))
}

func (s *Server) newCall(r *http.Request, body []byte, arrived time.Time) *Call {
	c := &Call{
		RequestID: r.Header.Get("X-Request-Id"), IdempotencyKey: r.Header.Get("Idempotency-Key"), BodyID: bodyID(body),
		Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Header: r.Header.Clone(), Trailer: r.Trailer.Clone(), BodyBytes: len(body),
		ArrivedMS: arrived.UnixMilli(), RanMS: time.Now().UnixMilli(),
	}
	for _, id := range []string{c.BodyID, c.IdempotencyKey, c.RequestID} {
		if id != "" {
			c.ID = id
			break
		}
	}
	return c
}

// bodyID returns the field request_id of a JSON body. It is the preferred id of a
// call because hosts never rewrite the body.
func bodyID(body []byte) string {
	var fields struct {
		RequestID string `json:"request_id"`
	}
	_ = json.Unmarshal(body, &fields)
	return fields.RequestID
}

// finishCall sends the response of a call that ran, or injects a fault, and records
// which of them happened.
func (s *Server) finishCall(w http.ResponseWriter, c *Call, body []byte, f Faults) {
	time.Sleep(time.Duration(f.ResponseDelayMS) * time.Millisecond)
	if s.random.Chance(f.NoResponseRate) {
		s.ledger.finishCall(c, responseCut)
		control.Abort()
	}
	if s.random.Chance(f.FailRate) {
		s.ledger.finishCall(c, responseFailed)
		http.Error(w, "failed after running", f.FailStatus)
		return
	}
	raw, err := json.Marshal(Echo{
		Service: s.opts.Name, Tag: c.ID, Method: c.Method, Path: c.Path, Query: c.Query, Body: string(body),
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	if s.random.Chance(f.TruncateRate) {
		s.ledger.finishCall(c, responseCut)
		_, _ = w.Write(raw[:len(raw)/2])
		_ = http.NewResponseController(w).Flush()
		control.Abort()
	}
	s.ledger.finishCall(c, responseSent)
	_, _ = w.Write(raw)
}

// Run serves a service at addr, and its control interface at controlAddr,
// until ctx ends.
func Run(ctx context.Context, addr, controlAddr string, opts Options) error {
	s := New(opts)
	failed := make(chan error, 2)
	go s.Run(ctx)
	go func() { failed <- control.ListenAndServe(ctx, controlAddr, s.Control()) }()
	go func() { failed <- control.ListenAndServe(ctx, addr, s) }()
	if err := <-failed; err != nil {
		return err
	}
	return <-failed
}
