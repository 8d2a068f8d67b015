package limiter

import (
	"slices"
	"time"
)

// waiter is a request that waits for tokens.
type waiter struct {
	amount  float64
	class   Class
	timeout time.Duration // maximum wait of an online request
	result  chan error    // receives the outcome once
}

// queue holds the waiting requests of one workspace in order of arrival, by class.
type queue struct {
	waiters [2][]*waiter
	tokens  [2]float64 // sum of the amounts of the waiters of a class
}

// noneAhead reports whether a request of the class could be admitted without
// overtaking a waiting one.
func (q *queue) noneAhead(class Class) bool {
	return len(q.waiters[Online]) == 0 && (class == Online || len(q.waiters[Batch]) == 0)
}

func (q *queue) empty() bool { return len(q.waiters[Online])+len(q.waiters[Batch]) == 0 }

func (q *queue) push(amount float64, class Class) *waiter {
	w := &waiter{amount: amount, class: class, result: make(chan error, 1)}
	q.waiters[class] = append(q.waiters[class], w)
	q.tokens[class] += amount
	return w
}

func (q *queue) remove(w *waiter) {
	i := slices.Index(q.waiters[w.class], w)
	if i < 0 {
		return
	}
	q.waiters[w.class] = slices.Delete(q.waiters[w.class], i, i+1)
	q.tokens[w.class] -= w.amount
	if len(q.waiters[w.class]) == 0 {
		q.tokens[w.class] = 0 // removes rounding errors
	}
}
