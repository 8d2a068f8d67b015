package dedupe

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"ragwortstep/internal/peer"
)

// Peer methods.
const (
	methodClaim    = "dedupe.claim"
	methodComplete = "dedupe.complete"
	methodAbandon  = "dedupe.abandon"
)

const (
	retryDelay      = 50 * time.Millisecond
	completeTries   = 5
	completeTimeout = 2 * time.Second
)

// refusal says why an owner does not answer a call.
type refusal string

// Refusals.
const (
	refusedNotOwner refusal = "not_owner" // in the owner's epoch
	refusedNotReady refusal = "not_ready" // the records of earlier owners are not read yet
	refusedLease    refusal = "lease"     // the freshness lease ended or the epoch changed
	refusedPlatform refusal = "platform"  // the claim could not be stored
	refusedFull     refusal = "full"      // too many records in memory
)

// transient reports whether another try can succeed soon.
func (r refusal) transient() bool { return r != refusedFull && r != refusedPlatform }

// claimRequest asks the owner for a key.
type claimRequest struct {
	Key     keyHash `json:"key"`
	Claim   string  `json:"claim"`   // unique per call of Claim
	Claimer string  `json:"claimer"` // host and incarnation
	Epoch   uint64  `json:"epoch"`
}

// completeRequest reports the response of a claim, or withdraws it.
type completeRequest struct {
	Key      keyHash         `json:"key"`
	Claim    string          `json:"claim"`
	Epoch    uint64          `json:"epoch"`
	Response *StoredResponse `json:"response,omitempty"`
}

// reply answers all methods.
type reply struct {
	Refused  refusal         `json:"refused,omitempty"`
	State    State           `json:"state,omitempty"`
	Response *StoredResponse `json:"response,omitempty"`
}

// handler adapts an owner's method to the peer transport.
func handler[Q any](fn func(context.Context, Q) reply) peer.HandlerFunc {
	return func(ctx context.Context, from peer.HostID, params json.RawMessage) (any, error) {
		var q Q
		if err := json.Unmarshal(params, &q); err != nil {
			return nil, errors.Wrapf(err, "decode call from %s", from)
		}
		return fn(ctx, q), nil
	}
}

// Claim claims a key before its request is sent. In state Fresh the caller
// sends the request and then calls Complete, or Abandon when it was certainly
// not sent. An error wraps ErrUnavailable and means that the request must not
// be sent.
func (r *Records) Claim(ctx context.Context, workspace, key string) (Claim, error) {
	c := Claim{key: hashKey(workspace, key), id: uuid.NewString()}
	ctx, cancel := context.WithTimeout(ctx, r.opts.ClaimWait)
	defer cancel()
	for {
		answer, err := r.askClaim(ctx, c)
		if err == nil && answer.Refused == "" {
			c.State, c.Response = answer.State, answer.Response
			return c, nil
		}
		if err == nil {
			err = errors.Newf("owner refused: %s", answer.Refused)
		}
		if (answer.Refused != "" && !answer.Refused.transient()) || sleep(ctx, retryDelay) != nil {
			counters.Add("claims_failed", 1)
			go r.withdraw(c)
			return Claim{}, errors.Wrapf(ErrUnavailable, "claim key: %v", err)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// askClaim asks the key's owner of the present epoch. Asking again with the
// same claim is safe: the claim finds itself.
func (r *Records) askClaim(ctx context.Context, c Claim) (reply, error) {
	view := r.opts.Fleet.View()
	request := claimRequest{Key: c.key, Claim: c.id, Claimer: string(view.Self) + "/" + r.opts.Incarnation, Epoch: view.Epoch}
	to, ok := ownerOf(view, c.key)
	if !ok {
		return reply{Refused: refusedNotReady}, nil
	}
	if to == view.Self {
		return r.owner.claim(ctx, request), nil
	}
	var answer reply
	err := r.opts.Peers.Call(ctx, to, methodClaim, request, &answer)
	return answer, errors.Wrapf(err, "%s at %s", methodClaim, to)
}

// withdraw tells the owner, as far as it can be reached, that a failed claim
// is not used, so that the key can be claimed again.
func (r *Records) withdraw(c Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), completeTimeout)
	defer cancel()
	_, _ = r.askComplete(ctx, methodAbandon, c, nil)
}

// Complete records the response of a fresh claim. Without it the record
// becomes unknown.
func (r *Records) Complete(ctx context.Context, c Claim, resp StoredResponse) error {
	if resp.size() > maxStoredBody {
		resp = StoredResponse{}
	}
	return r.finish(ctx, methodComplete, c, &resp)
}

// Abandon releases a fresh claim whose request was certainly not sent, so
// that the key can be claimed again.
func (r *Records) Abandon(ctx context.Context, c Claim) error {
	return r.finish(ctx, methodAbandon, c, nil)
}

// finish reports the end of a claim to the owner, and tries again while the
// owner is not ready or not reachable.
func (r *Records) finish(ctx context.Context, method string, c Claim, resp *StoredResponse) error {
	var last error
	for range completeTries {
		answer, err := r.askComplete(ctx, method, c, resp)
		if err == nil && answer.Refused == "" {
			return nil
		}
		last = err
		if err == nil {
			last = errors.Newf("owner refused: %s", answer.Refused)
		}
		if sleep(ctx, 2*retryDelay) != nil {
			break
		}
	}
	counters.Add("completions_failed", 1)
	return errors.Wrap(last, method)
}

func (r *Records) askComplete(ctx context.Context, method string, c Claim, resp *StoredResponse) (reply, error) {
	view := r.opts.Fleet.View()
	request := completeRequest{Key: c.key, Claim: c.id, Epoch: view.Epoch, Response: resp}
	to, ok := ownerOf(view, c.key)
	switch {
	case !ok:
		return reply{Refused: refusedNotReady}, nil
	case to == view.Self && method == methodAbandon:
		return r.owner.abandon(ctx, request), nil
	case to == view.Self:
		return r.owner.complete(ctx, request), nil
	}
	var answer reply
	err := r.opts.Peers.Call(ctx, to, method, request, &answer)
	return answer, errors.Wrapf(err, "%s at %s", method, to)
}
