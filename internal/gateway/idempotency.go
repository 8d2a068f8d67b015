package gateway

import (
	"context"
	"maps"
	"net/http"
	"time"

	"ragwortstep/internal/dedupe"
	"ragwortstep/internal/dispatch"
)

// IdempotencyStore records idempotency keys, so that a request with a key runs
// at most once. *dedupe.Records implements it.
type IdempotencyStore interface {
	// Claim reserves the key. The request may be sent only when the returned
	// state is dedupe.Fresh.
	Claim(ctx context.Context, workspace, key string) (dedupe.Claim, error)
	// Complete stores the response of a fresh claim.
	Complete(ctx context.Context, c dedupe.Claim, resp dedupe.StoredResponse) error
	// Abandon releases a fresh claim whose request was certainly not executed.
	Abandon(ctx context.Context, c dedupe.Claim) error
}

const (
	// maxIdempotencyKeyBytes bounds the key, which is stored for as long as its record.
	maxIdempotencyKeyBytes = 255
	// recordWriteTimeout bounds the write of a record, which does not end with the
	// caller's connection.
	recordWriteTimeout = 3 * time.Second
)

// runWithIdempotencyKey runs a non-idempotent request under its idempotency key.
func (g *Gateway) runWithIdempotencyKey(ctx context.Context, w http.ResponseWriter, req *dispatch.Request, key string) {
	if len(key) > maxIdempotencyKeyBytes {
		refusal(http.StatusBadRequest, "invalid_idempotency_key", "the idempotency key is longer than 255 bytes", 0).write(w)
		return
	}
	claim, err := g.opts.IdempotencyStore.Claim(ctx, req.Workspace, req.Route+"\x00"+key)
	if err != nil {
		g.opts.Logger.Debug("cannot claim idempotency key", "route", req.Route, "error", err)
		refusal(http.StatusServiceUnavailable, "idempotency_unavailable", "the idempotency key cannot be recorded now", retryAfterIdempotency).write(w)
		return
	}
	if claim.State != dedupe.Fresh {
		writeDuplicate(w, claim)
		return
	}
	g.runClaimed(ctx, w, req, claim)
}

// runClaimed runs a request whose key was claimed by it. The record is completed
// even when the caller has disconnected, since the request may have been executed.
func (g *Gateway) runClaimed(ctx context.Context, w http.ResponseWriter, req *dispatch.Request, claim dedupe.Claim) {
	result, apiErr := g.fetch(ctx, req)
	recordCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordWriteTimeout)
	defer cancel()
	if apiErr != nil {
		if apiErr.Executed == dispatch.ExecutedNo {
			g.countError(g.opts.IdempotencyStore.Abandon(recordCtx, claim), "idempotency_abandon_failed")
		}
		apiErr.write(w)
		return
	}
	if !result.unread {
		stored := dedupe.StoredResponse{Status: result.resp.Status, Header: maps.Clone(result.resp.Header), Body: result.buffered}
		g.countError(g.opts.IdempotencyStore.Complete(recordCtx, claim, stored), "idempotency_complete_failed")
	}
	result.send(ctx, w, g)
}

func (g *Gateway) countError(err error, counter string) {
	if err != nil {
		counters.Add(counter, 1)
	}
}

// writeDuplicate responds to a request whose key was claimed earlier.
func writeDuplicate(w http.ResponseWriter, claim dedupe.Claim) {
	counters.Add("repeated_"+string(claim.State), 1)
	e := &apiError{Status: http.StatusConflict, Executed: dispatch.ExecutedUnknown}
	switch claim.State {
	case dedupe.Done:
		if claim.Response != nil {
			writeStoredResponse(w, claim.Response)
			return
		}
		e.Code, e.Message = "already_executed", "the request with this idempotency key ran; its answer is no longer kept"
	case dedupe.Running:
		e.Code, e.Message, e.RetryAfter = "in_progress", "the request with this idempotency key is running", retryAfterIdempotency
	default:
		e.Code, e.Message = "outcome_unknown", "it cannot be told whether the request with this idempotency key ran"
	}
	e.write(w)
}

func writeStoredResponse(w http.ResponseWriter, stored *dedupe.StoredResponse) {
	copyHeader(w.Header(), stored.Header)
	w.Header().Set("Idempotent-Replayed", "true")
	w.WriteHeader(stored.Status)
	_, _ = w.Write(stored.Body)
}
