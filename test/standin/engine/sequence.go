package engine

import (
	"strconv"
	"time"
)

// outcome is the state of a request in the ledger: running, or how it ended.
type outcome string

const (
	outcomeRunning   outcome = "running"
	outcomeFinished  outcome = "finished"
	outcomeCancelled outcome = "cancelled" // the caller disconnected
	outcomeCrashed   outcome = "crashed"   // the engine crashed
	outcomeTruncated outcome = "truncated" // truncated by Faults.TruncateRate
	outcomeFailed    outcome = "failed"    // answered with an error status
)

// sequence is one request in the batch. The batcher owns it from submit until
// done is closed, and publishes the generated tokens through progress.
type sequence struct {
	record *entry

	remainingPrefill int  // prompt tokens not yet processed
	kvTokens         int  // tokens held in its KV cache
	firstToken       int  // index of the first token to generate
	endToken         int  // index after the last token to generate
	stuck            bool // never generates a token
	crash            bool // crashes the engine at its first step

	progress chan int      // capacity 1: index after the last token generated
	done     chan struct{} // closed when the sequence is removed
	removed  bool          // completed, cancelled or lost in a crash; guarded by batcher.mu
}

// emitToken counts one generated token and publishes the new progress,
// replacing a value that has not been received.
func (seq *sequence) emitToken() {
	seq.kvTokens++
	seq.record.addToken()
	next := seq.firstToken + seq.record.tokenCount()
	select {
	case seq.progress <- next:
	default:
		select {
		case <-seq.progress:
		default:
		}
		seq.progress <- next
	}
}

func (seq *sequence) isComplete() bool {
	return seq.firstToken+seq.record.tokenCount() >= seq.endToken
}

// appendToken appends the text of token i of the completion of a request. The
// text contains the request's id, so that tests detect a completion that was
// sent to another request or is incomplete.
func appendToken(b []byte, id string, i int) []byte {
	b = append(b, id...)
	b = append(b, '.')
	b = strconv.AppendInt(b, int64(i), 10)
	return append(b, ' ')
}

// CompletionText returns tokens first to last-1 of the completion of the request with the id.
func CompletionText(id string, first, last int) string {
	var b []byte
	for i := first; i < last; i++ {
		b = appendToken(b, id, i)
	}
	return string(b)
}

func unixMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}
