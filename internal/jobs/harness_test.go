package jobs

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"mime/multipart"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/batch"
	"ragwortstep/internal/core/config"
	"ragwortstep/internal/dispatch"
	"ragwortstep/internal/fleet"
	"ragwortstep/internal/limiter"
	"ragwortstep/internal/peer"
	"ragwortstep/internal/store"
	"ragwortstep/internal/store/storetest"
)

const (
	chatPath    = "/v1/chat/completions"
	payPath     = "/pay/send"
	testTenant  = "quotes"
	testTimeout = 60 * time.Second
)

var errPreempted = errors.New("preempted")

// cluster is several hosts over one store, with a ledger of all item runs.
type cluster struct {
	t     *testing.T
	store *storetest.Fake
	audit *audit
	ctx   context.Context

	mu         sync.Mutex
	nodes      map[peer.HostID]*node
	runs       map[string]int         // runs by custom id
	unanswered map[string][]int       // bounds of unanswered sends by custom id
	serve      func(id string) answer // behaviour of the backend servers
	starts     []time.Time
	rate       func(workspace string) error // answer of the limiter
	peers      bool                         // deliver peer calls
	beats      bool                         // deliver heartbeat sections
}

type answer struct {
	status int
	err    error
	delay  time.Duration
}

// node is one host. Its store and dispatcher can be paused and cut off.
type node struct {
	*Service
	c        *cluster
	id       peer.HostID
	inc      string
	handlers map[string]peer.HandlerFunc
	mu       sync.Mutex
	receive  func(peer.HostID, json.RawMessage)
	paused   chan struct{} // closed on resume; nil when running
	lapsed   bool
	beforeOp func(op, key string) // called before and after each store call
}

func newCluster(t *testing.T) *cluster {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	c := &cluster{t: t, store: storetest.New(), ctx: ctx, nodes: map[peer.HostID]*node{}, runs: map[string]int{}, unanswered: map[string][]int{}, peers: true, beats: true}
	c.audit = &audit{Store: c.store, chunks: map[string]batch.Chunk{}}
	c.serve = func(string) answer { return answer{status: 200} }
	t.Cleanup(func() {
		for _, n := range c.nodes {
			n.kill()
		}
		for _, fault := range c.audit.faults {
			t.Error(fault)
		}
	})
	return c
}

// start adds a host, or a new incarnation of a stopped one.
func (c *cluster) start(id peer.HostID, change func(*Options)) *node {
	n := &node{c: c, id: id, inc: fmt.Sprint(rand.Uint64()), handlers: map[string]peer.HandlerFunc{}}
	o := Options{
		Host: id, Incarnation: n.inc, Store: (*nodeStore)(n), Fleet: n, Peers: n, Dispatcher: n,
		IsPreempted: func(err error) bool { return errors.Is(err, errPreempted) },
		Limiter:     limit(c.tokens),
		Workers:     32, Discovery: 100 * time.Millisecond, WatchInterval: 50 * time.Millisecond,
		CommitInterval: 60 * time.Millisecond, FinishInterval: 200 * time.Millisecond, RepairInterval: 100 * time.Millisecond,
		RetryDelay: 10 * time.Millisecond, SealGrace: 200 * time.Millisecond, CommitRate: 200,
	}
	if change != nil {
		change(&o)
	}
	n.Service = New(o)
	c.mu.Lock()
	c.nodes[id] = n
	c.mu.Unlock()
	if err := n.Start(c.ctx); err != nil {
		c.t.Fatal(err)
	}
	return n
}

// kill stops the host at once: nothing it has not written is written.
func (n *node) kill() {
	n.stop()
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	if n.c.nodes[n.id] == n {
		delete(n.c.nodes, n.id)
	}
}

// limit is a limiter made of a function.
type limit func(workspace string) error

func (l limit) Acquire(_ context.Context, workspace string, _ float64, _ limiter.Class) error {
	return l(workspace)
}

func (c *cluster) tokens(workspace string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rate == nil {
		return nil
	}
	return c.rate(workspace)
}

// pause stops the host's calls to the platform and the servers. Its lease
// lapses, as it does on a process that is paused for longer than the lease.
func (n *node) pause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paused = make(chan struct{})
	n.lapsed = true
}

// resume continues the host; its lease is renewed a little later.
func (n *node) resume() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.paused)
	n.paused = nil
	time.AfterFunc(20*time.Millisecond, func() { n.setLapsed(false) })
}

func (n *node) waitPaused() {
	n.mu.Lock()
	paused := n.paused
	n.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

func (n *node) View() fleet.View {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	v := fleet.View{Self: n.id, Alive: map[peer.HostID]bool{}}
	for _, m := range n.c.nodes {
		v.Members = append(v.Members, fleet.Member{Host: m.id, Incarnation: m.inc, Size: 1})
		m.mu.Lock()
		v.Alive[m.id] = m.paused == nil
		m.mu.Unlock()
	}
	return v
}

func (n *node) Config() *config.Snapshot {
	cfg := config.Empty()
	cfg.Revision = 1
	cfg.Routes["chat"] = config.Route{Name: "chat", Kind: config.RouteModel, Model: "m", Pool: "lm", Idempotent: true}
	cfg.Routes["pay"] = config.Route{Name: "pay", Kind: config.RouteService, Prefix: "/pay/", Pool: "pay"}
	return cfg
}

func (n *node) MayAdmit(time.Time) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lapsed {
		return errors.New("lease lapsed")
	}
	return nil
}

func (n *node) Nudge() {}

// Subscribe keeps the receiver; Publish reaches all hosts at once.
func (n *node) Subscribe(_ string, fn func(peer.HostID, json.RawMessage)) { n.receive = fn }

func (n *node) Publish(_ string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		n.c.t.Error(err)
	}
	n.c.mu.Lock()
	var targets []*node
	for _, m := range n.c.nodes {
		if m != n && n.c.beats {
			targets = append(targets, m)
		}
	}
	n.c.mu.Unlock()
	for _, m := range targets {
		m.receive(n.id, raw)
	}
}

func (n *node) Handle(method string, fn peer.HandlerFunc) { n.handlers[method] = fn }
func (n *node) Call(ctx context.Context, to peer.HostID, method string, params, _ any) error {
	n.c.mu.Lock()
	target, ok := n.c.nodes[to]
	ok = ok && n.c.peers
	n.c.mu.Unlock()
	if !ok {
		return peer.ErrPeerUnreachable
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	_, err = target.handlers[method](ctx, n.id, raw)
	return err
}

// Do is the dispatcher: like the real one it starts no batch item without the
// lease, records the run in the ledger and answers as told.
func (n *node) Do(ctx context.Context, req *dispatch.Request) (*dispatch.Response, error) {
	n.waitPaused()
	if err := n.MayAdmit(time.Now()); err != nil {
		return nil, &dispatch.RefusedError{Status: 503, Code: "lease_lapsed", Executed: dispatch.ExecutedNo}
	}
	var body struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal(req.Body, &body); err != nil {
		return nil, err
	}
	n.c.mu.Lock()
	a := n.c.serve(body.ID)
	n.c.unanswered[body.ID] = append(n.c.unanswered[body.ID], req.MaxUnanswered)
	var refused *dispatch.RefusedError
	if !errors.As(a.err, &refused) || refused.Executed != dispatch.ExecutedNo {
		n.c.runs[body.ID]++
		n.c.starts = append(n.c.starts, time.Now())
	}
	n.c.mu.Unlock()
	if a.delay > 0 && !sleep(ctx, a.delay) {
		return nil, ctx.Err()
	}
	n.waitPaused()
	if a.err != nil {
		return nil, a.err
	}
	text := fmt.Sprintf(`{"echo":%q}`, body.ID)
	return &dispatch.Response{Status: a.status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(text))}, nil
}

// nodeStore is the host's way to the platform.
type nodeStore node

func (s *nodeStore) at(op, key string) error {
	n := (*node)(s)
	n.waitPaused()
	n.mu.Lock()
	hook := n.beforeOp
	n.mu.Unlock()
	if hook != nil {
		hook(op, key)
	}
	if n.Service != nil && n.ctx.Err() != nil {
		return store.ErrUnavailable // a killed process sends nothing
	}
	return nil
}

func (s *nodeStore) Get(ctx context.Context, key string) (store.Object, error) {
	if err := s.at("get", key); err != nil {
		return store.Object{}, err
	}
	return s.c.audit.Get(ctx, key)
}

func (s *nodeStore) GetStale(ctx context.Context, key string) (store.Object, error) {
	return s.Get(ctx, key)
}

func (s *nodeStore) List(ctx context.Context, prefix, after string, limit int) (store.Page, error) {
	if err := s.at("list", prefix); err != nil {
		return store.Page{}, err
	}
	return s.c.audit.List(ctx, prefix, after, limit)
}

func (s *nodeStore) Put(ctx context.Context, key string, value []byte, v int64) (store.Object, error) {
	if err := s.at("put", key); err != nil {
		return store.Object{}, err
	}
	obj, err := s.c.audit.Put(ctx, key, value, v)
	if s.at("stored", key) != nil {
		return store.Object{}, store.ErrUnknownOutcome
	}
	return obj, err
}

func (s *nodeStore) Delete(ctx context.Context, key string, v int64) error {
	if err := s.at("delete", key); err != nil {
		return err
	}
	return s.c.audit.Delete(ctx, key, v)
}

func (s *nodeStore) Watch(ctx context.Context, prefix string, from int64, wait time.Duration) (store.WatchResult, error) {
	return s.c.audit.Watch(ctx, prefix, from, wait)
}

func (s *nodeStore) Hosts(ctx context.Context) ([]store.HostEntry, error) {
	return s.c.audit.Hosts(ctx)
}

// audit checks every accepted update of a chunk against its predecessor.
type audit struct {
	store.Store
	mu     sync.Mutex
	chunks map[string]batch.Chunk
	faults []string
}

func (a *audit) Put(ctx context.Context, key string, value []byte, v int64) (store.Object, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	obj, err := a.Store.Put(ctx, key, value, v)
	if err != nil && !errors.Is(err, store.ErrUnknownOutcome) || !strings.Contains(key, "/chunk/") {
		return obj, err
	}
	next, decodeErr := decodeChunk(store.Object{Key: key, Value: value})
	prev, known := a.chunks[key]
	if decodeErr != nil {
		a.faults = append(a.faults, decodeErr.Error())
	}
	if known {
		if fault := batch.CheckSuccessor(prev, next); fault != nil {
			a.faults = append(a.faults, fmt.Sprintf("%s: accepted update: %v", key, fault))
		}
	}
	a.chunks[key] = next
	return obj, err
}

// call sends a request of the workspace to the host.
func (n *node) call(workspace, method, path string, header http.Header, body io.Reader) *httptest.ResponseRecorder {
	req := httptest.NewRequestWithContext(WithWorkspace(n.c.ctx, workspace), method, path, body)
	maps.Copy(req.Header, header)
	rec := httptest.NewRecorder()
	n.Handler().ServeHTTP(rec, req)
	return rec
}

func form(purpose, content string) (io.Reader, http.Header) {
	var buf bytes.Buffer
	w := multipart.NewWriter(&buf)
	_ = w.WriteField("purpose", purpose)
	part, _ := w.CreateFormFile("file", "in.jsonl")
	_, _ = io.WriteString(part, content)
	_ = w.Close()
	return &buf, http.Header{"Content-Type": {w.FormDataContentType()}}
}

func decode[T any](t *testing.T, rec *httptest.ResponseRecorder) T {
	t.Helper()
	var v T
	if rec.Code != http.StatusOK {
		t.Fatalf("status %d: %s", rec.Code, rec.Body.String())
	}
	if err := json.Unmarshal(rec.Body.Bytes(), &v); err != nil {
		t.Fatal(err)
	}
	return v
}

func jsonl(items int, path string) string {
	var b strings.Builder
	for i := range items {
		fmt.Fprintf(&b, `{"custom_id":"i%d","method":"POST","url":%q,"body":{"model":"m","id":"i%d"}}`+"\n", i, path, i)
	}
	return b.String()
}

func (n *node) upload(content string) FileObject {
	n.c.t.Helper()
	body, header := form("batch", content)
	return decode[FileObject](n.c.t, n.call(testTenant, "POST", "/v1/files", header, body))
}

func (n *node) createRaw(file, path, key string) *httptest.ResponseRecorder {
	body := fmt.Sprintf(`{"input_file_id":%q,"endpoint":%q,"completion_window":"24h"}`, file, path)
	return n.call(testTenant, "POST", "/v1/batches", http.Header{"Idempotency-Key": {key}}, strings.NewReader(body))
}

// submit uploads a file of that many items and creates a job.
func (n *node) submit(items int, path string) BatchObject {
	n.c.t.Helper()
	return n.submitAs(testTenant, items, path)
}

func (n *node) submitAs(workspace string, items int, path string) BatchObject {
	n.c.t.Helper()
	body, header := form("batch", jsonl(items, path))
	file := decode[FileObject](n.c.t, n.call(workspace, "POST", "/v1/files", header, body))
	create := fmt.Sprintf(`{"input_file_id":%q,"endpoint":%q,"completion_window":"24h"}`, file.ID, path)
	return decode[BatchObject](n.c.t, n.call(workspace, "POST", "/v1/batches", nil, strings.NewReader(create)))
}

func (n *node) job(id string) BatchObject {
	n.c.t.Helper()
	return decode[BatchObject](n.c.t, n.call(testTenant, "GET", "/v1/batches/"+id, nil, nil))
}

// await waits until the job ended, asking the host that pick returns.
func (c *cluster) await(id string, pick func() *node) BatchObject {
	c.t.Helper()
	for c.ctx.Err() == nil {
		rec := pick().call(testTenant, "GET", "/v1/batches/"+id, nil, nil)
		if rec.Code == http.StatusOK {
			if job := decode[BatchObject](c.t, rec); job.Status.Final() {
				return job
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatalf("job %s did not end", id)
	return BatchObject{}
}

// results reads an output or error file into lines by custom id, and fails on
// a second line for an item.
func (n *node) results(fileID *string) map[string]resultLine {
	n.c.t.Helper()
	out := map[string]resultLine{}
	if fileID == nil {
		return out
	}
	rec := n.call(testTenant, "GET", "/v1/files/"+*fileID+"/content", nil, nil)
	if rec.Code != http.StatusOK || rec.Header().Get("Content-Length") != fmt.Sprint(rec.Body.Len()) {
		n.c.t.Fatalf("content: status %d, length %s, got %d", rec.Code, rec.Header().Get("Content-Length"), rec.Body.Len())
	}
	for line := range strings.Lines(rec.Body.String()) {
		var v resultLine
		if err := json.Unmarshal([]byte(line), &v); err != nil {
			n.c.t.Fatal(err)
		}
		if _, twice := out[v.CustomID]; twice {
			n.c.t.Fatalf("item %s has two results", v.CustomID)
		}
		out[v.CustomID] = v
	}
	return out
}

// checkAll asserts one result per item.
func (n *node) checkAll(job BatchObject, items int) (output, failed map[string]resultLine) {
	n.c.t.Helper()
	output, failed = n.results(job.OutputFileID), n.results(job.ErrorFileID)
	if len(output) != job.RequestCounts.Completed || len(failed) != job.RequestCounts.Failed || len(output)+len(failed) != items {
		n.c.t.Fatalf("%d output and %d error lines for %d items, counts %+v", len(output), len(failed), items, job.RequestCounts)
	}
	for i := range items {
		id := fmt.Sprintf("i%d", i)
		_, o := output[id]
		_, e := failed[id]
		if o == e {
			n.c.t.Fatalf("item %s: output %v, error %v", id, o, e)
		}
	}
	return output, failed
}
