// Package routing models the operator's configuration for entry hosts: routes by
// host name and path prefix, workspaces and their keys. A snapshot is immutable.
package routing

import (
	"crypto/sha256"
	"slices"
	"strings"
	"time"
)

// Kind determines how a route's requests are handled and whether they may be
// repeated.
type Kind int

// Kinds of routes.
const (
	Idempotent Kind = iota // one response, may run more than once
	AtMostOnce             // one response, runs at most once
	Stream                 // a stream of events
	Batch                  // jobs whose items run as streams later
)

// String returns the kind's name in logs and metrics.
func (k Kind) String() string {
	return [...]string{"idempotent", "at_most_once", "stream", "batch"}[k]
}

// Target is a service that gets a share of a route's requests.
type Target struct {
	Service string
	Weight  int // relative to the other targets, at least 0
}

// Route maps requests to services.
type Route struct {
	Name         string
	Host         string // lower case, without a port
	Prefix       string // begins and ends with a slash
	Kind         Kind
	Timeout      time.Duration // maximum time until the end of the response
	Objective    time.Duration // maximum time to the response or first event that counts as on time
	GapObjective time.Duration // maximum pause between events that counts as on time
	Priority     int           // 0 is the most urgent
	Public       bool          // needs no key
	Resumable    bool          // a stream may continue at another server
	MaxAttempts  int           // servers that one request may be sent to, at least 1
	Targets      []Target      // at least one
	Completion   time.Duration // Batch: time after the submission within which results are due
	Retention    time.Duration // Batch: time after the submission at which an unfinished item may be given up
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable) || r.Kind == Batch
}

// Service returns the service of the target that a uniform random number from
// [0, 1) selects by weight.
func (r *Route) Service(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	left := draw * float64(total)
	for _, t := range r.Targets {
		if left -= float64(max(t.Weight, 0)); left < 0 {
			return t.Service
		}
	}
	return r.Targets[0].Service
}

// HasTarget reports whether Service may select the service.
func (r *Route) HasTarget(service string) bool {
	weighted := slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Weight > 0 })
	if !weighted {
		return r.Targets[0].Service == service
	}
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service && t.Weight > 0 })
}

// Workspace is a tenant's quota.
type Workspace struct {
	Name     string
	Priority *int    // overrides the route's priority when set
	Rate     float64 // requests per second over all hosts, 0 means no limit
	Burst    float64 // requests admitted at once over all hosts
}

// Service is a group of backend servers.
type Service struct {
	Name           string
	MaxConnections int // per server over all hosts, 0 when unknown
	// ColdRate is the number of requests per second that a server takes within ColdTime
	// of its start; 0 if its servers are never cold.
	ColdRate float64
	ColdTime time.Duration
}

// keyHash keeps callers' keys out of memory dumps and logs.
type keyHash [sha256.Size]byte

// Snapshot is one version of the configuration.
type Snapshot struct {
	Version    int64
	Routes     []Route
	Workspaces map[string]Workspace
	Services   map[string]Service
	// MaxBodyBytes bounds the body of a request; 0 when it is not configured.
	MaxBodyBytes int64
	// MaxHeaderBytes bounds the header of a request; 0 when it is not configured.
	MaxHeaderBytes int
	// HeaderTimeout is the time that callers may take for the header of a request, and
	// IdleTimeout how long their connections may be idle; 0 when not configured.
	HeaderTimeout, IdleTimeout time.Duration
	// Unused holds what the decoder could not use, such as entries that later ones replaced.
	Unused []Finding

	byHost         map[string][]int // indexes of Routes, longest prefix first
	workspaceByKey map[keyHash]string
}

// New indexes a configuration. workspaceByKey maps raw keys to workspace names.
func New(version int64, routes []Route, workspaces map[string]Workspace, services map[string]Service, workspaceByKey map[string]string) *Snapshot {
	s := &Snapshot{
		Version: version, Routes: routes, Workspaces: workspaces, Services: services,
		byHost: map[string][]int{}, workspaceByKey: make(map[keyHash]string, len(workspaceByKey)),
	}
	for i := range routes {
		s.byHost[routes[i].Host] = append(s.byHost[routes[i].Host], i)
	}
	for _, list := range s.byHost {
		slices.SortStableFunc(list, func(a, b int) int { return len(routes[b].Prefix) - len(routes[a].Prefix) })
	}
	for key, workspace := range workspaceByKey {
		s.workspaceByKey[sha256.Sum256([]byte(key))] = workspace
	}
	return s
}

// Match returns the route for the host name with the longest prefix of the path, or nil.
func (s *Snapshot) Match(host, path string) *Route {
	for _, i := range s.byHost[HostName(host)] {
		if strings.HasPrefix(path, s.Routes[i].Prefix) {
			return &s.Routes[i]
		}
	}
	return nil
}

// ByName returns the route with the name, or nil.
func (s *Snapshot) ByName(name string) *Route {
	for i := range s.Routes {
		if s.Routes[i].Name == name {
			return &s.Routes[i]
		}
	}
	return nil
}

// HasBatch reports whether the host name has a route of kind Batch.
func (s *Snapshot) HasBatch(host string) bool {
	return slices.ContainsFunc(s.byHost[HostName(host)], func(i int) bool { return s.Routes[i].Kind == Batch })
}

// WorkspaceForKey returns the workspace that holds a key.
func (s *Snapshot) WorkspaceForKey(key string) (Workspace, bool) {
	if key == "" {
		return Workspace{}, false
	}
	name, ok := s.workspaceByKey[sha256.Sum256([]byte(key))]
	if !ok {
		return Workspace{}, false
	}
	return s.Workspaces[name], true
}

// Priority returns the priority of a workspace's requests on a route.
func Priority(r *Route, w Workspace) int {
	if w.Priority != nil {
		return *w.Priority
	}
	return r.Priority
}

// HostName returns a host header's name in lower case without its port.
func HostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
