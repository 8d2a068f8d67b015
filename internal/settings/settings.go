// Package settings loads and validates the YAML settings of one host. Validation
// is strict: unknown fields, wrong units and values out of range are errors, and
// all of them are reported at once.
package settings

import "time"

// Settings is the settings file of one host.
type Settings struct {
	Host     Host     `yaml:"host"`
	Listen   Listen   `yaml:"listen"`
	Platform Platform `yaml:"platform"`
	Peers    Peers    `yaml:"peers"`
	Limits   Limits   `yaml:"limits"`
	Balance  Balance  `yaml:"balance"`
	Batch    Batch    `yaml:"batch"`
	Gateway  Gateway  `yaml:"gateway"`
	Admin    Admin    `yaml:"admin"`
	Log      Log      `yaml:"log"`
}

// Host identifies this host and describes its capacity and disk.
type Host struct {
	Name       string  `yaml:"name"`
	Zone       string  `yaml:"zone"`        // availability zone
	Size       float64 `yaml:"size"`        // relative capacity, default 1, 0.1 to 100
	DataFolder string  `yaml:"data_folder"` // empty when the host has no disk
}

// Listen holds the addresses that the host listens on, each as IP:port.
type Listen struct {
	Callers string `yaml:"callers"`
	Peers   string `yaml:"peers"`
	Admin   string `yaml:"admin"`
	Metrics string `yaml:"metrics"`
	TLS     TLS    `yaml:"tls"` // for the callers' address; off when empty
}

// TLS names PEM files, which are reloaded when they change.
type TLS struct {
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
	CA   string `yaml:"ca"` // for peers: the CA that signs the certificates of all hosts
}

// Platform configures access to the platform's object API.
type Platform struct {
	URL  string        `yaml:"url"`
	Poll time.Duration `yaml:"poll"` // polling interval, default 1s, 100ms to 1m
}

// Peers configures the connections between hosts and their authentication.
type Peers struct {
	Seeds             []string      `yaml:"seeds"`  // peer addresses to contact at start
	Secret            string        `yaml:"secret"` // shared secret, required without TLS
	TLS               TLS           `yaml:"tls"`
	HeartbeatInterval time.Duration `yaml:"heartbeat"` // interval between heartbeats, default 500ms, 50ms to 10s
	Lease             time.Duration `yaml:"lease"`     // how long a host admits without confirmation, default 3s, 500ms to 60s
}

// Limits configures how rate and burst are divided over hosts.
type Limits struct {
	Policy string        `yaml:"policy"` // lending (default), static, owner
	Wait   time.Duration `yaml:"wait"`   // longest wait of a request for tokens, default 2s, 0 to 10s
}

// Balance configures how servers are selected and whether batch work is
// preempted.
type Balance struct {
	Policy  string `yaml:"policy"`  // two_choices (default), round_robin, least_outstanding, random
	Preempt bool   `yaml:"preempt"` // cancel batch work when online requests wait, default true
}

// Batch limits batch work.
type Batch struct {
	Retention time.Duration `yaml:"retention"` // how long results stay readable, default 720h
	Workers   int           `yaml:"workers"`   // items in flight per host, default 256, 1 to 4096
}

// Gateway limits callers' requests and configures shutdown.
type Gateway struct {
	MaxBody int64         `yaml:"max_body"` // bytes, default 4 MiB
	Timeout time.Duration `yaml:"timeout"`  // deadline of a request whose route sets none, default 60s
	Drain   time.Duration `yaml:"drain"`    // longest wait for open requests at shutdown, default 30s
	Unready time.Duration `yaml:"unready"`  // time as not ready before draining starts, default 2s
}

// Admin holds the first operator key; more are kept in the configuration.
type Admin struct {
	Key string `yaml:"key"`
}

// Log configures the format and minimum level of log lines.
type Log struct {
	Format string `yaml:"format"` // json (default) or text
	Level  string `yaml:"level"`  // debug, info (default), warn, error
}

// Default returns the settings with the default of each field.
func Default() Settings {
	return Settings{
		Host:     Host{Size: 1},
		Platform: Platform{Poll: time.Second},
		Peers:    Peers{HeartbeatInterval: 500 * time.Millisecond, Lease: 3 * time.Second},
		Limits:   Limits{Policy: "lending", Wait: 2 * time.Second},
		Balance:  Balance{Policy: "two_choices", Preempt: true},
		Batch:    Batch{Retention: 720 * time.Hour, Workers: 256},
		Gateway:  Gateway{MaxBody: 4 << 20, Timeout: time.Minute, Drain: 30 * time.Second, Unready: 2 * time.Second},
		Log:      Log{Format: "json", Level: "info"},
	}
}
