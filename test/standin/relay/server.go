// Package relay forwards TCP connections from listen addresses to targets, with
// a delay and injected faults per link.
package relay

import (
	"context"
	"net/http"
	"path"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/test/standin/control"
)

// Spec describes a link.
type Spec struct {
	Name    string `json:"name"`
	Listen  string `json:"listen"` // loopback IP and port
	Target  string `json:"target"`
	DelayUS int64  `json:"delay_us"` // in each direction, in microseconds
}

// Fault is the body of POST /fault. It applies to the links whose name
// matches Link, a pattern for path.Match. Absent fields leave a setting unchanged.
type Fault struct {
	Link          string  `json:"link"`
	Cut           bool    `json:"cut,omitempty"`            // resets all open connections
	Freeze        bool    `json:"freeze,omitempty"`         // permanently silences all open connections
	Refuse        *bool   `json:"refuse,omitempty"`         // refuses new connections
	Silent        *string `json:"silent,omitempty"`         // to_target, to_client, both or empty: delays data until changed
	TruncateAfter *int64  `json:"truncate_after,omitempty"` // closes a connection after this many bytes to the client; 0 ends the fault
	DelayUS       *int64  `json:"delay_us,omitempty"`       // in each direction, in microseconds
}

// Status is the state and the counters of a link in GET /ledger.
type Status struct {
	Spec
	Listening      bool   `json:"listening"`
	Refuse         bool   `json:"refuse"`
	Silent         string `json:"silent"`
	Accepted       int64  `json:"accepted"`
	Open           int    `json:"open"`
	BytesToTarget  int64  `json:"bytes_to_target"`
	BytesToClient  int64  `json:"bytes_to_client"`
	WritesToTarget int64  `json:"writes_to_target"`
	WritesToClient int64  `json:"writes_to_client"`
}

// Server is a set of links and their control interface.
type Server struct {
	scheduler *scheduler
	mux       *http.ServeMux

	mu    sync.Mutex
	links map[string]*link
}

// New returns a relay without links.
func New() *Server {
	s := &Server{scheduler: newScheduler(), mux: http.NewServeMux(), links: map[string]*link{}}
	s.mux.HandleFunc("POST /links", s.addLinks)
	s.mux.HandleFunc("DELETE /links/{name}", s.removeLink)
	s.mux.HandleFunc("POST /fault", s.postFault)
	s.mux.HandleFunc("DELETE /fault", s.clearFaults)
	s.mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, http.StatusOK, s.Status())
	})
	s.mux.HandleFunc("DELETE /ledger", s.resetCounters)
	return s
}

// ServeHTTP implements http.Handler for the control interface.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Add adds a link, which starts to listen as soon as the target accepts connections.
func (s *Server) Add(spec Spec) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.links[spec.Name]; ok || spec.Name == "" {
		return errors.Newf("link %q: name is empty or taken", spec.Name)
	}
	l := newLink(s.scheduler, spec)
	s.links[spec.Name] = l
	l.startProbe()
	return nil
}

// Close closes all links and their connections.
func (s *Server) Close() {
	for _, l := range s.matchingLinks("*") {
		l.close()
	}
}

// Apply applies a fault and returns the number of links that it matched.
func (s *Server) Apply(f Fault) int {
	links := s.matchingLinks(f.Link)
	for _, l := range links {
		applyFault(l, f)
	}
	return len(links)
}

func applyFault(l *link, f Fault) {
	l.update(func(st *state) {
		if f.Refuse != nil {
			st.refuse = *f.Refuse
		}
		if f.Silent != nil {
			st.silent = *f.Silent
		}
		if f.TruncateAfter != nil {
			st.limit = nil
			if *f.TruncateAfter > 0 {
				st.limit = &truncation{maxBytes: *f.TruncateAfter}
			}
		}
		if f.DelayUS != nil {
			st.delay = time.Duration(*f.DelayUS) * time.Microsecond
		}
	})
	if f.Freeze {
		l.forEachConn((*conn).freeze)
	}
	if f.Cut {
		l.forEachConn((*conn).reset)
	}
}

// Status returns the status of all links, sorted by name.
func (s *Server) Status() []Status {
	out := []Status{}
	for _, l := range s.matchingLinks("*") {
		out = append(out, l.status())
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func (l *link) status() Status {
	st := l.state.Load()
	l.mu.Lock()
	listening, open := l.listener != nil, len(l.conns)
	l.mu.Unlock()
	return Status{
		Spec:      Spec{Name: l.Name, Listen: l.Listen, Target: l.Target, DelayUS: st.delay.Microseconds()},
		Listening: listening, Refuse: st.refuse, Silent: st.silent, Accepted: l.accepted.Load(), Open: open,
		BytesToTarget: l.bytesToTarget.Load(), BytesToClient: l.bytesToClient.Load(),
		WritesToTarget: l.writesToTarget.Load(), WritesToClient: l.writesToClient.Load(),
	}
}

func (s *Server) matchingLinks(pattern string) []*link {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*link
	for name, l := range s.links {
		if ok, _ := path.Match(pattern, name); ok {
			out = append(out, l)
		}
	}
	return out
}

func (s *Server) addLinks(w http.ResponseWriter, r *http.Request) {
	var specs []Spec
	if !control.ReadJSON(w, r, &specs) {
		return
	}
	for _, spec := range specs {
		if err := s.Add(spec); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) removeLink(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	l := s.links[r.PathValue("name")]
	delete(s.links, r.PathValue("name"))
	s.mu.Unlock()
	if l == nil {
		http.Error(w, "no such link", http.StatusNotFound)
		return
	}
	l.close()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) postFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if !control.ReadJSON(w, r, &f) {
		return
	}
	if !validSilent(f.Silent) {
		http.Error(w, "silent: want to_target, to_client, both or empty", http.StatusBadRequest)
		return
	}
	n := s.Apply(f)
	if n == 0 {
		http.Error(w, "no link matches "+f.Link, http.StatusNotFound)
		return
	}
	control.WriteJSON(w, http.StatusOK, map[string]int{"links": n})
}

func validSilent(value *string) bool {
	if value == nil {
		return true
	}
	switch *value {
	case "", silentToTarget, silentToClient, silentBoth:
		return true
	}
	return false
}

// clearFaults ends the faults refuse, silent and truncate_after on all links.
// Delays stay, and so do frozen connections.
func (s *Server) clearFaults(w http.ResponseWriter, _ *http.Request) {
	refuse, silent, after := false, "", int64(0)
	s.Apply(Fault{Link: "*", Refuse: &refuse, Silent: &silent, TruncateAfter: &after})
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) resetCounters(w http.ResponseWriter, _ *http.Request) {
	for _, l := range s.matchingLinks("*") {
		for _, n := range []interface{ Store(int64) }{
			&l.accepted, &l.bytesToTarget, &l.bytesToClient, &l.writesToTarget, &l.writesToClient,
		} {
			n.Store(0)
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

// Run serves the links and the control interface until ctx ends.
func Run(ctx context.Context, controlAddr string, specs []Spec) error {
	s := New()
	defer s.Close()
	for _, spec := range specs {
		if err := s.Add(spec); err != nil {
			return err
		}
	}
	return control.ListenAndServe(ctx, controlAddr, s)
}
