package slots_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"ragwortstep/internal/cluster"
	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/slots"
)

// scheduler returns one with n servers of the given slots.
func scheduler(t *testing.T, n, each int) *slots.Scheduler {
	t.Helper()
	udp, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = udp.Close() })
	logger := slog.New(slog.DiscardHandler)
	c := cluster.New(cluster.Options{Self: cluster.Member{Name: "a", Incarnation: 1}, Conn: udp, Logger: logger})
	s := slots.New(slots.Options{Zone: "z", Cluster: c, Logger: logger})
	var list []placement.Server
	for i := range n {
		list = append(list, placement.Server{ID: fmt.Sprint("s", i), Service: "s", Zone: "z", Slots: each, Ready: true})
	}
	s.SetServers(list)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.Run(ctx)
	return s
}

func work(class placement.Class, workspace string) slots.Work {
	return slots.Work{Service: "s", Class: class, Workspace: workspace, Cost: 1, Deadline: time.Now().Add(5 * time.Second)}
}

func acquire(t *testing.T, s *slots.Scheduler, w slots.Work) *slots.Slot {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	p, err := s.Acquire(ctx, w)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// TestBatchStepsAsideForABurst answers a burst of online requests that meets
// servers full of batch items: each request that waits moves one item.
func TestBatchStepsAsideForABurst(t *testing.T) {
	is := is.New(t)
	s := scheduler(t, 2, 8)
	var group sync.WaitGroup
	moved, over := make(chan struct{}, 100), make(chan struct{})
	for range 14 { // all that batch work may take
		p := acquire(t, s, work(placement.Batch, "b"))
		group.Go(func() {
			select {
			case <-p.Aside:
				moved <- struct{}{}
			case <-over:
			}
			p.Done(placement.Neutral, 0)
		})
	}
	started := time.Now()
	for range 12 {
		acquire(t, s, work(placement.Online, "o"))
	}
	is.True(time.Since(started) < 200*time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	is.True(len(moved) >= 6)
	is.True(len(moved) <= 14)
	close(over) // items stay where a server has slots for them beside the burst
	group.Wait()
}

// TestBatchWaitsWhileOnlineWaits guards against a batch item that takes the
// place which an online request waits for.
func TestBatchWaitsWhileOnlineWaits(t *testing.T) {
	is := is.New(t)
	s := scheduler(t, 1, 4)
	var held []*slots.Slot
	for range 5 {
		held = append(held, acquire(t, s, work(placement.Online, "o")))
	}
	order := make(chan string, 2)
	go func() { acquire(t, s, work(placement.Batch, "b")); order <- "batch" }()
	time.Sleep(20 * time.Millisecond)
	go func() { acquire(t, s, work(placement.Online, "o")); order <- "online" }()
	time.Sleep(20 * time.Millisecond)
	for _, p := range held {
		p.Done(placement.Good, 1)
	}
	is.Equal(<-order, "online")
	is.Equal(<-order, "batch")
}

// TestWorkspacesShareAQueue answers one workspace that sends many times its
// usual: the other's requests are not behind all of it.
func TestWorkspacesShareAQueue(t *testing.T) {
	is := is.New(t)
	s := scheduler(t, 1, 4)
	var held []*slots.Slot
	for range 5 {
		held = append(held, acquire(t, s, work(placement.Online, "hot")))
	}
	order := make(chan string, 64)
	for range 40 {
		go func() { p := acquire(t, s, work(placement.Online, "hot")); order <- "hot"; p.Done(placement.Good, 1) }()
	}
	time.Sleep(50 * time.Millisecond)
	go func() { p := acquire(t, s, work(placement.Online, "calm")); order <- "calm"; p.Done(placement.Good, 1) }()
	time.Sleep(50 * time.Millisecond)
	for _, p := range held {
		p.Done(placement.Good, 1)
	}
	for i := range 41 {
		if <-order == "calm" {
			is.True(i < 10)
			return
		}
	}
	t.Error("the calm workspace got no place")
}

// TestWhatCannotBeServedIsRefusedAtOnce answers a queue that is longer than
// the deadline allows: a new request does not wait for its deadline.
func TestWhatCannotBeServedIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	s := scheduler(t, 1, 4)
	for range 3 { // the mean time of a request is learned
		p := acquire(t, s, work(placement.Online, "o"))
		time.Sleep(100 * time.Millisecond)
		p.Done(placement.Good, 1)
	}
	for range 5 {
		acquire(t, s, work(placement.Online, "o"))
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range 60 {
		go func() { _, _ = s.Acquire(ctx, work(placement.Online, "o")) }() // ends with the test
	}
	time.Sleep(50 * time.Millisecond)
	w := work(placement.Online, "o")
	w.Deadline = time.Now().Add(150 * time.Millisecond)
	started := time.Now()
	_, err := s.Acquire(ctx, w)
	var refused *slots.RefusedError
	is.True(errors.As(err, &refused))
	is.True(refused.After > 0)
	is.True(time.Since(started) < 50*time.Millisecond)
}

// TestAnAbandonedWaitLosesNoPlace guards against places that are given to
// requests whose caller has left.
func TestAnAbandonedWaitLosesNoPlace(t *testing.T) {
	is := is.New(t)
	s := scheduler(t, 1, 4)
	for range 50 {
		var held []*slots.Slot
		for range 5 {
			held = append(held, acquire(t, s, work(placement.Online, "o")))
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			if p, err := s.Acquire(ctx, work(placement.Online, "o")); err == nil {
				p.Done(placement.Neutral, 0)
			}
		}()
		go cancel()
		for _, p := range held {
			p.Done(placement.Good, 1)
		}
		<-done
	}
	load, _ := s.Fill("s")
	is.Equal(load, 0)
}

func TestNoServerIsToldAtOnce(t *testing.T) {
	is := is.New(t)
	s := scheduler(t, 0, 0)
	_, err := s.Acquire(context.Background(), work(placement.Online, "o"))
	var refused *slots.RefusedError
	is.True(errors.As(err, &refused))
}
