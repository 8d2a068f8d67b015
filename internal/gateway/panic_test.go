package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"ragwortstep/internal/dispatch"
)

// panickingBody is a response body that panics after some bytes.
type panickingBody struct {
	io.Reader
	closed *atomic.Int64
}

// Read implements io.Reader.
func (b panickingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		panic("a fault in a body")
	}
	return n, err
}

// Close implements io.Closer.
func (b panickingBody) Close() error {
	b.closed.Add(1)
	return nil
}

// A request whose handler panicked got no answer, and its response kept a slot.
func TestPanicOfHandlerIsAnswered(t *testing.T) {
	is := is.New(t)
	var closed atomic.Int64
	contentType := ""
	g, _, _ := newTestGateway(func(context.Context, *dispatch.Request) (*dispatch.Response, error) {
		if contentType == "" {
			panic("a fault")
		}
		return &dispatch.Response{
			Status: http.StatusOK, Header: http.Header{"Content-Type": {contentType}},
			Body: panickingBody{strings.NewReader("data: 1\n\n"), &closed},
		}, nil
	})
	srv := httptest.NewServer(g)
	defer srv.Close()
	for i, kind := range []string{"", "text/plain", "text/event-stream"} {
		contentType = kind
		resp, _, err := post(t, srv.URL, "/v1/completions", testKey, `{"model":"lm","prompt":"x","stream":true}`)
		is.Equal(closed.Load(), int64(i))
		if contentType == "text/event-stream" {
			is.True(err != nil) // must not look complete
			continue
		}
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusInternalServerError)
		is.Equal(resp.Header.Get(headerExecuted), string(dispatch.ExecutedUnknown))
		is.True(resp.Header.Get(headerRequestID) != "")
	}
}
