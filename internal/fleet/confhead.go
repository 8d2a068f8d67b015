package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/config"
	"ragwortstep/internal/platform"
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

// head is the data of config/head. Its conditional update commits a revision.
type head struct {
	Revision int64    `json:"revision"`
	Shards   []string `json:"shards"` // key of each shard's object, empty for an empty shard
	Recent   []edit   `json:"recent"` // the last edits, oldest first
}

// edit describes one revision to hosts that did not see it, and to a writer
// whose answer was lost.
type edit struct {
	Revision int64  `json:"revision"`
	Token    string `json:"token"` // chosen by the writer, unique
	// Limits are the limits in force at Revision of the workspaces whose limit it changed.
	Limits  map[string]Limit `json:"limits,omitempty"`
	Unknown bool             `json:"unknown,omitempty"` // too many changed to be listed
}

// shard is a part of the configuration. Keys are kept with their workspace.
type shard struct {
	Workspaces map[string]config.Workspace `json:"workspaces,omitempty"`
	Keys       map[string]config.Key       `json:"keys,omitempty"`
	Routes     map[string]config.Route     `json:"routes,omitempty"`
	Servers    map[string]config.Server    `json:"servers,omitempty"`
}

// configState is a complete configuration in its stored and its usable form.
// It is immutable.
type configState struct {
	head     head
	raw      [][]byte // encoded shards
	parts    []shard
	snapshot *config.Snapshot
}

// emptyState is the configuration before the first revision.
func emptyState() *configState {
	return &configState{
		head:     head{Shards: make([]string, shardCount)},
		raw:      make([][]byte, shardCount),
		parts:    make([]shard, shardCount),
		snapshot: config.Empty(),
	}
}

func shardOf(name string) int { return int(xxhash.Sum64String(name) % shardCount) }

// split divides a snapshot into shards.
func split(s *config.Snapshot) []shard {
	parts := make([]shard, shardCount)
	for name, w := range s.Workspaces {
		put(&parts[shardOf(name)].Workspaces, name, w)
	}
	for id, k := range s.Keys {
		put(&parts[shardOf(k.Workspace)].Keys, id, k)
	}
	for name, r := range s.Routes {
		put(&parts[shardOf(name)].Routes, name, r)
	}
	for name, v := range s.Servers {
		put(&parts[shardOf(name)].Servers, name, v)
	}
	return parts
}

func put[V any](m *map[string]V, key string, value V) {
	if *m == nil {
		*m = map[string]V{}
	}
	(*m)[key] = value
}

// join builds the snapshot of a revision from its shards.
func join(revision int64, parts []shard) *config.Snapshot {
	s := config.Empty()
	s.Revision = revision
	for _, p := range parts {
		maps.Copy(s.Workspaces, p.Workspaces)
		maps.Copy(s.Keys, p.Keys)
		maps.Copy(s.Routes, p.Routes)
		maps.Copy(s.Servers, p.Servers)
	}
	return s
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
	if len(raw) > platform.MaxValueBytes {
		return nil, errors.Wrapf(platform.ErrTooLarge, "configuration shard of %d bytes", len(raw))
	}
	return raw, nil
}

// shardKey names a shard's object. The hash keeps two writers that prepare
// the same revision from overwriting each other's object.
func shardKey(index int, revision int64, raw []byte) string {
	return fmt.Sprintf("%s%d/%d-%016x", shardPrefix, index, revision, xxhash.Sum64(raw))
}

// assemble decodes the shards of a head. Shards whose key is unchanged are
// taken over from base, the others are obtained from raw.
func assemble(h head, base *configState, raw map[int][]byte) (*configState, error) {
	next := &configState{head: h, raw: make([][]byte, shardCount), parts: make([]shard, shardCount)}
	for i, key := range h.Shards {
		switch {
		case key == "":
		case key == base.head.Shards[i]:
			next.raw[i], next.parts[i] = base.raw[i], base.parts[i]
		default:
			next.raw[i] = raw[i]
			if err := json.Unmarshal(raw[i], &next.parts[i]); err != nil {
				return nil, errors.Wrapf(err, "decode %s", key)
			}
		}
	}
	next.snapshot = join(h.Revision, next.parts)
	return next, nil
}

// missing returns the indices of shards that base does not hold.
func (h head) missing(base *configState) []int {
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

// describe returns the edit that leads from one snapshot to the next.
func describe(from, to *config.Snapshot, token string) edit {
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

// between returns the edits after one revision and before another, and whether
// all of them are described.
func (h head) between(after, before int64) ([]edit, bool) {
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
