package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// jobsPerSecond is that of `quote-batch` in SYSTEM.md.
	jobsPerSecond = 1.03
	// ordinaryHours is how long the deployment has run in phase two.
	ordinaryHours = 96
	// keptJobs is the number of batch jobs submitted in statusS, which may not be removed.
	keptJobs = 124
	// sampleJobs is how many batch jobs are there to be removed in phase one, and
	// sampleTime how long their removal is watched: three rounds of the hosts.
	sampleJobs = 200
	sampleTime = 31 * time.Second
	// crashTime is how long the processes are watched after their restart.
	crashTime = 35 * time.Second
)

// headKind, payloadKind and resultKind are the kinds of objects that the system keeps of
// a batch job.
const headKind, payloadKind, resultKind = "fleet-state", "job-payloads", "job-results"

// oldJobs: the system has accepted batch jobs at the rate of the site for four days.
func oldJobs(l *Lab) int {
	var before, after, reads tally
	var phase atomic.Pointer[tally]
	if err := l.start(3, 6, 3, nil); err != nil {
		l.note("cannot start: %v", err)
		return cannotRun
	}
	id := newID()
	sample, err := l.finishedJob(id)
	if err != nil {
		l.note("no batch job was finished: %v", err)
		return cannotRun
	}
	phase.Store(&before)
	for _, h := range l.hosts {
		go l.every(100*time.Millisecond, func() {
			t := phase.Load()
			if served := l.ask(h); t != nil {
				t.add(served)
			}
		})
	}
	l.note("batch job %s is finished; the system keeps this of it in %s: %s", id, headKind, sample.head)
	// Phase one: how fast does the system remove what it keeps of finished batch jobs that
	// nobody may read any more?
	for range sampleJobs {
		l.addOldJob(sample, true)
	}
	heads := l.heads()
	time.Sleep(sampleTime)
	removed := heads - l.heads()
	phase.Store(nil) // the processes stop
	rate := float64(removed) / sampleTime.Seconds()
	l.note("phase one: %d of %d batch jobs that were submitted an hour ago are removed in %v: %.2f a second; %.2f a second come", removed, sampleJobs, sampleTime, rate, jobsPerSecond)
	// Phase two: a planned restart after a time of ordinary work.
	left := keptJobs
	if l.trouble {
		left += int((jobsPerSecond - rate) * ordinaryHours * 3600)
	}
	var group sync.WaitGroup
	for _, h := range l.hosts {
		group.Go(h.pause)
	}
	group.Wait()
	for range left {
		l.addOldJob(sample, false)
	}
	l.note("phase two: %d batch jobs are left in the store after %d hours; the processes start again", left, ordinaryHours)
	for _, h := range l.hosts {
		h.resume()
		go h.guardMemory(l.stop, l.note)
	}
	phase.Store(nil)
	time.AfterFunc(recovery, func() { phase.Store(&after) })
	go l.every(time.Second, func() {
		for _, h := range l.hosts {
			_, p := readPage(h, id, 0)
			reads.add(len(p.Results) > 0)
		}
	})
	time.Sleep(crashTime)
	hit := 0
	for _, h := range l.hosts {
		h.mu.Lock()
		l.note("%s: peak %d MB of %d MB, %d processes ended for their memory, %d ended otherwise by themselves", h.Name, h.Peak, h.MemoryMB, h.Over, h.Ends)
		if h.Over+h.Ends >= 3 {
			hit++
		}
		h.mu.Unlock()
	}
	l.note("ordinary requests: %d of %d served before the restart; %d of %d sent later than %v after the processes were back", before.served, before.sent, after.served, after.sent, recovery)
	l.note("reads of batch job %s after the restart: %d of %d answered with its results", id, reads.served, reads.sent)
	if hit >= 2 {
		return broken
	}
	return held
}

// keptJob is what the system keeps of a finished batch job.
type keptJob struct {
	id       string
	sent     time.Time
	ids      []string // of its items
	head     json.RawMessage
	payloads []json.RawMessage
	results  []json.RawMessage
}

// finishedJob submits a batch job and waits until it is finished.
func (l *Lab) finishedJob(id string) (*keptJob, error) {
	body, ids := job(10)
	sent := time.Now()
	status, _, _, err := call(context.Background(), http.MethodPost, l.hosts[0].Front(), "/pule252/"+id[:6], id, nil, body)
	if err != nil || status != http.StatusAccepted {
		return nil, fmt.Errorf("status %d: %w", status, err)
	}
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		kept := &keptJob{id: id, sent: sent, ids: ids}
		l.store.mu.Lock()
		kept.head = l.store.objects[headKind]["job."+id].Spec
		for n := range 100 {
			if o, ok := l.store.objects[payloadKind][fmt.Sprint(id, ".", n)]; ok {
				kept.payloads = append(kept.payloads, o.Spec)
			}
			if o, ok := l.store.objects[resultKind][fmt.Sprint(id, ".", n)]; ok {
				kept.results = append(kept.results, o.Spec)
			}
		}
		l.store.mu.Unlock()
		if bytes.Contains(kept.head, []byte(`"done":true`)) {
			return kept, nil
		}
	}
	return nil, fmt.Errorf("it is not marked as done")
}

// addOldJob adds what the system would keep of a batch job like the sample that was
// submitted an hour ago, with ids of its own. whole says whether bodies and results are
// added too: the hosts read them only to remove them.
func (l *Lab) addOldJob(sample *keptJob, whole bool) {
	id := newID()
	names := []string{sample.id, id}
	for _, item := range sample.ids {
		names = append(names, item, newID())
	}
	rename := strings.NewReplacer(names...)
	var head map[string]any
	_ = json.Unmarshal([]byte(rename.Replace(string(sample.head))), &head)
	head["accepted"] = time.Now().Add(-time.Hour).UnixMilli()
	l.store.set(headKind, "job."+id, head)
	if !whole {
		return
	}
	for n, raw := range sample.payloads {
		l.store.set(payloadKind, fmt.Sprint(id, ".", n), json.RawMessage(raw))
	}
	for n, raw := range sample.results {
		l.store.set(resultKind, fmt.Sprint(id, ".", n), json.RawMessage(rename.Replace(string(raw))))
	}
}

// heads returns the number of batch jobs in the store.
func (l *Lab) heads() int {
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	n := 0
	for name := range l.store.objects[headKind] {
		if strings.HasPrefix(name, "job.") {
			n++
		}
	}
	return n
}

// pause stops the process with SIGTERM, as planned work does, and waits for its end.
func (h *Host) pause() {
	h.mu.Lock()
	h.killed, h.stopped = true, true
	_ = h.cmd.Process.Signal(syscall.SIGTERM)
	ended := h.ended
	h.mu.Unlock()
	<-ended
}

// resume starts the process again after pause.
func (h *Host) resume() {
	h.mu.Lock()
	h.stopped = false
	h.mu.Unlock()
	_ = h.start()
}

// tally counts requests.
type tally struct {
	mu           sync.Mutex
	sent, served int
}

func (t *tally) add(served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if served {
		t.served++
	}
}

// ask sends an ordinary request to a host. It reports whether it was served.
func (l *Lab) ask(h *Host) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	id := newID()
	status, _, raw, err := call(ctx, http.MethodPost, h.Front(), "/puxa403/2f", id, map[string]string{"Deadline-Ms": "1000"}, []byte(id))
	return err == nil && status == http.StatusOK && string(raw) == plainBody(id)
}
