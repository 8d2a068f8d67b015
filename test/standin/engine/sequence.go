package engine

import (
	"strconv"
	"time"
)

// outcome tells how a request ended.
type outcome string

// Outcomes in the ledger.
const (
	outcomeRunning   outcome = "running"
	outcomeFinished  outcome = "finished"
	outcomeCancelled outcome = "cancelled" // the caller went away
	outcomeCrashed   outcome = "crashed"   // the engine crashed
	outcomeTruncated outcome = "truncated" // cut by the truncation fault
	outcomeFailed    outcome = "failed"    // answered with the failure status
)

// sequence is one request in the batch. The batcher owns it between submit
// and the close of done; made is published through progress.
type sequence struct {
	record *entry

	prefill int // prompt tokens still to be processed
	kv      int // tokens that its KV cache holds
	first   int // index of the first token to make
	total   int // index after the last token
	stuck   bool
	crash   bool // crashes the engine at its first step

	progress chan int      // capacity 1: index after the last token made
	done     chan struct{} // closed when the sequence left the batch
	gone     bool          // cancelled; owned by the batcher
}

// made reports the number of tokens made so far. The batcher calls it.
func (q *sequence) emit() {
	q.kv++
	q.record.addToken()
	next := q.first + q.record.tokenCount()
	select {
	case q.progress <- next:
	default:
		select {
		case <-q.progress:
		default:
		}
		q.progress <- next
	}
}

func (q *sequence) complete() bool {
	return q.first+q.record.tokenCount() >= q.total
}

// appendToken appends the text of token i of the answer to a request. It
// names the request, so that a crossed or short answer shows.
func appendToken(b []byte, id string, i int) []byte {
	b = append(b, id...)
	b = append(b, '.')
	b = strconv.AppendInt(b, int64(i), 10)
	return append(b, ' ')
}

// AnswerText returns tokens first to last-1 of the answer to the request with the id.
func AnswerText(id string, first, last int) string {
	var b []byte
	for i := first; i < last; i++ {
		b = appendToken(b, id, i)
	}
	return string(b)
}

func millis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}
