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
	methodNotify       = "jobs.notify"
	sectionJobs        = "jobs" // heartbeat section with cancelled jobs
	notifyTimeout      = time.Second
	maxParallelNotices = 32
	watchersPerZone    = 2
)

// Kinds of notices that hosts send each other.
const (
	noticeCreated   = "created"
	noticeCancelled = "cancelled"
	noticeFinished  = "chunk_finished"
)

// notice informs other hosts of a change before their next listing of jobs.
type notice struct {
	Kind  string       `json:"kind"`
	Job   string       `json:"job"`
	Entry *activeEntry `json:"entry,omitempty"` // for created
	Chunk int          `json:"chunk"`           // for chunk_finished
}

// heartbeatSection is the section of this package in the fleet's heartbeats.
type heartbeatSection struct {
	Cancelled []string `json:"cancelled"`
}

// discoverLoop lists the unfinished jobs at intervals.
func (s *Service) discoverLoop() {
	s.refreshJobs(s.drainCtx)
	s.runPeriodically(s.discoverInterval, s.refreshJobs)
}

func (s *Service) discoverInterval() time.Duration {
	if isWatcher(s.o.Fleet.View()) {
		return s.o.WatchInterval
	}
	return s.o.Discovery
}

// isWatcher reports whether this host is one of the first watchersPerZone alive
// hosts of its zone, which list jobs often to notice cancellations.
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

// refreshJobs updates the registry from a listing of the unfinished jobs.
func (s *Service) refreshJobs(ctx context.Context) {
	began := s.now()
	entries, err := s.listActive(ctx)
	if err != nil {
		counters.Add("discovery_errors", 1)
		return
	}
	s.registry.applyListing(entries, began)
	s.lease.recordListing(began)
	s.publishCancelled()
	s.wakeFill()
}

func (s *Service) publishCancelled() {
	s.o.Fleet.Publish(sectionJobs, heartbeatSection{Cancelled: s.registry.cancelledIDs()})
}

// receiveSection applies the cancellations in another host's heartbeat.
func (s *Service) receiveSection(_ peer.HostID, raw json.RawMessage) {
	var sec heartbeatSection
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
			s.wakeFill()
		}
	case noticeCancelled:
		s.registry.cancelJob(n.Job)
	case noticeFinished:
		if job := s.registry.get(n.Job); job != nil && job.markFinished(n.Chunk) {
			s.wakeFill()
			s.requestFinishCheck(job)
		}
	}
	return struct{}{}, nil
}

// broadcast sends the notice to all alive hosts in the background. Failures are
// only counted, because listings and heartbeats carry the same information.
func (s *Service) broadcast(n notice) {
	s.spawn(func() { s.broadcastNow(n) })
}

func (s *Service) broadcastNow(n notice) {
	if s.o.Peers == nil {
		return
	}
	var group errgroup.Group
	group.SetLimit(maxParallelNotices)
	for _, h := range s.aliveHosts() {
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

// aliveHosts returns the alive members.
func (s *Service) aliveHosts() []batch.Host {
	view := s.o.Fleet.View()
	out := make([]batch.Host, 0, len(view.Members))
	for _, m := range view.Members {
		if view.Alive[m.Host] {
			out = append(out, batch.Host{Name: string(m.Host), Size: m.Size})
		}
	}
	return out
}

// ownerAlive reports whether the owner's host is alive with the same incarnation.
func (s *Service) ownerAlive(o batch.Owner) bool {
	view := s.o.Fleet.View()
	for _, m := range view.Members {
		if string(m.Host) == o.Host {
			return view.Alive[m.Host] && (m.Incarnation == "" || m.Incarnation == o.Incarnation)
		}
	}
	return false
}

// hashHosts returns a hash of the alive hosts and their sizes.
func hashHosts(hosts []batch.Host) uint64 {
	raw, err := json.Marshal(hosts)
	if err != nil {
		return 0 // a host has only a name and a finite size
	}
	return xxhash.Sum64(raw)
}

// assignedChunks returns the job's chunks that are assigned to this host when the
// given hosts are alive. hostsHash is hashHosts(hosts).
func (s *Service) assignedChunks(job *activeJob, hosts []batch.Host, hostsHash uint64) []int {
	job.mu.Lock()
	defer job.mu.Unlock()
	if job.assignedHash == hostsHash {
		return job.assigned
	}
	job.assignment.Update(hosts)
	job.assignedHash, job.assigned = hostsHash, job.assignment.ChunksOf(string(s.o.Host))
	return job.assigned
}

// isFinisher reports whether this host is the one that ends the job.
func (s *Service) isFinisher(job *activeJob, hosts []batch.Host) bool {
	return batch.PreferredHost(job.entry.ID, -1, hosts) == string(s.o.Host)
}

// notifyFinisher notifies the host that ends the job of a finished chunk.
func (s *Service) notifyFinisher(job *activeJob, chunk int) {
	aliveHosts := s.aliveHosts()
	to := batch.PreferredHost(job.entry.ID, -1, aliveHosts)
	if to == string(s.o.Host) || to == "" || s.o.Peers == nil {
		return
	}
	s.notify(peer.HostID(to), notice{Kind: noticeFinished, Job: job.entry.ID, Chunk: chunk})
}
