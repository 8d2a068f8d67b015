package defaults_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/defaults"
)

// Guards against defaults that replace a value set by the caller, such as a
// negative duration that disables a feature.
func TestOnlyMissingOptionsAreFilledIn(t *testing.T) {
	is := is.New(t)
	name, wait, limit := "", -time.Second, -time.Second
	defaults.Set(&name, "a")
	defaults.Set(&name, "b")
	defaults.Set(&wait, time.Minute)
	defaults.Positive(&limit, time.Minute)
	defaults.Positive(&limit, time.Hour)
	is.Equal(name, "a")
	is.Equal(wait, -time.Second)
	is.Equal(limit, time.Minute)
}
