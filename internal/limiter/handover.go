package limiter

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/limit"
	"ragwortstep/internal/core/membership"
	"ragwortstep/internal/peer"
)

// methodHandover transfers the tokens of shares that the called host takes
// over.
const methodHandover = "limit.handover"

// handoverParams is the request of limit.handover.
type handoverParams struct {
	To         string                `json:"to"` // incarnation that takes over the shares
	Generation membership.Generation `json:"generation"`
	Items      []limit.Handover      `json:"items"`
}

// sendHandovers sends each handover once. If the call fails, the tokens are
// lost. The caller holds mu.
func (l *Limiter) sendHandovers(all []limit.Handover) {
	if len(all) == 0 || l.ctx.Err() != nil {
		return
	}
	byHost := map[limit.Identity][]limit.Handover{}
	for _, h := range all {
		byHost[h.To] = append(byHost[h.To], h)
	}
	generation := membership.Generation{Epoch: l.applied.epoch, Revision: l.applied.revision}
	for to, items := range byHost {
		params := handoverParams{To: to.Incarnation, Generation: generation, Items: items}
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			l.handOver(to, params)
		}()
	}
}

func (l *Limiter) handOver(to limit.Identity, params handoverParams) {
	ctx, cancel := context.WithTimeout(l.ctx, borrowTimeout)
	defer cancel()
	if err := l.opts.Peers.Call(ctx, peer.HostID(to.Host), methodHandover, params, nil); err != nil {
		stats.Add("handover_failures", 1)
	}
}

// serveHandover handles limit.handover. The receiver may apply the epoch
// slightly later than the sender, so it waits for the epoch within the deadline
// of the call.
func (l *Limiter) serveHandover(ctx context.Context, from peer.HostID, raw json.RawMessage) (any, error) {
	var in handoverParams
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, errors.Wrapf(err, "decode limit.handover of %s", from)
	}
	if in.To != l.self.Incarnation {
		return nil, errors.Newf("handover for process %s", in.To)
	}
	if err := l.awaitEpoch(ctx, in.Generation.Epoch); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.AcceptHandovers(l.opts.Now(), in.Generation, in.Items)
	stats.Add("handovers", int64(len(in.Items)))
	return struct{}{}, nil
}

// epochWaitTimeout bounds how long a handover waits for this host to apply its
// epoch, which normally takes a few round trips.
const epochWaitTimeout = time.Second

// awaitEpoch waits until the limiter has applied the epoch or a later one.
func (l *Limiter) awaitEpoch(ctx context.Context, epoch uint64) error {
	ctx, cancel := context.WithTimeout(ctx, epochWaitTimeout)
	defer cancel()
	ticker := time.NewTicker(waitingInterval)
	defer ticker.Stop()
	for {
		l.mu.Lock()
		applied := l.applied.epoch
		l.mu.Unlock()
		if applied >= epoch {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "epoch %d not applied", epoch)
		case <-l.ctx.Done():
			return errors.Wrap(l.ctx.Err(), "limiter closed")
		case <-ticker.C:
		}
	}
}
