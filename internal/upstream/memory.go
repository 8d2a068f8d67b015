package upstream

import (
	"io"
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
	// DefaultAnswerMemory bounds what all answers take beyond uncountedBytes each.
	DefaultAnswerMemory = 32 << 20
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

// AnswerMemory is the memory that the answers of a client share. Answers never yield:
// their requests have run. It is safe for concurrent use.
type AnswerMemory struct {
	largest int // bytes of one answer
	mu      sync.Mutex
	account *memory.Account
}

// NewAnswerMemory returns memory for answers of up to a number of bytes each, and of up to
// another one for all together, of which the first 64 KiB of each don't count.
func NewAnswerMemory(each int, all int64) *AnswerMemory {
	return &AnswerMemory{largest: each, account: memory.New(all)}
}

// HeldAnswer counts the bytes that are held of one answer. It is safe for concurrent
// use.
type HeldAnswer struct {
	memory   *AnswerMemory
	mu       sync.Mutex
	holder   memory.Holder // guarded by the memory's lock
	counted  int64         // bytes taken of the memory
	released bool
}

// Hold returns the count of an answer of which nothing is held yet. Release it.
func (m *AnswerMemory) Hold() *HeldAnswer { return &HeldAnswer{memory: m} }

// Hold returns the count of an answer in the memory of the client's answers. Release it.
func (c *Client) Hold() *HeldAnswer { return c.answers.Hold() }

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

// firstBufferBytes is the size of a new buffer for a whole answer.
const firstBufferBytes = 4 << 10

// ReadAll reads an answer into memory that is counted. It returns what it has read also
// with an error; ErrAnswerTooLarge and ErrAnswerMemory leave the rest unread.
func (h *HeldAnswer) ReadAll(r io.Reader) ([]byte, error) {
	largest := h.memory.largest
	body := make([]byte, 0, firstBufferBytes)
	for {
		if len(body) == cap(body) {
			size := min(2*cap(body), largest+1) // the last byte shows that there are more
			if err := h.Resize(min(size, largest)); err != nil {
				return body, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > largest:
			return body, ErrAnswerTooLarge
		case err == io.EOF:
			return body, nil
		case err != nil:
			return body, err
		}
	}
}

// Release gives the memory back. The answer must not grow afterwards.
func (h *HeldAnswer) Release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.take(0) // nothing is refused
	h.released = true
}
