package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/config"
	"ragwortstep/internal/store"
)

const (
	headKey     = "config/head"
	shardPrefix = "config/shard/"
	// shardCount keeps a shard at about 70 KB with 6,600 workspaces, their keys
	// and 11,000 servers, which leaves room for uneven growth up to 1 MB.
	shardCount = 64
	// recentEdits is how many edits the head describes. A host that missed
	// more applies no shares until the new revision is activated.
	recentEdits = 32
	// maxEditLimits bounds the limits listed for one edit; an edit of more
	// workspaces is marked as unknown.
	maxEditLimits = 16
)

// head is the content of config/head. Its conditional update commits a revision.
type head struct {
	Revision int64    `json:"revision"`
	Shards   []string `json:"shards"` // key of each shard's object, empty for an empty shard
	Recent   []edit   `json:"recent"` // the last edits, oldest first
}

// edit describes one revision, for hosts that skipped it and for a writer that
// did not receive the platform's response to its commit.
type edit struct {
	Revision int64  `json:"revision"`
	Token    string `json:"token"` // chosen by the writer, unique
	// Limits holds the new limits of the workspaces whose limit changed.
	Limits  map[string]Limit `json:"limits,omitempty"`
	Unknown bool             `json:"unknown,omitempty"` // more than maxEditLimits limits changed
}

// shard is a part of the configuration. Keys are kept with their workspace.
type shard struct {
	Workspaces map[string]config.Workspace `json:"workspaces,omitempty"`
	Keys       map[string]config.Key       `json:"keys,omitempty"`
	Routes     map[string]config.Route     `json:"routes,omitempty"`
	Servers    map[string]config.Server    `json:"servers,omitempty"`
}

// configState is a complete configuration in encoded and decoded form. It is
// immutable.
type configState struct {
	head     head
	raw      [][]byte // encoded shards
	shards   []shard
	snapshot *config.Snapshot
}

// emptyState is the configuration before the first revision.
func emptyState() *configState {
	return &configState{
		head:     head{Shards: make([]string, shardCount)},
		raw:      make([][]byte, shardCount),
		shards:   make([]shard, shardCount),
		snapshot: config.EmptySnapshot(),
	}
}

func shardOf(name string) int { return int(xxhash.Sum64String(name) % shardCount) }

// splitShards divides a snapshot into shards.
func splitShards(s *config.Snapshot) []shard {
	shards := make([]shard, shardCount)
	for name, w := range s.Workspaces {
		put(&shards[shardOf(name)].Workspaces, name, w)
	}
	for id, k := range s.Keys {
		put(&shards[shardOf(k.Workspace)].Keys, id, k)
	}
	for name, r := range s.Routes {
		put(&shards[shardOf(name)].Routes, name, r)
	}
	for name, v := range s.Servers {
		put(&shards[shardOf(name)].Servers, name, v)
	}
	return shards
}

func put[V any](m *map[string]V, key string, value V) {
	if *m == nil {
		*m = map[string]V{}
	}
	(*m)[key] = value
}

// merge builds the snapshot of a revision from that of base and the changed
// shards. Objects of a kind that no changed shard touches are shared with base,
// because most revisions change one row of tens of thousands of objects.
func merge(revision int64, base *configState, shards []shard, changed []int) *config.Snapshot {
	return &config.Snapshot{
		Revision:   revision,
		Workspaces: mergeKind(base.snapshot.Workspaces, base.shards, shards, changed, func(p shard) map[string]config.Workspace { return p.Workspaces }),
		Keys:       mergeKind(base.snapshot.Keys, base.shards, shards, changed, func(p shard) map[string]config.Key { return p.Keys }),
		Routes:     mergeKind(base.snapshot.Routes, base.shards, shards, changed, func(p shard) map[string]config.Route { return p.Routes }),
		Servers:    mergeKind(base.snapshot.Servers, base.shards, shards, changed, func(p shard) map[string]config.Server { return p.Servers }),
	}
}

func mergeKind[V comparable](base map[string]V, before, after []shard, changed []int, kind func(shard) map[string]V) map[string]V {
	var touched []int
	for _, i := range changed {
		if !maps.Equal(kind(before[i]), kind(after[i])) {
			touched = append(touched, i)
		}
	}
	if len(touched) == 0 {
		return base
	}
	out := maps.Clone(base)
	// All removals come first, because a key moves to another shard with its workspace.
	for _, i := range touched {
		for name := range kind(before[i]) {
			delete(out, name)
		}
	}
	for _, i := range touched {
		maps.Copy(out, kind(after[i]))
	}
	return out
}

// equal reports whether two shards hold the same objects.
func (p shard) equal(o shard) bool {
	return maps.Equal(p.Workspaces, o.Workspaces) && maps.Equal(p.Keys, o.Keys) &&
		maps.Equal(p.Routes, o.Routes) && maps.Equal(p.Servers, o.Servers)
}

// encodeShard returns the stored form, nil for an empty shard. Equal shards
// have equal forms, because encoding/json sorts the keys of maps.
func encodeShard(p shard) ([]byte, error) {
	raw, err := json.Marshal(p)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration shard")
	}
	if string(raw) == "{}" {
		return nil, nil
	}
	if len(raw) > store.MaxValueBytes {
		return nil, errors.Wrapf(store.ErrTooLarge, "configuration shard of %d bytes", len(raw))
	}
	return raw, nil
}

// shardKey returns the key of a shard's object. The hash keeps two writers that
// prepare the same revision from overwriting each other's object.
func shardKey(index int, revision int64, raw []byte) string {
	return fmt.Sprintf("%s%d/%d-%016x", shardPrefix, index, revision, xxhash.Sum64(raw))
}

// assemble decodes the shards of a head. Shards whose key is unchanged are
// reused from base, the others are decoded from raw.
func assemble(h head, base *configState, raw map[int][]byte) (*configState, error) {
	next := &configState{head: h, raw: make([][]byte, shardCount), shards: make([]shard, shardCount)}
	var changed []int
	for i, key := range h.Shards {
		if key == base.head.Shards[i] {
			next.raw[i], next.shards[i] = base.raw[i], base.shards[i]
			continue
		}
		changed = append(changed, i)
		if key != "" {
			next.raw[i] = raw[i]
			if err := json.Unmarshal(raw[i], &next.shards[i]); err != nil {
				return nil, errors.Wrapf(err, "decode %s", key)
			}
		}
	}
	next.snapshot = merge(h.Revision, base, next.shards, changed)
	return next, nil
}

// missingShards returns the indices of shards that base does not hold.
func (h head) missingShards(base *configState) []int {
	var out []int
	for i, key := range h.Shards {
		if key != "" && key != base.head.Shards[i] {
			out = append(out, i)
		}
	}
	return out
}

func (h head) validate() error {
	if len(h.Shards) != shardCount {
		return errors.Newf("configuration head has %d shards, not %d", len(h.Shards), shardCount)
	}
	return nil
}

// newEdit returns the edit for the change from one snapshot to the next.
func newEdit(from, to *config.Snapshot, token string) edit {
	e := edit{Revision: to.Revision, Token: token, Limits: changedLimits(from, to)}
	if len(e.Limits) > maxEditLimits {
		e.Limits, e.Unknown = nil, true
	}
	return e
}

// changedLimits returns the limits in to of the workspaces whose limit differs in from.
func changedLimits(from, to *config.Snapshot) map[string]Limit {
	out := map[string]Limit{}
	for name, w := range to.Workspaces {
		if limitOf(from, name) != limitOf(to, name) {
			out[name] = Limit{Rate: w.Rate, Burst: w.Burst}
		}
	}
	for name := range from.Workspaces {
		if _, ok := to.Workspaces[name]; !ok {
			out[name] = Limit{}
		}
	}
	return out
}

// limitOf returns the workspace's limit, zero when it does not exist.
func limitOf(s *config.Snapshot, name string) Limit {
	w := s.Workspaces[name]
	return Limit{Rate: w.Rate, Burst: w.Burst}
}

// editsBetween returns the edits with revisions strictly between after and
// before, and whether all of them are listed with their limits.
func (h head) editsBetween(after, before int64) ([]edit, bool) {
	var out []edit
	complete := true
	for _, e := range h.Recent {
		if e.Revision > after && e.Revision < before {
			out = append(out, e)
			complete = complete && !e.Unknown
		}
	}
	return out, complete && int64(len(out)) == max(0, before-after-1)
}

func (h head) committed(token string) bool {
	return slices.ContainsFunc(h.Recent, func(e edit) bool { return e.Token == token })
}
