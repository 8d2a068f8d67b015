// Command 3 runs the case "a body without end": a backend server goes on with the
// bytes of a batch item's answer without end.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"ragwortstep/review/lab"
)

const (
	hosts, servers  = 4, 4
	events          = 60
	eventPause      = 10 * time.Millisecond
	jobPause        = 400 * time.Millisecond
	itemsPerJob     = 10
	length          = 90 * time.Second
	key             = "2b9wu3fexd9dnn2ctnfz"
	faultyServers   = 2    // of the four; at most 0.6 of the servers
	faultyAnswers   = 0.03 // part of their answers
	faultTime       = 7 * time.Second
	faultPeriod     = 10 * time.Second
	bytesPerSecond  = 50e6 // of an answer without end; a machine's link has 125e6
	endsPerMachine  = 3
	machinesToBreak = 2
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
	c := &faultyCase{d: d, record: record, trouble: os.Getenv("TROUBLE") != "0", client: lab.NewClient(0)}
	if err := c.prepare(); err != nil {
		record.Say("cannot run: %v", err)
		return 2
	}
	c.load()
	return c.verdict()
}

type faultyCase struct {
	d       *lab.Deployment
	record  *lab.Record
	trouble bool
	client  *lab.Client
	began   time.Time

	mu                          sync.Mutex
	endless, accepted, finished int
	wrong                       int
}

func (c *faultyCase) prepare() error {
	c.d.Store.Set("config", "main", map[string]any{
		"version": 7, "limits": lab.Limits,
		"routes": []any{
			lab.Route("batch", "batch", "llm", 3, map[string]any{"targetLatencyMs": 400, "completionTargetMs": 18_000, "retentionS": 120}),
		},
		"services": []any{map[string]any{"name": "llm", "healthPath": "/health", "maxConnections": 300}},
		"tenants":  []any{map[string]any{"name": "w", "apiKeys": []string{key}, "ratePerS": 60, "burst": 60}},
	})
	for i := range servers {
		s := &lab.Server{Name: fmt.Sprintf("i-%08x", rand.Uint32()), Service: "llm", Events: events, Pause: eventPause}
		if i < faultyServers && c.trouble {
			s.Odd = c.answerWithoutEnd
		}
		if err := c.d.AddServer(s); err != nil {
			return err
		}
	}
	return c.d.StartHosts()
}

// answerWithoutEnd begins an answer soundly and then sends bytes that are no events of
// it until the caller closes.
func (c *faultyCase) answerWithoutEnd(s *lab.Server, w http.ResponseWriter, r *http.Request, id string) bool {
	if c.began.IsZero() || time.Since(c.began)%faultPeriod > faultTime || rand.Float64() >= faultyAnswers {
		return false
	}
	c.mu.Lock()
	c.endless++
	c.mu.Unlock()
	c.record.Line("%s answers item %s without end", s.Name, id)
	s.Stream(w, r, id, 0, 3)
	line := "data: " + fmt.Sprintf("%01000d", 0) + "\n\n"
	chunk := ""
	for len(chunk) < 64<<10 {
		chunk += line
	}
	sent, from := 0, time.Now()
	for {
		n, err := io.WriteString(w, chunk)
		if sent += n; err != nil {
			c.record.Line("%s: the caller closed item %s after %d MB in %.1f s", s.Name, id, sent>>20, time.Since(from).Seconds())
			return true
		}
		time.Sleep(time.Duration(float64(sent)/bytesPerSecond*1e9) - time.Since(from))
	}
}

// load submits jobs to all machines and reads their results.
func (c *faultyCase) load() {
	c.began = time.Now()
	var group sync.WaitGroup
	for time.Since(c.began) < length {
		group.Go(c.job)
		time.Sleep(jobPause)
	}
	group.Wait()
}

func (c *faultyCase) host() string { return c.d.Hosts[rand.IntN(hosts)].Front }

func (c *faultyCase) job() {
	id := lab.NewID()
	var items []lab.Item
	for range itemsPerJob {
		items = append(items, lab.Item{
			ID: lab.NewID(), Path: "/batch/3/91c4", Headers: map[string]string{"Model": "m", "Token-Count": "350,242"}, Body: []byte("prompt"), Tokens: 592,
		})
	}
	for try := 0; ; try++ {
		a := c.client.Submit(c.host(), "batch", id, key, items)
		c.record.Line("job %s: submission %d answered %d %v", id, try, a.Status, a.Err)
		if a.Status == http.StatusAccepted {
			break
		}
		if try == 3 {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	c.mu.Lock()
	c.accepted++
	c.mu.Unlock()
	after := 0
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		results, total, _ := c.client.Results(c.host(), id, key, after)
		for _, result := range results {
			if result.State == "completed" && result.Output != lab.ExpectedOutput(result.ID, events) {
				c.record.Line("job %s: item %s has a wrong output of %d bytes", id, result.ID, len(result.Output))
				c.mu.Lock()
				c.wrong++
				c.mu.Unlock()
			}
		}
		after += len(results)
		if total > 0 && after >= total {
			c.mu.Lock()
			c.finished++
			c.mu.Unlock()
			c.record.Line("job %s: all %d results read", id, total)
			return
		}
		if time.Since(c.began) > length+15*time.Second {
			return
		}
	}
}

// verdict applies the rule: on a tenth of the machines in use, two at least, processes
// end by themselves three times in the day.
func (c *faultyCase) verdict() int {
	broken := 0
	for _, h := range c.d.Hosts {
		over, own, peak := h.OverLimit()
		c.record.Say("%s: %d ends over the limit of memory, %d other ends, peak %d MB of %d", h.Name, over, own, peak, lab.MemoryMb)
		if over+own >= endsPerMachine {
			broken++
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.Say("jobs accepted %d, read to their end %d; answers without end %d; wrong outputs %d", c.accepted, c.finished, c.endless, c.wrong)
	if c.accepted == 0 {
		return 2
	}
	if broken >= machinesToBreak {
		c.record.Say("BROKEN: %d machines whose processes ended by themselves %d times or more", broken, endsPerMachine)
		return 1
	}
	c.record.Say("held")
	return 0
}
