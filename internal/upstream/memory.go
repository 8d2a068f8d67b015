package upstream

import (
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// MaxAnswerBytes bounds an answer that is held in memory until it is complete.
	MaxAnswerBytes = 4 << 20
	// uncountedBytes of each answer are not counted, so that ordinary answers are held
	// whatever the others take.
	uncountedBytes = 64 << 10
	// defaultAnswerMemory bounds what all answers take beyond uncountedBytes each.
	defaultAnswerMemory = 32 << 20
)

// Reasons why an answer can't be held. Neither is a lost connection.
var (
	// ErrAnswerTooLarge reports an answer of more than MaxAnswerBytes.
	ErrAnswerTooLarge = errors.Newf("the answer has more than %d bytes", MaxAnswerBytes)
	// ErrAnswerMemory reports that the large answers that are held take all memory for
	// answers. It says nothing about the server.
	ErrAnswerMemory = errors.New("large answers take all memory for answers")
)

// answerMemory is the memory that the answers of a client share.
type answerMemory struct {
	limit int64
	taken atomic.Int64
}

// take changes what is taken by a number of bytes. It reports false, and changes
// nothing, if that would exceed the limit.
func (m *answerMemory) take(bytes int64) bool {
	if m.taken.Add(bytes) <= m.limit || bytes <= 0 {
		return true
	}
	m.taken.Add(-bytes)
	return false
}

// HeldAnswer counts the bytes that are held of one answer. It is safe for concurrent
// use.
type HeldAnswer struct {
	memory   *answerMemory
	mu       sync.Mutex
	counted  int64 // bytes taken of the memory
	released bool
}

// Hold returns the count of an answer of which nothing is held yet. Release it.
func (c *Client) Hold() *HeldAnswer { return &HeldAnswer{memory: &c.answers} }

// Resize is called before an answer takes a number of bytes in all. If it returns
// ErrAnswerTooLarge or ErrAnswerMemory, the answer must not take more than before.
func (h *HeldAnswer) Resize(bytes int) error {
	if bytes > MaxAnswerBytes {
		return ErrAnswerTooLarge
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	counted := max(int64(bytes)-uncountedBytes, 0)
	if counted > h.counted && (h.released || !h.memory.take(counted-h.counted)) {
		return ErrAnswerMemory
	}
	if counted < h.counted {
		h.memory.take(counted - h.counted)
	}
	h.counted = counted
	return nil
}

// Release gives the memory back. The answer must not grow afterwards.
func (h *HeldAnswer) Release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.memory.take(-h.counted)
	h.counted, h.released = 0, true
}
