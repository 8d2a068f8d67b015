package batch

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Host is a host that may run chunks. Size is its relative capacity.
type Host struct {
	Name string
	Size float64
}

// First returns the host that should run the chunk, or "" without hosts, by
// rendezvous hashing weighted by size: a host that leaves moves only its own
// chunks, and each host is first for a part of the chunks in proportion to its
// size.
func First(job string, chunk int, hosts []Host) string {
	return best(job, chunk, hosts, place{}).host
}

// place is a host with its score for one chunk.
type place struct {
	host  string
	score float64
}

// best returns the better of from and the best of hosts.
func best(job string, chunk int, hosts []Host, from place) place {
	for _, h := range hosts {
		s := score(job, chunk, h)
		if from.host == "" || s > from.score || s == from.score && h.Name < from.host {
			from = place{h.Name, s}
		}
	}
	return from
}

// Assignment keeps the first host of each chunk of a job. An update costs a
// hash per chunk and joined host, and one per host for the chunks of hosts
// that left, instead of one per chunk and host: with 420 hosts, 500 jobs of
// 400 chunks and a change every 20 s, the latter would keep cores busy.
type Assignment struct {
	job   string
	hosts map[string]float64 // sizes by name
	first []place
}

// NewAssignment returns the assignment of a job without hosts.
func NewAssignment(job string, chunks int) *Assignment {
	return &Assignment{job: job, hosts: map[string]float64{}, first: make([]place, chunks)}
}

// Update takes over the alive hosts.
func (a *Assignment) Update(hosts []Host) {
	sizes := make(map[string]float64, len(hosts))
	var joined []Host
	for _, h := range hosts {
		sizes[h.Name] = h.Size
		if size, known := a.hosts[h.Name]; !known || size != h.Size {
			joined = append(joined, h)
		}
	}
	for chunk, current := range a.first {
		size, stays := sizes[current.host]
		if stays && size == a.hosts[current.host] {
			a.first[chunk] = best(a.job, chunk, joined, current)
		} else {
			a.first[chunk] = best(a.job, chunk, hosts, place{})
		}
	}
	a.hosts = sizes
}

// Of returns the chunks that the host should run.
func (a *Assignment) Of(host string) []int {
	var out []int
	for chunk, p := range a.first {
		if p.host == host {
			out = append(out, chunk)
		}
	}
	return out
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
	next := -1
	for i, c := range candidates {
		if next < 0 || before(c, candidates[next], open, weight) {
			next = i
		}
	}
	return next
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
