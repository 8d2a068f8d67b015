package settings

import (
	"fmt"
	"strings"
)

// Fault is one problem of the settings. Every fault names where the value came
// from, so that an operator can correct all of them in one pass.
type Fault struct {
	File    string // settings file, or the name of the variable or flag
	Line    int    // line in the file, 0 for absent fields, variables and flags
	Field   string // dotted path, for example peers.heartbeat
	Value   string // value as written; hidden for secrets
	Problem string
	Allowed string // allowed values or range
}

// Error implements error.
func (f Fault) Error() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	b.WriteString(": ")
	if f.Field != "" {
		b.WriteString(f.Field + ": ")
	}
	b.WriteString(f.Problem)
	if f.Value != "" {
		fmt.Fprintf(&b, ": %q", f.Value)
	}
	if f.Allowed != "" {
		b.WriteString(" (allowed: " + f.Allowed + ")")
	}
	return b.String()
}

// Faults is the error of Load: all faults, in the order of the file.
type Faults []Fault

// Error implements error with one fault per line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}
