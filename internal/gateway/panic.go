package gateway

import (
	"net/http"

	"ragwortstep/internal/dispatch"
	"ragwortstep/internal/panics"
)

// startedWriter is a response that notes whether its header was written.
type startedWriter struct {
	http.ResponseWriter
	started bool
}

// WriteHeader implements http.ResponseWriter.
func (w *startedWriter) WriteHeader(status int) {
	w.started = w.started || status >= http.StatusOK
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *startedWriter) Write(p []byte) (int, error) {
	w.started = true
	return w.ResponseWriter.Write(p)
}

// Unwrap gives http.ResponseController access to the response.
func (w *startedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// recovering answers a request whose handler panics with a status that does not say
// whether it ran, or aborts the response that has begun.
func (g *Gateway) recovering(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out := &startedWriter{ResponseWriter: w}
		defer func() {
			value := recover()
			switch value {
			case nil:
				return
			case http.ErrAbortHandler:
				panic(value)
			}
			panicked := panics.New(value)
			counters.Add("handler_panics", 1)
			g.opts.Logger.Error("handler panicked", "step", "serve request", "request", r.Header.Get(headerRequestID), "path", r.URL.Path,
				"error", panicked, "stack", panicked.Stack)
			if out.started {
				panic(http.ErrAbortHandler)
			}
			e := &apiError{Status: http.StatusInternalServerError, Code: "internal_error", Message: "the host failed", Executed: dispatch.ExecutedUnknown}
			id := w.Header().Get(headerRequestID)
			clear(w.Header())
			w.Header().Set(headerRequestID, id)
			e.write(w)
		}()
		next.ServeHTTP(out, r)
	})
}
