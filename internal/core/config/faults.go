package config

import (
	"fmt"
	"strings"
)

// Fault is a validation error of a snapshot or table. File, Row and Column are
// set for tables only.
type Fault struct {
	File    string `json:"file,omitempty"`
	Row     int    `json:"row,omitempty"`    // line of the file; the header is line 1
	Column  string `json:"column,omitempty"` // column name of the table
	Object  string `json:"object,omitempty"` // workspace, key, route or server
	Name    string `json:"name,omitempty"`
	Field   string `json:"field,omitempty"`
	Value   string `json:"value,omitempty"`
	Problem string `json:"problem"`
	Allowed string `json:"allowed,omitempty"` // allowed values or range
}

// Error implements error.
func (f Fault) Error() string {
	text := f.location() + f.Problem
	if f.Value != "" {
		text += fmt.Sprintf(": %q", f.Value)
	}
	if f.Allowed != "" {
		text += " (allowed: " + f.Allowed + ")"
	}
	return text
}

func (f Fault) location() string {
	var parts []string
	if f.File != "" {
		parts = append(parts, f.File)
	}
	if f.Row > 0 {
		parts = append(parts, fmt.Sprintf("row %d", f.Row))
	}
	if f.Column != "" {
		parts = append(parts, "column "+f.Column)
	}
	if f.Object != "" {
		parts = append(parts, strings.TrimSpace(f.Object+" "+f.Name))
	}
	if f.Field != "" {
		parts = append(parts, f.Field)
	}
	if len(parts) == 0 {
		return ""
	}
	return strings.Join(parts, ", ") + ": "
}

// Faults is an error that contains all validation errors found.
type Faults []Fault

// Error returns one fault per line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// orNil returns the faults as an error, or nil if there are none.
func (fs Faults) orNil() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}
