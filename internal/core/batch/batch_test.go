package batch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// recordedClaim is a claim as its owner recorded it. A later claim may have
// replaced it.
type recordedClaim struct {
	epoch uint64
	owner Owner
}

// Guards against a second result for an item, a commit under an old epoch, a
// change of a finished chunk and a lost result, under any order of claims,
// commits of current and replaced owners, and sealing.
func TestChunkUnderRandomOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		items := rapid.IntRange(1, 20).Draw(t, "items")
		chunk := NewChunk(0, items)
		results := map[int]bool{}
		var claims []recordedClaim
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			prev := chunk
			switch rapid.IntRange(0, 9).Draw(t, "op") {
			case 0, 1:
				owner := Owner{Host: "h", Incarnation: fmt.Sprint(len(claims))}
				next, err := chunk.Claim(owner)
				if (err == nil) == chunk.Finished() {
					t.Fatalf("claim of a chunk in state %s: %v", chunk.State, err)
				}
				if err == nil {
					chunk = next
					claims = append(claims, recordedClaim{next.Epoch, owner})
				}
			case 2:
				if rapid.IntRange(0, 5).Draw(t, "seal") == 0 {
					chunk, _ = chunk.Seal()
				}
			default:
				if len(claims) > 0 {
					chunk = commitOne(t, chunk, rapid.SampledFrom(claims).Draw(t, "claim"), results)
				}
			}
			if chunk.Results.Count() != len(results) || chunk.Completed+chunk.Failed != len(results) {
				t.Fatalf("%d results recorded, %d accepted", chunk.Results.Count(), len(results))
			}
			if fmt.Sprint(prev) != fmt.Sprint(chunk) {
				if err := CheckSuccessor(prev, chunk); err != nil {
					t.Fatalf("successor: %v", err)
				}
			}
		}
	})
}

func commitOne(t *rapid.T, chunk Chunk, by recordedClaim, results map[int]bool) Chunk {
	item := rapid.IntRange(0, chunk.Items-1).Draw(t, "item")
	update := Commit{Epoch: by.epoch, Owner: by.owner, Outcomes: []Outcome{{Item: item, Failed: item%2 == 0}}}
	next, err := chunk.Apply(update)
	allowed := by.epoch == chunk.Epoch && by.owner == chunk.Owner && !chunk.Finished() && !results[item]
	if (err == nil) != allowed {
		t.Fatalf("commit allowed %v, got %v", allowed, err)
	}
	if err == nil {
		results[item] = true
	}
	return next
}

// Guards against a non-idempotent item that is pending for a new owner although
// an earlier owner may have sent it.
func TestIntendedItemsAreNotPendingForNewOwner(t *testing.T) {
	is := is.New(t)
	chunk, err := NewChunk(0, 4).Claim(Owner{Host: "a"})
	is.NoErr(err)
	commit := Commit{Epoch: 1, Owner: Owner{Host: "a"}}
	commit.Intend = []int{0, 1, 2}
	chunk, err = chunk.Apply(commit)
	is.NoErr(err)
	_, err = chunk.Apply(commit)
	is.True(errors.Is(err, ErrSecondIntent))
	commit.Intend, commit.Withdraw, commit.Outcomes = nil, []int{2}, []Outcome{{Item: 0}}
	chunk, err = chunk.Apply(commit)
	is.NoErr(err)
	chunk, err = chunk.Claim(Owner{Host: "b"})
	is.NoErr(err)
	is.Equal(chunk.Unresolved(), []int{1})
	is.Equal(chunk.Pending(3), []int{2, 3})
}

// Guards against an item that gets more attempts than allowed when its owners
// are replaced.
func TestAttemptsAreKeptAcrossOwners(t *testing.T) {
	is := is.New(t)
	chunk := NewChunk(0, 2)
	for n := range 3 {
		owner := Owner{Host: "h", Incarnation: fmt.Sprint(n)}
		var err error
		chunk, err = chunk.Claim(owner)
		is.NoErr(err)
		chunk, err = chunk.Apply(Commit{Epoch: chunk.Epoch, Owner: owner, Attempts: []byte{byte(chunk.AttemptCount(0) + 1), 0}})
		is.NoErr(err)
	}
	is.Equal(chunk.Exhausted(3), []int{0})
	is.Equal(chunk.Pending(3), []int{1})
}

// Guards against a job that ends before its chunks are finished, and against
// counts that change after its end.
func TestJobEnds(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1000)
	job := Job{Status: StatusInProgress, Chunks: 2, Counts: Counts{Total: 10}}
	_, err := job.End(Totals{Finished: 1}, now)
	is.True(err != nil)
	job, err = job.Cancel(now)
	is.NoErr(err)
	job, err = job.End(Totals{Finished: 2, Counts: Counts{Completed: 4}}, now)
	is.NoErr(err)
	is.Equal(job.Status, StatusCancelled)
	_, err = job.End(Totals{Finished: 2, Counts: Counts{Completed: 5}}, now)
	is.True(errors.Is(err, ErrCountsChanged))
	done := Job{Status: StatusCompleted}
	_, err = done.Cancel(now)
	is.True(errors.Is(err, ErrNotCancellable))
}

// Guards against an assignment that ignores the hosts' sizes, and one that moves
// chunks between remaining hosts when another host leaves.
func TestAssignment(t *testing.T) {
	is := is.New(t)
	hosts := []Host{{"a", 1}, {"b", 2}, {"c", 1}}
	const chunks = 8000
	count := map[string]int{}
	for n := range chunks {
		first := PreferredHost("job", n, hosts)
		count[first]++
		if without := PreferredHost("job", n, hosts[:2]); first != "c" && without != first {
			t.Fatalf("chunk %d moved from %s to %s", n, first, without)
		}
	}
	if share := float64(count["b"]) / chunks; math.Abs(share-0.5) > 0.03 {
		t.Errorf("the host of size 2 of 4 has %.3f of the chunks", share)
	}
	is.Equal(PreferredHost("job", 0, nil), "")
}

// Guards against an incremental assignment that differs from the full one.
func TestIncrementalAssignmentMatchesFull(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const chunks = 30
		a := NewAssignment("job", chunks)
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			var hosts []Host
			for _, name := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), rapid.ID).Draw(t, "hosts") {
				hosts = append(hosts, Host{name, float64(rapid.IntRange(1, 3).Draw(t, "size"))})
			}
			a.Update(hosts)
			total := 0
			for _, h := range hosts {
				for _, chunk := range a.ChunksOf(h.Name) {
					total++
					if PreferredHost("job", chunk, hosts) != h.Name {
						t.Fatalf("chunk %d is assigned to %s", chunk, h.Name)
					}
				}
			}
			if len(hosts) > 0 && total != chunks {
				t.Fatalf("%d chunks assigned", total)
			}
		}
	})
}

// Guards against a workspace with many early deadlines that keeps the chunks of
// others from being claimed, and against a wrong order within a workspace.
func TestClaimOrder(t *testing.T) {
	is := is.New(t)
	at := func(s int64) time.Time { return time.Unix(s, 0) }
	candidates := []Candidate{
		{Job: "late", Workspace: "a", Deadline: at(50)},
		{Job: "early", Workspace: "a", Deadline: at(10)},
		{Job: "other", Workspace: "b", Deadline: at(90)},
	}
	weight := func(string) float64 { return 1 }
	is.Equal(NextToClaim(candidates, map[string]int{}, weight), 1)
	is.Equal(NextToClaim(candidates, map[string]int{"a": 1}, weight), 2)
	is.Equal(NextToClaim(candidates, map[string]int{"a": 1, "b": 1}, weight), 1)
	is.Equal(NextToClaim(nil, nil, weight), -1)
}
