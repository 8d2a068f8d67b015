// Package service is the stand-in of a plain service: it runs any method and
// body under any path, echoes the call, and keeps a ledger of the calls that ran.
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

// maxBody bounds a call's body, in bytes.
const maxBody = 16 << 20

// Answers in the ledger.
const (
	answerSent   = "sent"
	answerFailed = "failed" // ran, then answered with the failure status
	answerCut    = "cut"    // ran, then the connection was closed without an answer
)

// Options configures a service.
type Options struct {
	Name      string
	Slots     int           // calls that run at once; others wait
	Work      time.Duration // time that a call takes at speed 1
	Speed     float64       // divides Work
	LoadLag   time.Duration // between measurements of the load report
	LedgerMax int           // calls kept
	Seed      uint64
}

// Faults are the fault switches. Rates are probabilities.
type Faults struct {
	DelayMS       int64   `json:"delay_ms"`        // before a call runs
	AnswerDelayMS int64   `json:"answer_delay_ms"` // after a call ran
	FailStatus    int     `json:"fail_status"`     // of failed calls, default 500
	FailRate      float64 `json:"fail_rate"`       // calls that run and are answered with FailStatus
	RejectRate    float64 `json:"reject_rate"`     // calls answered with FailStatus without running
	CutRate       float64 `json:"cut_rate"`        // calls that run and get no answer
	DropRate      float64 `json:"drop_rate"`       // calls that neither run nor get an answer
	TruncateRate  float64 `json:"truncate_rate"`   // calls that run and get half of the answer
}

// Load is the service's load report.
type Load struct {
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
	Slots   int     `json:"slots"`
	KVUsed  float64 `json:"kv_used"` // always 0
	AtMS    int64   `json:"at_ms"`
}

// Echo is the body of each answer.
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
		ledger: newLedger(opts.LedgerMax),
		faults: control.NewFaults(Faults{FailStatus: http.StatusInternalServerError}, nil),
		random: control.NewRandom(opts.Seed),
		mux:    http.NewServeMux(),
	}
	s.measure()
	s.mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, http.StatusOK, s.load.Load())
	})
	s.mux.HandleFunc("/", s.call)
	return s
}

// ServeHTTP implements http.Handler for the service's own interface.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Run measures the load until ctx ends.
func (s *Server) Run(ctx context.Context) {
	for control.Sleep(ctx, s.opts.LoadLag) {
		s.measure()
	}
}

func (s *Server) measure() {
	s.load.Store(&Load{
		Running: len(s.slots), Waiting: int(s.waiting.Load()), Slots: s.opts.Slots, AtMS: time.Now().UnixMilli(),
	})
}

// Control returns the handler of fault switches and ledger.
func (s *Server) Control() http.Handler {
	mux := http.NewServeMux()
	s.faults.Register(mux)
	mux.HandleFunc("GET /ledger", s.readLedger)
	mux.HandleFunc("DELETE /ledger", func(w http.ResponseWriter, _ *http.Request) {
		s.ledger.reset()
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func (s *Server) readLedger(w http.ResponseWriter, r *http.Request) {
	if r.FormValue("summary") != "" {
		sum := s.ledger.summary()
		sum.Name = s.opts.Name
		control.WriteJSON(w, http.StatusOK, sum)
		return
	}
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	control.WriteJSON(w, http.StatusOK, s.ledger.find(after, r.FormValue("id")))
}

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	s.ledger.arrive()
	arrived := time.Now()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
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
	if !s.work(r.Context(), time.Duration(f.DelayMS)*time.Millisecond) {
		control.Abort()
	}
	c := s.describe(r, body, arrived)
	s.ledger.run(c)
	s.answer(w, c, body, f)
}

// work takes a slot and the time of a call. It returns false, without the
// call having run, when the caller went away meanwhile.
func (s *Server) work(ctx context.Context, delay time.Duration) bool {
	s.waiting.Add(1)
	select {
	case s.slots <- struct{}{}:
		s.waiting.Add(-1)
	case <-ctx.Done():
		s.waiting.Add(-1)
		return false
	}
	defer func() { <-s.slots }()
	return control.Sleep(ctx, delay+time.Duration(float64(s.opts.Work)/s.opts.Speed))
}

func (s *Server) describe(r *http.Request, body []byte, arrived time.Time) *Call {
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

// bodyID returns the field request_id of a JSON body. It comes first as the
// call's id because no host rewrites it.
func bodyID(body []byte) string {
	var fields struct {
		RequestID string `json:"request_id"`
	}
	_ = json.Unmarshal(body, &fields)
	return fields.RequestID
}

func (s *Server) answer(w http.ResponseWriter, c *Call, body []byte, f Faults) {
	time.Sleep(time.Duration(f.AnswerDelayMS) * time.Millisecond)
	if s.random.Chance(f.CutRate) {
		s.ledger.answer(c, answerCut)
		control.Abort()
	}
	if s.random.Chance(f.FailRate) {
		s.ledger.answer(c, answerFailed)
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
		s.ledger.answer(c, answerCut)
		_, _ = w.Write(raw[:len(raw)/2])
		_ = http.NewResponseController(w).Flush()
		control.Abort()
	}
	s.ledger.answer(c, answerSent)
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
