package relay

import (
	"container/heap"
	"runtime"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// maxSleep bounds one sleep of the scheduler. A newly scheduled pipe that is due
// before all others is noticed at most this late.
const maxSleep = 100 * time.Microsecond

// scheduler signals pipes when their next chunk is due. Timers of the Go runtime
// are up to 1 ms late in an idle process, which is more than the delays to be
// simulated, so the scheduler sleeps in the kernel on a thread of its own.
type scheduler struct {
	now   func() time.Time
	sleep func(time.Duration)

	mu      sync.Mutex
	pending pipeHeap
	wake    chan struct{}
}

type scheduledPipe struct {
	dueAt time.Time
	pipe  *pipe
}

func newScheduler() *scheduler {
	s := &scheduler{now: time.Now, sleep: sleepInKernel, wake: make(chan struct{}, 1)}
	go s.run()
	return s
}

func sleepInKernel(d time.Duration) {
	ts := unix.NsecToTimespec(int64(d))
	_ = unix.Nanosleep(&ts, nil)
}

// schedule signals the pipe at dueAt.
func (s *scheduler) schedule(dueAt time.Time, p *pipe) {
	s.mu.Lock()
	heap.Push(&s.pending, scheduledPipe{dueAt: dueAt, pipe: p})
	wasEmpty := len(s.pending) == 1
	s.mu.Unlock()
	if wasEmpty {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

func (s *scheduler) run() {
	runtime.LockOSThread()
	for {
		if !s.step() {
			<-s.wake
		}
	}
}

// step signals the pipes that are due and sleeps towards the next one. It
// reports whether there is one.
func (s *scheduler) step() bool {
	next, ok := s.signalDue(s.now())
	if !ok {
		return false
	}
	if wait := min(next.Sub(s.now()), maxSleep); wait > 0 {
		s.sleep(wait)
	}
	return true
}

// signalDue signals all pipes that are due and returns the time of the next one.
func (s *scheduler) signalDue(now time.Time) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.pending) > 0 && !s.pending[0].dueAt.After(now) {
		heap.Pop(&s.pending).(scheduledPipe).pipe.signal()
	}
	if len(s.pending) == 0 {
		return time.Time{}, false
	}
	return s.pending[0].dueAt, true
}

type pipeHeap []scheduledPipe

func (h pipeHeap) Len() int           { return len(h) }
func (h pipeHeap) Less(i, j int) bool { return h[i].dueAt.Before(h[j].dueAt) }
func (h pipeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *pipeHeap) Push(x any) { *h = append(*h, x.(scheduledPipe)) }

// Pop implements heap.Interface.
func (h *pipeHeap) Pop() any {
	old := *h
	popped := old[len(old)-1]
	old[len(old)-1] = scheduledPipe{}
	*h = old[:len(old)-1]
	return popped
}
