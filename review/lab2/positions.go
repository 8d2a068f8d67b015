package lab2

import (
	"fmt"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"ragwortstep/test/coop"
)

// Exit codes of a script.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

const (
	frontHosts    = 8
	frontMemoryMB = 284
	// readJobs are the ordinary batch jobs that are read, of readItems each, with the most
	// tokens on the sheet.
	readJobs   = 20
	readItems  = 24
	readTokens = 387
	readTime   = 35 * time.Second
	readGap    = 250 * time.Millisecond
	// settle is settleMs.
	settle = time.Second
	// tokensPerEvent and step are those of the sheet's engines.
	tokensPerEvent = 7
	step           = 20 * time.Millisecond
)

// SubmitOdd submits the batch jobs of a client that doesn't behave, and reports whether all
// were accepted.
type SubmitOdd func(record *Record, fleet *Fleet) bool

// PlayPositions submits odd batch jobs, and then ordinary ones whose results are read at
// all hosts. It checks that positions that were read stay there, and returns the exit code.
func PlayPositions(folder string, submit SubmitOdd) int {
	record, err := NewRecord(filepath.Join("review", folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return ExitNotRun
	}
	network, err := NewNetwork()
	if err != nil {
		record.Say("%v", err)
		return ExitNotRun
	}
	store := coop.NewStore(1)
	defer store.Close()
	servers := &Servers{Store: store, Net: network, Record: record, EventBytes: 65, Step: step, EventsOf: func(r *http.Request) int {
		_, tokens, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
		n, _ := strconv.Atoi(tokens)
		return n/tokensPerEvent + 1
	}}
	defer servers.Close()
	zones := []string{"thies-nord", "thies-centre", "thies-sud"}
	for i := range 12 {
		if err := servers.Add("assistant-lm", zones[i%3], 8, 24); err != nil {
			record.Say("%v", err)
			return ExitNotRun
		}
	}
	servers.Configure(1, []map[string]any{{
		"name": "r-sheet", "host": "d.example", "pathPrefix": "/sheet/", "kind": "batch", "timeoutMs": 15000, "targetLatencyMs": 400, "gapAimMs": 300,
		"priority": 2, "service": "assistant-lm", "maxAttempts": 3, "public": false, "sessionAffinity": true, "resumable": true, "completionTargetMs": 18000, "retentionS": 60,
	}}, []map[string]any{
		{"name": "t-odd", "apiKeys": []string{"k-odd"}, "ratePerS": 0, "burst": 0}, {"name": "t-one", "apiKeys": []string{"k1"}, "ratePerS": 0, "burst": 0},
	})
	fleet, err := NewFleet(network, Options{Hosts: frontHosts, Zones: zones, Store: store.Address(), MemoryMB: frontMemoryMB, Record: record})
	if err != nil {
		record.Say("%v", err)
		return ExitNotRun
	}
	defer fleet.Close()
	if !fleet.AwaitReady(15 * time.Second) {
		record.Say("the hosts did not become ready")
		return ExitNotRun
	}
	time.Sleep(4 * time.Second) // all machines are in touch
	defer recordCalls(record, store)()
	if !submit(record, fleet) {
		record.Say("not all odd batch jobs were accepted")
		return ExitNotRun
	}
	jobs := make([]*positions, readJobs)
	client := NewClient("d.example", "k1")
	for n := range jobs {
		jobs[n] = newPositions(record, fmt.Sprintf("%016x", 0x7c41e09b52d60000+n*7919))
		h := fleet.Hosts[n%len(fleet.Hosts)]
		if !client.SubmitTokens([]string{h.Front}, "/sheet/", jobs[n].job, readItems, readTokens, []byte("x")) {
			record.Say("an ordinary batch job was not accepted")
			return ExitNotRun
		}
		record.Add("ordinary batch job %s accepted at %s", jobs[n].job, h.Name)
	}
	var group sync.WaitGroup
	stop := time.Now().Add(readTime)
	for _, p := range jobs {
		for _, h := range fleet.Hosts {
			group.Go(func() {
				for time.Now().Before(stop) {
					p.read(client, h)
					time.Sleep(readGap)
				}
			})
		}
	}
	group.Wait()
	runs := map[string]int{}
	for _, r := range servers.Runs() {
		record.Add("server %s ran item %s", r.Server, r.ID)
		runs[r.ID]++
	}
	missing := 0
	for _, p := range jobs {
		record.Say("batch job %s: %d positions read, %d reads with nothing at a position that was read more than %v before", p.job, len(p.firstRead), p.missing, settle)
		missing += p.missing
	}
	record.Say("%d items ran, %d runs", len(runs), len(servers.Runs()))
	if missing > 0 {
		record.Say("broken")
		return ExitBroken
	}
	record.Say("held")
	return ExitHeld
}

// recordCalls records the calls to the store in each second, and the most of them.
func recordCalls(record *Record, store *coop.Store) (end func()) {
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		most, before := 0, store.Calls()
		for {
			select {
			case <-stop:
				record.Add("most calls to the store in a second, reads and writes: %d", most)
				return
			case <-time.After(time.Second):
			}
			now := store.Calls()
			most = max(most, now-before)
			record.Add("calls to the store in the last second: %d", now-before)
			before = now
		}
	}()
	return func() {
		close(stop)
		<-ended
	}
}

// positions keeps what was read of an ordinary batch job.
type positions struct {
	record    *Record
	job       string
	mu        sync.Mutex
	firstRead map[int]time.Time // by position: end of the first read that had it
	missing   int
}

func newPositions(record *Record, job string) *positions {
	return &positions{record: record, job: job, firstRead: map[int]time.Time{}}
}

// read reads the batch job from its start at a host. A position that was read before must
// be there, if this read began more than settle later.
func (p *positions) read(client *Client, h *Host) {
	began := time.Now()
	status, page := client.Read(h.Front, p.job, 0)
	ended := time.Now()
	if status != http.StatusOK && status != http.StatusNotFound {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(page.Results)
	p.record.Add("read of %s at %s: status %d, %d results", p.job, h.Name, status, n)
	for position, at := range p.firstRead {
		if late := began.Sub(at); position >= n && late > settle {
			p.missing++
			p.record.Add("read of %s at %s: status %d, %d results; position %d was read %v before", p.job, h.Name, status, n, position, late.Round(time.Millisecond))
			break
		}
	}
	for position := range n {
		if _, ok := p.firstRead[position]; !ok {
			p.firstRead[position] = ended
			p.record.Add("position %d of %s first read at %s", position, p.job, h.Name)
		}
	}
}
