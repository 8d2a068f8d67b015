package relay

import (
	"container/heap"
	"runtime"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// maxNap bounds a sleep of the clock, and with it how late an entry is seen
// that is due before all others.
const maxNap = 100 * time.Microsecond

// clock signals pipes when their next chunk is due. Timers of the Go runtime
// are up to 1 ms late in an idle process, which is more than the delays to be
// simulated, so the clock sleeps in the kernel on a thread of its own.
type clock struct {
	mu      sync.Mutex
	entries entryHeap
	wake    chan struct{}
}

type entry struct {
	at   time.Time
	pipe *pipe
}

func newClock() *clock {
	c := &clock{wake: make(chan struct{}, 1)}
	go c.run()
	return c
}

// schedule signals the pipe at the given time.
func (c *clock) schedule(at time.Time, p *pipe) {
	c.mu.Lock()
	heap.Push(&c.entries, entry{at: at, pipe: p})
	first := len(c.entries) == 1
	c.mu.Unlock()
	if first {
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
}

func (c *clock) run() {
	runtime.LockOSThread()
	for {
		next, ok := c.fire(time.Now())
		if !ok {
			<-c.wake
			continue
		}
		if nap := min(time.Until(next), maxNap); nap > 0 {
			ts := unix.NsecToTimespec(int64(nap))
			_ = unix.Nanosleep(&ts, nil)
		}
	}
}

// fire signals all pipes that are due and returns the time of the next one.
func (c *clock) fire(now time.Time) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.entries) > 0 && !c.entries[0].at.After(now) {
		heap.Pop(&c.entries).(entry).pipe.signal()
	}
	if len(c.entries) == 0 {
		return time.Time{}, false
	}
	return c.entries[0].at, true
}

type entryHeap []entry

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h entryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *entryHeap) Push(x any) { *h = append(*h, x.(entry)) }

// Pop implements heap.Interface.
func (h *entryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = entry{}
	*h = old[:len(old)-1]
	return last
}
