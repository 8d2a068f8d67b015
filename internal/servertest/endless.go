package servertest

import (
	"io"
	"strings"
	"sync/atomic"
)

// EndlessBytes is how much an endless response has, more than any client may take.
const EndlessBytes = 256 << 20

// RespondEndlessly returns a script that responds with the start and then with a piece over
// and over, and counts the bytes that it has written.
func RespondEndlessly(start, piece string, written *atomic.Int64) func(*Conn) bool {
	const writeBytes = 64 << 10
	pieces := strings.Repeat(piece, 1+writeBytes/len(piece))
	return func(c *Conn) bool {
		_, _ = io.WriteString(c, start) // the next write fails as well
		for written.Load() < EndlessBytes {
			n, err := io.WriteString(c, pieces)
			written.Add(int64(n))
			if err != nil {
				break
			}
		}
		return false
	}
}
