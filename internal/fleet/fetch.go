package fleet

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/membership"
	"ragwortstep/internal/peer"
)

// bootstrapRetryDelay is the pause between attempts to obtain the first epoch and configuration.
const bootstrapRetryDelay = 200 * time.Millisecond

// fetchParams is the request of config.fetch.
type fetchParams struct {
	Have []string `json:"have,omitempty"` // keys of the shards that the caller holds
}

// fetchReply is the response: the head and the shards that the caller lacks.
type fetchReply struct {
	Head   head           `json:"head"`
	Shards map[int][]byte `json:"shards,omitempty"`
}

// serveEpoch handles fleet.epoch and returns the adopted epoch.
func (f *Fleet) serveEpoch(context.Context, peer.HostID, json.RawMessage) (any, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machine.Epoch(), nil
}

// serveConfig handles config.fetch.
func (f *Fleet) serveConfig(_ context.Context, from peer.HostID, params json.RawMessage) (any, error) {
	var in fetchParams
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, errors.Wrapf(err, "decode config.fetch of %s", from)
	}
	state := f.config.Load()
	if state == nil {
		return nil, errors.New("no configuration yet")
	}
	have := make(map[string]bool, len(in.Have))
	for _, key := range in.Have {
		have[key] = true
	}
	reply := fetchReply{Head: state.head, Shards: map[int][]byte{}}
	for i, key := range state.head.Shards {
		if key != "" && !have[key] {
			reply.Shards[i] = state.raw[i]
		}
	}
	return reply, nil
}

// call calls a method of one peer, addressed by host name or by network address.
type call func(ctx context.Context, method string, params, result any) error

func (f *Fleet) callHost(host peer.HostID) call {
	return func(ctx context.Context, method string, params, result any) error {
		return f.opts.Peers.Call(ctx, host, method, params, result)
	}
}

func (f *Fleet) callSeed(address string) call {
	return func(ctx context.Context, method string, params, result any) error {
		_, err := f.opts.Peers.CallAddress(ctx, address, method, params, result)
		return err
	}
}

func (f *Fleet) fetchEpoch(host peer.HostID) {
	if err := f.fetchEpochFrom(f.ctx, f.callHost(host)); err != nil {
		stats.Add("epoch_fetch_failures", 1)
	}
}

func (f *Fleet) fetchConfig(host peer.HostID) {
	if err := f.fetchConfigFrom(f.ctx, f.callHost(host)); err != nil {
		stats.Add("config_fetch_failures", 1)
	}
}

func (f *Fleet) fetchEpochFrom(ctx context.Context, call call) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var e membership.Epoch
	if err := call(ctx, methodEpoch, nil, &e); err != nil {
		return err
	}
	f.adoptEpoch(e)
	return nil
}

func (f *Fleet) fetchConfigFrom(ctx context.Context, call call) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	base := f.config.Load()
	if base == nil {
		base = emptyState()
	}
	var params fetchParams
	for _, key := range base.head.Shards {
		if key != "" {
			params.Have = append(params.Have, key)
		}
	}
	var reply fetchReply
	if err := call(ctx, methodConfig, params, &reply); err != nil {
		return err
	}
	if err := reply.Head.validate(); err != nil {
		return err
	}
	state, err := assemble(reply.Head, base, reply.Shards)
	if err != nil {
		return err
	}
	f.adoptConfig(state)
	return nil
}

// bootstrap tries once to obtain an epoch and a configuration. When one is
// still missing it returns after bootstrapRetryDelay.
func (f *Fleet) bootstrap(ctx context.Context) error {
	err := f.poll(ctx)
	if err == nil {
		f.proposeFirstEpoch(ctx)
	} else {
		err = f.fetchFromSeeds(ctx, err)
	}
	if f.hasConfigAndEpoch() {
		return nil
	}
	select {
	case <-ctx.Done():
		return errors.CombineErrors(ctx.Err(), err)
	case <-time.After(bootstrapRetryDelay):
		return err
	}
}

// proposeFirstEpoch creates the first epoch when the platform has none.
func (f *Fleet) proposeFirstEpoch(ctx context.Context) {
	f.mu.Lock()
	none := f.machine.Epoch().Number == 0
	f.mu.Unlock()
	if none {
		f.propose(ctx)
	}
}

// fetchFromSeeds fetches from every seed, because each may have a different
// epoch and revision; the largest are adopted.
func (f *Fleet) fetchFromSeeds(ctx context.Context, err error) error {
	for _, address := range f.opts.Seeds {
		if address == f.opts.Self.PeerAddress {
			continue
		}
		call := f.callSeed(address)
		err = errors.CombineErrors(err, f.fetchEpochFrom(ctx, call))
		err = errors.CombineErrors(err, f.fetchConfigFrom(ctx, call))
	}
	return err
}
