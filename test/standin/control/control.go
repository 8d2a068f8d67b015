// Package control holds the code shared by all stand-ins: serving HTTP on a
// loopback address until a context ends, JSON bodies, fault injection settings
// and a seeded random source.
package control

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxBodyBytes bounds the body of a control request, in bytes.
	maxBodyBytes = 8 << 20
	// shutdownTimeout bounds how long open requests may delay the shutdown of a process.
	shutdownTimeout = 500 * time.Millisecond
	// readHeaderTimeout bounds how long a connection may take to send a request header.
	readHeaderTimeout = 30 * time.Second
)

// Listen listens on a loopback TCP address and refuses any other address.
func Listen(addr string) (net.Listener, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", addr)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return nil, errors.Newf("listen on %s: not a loopback address", addr)
	}
	l, err := net.Listen("tcp", addr)
	return l, errors.Wrapf(err, "listen on %s", addr)
}

// Serve serves the handler on l until ctx ends. The connections of requests
// that are still open after shutdownTimeout are closed.
func Serve(ctx context.Context, l net.Listener, handler http.Handler) error {
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if srv.Shutdown(shutdownCtx) != nil {
			_ = srv.Close()
		}
	})
	defer stop()
	err := srv.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve %s", l.Addr())
}

// ListenAndServe calls Listen and then Serve.
func ListenAndServe(ctx context.Context, addr string, handler http.Handler) error {
	l, err := Listen(addr)
	if err != nil {
		return err
	}
	return Serve(ctx, l, handler)
}

// WriteJSON responds with status and the JSON encoding of v.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// ReadJSON decodes the request body into v. It responds with 400 and returns
// false if the body is malformed or has unknown fields.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Abort closes the request's connection without a response. It does not return.
func Abort() { panic(http.ErrAbortHandler) }

// Faults holds the fault injection settings of one stand-in. T must be a struct
// whose slices and maps are replaced, never modified in place.
type Faults[T any] struct {
	mu       sync.RWMutex
	initial  T
	current  T
	onChange func(T)
}

// NewFaults returns settings with the given initial state. onChange, if not
// nil, is called after each change.
func NewFaults[T any](initial T, onChange func(T)) *Faults[T] {
	return &Faults[T]{initial: initial, current: initial, onChange: onChange}
}

func (f *Faults[T]) Get() T {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.current
}

// Set replaces the state and calls onChange.
func (f *Faults[T]) Set(state T) {
	f.mu.Lock()
	f.current = state
	f.mu.Unlock()
	if f.onChange != nil {
		f.onChange(state)
	}
}

// Register adds the handlers of /fault: GET returns the state, POST changes the
// fields present in the body, DELETE restores the initial state.
func (f *Faults[T]) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /fault", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, f.Get())
	})
	mux.HandleFunc("POST /fault", func(w http.ResponseWriter, r *http.Request) {
		state := f.Get()
		if !ReadJSON(w, r, &state) {
			return
		}
		f.Set(state)
		WriteJSON(w, http.StatusOK, state)
	})
	mux.HandleFunc("DELETE /fault", func(w http.ResponseWriter, _ *http.Request) {
		f.Set(f.initial)
		WriteJSON(w, http.StatusOK, f.initial)
	})
}

// Random is a seeded random source that is safe for concurrent use.
type Random struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func NewRandom(seed uint64) *Random {
	return &Random{rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))}
}

// Chance returns true with probability p.
func (r *Random) Chance(p float64) bool {
	if p <= 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64() < p
}

// Sleep waits for d or until ctx ends, and reports whether d passed in full.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
