package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/dispatch"
)

// stalledBody is a body of zeros that stops short of its end until it is closed.
type stalledBody struct {
	left   int
	closed chan struct{}
	once   sync.Once
}

func (b *stalledBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		<-b.closed
		return 0, io.ErrUnexpectedEOF
	}
	n := min(len(p), b.left)
	clear(p[:n])
	b.left -= n
	return n, nil
}

func (b *stalledBody) Close() error {
	b.once.Do(func() { close(b.closed) })
	return nil
}

// Guards against holding the begins of many responses in memory, each of which stays below
// its bound: together they took the memory of the host. Whole responses are still sent.
func TestManyEndlessResponsesTakeBoundedMemory(t *testing.T) {
	const calls, maxMemory = 64, 160 << 20 // several times what responses may take, for buffers and garbage
	is := is.New(t)
	g, _, _ := newTestGateway(func(ctx context.Context, req *dispatch.Request) (*dispatch.Response, error) {
		body := &stalledBody{left: maxBufferedBytes - 256<<10, closed: make(chan struct{})}
		context.AfterFunc(ctx, func() { _ = body.Close() })
		if strings.Contains(string(req.Body), "small") {
			return respondWith(200, "application/json", `{"a":1}`)(ctx, req)
		}
		return &dispatch.Response{Status: http.StatusOK, Header: http.Header{"Content-Type": {"application/json"}}, Body: body}, nil
	})
	var before, during runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for range calls {
		group.Go(func() {
			defer func() { _ = recover() }() // an aborted response
			g.ServeHTTP(&discardingWriter{header: http.Header{}}, completion(ctx, `{"model":"lm","prompt":"x"}`))
		})
	}
	time.Sleep(time.Second)
	runtime.GC()
	runtime.ReadMemStats(&during)
	is.True(int64(during.HeapAlloc)-int64(before.HeapAlloc) < maxMemory/2)
	is.True(int64(during.HeapSys)-int64(before.HeapSys) < maxMemory)
	got := httptest.NewRecorder()
	g.ServeHTTP(got, completion(t.Context(), `{"model":"lm","prompt":"small"}`))
	is.Equal(got.Code, http.StatusOK)
	is.Equal(got.Body.String(), `{"a":1}`)
	cancel()
	group.Wait()
}

// discardingWriter keeps nothing of a response.
type discardingWriter struct{ header http.Header }

func (w *discardingWriter) Header() http.Header       { return w.header }
func (*discardingWriter) Write(p []byte) (int, error) { return len(p), nil }
func (*discardingWriter) WriteHeader(int)             {}
func (*discardingWriter) Flush()                      {}

func completion(ctx context.Context, body string) *http.Request {
	req := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/completions", strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+testKey)
	return req
}
