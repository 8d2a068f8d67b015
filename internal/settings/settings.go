// Package settings holds the YAML settings of one process. Checking is strict:
// unknown fields, wrong units and values out of range are errors, and all
// faults are reported at once.
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

// Host names this host.
type Host struct {
	Name       string  `yaml:"name"`
	Zone       string  `yaml:"zone"`        // availability zone
	Size       float64 `yaml:"size"`        // relative capacity, default 1, 0.1 to 100
	DataFolder string  `yaml:"data_folder"` // empty when the host has no disk
}

// Listen holds the addresses, each IP and port.
type Listen struct {
	Callers string `yaml:"callers"`
	Peers   string `yaml:"peers"`
	Admin   string `yaml:"admin"`
	Metrics string `yaml:"metrics"`
	TLS     TLS    `yaml:"tls"` // for the callers' address; off when empty
}

// TLS names PEM files, which are reread when they change.
type TLS struct {
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
	CA   string `yaml:"ca"` // for peers: the authority that signs all hosts' certificates
}

// Platform says where the platform's object API is.
type Platform struct {
	URL  string        `yaml:"url"`
	Poll time.Duration `yaml:"poll"` // default 1s, 100ms to 1m
}

// Peers lists other hosts to contact at start and how peers authenticate.
type Peers struct {
	Seeds  []string      `yaml:"seeds"`  // peer addresses
	Secret string        `yaml:"secret"` // shared secret, when TLS is off
	TLS    TLS           `yaml:"tls"`
	Beat   time.Duration `yaml:"heartbeat"` // default 500ms, 50ms to 10s
	Lease  time.Duration `yaml:"lease"`     // freshness lease, default 3s, 500ms to 60s
}

// Limits chooses the policy for rate and burst over hosts.
type Limits struct {
	Policy string        `yaml:"policy"` // lending (default), static, owner
	Wait   time.Duration `yaml:"wait"`   // longest wait for tokens, default 1s, 0 to 10s
}

// Balance chooses how servers are picked and whether batch work is preempted.
type Balance struct {
	Policy  string `yaml:"policy"`  // two_choices (default), round_robin, least_outstanding, random
	Preempt bool   `yaml:"preempt"` // cancel batch work for online work, default true
}

// Batch bounds batch work.
type Batch struct {
	Retention time.Duration `yaml:"retention"` // of results, default 720h
	Workers   int           `yaml:"workers"`   // items in flight per host, default 256, 1 to 4096
}

// Gateway bounds callers' requests.
type Gateway struct {
	MaxBody int64         `yaml:"max_body"` // bytes, default 4 MiB
	Timeout time.Duration `yaml:"timeout"`  // default deadline of a request, 60s
	Drain   time.Duration `yaml:"drain"`    // longest wait for open requests at shutdown, 30s
	Unready time.Duration `yaml:"unready"`  // not ready before draining starts, 2s
}

// Admin holds the first operator key; more are kept in the configuration.
type Admin struct {
	Key string `yaml:"key"`
}

// Log sets the log's form.
type Log struct {
	Format string `yaml:"format"` // json (default) or text
	Level  string `yaml:"level"`  // debug, info (default), warn, error
}

// Default returns the settings used for absent fields.
func Default() Settings {
	return Settings{
		Host:     Host{Size: 1},
		Platform: Platform{Poll: time.Second},
		Peers:    Peers{Beat: 500 * time.Millisecond, Lease: 3 * time.Second},
		Limits:   Limits{Policy: "lending", Wait: 2 * time.Second},
		Balance:  Balance{Policy: "two_choices", Preempt: true},
		Batch:    Batch{Retention: 720 * time.Hour, Workers: 256},
		Gateway:  Gateway{MaxBody: 4 << 20, Timeout: time.Minute, Drain: 30 * time.Second, Unready: 2 * time.Second},
		Log:      Log{Format: "json", Level: "info"},
	}
}
