package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// EnvPrefix is the prefix of environment variables that override the file:
// RAGWORTSTEP_LISTEN_TLS_CERT sets listen.tls.cert.
const EnvPrefix = "RAGWORTSTEP_"

// minSecretLength is the minimum length in bytes of a shared secret or operator
// key. secretAllowed states it to operators.
const minSecretLength = 16

// Field describes one setting.
type Field struct {
	Path     string // dotted path in the file
	Doc      string // meaning, for the reference page
	Allowed  string // allowed values or range, for errors and the reference page
	Required bool
	Secret   bool // the value is never printed

	check func(v any) bool // reports whether a parsed value is allowed; nil allows all
	file  bool             // the value names a file that must exist
}

// Env returns the name of the environment variable that overrides the field.
func (f Field) Env() string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(f.Path, ".", "_"))
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

const (
	nameAllowed    = "1 to 63 of a-z, 0-9, dot, hyphen, underscore, starting with a letter or digit"
	addressAllowed = "IP:port, port 1 to 65535"
	fileAllowed    = "path of a readable file"
	secretAllowed  = "at least 16 characters"
)

// fields lists every setting in the order of the reference page.
var fields = []Field{
	{Path: "host.name", Required: true, Allowed: nameAllowed, check: isName, Doc: "Name of the host, unique in the fleet."},
	{Path: "host.zone", Required: true, Allowed: nameAllowed, check: isName, Doc: "Availability zone of the host."},
	{Path: "host.size", Allowed: "0.1 to 100", check: between(0.1, 100.0), Doc: "Capacity relative to an average host."},
	{Path: "host.data_folder", Allowed: "path of a folder whose parent exists", Doc: "Folder for bulk data and event files; empty when the host has no disk."},
	{Path: "listen.callers", Required: true, Allowed: addressAllowed, check: isAddress, Doc: "Address of the callers' API."},
	{Path: "listen.peers", Required: true, Allowed: addressAllowed + ", not 0.0.0.0 or ::", check: isPeerAddress, Doc: "Address for other hosts; they connect to exactly this address."},
	{Path: "listen.admin", Required: true, Allowed: addressAllowed, check: isAddress, Doc: "Address of the operators' API."},
	{Path: "listen.metrics", Required: true, Allowed: addressAllowed, check: isAddress, Doc: "Address of /debug/vars."},
	{Path: "listen.tls.cert", Allowed: fileAllowed, file: true, Doc: "Certificate (PEM) of the callers' address; plain HTTP when empty."},
	{Path: "listen.tls.key", Allowed: fileAllowed, file: true, Doc: "Private key (PEM) of listen.tls.cert."},
	{Path: "listen.tls.ca", Allowed: "empty", Doc: "Not used: callers authenticate by keys, not by certificates."},
	{Path: "platform.url", Required: true, Allowed: "http or https URL with a host", check: isURL, Doc: "Base URL of the platform's object API."},
	{Path: "platform.poll", Allowed: "100ms to 1m", check: between(100*time.Millisecond, time.Minute), Doc: "Interval at which watching hosts poll the platform. The bound for revoked keys grows with it."},
	{Path: "peers.seeds", Allowed: "list of " + addressAllowed, check: isAddressList, Doc: "Peer addresses to contact at start; may contain the host's own address."},
	{Path: "peers.secret", Secret: true, Allowed: secretAllowed, check: isSecret, Doc: "Shared secret of all hosts; required unless peers.tls is set."},
	{Path: "peers.tls.cert", Allowed: fileAllowed, file: true, Doc: "Certificate (PEM) that the host shows to its peers."},
	{Path: "peers.tls.key", Allowed: fileAllowed, file: true, Doc: "Private key (PEM) of peers.tls.cert."},
	{Path: "peers.tls.ca", Allowed: fileAllowed, file: true, Doc: "Authority (PEM) that signs the certificates of all hosts."},
	{Path: "peers.heartbeat", Allowed: "50ms to 10s", check: between(50*time.Millisecond, 10*time.Second), Doc: "Interval between heartbeats."},
	{Path: "peers.lease", Allowed: "500ms to 60s, at least 3 x peers.heartbeat", check: between(500*time.Millisecond, time.Minute), Doc: "Freshness lease: how long a host admits without confirmation."},
	{Path: "limits.policy", Allowed: "lending, static, owner", check: oneOf("lending", "static", "owner"), Doc: "How rate and burst are divided over hosts."},
	{Path: "limits.wait", Allowed: "0s to 10s", check: between(time.Duration(0), 10*time.Second), Doc: "Longest wait of a request for tokens."},
	{Path: "balance.policy", Allowed: "two_choices, round_robin, least_outstanding, random", check: oneOf("two_choices", "round_robin", "least_outstanding", "random"), Doc: "How a backend server is chosen."},
	{Path: "balance.preempt", Allowed: "true, false", Doc: "Cancel batch work at servers when online requests wait."},
	{Path: "batch.retention", Allowed: "1h to 8760h", check: between(time.Hour, 8760*time.Hour), Doc: "How long results of batch jobs stay readable."},
	{Path: "batch.workers", Allowed: "1 to 4096", check: between(int64(1), 4096), Doc: "Batch items in flight per host."},
	{Path: "gateway.max_body", Allowed: "1KiB to 64MiB", check: between(int64(1<<10), 64<<20), Doc: "Largest request body, in bytes or with KiB or MiB."},
	{Path: "gateway.timeout", Allowed: "100ms to 1h", check: between(100*time.Millisecond, time.Hour), Doc: "Deadline of a request whose route sets none."},
	{Path: "gateway.drain", Allowed: "0s to 10m", check: between(time.Duration(0), 10*time.Minute), Doc: "Longest wait for open requests at shutdown."},
	{Path: "gateway.unready", Allowed: "0s to 1m", check: between(time.Duration(0), time.Minute), Doc: "Time as not ready before draining starts."},
	{Path: "admin.key", Required: true, Secret: true, Allowed: secretAllowed, check: isSecret, Doc: "First operator key; more are kept in the configuration."},
	{Path: "log.format", Allowed: "json, text", check: oneOf("json", "text"), Doc: "Form of log lines."},
	{Path: "log.level", Allowed: "debug, info, warn, error", check: oneOf("debug", "info", "warn", "error"), Doc: "Least severity of log lines."},
}

var fieldByPath = indexFields()

func indexFields() map[string]Field {
	index := make(map[string]Field, len(fields))
	for _, f := range fields {
		index[f.Path] = f
	}
	return index
}

// isSection reports whether path is the parent of at least one field.
func isSection(path string) bool {
	for _, f := range fields {
		if strings.HasPrefix(f.Path, path+".") {
			return true
		}
	}
	return false
}

// fieldValue returns the settable struct field of s at the dotted path.
func fieldValue(s *Settings, path string) reflect.Value {
	v := reflect.ValueOf(s).Elem()
	for _, part := range strings.Split(path, ".") {
		v = childByTag(v, part)
	}
	return v
}

func childByTag(v reflect.Value, tag string) reflect.Value {
	for i := range v.NumField() {
		if v.Type().Field(i).Tag.Get("yaml") == tag {
			return v.Field(i)
		}
	}
	panic("settings: no field with tag " + tag)
}

var durationType = reflect.TypeFor[time.Duration]()

// typeName returns the name of a field's type in errors and the reference page.
func typeName(t reflect.Type) string {
	switch {
	case t == durationType:
		return "duration"
	case t.Kind() == reflect.Slice:
		return "list"
	case t.Kind() == reflect.Int64:
		return "bytes"
	case t.Kind() == reflect.Int:
		return "integer"
	case t.Kind() == reflect.Float64:
		return "number"
	case t.Kind() == reflect.Bool:
		return "boolean"
	default:
		return "text"
	}
}

// convert parses the text of one value. The error omits the value, which may be
// secret.
func convert(t reflect.Type, text string) (any, error) {
	switch typeName(t) {
	case "duration":
		return convertDuration(text)
	case "bytes":
		return convertBytes(text)
	case "integer":
		n, err := strconv.ParseInt(text, 10, 64)
		return n, parseError(err, "not an integer")
	case "number":
		n, err := strconv.ParseFloat(text, 64)
		return n, parseError(err, "not a number")
	case "boolean":
		if text != "true" && text != "false" {
			return nil, fmt.Errorf("not a boolean")
		}
		return text == "true", nil
	default:
		return text, nil
	}
}

func parseError(err error, text string) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s", text)
}

func convertDuration(text string) (any, error) {
	if _, err := strconv.ParseFloat(text, 64); err == nil && text != "0" {
		return nil, fmt.Errorf("duration without a unit (ms, s, m or h)")
	}
	d, err := time.ParseDuration(text)
	return d, parseError(err, "not a duration with a unit of ms, s, m or h")
}

var byteUnits = []struct {
	suffix string
	factor int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"", 1}}

func convertBytes(text string) (any, error) {
	for _, unit := range byteUnits {
		if !strings.HasSuffix(text, unit.suffix) {
			continue
		}
		digits := strings.TrimSpace(strings.TrimSuffix(text, unit.suffix))
		n, err := strconv.ParseInt(digits, 10, 64)
		if err == nil && n <= (1<<62)/unit.factor {
			return n * unit.factor, nil
		}
	}
	return nil, fmt.Errorf("not a size in bytes, KiB or MiB")
}

func between[T int64 | float64 | time.Duration](low, high T) func(any) bool {
	return func(v any) bool {
		n, ok := v.(T)
		return ok && n >= low && n <= high
	}
}

func oneOf(values ...string) func(any) bool {
	return func(v any) bool {
		for _, allowed := range values {
			if v == allowed {
				return true
			}
		}
		return false
	}
}

func isName(v any) bool { return namePattern.MatchString(v.(string)) }

func isSecret(v any) bool { return len(v.(string)) >= minSecretLength }

func isAddress(v any) bool {
	a, err := netip.ParseAddrPort(v.(string))
	return err == nil && a.Port() > 0
}

func isPeerAddress(v any) bool {
	a, err := netip.ParseAddrPort(v.(string))
	return err == nil && a.Port() > 0 && !a.Addr().IsUnspecified()
}

func isAddressList(v any) bool {
	for _, item := range v.([]string) {
		if !isPeerAddress(item) {
			return false
		}
	}
	return true
}

func isURL(v any) bool {
	u, err := url.Parse(v.(string))
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}
