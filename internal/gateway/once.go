package gateway

import (
	"context"
	"maps"
	"net/http"
	"time"

	"ragwortstep/internal/dedupe"
	"ragwortstep/internal/dispatch"
)

// Once keeps the records that make requests with an idempotency key run at
// most once. *dedupe.Records implements it.
type Once interface {
	// Claim must succeed with state dedupe.Fresh before the request is sent.
	Claim(ctx context.Context, workspace, key string) (dedupe.Claim, error)
	// Complete stores the answer of a fresh claim.
	Complete(ctx context.Context, c dedupe.Claim, resp dedupe.StoredResponse) error
	// Abandon releases a fresh claim whose request was certainly not sent.
	Abandon(ctx context.Context, c dedupe.Claim) error
}

const (
	// maxIdempotencyKeyBytes bounds the key, which is kept for the retention of the records.
	maxIdempotencyKeyBytes = 255
	// recordTimeout bounds writing the record after the caller may have gone.
	recordTimeout = 3 * time.Second
)

// runOnce runs a non-idempotent request under its idempotency key.
func (g *Gateway) runOnce(ctx context.Context, w http.ResponseWriter, req *dispatch.Request, key string) {
	if len(key) > maxIdempotencyKeyBytes {
		refusal(http.StatusBadRequest, "invalid_idempotency_key", "the idempotency key is longer than 255 bytes", 0).write(w)
		return
	}
	claim, err := g.opts.Once.Claim(ctx, req.Workspace, req.Route+"\x00"+key)
	if err != nil {
		g.opts.Logger.Debug("idempotency key not claimed", "route", req.Route, "error", err)
		refusal(http.StatusServiceUnavailable, "idempotency_unavailable", "the idempotency key cannot be recorded now", retryAfterRunning).write(w)
		return
	}
	if claim.State != dedupe.Fresh {
		writeRepeated(w, claim)
		return
	}
	g.runFresh(ctx, w, req, claim)
}

// runFresh runs a claimed request. The record is completed even when the
// caller has gone, since the request may have run.
func (g *Gateway) runFresh(ctx context.Context, w http.ResponseWriter, req *dispatch.Request, claim dedupe.Claim) {
	got, refused := g.fetch(ctx, req)
	recordCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	if refused != nil {
		if refused.Executed == dispatch.ExecutedNo {
			g.countError(g.opts.Once.Abandon(recordCtx, claim), "idempotency_abandon_failed")
		}
		refused.write(w)
		return
	}
	if !got.rest {
		stored := dedupe.StoredResponse{Status: got.resp.Status, Header: maps.Clone(got.resp.Header), Body: got.whole}
		g.countError(g.opts.Once.Complete(recordCtx, claim, stored), "idempotency_complete_failed")
	}
	got.send(ctx, w, g)
}

func (g *Gateway) countError(err error, counter string) {
	if err != nil {
		counters.Add(counter, 1)
	}
}

// writeRepeated answers a request whose key was claimed before.
func writeRepeated(w http.ResponseWriter, claim dedupe.Claim) {
	counters.Add("repeated_"+string(claim.State), 1)
	e := &apiError{Status: http.StatusConflict, Executed: dispatch.ExecutedUnknown}
	switch claim.State {
	case dedupe.Done:
		if claim.Response != nil {
			writeStored(w, claim.Response)
			return
		}
		e.Code, e.Message = "already_executed", "the request with this idempotency key ran; its answer is no longer kept"
	case dedupe.Running:
		e.Code, e.Message, e.RetryAfter = "in_progress", "the request with this idempotency key is running", retryAfterRunning
	default:
		e.Code, e.Message = "outcome_unknown", "it cannot be told whether the request with this idempotency key ran"
	}
	e.write(w)
}

func writeStored(w http.ResponseWriter, stored *dedupe.StoredResponse) {
	copyHeader(w.Header(), stored.Header)
	w.Header().Set("Idempotent-Replayed", "true")
	w.WriteHeader(stored.Status)
	_, _ = w.Write(stored.Body)
}
