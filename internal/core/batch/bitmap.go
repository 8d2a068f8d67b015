package batch

import "math/bits"

// Bitmap is a set of item numbers within a chunk. It encodes as base64 in JSON.
type Bitmap []byte

// Has reports whether the item is in the set.
func (b Bitmap) Has(item int) bool {
	i := item / 8
	return i < len(b) && b[i]&(1<<(item%8)) != 0
}

// With returns a copy of the set with the items added.
func (b Bitmap) With(items ...int) Bitmap {
	out := append(Bitmap(nil), b...)
	for _, item := range items {
		for len(out) <= item/8 {
			out = append(out, 0)
		}
		out[item/8] |= 1 << (item % 8)
	}
	return out
}

// Count returns the size of the set.
func (b Bitmap) Count() int {
	n := 0
	for _, v := range b {
		n += bits.OnesCount8(v)
	}
	return n
}

// Contains reports whether every item of other is in the set.
func (b Bitmap) Contains(other Bitmap) bool {
	for i, v := range other {
		if i >= len(b) && v != 0 || i < len(b) && v&^b[i] != 0 {
			return false
		}
	}
	return true
}

// Without returns a copy of the set without the item.
func (b Bitmap) Without(item int) Bitmap {
	out := append(Bitmap(nil), b...)
	if item/8 < len(out) {
		out[item/8] &^= 1 << (item % 8)
	}
	return out
}
