// Package platform is a stand-in for the platform: its object API in memory with
// rate limits, a delayed list of hosts, injected faults and a ledger of calls.
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
	clientHeader        = "X-Platform-Client"
	defaultListLimit    = 1000
	maxWatchTimeout     = 60 * time.Second
	watchChargeInterval = time.Second
)

// Options configures the platform. Rates are calls per second.
type Options struct {
	Writes          float64       // in total, default 400
	Reads           float64       // in total, default 2000
	WritesPerClient float64       // default 200
	ReadsPerClient  float64       // default 1000
	HostListDelay   time.Duration // delay before a change of the host list is visible
	HistoryValues   []string      // key prefixes under which the ledger keeps written values
	Seed            uint64
}

// Outage modes of Faults.
const (
	outageRefuse = "refuse" // responds with 503 and applies nothing
	outageSilent = "silent" // never responds
	outageReset  = "reset"  // closes the connection without a response
)

// Faults are the fault injection settings.
type Faults struct {
	Outage           string   `json:"outage"`       // empty, refuse, silent or reset
	SlowMS           int64    `json:"slow_ms"`      // delay of each call before it takes effect
	LostResponseRate float64  `json:"lose_answers"` // probability that an applied write gets no response
	DropEventRate    float64  `json:"drop_events"`  // probability that a watch misses an event
	BlockedClients   []string `json:"cut_clients"`  // client names whose calls fail with BlockedMode
	BlockedMode      string   `json:"cut_mode"`     // silent (default), reset or refuse
}

// Server is the platform. It implements http.Handler.
type Server struct {
	opts   Options
	store  *store
	writes *rateLimiter
	reads  *rateLimiter
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
		writes: newRateLimiter(opts.Writes, opts.WritesPerClient),
		reads:  newRateLimiter(opts.Reads, opts.ReadsPerClient),
		hosts:  &hostList{delay: opts.HostListDelay},
		ledger: newLedger(opts.HistoryValues),
		faults: control.NewFaults(Faults{}, nil),
		random: control.NewRandom(opts.Seed),
		mux:    http.NewServeMux(),
	}
	s.registerRoutes()
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) registerRoutes() {
	s.mux.HandleFunc("GET /v1/objects/{key...}", s.objectAPI(opGet, s.reads, s.get))
	s.mux.HandleFunc("GET /v1/objects", s.objectAPI(opList, s.reads, s.list))
	s.mux.HandleFunc("GET /v1/watch", s.objectAPI(opWatch, s.reads, s.watch))
	s.mux.HandleFunc("GET /v1/hosts", s.objectAPI(opHosts, s.reads, s.listHosts))
	s.mux.HandleFunc("PUT /v1/objects/{key...}", s.objectAPI(opPut, s.writes, s.put))
	s.mux.HandleFunc("DELETE /v1/objects/{key...}", s.objectAPI(opDelete, s.writes, s.remove))
	s.mux.HandleFunc("POST /hosts", s.setHosts)
	s.mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) {
		summary := s.ledger.summary()
		summary.Version, _ = s.store.changesSince("", 1<<62)
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

// objectAPI wraps a handler of the object API. It counts each call, and
// applies faults and the rate limit to it.
func (s *Server) objectAPI(op string, limit *rateLimiter, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		clientName := r.Header.Get(clientHeader)
		s.ledger.countCall(clientName, op, time.Now())
		if !s.applyFaults(w, r, clientName) {
			return
		}
		if !limit.allow(clientName, time.Now()) {
			s.ledger.countCall(clientName, op+refusedSuffix, time.Now())
			http.Error(w, "rate limit", http.StatusTooManyRequests)
			return
		}
		next(w, r)
	}
}

// applyFaults delays the call, or fails it if an outage applies to the client. It
// returns false if the call has failed.
func (s *Server) applyFaults(w http.ResponseWriter, r *http.Request, clientName string) bool {
	f := s.faults.Get()
	if mode := f.outageMode(clientName); mode != "" {
		failCall(w, r, mode)
		return false
	}
	if f.SlowMS > 0 && !control.Sleep(r.Context(), time.Duration(f.SlowMS)*time.Millisecond) {
		control.Abort()
	}
	return true
}

// outageMode returns the outage mode that applies to the client, or an empty
// string if its calls succeed.
func (f Faults) outageMode(clientName string) string {
	if f.Outage != "" {
		return f.Outage
	}
	if !slices.Contains(f.BlockedClients, clientName) {
		return ""
	}
	if f.BlockedMode == "" {
		return outageSilent
	}
	return f.BlockedMode
}

func failCall(w http.ResponseWriter, r *http.Request, mode string) {
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
	ifVersion, err := parseIfMatch(r)
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
	s.recordWrite(r, Write{Op: opPut, Key: key, Version: obj.Version, IfVersion: ifVersion}, value)
	w.Header().Set("ETag", strconv.FormatInt(obj.Version, 10))
	w.WriteHeader(http.StatusOK)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	ifVersion, err := parseIfMatch(r)
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
	s.recordWrite(r, Write{Op: opDelete, Key: key, Version: version, IfVersion: ifVersion}, nil)
	w.WriteHeader(http.StatusNoContent)
}

// recordWrite records an applied write. With probability LostResponseRate it
// aborts the call, so that the client gets no response.
func (s *Server) recordWrite(r *http.Request, record Write, value []byte) {
	record.ResponseLost = s.random.Chance(s.faults.Get().LostResponseRate)
	record.AtMS = time.Now().UnixMilli()
	record.Client = r.Header.Get(clientHeader)
	s.ledger.addWrite(record, value)
	if record.ResponseLost {
		control.Abort()
	}
}

// watch responds as soon as there are events, or after timeout_ms without any.
// A waiting watch is charged one read per second.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.FormValue("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	prefix, clientName := r.FormValue("prefix"), r.Header.Get(clientHeader)
	ctx, cancel := context.WithTimeout(r.Context(), watchTimeout(r))
	defer cancel()
	watcher := s.store.addWatcher(prefix)
	defer s.store.removeWatcher(watcher)
	tick := time.NewTicker(watchChargeInterval)
	defer tick.Stop()
	for {
		version, events := s.store.changesSince(prefix, from)
		events = s.dropEvents(events)
		if len(events) > 0 || ctx.Err() != nil {
			control.WriteJSON(w, http.StatusOK, client.WatchResult{Version: version, Events: events})
			return
		}
		from = version
		select {
		case <-watcher.wake:
		case <-ctx.Done():
		case now := <-tick.C:
			s.reads.charge(clientName, now)
			s.ledger.countCall(clientName, opWatchWait, now)
		}
		s.abortDuringOutage(r, clientName)
	}
}

// abortDuringOutage ends a waiting watch if an outage has begun for its client.
func (s *Server) abortDuringOutage(r *http.Request, clientName string) {
	mode := s.faults.Get().outageMode(clientName)
	if mode == "" {
		return
	}
	if mode == outageSilent {
		<-r.Context().Done()
	}
	control.Abort()
}

func (s *Server) dropEvents(events []client.Event) []client.Event {
	p := s.faults.Get().DropEventRate
	if p <= 0 {
		return events
	}
	return slices.DeleteFunc(events, func(client.Event) bool { return s.random.Chance(p) })
}

func watchTimeout(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.FormValue("timeout_ms"), 10, 64)
	if err != nil || ms < 0 {
		return 0
	}
	return min(time.Duration(ms)*time.Millisecond, maxWatchTimeout)
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

// parseIfMatch returns the version in the If-Match header, or AnyVersion without one.
func parseIfMatch(r *http.Request) (int64, error) {
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
