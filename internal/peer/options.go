package peer

import (
	"expvar"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/defaults"
)

// Defaults of Options.
const (
	defaultCallTimeout   = 2 * time.Second
	defaultDialTimeout   = time.Second
	defaultPingInterval  = time.Second
	defaultPingTimeout   = 300 * time.Millisecond
	defaultRedialBackoff = 100 * time.Millisecond
	defaultMaxInFlight   = 1024
)

// TLSFiles names PEM files for mutual TLS between hosts. The files are reread
// when their modification time or size changes. A host's certificate carries
// the host's name as common name or as a DNS name.
type TLSFiles struct {
	Cert string
	Key  string
	CA   string // the authority that signs all hosts' certificates
}

// Enabled reports whether any file is named.
func (t TLSFiles) Enabled() bool { return t.Cert != "" || t.Key != "" || t.CA != "" }

// Options configures a Node. Self, Listen and either TLS or Secret are required.
type Options struct {
	Self   HostID
	Listen string // IP and port to accept peers on; port 0 chooses a free one

	TLS    TLSFiles // mutual TLS when set
	Secret string   // shared secret for the HMAC handshake, used when TLS is not set

	CallTimeout   time.Duration // deadline of calls whose context has none, default 2s
	DialTimeout   time.Duration // connecting and authenticating, default 1s
	PingInterval  time.Duration // idle time after which a connection is probed, default 1s
	PingTimeout   time.Duration // time without data after which a probe closes the connection, default 300ms
	RedialBackoff time.Duration // time after a failed dial in which calls fail at once, default 100ms
	MaxInFlight   int           // handlers running at once per connection, default 1024

	Logger *slog.Logger // default slog.Default()
}

func (o Options) withDefaults() Options {
	defaults.Set(&o.CallTimeout, defaultCallTimeout)
	defaults.Set(&o.DialTimeout, defaultDialTimeout)
	defaults.Set(&o.PingInterval, defaultPingInterval)
	defaults.Set(&o.PingTimeout, defaultPingTimeout)
	defaults.Set(&o.RedialBackoff, defaultRedialBackoff)
	defaults.Set(&o.MaxInFlight, defaultMaxInFlight)
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	return o
}

func (o Options) validate() error {
	if o.Self == "" {
		return errors.New("peer: Self is required")
	}
	if o.Listen == "" {
		return errors.New("peer: Listen is required")
	}
	if !o.TLS.Enabled() && o.Secret == "" {
		return errors.New("peer: TLS files or a shared secret are required")
	}
	if o.TLS.Enabled() && (o.TLS.Cert == "" || o.TLS.Key == "" || o.TLS.CA == "") {
		return errors.New("peer: TLS needs a certificate, a key and an authority")
	}
	return nil
}

// stats counts events of all nodes in the process: refused (unauthenticated
// connections), accept_failures, dials, dial_failures, silent_closed, calls,
// served, busy, bytes_sent, bytes_received, tls_reloads, tls_reload_failures.
var stats = expvar.NewMap("peer")
