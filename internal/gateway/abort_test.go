package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"ragwortstep/internal/dispatch"
)

// cutStream responds with the first n bytes of a stream that then breaks off.
func cutStream(stream string, n int) func(context.Context, *dispatch.Request) (*dispatch.Response, error) {
	return func(context.Context, *dispatch.Request) (*dispatch.Response, error) {
		return &dispatch.Response{
			Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}},
			Body: io.NopCloser(io.MultiReader(strings.NewReader(stream[:n]), errReader{io.ErrUnexpectedEOF})),
		}, nil
	}
}

// Guards against writing an error into the middle of an event that was cut, which
// callers would then read as one event of the server.
func TestErrorEventFollowsWholeEvents(t *testing.T) {
	for _, stream := range []string{"data: {\"a\":1}\n\ndata: {\"a\":2}\n\ndata: [DO", "data: {\"a\":1}\r\n\r\ndata: {\"a\":2}\r\n\r\ndata: [DO"} {
		for n := range len(stream) + 1 {
			is := is.New(t)
			g, _, _ := newTestGateway(cutStream(stream, n))
			srv := httptest.NewServer(g)
			_, raw, err := post(t, srv.URL, "/v1/completions", testKey, `{"model":"lm","prompt":"x","stream":true}`)
			srv.Close()
			is.True(err != nil) // aborted
			added, ok := strings.CutPrefix(raw, stream[:n])
			is.True(ok)
			whole := n == 0 || strings.HasSuffix(stream[:n], "}\n\n") || strings.HasSuffix(stream[:n], "}\r\n\r\n")
			if (added != "") != whole {
				t.Errorf("after %q: added %q", stream[:n], added)
			}
		}
	}
}
