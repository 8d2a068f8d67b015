package schedule

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func always(Item) bool { return true }

// Guards against service that is not proportional to the weights while all
// workspaces are backlogged, for any weights and costs, with estimates that are
// corrected.
func TestFairByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "workspaces")
		q := NewQueue()
		weights := make([]float64, n)
		factor := make([]float64, n) // actual cost / estimate
		var total float64
		for i := range n {
			weights[i] = rapid.Float64Range(0.5, 8).Draw(t, "weight")
			factor[i] = rapid.Float64Range(0.2, 3).Draw(t, "factor")
			total += weights[i]
			q.SetWeight(Online, fmt.Sprint(i), weights[i])
		}
		id := uint64(0)
		push := func(i int) {
			id++
			cost := rapid.Float64Range(1, 100).Draw(t, "cost")
			q.Push(Item{ID: id, Workspace: fmt.Sprint(i), Cost: cost}, 0)
		}
		for i := range n {
			push(i)
			push(i)
		}
		served := make([]float64, n)
		var all float64
		for range 600 {
			it, _ := q.Pop(Online, always)
			var i int
			fmt.Sscan(it.Workspace, &i)
			actual := it.Cost * factor[i]
			q.CorrectCost(Online, it.Workspace, actual-it.Cost)
			served[i] += actual
			all += actual
			push(i)
		}
		for i := range n {
			// Each workspace may be ahead or behind by about one request.
			slack := 2 * 300.0 * float64(n)
			if diff := math.Abs(served[i] - all*weights[i]/total); diff > slack {
				t.Fatalf("workspace %d: served %.0f of %.0f, weight %.2f of %.2f", i, served[i], all, weights[i], total)
			}
		}
	})
}

// Guards against lost or repeated items, items in the wrong class, and broken
// deadline order and length bounds, under any sequence of operations.
func TestQueueKeepsItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue()
		const bound = 5
		present := map[uint64]Item{}
		id := uint64(0)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			class := Class(rapid.IntRange(0, 1).Draw(t, "class"))
			workspace := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace")
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0, 1:
				id++
				it := Item{ID: id, Workspace: workspace, Class: class, Cost: 1, Deadline: time.Unix(rapid.Int64Range(1, 9).Draw(t, "deadline"), 0)}
				waiting := 0
				for _, p := range present {
					if p.Workspace == workspace && p.Class == class {
						waiting++
					}
				}
				if q.Push(it, bound) != (waiting < bound) {
					t.Fatalf("push with %d waiting", waiting)
				}
				if waiting < bound {
					present[id] = it
				}
			case 2:
				it, ok := q.Pop(class, always)
				if !ok {
					continue
				}
				for _, p := range present {
					if p.Workspace == it.Workspace && p.Class == it.Class && p.Deadline.Before(it.Deadline) {
						t.Fatalf("popped deadline %v before %v", it.Deadline, p.Deadline)
					}
				}
				if _, ok := present[it.ID]; !ok || it.Class != class {
					t.Fatalf("popped item %d, which is not waiting in class %d", it.ID, class)
				}
				delete(present, it.ID)
			case 3:
				victim := rapid.Uint64Range(0, id).Draw(t, "victim")
				_, ok := present[victim]
				if q.Remove(victim) != ok {
					t.Fatalf("remove %d", victim)
				}
				delete(present, victim)
			}
			if q.Len(Online)+q.Len(Batch) != len(present) {
				t.Fatalf("length %d, want %d", q.Len(Online)+q.Len(Batch), len(present))
			}
			q.Prune()
		}
	})
}

// Guards against an item without a usable server that blocks the others.
func TestItemWithoutServerDoesNotBlockOthers(t *testing.T) {
	is := is.New(t)
	q := NewQueue()
	q.Push(Item{ID: 1, Workspace: "a", Cost: 1}, 0)
	q.Push(Item{ID: 2, Workspace: "a", Cost: 1}, 0)
	q.Push(Item{ID: 3, Workspace: "b", Cost: 1}, 0)
	fits := func(it Item) bool { return it.ID != 1 }
	it, ok := q.Pop(Online, fits)
	is.True(ok)
	is.Equal(it.ID, uint64(2))
	it, ok = q.Pop(Online, fits)
	is.True(ok)
	is.Equal(it.ID, uint64(3))
	_, ok = q.Pop(Online, fits)
	is.True(!ok)
	is.Equal(q.Len(Online), 1)
}

// Guards against entitlements beyond demand or capacity, capacity left unused
// while there is demand, and a workspace below its weighted share while another
// is above its own.
func TestWaterFill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(0, 1000).Draw(t, "capacity")
		claimants := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Claimant {
			return Claimant{rapid.Float64Range(0.1, 10).Draw(t, "weight"), rapid.Float64Range(0, 500).Draw(t, "demand")}
		}), 1, 10).Draw(t, "claimants")
		got := WaterFill(capacity, claimants)
		var sum, demand float64
		for i, c := range claimants {
			sum += got[i]
			demand += c.Demand
			if got[i] < 0 || got[i] > c.Demand+1e-9 {
				t.Fatalf("got %v of demand %v", got[i], c.Demand)
			}
			for j, o := range claimants {
				if got[i] < c.Demand-1e-6 && got[j]/o.Weight > got[i]/c.Weight+1e-6 {
					t.Fatalf("%d is unsatisfied at level %v, %d is at %v", i, got[i]/c.Weight, j, got[j]/o.Weight)
				}
			}
		}
		if math.Abs(sum-min(capacity, demand)) > 1e-6 {
			t.Fatalf("divided %v of %v with demand %v", sum, capacity, demand)
		}
	})
}

func drawDemand(t *rapid.T) ([]HostDemand, map[string]float64) {
	weights := map[string]float64{"a": 1, "b": 3, "c": 0.5}
	var hosts []HostDemand
	for i := range rapid.IntRange(1, 8).Draw(t, "hosts") {
		h := HostDemand{Host: fmt.Sprintf("h%d", i)}
		for _, w := range []string{"a", "b", "c"} {
			items := rapid.IntRange(0, 20).Draw(t, "items")
			cost := rapid.Float64Range(1, 500).Draw(t, "cost")
			h.Workspaces = append(h.Workspaces, WorkspaceDemand{
				Workspace: w, Online: Amount{float64(items) * cost, items}, Batch: Amount{float64(items) * cost, items},
			})
		}
		hosts = append(hosts, h)
	}
	return hosts, weights
}

// Guards against hosts' slots that do not add up to a server's limit.
func TestHostSlotsAddUpToLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts, weights := drawDemand(t)
		var servers []ServerLimit
		for i, limit := range rapid.SliceOfN(rapid.IntRange(1, 12), 1, 8).Draw(t, "limits") {
			servers = append(servers, ServerLimit{fmt.Sprint("s", i), limit})
		}
		rotation := rapid.Float64Range(0, 0.999).Draw(t, "rotation")
		var demand int
		for _, h := range hosts {
			for _, w := range h.Workspaces {
				demand += w.Online.Items
			}
		}
		for class := range classCount {
			sum := map[string]int{}
			for _, h := range hosts {
				d := Divide(h.Host, 100, weights, hosts)
				for server, n := range d.ServerSlots(servers, class, rotation) {
					if n < 0 {
						t.Fatalf("host %s has %d slots", h.Host, n)
					}
					sum[server] += n
				}
			}
			for _, s := range servers {
				if demand > 0 && sum[s.Server] != s.Limit {
					t.Fatalf("class %d: parts of %s add up to %d of %d", class, s.Server, sum[s.Server], s.Limit)
				}
			}
		}
	})
}

// Guards against service that deviates from the weights when the hosts receive
// unequal shares of each workspace's traffic: the hosts' shares times the local
// weights must give each workspace its entitlement.
func TestUnequalTrafficKeepsEntitlements(t *testing.T) {
	is := is.New(t)
	weights := map[string]float64{"a": 1, "b": 3}
	demand := func(a, b int) []WorkspaceDemand {
		return []WorkspaceDemand{
			{Workspace: "a", Online: Amount{float64(a) * 10, a}},
			{Workspace: "b", Online: Amount{float64(b) * 10, b}},
		}
	}
	hosts := []HostDemand{{"h1", demand(900, 100)}, {"h2", demand(50, 500)}, {"h3", demand(50, 400)}}
	service := map[string]float64{}
	for _, h := range hosts {
		d := Divide(h.Host, 100, weights, hosts)
		local := d.Weights[Online]
		for w, weight := range local {
			service[w] += (d.online.high - d.online.low) * weight / (local["a"] + local["b"])
		}
	}
	is.True(math.Abs(service["a"]-0.25) < 1e-9)
	is.True(math.Abs(service["b"]-0.75) < 1e-9)
}

// Guards against rounding that adds up over a pool of servers with the same
// limit.
func TestSlotRoundingOverPoolIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		low := rapid.Float64Range(0, 0.9).Draw(t, "low")
		d := Division{online: interval{low, rapid.Float64Range(low, 1).Draw(t, "high")}}
		var servers []ServerLimit
		for i := range rapid.IntRange(1, 30).Draw(t, "servers") {
			servers = append(servers, ServerLimit{fmt.Sprint("s", i), 6})
		}
		sum := 0
		for _, n := range d.ServerSlots(servers, Online, rapid.Float64Range(0, 0.999).Draw(t, "rotation")) {
			sum += n
		}
		if want := (d.online.high - d.online.low) * 6 * float64(len(servers)); math.Abs(float64(sum)-want) > 2 {
			t.Fatalf("%d slots, want %.2f", sum, want)
		}
	})
}

// Guards against a reserve larger than the slots, and one that differs from the
// mean plus its square root.
func TestReserve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var servers []ServerCapacity
		slots := 0
		for i := range rapid.IntRange(1, 20).Draw(t, "servers") {
			s := ServerCapacity{fmt.Sprint("s", i), rapid.IntRange(1, 16).Draw(t, "limit"), rapid.Float64Range(0.001, 1).Draw(t, "service"), rapid.Float64Range(0, 20).Draw(t, "online")}
			slots += s.Limit
			servers = append(servers, s)
		}
		mean := rapid.Float64Range(0, 200).Draw(t, "mean")
		sum := 0
		reserve := Reserve(mean, servers)
		for _, s := range servers {
			if n := reserve[s.Server]; n < 0 || n > s.Limit {
				t.Fatalf("reserve %d of %d slots", n, s.Limit)
			}
			sum += reserve[s.Server]
		}
		want := min(float64(slots), max(mean+math.Sqrt(mean), float64(slots)*minReserveShare))
		if math.Abs(float64(sum)-want) > 1 {
			t.Fatalf("reserve %d of %d slots, want %.2f", sum, slots, want)
		}
	})
}
