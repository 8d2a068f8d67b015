package batch

import (
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Host is a host that may run chunks. Size is its relative capacity.
type Host struct {
	Name string
	Size float64
}

// PreferredHost returns the host that should run the chunk, or "" without hosts. It uses
// weighted rendezvous hashing: when a host leaves, only its own chunks move, and
// each host gets chunks in proportion to its size.
func PreferredHost(job string, chunk int, hosts []Host) string {
	return bestHost(job, chunk, hosts, rankedHost{}).host
}

// rankedHost is a host with its score for one chunk.
type rankedHost struct {
	host  string
	score float64
}

// bestHost returns the host with the highest score among current and hosts.
// current may be the zero value.
func bestHost(job string, chunk int, hosts []Host, current rankedHost) rankedHost {
	for _, h := range hosts {
		s := score(job, chunk, h)
		if current.host == "" || s > current.score || s == current.score && h.Name < current.host {
			current = rankedHost{h.Name, s}
		}
	}
	return current
}

// Assignment maintains the host of each chunk of a job. An update computes one
// hash per chunk and joined host, and one per host for the chunks of hosts that
// left, instead of one per chunk and host. With 420 hosts, 500 jobs of 400 chunks
// and a change every 20 s, the latter would occupy several cores.
type Assignment struct {
	job       string
	hosts     map[string]float64 // sizes by name
	preferred []rankedHost
}

// NewAssignment returns the assignment of a job without hosts.
func NewAssignment(job string, chunks int) *Assignment {
	return &Assignment{job: job, hosts: map[string]float64{}, preferred: make([]rankedHost, chunks)}
}

// Update sets the alive hosts and reassigns the chunks that this affects.
func (a *Assignment) Update(hosts []Host) {
	sizes := make(map[string]float64, len(hosts))
	var changed []Host // joined or resized
	for _, h := range hosts {
		sizes[h.Name] = h.Size
		if size, known := a.hosts[h.Name]; !known || size != h.Size {
			changed = append(changed, h)
		}
	}
	for chunk, current := range a.preferred {
		size, stays := sizes[current.host]
		if stays && size == a.hosts[current.host] {
			a.preferred[chunk] = bestHost(a.job, chunk, changed, current)
		} else {
			a.preferred[chunk] = bestHost(a.job, chunk, hosts, rankedHost{})
		}
	}
	a.hosts = sizes
}

// ChunksOf returns the chunks that the host should run.
func (a *Assignment) ChunksOf(host string) []int {
	var out []int
	for chunk, p := range a.preferred {
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
