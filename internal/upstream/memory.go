package upstream

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/memory"
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
	// ErrAnswerTooLarge reports an answer of more bytes than one may have, which are
	// MaxAnswerBytes for one of a Client.
	ErrAnswerTooLarge = errors.New("the answer has too many bytes")
	// ErrAnswerMemory reports that the large answers that are held take all memory for
	// answers. It says nothing about the server.
	ErrAnswerMemory = errors.New("large answers take all memory for answers")
)

// answerMemory is the memory that the answers of a client share. Answers never yield:
// their requests have run.
type answerMemory struct {
	largest int // bytes of one answer
	mu      sync.Mutex
	account *memory.Account
}

// HeldAnswer counts the bytes that are held of one answer. It is safe for concurrent
// use.
type HeldAnswer struct {
	memory   *answerMemory
	mu       sync.Mutex
	holder   memory.Holder // guarded by the memory's lock
	counted  int64         // bytes taken of the memory
	released bool
}

// Hold returns the count of an answer of which nothing is held yet. Release it.
func (c *Client) Hold() *HeldAnswer { return &HeldAnswer{memory: &c.answers} }

// Resize is called before an answer takes a number of bytes in all. If it returns
// ErrAnswerTooLarge or ErrAnswerMemory, the answer must not take more than before.
func (h *HeldAnswer) Resize(bytes int) error {
	if bytes > h.memory.largest {
		return ErrAnswerTooLarge
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	counted := max(int64(bytes)-uncountedBytes, 0)
	if counted > h.counted && h.released || !h.take(counted) {
		return ErrAnswerMemory
	}
	return nil
}

// take changes what the answer takes of the memory. It reports false, and changes
// nothing, if there is no room. The caller holds mu.
func (h *HeldAnswer) take(counted int64) bool {
	if counted == h.counted {
		return true
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	if _, ok := h.memory.account.Resize(&h.holder, counted, time.Time{}); !ok {
		return false
	}
	h.counted = counted
	return true
}

// Release gives the memory back. The answer must not grow afterwards.
func (h *HeldAnswer) Release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.take(0) // nothing is refused
	h.released = true
}
