package bulk

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/itemlist"
	"ragwortstep/internal/peer"
)

const (
	// resultsMethod and bodyMethod are the calls to the host that runs a job.
	resultsMethod = "bulk.results"
	bodyMethod    = "bulk.body"
	// peerTimeout bounds such a call, in addition to its wait for results.
	peerTimeout = 700 * time.Millisecond
	// refreshInterval is the least time between two reads of a job's new segments
	// for callers.
	refreshInterval = 500 * time.Millisecond
	// reconnectGrace is how long after the end of a partition a peer may still
	// write segments of a job that this host runs: until both hosts have received
	// each other's claims.
	reconnectGrace = time.Second
	// answerTime bounds a read, in addition to its wait for results. Callers bear 1.5 s
	// and can call another host afterwards.
	answerTime = 1300 * time.Millisecond
	// endTimeout bounds the end of a job.
	endTimeout = 3 * time.Second
	// maxPageBytes bounds the outputs in one page, as JSON.
	maxPageBytes = 900 << 10
	// pollInterval is how often a call that waits for results reads the store.
	pollInterval = 300 * time.Millisecond
)

// resultsRequest asks for the results of a job.
type resultsRequest struct {
	Job       string `json:"job"`
	Workspace string `json:"workspace"`
	After     int    `json:"after"`
	WaitMs    int64  `json:"wait_ms"`
}

// bodyRequest asks for the body of an item.
type bodyRequest struct {
	Job       string `json:"job"`
	Workspace string `json:"workspace"`
	Item      string `json:"item"`
}

// peerResponse is the response to both. Owner is false if the host does not run
// the job.
type peerResponse struct {
	Owner bool   `json:"owner"`
	Page  *Page  `json:"page,omitempty"`
	Body  []byte `json:"body,omitempty"`
	Found bool   `json:"found,omitempty"`
}

// maxResultsWait bounds the wait of Results.
const maxResultsWait = time.Second

// Results returns the results of a job from position after onward. If there are
// none yet it waits up to wait, but not longer than maxResultsWait. It fails with
// ErrNoJob or ErrStoreUnavailable.
func (s *Service) Results(ctx context.Context, workspace, id string, after int, wait time.Duration) (*Page, error) {
	wait = min(wait, maxResultsWait)
	waitUntil := time.Now().Add(wait)
	ctx, cancel := context.WithDeadline(ctx, waitUntil.Add(answerTime))
	defer cancel()
	if j := s.localJob(id); j != nil {
		return s.localResults(ctx, j, workspace, after, waitUntil)
	}
	var response peerResponse
	request := resultsRequest{id, workspace, after, wait.Milliseconds()}
	if s.callOwner(ctx, id, resultsMethod, wait+peerTimeout, request, &response) && response.Page != nil {
		return response.Page, nil
	}
	return s.storedResults(ctx, workspace, id, after, waitUntil)
}

// localJob returns the job if this host's list of results is current: because it
// runs the job or because the list is complete. During a shutdown other hosts run the
// jobs and list results.
func (s *Service) localJob(id string) *job {
	s.mu.Lock()
	defer s.mu.Unlock()
	j, ok := s.jobs[id]
	if !ok {
		return nil
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lastUsed = time.Now()
	if (j.owned && j.loaded && !s.leaving) || j.list.Complete() {
		return j
	}
	return nil
}

// localResults returns results from the list of a job that localJob returned.
func (s *Service) localResults(ctx context.Context, j *job, workspace string, after int, waitUntil time.Time) (*Page, error) {
	if err := sameWorkspace(j.head.Workspace, workspace); err != nil {
		return nil, err
	}
	if err := s.refreshAfterPartition(ctx, j); err != nil {
		return nil, err
	}
	timer := time.NewTimer(time.Until(waitUntil))
	defer timer.Stop()
	for {
		j.mu.Lock()
		page, over := j.page(after), j.list.Complete() || j.ended
		resultsChanged := j.resultsChanged
		j.mu.Unlock()
		if len(page.Results) > 0 || over || time.Until(waitUntil) <= 0 {
			return page, nil
		}
		select {
		case <-resultsChanged:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return page, nil
		}
	}
}

// refreshAfterPartition reads the segments that another host may have written
// during a partition, in which it considered this host dead.
func (s *Service) refreshAfterPartition(ctx context.Context, j *job) error {
	s.mu.Lock()
	until := s.partition.Add(reconnectGrace)
	s.mu.Unlock()
	j.mu.Lock()
	due := j.lastSynced.Before(until)
	j.mu.Unlock()
	if !due {
		return nil
	}
	return s.refresh(ctx, j)
}

// page returns the results from a position onward, at least one if there is any,
// within maxPageBytes. The caller holds mu.
func (j *job) page(after int) *Page {
	page := &Page{Total: j.list.Total(), Next: after, Results: []itemlist.Result{}}
	size := 0
	for _, r := range j.list.From(after) {
		if size += itemlist.EncodedSize(r.Output) + len(r.ID); len(page.Results) > 0 && size > maxPageBytes {
			break
		}
		page.Results = append(page.Results, r)
	}
	page.Next = after + len(page.Results)
	return page
}

// callOwner calls the live peer that claims a job, or else the one that accepted
// it, which keeps the results for some time after the job's end. It reports
// whether that peer responded and has all results.
func (s *Service) callOwner(ctx context.Context, id, method string, timeout time.Duration, request any, response *peerResponse) bool {
	s.mu.Lock()
	owner := s.runningPeer(id)
	if owner == "" {
		owner = s.heads[id].Owner
	}
	s.mu.Unlock()
	if !s.opts.Cluster.IsAlive(owner) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := s.opts.Peers.Call(ctx, peer.HostID(owner), method, request, response); err != nil {
		s.log.Info("cannot reach the host that runs the job", "event", "owner_unreachable", "step", method, "peer", owner, "job", id, "error", err)
		return false
	}
	return response.Owner
}

// storedResults returns results from the segments in the store.
func (s *Service) storedResults(ctx context.Context, workspace, id string, after int, waitUntil time.Time) (*Page, error) {
	j, err := s.known(ctx, workspace, id)
	if err != nil {
		return nil, err
	}
	for {
		if err := s.refresh(ctx, j); err != nil {
			return nil, err
		}
		j.mu.Lock()
		page, over := j.page(after), j.list.Complete() || j.ended
		j.mu.Unlock()
		if len(page.Results) > 0 || over || time.Until(waitUntil) < pollInterval {
			return page, nil
		}
		if pause(ctx, pollInterval) != nil {
			return page, nil
		}
	}
}

// refresh reads new segments unless that was done within refreshInterval.
func (s *Service) refresh(ctx context.Context, j *job) error {
	return s.syncSegments(ctx, j, refreshInterval)
}

// known returns the state of a job. If this host has no copy of the head it reads
// the store, since only the store can confirm that a job does not exist.
func (s *Service) known(ctx context.Context, workspace, id string) (*job, error) {
	s.mu.Lock()
	j := s.jobs[id]
	copied, ok := s.heads[id]
	s.mu.Unlock()
	if j == nil {
		head := copied.Head
		if !ok {
			var err error
			if head, _, err = s.records.head(ctx, id); err != nil {
				return nil, err
			}
		}
		j = s.addJob(id, head)
	}
	j.mu.Lock()
	j.lastUsed = time.Now()
	owner := j.head.Workspace
	j.mu.Unlock()
	return j, sameWorkspace(owner, workspace)
}

func (s *Service) addJob(id string, head Head) *job {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j, ok := s.jobs[id]; ok {
		return j
	}
	j := newJob(id, head)
	s.jobs[id] = j
	return j
}

// Body returns the body of an item that is not listed yet. It fails with
// ErrNoJob, ErrNoItem or ErrStoreUnavailable.
func (s *Service) Body(ctx context.Context, workspace, id, item string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	if j := s.localJob(id); j != nil {
		if err := sameWorkspace(j.head.Workspace, workspace); err != nil {
			return nil, err
		}
		return j.body(item)
	}
	var response peerResponse
	if s.callOwner(ctx, id, bodyMethod, peerTimeout, bodyRequest{id, workspace, item}, &response) {
		if !response.Found {
			return nil, errors.Mark(errors.Newf("item %s has no body to show", item), ErrNoItem)
		}
		return response.Body, nil
	}
	j, err := s.known(ctx, workspace, id)
	if err != nil {
		return nil, err
	}
	if err := s.load(ctx, j); err != nil {
		return nil, errors.Mark(err, ErrStoreUnavailable)
	}
	return j.body(item)
}

func (j *job) body(id string) ([]byte, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	item, ok := j.items[id]
	if !ok || j.ended || j.list.Listed(id) {
		return nil, errors.Mark(errors.Newf("item %s has no body to show", id), ErrNoItem)
	}
	return item.Body, nil
}

// End ends a job for its caller. It returns nil once the end is in the store.
func (s *Service) End(ctx context.Context, workspace, id string) error {
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	j, err := s.known(ctx, workspace, id)
	if err != nil {
		return err
	}
	s.mu.Lock()
	known := s.heads[id]
	s.mu.Unlock()
	err = s.records.changeHead(ctx, id, &known, func(h *Head) bool {
		changed := !h.Ended
		h.Ended = true
		return changed
	})
	if err != nil {
		return err
	}
	s.markEnded(j)
	s.opts.Cluster.SendNow()
	return nil
}

// serveResults handles a peer's call of resultsMethod.
func (s *Service) serveResults(ctx context.Context, _ peer.HostID, raw json.RawMessage) (any, error) {
	var req resultsRequest
	if err := json.Unmarshal(raw, &req); err != nil {
		return nil, errors.Wrap(err, "decode request for results")
	}
	j := s.localJob(req.Job)
	if j == nil {
		return peerResponse{}, nil
	}
	wait := time.Duration(req.WaitMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, wait+peerTimeout) // the peer reads the store then
	defer cancel()
	page, err := s.localResults(ctx, j, req.Workspace, req.After, time.Now().Add(wait))
	if err != nil {
		return peerResponse{}, nil // the peer reads the store instead
	}
	return peerResponse{Owner: true, Page: page}, nil
}

// serveBody handles a peer's call of bodyMethod.
func (s *Service) serveBody(_ context.Context, _ peer.HostID, raw json.RawMessage) (any, error) {
	var req bodyRequest
	if err := json.Unmarshal(raw, &req); err != nil {
		return nil, errors.Wrap(err, "decode request for a body")
	}
	j := s.localJob(req.Job)
	if j == nil || j.head.Workspace != req.Workspace {
		return peerResponse{}, nil
	}
	body, err := j.body(req.Item)
	if err != nil {
		return peerResponse{Owner: true}, nil
	}
	return peerResponse{Owner: true, Body: body, Found: true}, nil
}
