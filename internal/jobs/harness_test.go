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

// testCluster is a set of hosts that share one store. It records all item runs.
type testCluster struct {
	t          *testing.T
	store      *storetest.Fake
	auditStore *auditStore
	ctx        context.Context

	mu           sync.Mutex
	nodes        map[peer.HostID]*node
	runs         map[string]int           // runs by custom id
	unanswered   map[string][]int         // MaxUnanswered of each request by custom id
	serve        func(id string) response // behaviour of the backend servers
	starts       []time.Time
	limiterError func(workspace string) error // result of Limiter.Acquire; nil admits all items
	peers        bool                         // deliver peer calls
	heartbeats   bool                         // deliver heartbeat sections
}

type response struct {
	status int
	err    error
	delay  time.Duration
}

// node is one host. Its calls to the platform and the servers can be paused.
type node struct {
	*Service
	c           *testCluster
	id          peer.HostID
	incarnation string
	handlers    map[string]peer.HandlerFunc
	mu          sync.Mutex
	receive     func(peer.HostID, json.RawMessage)
	paused      chan struct{} // closed on resume; nil when running
	lapsed      bool
	storeHook   func(op, key string) // called before and after each store call
}

func newTestCluster(t *testing.T) *testCluster {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	c := &testCluster{t: t, store: storetest.New(), ctx: ctx, nodes: map[peer.HostID]*node{}, runs: map[string]int{}, unanswered: map[string][]int{}, peers: true, heartbeats: true}
	c.auditStore = &auditStore{Store: c.store, chunks: map[string]batch.Chunk{}}
	c.serve = func(string) response { return response{status: 200} }
	t.Cleanup(func() {
		for _, n := range c.nodes {
			n.kill()
		}
		for _, fault := range c.auditStore.violations {
			t.Error(fault)
		}
	})
	return c
}

// start adds a host, or a new incarnation of a stopped one.
func (c *testCluster) start(id peer.HostID, change func(*Options)) *node {
	n := &node{c: c, id: id, incarnation: fmt.Sprint(rand.Uint64()), handlers: map[string]peer.HandlerFunc{}}
	o := Options{
		Host: id, Incarnation: n.incarnation, Store: (*nodeStore)(n), Fleet: n, Peers: n, Dispatcher: n,
		IsPreempted: func(err error) bool { return errors.Is(err, errPreempted) },
		Limiter:     limiterFunc(c.acquireToken),
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

// kill stops the host at once, without any further write to the store.
func (n *node) kill() {
	n.stop()
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	if n.c.nodes[n.id] == n {
		delete(n.c.nodes, n.id)
	}
}

// limiterFunc adapts a function to Limiter.
type limiterFunc func(workspace string) error

func (l limiterFunc) Acquire(_ context.Context, workspace string, _ float64, _ limiter.Class) error {
	return l(workspace)
}

func (c *testCluster) acquireToken(workspace string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limiterError == nil {
		return nil
	}
	return c.limiterError(workspace)
}

// pause blocks the host's calls to the platform and the servers until resume. Its
// lease lapses, as on a process that is paused for longer than the lease.
func (n *node) pause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paused = make(chan struct{})
	n.lapsed = true
}

// resume unblocks the host's calls and renews its lease after a short delay.
func (n *node) resume() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.paused)
	n.paused = nil
	time.AfterFunc(20*time.Millisecond, func() { n.setLapsed(false) })
}

func (n *node) waitWhilePaused() {
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
		v.Members = append(v.Members, fleet.Member{Host: m.id, Incarnation: m.incarnation, Size: 1})
		m.mu.Lock()
		v.Alive[m.id] = m.paused == nil
		m.mu.Unlock()
	}
	return v
}

func (n *node) Config() *config.Snapshot {
	cfg := config.EmptySnapshot()
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

func (n *node) HeartbeatNow() {}

// Subscribe stores the receiver that Publish of other hosts calls synchronously.
func (n *node) Subscribe(_ string, fn func(peer.HostID, json.RawMessage)) { n.receive = fn }

func (n *node) Publish(_ string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		n.c.t.Error(err)
	}
	n.c.mu.Lock()
	var targets []*node
	for _, m := range n.c.nodes {
		if m != n && n.c.heartbeats {
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

// Do implements Dispatcher. Like the real dispatcher it starts no batch item
// without the lease. It records the run and returns the response of c.serve.
func (n *node) Do(ctx context.Context, req *dispatch.Request) (*dispatch.Response, error) {
	n.waitWhilePaused()
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
	n.waitWhilePaused()
	if a.err != nil {
		return nil, a.err
	}
	text := fmt.Sprintf(`{"echo":%q}`, body.ID)
	return &dispatch.Response{Status: a.status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(text))}, nil
}

// nodeStore is the host's client of the platform's store.
type nodeStore node

func (s *nodeStore) intercept(op, key string) error {
	n := (*node)(s)
	n.waitWhilePaused()
	n.mu.Lock()
	hook := n.storeHook
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
	if err := s.intercept("get", key); err != nil {
		return store.Object{}, err
	}
	return s.c.auditStore.Get(ctx, key)
}

func (s *nodeStore) GetStale(ctx context.Context, key string) (store.Object, error) {
	return s.Get(ctx, key)
}

func (s *nodeStore) List(ctx context.Context, prefix, after string, limit int) (store.Page, error) {
	if err := s.intercept("list", prefix); err != nil {
		return store.Page{}, err
	}
	return s.c.auditStore.List(ctx, prefix, after, limit)
}

func (s *nodeStore) Put(ctx context.Context, key string, value []byte, v int64) (store.Object, error) {
	if err := s.intercept("put", key); err != nil {
		return store.Object{}, err
	}
	obj, err := s.c.auditStore.Put(ctx, key, value, v)
	if s.intercept("stored", key) != nil {
		return store.Object{}, store.ErrUnknownOutcome
	}
	return obj, err
}

func (s *nodeStore) Delete(ctx context.Context, key string, v int64) error {
	if err := s.intercept("delete", key); err != nil {
		return err
	}
	return s.c.auditStore.Delete(ctx, key, v)
}

func (s *nodeStore) Watch(ctx context.Context, prefix string, from int64, wait time.Duration) (store.WatchResult, error) {
	return s.c.auditStore.Watch(ctx, prefix, from, wait)
}

func (s *nodeStore) Hosts(ctx context.Context) ([]store.HostEntry, error) {
	return s.c.auditStore.Hosts(ctx)
}

// auditStore checks every accepted update of a chunk against the previous version.
type auditStore struct {
	store.Store
	mu         sync.Mutex
	chunks     map[string]batch.Chunk
	violations []string
}

func (a *auditStore) Put(ctx context.Context, key string, value []byte, v int64) (store.Object, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	obj, err := a.Store.Put(ctx, key, value, v)
	if err != nil && !errors.Is(err, store.ErrUnknownOutcome) || !strings.Contains(key, "/chunk/") {
		return obj, err
	}
	next, decodeErr := decodeChunk(store.Object{Key: key, Value: value})
	prev, known := a.chunks[key]
	if decodeErr != nil {
		a.violations = append(a.violations, decodeErr.Error())
	}
	if known {
		if fault := batch.CheckSuccessor(prev, next); fault != nil {
			a.violations = append(a.violations, fmt.Sprintf("%s: accepted update: %v", key, fault))
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

func multipartForm(purpose, content string) (io.Reader, http.Header) {
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

func jsonlItems(items int, path string) string {
	var b strings.Builder
	for i := range items {
		fmt.Fprintf(&b, `{"custom_id":"i%d","method":"POST","url":%q,"body":{"model":"m","id":"i%d"}}`+"\n", i, path, i)
	}
	return b.String()
}

func (n *node) upload(content string) FileObject {
	n.c.t.Helper()
	body, header := multipartForm("batch", content)
	return decode[FileObject](n.c.t, n.call(testTenant, "POST", "/v1/files", header, body))
}

func (n *node) postBatch(file, path, key string) *httptest.ResponseRecorder {
	body := fmt.Sprintf(`{"input_file_id":%q,"endpoint":%q,"completion_window":"24h"}`, file, path)
	return n.call(testTenant, "POST", "/v1/batches", http.Header{"Idempotency-Key": {key}}, strings.NewReader(body))
}

// submit uploads a file with the given number of items and creates a job.
func (n *node) submit(items int, path string) BatchObject {
	n.c.t.Helper()
	return n.submitAs(testTenant, items, path)
}

func (n *node) submitAs(workspace string, items int, path string) BatchObject {
	n.c.t.Helper()
	body, header := multipartForm("batch", jsonlItems(items, path))
	file := decode[FileObject](n.c.t, n.call(workspace, "POST", "/v1/files", header, body))
	create := fmt.Sprintf(`{"input_file_id":%q,"endpoint":%q,"completion_window":"24h"}`, file.ID, path)
	return decode[BatchObject](n.c.t, n.call(workspace, "POST", "/v1/batches", nil, strings.NewReader(create)))
}

func (n *node) job(id string) BatchObject {
	n.c.t.Helper()
	return decode[BatchObject](n.c.t, n.call(testTenant, "GET", "/v1/batches/"+id, nil, nil))
}

// awaitEnd waits until the job has ended. It polls the host that pick returns.
func (c *testCluster) awaitEnd(id string, pick func() *node) BatchObject {
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

// results returns the lines of an output or error file by custom id. It fails the
// test on a second line for an item.
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

// checkOneResultPerItem fails the test unless each item has exactly one result and
// the job's counts match.
func (n *node) checkOneResultPerItem(job BatchObject, items int) (output, failed map[string]resultLine) {
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

// awaitRuns waits until at least some items have run. It fails the test when more
// than half of all have, because the fault that follows needs items left to run.
func (c *testCluster) awaitRuns(some, all int) {
	c.t.Helper()
	for c.itemRuns() < some && c.ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	if n := c.itemRuns(); n < some || n > all/2 {
		c.t.Fatalf("%d of %d items have run", n, all)
	}
}

// itemRuns returns the number of runs over all items.
func (c *testCluster) itemRuns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.starts)
}

func (n *node) setLapsed(lapsed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lapsed = lapsed
}
