package jobs

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// partSizes are the numbers of items in a file's parts. In JSON they are
// run-length encoded as pairs of size and count, because nearly all parts have
// the same size and the index of unfinished jobs is read every second.
type partSizes []int

// maxParts bounds the memory that decoding a damaged object can allocate.
const maxParts = 1 << 20

// MarshalJSON implements json.Marshaler.
func (s partSizes) MarshalJSON() ([]byte, error) {
	pairs := [][2]int{}
	for _, size := range s {
		if last := len(pairs) - 1; last >= 0 && pairs[last][0] == size {
			pairs[last][1]++
			continue
		}
		pairs = append(pairs, [2]int{size, 1})
	}
	return json.Marshal(pairs)
}

// UnmarshalJSON implements json.Unmarshaler.
func (s *partSizes) UnmarshalJSON(raw []byte) error {
	var pairs [][2]int
	if err := json.Unmarshal(raw, &pairs); err != nil {
		return errors.Wrap(err, "decode part sizes")
	}
	*s = nil
	for _, p := range pairs {
		if p[1] < 0 || len(*s)+p[1] > maxParts {
			return errors.Newf("decode part sizes: count %d", p[1])
		}
		for range p[1] {
			*s = append(*s, p[0])
		}
	}
	return nil
}
