// Command 5 runs the case "a key that was taken away": a machine that was cut off from
// the platform's store reaches it again.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"ragwortstep/review/lab"
)

const (
	servers   = 3
	routes    = 1900 // at most 1960, the count of the pages for a configuration that grows
	clients   = 24
	cutTime   = 9 * time.Second
	cuts      = 4
	calmTime  = 5 * time.Second
	revoke    = 5 * time.Second // revokeMs
	callEvery = 80 * time.Millisecond
)

func main() { os.Exit(run()) }

func run() int {
	record, err := lab.NewRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer record.Close()
	d, err := lab.NewDeployment(os.Args[1], 1, record)
	if err != nil {
		record.Say("cannot run: %v", err)
		return 2
	}
	defer d.Close()
	c := &keyCase{d: d, record: record, trouble: os.Getenv("TROUBLE") != "0", sentAt: map[string]sent{}, ranAt: map[string]time.Time{}, takenAt: map[string]time.Time{}}
	c.routes = routes
	if n, err := strconv.Atoi(os.Getenv("ROUTES")); err == nil {
		c.routes = n
	}
	if err := c.prepare(); err != nil {
		record.Say("cannot run: %v", err)
		return 2
	}
	c.play()
	return c.verdict()
}

type sent struct {
	key string
	at  time.Time
}

type keyCase struct {
	d       *lab.Deployment
	record  *lab.Record
	trouble bool
	routes  int
	version int

	mu      sync.Mutex
	keys    []string
	sentAt  map[string]sent      // by Attempt-Id
	ranAt   map[string]time.Time // likewise
	takenAt map[string]time.Time // ack of the configuration without the key
	served  int
}

// configure writes a configuration with the keys and returns when it was acknowledged.
func (c *keyCase) configure(keys []string) time.Time {
	c.version += 3
	list := []any{lab.Route("check", "idempotent", "app", 2, map[string]any{"targetLatencyMs": 100, "timeoutMs": 1000})}
	for i := range c.routes {
		list = append(list, lab.Route(fmt.Sprintf("idle%d", i), "idempotent", "app", 2, nil))
	}
	c.d.Store.Set("config", "main", map[string]any{
		"version": c.version, "limits": lab.Limits, "routes": list,
		"services": []any{map[string]any{"name": "app", "healthPath": "/health", "maxConnections": 110}},
		"tenants":  []any{map[string]any{"name": "w", "apiKeys": keys, "ratePerS": 0, "burst": 0}},
	})
	return time.Now()
}

func (c *keyCase) prepare() error {
	c.keys = []string{lab.NewID(), lab.NewID()}
	c.configure(c.keys)
	for range servers {
		s := &lab.Server{Name: fmt.Sprintf("i-%08x", rand.Uint32()), Service: "app", Pause: 5 * time.Millisecond, OnRun: c.ran}
		if err := c.d.AddServer(s); err != nil {
			return err
		}
	}
	return c.d.StartHosts()
}

func (c *keyCase) ran(_ *lab.Server, _ *http.Request, id string, _ []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ranAt[id] = time.Now()
}

// play cuts the machine off from the store, takes a key away meanwhile, and heals the cut.
func (c *keyCase) play() {
	host := c.d.Hosts[0]
	stop := make(chan struct{})
	var group sync.WaitGroup
	for range clients {
		group.Go(func() { c.client(host.Front, stop) })
	}
	time.Sleep(2 * time.Second)
	for range cuts {
		c.mu.Lock()
		old := c.keys[0]
		c.mu.Unlock()
		if c.trouble {
			c.d.Store.SetMode(host.Name, lab.Refuses)
			c.record.Line("the store turns %s away", host.Name)
			time.Sleep(200 * time.Millisecond)
		}
		c.mu.Lock()
		next := []string{c.keys[1], lab.NewID()}
		c.mu.Unlock()
		at := c.configure(next)
		c.mu.Lock()
		c.takenAt[old] = at
		c.mu.Unlock()
		c.record.Line("configuration %d without key %s is acknowledged", c.version, old)
		time.Sleep(cutTime - 200*time.Millisecond)
		if c.trouble {
			c.d.Store.SetMode(host.Name, lab.Serves)
			c.record.Line("the store serves %s again", host.Name)
		}
		time.Sleep(calmTime)
		c.mu.Lock()
		c.keys = next
		c.mu.Unlock()
	}
	close(stop)
	group.Wait()
}

// client sends requests with one of the keys, and goes on for some time with one that was
// taken away, which it doesn't know.
func (c *keyCase) client(host string, stop chan struct{}) {
	client := lab.NewClient(1)
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(float64(callEvery) * (0.5 + rand.Float64()))):
		}
		id := lab.NewID()
		c.mu.Lock()
		key := c.keys[rand.IntN(2)]
		c.sentAt[id] = sent{key, time.Now()}
		c.mu.Unlock()
		a := client.Do(lab.Call{Host: host, Method: http.MethodPost, Path: "/check/2f", ID: id, Key: key, Body: []byte("body"), Timeout: time.Second})
		c.record.Line("request %s with key %s answered %d %v", id, key, a.Status, a.Err)
		if a.Status == http.StatusOK {
			c.mu.Lock()
			c.served++
			c.mu.Unlock()
		}
	}
}

func (c *keyCase) verdict() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	broken := 0
	for id, s := range c.sentAt {
		taken, ok := c.takenAt[s.key]
		ran, did := c.ranAt[id]
		if ok && did && s.at.After(taken.Add(revoke)) {
			broken++
			c.record.Say("request %s was sent %.3f s after the ack that took its key away, and ran %.1f ms later", id, s.at.Sub(taken).Seconds(), ran.Sub(s.at).Seconds()*1000)
		}
	}
	c.record.Say("requests sent %d, served %d; that ran with a key taken away more than 5 s before: %d", len(c.sentAt), c.served, broken)
	switch {
	case c.served == 0:
		return 2
	case broken > 0:
		c.record.Say("BROKEN")
		return 1
	}
	c.record.Say("held")
	return 0
}
