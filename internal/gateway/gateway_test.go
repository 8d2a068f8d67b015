package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/config"
	"ragwortstep/internal/dedupe"
	"ragwortstep/internal/dispatch"
	"ragwortstep/internal/fleet"
	"ragwortstep/internal/limiter"
	"ragwortstep/internal/peer"
	"ragwortstep/internal/settings"
)

const testKey = "rs_0123456789abcdef0123456789abcdef"

// fakeFleet is a fleet of one host with a settable configuration.
type fakeFleet struct {
	mu       sync.Mutex
	snapshot *config.Snapshot
	onConfig []func(*config.Snapshot)
	admitErr error
}

func (f *fakeFleet) View() fleet.View { return fleet.View{Self: "h1", Settled: true} }
func (f *fakeFleet) Config() *config.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot
}
func (f *fakeFleet) MayAdmit(time.Time) error                             { return f.admitErr }
func (f *fakeFleet) OnConfig(fn func(*config.Snapshot))                   { f.onConfig = append(f.onConfig, fn) }
func (f *fakeFleet) OnView(func(fleet.View))                              {}
func (f *fakeFleet) Publish(string, any)                                  {}
func (f *fakeFleet) Subscribe(string, func(peer.HostID, json.RawMessage)) {}
func (f *fakeFleet) HeartbeatNow()                                        {}
func (f *fakeFleet) set(s *config.Snapshot) {
	f.mu.Lock()
	f.snapshot = s
	f.mu.Unlock()
	for _, fn := range f.onConfig {
		fn(s)
	}
}

type fakeLimiter struct{ err error }

func (l fakeLimiter) Acquire(context.Context, string, float64, limiter.Class) error { return l.err }

// fakeDispatcher records the requests and responds with the result of respond.
type fakeDispatcher struct {
	mu      sync.Mutex
	seen    []*dispatch.Request
	respond func(ctx context.Context, req *dispatch.Request) (*dispatch.Response, error)
}

func (d *fakeDispatcher) Do(ctx context.Context, req *dispatch.Request) (*dispatch.Response, error) {
	d.mu.Lock()
	d.seen = append(d.seen, req)
	d.mu.Unlock()
	return d.respond(ctx, req)
}

func testSnapshot() *config.Snapshot {
	s := config.EmptySnapshot()
	s.Revision = 1
	s.Workspaces["ws"] = config.Workspace{Name: "ws", Weight: 1, Rate: 10, Burst: 10}
	s.Keys["k1"] = config.Key{ID: "k1", Workspace: "ws", Hash: config.HashKey(testKey)}
	s.Routes["lm"] = config.Route{Name: "lm", Kind: config.RouteModel, Model: "lm", Pool: "lm", Idempotent: true}
	s.Routes["svc"] = config.Route{Name: "svc", Kind: config.RouteService, Prefix: "/svc/", Pool: "svc"}
	s.Routes["open"] = config.Route{Name: "open", Kind: config.RouteService, Prefix: "/open/", Pool: "svc", Open: true}
	return s
}

func newTestGateway(respond func(context.Context, *dispatch.Request) (*dispatch.Response, error)) (*Gateway, *fakeFleet, *fakeDispatcher) {
	f := &fakeFleet{snapshot: testSnapshot()}
	d := &fakeDispatcher{respond: respond}
	g := New(Options{
		Fleet: f, Limiter: fakeLimiter{}, Dispatcher: d, IdempotencyStore: newFakeIdempotencyStore(),
		Jobs:          http.NotFoundHandler(),
		WithWorkspace: func(ctx context.Context, _ string) context.Context { return ctx },
		Settings:      settings.Gateway{MaxBody: 4096, Timeout: 5 * time.Second},
	})
	return g, f, d
}

func respondWith(status int, contentType, body string) func(context.Context, *dispatch.Request) (*dispatch.Response, error) {
	return func(context.Context, *dispatch.Request) (*dispatch.Response, error) {
		return &dispatch.Response{
			Status: status, Header: http.Header{"Content-Type": {contentType}},
			Body: io.NopCloser(strings.NewReader(body)),
		}, nil
	}
}

func post(t *testing.T, base, path, key, body string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, base+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return resp, string(raw), err
}

// Guards against error responses with the wrong status or code, or without the
// header that states that the request was not executed.
func TestRefusals(t *testing.T) {
	g, _, d := newTestGateway(respondWith(200, "application/json", `{}`))
	srv := httptest.NewServer(g)
	defer srv.Close()
	good := `{"model":"lm","prompt":"x"}`
	for _, c := range []struct {
		name, path, key, body string
		status                int
		code                  string
	}{
		{"no key", "/v1/completions", "", good, 401, "missing_key"},
		{"wrong key", "/v1/completions", "rs_wrong", good, 401, "invalid_key"},
		{"unknown model", "/v1/completions", testKey, `{"model":"zz","prompt":"x"}`, 404, "model_not_found"},
		{"malformed", "/v1/completions", testKey, "{\n \"model\": }", 400, "malformed_json"},
		{"wrong type", "/v1/completions", testKey, `{"model":7}`, 400, "invalid_field"},
		{"no prompt", "/v1/completions", testKey, `{"model":"lm"}`, 400, "missing_field"},
		{"max_tokens", "/v1/completions", testKey, `{"model":"lm","prompt":"x","max_tokens":0}`, 400, "invalid_field"},
		{"too large", "/v1/completions", testKey, strings.Repeat("x", 5000), 413, "body_too_large"},
		{"key in body", "/v1/completions", testKey, `{"model":"lm","prompt":"` + testKey + `"}`, 400, "key_in_body"},
		{"no route", "/nothing", testKey, "", 404, "not_found"},
		{"service without key", "/svc/a", "", "", 401, "missing_key"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			resp, raw, err := post(t, srv.URL, c.path, c.key, c.body)
			is.NoErr(err)
			is.Equal(resp.StatusCode, c.status)
			var body errorBody
			is.NoErr(json.Unmarshal([]byte(raw), &body))
			is.Equal(body.Error.Code, c.code)
			is.Equal(resp.Header.Get(headerExecuted), "no")
		})
	}
	is.New(t).Equal(len(d.seen), 0) // no rejected request reached the dispatcher
}

// Guards against a wrong line or column in the error for malformed JSON.
func TestMalformedJSONPosition(t *testing.T) {
	is := is.New(t)
	_, apiErr := parseModelRequest([]byte("{\n \"model\": }"))
	is.True(apiErr != nil)
	is.True(strings.Contains(apiErr.Message, "line 2, column 11"))
}

// Guards against forwarding a key to a backend server when the caller sends it in
// an unusual header, in a cookie, or percent-encoded in the query.
func TestNoKeyIsForwarded(t *testing.T) {
	is := is.New(t)
	g, _, d := newTestGateway(respondWith(200, "text/plain", "ok"))
	rng := rand.New(rand.NewPCG(1, 2))
	names := []string{"Authorization", "authorization", "X-API-KEY", "Proxy-Authorization", "Cookie", "X-Custom", "Referer", "X-Forwarded-Authorization"}
	for range 2000 {
		r := httptest.NewRequest(http.MethodPost, "/svc/a?x=1&api_key="+testKey+"&b=%72s_0123456789abcdef0123456789abcdef", http.NoBody)
		r.Header.Set("X-Api-Key", testKey)
		for range 1 + rng.IntN(4) {
			name := names[rng.IntN(len(names))]
			value := testKey
			if name == "Cookie" {
				value = "a=b; api_key=" + testKey + "; c=" + testKey
			} else if rng.IntN(2) == 0 {
				value = "Bearer " + testKey
			}
			r.Header[name] = append(r.Header[name], value)
		}
		g.ServeHTTP(httptest.NewRecorder(), r)
	}
	is.True(len(d.seen) > 0)
	for _, req := range d.seen {
		is.True(!strings.Contains(fmt.Sprint(req.Header, req.Path), "0123456789abcdef"))
		is.True(strings.Contains(req.Path, "x=1"))
	}
}

// Guards against relaying a stream that lacks its end marker as complete.
func TestTruncatedStreamIsAborted(t *testing.T) {
	is := is.New(t)
	g, _, _ := newTestGateway(respondWith(200, "text/event-stream", "data: {\"a\":1}\n\n"))
	srv := httptest.NewServer(g)
	defer srv.Close()
	_, raw, err := post(t, srv.URL, "/v1/completions", testKey, `{"model":"lm","prompt":"x","stream":true}`)
	is.True(err != nil) // the chunked body must not end cleanly
	is.True(strings.Contains(raw, "answer_truncated"))

	g, _, _ = newTestGateway(respondWith(200, "text/event-stream", "data: {\"a\":1}\n\ndata: [DONE]\n\n"))
	whole := httptest.NewServer(g)
	defer whole.Close()
	_, raw, err = post(t, whole.URL, "/v1/completions", testKey, `{"model":"lm","prompt":"x","stream":true}`)
	is.NoErr(err)
	is.True(strings.HasSuffix(raw, "data: [DONE]\n\n"))
}

// Guards against relaying a truncated JSON response instead of retrying the
// request once.
func TestTruncatedResponseIsRetriedOnce(t *testing.T) {
	is := is.New(t)
	calls := 0
	g, _, _ := newTestGateway(func(ctx context.Context, req *dispatch.Request) (*dispatch.Response, error) {
		calls++
		resp, err := respondWith(200, "application/json", `{"ok":`)(ctx, req)
		if calls == 1 {
			resp.Body = io.NopCloser(io.MultiReader(resp.Body, errReader{io.ErrUnexpectedEOF}))
		}
		return resp, err
	})
	rec := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(`{"model":"lm","prompt":"x"}`))
	r.Header.Set("Authorization", "Bearer "+testKey)
	g.ServeHTTP(rec, r)
	is.Equal(calls, 2)
	is.Equal(rec.Code, 200)
}

// Guards against telling a caller that a request was not executed when a server had run
// it, its answer was cut off, and no server could take the request once more.
func TestRefusalAfterTruncatedAnswerIsNotCalledUnexecuted(t *testing.T) {
	is := is.New(t)
	calls := 0
	g, _, _ := newTestGateway(func(ctx context.Context, req *dispatch.Request) (*dispatch.Response, error) {
		if calls++; calls > 1 {
			return nil, &dispatch.RefusedError{Status: http.StatusServiceUnavailable, Code: "no_server", Executed: dispatch.ExecutedNo}
		}
		resp, err := respondWith(200, "application/json", `{"ok":`)(ctx, req)
		resp.Body = io.NopCloser(io.MultiReader(resp.Body, errReader{io.ErrUnexpectedEOF}))
		return resp, err
	})
	rec := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(`{"model":"lm","prompt":"x"}`))
	r.Header.Set("Authorization", "Bearer "+testKey)
	g.ServeHTTP(rec, r)
	is.Equal(calls, 2)
	is.Equal(rec.Code, http.StatusServiceUnavailable)
	is.Equal(rec.Header().Get(headerExecuted), "unknown")
}

type errReader struct{ err error }

func (r errReader) Read([]byte) (int, error) { return 0, r.err }

// Guards against relaying the response to another request.
func TestResponseToAnotherRequestIsRejected(t *testing.T) {
	is := is.New(t)
	g, _, _ := newTestGateway(func(ctx context.Context, req *dispatch.Request) (*dispatch.Response, error) {
		resp, err := respondWith(200, "text/plain", "x")(ctx, req)
		resp.Header.Set("X-Request-Id", "another")
		return resp, err
	})
	rec := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/svc/a", http.NoBody)
	r.Header.Set("X-Api-Key", testKey)
	g.ServeHTTP(rec, r)
	is.Equal(rec.Code, http.StatusBadGateway)
	is.Equal(rec.Header().Get(headerExecuted), "unknown")
}

// Guards against rejecting the response of a server that echoes the id of the
// attempt, and against relaying a server's error without the execution header.
func TestEchoedAttemptIDIsAccepted(t *testing.T) {
	is := is.New(t)
	g, _, _ := newTestGateway(func(ctx context.Context, req *dispatch.Request) (*dispatch.Response, error) {
		resp, err := respondWith(500, "text/plain", "x")(ctx, req)
		resp.Header.Set("X-Request-Id", req.ID+"-1")
		return resp, err
	})
	rec := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/svc/a", http.NoBody)
	r.Header.Set("X-Api-Key", testKey)
	r.Header.Set("X-Request-Id", "call-7")
	g.ServeHTTP(rec, r)
	is.Equal(rec.Code, 500)
	is.Equal(rec.Header().Get("X-Request-Id"), "call-7")
	is.Equal(rec.Header().Get(headerExecuted), "unknown")
}

// Guards against a request that keeps running after its key was revoked.
func TestRevokedKeyCancelsRunningRequest(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{})
	g, f, _ := newTestGateway(func(ctx context.Context, _ *dispatch.Request) (*dispatch.Response, error) {
		close(started)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	rec := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(`{"model":"lm","prompt":"x"}`))
		r.Header.Set("Authorization", "Bearer "+testKey)
		g.ServeHTTP(rec, r)
	}()
	<-started
	s := testSnapshot()
	delete(s.Keys, "k1")
	f.set(s)
	<-done
	is.Equal(rec.Code, http.StatusUnauthorized)
	is.True(strings.Contains(rec.Body.String(), "key_revoked"))
}

// Guards against missing an end marker that is split over several reads.
func TestStreamTailFindsSplitMarker(t *testing.T) {
	is := is.New(t)
	stream := []byte("data: {\"x\":\"y\"}\n\ndata: [DONE]\n\n")
	for step := 1; step <= len(stream); step++ {
		tail := &streamTail{}
		for i := 0; i < len(stream); i += step {
			tail.add(stream[i:min(i+step, len(stream))])
		}
		is.True(tail.complete())
	}
}

// FuzzModelRequest guards against panics, against accepting a request without a
// model or cost, and against a status other than 400 for a rejected body.
func FuzzModelRequest(f *testing.F) {
	f.Add([]byte(`{"model":"lm","prompt":"x"}`))
	f.Add([]byte("{\n\"model\":1}"))
	f.Fuzz(func(t *testing.T, body []byte) {
		req, apiErr := parseModelRequest(body)
		if apiErr == nil && (req.Model == "" || req.cost() <= 0) {
			t.Fatalf("accepted %q", body)
		}
		if apiErr != nil && apiErr.Status != http.StatusBadRequest {
			t.Fatalf("status %d for %q", apiErr.Status, body)
		}
	})
}

// FuzzStripQuery guards against a key that remains in a stripped query.
func FuzzStripQuery(f *testing.F) {
	f.Add("a=1&api_key=" + testKey)
	f.Add("%61pi_key=x&b=" + testKey)
	f.Fuzz(func(t *testing.T, query string) {
		if kept := stripQuery(query, testKey); containsPlainKey(kept, testKey) {
			t.Fatalf("kept %q of %q", kept, query)
		}
	})
}

// fakeIdempotencyStore keeps claims in memory.
type fakeIdempotencyStore struct {
	mu     sync.Mutex
	states map[string]dedupe.Claim
}

func newFakeIdempotencyStore() *fakeIdempotencyStore {
	return &fakeIdempotencyStore{states: map[string]dedupe.Claim{}}
}

func (o *fakeIdempotencyStore) Claim(_ context.Context, workspace, key string) (dedupe.Claim, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if c, ok := o.states[workspace+key]; ok {
		return c, nil
	}
	o.states[workspace+key] = dedupe.Claim{State: dedupe.Unknown}
	return dedupe.Claim{State: dedupe.Fresh}, nil
}

func (o *fakeIdempotencyStore) Complete(context.Context, dedupe.Claim, dedupe.StoredResponse) error {
	return nil
}

func (o *fakeIdempotencyStore) Abandon(context.Context, dedupe.Claim) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.states)
	return nil
}

// Guards against running a request again whose first run has an unknown outcome,
// and against blocking the idempotency key of a request that was never sent.
func TestIdempotencyKey(t *testing.T) {
	is := is.New(t)
	executed := dispatch.ExecutedNo
	g, _, d := newTestGateway(func(context.Context, *dispatch.Request) (*dispatch.Response, error) {
		return nil, &dispatch.RefusedError{Status: 503, Code: "no_server", Executed: executed}
	})
	send := func() *httptest.ResponseRecorder {
		rec := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "/svc/a", http.NoBody)
		r.Header.Set("X-Api-Key", testKey)
		r.Header.Set("Idempotency-Key", "once")
		g.ServeHTTP(rec, r)
		return rec
	}
	is.Equal(send().Code, 503)
	executed = dispatch.ExecutedUnknown
	is.Equal(send().Code, 503) // the first request was not sent, so the key is free again
	is.Equal(send().Code, 409)
	is.Equal(len(d.seen), 2)
}
