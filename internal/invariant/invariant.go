// Package invariant checks conditions that must always hold. A violation is
// counted in expvar and logged; with RAGWORTSTEP_INVARIANT=exit it ends the
// process.
package invariant

import (
	"expvar"
	"log/slog"
	"os"
)

// exitStatus is the process's exit status after a violation.
const exitStatus = 70

var violations = expvar.NewMap("invariant_violations")

// Check counts and logs a violation of the named invariant when ok is false.
// step is the operation and peer the host, server or route in which it occurred;
// args are further log attributes. Check returns ok.
func Check(ok bool, name, step, peer string, args ...any) bool {
	if ok {
		return true
	}
	violations.Add(name, 1)
	slog.Error("invariant violated", append([]any{"invariant", name, "step", step, "peer", peer}, args...)...)
	if os.Getenv("RAGWORTSTEP_INVARIANT") == "exit" {
		os.Exit(exitStatus)
	}
	return false
}
