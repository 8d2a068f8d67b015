package dedupe

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"ragwortstep/internal/peer"
)

// Peer methods of an owner.
const (
	methodClaim    = "dedupe.claim"
	methodComplete = "dedupe.complete"
	methodAbandon  = "dedupe.abandon"
)

const (
	retryDelay          = 50 * time.Millisecond
	maxCompleteAttempts = 5
	abandonTimeout      = 2 * time.Second
)

// refusal is the reason why an owner rejects a call.
type refusal string

// Reasons for refusals.
const (
	refusedNotOwner refusal = "not_owner" // this host does not own the key in the epoch
	refusedNotReady refusal = "not_ready" // the records of earlier owners are not loaded yet
	refusedLease    refusal = "lease"     // the freshness lease ended or the epoch changed
	refusedPlatform refusal = "platform"  // the claim could not be stored
	refusedFull     refusal = "full"      // too many records in memory
)

// transient reports whether a retry may succeed soon.
func (r refusal) transient() bool { return r != refusedFull && r != refusedPlatform }

// claimRequest is the request of dedupe.claim.
type claimRequest struct {
	Key     keyHash `json:"key"`
	Claim   string  `json:"claim"`   // unique per call of Claim
	Claimer string  `json:"claimer"` // host and incarnation
	Epoch   uint64  `json:"epoch"`
}

// completeRequest is the request of dedupe.complete and dedupe.abandon.
type completeRequest struct {
	Key      keyHash         `json:"key"`
	Claim    string          `json:"claim"`
	Epoch    uint64          `json:"epoch"`
	Response *StoredResponse `json:"response,omitempty"`
}

// reply is the response of all methods.
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
// sends the request and then calls Complete, or Abandon if the request was
// certainly not sent. After an error, which wraps ErrUnavailable, the request
// must not be sent.
func (r *Records) Claim(ctx context.Context, workspace, key string) (Claim, error) {
	c := Claim{key: hashKey(workspace, key), id: uuid.NewString()}
	ctx, cancel := context.WithTimeout(ctx, r.opts.ClaimWait)
	defer cancel()
	for {
		answer, err := r.sendClaim(ctx, c)
		if err == nil && answer.Refused == "" {
			c.State, c.Response = answer.State, answer.Response
			return c, nil
		}
		if err == nil {
			err = errors.Newf("owner refused: %s", answer.Refused)
		}
		if (answer.Refused != "" && !answer.Refused.transient()) || sleep(ctx, retryDelay) != nil {
			counters.Add("claims_failed", 1)
			go r.abandonFailedClaim(c)
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

// sendClaim sends the claim to the key's owner in the current epoch. It may be
// repeated, because the owner recognizes a claim by its ID.
func (r *Records) sendClaim(ctx context.Context, c Claim) (reply, error) {
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

// abandonFailedClaim tries to tell the owner that a failed claim is not used,
// so that the key can be claimed again.
func (r *Records) abandonFailedClaim(c Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), abandonTimeout)
	defer cancel()
	_, _ = r.sendClaimEnd(ctx, methodAbandon, c, nil)
}

// Complete records the response of a fresh claim. If it is not called, the
// record becomes unknown.
func (r *Records) Complete(ctx context.Context, c Claim, resp StoredResponse) error {
	if resp.size() > maxStoredBody {
		resp = StoredResponse{}
	}
	return r.endClaim(ctx, methodComplete, c, &resp)
}

// Abandon releases a fresh claim whose request was certainly not sent, so that
// the key can be claimed again.
func (r *Records) Abandon(ctx context.Context, c Claim) error {
	return r.endClaim(ctx, methodAbandon, c, nil)
}

// endClaim reports the end of a claim to the owner, and retries while the owner
// is not ready or not reachable.
func (r *Records) endClaim(ctx context.Context, method string, c Claim, resp *StoredResponse) error {
	var lastErr error
	for range maxCompleteAttempts {
		answer, err := r.sendClaimEnd(ctx, method, c, resp)
		if err == nil && answer.Refused == "" {
			return nil
		}
		lastErr = err
		if err == nil {
			lastErr = errors.Newf("owner refused: %s", answer.Refused)
		}
		if sleep(ctx, 2*retryDelay) != nil {
			break
		}
	}
	counters.Add("completions_failed", 1)
	return errors.Wrap(lastErr, method)
}

func (r *Records) sendClaimEnd(ctx context.Context, method string, c Claim, resp *StoredResponse) (reply, error) {
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
