// Package platform is the stand-in of the platform: its object API in memory
// with rate limits, a lagging list of hosts, fault switches and a ledger.
package platform

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	client "ragwortstep/internal/store"
	"ragwortstep/test/standin/control"
)

const (
	clientHeader     = "X-Platform-Client"
	defaultListLimit = 1000
	maxWatchWait     = 60 * time.Second
	watchWaitUnit    = time.Second
)

// Options configures the platform. Rates are calls per second.
type Options struct {
	Writes          float64       // in total, default 400
	Reads           float64       // in total, default 2000
	WritesPerClient float64       // default 200
	ReadsPerClient  float64       // default 1000
	HostsLag        time.Duration // of the host list
	HistoryValues   []string      // prefixes whose written values the ledger keeps
	Seed            uint64
}

// Outage modes of Faults.
const (
	outageRefuse = "refuse" // answers 503, nothing is applied
	outageSilent = "silent" // never answers
	outageReset  = "reset"  // closes the connection without an answer
)

// Faults are the fault switches.
type Faults struct {
	Outage      string   `json:"outage"`       // empty, refuse, silent or reset
	SlowMS      int64    `json:"slow_ms"`      // delay of each call before it takes effect
	LoseAnswers float64  `json:"lose_answers"` // probability that an applied write gets no answer
	DropEvents  float64  `json:"drop_events"`  // probability that a watch misses an event
	CutClients  []string `json:"cut_clients"`  // client names whose calls fail as CutMode says
	CutMode     string   `json:"cut_mode"`     // silent (default), reset or refuse
}

// Server is the platform. It implements http.Handler.
type Server struct {
	opts   Options
	store  *store
	writes *rates
	reads  *rates
	hosts  *hostList
	ledger *ledger
	faults *control.Faults[Faults]
	random *control.Random
	mux    *http.ServeMux
}

// New returns an empty platform.
func New(opts Options) *Server {
	s := &Server{
		opts:   opts,
		store:  newStore(),
		writes: newRates(opts.Writes, opts.WritesPerClient),
		reads:  newRates(opts.Reads, opts.ReadsPerClient),
		hosts:  &hostList{lag: opts.HostsLag},
		ledger: newLedger(opts.HistoryValues),
		faults: control.NewFaults(Faults{}, nil),
		random: control.NewRandom(opts.Seed),
		mux:    http.NewServeMux(),
	}
	s.routes()
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) routes() {
	s.mux.HandleFunc("GET /v1/objects/{key...}", s.api(opGet, s.reads, s.get))
	s.mux.HandleFunc("GET /v1/objects", s.api(opList, s.reads, s.list))
	s.mux.HandleFunc("GET /v1/watch", s.api(opWatch, s.reads, s.watch))
	s.mux.HandleFunc("GET /v1/hosts", s.api(opHosts, s.reads, s.listHosts))
	s.mux.HandleFunc("PUT /v1/objects/{key...}", s.api(opPut, s.writes, s.put))
	s.mux.HandleFunc("DELETE /v1/objects/{key...}", s.api(opDelete, s.writes, s.remove))
	s.mux.HandleFunc("POST /hosts", s.setHosts)
	s.mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) {
		summary := s.ledger.summary()
		summary.Version, _ = s.store.since("", 1<<62)
		control.WriteJSON(w, http.StatusOK, summary)
	})
	s.mux.HandleFunc("GET /ledger/writes", func(w http.ResponseWriter, r *http.Request) {
		control.WriteJSON(w, http.StatusOK, s.ledger.history(r.FormValue("prefix")))
	})
	s.mux.HandleFunc("DELETE /ledger", func(w http.ResponseWriter, _ *http.Request) {
		s.ledger.reset()
		w.WriteHeader(http.StatusNoContent)
	})
	s.faults.Register(s.mux)
}

// api counts a call of the object API and applies faults and rates to it.
func (s *Server) api(op string, limit *rates, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name := r.Header.Get(clientHeader)
		s.ledger.count(name, op, time.Now())
		if !s.reachable(w, r, name) {
			return
		}
		if !limit.take(name, time.Now()) {
			s.ledger.count(name, op+refusedLabel, time.Now())
			http.Error(w, "rate limit", http.StatusTooManyRequests)
			return
		}
		next(w, r)
	}
}

// reachable applies outage, cut and slowness. It returns false when the call was answered or must end.
func (s *Server) reachable(w http.ResponseWriter, r *http.Request, name string) bool {
	f := s.faults.Get()
	if mode := f.blocks(name); mode != "" {
		fail(w, r, mode)
		return false
	}
	if f.SlowMS > 0 && !control.Sleep(r.Context(), time.Duration(f.SlowMS)*time.Millisecond) {
		control.Abort()
	}
	return true
}

// blocks returns the mode in which the client's calls fail now, or empty.
func (f Faults) blocks(name string) string {
	if f.Outage != "" {
		return f.Outage
	}
	if !slices.Contains(f.CutClients, name) {
		return ""
	}
	if f.CutMode == "" {
		return outageSilent
	}
	return f.CutMode
}

func fail(w http.ResponseWriter, r *http.Request, mode string) {
	switch mode {
	case outageRefuse:
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
	case outageSilent:
		<-r.Context().Done()
		control.Abort()
	default:
		control.Abort()
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	obj, err := s.store.get(r.PathValue("key"))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", strconv.FormatInt(obj.Version, 10))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(obj.Value)))
	_, _ = w.Write(obj.Value)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	limit, err := strconv.Atoi(r.FormValue("limit"))
	if err != nil || limit <= 0 || limit > defaultListLimit {
		limit = defaultListLimit
	}
	control.WriteJSON(w, http.StatusOK, s.store.list(r.FormValue("prefix"), r.FormValue("after"), limit))
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	ifVersion, err := condition(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, client.MaxValueBytes+1))
	if err != nil {
		control.Abort()
	}
	if len(value) > client.MaxValueBytes {
		writeError(w, client.ErrTooLarge)
		return
	}
	key := r.PathValue("key")
	obj, err := s.store.put(key, value, ifVersion)
	if err != nil {
		writeError(w, err)
		return
	}
	s.applied(r, Write{Op: opPut, Key: key, Version: obj.Version, IfVersion: ifVersion}, value)
	w.Header().Set("ETag", strconv.FormatInt(obj.Version, 10))
	w.WriteHeader(http.StatusOK)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	ifVersion, err := condition(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := r.PathValue("key")
	version, err := s.store.remove(key, ifVersion)
	if err != nil {
		writeError(w, err)
		return
	}
	s.applied(r, Write{Op: opDelete, Key: key, Version: version, IfVersion: ifVersion}, nil)
	w.WriteHeader(http.StatusNoContent)
}

// applied records a write and, when the fault is drawn, withholds its answer.
func (s *Server) applied(r *http.Request, record Write, value []byte) {
	record.Lost = s.random.Chance(s.faults.Get().LoseAnswers)
	record.AtMS = time.Now().UnixMilli()
	record.Client = r.Header.Get(clientHeader)
	s.ledger.write(record, value)
	if record.Lost {
		control.Abort()
	}
}

// watch answers as soon as there are events, or after timeout_ms without any.
// A waiting watch is charged as one read for each second that it waits.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.FormValue("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	prefix, name := r.FormValue("prefix"), r.Header.Get(clientHeader)
	ctx, cancel := context.WithTimeout(r.Context(), watchWait(r))
	defer cancel()
	waiting := s.store.addWatcher(prefix)
	defer s.store.removeWatcher(waiting)
	tick := time.NewTicker(watchWaitUnit)
	defer tick.Stop()
	for {
		version, events := s.store.since(prefix, from)
		events = s.dropEvents(events)
		if len(events) > 0 || ctx.Err() != nil {
			control.WriteJSON(w, http.StatusOK, client.WatchResult{Version: version, Events: events})
			return
		}
		from = version
		select {
		case <-waiting.wake:
		case <-ctx.Done():
		case now := <-tick.C:
			s.reads.charge(name, now)
			s.ledger.count(name, opWatchWait, now)
		}
		s.endBlockedWatch(r, name)
	}
}

// endBlockedWatch ends a waiting watch when an outage or a cut began meanwhile.
func (s *Server) endBlockedWatch(r *http.Request, name string) {
	mode := s.faults.Get().blocks(name)
	if mode == "" {
		return
	}
	if mode == outageSilent {
		<-r.Context().Done()
	}
	control.Abort()
}

func (s *Server) dropEvents(events []client.Event) []client.Event {
	p := s.faults.Get().DropEvents
	if p <= 0 {
		return events
	}
	return slices.DeleteFunc(events, func(client.Event) bool { return s.random.Chance(p) })
}

func watchWait(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.FormValue("timeout_ms"), 10, 64)
	if err != nil || ms < 0 {
		return 0
	}
	return min(time.Duration(ms)*time.Millisecond, maxWatchWait)
}

func (s *Server) listHosts(w http.ResponseWriter, _ *http.Request) {
	control.WriteJSON(w, http.StatusOK, hostsBody{Hosts: s.hosts.get(time.Now())})
}

func (s *Server) setHosts(w http.ResponseWriter, r *http.Request) {
	var body hostsBody
	if !control.ReadJSON(w, r, &body) {
		return
	}
	s.hosts.set(body.Hosts, time.Now())
	w.WriteHeader(http.StatusNoContent)
}

type hostsBody struct {
	Hosts []client.HostEntry `json:"hosts"`
}

// condition returns the version that If-Match names, or AnyVersion without the header.
func condition(r *http.Request) (int64, error) {
	raw := strings.Trim(r.Header.Get("If-Match"), `"`)
	if raw == "" {
		return client.AnyVersion, nil
	}
	version, err := strconv.ParseInt(raw, 10, 64)
	if err != nil || version < 0 {
		return 0, errors.Newf("If-Match: %q is not a version", raw)
	}
	return version, nil
}

func writeError(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	switch {
	case errors.Is(err, client.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, client.ErrConflict):
		status = http.StatusConflict
	case errors.Is(err, client.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	}
	http.Error(w, err.Error(), status)
}
