package integration

import (
	"context"
	"strings"
	"testing"
	"time"

	"ragwortstep/test/harness"
)

const (
	// staleTokens makes the job last longer than the pause of an owner, while
	// other hosts soon have capacity for its chunks.
	staleTokens = 40
	// takeoverTimeout bounds the time until other hosts claim the chunks of a
	// paused one: 3 s without a heartbeat and one listing of active jobs.
	takeoverTimeout = 15 * time.Second
)

// Guards against an owner that was paused beyond its lease and commits results
// after other hosts took over its chunks: items would get two results.
func TestStaleOwnerCommitsNothing(t *testing.T) {
	t.Parallel()
	items := sizeFor(3000, 10000)
	ctx := testContext(t, sizeFor(2*time.Minute, 10*time.Minute))
	_, d := startDeployment(t, harness.QuangNam, withTestLayout(3, 6), withJobHistory)
	workspace := d.Layout.Workspaces[0].Name
	job := createJob(ctx, t, d.JobClient(0, workspace), "stale", harness.Items(d.Layout.Model, "stale", items, staleTokens))
	awaitResults(ctx, t, d.JobClient(0, workspace), job.ID, 1)
	owned := openChunkOwners(chunkWrites(ctx, t, d, job.ID))
	victim := hostWithMostChunks(t, d, owned)
	writer := writerOnHost(owned, victim.Name)
	if err := victim.Pause(); err != nil {
		t.Fatal(err)
	}
	paused := time.Now()
	lost := awaitTakeover(ctx, t, d, job.ID, writer)
	t.Logf("%d items; %s lost %d chunks %s after it was paused", items, victim.Name, len(lost), time.Since(paused).Round(time.Millisecond))
	// The owner resumes while the new owners still run the chunks.
	if err := victim.Resume(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(sizeFor(8*time.Second, 20*time.Second)) // longer than the commit interval of 5 s
	cancelJob(ctx, t, d, workspace, job.ID)
	writes := chunkWrites(ctx, t, d, job.ID)
	requireConsistentHistory(t, writes)
	requireNoStaleWrites(t, writes, writer, lost)
}

// openChunkOwners returns the last writer of each unfinished chunk.
func openChunkOwners(writes []chunkWrite) map[string]string {
	out := map[string]string{}
	for _, w := range writes {
		out[w.Key] = w.Writer
		if w.Chunk.Finished() {
			delete(out, w.Key)
		}
	}
	return out
}

func hostWithMostChunks(t *testing.T, d *harness.Deployment, owned map[string]string) *harness.Host {
	t.Helper()
	count := map[string]int{}
	for _, writer := range owned {
		count[hostOf(writer)]++
	}
	var most *harness.Host
	for _, h := range d.Hosts {
		if count[h.Name] > 0 && (most == nil || count[h.Name] > count[most.Name]) {
			most = h
		}
	}
	if most == nil {
		t.Fatalf("no host owns a chunk: %v", owned)
	}
	return most
}

// hostOf returns the host of a writer, which is host and incarnation.
func hostOf(writer string) string {
	host, _, _ := strings.Cut(writer, "/")
	return host
}

func writerOnHost(owned map[string]string, host string) string {
	for _, writer := range owned {
		if hostOf(writer) == host {
			return writer
		}
	}
	return ""
}

// awaitTakeover waits until the writer owns no unfinished chunk, and returns
// the epochs under which others took over its chunks.
func awaitTakeover(ctx context.Context, t *testing.T, d *harness.Deployment, job, writer string) map[string]uint64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	for {
		writes := chunkWrites(ctx, t, d, job)
		lost, open := takeoverEpochs(writes, writer), 0
		for _, owner := range openChunkOwners(writes) {
			if owner == writer {
				open++
			}
		}
		if open == 0 {
			return lost
		}
		if !sleepFor(ctx, 200*time.Millisecond) {
			t.Fatalf("%d chunks of the paused owner were not taken over within %s", open, takeoverTimeout)
		}
	}
}

func takeoverEpochs(writes []chunkWrite, writer string) map[string]uint64 {
	held, lost := map[string]bool{}, map[string]uint64{}
	for _, w := range writes {
		switch {
		case w.Writer == writer:
			held[w.Key] = true
		case held[w.Key]:
			if _, ok := lost[w.Key]; !ok {
				lost[w.Key] = w.Chunk.Epoch
			}
		}
	}
	return lost
}

// requireNoStaleWrites verifies that no write by the writer was accepted for a
// chunk after its takeover.
func requireNoStaleWrites(t *testing.T, writes []chunkWrite, writer string, lost map[string]uint64) {
	t.Helper()
	if len(lost) == 0 {
		t.Error("no chunk was taken over")
	}
	replaced := map[string]bool{}
	for _, w := range writes {
		epoch, ok := lost[w.Key]
		if !ok {
			continue
		}
		if w.Writer != writer && w.Chunk.Epoch >= epoch {
			replaced[w.Key] = true
		}
		if replaced[w.Key] && w.Writer == writer {
			t.Errorf("%s: the replaced owner's write of epoch %d was accepted after the takeover under epoch %d", w.Key, w.Chunk.Epoch, epoch)
		}
	}
}
