package orders

import "time"

const (
	// minRetryDelay and maxRetryDelay bound the delay before an order is retried.
	// The delay doubles with each failure.
	minRetryDelay = time.Second
	maxRetryDelay = time.Minute
	// MaxParallel bounds the number of orders in flight over all servers.
	MaxParallel = 16
)

// Target is the part of a server's configuration that is needed to plan and send
// orders.
type Target struct {
	Address string
	Fencing bool // the server rejects orders with an old fencing number
}

// Progress tracks the controller's own attempts. It starts empty after each
// takeover.
type Progress struct {
	Busy  map[string]bool  // servers with an order in flight
	Retry map[string]Retry // by server and slot
}

// Retry is the backoff state of one order after failed attempts.
type Retry struct {
	Failures  int
	NotBefore time.Time
}

func NewProgress() *Progress {
	return &Progress{Busy: map[string]bool{}, Retry: map[string]Retry{}}
}

// slotKey is the key of an entry in Progress.Retry.
func slotKey(e Entry) string { return e.Server + "\x00" + e.Slot() }

// Plan returns the pending orders to send now: at most one per server and,
// including those in flight, at most MaxParallel in total. Entries must be in a
// fixed order. mayOrder reports whether servers with or without fencing may get
// orders now.
func Plan(now time.Time, entries []Entry, targets map[string]Target, p *Progress, mayOrder func(fencing bool) bool) []Entry {
	var out []Entry
	chosen := map[string]bool{}
	for _, e := range entries {
		target, known := targets[e.Server]
		switch {
		case len(out)+len(p.Busy) >= MaxParallel:
			return out
		case !known || !e.Pending() || chosen[e.Server] || p.Busy[e.Server]:
		case now.Before(p.Retry[slotKey(e)].NotBefore) || !mayOrder(target.Fencing):
		default:
			chosen[e.Server] = true
			out = append(out, e)
		}
	}
	return out
}

// AttemptStarted records that the order is in flight.
func (p *Progress) AttemptStarted(e Entry) { p.Busy[e.Server] = true }

// AttemptEnded records the end of an attempt. An attempt that failed, or whose outcome
// could not be stored, is retried after a delay.
func (p *Progress) AttemptEnded(now time.Time, e Entry, failed bool) {
	delete(p.Busy, e.Server)
	key := slotKey(e)
	if !failed {
		delete(p.Retry, key)
		return
	}
	failures := p.Retry[key].Failures + 1
	p.Retry[key] = Retry{Failures: failures, NotBefore: now.Add(retryDelay(failures))}
}

func retryDelay(failures int) time.Duration {
	return min(minRetryDelay<<min(failures-1, 10), maxRetryDelay)
}

// Confirm returns the entry after the server confirmed the order sent under the
// epoch. A newer order stays pending; so does one that was set after a removal,
// whose generation starts at 1 again.
func (e Entry) Confirm(sent Entry, epoch uint64) Entry {
	if sent.Order != e.Order || sent.Generation > e.Generation {
		return e
	}
	if sent.Generation > e.Applied && epoch >= e.Epoch {
		e.Applied, e.Epoch = sent.Generation, epoch
	}
	e.Failures, e.Error = 0, ""
	return e
}

// RecordFailure returns the entry after a failed attempt.
func (e Entry) RecordFailure(text string) Entry {
	e.Failures++
	e.Error = text
	return e
}

// RequireResend returns the entry after an order may have arrived from a controller whose
// lease had expired. The server's state is unknown, so the order is sent again.
// The generation is incremented because the new controller may have sent the
// order before the late one arrived and may confirm it only afterwards.
func (e Entry) RequireResend() Entry {
	e.Generation++
	return e
}
