package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"ragwortstep/internal/admin"
	"ragwortstep/internal/core/config"
	"ragwortstep/internal/events"
	"ragwortstep/internal/orders"
	"ragwortstep/internal/settings"
	"ragwortstep/internal/store"
	"ragwortstep/internal/store/storetest"
)

const (
	operatorKey = "operator-key-0123456789"
	tableHeader = "workspace,weight,rate,burst,max_queue,note\n"
)

// fakeFleet keeps a configuration in memory for a real handler of the operators'
// API.
type fakeFleet struct {
	mu             sync.Mutex
	snap           *config.Snapshot
	concurrentEdit func(s *config.Snapshot) // applied once, before the next write
	h2Lags         bool                     // h2 does not adopt new revisions
}

func (f *fakeFleet) Config() *config.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snap
}

func (f *fakeFleet) Write(_ context.Context, expected int64, _, _ string, mutate func(*config.Snapshot) error) (*config.Snapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if other := f.concurrentEdit; other != nil {
		f.concurrentEdit = nil
		next := f.snap.Clone()
		other(next)
		next.Revision++
		f.snap = next
	}
	if expected != f.snap.Revision {
		return nil, &admin.ConflictError{Expected: expected, Current: f.snap.Revision}
	}
	next := f.snap.Clone()
	if err := mutate(next); err != nil {
		return nil, err
	}
	next.Revision++
	f.snap = next
	return next, nil
}

func (f *fakeFleet) History(context.Context, int) ([]config.Change, error) {
	return []config.Change{{Revision: 1, Author: "settings", Summary: "+ workspace a"}}, nil
}

func (f *fakeFleet) Status() []admin.HostStatus {
	revision := f.Config().Revision
	if f.h2Lags {
		revision = 0
	}
	return []admin.HostStatus{{Host: "h1", Alive: true, Revision: f.Config().Revision}, {Host: "h2", Alive: true, Revision: revision}}
}

type fixture struct {
	t     *testing.T
	fleet *fakeFleet
	url   string
}

func newFixture(t *testing.T) *fixture {
	fleet := &fakeFleet{snap: config.EmptySnapshot()}
	server := httptest.NewServer(admin.New(admin.Options{
		Config: fleet, Writer: fleet, Status: fleet, OperatorKey: operatorKey,
		Orders: orders.NewDesired(storetest.New(), store.NewWriter("h1/1")),
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}))
	t.Cleanup(server.Close)
	return &fixture{t, fleet, server.URL}
}

// run executes a command line with the operator's endpoint and key.
func (f *fixture) run(args ...string) (code int, stdout, stderr string) {
	return run(append([]string{"--endpoint", f.url, "--key", operatorKey}, args...)...)
}

func run(args ...string) (int, string, string) {
	var out, err bytes.Buffer
	code := Run(context.Background(), append([]string{"ragwortstep"}, args...), Options{Stdout: &out, Stderr: &err})
	return code, out.String(), err.String()
}

// expect runs a command and checks its exit code and a part of its output.
func (f *fixture) expect(want int, part string, args ...string) string {
	f.t.Helper()
	code, stdout, stderr := f.run(args...)
	if code != want || !strings.Contains(stdout+stderr, part) {
		f.t.Fatalf("%v: exit %d, want %d with %q\n%s%s", args, code, want, part, stdout, stderr)
	}
	return stdout
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestTableCommands(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	first := writeFile(t, "first.csv", tableHeader+"a,1,10,10,5,\nb,1,5,5,5,\n")
	f.expect(ExitUsage, "--revision", "config", "apply", first)
	f.expect(ExitOK, "revision 1", "config", "apply", first, "--revision", "0", "--wait", "2s")
	exported := f.expect(ExitOK, "revision 1; apply edits with --revision 1", "config", "export")
	is.Equal(exported, tableHeader+"a,1,10,10,5,\nb,1,5,5,5,\n")
	edited := writeFile(t, "edited.csv", strings.Replace(exported, "a,1,10", "a,1,12.5", 1))
	f.expect(ExitOK, "~ workspace a: rate 10 -> 12.5", "config", "diff", edited)
	f.expect(ExitOK, "revision 2", "config", "apply", edited, "--revision", "1")
	f.expect(ExitConflict, "revision 2, not 1", "config", "apply", edited, "--revision", "1")
	f.expect(ExitOK, "- workspace b", "config", "diff", "--mode", "replace", writeFile(t, "one.csv", tableHeader+"a,1,12.5,10,5,\n"))
	f.expect(ExitInvalid, "column rate", "config", "apply", writeFile(t, "bad.csv", tableHeader+"a,1,\"1,5\",10,5,\n"), "--revision", "2")
	f.expect(ExitOK, "+ workspace a", "config", "history")
	f.expect(ExitOK, `"workspaces"`, "config", "export", "--all")
}

// Guards against config apply --base reverting concurrent edits: one of another
// row must be kept, and one of the same row must be a conflict.
func TestApplyWithBaseKeepsConcurrentEdits(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	base := writeFile(t, "base.csv", tableHeader+"a,1,10,10,5,\nb,1,5,5,5,\n")
	f.expect(ExitOK, "", "config", "apply", base, "--revision", "0")
	edited := writeFile(t, "edited.csv", tableHeader+"a,1,20,10,5,\nb,1,5,5,5,\n")
	f.fleet.concurrentEdit = func(s *config.Snapshot) {
		s.Workspaces["b"] = config.Workspace{Name: "b", Weight: 9, Rate: 9, Burst: 9, MaxQueue: 9}
	}
	f.expect(ExitOK, "rate 10 -> 20", "config", "apply", edited, "--base", base)
	is.Equal(f.fleet.Config().Workspaces["a"].Rate, 20.0)
	is.Equal(f.fleet.Config().Workspaces["b"].Rate, 9.0)
	again := writeFile(t, "again.csv", tableHeader+"a,1,30,10,5,\nb,1,5,5,5,\n")
	f.expect(ExitConflict, "workspace a was changed by somebody else", "config", "apply", again, "--base", base)
	is.Equal(f.fleet.Config().Workspaces["a"].Rate, 20.0)
}

// Guards against losing a concurrent edit of another field of the same object.
func TestSetKeepsConcurrentEdits(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.expect(ExitInvalid, "rate", "workspace", "set", "a") // a new row needs a rate
	f.expect(ExitOK, "+ workspace a", "workspace", "set", "a", "--rate", "10", "--burst", "20")
	f.fleet.concurrentEdit = func(s *config.Snapshot) {
		w := s.Workspaces["a"]
		w.Weight = 7
		s.Workspaces["a"] = w
	}
	f.expect(ExitOK, "rate 10 -> 15", "workspace", "set", "a", "--rate", "15")
	is.Equal(f.fleet.Config().Workspaces["a"], config.Workspace{Name: "a", Weight: 7, Rate: 15, Burst: 20, MaxQueue: 100})
	f.expect(ExitConflict, "revision", "workspace", "set", "a", "--rate", "15", "--revision", "1")
	f.expect(ExitOK, "a          7       15", "workspace", "list")
	f.expect(ExitOK, `"weight":7`, "workspace", "get", "a")
	f.expect(ExitOK, "revision 4", "workspace", "set", "a", "--note", "two\nlines")
	f.expect(ExitOK, `"two\nlines"`, "workspace", "list") // one line per row
	f.expect(ExitOK, "no change, revision 4", "workspace", "set", "a", "--rate", "15")
	f.expect(ExitNotFound, "no workspace", "workspace", "get", "none")
	f.expect(ExitOK, "- workspace a", "workspace", "delete", "a")
}

func TestObjectCommands(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.expect(ExitOK, "+ workspace a", "workspace", "set", "a", "--rate", "10", "--burst", "20")
	f.expect(ExitOK, "+ route chat", "route", "set", "chat", "--kind", "model", "--model", "m", "--pool", "lm", "--request-timeout", "30s")
	is.Equal(f.fleet.Config().Routes["chat"].TimeoutMS, int64(30000))
	f.expect(ExitOK, "chat", "route", "list")
	f.expect(ExitOK, "+ server lm-1", "server", "set", "lm-1", "--pool", "lm", "--address", "10.0.0.1:80", "--zone", "z1", "--fencing")
	f.expect(ExitOK, "leaving false -> true", "server", "leave", "lm-1")
	f.expect(ExitOK, "leaving true -> false", "server", "leave", "lm-1", "--undo")
	f.expect(ExitNotFound, "no server", "server", "leave", "none")
	out := f.expect(ExitOK, "raw", "--output", "json", "key", "create", "a", "--note", "nightly")
	var result admin.WriteResult
	is.NoErr(json.Unmarshal([]byte(out), &result))
	f.expect(ExitOK, "nightly", "key", "list", "--workspace", "a")
	is.True(!strings.Contains(f.expect(ExitOK, result.Key.ID, "key", "list"), result.Key.Raw)) // the key's value is printed only on creation
	f.expect(ExitConflict, "still has 1 keys", "workspace", "delete", "a")
	f.expect(ExitOK, "- key", "key", "revoke", result.Key.ID)
	f.expect(ExitNotFound, "no key", "key", "revoke", result.Key.ID)
	f.expect(ExitOK, "not shown again", "key", "create", "--operator")
	f.expect(ExitOK, "- route", "route", "delete", "chat")
	f.expect(ExitOK, "load_model:org/m  ", "order", "set", "lm-1", "--kind", "load_model", "--model", "org/m")
	f.expect(ExitOK, "pending, 0 failures", "order", "list")
	f.expect(ExitOK, "removed", "order", "remove", "lm-1", "load_model:org/m")
	f.expect(ExitNotFound, "no such order", "order", "remove", "lm-1", "set_role")
	f.expect(ExitInvalid, "role: missing", "order", "set", "lm-1", "--kind", "set_role")
	f.expect(ExitUsage, "slot", "order", "remove", "lm-1")
	f.expect(ExitOK, "- server", "server", "delete", "lm-1")
}

// Guards against changed exit codes, which scripts depend on.
func TestExitCodes(t *testing.T) {
	f := newFixture(t)
	f.expect(ExitOK, "h2          alive  0         0      not held", "status")
	f.fleet.h2Lags = true
	f.expect(ExitNotInForce, "h2 has revision 0", "workspace", "set", "a", "--rate", "1", "--burst", "1", "--wait", "50ms")
	cases := []struct {
		code int
		part string
		args []string
	}{
		{ExitUsage, "no command", []string{"frobnicate"}},
		{ExitUsage, "name a command", []string{"workspace"}},
		{ExitUsage, "no command", []string{"workspace", "frobnicate"}},
		{ExitUsage, "not defined", []string{"version", "--none"}},
		{ExitUsage, "exactly one", []string{"workspace", "get", "--help=false"}},
		{ExitUsage, "--endpoint", []string{"workspace", "list"}},
		{ExitUsage, "--key", []string{"--endpoint", f.url, "workspace", "list"}},
		{ExitUsage, "not a URL", []string{"--endpoint", "10.0.0.1:7003", "--key", "k", "workspace", "list"}},
		{ExitUsage, "text or json", []string{"--output", "xml", "version"}},
		{ExitUsage, "field=value", []string{"config", "check", "--set", "x"}},
		{ExitUnauthorized, "operator key", []string{"--endpoint", f.url, "--key", "wrong", "workspace", "list"}},
		{ExitUnavailable, "127.0.0.1:1", []string{"--endpoint", "http://127.0.0.1:1", "--key", "k", "workspace", "list"}},
		{ExitInvalid, "not readable", []string{"config", "check", "--settings", "/no/such/file"}},
		{ExitOK, "ragwortstep dev", []string{"version"}},
		{ExitOK, "RAGWORTSTEP_HOST_NAME", []string{"config", "reference"}},
	}
	for _, c := range cases {
		code, stdout, stderr := run(c.args...)
		if code != c.code || !strings.Contains(stdout+stderr, c.part) {
			t.Errorf("%v: exit %d, want %d with %q\n%s%s", c.args, code, c.code, c.part, stdout, stderr)
		}
	}
}

func TestServeAndCheck(t *testing.T) {
	is := is.New(t)
	file := writeFile(t, "h.yaml", `{host: {name: h1, zone: z1}, listen: {callers: "127.0.0.1:1", peers: "127.0.0.1:2", admin: "127.0.0.1:3", metrics: "127.0.0.1:4"},
platform: {url: "http://127.0.0.1:5"}, peers: {secret: 0123456789abcdef}, admin: {key: 0123456789abcdef}}`)
	var got *settings.Settings
	var log bytes.Buffer
	opts := Options{Stdout: io.Discard, Stderr: &log, Serve: func(_ context.Context, s *settings.Settings, logger *slog.Logger) error {
		got = s
		logger.Error("serving", "err", errors.Wrap(errors.New("cause"), "step"))
		return nil
	}}
	is.Equal(Run(context.Background(), []string{"r", "serve", "--settings", file, "--set", "peers.seeds=10.0.0.1:1,10.0.0.2:1"}, opts), ExitOK)
	is.Equal(got.Peers.Seeds, []string{"10.0.0.1:1", "10.0.0.2:1"})
	is.Equal(Run(context.Background(), []string{"r", "serve", "--settings", file, "--set", "log.format=text"}, opts), ExitOK)
	is.True(strings.Contains(log.String(), `err="step: cause"`)) // without stack trace
	got = nil
	is.Equal(Run(context.Background(), []string{"r", "serve", "--settings", file, "--set", "host.size=0"}, opts), ExitInvalid)
	is.True(got == nil) // invalid settings don't start a host
	table := writeFile(t, "t.csv", tableHeader)
	code, out, _ := run("config", "check", "--settings", file, "--table", table)
	is.Equal(code, ExitOK)
	is.Equal(out, fmt.Sprintf("%s: valid\n%s: valid\n", file, table))
	code, _, stderr := run("config", "check", "--table", writeFile(t, "bad.csv", "a;b\n"))
	is.Equal(code, ExitInvalid)
	is.True(strings.Contains(stderr, "semicolon"))
}

// newJobAPI starts a fake of the callers' API. The first GET of a job fails with
// 503, the second returns progress, and later ones return the final status.
func newJobAPI(t *testing.T, final string) string {
	polls := 0
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/batches/{id}", func(w http.ResponseWriter, r *http.Request) {
		polls++
		switch {
		case r.PathValue("id") != "b1":
			w.WriteHeader(http.StatusNotFound)
			fmt.Fprint(w, `{"error":{"message":"no such batch","code":"not_found"}}`)
		case polls == 1:
			w.WriteHeader(http.StatusServiceUnavailable)
		case polls == 2:
			fmt.Fprint(w, `{"id":"b1","status":"in_progress","request_counts":{"total":10,"completed":4,"failed":1}}`)
		default:
			fmt.Fprintf(w, `{"id":"b1","status":%q,"request_counts":{"total":10,"completed":9,"failed":1}}`, final)
		}
	})
	mux.HandleFunc("POST /v1/batches/b1/cancel", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"id":"b1","status":"cancelling","request_counts":{"total":10}}`)
	})
	mux.HandleFunc("GET /v1/batches", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") == "" {
			fmt.Fprint(w, `{"data":[{"id":"b2","status":"completed"}],"has_more":true}`)
			return
		}
		fmt.Fprint(w, `{"data":[{"id":"b1","status":"in_progress"}],"has_more":false}`)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL
}

func TestJobCommands(t *testing.T) {
	is := is.New(t)
	url := newJobAPI(t, "completed")
	job := func(args ...string) (int, string, string) {
		return run(append([]string{"--api-endpoint", url, "--api-key", "rs_x", "job"}, args...)...)
	}
	code, out, _ := job("list")
	is.Equal(code, ExitOK)
	is.True(strings.Index(out, "b2") < strings.Index(out, "b1"))
	code, out, _ = job("cancel", "b1")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "cancelling"))
	code, out, stderr := job("watch", "b1") // the first response is 503 and must not end the watch
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "completed"))
	is.True(strings.Contains(stderr, "503") && strings.Contains(stderr, "(10/10"))
	code, _, _ = job("get", "none")
	is.Equal(code, ExitNotFound)
	code, _, _ = run("job", "list")
	is.Equal(code, ExitUsage)
	url = newJobAPI(t, "cancelled")
	code, _, _ = job("watch", "b1")
	is.Equal(code, ExitJobFailed)
}

func TestTimelineCommand(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	sink, err := events.NewFileSink(events.FileOptions{Folder: folder})
	is.NoErr(err)
	events.NewRecorder("h1", sink.Record).Record(events.Event{Kind: "job.cancelled", Job: "j1"})
	sink.Close()
	recorder := events.NewRecorder("h2", nil)
	for range 2500 { // more than two pages
		recorder.Record(events.Event{Kind: "config.adopted"})
	}
	fleet := &fakeFleet{snap: config.EmptySnapshot()}
	server := httptest.NewServer(admin.New(admin.Options{Config: fleet, Writer: fleet, Status: fleet, Events: recorder, OperatorKey: operatorKey}))
	defer server.Close()
	f := &fixture{t, fleet, server.URL}
	out := f.expect(ExitOK, "", "timeline")
	is.Equal(strings.Count(out, "config.adopted"), 2500)
	out = f.expect(ExitOK, "events missing", "timeline", "--host-endpoint", server.URL, "--host-endpoint", "http://127.0.0.1:1", "--folder", folder, "--kind", "job.*")
	is.True(strings.Contains(out, "job.cancelled  job=j1"))
	is.Equal(strings.Count(out, "\n"), 1)
	f.expect(ExitUnavailable, "no host answered", "timeline", "--host-endpoint", "http://127.0.0.1:1")
	f.expect(ExitUsage, "--from", "timeline", "--from", "yesterday")
	file := filepath.Join(folder, "page.html")
	f.expect(ExitOK, "", "timeline", "--folder", folder, "--format", "html", "--file", file)
	page, err := os.ReadFile(file)
	is.NoErr(err)
	is.True(bytes.Contains(page, []byte("job.cancelled")))
}
