package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"ragwortstep/internal/core/config"
	"ragwortstep/internal/events"
	"ragwortstep/internal/orders"
	"ragwortstep/internal/store"
	"ragwortstep/internal/store/storetest"
)

const (
	testOperatorKey = "first-operator-key-0123456789"
	tableCSV        = "workspace,weight,rate,burst,max_queue,note\nalerts,2,10,20,100,\nquotes,1,5,5,50,\n"
)

// fakeFleet is an in-memory configuration with conditional updates, history and
// host status.
type fakeFleet struct {
	mu      sync.Mutex
	snap    *config.Snapshot
	history []config.Change
	hosts   []HostStatus
	fail    error
}

func (f *fakeFleet) Config() *config.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snap
}

func (f *fakeFleet) Write(_ context.Context, expected int64, author, note string, mutate func(*config.Snapshot) error) (*config.Snapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fail != nil {
		return nil, f.fail
	}
	if expected != f.snap.Revision {
		return nil, errors.Wrap(&ConflictError{Expected: expected, Current: f.snap.Revision}, "write configuration")
	}
	next := f.snap.Clone()
	if err := mutate(next); err != nil {
		return nil, errors.Wrap(err, "write configuration")
	}
	next.Revision++
	changes := config.Diff(f.snap, next)
	f.history = append([]config.Change{{Revision: next.Revision, Author: author, Note: note, Summary: config.Summarize(changes)}}, f.history...)
	f.snap = next
	return next, nil
}

func (f *fakeFleet) History(_ context.Context, limit int) ([]config.Change, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.history[:min(limit, len(f.history))], nil
}

func (f *fakeFleet) Status() []HostStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]HostStatus(nil), f.hosts...)
}

func (f *fakeFleet) setHosts(hosts ...HostStatus) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = hosts
}

type testAPI struct {
	t       *testing.T
	fleet   *fakeFleet
	handler http.Handler
}

func newTestAPI(t *testing.T) *testAPI {
	fleet := &fakeFleet{snap: config.EmptySnapshot()}
	recorder := events.NewRecorder("h1", nil)
	recorder.Record(events.Event{Kind: "config.adopted"})
	recorder.Record(events.Event{Kind: "lease.lapsed"})
	handler := New(Options{
		Config: fleet, Writer: fleet, Status: fleet, Events: recorder, OperatorKey: testOperatorKey,
		Orders: orders.NewDesired(storetest.New(), store.NewWriter("h1/1")),
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	return &testAPI{t, fleet, handler}
}

// do sends a request with testOperatorKey; revision -1 omits If-Match.
func (a *testAPI) do(method, path string, revision int64, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, "/admin/v1"+path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+testOperatorKey)
	if revision >= 0 {
		r.Header.Set("If-Match", strconv.Quote(strconv.FormatInt(revision, 10)))
	}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	a.handler.ServeHTTP(w, r)
	return w
}

func decode[T any](t *testing.T, w *httptest.ResponseRecorder) T {
	t.Helper()
	var v T
	if err := json.Unmarshal(w.Body.Bytes(), &v); err != nil {
		t.Fatalf("%v: %s", err, w.Body)
	}
	return v
}

func (a *testAPI) expectError(w *httptest.ResponseRecorder, status int, code string) ErrorDetail {
	a.t.Helper()
	detail := decode[ErrorBody](a.t, w).Error
	if w.Code != status || detail.Code != code || detail.Message == "" || detail.Type == "" {
		a.t.Fatalf("got %d %s, want %d %s: %s", w.Code, detail.Code, status, code, w.Body)
	}
	return detail
}

// Guards against tables and rows that are not stored as written, and against a
// history that lacks a change, its note or its author.
func TestTableAndRows(t *testing.T) {
	is := is.New(t)
	a := newTestAPI(t)
	w := a.do("PUT", "/table", 0, tableCSV)
	is.Equal(w.Code, 200)
	is.Equal(w.Header().Get("ETag"), `"1"`)
	w = a.do("GET", "/table", -1, "")
	is.Equal(w.Body.String(), tableCSV)
	is.Equal(w.Header().Get("ETag"), `"1"`)
	w = a.do("PUT", "/workspaces/alerts?note=quarter+end", 1, `{"weight":2,"rate":30,"burst":20,"max_queue":100}`)
	is.Equal(w.Code, 200)
	is.Equal(decode[WriteResult](t, w).Changes[0].String(), "~ workspace alerts: rate 10 -> 30")
	w = a.do("GET", "/workspaces/alerts", -1, "")
	is.Equal(decode[config.Workspace](t, w).Rate, 30.0)
	changed := "workspace,weight,rate,burst,max_queue,note\nnew,1,1,1,1,\n"
	is.Equal(a.do("PUT", "/table", 2, changed).Code, 200)
	is.Equal(len(a.fleet.snap.Workspaces), 3) // merge keeps the other workspaces
	is.Equal(a.do("PUT", "/table?mode=replace", 3, changed).Code, 200)
	is.Equal(len(a.fleet.snap.Workspaces), 1)
	is.Equal(a.do("DELETE", "/workspaces/new", 4, "").Code, 200)
	history := decode[HistoryBody](t, a.do("GET", "/history?limit=5", -1, "")).Data
	is.Equal(len(history), 5)
	is.Equal(history[3].Note, "quarter end")
	is.Equal(history[3].Author, "settings")
}

// Guards against applying a write that names no revision or an old one.
func TestWritesRequireRevision(t *testing.T) {
	is := is.New(t)
	a := newTestAPI(t)
	a.expectError(a.do("PUT", "/table", -1, tableCSV), 428, "revision_required")
	a.expectError(a.do("PUT", "/table", -1, tableCSV, "If-Match", "*"), 400, "invalid_revision")
	is.Equal(a.do("PUT", "/table", 0, tableCSV).Code, 200)
	w := a.do("DELETE", "/workspaces/alerts", 0, "")
	detail := a.expectError(w, 412, "revision_conflict")
	is.Equal(detail.Expected, int64(0))
	is.Equal(detail.Current, int64(1))
	is.Equal(w.Header().Get("ETag"), `"1"`)
	is.Equal(len(a.fleet.snap.Workspaces), 2)
}

// Guards against lost or mixed edits when operators write concurrently at one
// revision: one write must succeed and the others must fail with 412.
func TestConcurrentWritesAtOneRevision(t *testing.T) {
	is := is.New(t)
	a := newTestAPI(t)
	is.Equal(a.do("PUT", "/table", 0, tableCSV).Code, 200)
	const rounds, operators = 50, 4
	for round := range rounds {
		revision := a.fleet.Config().Revision
		codes := make([]int, operators)
		var wg sync.WaitGroup
		for i := range operators {
			wg.Go(func() {
				n := round*operators + i + 1
				body := fmt.Sprintf(`{"weight":%d,"rate":%d,"burst":%d,"max_queue":%d}`, n, n, n, n)
				codes[i] = a.do("PUT", "/workspaces/alerts", revision, body).Code
			})
		}
		wg.Wait()
		succeeded := 0
		for i, code := range codes {
			if code == 200 {
				succeeded++
				row := a.fleet.Config().Workspaces["alerts"]
				n := float64(round*operators + i + 1)
				is.Equal(row, config.Workspace{Name: "alerts", Weight: n, Rate: n, Burst: n, MaxQueue: int(n)})
			} else {
				is.Equal(code, 412)
			}
		}
		is.Equal(succeeded, 1)
		is.Equal(a.fleet.Config().Revision, revision+1)
	}
}

// Guards against showing the hash or the raw form of a key after its creation,
// and against accepting a caller's key for this API.
func TestKeys(t *testing.T) {
	is := is.New(t)
	a := newTestAPI(t)
	is.Equal(a.do("PUT", "/table", 0, tableCSV).Code, 200)
	a.expectError(a.do("POST", "/workspaces/none/keys", 1, ""), 404, "not_found")
	w := a.do("POST", "/workspaces/alerts/keys", 1, `{"note":"nightly"}`)
	is.Equal(w.Code, 201)
	is.Equal(w.Header().Get("Cache-Control"), "no-store")
	created := decode[WriteResult](t, w).Key
	key, ok := config.NewKeyIndex(a.fleet.Config()).Caller(created.Raw)
	is.True(ok && key.ID == created.ID && key.Workspace == "alerts" && key.Note == "nightly")
	for _, path := range []string{"/keys", "/workspaces/alerts/keys", "/config", "/history"} {
		body := a.do("GET", path, -1, "").Body.String()
		is.True(strings.Contains(body, created.ID))
		is.True(!strings.Contains(body, key.Hash) && !strings.Contains(body, created.Raw)) // neither hash nor key is shown
	}
	a.expectError(a.do("DELETE", "/workspaces/alerts", 2, ""), 409, "workspace_has_keys")
	a.expectError(a.do("GET", "/status", -1, "", "Authorization", "Bearer "+created.Raw), 401, "invalid_operator_key")
	is.Equal(a.do("DELETE", "/keys/"+created.ID, 2, "").Code, 200)
	is.Equal(len(a.fleet.Config().Keys), 0)
}

// Guards against access without an operator key or with a revoked one.
func TestOperatorKeys(t *testing.T) {
	is := is.New(t)
	a := newTestAPI(t)
	w := a.do("POST", "/operators", 0, "")
	is.Equal(w.Code, 201)
	key := decode[WriteResult](t, w).Key
	is.Equal(a.do("PUT", "/table", 1, tableCSV, "Authorization", "bearer "+key.Raw).Code, 200)
	is.Equal(a.fleet.history[0].Author, key.ID)
	is.Equal(a.do("DELETE", "/keys/"+key.ID, 2, "").Code, 200)
	for _, auth := range []string{"Bearer " + key.Raw, "Bearer wrong", "Bearer ", "", testOperatorKey, "Basic " + testOperatorKey} {
		for _, path := range []string{"/status", "/openapi.json", "/none"} {
			a.expectError(a.do("GET", path, -1, "", "Authorization", auth), 401, "invalid_operator_key")
		}
	}
}

// Guards against routes, servers and orders that cannot be created, changed and
// removed, and against accepting orders for unknown servers.
func TestRoutesServersAndOrders(t *testing.T) {
	is := is.New(t)
	a := newTestAPI(t)
	is.Equal(a.do("PUT", "/routes/chat", 0, `{"kind":"model","model":"m","pool":"lm"}`).Code, 200)
	is.Equal(a.do("PUT", "/servers/lm-1", 1, `{"pool":"lm","address":"10.0.0.1:80","zone":"z1","concurrency":8,"speed":1}`).Code, 200)
	is.Equal(a.do("POST", "/servers/lm-1/leave", 2, "").Code, 200)
	is.True(a.fleet.Config().Servers["lm-1"].Leaving)
	is.Equal(a.do("POST", "/servers/lm-1/leave?undo=true", 3, "").Code, 200)
	is.True(!a.fleet.Config().Servers["lm-1"].Leaving)
	a.expectError(a.do("POST", "/orders", -1, `{"server":"lm-9","kind":"set_role","role":"decode"}`), 404, "not_found")
	a.expectError(a.do("POST", "/orders", -1, `{"server":"lm-1","kind":"set_role"}`), 422, "invalid_order")
	is.Equal(a.do("POST", "/orders", -1, `{"server":"lm-1","kind":"load_model","model":"org/m"}`).Code, 202)
	list := decode[OrdersBody](t, a.do("GET", "/orders", -1, "")).Data
	is.True(len(list) == 1 && list[0].Pending())
	is.Equal(a.do("DELETE", "/orders/lm-1/load_model:org%2Fm", -1, "").Code, 204)
	a.expectError(a.do("DELETE", "/orders/lm-1/set_role", -1, ""), 404, "not_found")
	is.Equal(a.do("DELETE", "/servers/lm-1", 4, "").Code, 200)
	is.Equal(a.do("DELETE", "/routes/chat", 5, "").Code, 200)
}

// Guards against invalid requests that change the configuration or get the wrong
// JSON error.
func TestRefusals(t *testing.T) {
	a := newTestAPI(t)
	a.do("PUT", "/table", 0, tableCSV)
	before := a.fleet.Config()
	large := `{"note":"` + strings.Repeat("x", defaultMaxBody) + `"}`
	cases := []struct {
		method, path, body string
		status             int
		code               string
	}{
		{"PUT", "/workspaces/alerts", "{", 400, "malformed_json"},
		{"PUT", "/workspaces/alerts", `{"weight":1,"colour":2}`, 400, "malformed_json"},
		{"PUT", "/workspaces/alerts", `{} {}`, 400, "malformed_json"},
		{"PUT", "/workspaces/alerts", `{"weight":0,"rate":1,"burst":1,"max_queue":1}`, 422, "invalid_configuration"},
		{"PUT", "/workspaces/alerts", `{"name":"quotes"}`, 422, "name_mismatch"},
		{"PUT", "/workspaces/alerts", large, 413, "body_too_large"},
		{"PUT", "/table", strings.Repeat("x", config.MaxTableBytes+1), 413, "body_too_large"},
		{"PUT", "/table", "workspace;weight\n", 422, "invalid_configuration"},
		{"PUT", "/table?mode=all", tableCSV, 400, "invalid_parameter"},
		{"PUT", "/table?wait=5", tableCSV, 400, "invalid_parameter"},
		{"PUT", "/table?wait=1h", tableCSV, 400, "invalid_parameter"},
		{"PUT", "/table?note=" + strings.Repeat("x", 501), tableCSV, 400, "invalid_parameter"},
		{"PUT", "/table?note=%1b%5B31m", tableCSV, 400, "invalid_parameter"},
		{"POST", "/workspaces/alerts/keys", `{"note":"\u001b[31m"}`, 422, "invalid_configuration"},
		{"DELETE", "/workspaces/alerts?revoke_keys=yes", "", 400, "invalid_parameter"},
		{"DELETE", "/workspaces/none", "", 404, "not_found"},
		{"DELETE", "/keys/none", "", 404, "not_found"},
		{"POST", "/servers/none/leave", "", 404, "not_found"},
		{"GET", "/routes/none", "", 404, "not_found"},
		{"GET", "/workspaces/none/keys", "", 404, "not_found"},
		{"GET", "/workspaces?limit=0", "", 400, "invalid_parameter"},
		{"GET", "/workspaces?limit=1001", "", 400, "invalid_parameter"},
		{"GET", "/events?after=-1", "", 400, "invalid_parameter"},
		{"GET", "/none", "", 404, "not_found"},
		{"PATCH", "/table", "", 405, "method_not_allowed"},
	}
	for _, c := range cases {
		a.expectError(a.do(c.method, c.path, 1, c.body), c.status, c.code)
	}
	if a.fleet.Config() != before {
		t.Fatal("a refused request changed the configuration")
	}
	detail := a.expectError(a.do("PUT", "/table?file=q4.csv", 1, strings.Replace(tableCSV, "10", `"1,5"`, 1)), 422, "invalid_configuration")
	if f := detail.Faults[0]; f.File != "q4.csv" || f.Row != 2 || f.Column != "rate" || f.Value != "1,5" || f.Allowed == "" {
		t.Fatalf("fault %+v", f)
	}
}

// Guards against pages that skip or repeat entries, and against a wrong value of
// next at the end of a list.
func TestPaging(t *testing.T) {
	is := is.New(t)
	a := newTestAPI(t)
	var rows strings.Builder
	for i := range 25 {
		fmt.Fprintf(&rows, "w%02d,1,1,1,1,\n", i)
	}
	is.Equal(a.do("PUT", "/table", 0, "workspace,weight,rate,burst,max_queue,note\n"+rows.String()).Code, 200)
	var names []string
	pages := 0
	for after := ""; ; pages++ {
		page := decode[List[config.Workspace]](t, a.do("GET", "/workspaces?limit=5&after="+after, -1, ""))
		for _, w := range page.Data {
			names = append(names, w.Name)
		}
		if after = page.Next; after == "" {
			break
		}
	}
	is.Equal(pages, 4) // five full pages; the last one has no next page
	is.Equal(len(names), 25)
	is.Equal(names[24], "w24")
	is.Equal(decode[List[config.Route]](t, a.do("GET", "/routes", -1, "")).Next, "")
	first := decode[EventsBody](t, a.do("GET", "/events?limit=1", -1, ""))
	is.True(len(first.Data) == 1 && first.Data[0].Kind == "config.adopted" && first.Next == first.Data[0].Seq)
	second := decode[EventsBody](t, a.do("GET", fmt.Sprintf("/events?after=%d", first.Next), -1, ""))
	is.True(len(second.Data) == 1 && second.Data[0].Kind == "lease.lapsed")
	is.Equal(decode[EventsBody](t, a.do("GET", fmt.Sprintf("/events?after=%d", second.Next), -1, "")).Next, second.Next)
}

// Guards against reporting a revision as in force before every live host has it,
// or when no host is live.
func TestWaitInForce(t *testing.T) {
	is := is.New(t)
	a := newTestAPI(t)
	dead := HostStatus{Host: "h3"}
	a.fleet.setHosts(HostStatus{Host: "h1", Alive: true, Revision: 1}, HostStatus{Host: "h2", Alive: true}, dead)
	result := decode[WriteResult](t, a.do("PUT", "/table?wait=100ms", 0, tableCSV))
	is.True(!*result.InForce)
	is.Equal(result.Hosts[1], HostRevision{Host: "h2", Alive: true, Revision: 0})
	time.AfterFunc(100*time.Millisecond, func() {
		a.fleet.setHosts(HostStatus{Host: "h1", Alive: true, Revision: 2}, HostStatus{Host: "h2", Alive: true, Revision: 3}, dead)
	})
	result = decode[WriteResult](t, a.do("DELETE", "/workspaces/alerts?wait=5s", 1, ""))
	is.True(*result.InForce)
	is.Equal(len(result.Hosts), 3)
	a.fleet.setHosts(dead)
	is.True(!*decode[WriteResult](t, a.do("DELETE", "/workspaces/quotes?wait=50ms", 2, "")).InForce)
}

// Guards against a new revision when a write is repeated after its response was
// lost.
func TestUnchangedWriteKeepsRevision(t *testing.T) {
	is := is.New(t)
	a := newTestAPI(t)
	is.Equal(a.do("PUT", "/table", 0, tableCSV).Code, 200)
	w := a.do("PUT", "/table", 1, tableCSV)
	is.Equal(w.Code, 200)
	is.Equal(w.Header().Get("ETag"), `"1"`)
	is.Equal(len(decode[WriteResult](t, w).Changes), 0)
	is.Equal(a.fleet.Config().Revision, int64(1))
	a.expectError(a.do("PUT", "/table", 0, tableCSV), 412, "revision_conflict")
}

// Guards against failing requests at a host that has no configuration yet.
func TestRequestsBeforeFirstConfiguration(t *testing.T) {
	is := is.New(t)
	a := newTestAPI(t)
	a.fleet.snap = nil
	is.Equal(a.do("GET", "/status", -1, "").Code, 200)
	is.Equal(a.do("GET", "/table", -1, "").Header().Get("ETag"), `"0"`)
}

// Guards against reporting an outage as if nothing was changed: an earlier attempt
// may have been applied.
func TestPlatformErrors(t *testing.T) {
	is := is.New(t)
	a := newTestAPI(t)
	for _, err := range []error{store.ErrUnavailable, store.ErrUnknownOutcome, store.ErrRateLimited, context.DeadlineExceeded} {
		a.fleet.fail = errors.Wrap(err, "update config/head")
		detail := a.expectError(a.do("PUT", "/table", 0, tableCSV), 503, "platform_unavailable")
		is.True(strings.Contains(detail.Message, "whether the change was applied"))
	}
	a.fleet.fail = store.ErrTooLarge
	a.expectError(a.do("PUT", "/table", 0, tableCSV), 413, "configuration_too_large")
	a.fleet.fail = errors.New("unexpected")
	a.expectError(a.do("PUT", "/table", 0, tableCSV), 500, "internal")
}
