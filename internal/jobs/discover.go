package jobs

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"ragwortstep/internal/core/batch"
	"ragwortstep/internal/fleet"
	"ragwortstep/internal/peer"
)

const (
	methodNotify    = "jobs.notify"
	sectionJobs     = "jobs" // heartbeat section with cancelled jobs
	notifyTimeout   = time.Second
	notifyParallel  = 32
	watchersPerZone = 2
)

// Kinds of notices between hosts.
const (
	noticeCreated   = "created"
	noticeCancelled = "cancelled"
	noticeFinished  = "chunk_finished"
)

// notice tells other hosts of a change before their next listing does.
type notice struct {
	Kind  string       `json:"kind"`
	Job   string       `json:"job"`
	Entry *activeEntry `json:"entry,omitempty"` // for created
	Chunk int          `json:"chunk"`           // for chunk_finished
}

// section is this package's part of the heartbeats.
type section struct {
	Cancelled []string `json:"cancelled"`
}

// discoverLoop lists the unfinished jobs.
func (s *Service) discoverLoop() {
	s.discover(s.draining)
	s.every(s.discoverInterval, s.discover)
}

func (s *Service) discoverInterval() time.Duration {
	if isWatcher(s.o.Fleet.View()) {
		return s.o.WatchInterval
	}
	return s.o.Discovery
}

// isWatcher reports whether this host is one of the first alive hosts of its zone.
func isWatcher(v fleet.View) bool {
	zone := ""
	for _, m := range v.Members {
		if m.Host == v.Self {
			zone = m.Zone
		}
	}
	var alive []string
	for _, m := range v.Members {
		if m.Zone == zone && v.Alive[m.Host] {
			alive = append(alive, string(m.Host))
		}
	}
	sort.Strings(alive)
	for i, name := range alive {
		if name == string(v.Self) {
			return i < watchersPerZone
		}
	}
	return false
}

func (s *Service) discover(ctx context.Context) {
	began := s.now()
	entries, err := s.listActive(ctx)
	if err != nil {
		counters.Add("discovery_errors", 1)
		return
	}
	s.registry.sync(entries, began)
	s.lease.listed(began)
	s.publishCancelled()
	s.wake()
}

func (s *Service) publishCancelled() {
	s.o.Fleet.Publish(sectionJobs, section{Cancelled: s.registry.cancelledIDs()})
}

// receiveSection takes over cancellations from another host's heartbeat.
func (s *Service) receiveSection(_ peer.HostID, raw json.RawMessage) {
	var sec section
	if json.Unmarshal(raw, &sec) != nil {
		counters.Add("malformed_sections", 1)
		return
	}
	for _, id := range sec.Cancelled {
		s.registry.cancelJob(id)
	}
}

// handleNotify serves jobs.notify.
func (s *Service) handleNotify(_ context.Context, from peer.HostID, params json.RawMessage) (any, error) {
	var n notice
	if err := json.Unmarshal(params, &n); err != nil {
		return nil, errors.Wrapf(err, "decode %s of %s", methodNotify, from)
	}
	switch n.Kind {
	case noticeCreated:
		if n.Entry != nil {
			s.registry.add(*n.Entry)
			s.wake()
		}
	case noticeCancelled:
		s.registry.cancelJob(n.Job)
	case noticeFinished:
		if job := s.registry.get(n.Job); job != nil && job.markFinished(n.Chunk) {
			s.wake()
			s.finishSoon(job)
		}
	}
	return struct{}{}, nil
}

// announce sends the notice to all alive hosts in the background. It is a
// hint: listings and heartbeats carry the same facts.
func (s *Service) announce(n notice) {
	s.spawn(func() { s.announceNow(n) })
}

func (s *Service) announceNow(n notice) {
	if s.o.Peers == nil {
		return
	}
	var group errgroup.Group
	group.SetLimit(notifyParallel)
	for _, h := range s.hosts() {
		if h.Name == string(s.o.Host) {
			continue
		}
		group.Go(func() error {
			s.notify(peer.HostID(h.Name), n)
			return nil
		})
	}
	_ = group.Wait() // notify reports no errors
}

func (s *Service) notify(to peer.HostID, n notice) {
	ctx, cancel := context.WithTimeout(s.ctx, notifyTimeout)
	defer cancel()
	if err := s.o.Peers.Call(ctx, to, methodNotify, n, nil); err != nil {
		counters.Add("notify_errors", 1)
	}
}

// hosts returns the alive members.
func (s *Service) hosts() []batch.Host {
	view := s.o.Fleet.View()
	out := make([]batch.Host, 0, len(view.Members))
	for _, m := range view.Members {
		if view.Alive[m.Host] {
			out = append(out, batch.Host{Name: string(m.Host), Size: m.Size})
		}
	}
	return out
}

// ownerAlive reports whether the owner's incarnation is an alive member.
func (s *Service) ownerAlive(o batch.Owner) bool {
	view := s.o.Fleet.View()
	for _, m := range view.Members {
		if string(m.Host) == o.Host {
			return view.Alive[m.Host] && (m.Incarnation == "" || m.Incarnation == o.Incarnation)
		}
	}
	return false
}

// viewHash identifies the set of alive hosts and their sizes.
func viewHash(hosts []batch.Host) uint64 {
	raw, err := json.Marshal(hosts)
	if err != nil {
		return 0 // a host has only a name and a finite size
	}
	return xxhash.Sum64(raw)
}

// assigned returns the job's chunks that this host should run among the alive hosts.
func (s *Service) assigned(job *activeJob, hosts []batch.Host, key uint64) []int {
	job.mu.Lock()
	defer job.mu.Unlock()
	if job.viewKey == key {
		return job.mine
	}
	job.assignment.Update(hosts)
	job.viewKey, job.mine = key, job.assignment.Of(string(s.o.Host))
	return job.mine
}

// finisher reports whether this host ends the job.
func (s *Service) finisher(job *activeJob, hosts []batch.Host) bool {
	return batch.First(job.entry.ID, -1, hosts) == string(s.o.Host)
}

// notifyFinisher tells the host that ends the job that a chunk is finished.
func (s *Service) notifyFinisher(job *activeJob, chunk int) {
	hosts := s.hosts()
	to := batch.First(job.entry.ID, -1, hosts)
	if to == string(s.o.Host) || to == "" || s.o.Peers == nil {
		return
	}
	s.notify(peer.HostID(to), notice{Kind: noticeFinished, Job: job.entry.ID, Chunk: chunk})
}
