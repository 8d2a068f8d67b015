// Package config defines the fleet's configuration: workspaces, keys, routes and
// backend servers, with one immutable snapshot per revision.
package config

// Snapshot is the complete configuration at one revision. It is immutable once
// published; a change creates a new snapshot with a larger revision.
type Snapshot struct {
	Revision   int64                `json:"revision"`
	Workspaces map[string]Workspace `json:"workspaces"`
	Keys       map[string]Key       `json:"keys"`   // by key id
	Routes     map[string]Route     `json:"routes"` // by name
	Servers    map[string]Server    `json:"servers"`
}

// Workspace is a tenant with its share of the fleet.
type Workspace struct {
	Name     string  `json:"name"`
	Weight   float64 `json:"weight"`    // relative share under contention, > 0
	Rate     float64 `json:"rate"`      // requests per second over all hosts
	Burst    float64 `json:"burst"`     // requests admitted at once over all hosts
	MaxQueue int     `json:"max_queue"` // waiting requests per host
	Note     string  `json:"note,omitempty"`
}

// Key is the API key of a caller or an operator. Only its hash is stored.
type Key struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Hash      string `json:"hash"`       // SHA-256 of the raw key, hex
	CreatedAt int64  `json:"created_at"` // Unix seconds
	// Operator marks a key of the operators' API. It belongs to no workspace and
	// is not accepted on the callers' API; KeyIndex enforces this on lookup.
	Operator bool   `json:"operator,omitempty"`
	Note     string `json:"note,omitempty"`
}

// RouteKind selects how a route's requests are handled.
type RouteKind string

const (
	RouteModel   RouteKind = "model"   // OpenAI-style requests, routed by model name
	RouteService RouteKind = "service" // any method and body under a path prefix
)

// Route maps a model or a path prefix to a pool of backend servers.
type Route struct {
	Name       string    `json:"name"`
	Kind       RouteKind `json:"kind"`
	Model      string    `json:"model,omitempty"`  // for RouteModel
	Prefix     string    `json:"prefix,omitempty"` // for RouteService, for example /alerts/
	Pool       string    `json:"pool"`             // pool of the servers, see Server.Pool
	Open       bool      `json:"open"`             // requests need no key
	Idempotent bool      `json:"idempotent"`       // requests may be retried
	TimeoutMS  int64     `json:"timeout_ms"`       // request timeout, 0 for the host's default
}

// Server is a backend server.
type Server struct {
	Name        string  `json:"name"`
	Pool        string  `json:"pool"`
	Address     string  `json:"address"` // IP and port
	Zone        string  `json:"zone"`
	Concurrency int     `json:"concurrency"` // initial value of the adaptive limit of in-flight requests
	Speed       float64 `json:"speed"`       // relative speed hint, 1 is average
	Leaving     bool    `json:"leaving"`
	Fencing     bool    `json:"fencing"` // rejects orders with an old fencing number
}

// EmptySnapshot returns an empty snapshot with revision 0.
func EmptySnapshot() *Snapshot {
	return &Snapshot{
		Workspaces: map[string]Workspace{},
		Keys:       map[string]Key{},
		Routes:     map[string]Route{},
		Servers:    map[string]Server{},
	}
}
