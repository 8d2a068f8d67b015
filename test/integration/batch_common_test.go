package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
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
	itemsPath = "/v1/completions"
	// callPause is the time between attempts of a caller whose call failed.
	callPause = 200 * time.Millisecond
)

// sizeFor returns the size for CI or, in a long run, the size of the target.
func sizeFor[T any](ci, long T) T {
	if longRun() {
		return long
	}
	return ci
}

// seeds returns the seeds to run: one, or as many as RAGWORTSTEP_SEEDS says.
func seeds(t *testing.T) []uint64 {
	t.Helper()
	n := 1
	if raw := os.Getenv("RAGWORTSTEP_SEEDS"); raw != "" {
		var err error
		if n, err = strconv.Atoi(raw); err != nil || n < 1 {
			t.Fatalf("RAGWORTSTEP_SEEDS=%q: want a number above 0", raw)
		}
	}
	out := make([]uint64, n)
	for i := range out {
		out[i] = uint64(i) + 1
	}
	return out
}

// withTestLayout keeps the deployment small and the first workspace's rate
// above what the engines can do, so that the limiter does not pace its jobs.
func withTestLayout(hosts, engines int) startOptions {
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

func withSeed(seed uint64) startOptions {
	return func(o *harness.Options) { o.Seed = seed }
}

// within returns a context for the rest of a test that may take so long.
func within(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// repeatCall repeats a caller's request until it succeeds or ctx ends.
func repeatCall(ctx context.Context, t *testing.T, step string, fn func() error) {
	t.Helper()
	for {
		err := fn()
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			t.Fatalf("%s: %v", step, err)
		case <-time.After(callPause):
		}
	}
}

// createJob uploads items and creates a job over them.
func createJob(ctx context.Context, t *testing.T, jobs *harness.Jobs, key string, lines []byte) harness.Batch {
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

// awaitDone waits until the job has results for at least n items.
func awaitDone(ctx context.Context, t *testing.T, jobs *harness.Jobs, id string, n int) harness.Batch {
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

// requireProgress verifies that no chunk's history loses a result or takes
// back an epoch, and that only the owner of an epoch writes under it.
func requireProgress(t *testing.T, writes []chunkWrite) {
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
