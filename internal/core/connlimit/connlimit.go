// Package connlimit decides which connection makes room for a new one when a host has as
// many as it may have.
package connlimit

import (
	"cmp"
	"slices"
	"time"
)

// stalledAfter is the silence from which an unfinished request makes room: a sound
// client sends its request at once.
const stalledAfter = time.Second

// State is what a connection is used for.
type State int

// States of a connection.
const (
	Busy       State = iota // a request that was read whole is being served
	Unfinished              // a request has begun to arrive, or none has since the start
	Idle                    // since the answer to a request
	Ending                  // its request was refused, and what it still sends is discarded
)

// Connection is an open connection.
type Connection struct {
	Owner string // its address
	State State
	Since time.Time // of the last byte or change of state
}

// Order returns the indices of the connections that may make room for a new one, the
// first one first: those that are ending, stalled requests, and idle connections, each of
// the owners with the most connections first and the longest silent first. Requests that
// were read whole are never among them.
func Order(list []Connection, now time.Time) []int {
	owners := map[string]int{}
	for _, c := range list {
		owners[c.Owner]++
	}
	var out []int
	for i, c := range list {
		if rank(c, now) > 0 {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(x, y int) int {
		a, b := list[x], list[y]
		return cmp.Or(cmp.Compare(rank(a, now), rank(b, now)), -cmp.Compare(owners[a.Owner], owners[b.Owner]), a.Since.Compare(b.Since))
	})
	return out
}

// rank returns the place of a connection's kind in the order, 0 if it makes no room.
func rank(c Connection, now time.Time) int {
	switch {
	case c.State == Ending:
		return 1
	case c.State == Unfinished && now.Sub(c.Since) >= stalledAfter:
		return 2
	case c.State == Idle:
		return 3
	}
	return 0
}
