package slots_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"ragwortstep/internal/cluster"
	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/slots"
)

// readyServers returns entries of ready servers of service s with 4 slots.
func readyServers(ids ...string) []placement.Server {
	var list []placement.Server
	for _, id := range ids {
		list = append(list, placement.Server{ID: id, Service: "s", Zone: "z", Slots: 4, Ready: true})
	}
	return list
}

// queueRequest calls Acquire in a goroutine and sends the server's id, or the error.
func queueRequest(t *testing.T, s *slots.Scheduler, r slots.Request) (server chan string, failed chan error) {
	server, failed = make(chan string, 1), make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		slot, err := s.Acquire(ctx, r)
		if err != nil {
			failed <- err
			return
		}
		server <- slot.Server.ID
	}()
	synctest.Wait()
	return server, failed
}

// A request must not be sent to a server after one of its answers said that it is
// leaving: not a new one, not one of the other class, and not one that returns to
// servers that were full, although the entry is and stays ready.
func TestNoSlotAtLeavingServer(t *testing.T) {
	is := is.New(t)
	s := scheduler(t, 0, 0)
	s.SetServers(readyServers("a", "b"))
	answered := acquire(t, s, slots.Request{Service: "s", Class: placement.Online, Workspace: "o", Cost: 1, Only: []string{"a"}})
	answered.MarkLeaving("r")
	for _, list := range [][]placement.Server{readyServers("a", "b"), readyServers("b"), readyServers("a", "b")} {
		for _, class := range []placement.Class{placement.Online, placement.Batch} {
			for range 3 {
				slot := acquire(t, s, request(class, "w"))
				is.Equal(slot.Server.ID, "b")
				slot.Done(placement.Success, 1)
			}
			returning := request(class, "w")
			returning.Only = []string{"a"}
			_, err := s.Acquire(context.Background(), returning)
			var refused *slots.RefusedError
			is.True(errors.As(err, &refused))
		}
		s.SetServers(list)
	}
	answered.Done(placement.Success, 1)
	s.SetServers(readyServers("a@2", "b"))
	restarted := request(placement.Online, "w")
	restarted.Only = []string{"a@2"}
	is.Equal(acquire(t, s, restarted).Server.ID, "a@2")
}

// A request that waits must not get the slot that becomes free at a server that is
// leaving; it waits for another one.
func TestWaitingRequestGetsNoSlotAtLeavingServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := scheduler(t, 0, 0)
		s.SetServers(readyServers("a", "b"))
		held := map[string][]*slots.Slot{}
		for range 10 {
			slot := acquire(t, s, request(placement.Online, "o"))
			held[slot.Server.ID] = append(held[slot.Server.ID], slot)
		}
		server, failed := queueRequest(t, s, request(placement.Online, "o"))
		held["a"][0].MarkLeaving("r")
		for _, slot := range held["a"] {
			slot.Done(placement.Success, 1)
		}
		synctest.Wait()
		is.Equal(len(server)+len(failed), 0)
		held["b"][0].Done(placement.Success, 1)
		is.Equal(<-server, "b")
	})
}

// When the last server of a service is leaving, requests that wait must be refused
// at once, as if there were no server, instead of waiting until their deadline.
func TestWaitingRequestIsRefusedWhenAllServersLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := scheduler(t, 0, 0)
		s.SetServers(readyServers("a"))
		var held []*slots.Slot
		for range 5 {
			held = append(held, acquire(t, s, request(placement.Online, "o")))
		}
		started := time.Now()
		_, failed := queueRequest(t, s, request(placement.Online, "o"))
		_, itemFailed := queueRequest(t, s, request(placement.Batch, "b"))
		held[0].MarkLeaving("r")
		var refused *slots.RefusedError
		is.True(errors.As(<-failed, &refused))
		is.Equal(time.Since(started), time.Duration(0))
		is.True(errors.As(<-itemFailed, &refused))
		_, slotsLeft := s.ServiceLoad("s")
		is.Equal(slotsLeft, 0)
	})
}

// Each answer of a server that is leaving says so; the host must log only the
// first, with the request that brought it.
func TestLeavingServerIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	var lines bytes.Buffer
	logger := slog.New(slog.NewJSONHandler(&lines, nil))
	c := cluster.New(cluster.Options{Self: cluster.Member{Name: "a", Incarnation: 1}, Logger: logger})
	s := slots.New(slots.Options{Zone: "z", Cluster: c, Logger: logger})
	s.SetServers(readyServers("a"))
	first, second := acquire(t, s, request(placement.Online, "o")), acquire(t, s, request(placement.Online, "o"))
	first.MarkLeaving("request-1")
	second.MarkLeaving("request-2")
	s.SetServers(readyServers("a"))
	second.MarkLeaving("request-3")
	is.Equal(strings.Count(lines.String(), `"server_leaving"`), 1)
	is.True(strings.Contains(lines.String(), `"server":"a"`))
	is.True(strings.Contains(lines.String(), `"request":"request-1"`))
}

// A batch item at a server that takes no more requests must run on when an online
// request waits: its slot would not go to that request, which needs the slot of an
// item elsewhere.
func TestItemsAtLeavingServerAreNotPreempted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := scheduler(t, 0, 0)
		s.SetServers(readyServers("a", "b", "c"))
		held := map[string][]*slots.Slot{}
		for range 9 { // as many as batch work may occupy
			slot := acquire(t, s, request(placement.Batch, "b"))
			held[slot.Server.ID] = append(held[slot.Server.ID], slot)
		}
		held["a"][0].MarkLeaving("r")
		draining := readyServers("a", "b", "c")
		draining[1].Ready = false
		s.SetServers(draining)
		for range 12 {
			_, _ = queueRequest(t, s, request(placement.Online, "o"))
		}
		preempted := map[string]int{}
		for id, list := range held {
			for _, slot := range list {
				select {
				case <-slot.Preempted:
					preempted[id]++
				default:
				}
			}
		}
		is.Equal(preempted, map[string]int{"c": 3})
	})
}

// A request that only servers may take which are leaving, or draining by their
// entries, can't be served any more. It must be refused at once, also behind requests
// of its workspace that wait for other servers, and when it arrives behind them.
func TestRequestWithoutServerIsRefusedBehindOthers(t *testing.T) {
	for name, leave := range map[string]func(*slots.Scheduler, *slots.Slot){
		"by its answer": func(_ *slots.Scheduler, slot *slots.Slot) { slot.MarkLeaving("r") },
		"by its entry": func(s *slots.Scheduler, _ *slots.Slot) {
			draining := readyServers("a", "b")
			draining[0].Ready = false
			s.SetServers(draining)
		},
	} {
		for _, class := range []placement.Class{placement.Online, placement.Batch} {
			t.Run(fmt.Sprint(name, ", class ", class), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					s := scheduler(t, 0, 0)
					s.SetServers(readyServers("a", "b"))
					held := map[string]*slots.Slot{}
					for range 10 {
						slot := acquire(t, s, request(placement.Online, "o"))
						held[slot.Server.ID] = slot
					}
					for range 6 {
						earlier := request(class, "o")
						earlier.Deadline = time.Now().Add(time.Second)
						_, _ = queueRequest(t, s, earlier)
					}
					retry, returning := request(class, "o"), request(class, "o")
					retry.Tried, returning.Only = []string{"b"}, []string{"a"}
					var refused *slots.RefusedError
					started := time.Now()
					_, failed := queueRequest(t, s, retry)
					leave(s, held["a"])
					is.True(errors.As(<-failed, &refused))
					_, failed = queueRequest(t, s, returning)
					is.True(errors.As(<-failed, &refused))
					is.Equal(time.Since(started), time.Duration(0))
				})
			})
		}
	}
}

// The server had restarted under its name when it said that it is leaving, while the
// store could not be reached and the host's list had its earlier start. It must get no
// request when the list has its new start. Once it has left, its next start is used.
func TestLeavingServerIsNotUsedWhenItsRestartIsKnown(t *testing.T) {
	is := is.New(t)
	c := cluster.New(cluster.Options{Self: cluster.Member{Name: "a", Incarnation: 1}, Logger: slog.New(slog.DiscardHandler)})
	s := slots.New(slots.Options{Zone: "z", Cluster: c, ListAge: func() (time.Duration, bool) { return time.Minute, true }})
	entry := func(startedAt time.Time) []placement.Server {
		list := readyServers(fmt.Sprint("a@", startedAt.UnixMilli()))
		list[0].Instance, list[0].StartedAt = "a", startedAt
		return list
	}
	s.SetServers(entry(time.Now().Add(-time.Hour)))
	slot := acquire(t, s, request(placement.Online, "o"))
	slot.MarkLeaving("r")
	slot.Done(placement.Success, 1)
	s.SetServers(entry(time.Now().Add(-30 * time.Second)))
	_, err := s.Acquire(context.Background(), request(placement.Online, "o"))
	var refused *slots.RefusedError
	is.True(errors.As(err, &refused))
	s.SetServers(entry(time.Now().Add(time.Second)))
	acquire(t, s, request(placement.Online, "o")).Done(placement.Success, 1)
}
