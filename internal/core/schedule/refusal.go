package schedule

import "time"

const (
	// returnPart is the part of the time left to a caller up to which it honours a
	// Retry-After.
	returnPart = 1.0 / 3
	// onTimePart is the part of the time until its latest start on time that a request is
	// expected to wait at most. Requests that become late leave the lane of the others, so
	// in an overload the expected wait of a new one stays just below that time, and nearly
	// half of them are late all the same.
	onTimePart = 0.8
)

// Arrival is a new online request that would have to wait.
type Arrival struct {
	Now, OnTimeStart, Deadline time.Time // OnTimeStart and Deadline may be zero
	// MayReturn is set if the caller has not been refused before, as far as is known.
	MayReturn bool
}

// Outlook is what a host expects of a request that waits.
type Outlook struct {
	Wait     time.Duration // until it gets a slot
	Duration time.Duration // from then until its end
	Rate     float64       // of grants to waiting requests, per second
}

// Verdict is the decision about a new online request.
type Verdict int

// Verdicts of Decide.
const (
	Wait       Verdict = iota
	OutOfTime          // its caller would leave before its end
	SendAround         // late now, and likely to be on time when its caller comes back
)

// Decide returns whether a new request waits or is refused at once, and when the caller
// of a refused one should come back. It records in waves what it decides.
//
// A request that would be late is sent around only once, and only if its caller bears to
// stay away until the valley after the wave: a late answer is of more use than a second
// refusal.
func Decide(a Arrival, o Outlook, waves *Waves) (Verdict, time.Duration) {
	late := a.isLate(o)
	if late {
		waves.Observe(a.Now)
	}
	switch {
	case !a.Deadline.IsZero() && a.Now.Add(o.Wait+o.Duration).After(a.Deadline):
		return OutOfTime, o.Wait
	case !late || !a.MayReturn || a.Deadline.IsZero():
		return Wait, 0
	}
	longest := time.Duration(returnPart * float64(a.Deadline.Sub(a.Now)))
	if after, ok := waves.NextReturn(a.Now, o.Rate, longest); ok {
		return SendAround, after
	}
	return Wait, 0
}

// isLate reports whether the request is likely to be late.
func (a Arrival) isLate(o Outlook) bool {
	return !a.OnTimeStart.IsZero() && float64(o.Wait) > onTimePart*float64(a.OnTimeStart.Sub(a.Now))
}
