// Package orders decides which orders the order controller sends to backend
// servers. Package core/lease decides which host acts as the controller.
package orders

import (
	"fmt"
	"strings"
	"unicode"
)

// Kind is the aspect of a backend server that an order changes.
type Kind string

// Kinds of orders, with the fields of Order that they use.
const (
	LoadModel   Kind = "load_model"   // Model, optionally Version
	LoadAdapter Kind = "load_adapter" // Model and Adapter, optionally Version
	LoadVersion Kind = "load_version" // Model and Version
	SetRole     Kind = "set_role"     // Role
)

// maxFieldLength bounds each text field of an order, in bytes.
const maxFieldLength = 200

// Order is the desired state of one aspect of one backend server.
type Order struct {
	Server  string `json:"server"`
	Kind    Kind   `json:"kind"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"` // for example prefill, decode, both
}

// Slot identifies the aspect of the server that the order sets. A later order for
// the same slot replaces it. Each model and each adapter has its own slots.
func (o Order) Slot() string {
	switch o.Kind {
	case LoadModel, LoadVersion:
		return string(o.Kind) + ":" + o.Model
	case LoadAdapter:
		return string(o.Kind) + ":" + o.Adapter
	default:
		return string(o.Kind)
	}
}

// InvalidError is returned for an order with a missing, unused or invalid field.
type InvalidError struct {
	Field   string
	Problem string
}

// Error implements error.
func (e *InvalidError) Error() string { return fmt.Sprintf("order: %s: %s", e.Field, e.Problem) }

// Validate checks the fields of an order against its kind.
func (o Order) Validate() error {
	needs := map[Kind][]string{
		LoadModel: {"model"}, LoadAdapter: {"model", "adapter"}, LoadVersion: {"model", "version"}, SetRole: {"role"},
	}
	allows := map[Kind]string{LoadModel: "model version", LoadAdapter: "model adapter version", LoadVersion: "model version", SetRole: "role"}
	required, ok := needs[o.Kind]
	if !ok {
		return &InvalidError{"kind", fmt.Sprintf("%q is not load_model, load_adapter, load_version or set_role", o.Kind)}
	}
	if o.Server == "" {
		return &InvalidError{"server", "missing"}
	}
	values := map[string]string{"model": o.Model, "adapter": o.Adapter, "version": o.Version, "role": o.Role}
	for _, name := range required {
		if values[name] == "" {
			return &InvalidError{name, "missing for " + string(o.Kind)}
		}
	}
	return o.checkValues(values, strings.Fields(allows[o.Kind]))
}

func (o Order) checkValues(values map[string]string, allowed []string) error {
	for _, name := range []string{"model", "adapter", "version", "role"} {
		value := values[name]
		known := false
		for _, a := range allowed {
			known = known || a == name
		}
		switch {
		case value != "" && !known:
			return &InvalidError{name, "not used by " + string(o.Kind)}
		case len(value) > maxFieldLength || strings.ContainsFunc(value, unicode.IsSpace):
			return &InvalidError{name, fmt.Sprintf("longer than %d bytes, or contains a space", maxFieldLength)}
		}
	}
	return nil
}

// Entry is an order with its progress. It is pending while Applied is less than
// Generation.
type Entry struct {
	Order
	Generation uint64 `json:"generation"` // incremented by each change of the order
	Applied    uint64 `json:"applied"`    // generation that the server confirmed
	Epoch      uint64 `json:"epoch"`      // fencing number of the confirmed order
	Failures   int    `json:"failures"`   // failed attempts since the last change or success
	Error      string `json:"error,omitempty"`
}

// Pending reports whether the server has not confirmed the latest order.
func (e Entry) Pending() bool { return e.Applied < e.Generation }
