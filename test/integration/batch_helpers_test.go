package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"ragwortstep/internal/core/batch"
	"ragwortstep/internal/store"
	"ragwortstep/test/harness"
	"ragwortstep/test/standin/engine"
)

const (
	// itemsPath is the endpoint of all items.
	itemsPath      = "/v1/completions"
	callRetryDelay = 200 * time.Millisecond
)

// withTestLayout keeps the deployment small and sets the first workspace's rate
// above what the engines can do, so that the limiter does not slow its jobs.
func withTestLayout(hosts, engines int) startOption {
	return func(o *harness.Options) {
		o.Layout.SetHosts(hosts)
		o.Layout.Engines = o.Layout.Engines[:engines]
		o.Layout.Services = o.Layout.Services[:1]
		o.Layout.Workspaces[0].Rate = 20000
		o.Layout.Workspaces[0].Burst = 20000
	}
}

// withJobHistory makes the platform keep the values written to job objects.
func withJobHistory(o *harness.Options) {
	o.PlatformArgs = append(o.PlatformArgs, "--history-values", "jobs/,config/")
}

// createJob uploads items and creates a job over them.
func createJob(ctx context.Context, t *testing.T, jobs *harness.JobClient, key string, lines []byte) harness.Batch {
	t.Helper()
	var file string
	var b harness.Batch
	repeatCall(ctx, t, "upload", func() (err error) {
		file, err = jobs.Upload(ctx, key+".jsonl", lines)
		return err
	})
	repeatCall(ctx, t, "create", func() (err error) {
		b, err = jobs.Create(ctx, file, itemsPath, key)
		return err
	})
	return b
}

func cancelJob(ctx context.Context, t *testing.T, d *harness.Deployment, workspace, id string) time.Time {
	t.Helper()
	repeatCall(ctx, t, "cancel", func() error {
		_, err := d.JobClient(0, workspace).Cancel(ctx, id)
		return err
	})
	return time.Now()
}

// awaitResults waits until the job has results for at least n items.
func awaitResults(ctx context.Context, t *testing.T, jobs *harness.JobClient, id string, n int) harness.Batch {
	t.Helper()
	for {
		b, err := jobs.Get(ctx, id)
		if err == nil && b.Counts.Completed+b.Counts.Failed >= n {
			return b
		}
		select {
		case <-ctx.Done():
			t.Fatalf("job %s: %d of %d items have a result, status %s, last error %v",
				id, b.Counts.Completed+b.Counts.Failed, n, b.Status, err)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// itemLine is one line of a file whose prompt contains text.
func itemLine(model, id, text string, tokens int) []byte {
	q := harness.Completion{Tag: id, Prompt: text, Tokens: tokens}
	return fmt.Appendf(nil, `{"custom_id":%q,"method":"POST","url":%q,"body":%s}`+"\n", id, q.Path(), q.Body(model))
}

// engineRecords returns the records of all engines for items with the prefix.
func engineRecords(ctx context.Context, t *testing.T, d *harness.Deployment, prefix string) []engine.Record {
	t.Helper()
	var out []engine.Record
	for _, e := range d.Engines {
		records, err := e.Records(ctx, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range records {
			if strings.HasPrefix(r.ID, prefix) {
				out = append(out, r)
			}
		}
	}
	return out
}

// chunkWrite is an accepted write of a chunk's progress.
type chunkWrite struct {
	AtMS   int64
	Key    string
	Writer string // host and incarnation
	Chunk  batch.Chunk
}

// chunkWrites returns the platform's history of a job's chunk objects, oldest first.
func chunkWrites(ctx context.Context, t *testing.T, d *harness.Deployment, job string) []chunkWrite {
	t.Helper()
	writes, err := d.Platform.Writes(ctx, "jobs/"+job+"/chunk/")
	if err != nil {
		t.Fatal(err)
	}
	var out []chunkWrite
	for _, w := range writes {
		if w.Op != "put" {
			continue
		}
		var env store.Envelope
		cw := chunkWrite{AtMS: w.AtMS, Key: w.Key}
		if err := json.Unmarshal(w.Value, &env); err != nil {
			t.Fatalf("write of %s: %v", w.Key, err)
		}
		if err := json.Unmarshal(env.Data, &cw.Chunk); err != nil {
			t.Fatalf("write of %s: %v", w.Key, err)
		}
		cw.Writer = env.Writer
		out = append(out, cw)
	}
	return out
}

// requireConsistentHistory verifies that in no chunk's history a result
// disappears or the epoch falls, and that only the owner of an epoch writes
// under it.
func requireConsistentHistory(t *testing.T, writes []chunkWrite) {
	t.Helper()
	last := map[string]chunkWrite{}
	for _, w := range writes {
		before, seen := last[w.Key]
		last[w.Key] = w
		if !seen {
			continue
		}
		if w.Chunk.Epoch < before.Chunk.Epoch || (w.Chunk.Epoch == before.Chunk.Epoch && w.Writer != before.Writer) {
			t.Errorf("%s: %s wrote epoch %d after %s wrote epoch %d", w.Key, w.Writer, w.Chunk.Epoch, before.Writer, before.Chunk.Epoch)
		}
		for i := range w.Chunk.Items {
			if before.Chunk.Results.Has(i) && !w.Chunk.Results.Has(i) {
				t.Errorf("%s: epoch %d dropped the result of item %d", w.Key, w.Chunk.Epoch, i)
			}
		}
	}
}
