package retry

import "time"

// RecordState is the state of an idempotency record at its owner.
type RecordState int

// States of a record. A record starts as RecordWriting and is removed only by
// Abandon or at the end of its retention.
const (
	RecordWriting RecordState = iota // not yet durable, its claimer has no answer
	RecordRunning                    // durable, its claimer may send the request
	RecordDone                       // the claimer reported the response
	RecordUnknown                    // it is unknown whether the request ran
)

// IdempotencyRecord is the state of an idempotency key at its owner.
type IdempotencyRecord struct {
	State   RecordState
	Claim   string    // id of the claim that may run the request
	Claimer string    // incarnation of the host that made the claim
	At      time.Time // time of the claim
	// Sole is set on a loaded record when no other claim of the key is stored.
	// A claim is always stored before it is answered with ClaimFresh, so the
	// record's claim is then the only one that may run the request.
	Sole bool
}

// ClaimAnswer is the answer to a claim.
type ClaimAnswer int

// Answers to a claim.
const (
	ClaimFresh   ClaimAnswer = iota // the claimer may send the request
	ClaimRunning                    // another claim is running
	ClaimDone                       // the request ran to its end
	ClaimUnknown                    // it is unknown whether the request ran
)

// AnswerClaim returns the answer to a claim with the given id. alive reports whether
// the incarnation that made the record's claim is still a member. A claim that
// is repeated with the record's id is fresh: its answer was lost, or the former
// owner stored it and could not answer. Its claimer has no answer yet, so it has
// not sent the request.
func (r IdempotencyRecord) AnswerClaim(claim string, alive bool) ClaimAnswer {
	switch r.State {
	case RecordDone:
		return ClaimDone
	case RecordUnknown:
		if r.Sole && r.Claim == claim {
			return ClaimFresh
		}
		return ClaimUnknown
	}
	switch {
	case r.Claim == claim:
		return ClaimFresh
	case !alive:
		return ClaimUnknown
	}
	return ClaimRunning
}

// Complete records that the claim's request ran to its end. It reports false for
// a claim that is not the record's or not yet durable.
func (r *IdempotencyRecord) Complete(claim string) bool {
	if r.Claim != claim || r.State == RecordWriting {
		return false
	}
	r.State = RecordDone
	return true
}

// MayAbandon reports whether the claim may be withdrawn: it is the record's
// and its request has not ended.
func (r IdempotencyRecord) MayAbandon(claim string) bool {
	return r.Claim == claim && (r.State == RecordWriting || r.State == RecordRunning)
}

// Expired reports whether the record's retention is over.
func (r IdempotencyRecord) Expired(now time.Time, retention time.Duration) bool {
	return now.Sub(r.At) > retention
}
