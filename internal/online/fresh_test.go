package online_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/online"
)

// renewedConfig is a configuration that was too old, and is replaced by a fresh one
// while a request is checked: when it is asked whether it is fresh.
type renewedConfig struct {
	*fixture
	next *routing.Snapshot
}

func (c *renewedConfig) Fresh() bool {
	c.snapshot.Store(c.next)
	return true
}

// A key must be judged by the configuration that is fresh, not by the one before: a key
// that had been taken away was accepted when the new configuration arrived between the
// two checks. Routes are judged in the same way.
func TestRequestIsJudgedByTheFreshConfiguration(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	old := config(map[string]string{"k": "w"})
	renewed := func() *renewedConfig {
		f.snapshot.Store(old)
		return &renewedConfig{f, routing.New(2, append(routes(), route("new", routing.Idempotent, 1)), old.Workspaces, nil, map[string]string{"n": "w"})}
	}
	for key, status := range map[string]int{"k": http.StatusUnauthorized, "n": 0} {
		for _, path := range []string{"/get/1", "/new/1"} {
			_, _, _, refusal := online.Admit(renewed(), "h.example", path, key)
			is.Equal(statusOf(refusal), status)
		}
		_, refusal := online.Authenticate(renewed(), key)
		is.Equal(statusOf(refusal), status)
	}
}

func statusOf(r *online.Refusal) int {
	if r == nil {
		return 0
	}
	return r.Status
}
