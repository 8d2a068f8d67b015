package orders

import "time"

const (
	// retryBase and retryMax bound the pause before an order is sent again; the
	// pause doubles with each failure.
	retryBase = time.Second
	retryMax  = time.Minute
	// MaxParallel bounds the orders on their way at once, over all servers.
	MaxParallel = 16
)

// Target is what the plan needs to know of a server.
type Target struct {
	Address string
	Fencing bool // the server refuses orders with an old fencing number
}

// Progress is the controller's memory of its own attempts. It starts empty
// with each takeover.
type Progress struct {
	Busy  map[string]bool  // servers with an order on its way
	Retry map[string]Retry // by server and slot
}

// Retry is the pause after failed attempts of one order.
type Retry struct {
	Failures  int
	NotBefore time.Time
}

// NewProgress returns an empty progress.
func NewProgress() *Progress {
	return &Progress{Busy: map[string]bool{}, Retry: map[string]Retry{}}
}

func slotKey(e Entry) string { return e.Server + "\x00" + e.Slot() }

// Plan returns the pending orders to send now, at most one per server and at
// most MaxParallel in total with those on their way. Entries must be in a
// fixed order. mayOrder tells whether servers with and without fencing may get
// an order now.
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

// Started notes that the order is on its way.
func (p *Progress) Started(e Entry) { p.Busy[e.Server] = true }

// Ended notes the end of an attempt; one that failed, or whose outcome could
// not be recorded, is repeated after a pause.
func (p *Progress) Ended(now time.Time, e Entry, failed bool) {
	delete(p.Busy, e.Server)
	key := slotKey(e)
	if !failed {
		delete(p.Retry, key)
		return
	}
	failures := p.Retry[key].Failures + 1
	p.Retry[key] = Retry{Failures: failures, NotBefore: now.Add(retryPause(failures))}
}

func retryPause(failures int) time.Duration {
	return min(retryBase<<min(failures-1, 10), retryMax)
}

// Confirm returns the entry after the engine confirmed the order that was sent
// under the epoch. A newer order stays pending; so does one that was set after
// a removal, which starts at generation 1 again.
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

// Fail returns the entry after a failed attempt.
func (e Entry) Fail(text string) Entry {
	e.Failures++
	e.Error = text
	return e
}

// Doubt returns the entry after an order may have arrived from a holder whose
// lease had ended. The engine's state is unknown, so the order is sent again.
// The generation is raised because the new holder may have sent the order
// before the late one arrived, and confirm it only afterwards.
func (e Entry) Doubt() Entry {
	e.Generation++
	return e
}
