package settings

import (
	"fmt"
	"strings"
)

// ValidationError is one problem of the settings. It names the source of the
// value, so that an operator can correct all problems in one pass.
type ValidationError struct {
	File    string // settings file, or the name of the environment variable or flag
	Line    int    // line in the file; 0 for absent fields, variables and flags
	Field   string // dotted path, for example peers.heartbeat
	Value   string // value as written; hidden for secrets
	Problem string
	Allowed string // allowed values or range
}

// Error implements error.
func (e ValidationError) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d", e.Line)
	}
	b.WriteString(": ")
	if e.Field != "" {
		b.WriteString(e.Field + ": ")
	}
	b.WriteString(e.Problem)
	if e.Value != "" {
		fmt.Fprintf(&b, ": %q", e.Value)
	}
	if e.Allowed != "" {
		b.WriteString(" (allowed: " + e.Allowed + ")")
	}
	return b.String()
}

// ValidationErrors is the error returned by Load: all problems, ordered by Line.
type ValidationErrors []ValidationError

// Error implements error with one problem per line.
func (es ValidationErrors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}
