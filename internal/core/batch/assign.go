package batch

import (
	"math"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Host is a host that may run chunks. Size is its relative capacity.
type Host struct {
	Name string
	Size float64
}

// Assign returns the hosts in the order in which they should run the chunk,
// by rendezvous hashing weighted by size: a host that leaves moves only its
// own chunks, and each host is first for a part of the chunks in proportion
// to its size.
func Assign(job string, chunk int, hosts []Host) []string {
	type scored struct {
		name  string
		score float64
	}
	ranked := make([]scored, 0, len(hosts))
	for _, h := range hosts {
		ranked = append(ranked, scored{h.Name, score(job, chunk, h)})
	}
	sort.Slice(ranked, func(i, j int) bool {
		if ranked[i].score != ranked[j].score {
			return ranked[i].score > ranked[j].score
		}
		return ranked[i].name < ranked[j].name
	})
	out := make([]string, len(ranked))
	for i, r := range ranked {
		out[i] = r.name
	}
	return out
}

// First returns the host that should run the chunk, or "" without hosts.
func First(job string, chunk int, hosts []Host) string {
	best, bestScore := "", -1.0
	for _, h := range hosts {
		s := score(job, chunk, h)
		if s > bestScore || s == bestScore && h.Name < best {
			best, bestScore = h.Name, s
		}
	}
	return best
}

// score is -size/ln(u) with u uniform in (0,1), which makes the chance of the
// largest score proportional to size.
func score(job string, chunk int, h Host) float64 {
	sum := xxhash.Sum64String(job + "\x00" + strconv.Itoa(chunk) + "\x00" + h.Name)
	u := (float64(sum>>11) + 0.5) / (1 << 53)
	return -max(h.Size, 0.01) / math.Log(u)
}

// Candidate is a chunk that a host could claim next.
type Candidate struct {
	Job       string
	Workspace string
	Chunk     int
	Deadline  time.Time
}

// Less orders the chunks of one workspace by deadline, then job and number.
func (c Candidate) Less(o Candidate) bool {
	switch {
	case !c.Deadline.Equal(o.Deadline):
		return c.Deadline.Before(o.Deadline)
	case c.Job != o.Job:
		return c.Job < o.Job
	}
	return c.Chunk < o.Chunk
}

// Next returns the index of the candidate to claim, or -1. The workspace with
// the fewest open chunks for its weight comes first, so that one with many
// early deadlines does not keep the others from the dispatcher, which applies
// the weights; inside a workspace the order is that of Less.
func Next(candidates []Candidate, open map[string]int, weight func(workspace string) float64) int {
	best := -1
	for i, c := range candidates {
		if best < 0 || before(c, candidates[best], open, weight) {
			best = i
		}
	}
	return best
}

func before(a, b Candidate, open map[string]int, weight func(string) float64) bool {
	if a.Workspace == b.Workspace {
		return a.Less(b)
	}
	la := float64(open[a.Workspace]) / max(weight(a.Workspace), 0.001)
	lb := float64(open[b.Workspace]) / max(weight(b.Workspace), 0.001)
	if la != lb {
		return la < lb
	}
	return a.Less(b)
}
