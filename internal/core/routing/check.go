package routing

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Finding is a fault of a configuration, or a part of it that has no effect.
type Finding struct {
	Place   string `json:"place"`
	Problem string `json:"problem"`
	// Warning is set if requests are served as the configuration says all the same.
	Warning bool `json:"warning"`
}

// String formats a finding for text output.
func (f Finding) String() string {
	level := "error"
	if f.Warning {
		level = "warning"
	}
	return fmt.Sprintf("%s: %s: %s", level, f.Place, f.Problem)
}

// checker collects findings.
type checker struct {
	snapshot *Snapshot
	found    []Finding
}

func (c *checker) fault(place, format string, args ...any) {
	c.found = append(c.found, Finding{place, fmt.Sprintf(format, args...), false})
}

func (c *checker) warn(place, format string, args ...any) {
	c.found = append(c.found, Finding{place, fmt.Sprintf(format, args...), true})
}

// Check finds entries of a decoded configuration that have no effect, or that contradict
// each other.
func Check(s *Snapshot) []Finding {
	c := &checker{snapshot: s, found: append([]Finding{}, s.Unused...)}
	names, matches := map[string]string{}, map[string]string{}
	for i := range s.Routes {
		r := &s.Routes[i]
		place := routePlace(i, r)
		if first, ok := names[r.Name]; ok {
			c.fault(place, "%s has the same name", first)
		} else {
			names[r.Name] = place
		}
		at := r.Host + " " + r.Prefix
		if first, ok := matches[at]; ok {
			c.fault(place, "never matches: %s has the same host and prefix", first)
		} else {
			matches[at] = place
		}
		c.checkRoute(place, r)
	}
	for _, name := range slices.Sorted(maps.Keys(s.Workspaces)) {
		c.checkWorkspace("workspace "+name, s.Workspaces[name])
	}
	return c.found
}

func routePlace(i int, r *Route) string { return fmt.Sprintf("routes[%d] (%s)", i, r.Name) }

func (c *checker) checkRoute(place string, r *Route) {
	switch {
	case r.Host == "":
		c.fault(place, "names no host, so no request matches")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		c.fault(place, "the prefix %q does not begin and end with a slash", r.Prefix)
	}
	c.checkTargets(place, r)
	c.checkTimes(place, r)
	if r.Resumable && r.Kind != Stream {
		c.warn(place, "only streams are resumable, not requests of kind %s", r.Kind)
	}
	if !r.Public && len(c.snapshot.workspaceByKey) == 0 {
		c.fault(place, "needs a key, and no workspace holds one")
	}
}

// checkTargets checks the services that share a route's requests.
func (c *checker) checkTargets(place string, r *Route) {
	total := 0
	for i, t := range r.Targets {
		total += max(t.Weight, 0)
		at := fmt.Sprintf("%s target %d (%s)", place, i, t.Service)
		if _, listed := c.snapshot.Services[t.Service]; !listed && len(c.snapshot.Services) > 0 {
			c.fault(at, "is not among the services")
		}
		switch {
		case t.Weight < 0:
			c.fault(at, "the weight %d is negative", t.Weight)
		case t.Weight == 0:
			c.warn(at, "gets no requests at weight 0")
		}
	}
	if total == 0 {
		c.fault(place, "no target has a weight, so %s gets all requests", r.Targets[0].Service)
	}
}

func (c *checker) checkTimes(place string, r *Route) {
	if r.Timeout > 0 && r.Objective > r.Timeout {
		c.fault(place, "the objective %v is above the timeout %v", r.Objective, r.Timeout)
	}
	if r.Timeout > 0 && r.GapObjective > r.Timeout {
		c.fault(place, "the gap objective %v is above the timeout %v", r.GapObjective, r.Timeout)
	}
	if r.Kind == Batch && r.Completion > r.Retention {
		c.fault(place, "results are due %v after the submission, and items may be given up after %v", r.Completion, r.Retention)
	}
}

func (c *checker) checkWorkspace(place string, w Workspace) {
	switch {
	case w.Rate < 0 || w.Burst < 0:
		c.fault(place, "the rate %g or the burst %g is negative", w.Rate, w.Burst)
	case w.Rate == 0 && w.Burst > 0:
		c.warn(place, "the burst %g has no effect without a rate", w.Burst)
	case w.Rate > 0 && w.Rate+w.Burst < 1:
		c.warn(place, "at the rate %g and the burst %g its first request waits for over a second", w.Rate, w.Burst)
	}
}

// Change is a difference between two configurations.
type Change struct {
	Place string `json:"place"`
	Field string `json:"field,omitempty"` // empty if the whole entry was added or removed
	From  string `json:"from,omitempty"`
	To    string `json:"to,omitempty"`
}

// String formats a change for text output.
func (c Change) String() string {
	switch {
	case c.Field == "" && c.From == "":
		return fmt.Sprintf("+ %s: %s", c.Place, c.To)
	case c.Field == "":
		return fmt.Sprintf("- %s: %s", c.Place, c.From)
	}
	return fmt.Sprintf("~ %s: %s %s -> %s", c.Place, c.Field, cmp.Or(c.From, "none"), cmp.Or(c.To, "none"))
}

// Diff returns what a configuration changes, in order of routes, services, workspaces and
// limits. Keys are counted and never shown.
func Diff(from, to *Snapshot) []Change {
	var out []Change
	out = append(out, diffEntries("route", from.routeFields(), to.routeFields())...)
	out = append(out, diffEntries("service", from.serviceFields(), to.serviceFields())...)
	out = append(out, diffEntries("workspace", from.workspaceFields(), to.workspaceFields())...)
	out = append(out, diffKeys(from, to)...)
	return append(out, diffFields("limits", from.limitFields(), to.limitFields())...)
}

// field is one field of an entry as text.
type field struct{ name, value string }

func fieldsOf(pairs ...any) (out []field) {
	for i := 0; i+1 < len(pairs); i += 2 {
		out = append(out, field{pairs[i].(string), fmt.Sprint(pairs[i+1])})
	}
	return out
}

func (s *Snapshot) routeFields() map[string][]field {
	out := map[string][]field{}
	for i := range s.Routes {
		r := &s.Routes[i]
		var targets []string
		for _, t := range r.Targets {
			targets = append(targets, fmt.Sprintf("%s:%d", t.Service, t.Weight))
		}
		out[r.Name] = fieldsOf("host", r.Host, "prefix", r.Prefix, "kind", r.Kind, "timeout", r.Timeout, "objective", r.Objective,
			"gap objective", r.GapObjective, "priority", r.Priority, "public", r.Public, "resumable", r.Resumable,
			"attempts", r.MaxAttempts, "targets", strings.Join(targets, " "), "completion", r.Completion, "retention", r.Retention)
	}
	return out
}

func (s *Snapshot) serviceFields() map[string][]field {
	out := map[string][]field{}
	for name, v := range s.Services {
		out[name] = fieldsOf("connections", v.MaxConnections, "cold rate", v.ColdRate, "cold time", v.ColdTime)
	}
	return out
}

func (s *Snapshot) workspaceFields() map[string][]field {
	out := map[string][]field{}
	for name, w := range s.Workspaces {
		priority := ""
		if w.Priority != nil {
			priority = fmt.Sprint(*w.Priority)
		}
		out[name] = fieldsOf("rate", w.Rate, "burst", w.Burst, "priority", priority)
	}
	return out
}

func (s *Snapshot) limitFields() []field {
	return fieldsOf("body bytes", s.MaxBodyBytes, "header bytes", s.MaxHeaderBytes, "header timeout", s.HeaderTimeout, "idle timeout", s.IdleTimeout)
}

func diffEntries(kind string, from, to map[string][]field) (out []Change) {
	names := maps.Clone(from)
	maps.Copy(names, to)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		place := kind + " " + name
		before, had := from[name]
		after, has := to[name]
		switch {
		case !had:
			out = append(out, Change{Place: place, To: joinFields(after)})
		case !has:
			out = append(out, Change{Place: place, From: joinFields(before)})
		default:
			out = append(out, diffFields(place, before, after)...)
		}
	}
	return out
}

func diffFields(place string, from, to []field) (out []Change) {
	for i, f := range from {
		if f.value != to[i].value {
			out = append(out, Change{place, f.name, f.value, to[i].value})
		}
	}
	return out
}

func joinFields(list []field) string {
	var out []string
	for _, f := range list {
		if f.value != "" {
			out = append(out, f.name+" "+f.value)
		}
	}
	return strings.Join(out, ", ")
}

// diffKeys counts the keys that are added to and removed from each workspace.
func diffKeys(from, to *Snapshot) (out []Change) {
	added, removed := map[string]int{}, map[string]int{}
	for key, workspace := range to.workspaceByKey {
		if from.workspaceByKey[key] != workspace {
			added[workspace]++
		}
	}
	for key, workspace := range from.workspaceByKey {
		if to.workspaceByKey[key] != workspace {
			removed[workspace]++
		}
	}
	names := maps.Clone(added)
	maps.Copy(names, removed)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		out = append(out, Change{"workspace " + name, "keys", fmt.Sprintf("%d removed", removed[name]), fmt.Sprintf("%d added", added[name])})
	}
	return out
}
