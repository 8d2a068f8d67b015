package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const sampleLogs = `
  3.1 b {"time":"2026-03-08T08:10:05.5Z","level":"INFO","msg":"request refused","host":"b","event":"refused","request":"r1","code":"quota_exceeded","retry_after_ms":120}
not a line of a log
{"time":"2026-03-08T08:10:05.1Z","level":"WARN","msg":"server failed","host":"a","event":"server_failed","request":"r1","server":"s@1"}
{"time":"2026-03-08T08:10:05.0Z","level":"INFO","msg":"configuration adopted","host":"a","event":"config_adopted","version":4}
{"time":"2026-03-08T08:10:05.2Z","level":"INFO","msg":"request refused","host":"a","event":"refused","request":"r2"}
{"time":"2026-03-08T08:10:05.3Z","level":"INFO","msg":"results listed","host":"c","event":"listed","job":"j1"}
{broken
`

func explainLogs(t *testing.T, args ...string) (int, string) {
	t.Helper()
	name := filepath.Join(t.TempDir(), "log")
	if err := os.WriteFile(name, []byte(sampleLogs), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errs bytes.Buffer
	code := Run(context.Background(), append([]string{"ragwortstep", "explain", "--log", name}, args...), Options{Stdout: &out, Stderr: &errs})
	return code, out.String()
}

// Guards against printing lines of other requests, and against lines in file
// order instead of time order.
func TestExplainFiltersAndSortsLines(t *testing.T) {
	is := is.New(t)
	code, out := explainLogs(t, "r1")
	is.Equal(code, ExitOK)
	is.Equal(out, "08:10:05.100 a server_failed request=r1 server=s@1\n08:10:05.500 b refused code=quota_exceeded request=r1 retry_after_ms=120\n")
	_, out = explainLogs(t, "--host", "b", "r1")
	is.Equal(strings.Count(out, "\n"), 1)
	_, out = explainLogs(t, "--around", "1s", "r1")
	is.True(strings.HasPrefix(out, "08:10:05.000 a config_adopted version=4\n"))
	_, out = explainLogs(t, "j1")
	is.True(strings.Contains(out, "listed"))
	code, _ = explainLogs(t, "none")
	is.Equal(code, ExitNotFound)
}
