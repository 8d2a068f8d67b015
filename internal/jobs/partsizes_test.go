package jobs

import (
	"encoding/json"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Guards against part sizes that change when encoded and decoded.
func TestPartSizesJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := partSizes(rapid.SliceOf(rapid.IntRange(0, 3)).Draw(t, "sizes"))
		raw, err := json.Marshal(in)
		var out partSizes
		if err != nil || json.Unmarshal(raw, &out) != nil || !slices.Equal(in, out) {
			t.Fatalf("%v became %v by %s", in, out, raw)
		}
	})
}
