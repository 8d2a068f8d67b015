package settings

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

const validSettings = `host:
  name: h1
  zone: z1
listen:
  callers: 127.0.0.1:7001
  peers: 127.0.0.1:7002
  admin: 127.0.0.1:7003
  metrics: 127.0.0.1:7004
platform:
  url: http://127.0.0.1:9000
peers:
  secret: 0123456789abcdef-secret
admin:
  key: operator-key-0123456789
`

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "host.yaml")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

func loadErrors(t *testing.T, text string, overrides map[string]string, environ ...string) ValidationErrors {
	t.Helper()
	_, err := LoadFrom(writeSettings(t, text), overrides, environ)
	var errs ValidationErrors
	if !errors.As(err, &errs) {
		t.Fatalf("error %v, want ValidationErrors", err)
	}
	return errs
}

// Guards against lost defaults of absent fields, and against zero values in the
// file being taken for absent ones.
func TestLoadKeepsDefaults(t *testing.T) {
	is := is.New(t)
	s, err := LoadFrom(writeSettings(t, validSettings+"limits:\n  wait: 0s\nbalance:\n  preempt: false\ngateway:\n  max_body: 2MiB\n"), nil, nil)
	is.NoErr(err)
	is.Equal(s.Host.Name, "h1")
	is.Equal(s.Peers.HeartbeatInterval, 500*time.Millisecond)
	is.Equal(s.Limits.Wait, time.Duration(0))
	is.Equal(s.Balance.Preempt, false)
	is.Equal(s.Gateway.MaxBody, int64(2<<20))
}

// Flags must override environment variables, which must override the file.
// Other variables with the prefix RAGWORTSTEP_ must be ignored.
func TestLoadPrecedence(t *testing.T) {
	is := is.New(t)
	environ := []string{"RAGWORTSTEP_HOST_NAME=from-env", "RAGWORTSTEP_HOST_ZONE=env-zone", "RAGWORTSTEP_PEERS_SEEDS=10.0.0.1:1, 10.0.0.2:1", "RAGWORTSTEP_ENDPOINT=x", "RAGWORTSTEP_INVARIANT=exit"}
	s, err := LoadFrom(writeSettings(t, validSettings), map[string]string{"host.name": "from-flag"}, environ)
	is.NoErr(err)
	is.Equal(s.Host.Name, "from-flag")
	is.Equal(s.Host.Zone, "env-zone")
	is.Equal(s.Peers.Seeds, []string{"10.0.0.1:1", "10.0.0.2:1"})
}

// Each invalid file must be rejected with the line and field of its error. The
// last column must be part of the message.
func TestLoadRejectsInvalidFiles(t *testing.T) {
	replace := func(old, text string) string { return strings.Replace(validSettings, old, text, 1) }
	folder := t.TempDir()
	cases := []struct {
		name, text string
		line       int
		field      string
		message    string
	}{
		{"unknown section", validSettings + "extra:\n  a: 1\n", 15, "extra", "unknown field"},
		{"unknown field", validSettings + "log:\n  levle: info\n", 16, "log.levle", "unknown field"},
		{"unknown nested field", replace("  metrics", "  tls: {crt: x}\n  metrics"), 8, "listen.tls.crt", "unknown field"},
		{"field twice", replace("  zone: z1", "  zone: z1\n  zone: z2"), 4, "host.zone", "set twice"},
		{"section twice", validSettings + "host:\n  size: 2\n", 15, "host", "set twice"},
		{"section is text", validSettings + "log: info\n", 15, "log", "section must hold fields"},
		{"section is a list", validSettings + "log: [info]\n", 15, "log", "section must hold fields"},
		{"missing name", replace("  name: h1\n", ""), 0, "host.name", "missing"},
		{"empty name", replace("name: h1", `name: ""`), 2, "host.name", "missing"},
		{"missing zone", replace("  zone: z1\n", ""), 0, "host.zone", "missing"},
		{"missing platform", replace("  url: http://127.0.0.1:9000\n", ""), 0, "platform.url", "missing"},
		{"missing metrics address", replace("  metrics: 127.0.0.1:7004\n", ""), 0, "listen.metrics", "missing"},
		{"missing operator key", replace("  key: operator-key-0123456789\n", ""), 0, "admin.key", "missing"},
		{"missing peer secret", replace("  secret: 0123456789abcdef-secret\n", ""), 0, "peers.secret", "hosts authenticate"},
		{"short secret", replace("0123456789abcdef-secret", "abc"), 12, "peers.secret", "at least 16 characters"},
		{"name with space", replace("name: h1", "name: h 1"), 2, "host.name", `"h 1"`},
		{"name as number", replace("name: h1", "name: 17"), 2, "host.name", "put it in quotes"},
		{"name as list", replace("name: h1", "name: [h1]"), 2, "host.name", "must be one text"},
		{"size too small", replace("name: h1", "name: h1\n  size: 0.01"), 3, "host.size", "0.1 to 100"},
		{"size with decimal comma", replace("name: h1", "name: h1\n  size: 1,5"), 3, "host.size", "not a number"},
		{"size not a number", replace("name: h1", "name: h1\n  size: .nan"), 3, "host.size", "not a number"},
		{"data folder is a file", replace("name: h1", "name: h1\n  data_folder: /dev/null"), 3, "host.data_folder", "not a folder"},
		{"data folder without parent", replace("name: h1", "name: h1\n  data_folder: /no/such/parent"), 3, "host.data_folder", "parent folder does not exist"},
		{"address without port", replace("127.0.0.1:7001", "127.0.0.1"), 5, "listen.callers", "IP:port"},
		{"address by name", replace("127.0.0.1:7001", "localhost:7001"), 5, "listen.callers", "IP:port"},
		{"port 0", replace("127.0.0.1:7001", "127.0.0.1:0"), 5, "listen.callers", "port 1 to 65535"},
		{"port too large", replace("127.0.0.1:7001", "127.0.0.1:70000"), 5, "listen.callers", "port 1 to 65535"},
		{"peers on every address", replace("127.0.0.1:7002", "0.0.0.0:7002"), 6, "listen.peers", "not 0.0.0.0"},
		{"duplicate address", replace("127.0.0.1:7003", "127.0.0.1:7002"), 7, "listen.admin", "also used by listen.peers"},
		{"overlapping address", replace("127.0.0.1:7004", "0.0.0.0:7001"), 8, "listen.metrics", "also used by listen.callers"},
		{"TLS without key", replace("  metrics", "  tls: {cert: /dev/null}\n  metrics"), 0, "listen.tls.key", "only partly set"},
		{"TLS file missing", replace("  metrics", "  tls: {cert: /no/cert, key: /dev/null}\n  metrics"), 8, "listen.tls.cert", "no such file"},
		{"TLS file is a folder", replace("  metrics", "  tls: {cert: "+folder+", key: /dev/null}\n  metrics"), 8, "listen.tls.cert", "is a folder"},
		{"authority for callers", replace("  metrics", "  tls: {ca: /dev/null}\n  metrics"), 8, "listen.tls.ca", "not used"},
		{"peer TLS without authority", validSettings + "peers:\n", 15, "peers", "set twice"},
		{"peer TLS partly set", replace("  secret: ", "  tls: {cert: /dev/null, key: /dev/null}\n  secret: "), 0, "peers.tls.ca", "only partly set"},
		{"URL without scheme", replace("http://127.0.0.1:9000", "127.0.0.1:9000"), 10, "platform.url", "http or https"},
		{"duration without unit", replace("  url", "  poll: 500\n  url"), 10, "platform.poll", "without a unit"},
		{"duration with wrong unit", replace("  url", "  poll: 2 minutes\n  url"), 10, "platform.poll", "unit of ms, s, m or h"},
		{"duration too long", replace("  url", "  poll: 2h\n  url"), 10, "platform.poll", "100ms to 1m"},
		{"negative duration", validSettings + "limits: {wait: -1s}\n", 15, "limits.wait", "0s to 10s"},
		{"lease below heartbeats", replace("  secret", "  lease: 1s\n  secret"), 12, "peers.lease", "3 x peers.heartbeat"},
		{"seed without port", replace("  secret", "  seeds: [10.0.0.1]\n  secret"), 12, "peers.seeds", "IP:port"},
		{"seed twice", replace("  secret", "  seeds: ['10.0.0.1:1', '10.0.0.1:1']\n  secret"), 12, "peers.seeds", "duplicate entry"},
		{"seeds as text", replace("  secret", "  seeds: 10.0.0.1:1\n  secret"), 12, "peers.seeds", "must be a list"},
		{"unknown policy", validSettings + "limits: {policy: lend}\n", 15, "limits.policy", "lending, static, owner"},
		{"unknown balance policy", validSettings + "balance: {policy: best}\n", 15, "balance.policy", "two_choices"},
		{"boolean as text", validSettings + "balance: {preempt: 'yes'}\n", 15, "balance.preempt", "not a boolean"},
		{"workers as fraction", validSettings + "batch: {workers: 1.5}\n", 15, "batch.workers", "not an integer"},
		{"too many workers", validSettings + "batch: {workers: 5000}\n", 15, "batch.workers", "1 to 4096"},
		{"retention in days", validSettings + "batch: {retention: 30d}\n", 15, "batch.retention", "unit of ms, s, m or h"},
		{"size with wrong unit", validSettings + "gateway: {max_body: 4GB}\n", 15, "gateway.max_body", "KiB or MiB"},
		{"size out of range", validSettings + "gateway: {max_body: 1GiB}\n", 15, "gateway.max_body", "not a size"},
		{"unknown log level", validSettings + "log: {level: verbose}\n", 15, "log.level", "debug, info, warn, error"},
		{"not YAML", validSettings + "log: [\n", 15, "", "not valid YAML"},
		{"two documents", validSettings + "---\nlog: {}\n", 16, "", "more than one YAML document"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, f := range loadErrors(t, c.text, nil) {
				if f.Field == c.field && f.Line == c.line && strings.Contains(f.Error(), c.message) && strings.Contains(f.Error(), "host.yaml") {
					return
				}
			}
			t.Fatalf("want line %d, field %q, %q; got:\n%v", c.line, c.field, c.message, loadErrors(t, c.text, nil))
		})
	}
}

// Guards against an error that hides later ones: an operator must be able to
// correct a file in one pass.
func TestLoadReportsAllErrors(t *testing.T) {
	is := is.New(t)
	errs := loadErrors(t, "host: {name: H, zone: z1, size: 0}\nlisten: {callers: x}\nlog: {level: loud, colour: red}\n", nil)
	fields := map[string]bool{}
	for _, f := range errs {
		fields[f.Field] = true
	}
	for _, want := range []string{"host.name", "host.size", "listen.callers", "listen.peers", "listen.admin", "listen.metrics", "platform.url", "peers.secret", "admin.key", "log.level", "log.colour"} {
		is.True(fields[want]) // error reported
	}
	is.Equal(len(errs), len(fields)) // no error reported twice
}

// Errors in variables and flags must name them, and misspelt variables must be
// errors.
func TestLoadReportsErrorsOfOverrides(t *testing.T) {
	is := is.New(t)
	errs := loadErrors(t, validSettings, map[string]string{"peers.lease": "9", "log.colour": "red"}, "RAGWORTSTEP_HOST_SIZE=big", "RAGWORTSTEP_LOG_LEVLE=debug")
	text := errs.Error()
	is.Equal(len(errs), 4)
	is.True(strings.Contains(text, "RAGWORTSTEP_HOST_SIZE: host.size: not a number"))
	is.True(strings.Contains(text, "RAGWORTSTEP_LOG_LEVLE: variable names no setting"))
	is.True(strings.Contains(text, "--set: peers.lease: duration without a unit"))
	is.True(strings.Contains(text, "--set: log.colour: unknown field"))
}

// Guards against secrets in error messages, which go to logs and terminals.
func TestLoadHidesSecrets(t *testing.T) {
	is := is.New(t)
	text := loadErrors(t, strings.Replace(validSettings, "operator-key-0123456789", "hunter2", 1), map[string]string{"peers.secret": "pw-short"}).Error()
	is.True(!strings.Contains(text, "hunter2"))
	is.True(!strings.Contains(text, "pw-short"))
}

// Guards against a settings field that is missing from the schema and so could
// be neither set nor checked.
func TestSchemaCoversSettings(t *testing.T) {
	is := is.New(t)
	var paths []string
	var walk func(reflect.Type, string)
	walk = func(typ reflect.Type, prefix string) {
		for i := range typ.NumField() {
			path := prefix + typ.Field(i).Tag.Get("yaml")
			if typ.Field(i).Type.Kind() == reflect.Struct {
				walk(typ.Field(i).Type, path+".")
				continue
			}
			paths = append(paths, path)
		}
	}
	walk(reflect.TypeFor[Settings](), "")
	for _, path := range paths {
		is.Equal(fieldByPath[path].Path, path) // field is in the schema
	}
	is.Equal(len(paths), len(fields))
	for _, f := range fields {
		v := fieldValue(&Settings{}, f.Path)
		is.True(f.Doc != "" && f.Allowed != "" && v.CanSet())
	}
}

// Guards against an outdated reference page of the settings.
func TestReferencePageIsCurrent(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/settings.md")
	is.NoErr(err)
	is.Equal(string(page), Reference()) // run: ragwortstep config reference > docs/settings.md
}

// FuzzLoad guards against panics on malformed files, such as those of a broken
// template, and against accepting settings without a required field.
func FuzzLoad(f *testing.F) {
	for _, seed := range []string{validSettings, validSettings + "limits: {wait: 0s}\n", "host: &a {name: *a}\n", "? [a]\n: b\n", "- host\n", "host:\n\t- x\n", "<<: *x\n", "host: !!binary x\n"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := LoadFrom(writeSettings(t, text), nil, nil)
		if (s == nil) == (err == nil) {
			t.Fatalf("settings %v, error %v", s, err)
		}
		if err == nil && (s.Host.Name == "" || s.Admin.Key == "" || s.Platform.URL == "") {
			t.Fatalf("accepted without a required field: %+v", s)
		}
	})
}
