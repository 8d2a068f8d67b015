package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"ragwortstep/internal/core/config"
	"ragwortstep/internal/core/membership"
	"ragwortstep/internal/store"
	"ragwortstep/internal/store/storetest"
)

// scaledConfig returns a configuration with two keys for each workspace and
// servers in the proportion of the design scale, 11,000 to 6,600 workspaces.
func scaledConfig(workspaces int) *config.Snapshot {
	s := config.EmptySnapshot()
	for i := range workspaces {
		name := fmt.Sprintf("w%04d", i)
		s.Workspaces[name] = config.Workspace{Name: name, Weight: 1, Rate: 10, Burst: 10, MaxQueue: 10}
		for j := range 2 {
			_, key, _ := config.NewKey(fmt.Appendf(nil, "%030d-%d", i, j), name, 1)
			s.Keys[key.ID] = key
		}
	}
	for i := range workspaces * 11_000 / 6600 {
		name := fmt.Sprintf("s%05d", i)
		s.Servers[name] = config.Server{Name: name, Pool: "lm", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250+1), Zone: "z1", Concurrency: 8, Speed: 1}
	}
	return s
}

func scaledState(b *testing.B, workspaces int) *configState {
	state, err := prepare(emptyState(), func(s *config.Snapshot) error {
		*s = *scaledConfig(workspaces)
		return nil
	})
	if err != nil {
		b.Fatal(err)
	}
	return state
}

func editRow(s *config.Snapshot) error {
	w := s.Workspaces["w0001"]
	w.Rate++
	s.Workspaces["w0001"] = w
	return nil
}

var workspaceCounts = []int{100, 1000, 6600}

// BenchmarkPrepareEdit measures the cost of one edited row at the writer:
// computing the next state with its encoded shards.
func BenchmarkPrepareEdit(b *testing.B) {
	for _, workspaces := range workspaceCounts {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			base := scaledState(b, workspaces)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := prepare(base, editRow); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkAdoptEdit measures the cost of one edited row at every other host:
// decoding the changed shard and merging the snapshot. The metric bytes is the
// size of the head and the shard that the host fetches.
func BenchmarkAdoptEdit(b *testing.B) {
	for _, workspaces := range workspaceCounts {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			base := scaledState(b, workspaces)
			next, err := prepare(base, editRow)
			if err != nil {
				b.Fatal(err)
			}
			raw := map[int][]byte{}
			rawHead, _ := json.Marshal(next.head)
			size := len(rawHead)
			for _, i := range next.head.missingShards(base) {
				raw[i] = next.raw[i]
				size += len(raw[i])
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := assemble(next.head, base, raw); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// BenchmarkConfigMemory measures the memory of one configuration as a host keeps
// it: encoded shards, decoded shards and snapshot.
func BenchmarkConfigMemory(b *testing.B) {
	for _, workspaces := range workspaceCounts {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			source := scaledState(b, workspaces)
			var before, after runtime.MemStats
			var state *configState
			for b.Loop() {
				state = nil
				runtime.GC()
				runtime.ReadMemStats(&before)
				raw := map[int][]byte{}
				for i := range source.raw {
					raw[i] = bytes.Clone(source.raw[i])
				}
				var err error
				if state, err = assemble(source.head, emptyState(), raw); err != nil {
					b.Fatal(err)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-bytes")
			runtime.KeepAlive(state)
			runtime.KeepAlive(source)
		})
	}
}

// BenchmarkHeartbeatSize reports the size of a heartbeat whose demand section
// lists the given number of workspaces, and of its reply. The time is that of
// encoding the heartbeat.
func BenchmarkHeartbeatSize(b *testing.B) {
	type demand struct {
		Workspace    string  `json:"w"`
		OnlineTokens float64 `json:"ot,omitempty"`
		OnlineItems  int     `json:"oi,omitempty"`
		BatchTokens  float64 `json:"bt,omitempty"`
		BatchItems   int     `json:"bi,omitempty"`
	}
	from := membership.Member{Host: "host-007", Incarnation: "0d9f9c3e-0000-4000-8000-000000000000", PeerAddress: "10.0.1.7:7002", Zone: "zone-01", Size: 1}
	for _, workspaces := range []int{0, 1, 20, 100} {
		b.Run(fmt.Sprintf("demand=%d", workspaces), func(b *testing.B) {
			list := make([]demand, workspaces)
			for i := range list {
				list[i] = demand{fmt.Sprintf("w%04d", i), 312.5, 2, 912.5, 6}
			}
			section, _ := json.Marshal(map[string]any{"lm": map[string]any{"workspaces": list}})
			content := heartbeatParams{
				Heartbeat: membership.Heartbeat{From: from, Generation: membership.Generation{Epoch: 1000, Revision: 1_000_000}},
				Seq:       100_000,
			}
			if workspaces > 0 {
				content.Sections = map[string]json.RawMessage{"demand": section}
			}
			var raw []byte
			for b.Loop() {
				raw, _ = json.Marshal(content)
			}
			reply := content.Heartbeat
			reply.From = membership.Member{Host: from.Host, Incarnation: from.Incarnation}
			answer, _ := json.Marshal(reply)
			b.ReportMetric(float64(len(raw)), "request-bytes")
			b.ReportMetric(float64(len(answer)), "answer-bytes")
		})
	}
}

// BenchmarkEpochSize reports the size of the epoch that every host fetches when
// a host joins or leaves.
func BenchmarkEpochSize(b *testing.B) {
	for _, hosts := range []int{8, 32, 128, 420} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			e := membership.Epoch{Number: 1000, Prior: []membership.Prior{{Number: 999}}}
			for i := range hosts {
				m := membership.Member{
					Host: fmt.Sprintf("host-%03d", i), Incarnation: fmt.Sprintf("0d9f9c3e-0000-4000-8000-%012d", i),
					PeerAddress: fmt.Sprintf("10.0.1.%d:7002", i%250), Zone: "zone-01", Size: 1,
				}
				e.Members = append(e.Members, m)
				e.Prior[0].Members = append(e.Prior[0].Members, m.ID())
			}
			var raw []byte
			for b.Loop() {
				raw, _ = json.Marshal(e)
			}
			b.ReportMetric(float64(len(raw)), "bytes")
		})
	}
}

// BenchmarkEditCalls reports the platform calls of one edited row at a writer
// that has the preceding revision.
func BenchmarkEditCalls(b *testing.B) {
	objects := storetest.New()
	writer := store.NewWriter("host-007/1")
	known := emptyState()
	calls := func() (sum int) {
		for _, op := range []string{"get", "list", "put", "delete"} {
			sum += objects.Calls(op)
		}
		return sum
	}
	edit := func(mutate func(*config.Snapshot) error) {
		next, err := writeState(context.Background(), objects, writer, known, AnyRevision, mutate)
		if err != nil {
			b.Fatal(err)
		}
		known = next
	}
	edit(func(s *config.Snapshot) error { *s = *scaledConfig(100); return nil })
	before, puts, edits := calls(), objects.Calls("put"), 0
	for b.Loop() {
		edit(editRow)
		edits++
	}
	b.ReportMetric(float64(calls()-before)/float64(edits), "calls/edit")
	b.ReportMetric(float64(objects.Calls("put")-puts)/float64(edits), "puts/edit")
}
