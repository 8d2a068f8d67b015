package metrics

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWriteFormat guards against changes of the text format that scrapers read.
func TestWriteFormat(t *testing.T) {
	is := is.New(t)
	r := New()
	r.Served("r1", 200, 20*time.Millisecond, 400*time.Millisecond)
	r.Served("r1", 200, 40*time.Millisecond, 500*time.Millisecond)
	r.Refused("r1", "quota_exceeded")
	r.Gauge("config_age_seconds", func() float64 { return 1.5 })
	var b bytes.Buffer
	is.NoErr(r.Write(&b))
	for _, line := range []string{
		`requests_served_total{route="r1",status="200"} 2`,
		`requests_refused_total{route="r1",code="quota_exceeded"} 1`,
		`request_first_ms{route="r1",quantile="50"} 20`,
		`request_ms_count{route="r1"} 2`,
		`config_age_seconds 1.5`,
	} {
		if !strings.Contains(b.String(), line+"\n") {
			t.Errorf("missing line %s in\n%s", line, b.String())
		}
	}
}

// TestSeriesAreBounded guards against memory that grows with label values from
// outside.
func TestSeriesAreBounded(t *testing.T) {
	is := is.New(t)
	r := New()
	for i := range 2 * maxSeries {
		r.Refused(strings.Repeat("x", 1+i%7)+time.Duration(i).String(), "c")
		r.Observe("request_ms", time.Second, "route", time.Duration(i).String())
	}
	is.True(len(r.counters) <= maxSeries+1)
	is.True(len(r.histograms) <= maxSeries)
}
