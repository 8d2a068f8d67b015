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
	// maxRuns bounds the items of this host that run or wait for a place.
	maxRuns = 128
	// maxOpenItems bounds the unfinished items of the jobs that this host runs.
	// At the mean body of 1.5 KB and output of 16 KB they take about 18 MB.
	maxOpenItems = 1000
	// ownershipTick is how often the ownership of jobs is looked at.
	ownershipTick = 250 * time.Millisecond
	// keepFor is how long a job's results stay in memory after the last use.
	keepFor = 45 * time.Second
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
	// submission, 0 for ever.
	Readable time.Duration
	Logger   *slog.Logger
}

// Service accepts and runs jobs and answers for them. It is safe for
// concurrent use.
type Service struct {
	opts    Options
	log     *slog.Logger
	records records
	pool    pond.Pool
	started time.Time

	mu       sync.Mutex
	runCtx   context.Context // of all jobs; set by Run
	stopRuns context.CancelFunc
	leaving  bool
	heads    map[string]headCopy
	jobs     map[string]*job      // that this host runs or read lately
	claimed  map[string]claimed   // by source
	unowned  map[string]time.Time // since when no host was seen to run a job
	// apart is when a peer was last out of reach, or this host suspended:
	// another host may have run this one's jobs until then.
	apart   time.Time
	watched suspension
	tick    chan struct{} // closed at the next moment at which items' streams are read; nil while none waits
}

// headCopy is a head as the informer has it.
type headCopy struct {
	Head
	version int64
}

// job is what this host knows of one job.
type job struct {
	id string

	mu    sync.Mutex
	head  Head
	list  *itemlist.List
	items map[string]*Item // nil until the payload is read
	owned bool
	// loaded is whether the segments of earlier hosts were read. Until then
	// this host's list may lack results that callers have read elsewhere.
	loaded   bool
	ended    bool
	ctx      context.Context // ends when this host stops running the job
	stop     context.CancelFunc
	changed  chan struct{} // closed when results were listed or the job ended
	commits  bool          // a commit loop runs
	used     time.Time
	checked  time.Time     // start of the last reading of segments that came to the end
	syncing  chan struct{} // holds a token while segments are read or written
	accepted time.Time     // on this host's clock
}

// New returns a service and registers it with the cluster and the peers.
func New(opts Options) *Service {
	if opts.Logger == nil {
		opts.Logger = slog.Default()
	}
	s := &Service{
		opts: opts, log: opts.Logger, records: records{opts.Store}, pool: pond.NewPool(maxRuns), started: time.Now(),
		heads: map[string]headCopy{}, jobs: map[string]*job{}, claimed: map[string]claimed{}, unowned: map[string]time.Time{},
	}
	s.runCtx, s.stopRuns = context.WithCancel(context.Background())
	opts.Cluster.Provide(claimSection, s.digest)
	opts.Cluster.Merge(claimSection, mergeClaims)
	opts.Cluster.Receive(claimSection, s.received)
	opts.Informer.OnChange(headPrefix, s.headsChanged)
	opts.Peers.Handle(resultsMethod, s.serveResults)
	opts.Peers.Handle(bodyMethod, s.serveBody)
	return s
}

// Collection is the store's collection of heads that every host follows.
const Collection = headPrefix

// Run looks after the ownership of jobs until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker, sweeps := time.NewTicker(ownershipTick), time.NewTicker(sweepEvery)
	defer ticker.Stop()
	defer sweeps.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sweeps.C:
			s.sweep(ctx)
		case <-ticker.C:
			s.noteApart(time.Now())
			s.reviewOwnership(time.Now())
			s.dropUnused(time.Now())
		}
	}
}

// Close stops all runs, so that other hosts take the jobs over, and writes
// the results that have no position yet, until ctx ends.
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
				s.log.Warn("results not written at shutdown", "step", "commit", "job", j.id, "error", err)
			}
			s.release(j)
		}
	}
}

// headsChanged takes over the informer's heads.
func (s *Service) headsChanged(c informer.Copy) {
	heads := map[string]headCopy{}
	for key, obj := range c.Objects {
		id, ok := JobOfKey(key)
		if !ok {
			continue
		}
		head, err := DecodeHead(obj.Value)
		if err != nil {
			s.log.Warn("job head not decoded", "step", "decode head", "job", id, "error", err)
			continue
		}
		heads[id] = headCopy{head, obj.Version}
	}
	s.mu.Lock()
	s.heads = heads
	var ended []*job
	for id, h := range heads {
		j, ok := s.jobs[id]
		switch {
		case ok && h.Ended:
			ended = append(ended, j)
		case ok && h.Done:
			j.doneElsewhere()
		}
	}
	s.mu.Unlock()
	for _, j := range ended {
		s.end(j)
	}
}

// doneElsewhere notes that all items of a job are listed. If this host does
// not know them, another one listed them.
func (j *job) doneElsewhere() {
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

// end stops a job that its caller ended.
func (s *Service) end(j *job) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ended {
		return
	}
	j.ended, j.head.Ended = true, true
	if j.stop != nil {
		j.stop()
	}
	j.signal()
	s.log.Info("job ended by its caller", "event", "job_ended", "job", j.id, "listed", j.list.Len(), "items", j.list.Total())
}

// signal wakes the readers. The caller holds mu.
func (j *job) signal() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// lock waits for the right to read or write segments. The caller unlocks.
func (j *job) lock(ctx context.Context) error {
	select {
	case j.syncing <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Mark(errors.Wrap(context.Cause(ctx), "another reading or writing of segments goes on"), ErrUnsure)
	}
}

func (j *job) unlock() { <-j.syncing }

func (j *job) isOwned() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.owned
}

// newJob returns what is known of a job before its segments are read.
func newJob(id string, head Head) *job {
	return &job{
		id: id, head: head, list: itemlist.New(len(head.Items)), changed: make(chan struct{}),
		syncing: make(chan struct{}, 1), used: time.Now(), accepted: acceptedAt(head), ended: head.Ended,
	}
}

// acceptedAt converts the acceptance to this host's clock. Hosts' clocks may
// differ, so a job never counts as accepted in the future.
func acceptedAt(head Head) time.Time {
	return time.Now().Add(-max(time.Since(time.UnixMilli(head.Accepted)), 0))
}

// Submit accepts a job. It returns nil when all of the job is in the store,
// now or since an earlier submission.
func (s *Service) Submit(ctx context.Context, sub *Submission) error {
	s.mu.Lock()
	known, ok := s.heads[sub.ID]
	leaving, open := s.leaving, s.openItems()
	s.mu.Unlock()
	if ok {
		return sameWorkspace(known.Head, sub.Workspace)
	}
	if leaving || open+len(sub.Items) > maxOpenItems {
		return ErrTooMany
	}
	parts, err := s.records.writePayload(ctx, sub.ID, sub.Items)
	if err != nil {
		// Without its head the job does not exist, whatever was written.
		return errors.Mark(errors.Newf("payload of job %s not stored: %v", sub.ID, err), ErrUnsure)
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
		return sameWorkspace(head, sub.Workspace)
	}
	s.log.Info("job accepted", "event", "job_accepted", "job", sub.ID, "workspace", sub.Workspace, "route", sub.Route, "items", len(sub.Items), "parts", parts)
	s.opts.Metrics.Add("jobs_accepted_total", 1, "route", sub.Route)
	s.adoptNew(sub, head, current.Version)
	return nil
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

func sameWorkspace(head Head, workspace string) error {
	if head.Workspace != workspace {
		return errors.Mark(errors.New("the job belongs to another workspace"), ErrNoJob)
	}
	return nil
}

// adoptNew starts a job that this host has just accepted.
func (s *Service) adoptNew(sub *Submission, head Head, version int64) {
	j := newJob(sub.ID, head)
	j.setItems(sub.Items)
	j.loaded, j.checked = true, time.Now()
	s.mu.Lock()
	if _, ok := s.jobs[sub.ID]; ok || s.leaving {
		s.mu.Unlock()
		return
	}
	s.jobs[sub.ID] = j
	if _, ok := s.heads[sub.ID]; !ok {
		s.heads[sub.ID] = headCopy{head, version}
	}
	s.mu.Unlock()
	s.start(j)
}

func (j *job) setItems(items []Item) {
	j.items = make(map[string]*Item, len(items))
	for i := range items {
		j.items[items[i].ID] = &items[i]
	}
}

// dropUnused forgets jobs that nobody asked for in a while and that this host
// does not run, and the bodies of those that are complete.
func (s *Service) dropUnused(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, j := range s.jobs {
		j.mu.Lock()
		idle := now.Sub(j.used) > keepFor
		if j.list.Complete() || j.ended {
			j.owned = false
		}
		if idle && !j.owned {
			delete(s.jobs, id)
		}
		j.mu.Unlock()
	}
}
