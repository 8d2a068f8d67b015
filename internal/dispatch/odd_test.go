package dispatch

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"ragwortstep/internal/backend"
	"ragwortstep/internal/core/config"
)

// Load reports and sections of other hosts that make no sense must not end the process
// nor keep it busy.
func TestOddReportsEndNothing(t *testing.T) {
	ints := []int{math.MinInt, math.MinInt32, -1, 0, 1, 8, 1 << 20, math.MaxInt32, math.MaxInt}
	sections := []string{
		`null`, `{}`, `[]`, `""`, `[null]`, `{"":null}`, `{"p":null}`, `[{}]`, `{"pools":null}`, `{"pools":{"p":null}}`, `{"pools":{"p":{"online":{"w":-1e300}}}}`,
		`{"p":{"w":{"tokens":1e300,"items":-1}}}`, `[{"fp":1}]`, `{"records":[null,{}]}`,
	}
	large := []float64{-1e300, -1, 0, 1, 1e18, 1e300}
	n := newNetwork(t, snapshot(nil, map[string]float64{"w": 1}), "h", "i")
	for _, name := range []string{"e", "f"} {
		n.cfg.Servers[name] = config.Server{Name: name, Pool: "p", Address: "127.0.0.1:1", Concurrency: 2, Speed: 1}
	}
	d := n.start(t, "h", Options{})
	rng := rand.New(rand.NewPCG(1, 0))
	pick := func() int { return ints[rng.IntN(len(ints))] }
	floats := []float64{math.Inf(1), math.Inf(-1), math.NaN(), -1, 0, 0.5, 1e300}
	o := pollObserver{d}
	for range 300 {
		load := backend.Load{Running: pick(), Waiting: pick(), Slots: pick(), KVUsed: floats[rng.IntN(len(floats))], AtMS: int64(pick())}
		o.LoadReported([]string{"e", "f", "gone"}[rng.IntN(3)], load, rng.IntN(4) > 0, time.Now(), time.Now())
		amount := func() float64 { return large[rng.IntN(len(large))] }
		demand, err := json.Marshal(demandMessage{"p": poolDemand{
			SlotShortage: rng.IntN(2) > 0, BatchRunning: pick(), OnlineWaiting: pick(), Limits: map[string]int{"e": pick(), "f": pick()},
			Workspaces: []workspaceDemand{{Workspace: "w", OnlineTokens: amount(), OnlineItems: pick(), BatchTokens: amount(), BatchItems: pick()}},
		}})
		if err != nil {
			t.Fatal(err)
		}
		n.hosts["h"].subs[demandSection]("i", demand)
		for _, fn := range n.hosts["h"].subs {
			fn("i", json.RawMessage(sections[rng.IntN(len(sections))]))
		}
		d.tick(time.Now())
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		_, _ = call(ctx, d, &Request{ID: "1", Workspace: "w", Idempotent: true, Class: []Class{Online, Batch}[rng.IntN(2)]}) // no server answers
		cancel()
	}
}
