package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"ragwortstep/test/harness"
)

const (
	demoTimeout = 58 * time.Second
	demoItems   = 200
	demoTokens  = 8
	// propagationBound is how long a changed row or revoked key may take to take
	// effect on all hosts.
	propagationBound   = 5 * time.Second
	revokePollInterval = 50 * time.Millisecond
)

// demoRun is one run of the demo and its deployment.
type demoRun struct {
	d     *harness.Deployment
	begin time.Time
}

// demo starts a deployment, runs each kind of work once and stops the deployment.
func demo(ctx context.Context, c *cli.Command) error {
	opts, err := options(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	run := &demoRun{begin: time.Now()}
	steps := []struct {
		name string
		run  func(context.Context) (string, error)
	}{
		{"start", func(ctx context.Context) (string, error) { return run.start(ctx, opts) }},
		{"streamed completion", run.streamedCompletion},
		{"plain completion", run.plainCompletion},
		{"service call", run.serviceCall},
		{"batch", run.batch},
		{"table edit", run.tableEdit},
		{"revoked key", run.revokedKey},
	}
	defer run.close()
	for _, step := range steps {
		begin := time.Now()
		detail, err := step.run(ctx)
		if err != nil {
			return errors.Wrapf(err, "demo: step %q", step.name)
		}
		fmt.Printf("%6.2fs  %-20s %6.3fs  %s\n", time.Since(run.begin).Seconds(), step.name, time.Since(begin).Seconds(), detail)
	}
	fmt.Println("demo: ok")
	return nil
}

func (r *demoRun) close() {
	if r.d != nil {
		r.d.Close()
	}
}

func (r *demoRun) start(ctx context.Context, opts harness.Options) (string, error) {
	d, err := harness.Start(ctx, opts)
	if err != nil {
		return "", err
	}
	r.d = d
	return fmt.Sprintf("%s: %d hosts, %d engines, %d services", d.Layout.Name, len(d.Hosts), len(d.Engines), len(d.Services)), nil
}

// workspace returns the name of the first workspace of the sample table, a large one.
func (r *demoRun) workspace() string { return r.d.Layout.Workspaces[0].Name }

func (r *demoRun) complete(ctx context.Context, host int, q harness.Completion) (string, error) {
	a := r.d.Caller(host, r.workspace()).Complete(ctx, q)
	if a.Verdict != harness.Complete {
		return "", verdictError(a)
	}
	return fmt.Sprintf("%d tokens, the first after %s, all after %s", a.Tokens, round(a.FirstToken), round(a.Latency)), nil
}

func verdictError(a harness.Answer) error {
	return errors.Newf("answer is %s: status %d, code %q: %s", a.Verdict, a.Status, a.Code, a.Detail)
}

func (r *demoRun) streamedCompletion(ctx context.Context) (string, error) {
	return r.complete(ctx, 0, harness.Completion{Tokens: 20, Stream: true, Chat: true})
}

func (r *demoRun) plainCompletion(ctx context.Context) (string, error) {
	return r.complete(ctx, 1, harness.Completion{Tokens: 20})
}

func (r *demoRun) serviceCall(ctx context.Context) (string, error) {
	tag := harness.NewTag()
	a := r.d.Caller(2, r.workspace()).Call(ctx, http.MethodPost, r.d.Layout.Prefix+"demo", tag, tag)
	if a.Verdict != harness.Complete {
		return "", verdictError(a)
	}
	runs := 0
	for _, s := range r.d.Services {
		calls, err := s.Calls(ctx, 0)
		if err != nil {
			return "", err
		}
		for _, c := range calls {
			if c.ID == tag {
				runs++
			}
		}
	}
	if runs != 1 {
		return "", errors.Newf("call ran %d times, want once", runs)
	}
	return fmt.Sprintf("ran once, answered after %s", round(a.Latency)), nil
}

func (r *demoRun) batch(ctx context.Context) (string, error) {
	prefix := "demo-" + harness.NewTag()
	jobs := r.d.JobClient(3, r.workspace())
	file, err := jobs.Upload(ctx, "demo.jsonl", harness.Items(r.d.Layout.Model, prefix, demoItems, demoTokens))
	if err != nil {
		return "", err
	}
	b, err := jobs.Create(ctx, file, "/v1/completions", prefix)
	if err != nil {
		return "", err
	}
	if b, err = jobs.Await(ctx, b.ID); err != nil {
		return "", err
	}
	if b.Status != "completed" {
		return "", errors.Newf("job %s ended with status %s, want completed", b.ID, b.Status)
	}
	failed, err := jobs.CheckResults(ctx, b, prefix, demoItems, demoTokens)
	if err != nil {
		return "", err
	}
	if failed > 0 {
		return "", errors.Newf("job %s: %d items failed", b.ID, failed)
	}
	return fmt.Sprintf("%d items, one result each", demoItems), nil
}

func (r *demoRun) tableEdit(ctx context.Context) (string, error) {
	row := r.d.Layout.Workspaces[1]
	row.Rate++
	begin := time.Now()
	result, err := r.d.Operator(0).PutTable(ctx, []harness.WorkspaceSpec{row}, 0)
	if err != nil {
		return "", err
	}
	if _, err := r.d.AwaitRevision(ctx, result.Revision, propagationBound); err != nil {
		return "", err
	}
	return fmt.Sprintf("revision %d took effect on %d hosts after %s", result.Revision, len(r.d.Hosts), round(time.Since(begin))), nil
}

// revokedKey revokes a working key and waits until every host refuses it.
func (r *demoRun) revokedKey(ctx context.Context) (string, error) {
	workspace := r.d.Layout.Workspaces[2].Name
	key := r.d.Keys[workspace]
	if a := r.d.Caller(0, workspace).Complete(ctx, harness.Completion{Tokens: 1}); a.Verdict != harness.Complete {
		return "", errors.Wrap(verdictError(a), "key does not work before its revocation")
	}
	begin := time.Now()
	if _, err := r.d.Operator(1).RevokeKey(ctx, key.ID, 0); err != nil {
		return "", err
	}
	for i, h := range r.d.Hosts {
		caller := r.d.Caller(i, workspace)
		for {
			a := caller.Complete(ctx, harness.Completion{Tokens: 1})
			if a.Status == http.StatusUnauthorized {
				break
			}
			if time.Since(begin) > propagationBound {
				return "", errors.Wrapf(verdictError(a), "host %s does not refuse the revoked key after %s", h.Name, propagationBound)
			}
			time.Sleep(revokePollInterval)
		}
	}
	return fmt.Sprintf("refused by %d hosts after %s", len(r.d.Hosts), round(time.Since(begin))), nil
}

func round(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }
