// Command 5 runs the case "a request that crashes servers": it comes again and again,
// beside sound requests, while all processes are killed at the same moment some times.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"ragwortstep/review/lab"
)

const (
	hosts, servers = 3, 8
	events         = 30
	eventPause     = 20 * time.Millisecond
	perSecond      = 60
	length         = 75 * time.Second
	killFrom       = 15 * time.Second
	killPeriod     = 15 * time.Second
	kills          = 4
	crashFrom      = 5 * time.Second
	backAfter      = 2 * time.Second
	comesAgain     = 5 * time.Second
	startTime      = time.Second     // of a process that was killed
	window         = 3 * time.Second // stabilityWindowMs
	maxRetries     = 3
	key            = "2b9wu3fexd9dnn2ctnfz"
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
	c := &crashCase{d: d, record: record, trouble: os.Getenv("TROUBLE") != "0", client: lab.NewClient(8), runs: map[string][]time.Time{}, answers: map[int]int{}}
	if err := c.prepare(); err != nil {
		record.Say("cannot run: %v", err)
		return 2
	}
	c.load()
	return c.verdict()
}

type crashCase struct {
	d       *lab.Deployment
	record  *lab.Record
	trouble bool
	client  *lab.Client

	mu      sync.Mutex
	runs    map[string][]time.Time // of requests that crash servers, by body
	killed  []time.Time            // when all processes were killed
	answers map[int]int            // of sound requests, by status
}

func (c *crashCase) prepare() error {
	c.d.Store.Set("config", "main", map[string]any{
		"version": 7, "limits": lab.Limits,
		"routes": []any{
			lab.Route("log", "streaming", "llm", 2, map[string]any{"resumable": true, "gapAimMs": 300, "sessionAffinity": true}),
		},
		"services": []any{map[string]any{"name": "llm", "healthPath": "/health", "maxConnections": 300}},
		"tenants":  []any{map[string]any{"name": "w", "apiKeys": []string{key}, "ratePerS": 0, "burst": 0}},
	})
	for range servers {
		if err := c.d.AddServer(c.server()); err != nil {
			return err
		}
	}
	return c.d.StartHosts()
}

func (c *crashCase) server() *lab.Server {
	return &lab.Server{Name: fmt.Sprintf("i-%08x", rand.Uint32()), Service: "llm", Events: events, Pause: eventPause, OnRun: c.ran}
}

// ran crashes the server that begins to run such a request.
func (c *crashCase) ran(s *lab.Server, r *http.Request, id string, body []byte) {
	if len(body) < 6 || string(body[:6]) != "crash " {
		return
	}
	c.mu.Lock()
	c.runs[string(body)] = append(c.runs[string(body)], time.Now())
	n := len(c.runs[string(body)])
	c.mu.Unlock()
	c.record.Line("%s begins to run request %s (%s, run %d) and crashes", s.Name, id, body, n)
	go func() {
		s.Close()
		time.Sleep(backAfter)
		next := c.server()
		if err := c.d.ReplaceServer(s, next); err != nil {
			c.record.Line("%s cannot start again: %v", s.Name, err)
		}
	}()
	<-r.Context().Done()
}

func (c *crashCase) host() string { return c.d.Hosts[rand.IntN(hosts)].Front }

func (c *crashCase) load() {
	began := time.Now()
	var group sync.WaitGroup
	group.Go(func() { c.crashing(began, "crash "+lab.NewID()) })
	if c.trouble {
		group.Go(func() { c.killAll(began) })
	}
	for time.Since(began) < length {
		group.Go(func() {
			a := c.send("body " + lab.NewID())
			c.mu.Lock()
			c.answers[a.Status]++
			c.mu.Unlock()
		})
		time.Sleep(time.Second / perSecond)
	}
	group.Wait()
}

// killAll kills the processes of all machines at the same moment, some times.
func (c *crashCase) killAll(began time.Time) {
	for n := range kills {
		time.Sleep(time.Until(began.Add(killFrom + time.Duration(n)*killPeriod)))
		c.mu.Lock()
		c.killed = append(c.killed, time.Now())
		c.mu.Unlock()
		for _, h := range c.d.Hosts {
			h.Kill()
		}
	}
}

func (c *crashCase) send(body string) lab.Answer {
	id := lab.NewID()
	a := c.client.Do(lab.Call{
		Host: c.host(), Method: http.MethodPost, Path: "/log/2f", ID: id, Key: key, Body: []byte(body),
		Header: map[string]string{"Model": "m", "Token-Count": "350,60", "Prompt-Prefix": "5c1e07a2:100," + lab.NewID()[:8] + ":250"},
	})
	c.record.Line("request %s (%.28s) answered %d %v", id, body, a.Status, a.Err)
	return a
}

// crashing sends the same request again and again, but not at the moment of a kill.
func (c *crashCase) crashing(began time.Time, body string) {
	for at := crashFrom; at < length-2*time.Second; at += comesAgain {
		if at%killPeriod == 0 {
			continue
		}
		time.Sleep(time.Until(began.Add(at)))
		c.send(body)
	}
}

// inTouch reports whether all machines were in touch: no process was killed or started
// within the window before.
func (c *crashCase) inTouch(at time.Time) bool {
	for _, killed := range c.killed {
		if at.After(killed) && at.Before(killed.Add(startTime+window)) {
			return false
		}
	}
	return true
}

func (c *crashCase) verdict() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	broken := false
	for body, runs := range c.runs {
		late := 0
		for _, at := range runs {
			if len(runs) >= 3 && at.After(runs[2].Add(window)) && c.inTouch(at) {
				late++
			}
		}
		c.record.Say("%s: crashed %d servers, %d of them later than %s after the third, sent by machines in touch", body, len(runs), late, window)
		broken = broken || late > maxRetries
	}
	c.record.Say("sound requests by status: %v", c.answers)
	switch {
	case c.answers[http.StatusOK] == 0:
		return 2
	case broken:
		c.record.Say("BROKEN")
		return 1
	}
	c.record.Say("held")
	return 0
}
