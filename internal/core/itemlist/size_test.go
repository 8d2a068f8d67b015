package itemlist

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"
)

// TestEncodedSize guards against segments that are larger than they are taken for, which
// the store would refuse each time.
func TestEncodedSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.OneOf(rapid.String(), rapid.Map(rapid.SliceOf(rapid.Byte()), func(b []byte) string { return string(b) })).Draw(t, "text")
		raw, err := json.Marshal(text)
		if err != nil {
			t.Fatal(err)
		}
		if got := EncodedSize(text); got != len(raw)-len(`""`) {
			t.Fatalf("%d for %q, %d as JSON", got, text, len(raw))
		}
	})
}
