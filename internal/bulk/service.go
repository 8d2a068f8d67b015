package bulk

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/cockroachdb/errors"

	"ragwortstep/internal/cluster"
	"ragwortstep/internal/core/itemlist"
	"ragwortstep/internal/informer"
	"ragwortstep/internal/metrics"
	"ragwortstep/internal/online"
	"ragwortstep/internal/peer"
	"ragwortstep/internal/slots"
	"ragwortstep/internal/store"
	"ragwortstep/internal/upstream"
)

const (
	// maxConcurrentItems bounds the items of one route that run or wait for a slot at this
	// host.
	maxConcurrentItems = 128
	// maxOpenItems bounds the unfinished items of the jobs that this host runs.
	// With a mean body of 1.5 KB and a mean output of 16 KB they take about 18 MB.
	maxOpenItems = 1000
	// submitTimeout bounds a submission, and answerMargin is how long before the caller's
	// deadline its answer is sent. headTime is the part of it reserved for the write of the
	// head: before that, a refusal promises that the job will not run.
	submitTimeout = 3500 * time.Millisecond
	answerMargin  = 300 * time.Millisecond
	headTime      = time.Second
	// ownershipInterval is how often the ownership of jobs is checked.
	ownershipInterval = 250 * time.Millisecond
	// idleJobTTL is how long a job's results stay in memory after their last use.
	idleJobTTL = 45 * time.Second
	// idleItemsTTL is how long the items of a job that another host runs are kept.
	idleItemsTTL = 5 * time.Second
)

// Options configures a Service. All fields but Logger are required.
type Options struct {
	Store    store.Store
	Cluster  *cluster.Cluster
	Informer *informer.Informer
	Peers    peer.Caller
	Config   online.Config
	Codec    online.Codec
	Items    ItemCodec
	Slots    *slots.Scheduler
	Upstream *upstream.Client
	Metrics  *metrics.Registry
	// Readable is how long a job's results stay in the store after its
	// submission, 0 for no limit.
	Readable time.Duration
	// JobMemory bounds the bytes of the items of the jobs that this host runs, 0 for no
	// bound. A single job is run whatever its size.
	JobMemory int64
	Logger    *slog.Logger
}

// Service accepts and runs jobs and serves their results. It is safe for
// concurrent use.
type Service struct {
	opts    Options
	log     *slog.Logger
	records records
	started time.Time
	pace    pace

	mu             sync.Mutex
	workers        map[string]pond.Pool // that run items, by route
	runCtx         context.Context      // parent of the jobs' contexts
	stopRuns       context.CancelFunc
	leaving        bool
	heads          map[string]headCopy
	jobs           map[string]*job           // that this host runs or whose results it served recently
	reportedClaims map[string]reportedClaims // by sender of the digest
	unownedSince   map[string]time.Time      // since when no host claims a job
	// partition is when a peer was last dead or this host was last suspended.
	// Another host may have run this host's jobs until then.
	partition   time.Time
	suspensions suspensionDetector
	nextRead    chan struct{} // closed at the next read tick; nil if no stream waits for it
}

// headCopy is a head with its version in the store.
type headCopy struct {
	Head
	version int64
}

// job is this host's state of one job.
type job struct {
	id string

	mu    sync.Mutex
	head  Head
	list  *itemlist.List
	items map[string]*Item // nil until the payload has been read
	bytes int64            // of items, 0 until then
	owned bool
	// loaded is whether the segments written by earlier owners have been read.
	// Until then this host's list may lack results that callers have already got
	// from other hosts.
	loaded         bool
	ended          bool
	stop           context.CancelFunc // ends the context of the last claim
	resultsChanged chan struct{}      // closed and replaced when results are listed or the job ends
	committing     bool               // a commitLoop is running
	lastUsed       time.Time
	lastSynced     time.Time     // start of the last syncSegments that read up to the end
	segmentLock    chan struct{} // capacity 1; held while segments are read or written
	accepted       time.Time     // on this host's clock
	noRouteSince   time.Time     // since when the configuration lacks the job's route; zero if it has it
}

// New returns a Service that is registered with the cluster, the informer and the
// peers.
func New(opts Options) *Service {
	if opts.Logger == nil {
		opts.Logger = slog.Default()
	}
	s := &Service{
		opts: opts, log: opts.Logger, records: records{opts.Store}, started: time.Now(), workers: map[string]pond.Pool{},
		heads: map[string]headCopy{}, jobs: map[string]*job{}, reportedClaims: map[string]reportedClaims{}, unownedSince: map[string]time.Time{},
	}
	s.runCtx, s.stopRuns = context.WithCancel(context.Background())
	opts.Cluster.Provide(claimSection, s.digest)
	opts.Cluster.Merge(claimSection, mergeClaims)
	opts.Cluster.Receive(claimSection, s.receiveClaims)
	opts.Informer.OnChange(headPrefix, s.headsChanged)
	opts.Peers.Handle(resultsMethod, s.serveResults)
	opts.Peers.Handle(bodyMethod, s.serveBody)
	return s
}

// Collection is the store's collection of heads, which every host copies.
const Collection = headPrefix

// Run maintains the ownership of jobs and removes expired ones until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker, sweeps := time.NewTicker(ownershipInterval), time.NewTicker(sweepInterval)
	defer ticker.Stop()
	defer sweeps.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sweeps.C:
			s.sweep(ctx)
		case <-ticker.C:
			s.recordPartition(time.Now())
			s.checkOwnership(time.Now())
			s.checkRoutes(time.Now())
			s.dropUnused(time.Now())
		}
	}
}

// Close stops all jobs, so that other hosts take them over, and lists the results
// that are still pending, until ctx ends.
func (s *Service) Close(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	jobs := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		jobs = append(jobs, j)
	}
	s.mu.Unlock()
	s.opts.Cluster.SendNow()
	s.stopRuns()
	for _, j := range jobs {
		if j.isOwned() {
			if err := s.commitAll(ctx, j); err != nil {
				s.log.Warn("cannot list results at shutdown", "step", "commit", "job", j.id, "error", err)
			}
			s.release(j)
		}
	}
}

// headsChanged processes a new copy of the heads from the informer.
func (s *Service) headsChanged(c informer.Copy) {
	for _, j := range s.replaceHeads(c) {
		s.markEnded(j)
	}
}

// replaceHeads replaces the heads and returns the jobs of this host that have ended. The
// informer recovers its panics.
func (s *Service) replaceHeads(c informer.Copy) []*job {
	s.mu.Lock()
	defer s.mu.Unlock()
	heads := make(map[string]headCopy, len(c.Objects))
	for key, obj := range c.Objects {
		id, ok := JobFromKey(key)
		if !ok {
			continue
		}
		if known, ok := s.heads[id]; ok && known.version == obj.Version {
			heads[id] = known
			continue
		}
		head, err := DecodeHead(obj.Value)
		if err != nil {
			s.log.Warn("cannot decode job head", "step", "decode head", "job", id, "error", err)
			continue
		}
		heads[id] = headCopy{head, obj.Version}
	}
	s.heads = heads
	var ended []*job
	for id, h := range heads {
		j, ok := s.jobs[id]
		switch {
		case ok && h.Ended:
			ended = append(ended, j)
		case ok && h.Done:
			j.markDone()
		}
	}
	return ended
}

// markDone records that all items of a job are listed. If this host's list is
// incomplete, another host listed them, and this one stops running the job.
func (j *job) markDone() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.head.Done = true
	if !j.list.Complete() {
		j.owned, j.loaded = false, false
		if j.stop != nil {
			j.stop()
		}
	}
}

// markEnded stops a job that its caller ended.
func (s *Service) markEnded(j *job) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ended {
		return
	}
	j.ended, j.head.Ended = true, true
	if j.stop != nil {
		j.stop()
	}
	j.notifyReaders()
	s.log.Info("job ended by its caller", "event", "job_ended", "job", j.id, "listed", j.list.Len(), "items", j.list.Total())
}

// notifyReaders wakes the calls that wait for results. The caller holds mu.
func (j *job) notifyReaders() {
	close(j.resultsChanged)
	j.resultsChanged = make(chan struct{})
}

// lockSegments acquires segmentLock. The caller must call unlockSegments.
func (j *job) lockSegments(ctx context.Context) error {
	select {
	case j.segmentLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Mark(errors.Wrap(context.Cause(ctx), "segments are being read or written by another call"), ErrStoreUnavailable)
	}
}

func (j *job) unlockSegments() { <-j.segmentLock }

func (j *job) isOwned() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.owned
}

// newJob returns the state of a job before its segments have been read.
func newJob(id string, head Head) *job {
	return &job{
		id: id, head: head, list: itemlist.New(len(head.Items)), resultsChanged: make(chan struct{}),
		segmentLock: make(chan struct{}, 1), lastUsed: time.Now(), accepted: acceptedAt(head), ended: head.Ended,
	}
}

// acceptedAt converts the time of acceptance to this host's monotonic clock.
// Hosts' clocks may differ, so a job never counts as accepted in the future.
func acceptedAt(head Head) time.Time {
	return time.Now().Add(-max(time.Since(time.UnixMilli(head.Accepted)), 0))
}

// Submit accepts a job. It returns nil once the whole job is in the store, also
// if an earlier submission stored it.
func (s *Service) Submit(ctx context.Context, sub *Submission) error {
	s.mu.Lock()
	known, ok := s.heads[sub.ID]
	leaving, open := s.leaving, s.openItems()
	hasMemory := s.hasMemory(itemsSize(sub.Items))
	s.mu.Unlock()
	if ok {
		return sameWorkspace(known.Workspace, sub.Workspace)
	}
	if leaving || !hasMemory || open+len(sub.Items) > maxOpenItems {
		return ErrTooManyJobs
	}
	ctx, cancel := context.WithDeadline(ctx, sub.answerBy(time.Now()))
	defer cancel()
	parts, err := s.writePayload(ctx, sub)
	if errors.Is(err, errOtherPayload) {
		// A host of another version, which splits payloads in another way, may have accepted it.
		if head, _, err := s.records.head(ctx, sub.ID); err == nil {
			return sameWorkspace(head.Workspace, sub.Workspace)
		}
	}
	if err != nil {
		// Without its head the job does not exist, whatever parts were written.
		return errors.Mark(errors.Newf("store payload of job %s: %v", sub.ID, err), ErrStoreUnavailable)
	}
	head := Head{
		Workspace: sub.Workspace, Route: sub.Route, Host: sub.Host, Owner: s.opts.Cluster.Self().Name,
		Accepted: time.Now().UnixMilli(), Parts: parts,
	}
	for _, item := range sub.Items {
		head.Items = append(head.Items, item.ID)
	}
	written, current, err := s.records.create(ctx, HeadKey(sub.ID), head)
	if err != nil {
		return err
	}
	if !written {
		if head, err = DecodeHead(current.Value); err != nil {
			return err
		}
		return sameWorkspace(head.Workspace, sub.Workspace)
	}
	s.log.Info("job accepted", "event", "job_accepted", "job", sub.ID, "workspace", sub.Workspace, "route", sub.Route, "items", len(sub.Items), "parts", parts)
	s.opts.Metrics.Add("jobs_accepted_total", 1, "route", sub.Route)
	s.startAccepted(sub, head, current.Version)
	return nil
}

// answerBy returns when the answer to a submission that arrives now must be sent.
func (s *Submission) answerBy(now time.Time) time.Time {
	limit := now.Add(submitTimeout)
	if own := s.Deadline.Add(-answerMargin); !s.Deadline.IsZero() && own.Before(limit) {
		return own
	}
	return limit
}

// writePayload writes the payload of a submission in the time that is not reserved for
// its head.
func (s *Service) writePayload(ctx context.Context, sub *Submission) (int, error) {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-min(headTime, time.Until(deadline)/2)))
		defer cancel()
	}
	return s.records.writePayload(ctx, sub.ID, sub.Items)
}

// openItems counts the unfinished items of the jobs that this host runs. The
// caller holds mu.
func (s *Service) openItems() int {
	n := 0
	for _, j := range s.jobs {
		j.mu.Lock()
		if j.owned && !j.ended {
			n += j.list.Total() - j.list.Len()
		}
		j.mu.Unlock()
	}
	return n
}

// hasMemory reports whether the items of a job of a size may be held beside those that
// this host holds.
// The caller holds mu.
func (s *Service) hasMemory(size int64) bool {
	taken := int64(0)
	for _, j := range s.jobs {
		j.mu.Lock()
		taken += j.size()
		j.mu.Unlock()
	}
	return s.opts.JobMemory <= 0 || taken == 0 || taken+size <= s.opts.JobMemory
}

// size returns the bytes of the items that are held of a job, or that its run is about to
// load. The caller holds mu.
func (j *job) size() int64 {
	switch {
	case j.items != nil:
		return j.bytes
	case j.owned && !j.ended && !j.list.Complete():
		return j.head.payloadSize()
	}
	return 0
}

// payloadSize returns the largest size of a job's items.
func (h Head) payloadSize() int64 { return int64(h.Parts) * maxValueBytes }

// sameWorkspace returns an error with ErrNoJob if a job of owner is called by another
// workspace.
func sameWorkspace(owner, workspace string) error {
	if owner != workspace {
		return errors.Mark(errors.New("the job belongs to another workspace"), ErrNoJob)
	}
	return nil
}

// startAccepted starts a job that this host has just accepted.
func (s *Service) startAccepted(sub *Submission, head Head, version int64) {
	j := newJob(sub.ID, head)
	j.setItems(sub.Items)
	j.lastSynced = time.Now()
	s.mu.Lock()
	if _, ok := s.jobs[sub.ID]; ok || s.leaving {
		s.mu.Unlock()
		return
	}
	ctx, _ := s.claim(j) // it is new and was not ended
	s.jobs[sub.ID] = j
	if _, ok := s.heads[sub.ID]; !ok {
		s.heads[sub.ID] = headCopy{head, version}
	}
	s.mu.Unlock()
	s.start(ctx, j)
}

func (j *job) setItems(items []Item) {
	j.items = make(map[string]*Item, len(items))
	for i := range items {
		j.items[items[i].ID] = &items[i]
	}
	j.bytes = itemsSize(items)
}

// dropUnused drops the state of jobs that this host does not run and that were
// not used for idleJobTTL, and workers without items. It gives up the ownership of
// complete and ended jobs. Items go earlier than the results: nothing reads those of
// complete and ended jobs, and others can be loaded again.
func (s *Service) dropUnused(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, j := range s.jobs {
		j.mu.Lock()
		idle := now.Sub(j.lastUsed) > idleJobTTL
		if j.list.Complete() || j.ended {
			j.owned, j.items, j.bytes = false, nil, 0
		}
		if !j.owned && now.Sub(j.lastUsed) > idleItemsTTL {
			j.items, j.bytes = nil, 0
		}
		if idle && !j.owned {
			delete(s.jobs, id)
		}
		j.mu.Unlock()
	}
	for route, pool := range s.workers {
		if pool.RunningWorkers() == 0 && pool.WaitingTasks() == 0 {
			delete(s.workers, route) // an item that is being submitted runs all the same
		}
	}
}
