package integration

import (
	"context"
	"strings"
	"testing"
	"time"

	"ragwortstep/test/harness"
)

const (
	staleTokens = 40 // the job then outlasts the pause of an owner, and new owners soon have room
	// takeoverWait bounds the time until another host claims the chunks of a
	// paused one: silence of 3 s and one listing of active jobs.
	takeoverWait = 15 * time.Second
)

// Guards against an owner that was paused past its lease, has been replaced,
// and then commits results: items would get two results.
func TestStaleOwnerCommitsNothing(t *testing.T) {
	t.Parallel()
	items := sizeFor(3000, 10000)
	ctx := within(t, sizeFor(2*time.Minute, 10*time.Minute))
	_, d := start(t, harness.QuangNam, withTestLayout(3, 6), withJobHistory)
	workspace := d.Layout.Workspaces[0].Name
	job := createJob(ctx, t, d.Jobs(0, workspace), "stale", harness.Items(d.Layout.Model, "stale", items, staleTokens))
	awaitDone(ctx, t, d.Jobs(0, workspace), job.ID, 1)
	owned := ownersOf(chunkWrites(ctx, t, d, job.ID))
	victim := hostWithMostChunks(t, d, owned)
	writer := staleWriter(owned, victim.Name)
	if err := victim.Pause(); err != nil {
		t.Fatal(err)
	}
	paused := time.Now()
	lost := awaitTakeover(ctx, t, d, job.ID, writer)
	t.Logf("%d items; %s lost %d chunks %s after it was paused", items, victim.Name, len(lost), time.Since(paused).Round(time.Millisecond))
	// The owner is continued while the new owners still run the chunks.
	if err := victim.Resume(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(sizeFor(8*time.Second, 20*time.Second)) // longer than the commit interval of 5 s
	cancelJob(ctx, t, d, workspace, job.ID)
	writes := chunkWrites(ctx, t, d, job.ID)
	requireProgress(t, writes)
	requireNoStaleWrites(t, writes, writer, lost)
}

// ownersOf returns the last writer of each chunk that is open.
func ownersOf(writes []chunkWrite) map[string]string {
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

func staleWriter(owned map[string]string, host string) string {
	for _, writer := range owned {
		if hostOf(writer) == host {
			return writer
		}
	}
	return ""
}

// awaitTakeover waits until no open chunk belongs to the writer, and returns
// the epochs under which others took its chunks.
func awaitTakeover(ctx context.Context, t *testing.T, d *harness.Deployment, job, writer string) map[string]uint64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(ctx, takeoverWait)
	defer cancel()
	for {
		writes := chunkWrites(ctx, t, d, job)
		lost, open := takenOver(writes, writer), 0
		for _, owner := range ownersOf(writes) {
			if owner == writer {
				open++
			}
		}
		if open == 0 {
			return lost
		}
		if !sleepFor(ctx, 200*time.Millisecond) {
			t.Fatalf("%d chunks of the paused owner were not taken over within %s", open, takeoverWait)
		}
	}
}

func takenOver(writes []chunkWrite, writer string) map[string]uint64 {
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

// requireNoStaleWrites verifies that after the takeover the writer got no
// write accepted except under a claim of its own with a later epoch.
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

func cancelJob(ctx context.Context, t *testing.T, d *harness.Deployment, workspace, id string) time.Time {
	t.Helper()
	repeatCall(ctx, t, "cancel", func() error {
		_, err := d.Jobs(0, workspace).Cancel(ctx, id)
		return err
	})
	return time.Now()
}
