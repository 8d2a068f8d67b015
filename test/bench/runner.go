package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/settings"
	"ragwortstep/test/harness"
)

const (
	// Rate and burst that no load of this tool reaches, so that they limit nothing.
	unlimitedRate  = 100000
	unlimitedBurst = 100000
	// tableTimeout bounds the wait until an edited table takes effect on all hosts.
	tableTimeout = 9 * time.Second
	itemTokens   = 32
	itemsPerJob  = 30000
	// jobWorkspaces is the number of workspaces that run batch jobs.
	jobWorkspaces = 2
)

// runner runs measurements on one deployment.
type runner struct {
	d       *harness.Deployment
	seed    uint64
	segment time.Duration // length of one measured run
	load    float64       // online load as a fraction of the capacity
	out     io.Writer
	clients []*http.Client // one per host
}

// policy holds the settings that select the algorithms to measure, such as a baseline.
type policy struct {
	Balance string `json:"balance"`
	Limits  string `json:"limits"`
	Preempt bool   `json:"preempt"`
}

func (p policy) edit(s *settings.Settings) {
	s.Balance.Policy = p.Balance
	s.Balance.Preempt = p.Preempt
	s.Limits.Policy = p.Limits
}

func newRunner(d *harness.Deployment, seed uint64, segment time.Duration, load float64, out io.Writer) *runner {
	r := &runner{d: d, seed: seed, segment: segment, load: load, out: out}
	for range d.Hosts {
		r.clients = append(r.clients, harness.NewHTTPClient())
	}
	return r
}

func (r *runner) logf(format string, args ...any) { fmt.Fprintf(r.out, format+"\n", args...) }

// caller returns a caller that shares one HTTP client with all callers of the host.
func (r *runner) caller(host, workspace int) *harness.Caller {
	name := r.d.Layout.Workspaces[workspace].Name
	return &harness.Caller{
		BaseURL: r.d.Hosts[host].CallersURL(), Key: r.d.Keys[name].Raw, Model: r.d.Layout.Model, Client: r.clients[host],
	}
}

// complete sends a planned completion. Its tag starts with "online", which
// distinguishes online from batch work in the servers' ledgers.
func (r *runner) complete(ctx context.Context, s plannedRequest) harness.Answer {
	q := s.completion("online-"+harness.NewTag(), r.d.Layout.Workspaces[s.Workspace].Name)
	return r.caller(s.Host, s.Workspace).Complete(ctx, q)
}

// setTable edits the rows and waits until all hosts apply them.
func (r *runner) setTable(ctx context.Context, rows []harness.WorkspaceSpec) error {
	result, err := r.d.Operator(0).PutTable(ctx, rows, 0)
	if err != nil {
		return err
	}
	_, err = r.d.AwaitRevision(ctx, result.Revision, tableTimeout)
	return err
}

// setUnlimitedTable gives all workspaces unlimitedRate and unlimitedBurst.
func (r *runner) setUnlimitedTable(ctx context.Context) error {
	var rows []harness.WorkspaceSpec
	for _, w := range r.d.Layout.Workspaces {
		w.Rate, w.Burst = unlimitedRate, unlimitedBurst
		rows = append(rows, w)
	}
	return r.setTable(ctx, rows)
}

func (r *runner) weights() []float64 {
	var out []float64
	for _, w := range r.d.Layout.Workspaces {
		out = append(out, w.Weight)
	}
	return out
}

// requestRate returns the arrival rate, in requests/s, that uses the given
// fraction of the capacity.
func (r *runner) requestRate(fraction float64) float64 {
	return fraction * r.d.Layout.Capacity() / meanTokens()
}

// meanTokens returns the mean of answerLength over samples with a fixed seed.
func meanTokens() float64 {
	const samples = 20000
	rng := harness.Rand(1)
	sum := 0
	for range samples {
		sum += answerLength(rng)
	}
	return float64(sum) / samples
}

// backgroundJobs are the batch jobs that run during a measurement.
type backgroundJobs struct {
	jobs []*harness.JobClient
	ids  []string
}

// startBatch starts one large job for each of the first jobWorkspaces
// workspaces. The items' tags start with "batch".
func (r *runner) startBatch(ctx context.Context, items int) (*backgroundJobs, error) {
	b := &backgroundJobs{}
	for i := range jobWorkspaces {
		workspace := r.d.Layout.Workspaces[i].Name
		prefix := "batch-" + harness.NewTag()
		jobs := r.d.JobClient(i%len(r.d.Hosts), workspace)
		file, err := jobs.Upload(ctx, prefix, harness.Items(r.d.Layout.Model, prefix, items, itemTokens))
		if err != nil {
			return nil, err
		}
		job, err := jobs.Create(ctx, file, "/v1/completions", prefix)
		if err != nil {
			return nil, err
		}
		b.jobs, b.ids = append(b.jobs, jobs), append(b.ids, job.ID)
	}
	return b, nil
}

// stop cancels the jobs and waits until they have ended.
func (b *backgroundJobs) stop(ctx context.Context) error {
	for i, jobs := range b.jobs {
		_, err := jobs.Cancel(ctx, b.ids[i])
		var status *harness.StatusError
		if err != nil && !errors.As(err, &status) {
			return err
		}
		if _, err := jobs.Await(ctx, b.ids[i]); err != nil {
			return err
		}
	}
	return nil
}
