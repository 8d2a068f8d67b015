package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Action is the kind of change of an object between two snapshots.
type Action string

const (
	Added   Action = "added"
	Removed Action = "removed"
	Edited  Action = "edited"
)

// FieldChange is the change of one field, with values formatted as text.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// ObjectChange is the change of one object of the configuration.
type ObjectChange struct {
	Object string        `json:"object"` // workspace, key, route or server
	Name   string        `json:"name"`
	Action Action        `json:"action"`
	Fields []FieldChange `json:"fields,omitempty"`
}

// String formats the change as one line, for example
// "~ workspace alerts: rate 10 -> 20".
func (c ObjectChange) String() string {
	sign := map[Action]string{Added: "+", Removed: "-", Edited: "~"}[c.Action]
	line := fmt.Sprintf("%s %s %s", sign, c.Object, c.Name)
	var parts []string
	for _, f := range c.Fields {
		parts = append(parts, f.format(c.Action))
	}
	if len(parts) > 0 {
		line += ": " + strings.Join(parts, ", ")
	}
	return line
}

func (f FieldChange) format(action Action) string {
	if action == Edited {
		return fmt.Sprintf("%s %s -> %s", f.Field, quoteIfNeeded(f.Old), quoteIfNeeded(f.New))
	}
	return fmt.Sprintf("%s %s", f.Field, quoteIfNeeded(f.New+f.Old))
}

// quoteIfNeeded quotes empty values and those with separators or quotes.
func quoteIfNeeded(value string) string {
	if value == "" || strings.ContainsAny(value, " ,\n\"") {
		return fmt.Sprintf("%q", value)
	}
	return value
}

// Change is one entry of the configuration's history.
type Change struct {
	Revision int64          `json:"revision"`
	Author   string         `json:"author"` // id of the operator key
	Unix     int64          `json:"unix"`   // time of the change, Unix seconds
	Note     string         `json:"note,omitempty"`
	Summary  string         `json:"summary"`           // result of Summarize
	Changes  []ObjectChange `json:"changes,omitempty"` // at most MaxChanges
}

// MaxChanges bounds the changes stored with one history entry. A change takes a
// few hundred bytes and a table can change thousands of rows, which would exceed
// the platform's limit of 1 MB for one value.
const MaxChanges = 500

// NewChange returns the history entry for the change from old to next. unix is
// its time in Unix seconds.
func NewChange(old, next *Snapshot, author, note string, unix int64) Change {
	changes := Diff(old, next)
	return Change{
		Revision: next.Revision, Author: author, Unix: unix, Note: note,
		Summary: Summarize(changes), Changes: changes[:min(len(changes), MaxChanges)],
	}
}

// maxSummaryChanges is how many changes a summary lists; it only counts the rest.
const maxSummaryChanges = 5

// Summarize lists the first changes and the number of remaining ones on one line.
func Summarize(changes []ObjectChange) string {
	if len(changes) == 0 {
		return "no change"
	}
	var lines []string
	for _, c := range changes[:min(len(changes), maxSummaryChanges)] {
		lines = append(lines, c.String())
	}
	if more := len(changes) - maxSummaryChanges; more > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(lines, "; ")
}

// Diff returns the changes from old to next, ordered by kind of object and name.
// It omits the hashes of keys.
func Diff(old, next *Snapshot) []ObjectChange {
	var out []ObjectChange
	out = append(out, diffMap("workspace", old.Workspaces, next.Workspaces, workspaceFields)...)
	out = append(out, diffMap("key", old.Keys, next.Keys, keyFields)...)
	out = append(out, diffMap("route", old.Routes, next.Routes, routeFields)...)
	out = append(out, diffMap("server", old.Servers, next.Servers, serverFields)...)
	return out
}

func diffMap[T comparable](object string, old, next map[string]T, fields func(T) []FieldChange) []ObjectChange {
	var out []ObjectChange
	for name, before := range old {
		after, has := next[name]
		if !has || before != after {
			out = append(out, diffObject(object, name, true, has, fields(before), fields(after)))
		}
	}
	for name, after := range next {
		if before, had := old[name]; !had {
			out = append(out, diffObject(object, name, false, true, fields(before), fields(after)))
		}
	}
	slices.SortFunc(out, func(a, b ObjectChange) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// diffObject compares the field lists of one object, in which FieldChange.New
// holds the value. Empty fields of an added object are omitted.
func diffObject(object, name string, had, has bool, before, after []FieldChange) ObjectChange {
	c := ObjectChange{Object: object, Name: name}
	switch {
	case !had:
		c.Action = Added
		for _, f := range after {
			if f.New != "" && f.New != "false" {
				c.Fields = append(c.Fields, f)
			}
		}
	case !has:
		c.Action = Removed
	default:
		c.Action = Edited
		for i := range after {
			if before[i].New != after[i].New {
				c.Fields = append(c.Fields, FieldChange{Field: after[i].Field, Old: before[i].New, New: after[i].New})
			}
		}
	}
	return c
}

func field(name string, value any) FieldChange {
	if v, ok := value.(float64); ok {
		return FieldChange{Field: name, New: formatNumber(v)}
	}
	return FieldChange{Field: name, New: fmt.Sprint(value)}
}

func workspaceFields(w Workspace) []FieldChange {
	return []FieldChange{
		field("weight", w.Weight), field("rate", w.Rate), field("burst", w.Burst),
		field("max_queue", w.MaxQueue), field("note", w.Note),
	}
}

func keyFields(k Key) []FieldChange {
	return []FieldChange{field("workspace", k.Workspace), field("operator", k.Operator), field("note", k.Note)}
}

func routeFields(r Route) []FieldChange {
	return []FieldChange{
		field("kind", r.Kind), field("model", r.Model), field("prefix", r.Prefix), field("pool", r.Pool),
		field("open", r.Open), field("idempotent", r.Idempotent), field("timeout_ms", r.TimeoutMS),
	}
}

func serverFields(v Server) []FieldChange {
	return []FieldChange{
		field("pool", v.Pool), field("address", v.Address), field("zone", v.Zone), field("concurrency", v.Concurrency),
		field("speed", v.Speed), field("leaving", v.Leaving), field("fencing", v.Fencing),
	}
}
