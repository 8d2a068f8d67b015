package bulk

import (
	"context"
	"time"
)

// Once an item has run for readTickAfter, its stream is read only every readTick,
// at the same time as those of all other items. A wake-up of the process costs
// about ten system calls, and each server sends an event every 20 ms. The end of a
// run is detected half a tick later on average, which is one sixteenth of the
// shortest run.
const (
	readTick      = 50 * time.Millisecond
	readTickAfter = 8 * readTick
)

// awaitReadTick waits for the next read tick or the end of ctx.
func (s *Service) awaitReadTick(ctx context.Context) {
	s.mu.Lock()
	if s.nextRead == nil {
		s.nextRead = make(chan struct{})
		time.AfterFunc(readTick, s.endReadTick)
	}
	nextRead := s.nextRead
	s.mu.Unlock()
	select {
	case <-nextRead:
	case <-ctx.Done():
	}
}

func (s *Service) endReadTick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.nextRead)
	s.nextRead = nil
}
