// Command 2 runs the case "bytes that are no answer in a body": backend servers spoil a
// few of their answers by an event without an id and reset the connection.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"ragwortstep/review/lab"
)

const (
	hosts, servers  = 3, 6
	events          = 35
	eventPause      = 10 * time.Millisecond
	soundEvents     = 3 // of a spoiled answer
	itemsPerJob     = 10
	jobPause        = 800 * time.Millisecond
	streamPause     = 40 * time.Millisecond
	length          = 40 * time.Second
	faultyServers   = 3    // of the six; at most 0.6 of the servers
	faultyAnswers   = 0.03 // part of their answers
	faultTime       = 5 * time.Second
	faultPeriod     = 8 * time.Second
	key             = "2b9wu3fexd9dnn2ctnfz"
	bytesOfNoAnswer = "data: {\"error\":\"internal\"}\n\n"
)

func main() { os.Exit(run()) }

func run() int {
	record, err := lab.NewRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer record.Close()
	d, err := lab.NewDeployment(os.Args[1], hosts, record)
	if err != nil {
		record.Say("cannot run: %v", err)
		return 2
	}
	defer d.Close()
	c := &spoiledCase{d: d, record: record, trouble: os.Getenv("TROUBLE") != "0", client: lab.NewClient(8)}
	if err := c.prepare(); err != nil {
		record.Say("cannot run: %v", err)
		return 2
	}
	c.load()
	return c.verdict()
}

type spoiledCase struct {
	d       *lab.Deployment
	record  *lab.Record
	trouble bool
	client  *lab.Client

	mu                          sync.Mutex
	began                       time.Time
	spoiled                     int
	items, wrongItems           int // listed as completed
	streams, cuts, wrongStreams int // online, with status 200 and a regular end
}

func (c *spoiledCase) prepare() error {
	c.d.Store.Set("config", "main", map[string]any{
		"version": 7, "limits": lab.Limits,
		"routes": []any{
			lab.Route("batch", "batch", "llm", 3, map[string]any{"targetLatencyMs": 400, "completionTargetMs": 18_000, "retentionS": 120}),
			lab.Route("log", "streaming", "llm", 2, map[string]any{"resumable": true, "gapAimMs": 300, "sessionAffinity": true}),
		},
		"services": []any{map[string]any{"name": "llm", "healthPath": "/health", "maxConnections": 300}},
		"tenants":  []any{map[string]any{"name": "w", "apiKeys": []string{key}, "ratePerS": 60, "burst": 60}},
	})
	for i := range servers {
		s := &lab.Server{Name: fmt.Sprintf("i-%08x", rand.Uint32()), Service: "llm", Events: events, Pause: eventPause}
		if i < faultyServers && c.trouble {
			s.Odd = c.spoil
		}
		if err := c.d.AddServer(s); err != nil {
			return err
		}
	}
	return c.d.StartHosts()
}

// spoil answers with some sound events, bytes that are no event of the answer, and a
// reset of the connection.
func (c *spoiledCase) spoil(s *lab.Server, w http.ResponseWriter, r *http.Request, id string) bool {
	c.mu.Lock()
	faulty := !c.began.IsZero() && time.Since(c.began)%faultPeriod < faultTime && rand.Float64() < faultyAnswers && r.Header.Get("Last-Event-Id") == ""
	if faulty {
		c.spoiled++
	}
	c.mu.Unlock()
	if !faulty {
		return false
	}
	s.Stream(w, r, id, 0, soundEvents)
	_, _ = w.Write([]byte(bytesOfNoAnswer)) // the host may have left
	_ = http.NewResponseController(w).Flush()
	time.Sleep(eventPause)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the close is a reset
	}
	_ = conn.Close()
	c.record.Line("%s spoils the answer to %s and resets the connection", s.Name, id)
	return true
}

func (c *spoiledCase) load() {
	c.mu.Lock()
	c.began = time.Now()
	began := c.began
	c.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() {
		for time.Since(began) < length {
			group.Go(c.stream)
			time.Sleep(streamPause)
		}
	})
	for time.Since(began) < length {
		group.Go(func() { c.job(began.Add(length + 20*time.Second)) })
		time.Sleep(jobPause)
	}
	group.Wait()
}

func (c *spoiledCase) host() string { return c.d.Hosts[rand.IntN(hosts)].Front }

// stream sends an online request and checks the answer.
func (c *spoiledCase) stream() {
	id := lab.NewID()
	a := c.client.Do(lab.Call{
		Host: c.host(), Method: http.MethodPost, Path: "/log/2f", ID: id, Key: key, Body: []byte("prompt"),
		Header: map[string]string{"Model": "m", "Token-Count": "350,60", "Prompt-Prefix": "5c1e07a2:100," + id[:8] + ":250"},
	})
	c.record.Line("stream %s answered %d, %d bytes, %v", id, a.Status, len(a.Body), a.Err)
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.Status == http.StatusOK && a.Err != nil {
		c.cuts++
	}
	if a.Status != http.StatusOK || a.Err != nil {
		return
	}
	c.streams++
	if string(a.Body) != expectedStream(id) {
		c.wrongStreams++
		c.record.Say("stream %s ended as complete with other pieces than the servers': %q...", id, a.Body[:min(len(a.Body), 220)])
	}
}

func expectedStream(id string) string {
	var b strings.Builder
	for n := int64(1); n <= events; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n, lab.EventData(id, n))
	}
	return b.String()
}

// job submits a job and checks its results.
func (c *spoiledCase) job(end time.Time) {
	id := lab.NewID()
	var items []lab.Item
	for range itemsPerJob {
		items = append(items, lab.Item{
			ID: lab.NewID(), Path: "/batch/3/91c4", Headers: map[string]string{"Model": "m", "Token-Count": "350,242"}, Body: []byte("prompt"), Tokens: 592,
		})
	}
	if a := c.client.Submit(c.host(), "batch", id, key, items); a.Status != http.StatusAccepted {
		c.record.Line("job %s: submission answered %d %v", id, a.Status, a.Err)
		return
	}
	after := 0
	for ; time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		results, total, _ := c.client.Results(c.host(), id, key, after)
		for _, result := range results {
			c.check(id, result)
		}
		if after += len(results); total > 0 && after >= total {
			c.record.Line("job %s: all %d results read", id, total)
			return
		}
	}
}

func (c *spoiledCase) check(job string, result lab.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if result.State != "completed" {
		return
	}
	c.items++
	if result.Output != lab.ExpectedOutput(result.ID, events) {
		c.wrongItems++
		c.record.Say("job %s: item %s is completed with another text than its output: %q...", job, result.ID, result.Output[:min(len(result.Output), 120)])
	}
}

func (c *spoiledCase) verdict() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.Say("answers spoiled %d; items completed %d, of them wrong %d; streams complete %d, of them wrong %d, cut %d",
		c.spoiled, c.items, c.wrongItems, c.streams, c.wrongStreams, c.cuts)
	switch {
	case c.items == 0 || c.streams == 0:
		return 2
	case c.wrongItems+c.wrongStreams > 0:
		c.record.Say("BROKEN")
		return 1
	}
	c.record.Say("held")
	return 0
}
