package integration

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/test/harness"
)

// Guards against requests that fail on their way from a caller to a backend
// server, in particular at live hosts because another host was lost.
func TestRequestsSurviveTheLossOfAnotherHost(t *testing.T) {
	is := is.New(t)
	ctx, d := startDeployment(t, harness.Thies, withHosts(3))
	workspace := d.Layout.Workspaces[0].Name
	for victim := range d.Hosts {
		is.NoErr(d.Hosts[victim].Kill())
		for i := range d.Hosts {
			if i == victim {
				continue
			}
			caller := d.Caller(i, workspace)
			got := caller.Complete(ctx, harness.Completion{Tokens: 5, Stream: i%2 == 0})
			requireComplete(t, got, "completion", d.Hosts[i].Name, d.Hosts[victim].Name)
			got = caller.Call(ctx, http.MethodPost, d.Layout.Prefix+"x", harness.NewTag(), "")
			requireComplete(t, got, "service call", d.Hosts[i].Name, d.Hosts[victim].Name)
		}
		is.NoErr(d.Hosts[victim].Start())
		is.NoErr(d.Hosts[victim].AwaitReady(ctx))
		time.Sleep(shareSettleTime)
	}
}

func requireComplete(t *testing.T, got harness.Answer, what, host, lost string) {
	t.Helper()
	if got.Verdict != harness.Complete {
		t.Fatalf("%s at %s while %s is down: %+v", what, host, lost, got)
	}
}

// Guards against a batch that is accepted and does not finish, and against a
// job that is created twice because its caller sent the request again.
func TestResubmittedBatchIsTheSameJob(t *testing.T) {
	is := is.New(t)
	ctx, d := startDeployment(t, harness.QuangNam, withHosts(3))
	workspace := d.Layout.Workspaces[0].Name
	const items, tokens = 300, 4
	file, err := d.JobClient(0, workspace).Upload(ctx, "sheet.jsonl", harness.Items(d.Layout.Model, "row", items, tokens))
	is.NoErr(err)
	first, err := d.JobClient(1, workspace).Create(ctx, file, "/v1/completions", "sheet-1")
	is.NoErr(err)
	second, err := d.JobClient(2, workspace).Create(ctx, file, "/v1/completions", "sheet-1")
	is.NoErr(err)
	is.Equal(first.ID, second.ID)
	began := time.Now()
	done, err := d.JobClient(2, workspace).Await(ctx, first.ID)
	is.NoErr(err)
	failed, err := d.JobClient(0, workspace).CheckResults(ctx, done, "row", items, tokens)
	is.NoErr(err)
	is.Equal(failed, 0)
	t.Logf("%d items in %s", items, time.Since(began))
}
