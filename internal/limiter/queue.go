package limiter

import (
	"slices"
	"time"
)

// waiter is one request that waits for tokens.
type waiter struct {
	n     float64
	class Class
	wait  time.Duration // longest wait of an online request
	done  chan error    // receives the outcome once
}

// queue holds the waiting requests of one workspace in order of arrival, by class.
type queue struct {
	waiters [2][]*waiter
	tokens  [2]float64 // sum of what the waiters of a class need
}

// emptyFor reports whether a request of the class would not overtake another.
func (q *queue) emptyFor(class Class) bool {
	return len(q.waiters[Online]) == 0 && (class == Online || len(q.waiters[Batch]) == 0)
}

func (q *queue) empty() bool { return len(q.waiters[Online])+len(q.waiters[Batch]) == 0 }

func (q *queue) push(n float64, class Class) *waiter {
	w := &waiter{n: n, class: class, done: make(chan error, 1)}
	q.waiters[class] = append(q.waiters[class], w)
	q.tokens[class] += n
	return w
}

func (q *queue) remove(w *waiter) {
	i := slices.Index(q.waiters[w.class], w)
	if i < 0 {
		return
	}
	q.waiters[w.class] = slices.Delete(q.waiters[w.class], i, i+1)
	q.tokens[w.class] -= w.n
	if len(q.waiters[w.class]) == 0 {
		q.tokens[w.class] = 0 // removes rounding errors
	}
}
