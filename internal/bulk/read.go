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
	// resultsMethod and bodyMethod ask the host that runs a job.
	resultsMethod = "bulk.results"
	bodyMethod    = "bulk.body"
	// peerTimeout bounds a call to that host beyond its waiting time.
	peerTimeout = 700 * time.Millisecond
	// checkEvery bounds how often the store is asked for further results of a
	// job that no reachable host runs.
	checkEvery = 500 * time.Millisecond
	// reunionFor is how long after a peer is back another host may still write
	// for a job of this one: until both have heard of each other's claims.
	reunionFor = time.Second
	// refreshTimeout bounds the reading of further segments for a caller, who
	// can ask another host afterwards.
	refreshTimeout = 1500 * time.Millisecond
	// pageBytes bounds the outputs of one page.
	pageBytes = 900 << 10
	// pollStep is how often a waiting reader looks at the store.
	pollStep = 300 * time.Millisecond
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

// peerAnswer is the answer to both. Owner is false when the host does not run
// the job.
type peerAnswer struct {
	Owner bool   `json:"owner"`
	Page  *Page  `json:"page,omitempty"`
	Body  []byte `json:"body,omitempty"`
	Found bool   `json:"found,omitempty"`
}

// longestWait bounds how long a reader of results is kept waiting.
const longestWait = time.Second

// Results returns the results of a job from a position onward. It waits up to
// wait, one second at most, for a result that is not there yet. It fails with
// ErrNoJob or ErrUnsure.
func (s *Service) Results(ctx context.Context, workspace, id string, after int, wait time.Duration) (*Page, error) {
	wait = min(wait, longestWait)
	if j := s.ownJob(id); j != nil {
		return s.ownResults(ctx, j, workspace, after, wait)
	}
	var answer peerAnswer
	request := resultsRequest{id, workspace, after, wait.Milliseconds()}
	if s.askOwner(ctx, id, resultsMethod, wait+peerTimeout, request, &answer) && answer.Page != nil {
		return answer.Page, nil
	}
	return s.storedResults(ctx, workspace, id, after, wait)
}

// ownJob returns the job if this host runs it or has listed all of it.
func (s *Service) ownJob(id string) *job {
	s.mu.Lock()
	defer s.mu.Unlock()
	j, ok := s.jobs[id]
	if !ok {
		return nil
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.used = time.Now()
	if (j.owned && j.loaded) || j.list.Complete() {
		return j
	}
	return nil
}

// ownResults answers from the list of a job that this host runs.
func (s *Service) ownResults(ctx context.Context, j *job, workspace string, after int, wait time.Duration) (*Page, error) {
	if err := sameWorkspace(j.head, workspace); err != nil {
		return nil, err
	}
	if err := s.confirmList(ctx, j); err != nil {
		return nil, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		j.mu.Lock()
		page, over := j.page(after), j.list.Complete() || j.ended
		changed := j.changed
		j.mu.Unlock()
		if len(page.Results) > 0 || over || wait <= 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return page, nil
		}
	}
}

// confirmList looks for segments that another host wrote while it was out of
// reach: it may have taken this host for lost.
func (s *Service) confirmList(ctx context.Context, j *job) error {
	s.mu.Lock()
	until := s.apart.Add(reunionFor)
	s.mu.Unlock()
	j.mu.Lock()
	due := j.checked.Before(until)
	j.mu.Unlock()
	if !due {
		return nil
	}
	return s.refresh(ctx, j)
}

// page returns the results from a position onward, at least one if there is
// one. The caller holds mu.
func (j *job) page(after int) *Page {
	page := &Page{Total: j.list.Total(), Next: after, Results: []itemlist.Result{}}
	size := 0
	for _, r := range j.list.From(after) {
		if size += len(r.Output) + len(r.ID); len(page.Results) > 0 && size > pageBytes {
			break
		}
		page.Results = append(page.Results, r)
	}
	page.Next = after + len(page.Results)
	return page
}

// askOwner calls the live peer that runs a job. It reports whether it answered
// as the one that runs it.
func (s *Service) askOwner(ctx context.Context, id, method string, timeout time.Duration, request any, answer *peerAnswer) bool {
	alive := s.opts.Cluster.Alive()
	s.mu.Lock()
	owner := s.runningPeer(id, alive)
	s.mu.Unlock()
	if owner == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := s.opts.Peers.Call(ctx, peer.HostID(owner), method, request, answer); err != nil {
		s.log.Info("host of the job not reached", "event", "owner_unreachable", "step", method, "peer", owner, "job", id, "error", err)
		return false
	}
	return answer.Owner
}

// storedResults answers from what the store holds.
func (s *Service) storedResults(ctx context.Context, workspace, id string, after int, wait time.Duration) (*Page, error) {
	j, err := s.known(ctx, workspace, id)
	if err != nil {
		return nil, err
	}
	for until := time.Now().Add(wait); ; {
		if err := s.refresh(ctx, j); err != nil {
			return nil, err
		}
		j.mu.Lock()
		page, over := j.page(after), j.list.Complete() || j.ended
		j.mu.Unlock()
		if len(page.Results) > 0 || over || time.Until(until) < pollStep {
			return page, nil
		}
		if pause(ctx, pollStep) != nil {
			return page, nil
		}
	}
}

// refresh reads further segments unless that was done a moment ago.
func (s *Service) refresh(ctx context.Context, j *job) error {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	return s.sync(ctx, j, checkEvery)
}

// known returns the job with its head. Only the store can tell that there is
// no such job.
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
		j = s.remember(id, head)
	}
	j.mu.Lock()
	j.used = time.Now()
	head := j.head
	j.mu.Unlock()
	return j, sameWorkspace(head, workspace)
}

func (s *Service) remember(id string, head Head) *job {
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
// ErrNoJob, ErrNoItem or ErrUnsure.
func (s *Service) Body(ctx context.Context, workspace, id, item string) ([]byte, error) {
	if s.ownJob(id) == nil {
		var answer peerAnswer
		if s.askOwner(ctx, id, bodyMethod, peerTimeout, bodyRequest{id, workspace, item}, &answer) {
			if !answer.Found {
				return nil, errors.Mark(errors.Newf("item %s has no body to show", item), ErrNoItem)
			}
			return answer.Body, nil
		}
	}
	j, err := s.known(ctx, workspace, id)
	if err != nil {
		return nil, err
	}
	if err := s.load(ctx, j); err != nil {
		return nil, errors.Mark(err, ErrUnsure)
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

// End ends a job for its caller. It returns nil when the end is in the store.
func (s *Service) End(ctx context.Context, workspace, id string) error {
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
	s.end(j)
	s.opts.Cluster.SendNow()
	return nil
}

// serveResults answers a peer's reader.
func (s *Service) serveResults(ctx context.Context, _ peer.HostID, raw json.RawMessage) (any, error) {
	var req resultsRequest
	if err := json.Unmarshal(raw, &req); err != nil {
		return nil, errors.Wrap(err, "decode request for results")
	}
	j := s.ownJob(req.Job)
	if j == nil {
		return peerAnswer{}, nil
	}
	page, err := s.ownResults(ctx, j, req.Workspace, req.After, time.Duration(req.WaitMs)*time.Millisecond)
	if err != nil {
		return peerAnswer{}, nil // the peer finds out from the store
	}
	return peerAnswer{Owner: true, Page: page}, nil
}

// serveBody answers a peer's reader of a body.
func (s *Service) serveBody(_ context.Context, _ peer.HostID, raw json.RawMessage) (any, error) {
	var req bodyRequest
	if err := json.Unmarshal(raw, &req); err != nil {
		return nil, errors.Wrap(err, "decode request for a body")
	}
	j := s.ownJob(req.Job)
	if j == nil || j.head.Workspace != req.Workspace {
		return peerAnswer{}, nil
	}
	body, err := j.body(req.Item)
	if err != nil {
		return peerAnswer{Owner: true}, nil
	}
	return peerAnswer{Owner: true, Body: body, Found: true}, nil
}
