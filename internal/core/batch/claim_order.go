package batch

import "time"

// Candidate is a chunk that a host could claim next.
type Candidate struct {
	Job       string
	Workspace string
	Chunk     int
	Deadline  time.Time
}

// Less orders the chunks of one workspace by deadline, then by job and chunk
// number.
func (c Candidate) Less(o Candidate) bool {
	switch {
	case !c.Deadline.Equal(o.Deadline):
		return c.Deadline.Before(o.Deadline)
	case c.Job != o.Job:
		return c.Job < o.Job
	}
	return c.Chunk < o.Chunk
}

// NextToClaim returns the index of the candidate to claim next, or -1. The workspace
// with the fewest open chunks relative to its weight comes first, so that a
// workspace with many early deadlines does not keep the others' items from the
// dispatcher, which applies the weights. Within a workspace the order is that of
// Less.
func NextToClaim(candidates []Candidate, open map[string]int, weight func(workspace string) float64) int {
	next := -1
	for i, c := range candidates {
		if next < 0 || claimsBefore(c, candidates[next], open, weight) {
			next = i
		}
	}
	return next
}

func claimsBefore(a, b Candidate, open map[string]int, weight func(string) float64) bool {
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
