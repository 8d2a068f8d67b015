// Package metrics keeps the counters, gauges and latency histograms of a host and
// serves them as text, one line "name{labels} value" each. Latencies are HDR
// histograms, shown as quantiles in milliseconds.
package metrics

import (
	"expvar"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Histograms hold 1 ms to 10 min at two significant digits, about 12 KB each.
	lowestMs          = 1
	highestMs         = 600_000
	significantDigits = 2
	maxSeries         = 4096 // bounds memory, because label values come from outside
	shownQuantiles    = "50 90 99 99.9"
)

// Registry holds counters, gauges and histograms. It is safe for concurrent use.
type Registry struct {
	mu         sync.Mutex
	counters   map[string]int64
	histograms map[string]*hdrhistogram.Histogram
	gauges     map[string]func() float64
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{counters: map[string]int64{}, histograms: map[string]*hdrhistogram.Histogram{}, gauges: map[string]func() float64{}}
}

// Gauge registers a value that is read when the metrics are served.
func (r *Registry) Gauge(name string, fn func() float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gauges[name] = fn
}

// Add adds n to a counter. labels are pairs of name and value. New series beyond
// maxSeries are counted together as dropped.
func (r *Registry) Add(name string, n int64, labels ...string) {
	key := series(name, labels)
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.counters[key]; !ok && len(r.counters) >= maxSeries {
		key = "metrics_series_dropped_total"
	}
	r.counters[key] += n
}

// Observe adds a duration to a histogram. New histograms beyond a limit are
// ignored.
func (r *Registry) Observe(name string, d time.Duration, labels ...string) {
	key := series(name, labels)
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.histograms[key]
	if !ok {
		if len(r.histograms) >= maxSeries/16 {
			return
		}
		h = hdrhistogram.New(lowestMs, highestMs, significantDigits)
		r.histograms[key] = h
	}
	_ = h.RecordValue(min(max(d.Milliseconds(), lowestMs), highestMs)) // clamped to the range
}

// Served counts a forwarded response and records its latency: first until the
// first byte, took in total.
func (r *Registry) Served(route string, status int, first, took time.Duration) {
	r.Add("requests_served_total", 1, "route", route, "status", fmt.Sprint(status))
	r.Observe("request_first_ms", first, "route", route)
	r.Observe("request_ms", took, "route", route)
}

// Refused counts requests that this host refused itself, by code.
func (r *Registry) Refused(route, code string) {
	r.Add("requests_refused_total", 1, "route", route, "code", code)
}

// Retried counts retries of requests.
func (r *Registry) Retried(route string) { r.Add("requests_retried_total", 1, "route", route) }

// ResponseAborted counts responses that were aborted before their end.
func (r *Registry) ResponseAborted(route string) {
	r.Add("answers_broken_off_total", 1, "route", route)
}

// CallerDisconnected counts callers that disconnected.
func (r *Registry) CallerDisconnected(route string) { r.Add("callers_left_total", 1, "route", route) }

// ServerFailed counts failures of the backend servers of a service.
func (r *Registry) ServerFailed(service string) {
	r.Add("server_failures_total", 1, "service", service)
}

func series(name string, labels []string) string {
	if len(labels) == 0 {
		return name
	}
	var b strings.Builder
	b.WriteString(name)
	for i := 0; i+1 < len(labels); i += 2 {
		sep := ","
		if i == 0 {
			sep = "{"
		}
		fmt.Fprintf(&b, "%s%s=%q", sep, labels[i], labels[i+1])
	}
	b.WriteString("}")
	return b.String()
}

// ServeHTTP serves all metrics, the process's expvar maps included.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_ = r.Write(w) // the client may have disconnected
}

// Write writes all metrics, sorted by name.
func (r *Registry) Write(w io.Writer) error {
	lines := r.lines()
	expvar.Do(func(kv expvar.KeyValue) {
		if m, ok := kv.Value.(*expvar.Map); ok {
			m.Do(func(item expvar.KeyValue) {
				lines = append(lines, fmt.Sprintf("%s_%s %s", kv.Key, strings.ReplaceAll(item.Key, " ", "_"), item.Value))
			})
		}
	})
	slices.Sort(lines)
	_, err := io.WriteString(w, strings.Join(lines, "\n")+"\n")
	return err
}

func (r *Registry) lines() []string {
	r.mu.Lock()
	gauges := make(map[string]func() float64, len(r.gauges))
	for name, fn := range r.gauges {
		gauges[name] = fn
	}
	var lines []string
	for key, n := range r.counters {
		lines = append(lines, fmt.Sprintf("%s %d", key, n))
	}
	for key, h := range r.histograms {
		lines = append(lines, quantiles(key, h)...)
	}
	r.mu.Unlock()
	for name, fn := range gauges { // not under the lock, because gauges take locks of their own
		lines = append(lines, fmt.Sprintf("%s %g", name, fn()))
	}
	return lines
}

func quantiles(key string, h *hdrhistogram.Histogram) []string {
	name, labels, _ := strings.Cut(key, "{")
	if labels != "" {
		labels = strings.TrimSuffix(labels, "}") + ","
	}
	var out []string
	for part := range strings.FieldsSeq(shownQuantiles) {
		var p float64
		_, _ = fmt.Sscan(part, &p) // a constant of this package
		out = append(out, fmt.Sprintf("%s{%squantile=%q} %d", name, labels, part, h.ValueAtQuantile(p)))
	}
	return append(out, fmt.Sprintf("%s_count{%s} %d", name, strings.TrimSuffix(labels, ","), h.TotalCount()))
}
