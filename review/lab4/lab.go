// Command lab4 plays the scripts of the third review: it starts the project's own program
// as separate processes beside stand-ins for the store, the servers and the clients, and
// checks one rule.
package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	held, broken, cannotRun = 0, 1, 2
)

// Lab is one run of a script.
type Lab struct {
	trouble bool
	dir     string
	prefix  string // of the loopback addresses
	record  *os.File
	began   time.Time
	store   *Store
	hosts   []*Host
	servers []*Server
	zones   map[string]string
	stop    chan struct{}
	recMu   sync.Mutex
}

// note writes a line to the record.
func (l *Lab) note(format string, args ...any) {
	l.recMu.Lock()
	defer l.recMu.Unlock()
	fmt.Fprintf(l.record, "%7.3f  %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

func (l *Lab) address(last, port int) string { return fmt.Sprintf("%s.%d:%d", l.prefix, last, port) }

// reserve finds loopback addresses whose ports are free.
func (l *Lab) reserve() error {
	for range 50 {
		l.prefix = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		free := true
		for last := 1; last <= 12; last++ {
			for _, port := range []int{portFront, portReady, portPeers, 9464, 9000, 9001} {
				p, err := net.Listen("tcp", l.address(last, port))
				if err != nil {
					free = false
					break
				}
				_ = p.Close()
			}
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no free addresses")
}

// Addresses by the last byte: hosts from 11 on, the store at 2, servers from 101 on.
func (l *Lab) start(hosts, llms, apps int, adjust func(*Server)) error {
	if err := l.reserve(); err != nil {
		return err
	}
	zoneNames := []string{"thies-nord", "thies-centre", "thies-sud"}
	l.zones = map[string]string{}
	for _, z := range zoneNames {
		l.zones[z] = "thies"
	}
	l.store = newStore()
	for i := range llms + apps {
		s := &Server{ID: fmt.Sprintf("i-%08x", 0x7f000000+i), Service: "assistant-lm", Zone: zoneNames[i%3], Address: l.address(101+i, 9000), Slots: 8, Step: time.Millisecond}
		if i >= llms {
			s.Service, s.Slots = "alert-app", 6
		}
		if adjust != nil {
			adjust(s)
		}
		if err := s.listen(l.store); err != nil {
			return err
		}
		l.servers = append(l.servers, s)
	}
	l.configure(1)
	for i := range hosts {
		h := &Host{Name: fmt.Sprintf("front-%s-%d", zoneNames[i%3], i/3+1), IP: fmt.Sprintf("%s.%d", l.prefix, 11+i), Zone: zoneNames[i%3], StoreAddr: l.address(2, 9000+i), MemoryMB: 284}
		if err := l.store.listen(h.Name, h.StoreAddr); err != nil {
			return err
		}
		if err := h.writeSettings(l.dir, l.zones); err != nil {
			return err
		}
		l.hosts = append(l.hosts, h)
	}
	for _, h := range l.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range l.hosts {
		if err := l.awaitReady(h, 15*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until a host answers the platform's check with 200.
func (l *Lab) awaitReady(h *Host, limit time.Duration) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get(fmt.Sprintf("http://%s:%d/readiness", h.IP, portReady))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", h.Name)
}

const (
	hostName = "ficu95.example"
	apiKey   = "2b9wu3fexd9dnn2ctnfz"
	otherKey = "8d1kq0zwpm4rr7hh3x5c"
)

// configure writes a configuration like that of the site.
func (l *Lab) configure(version int) {
	route := func(name, prefix, kind, service string, more map[string]any) map[string]any {
		r := map[string]any{"name": name, "host": hostName, "pathPrefix": prefix, "kind": kind, "service": service, "priority": 0, "maxAttempts": 2, "timeoutMs": 5000, "targetLatencyMs": 300}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	l.store.set("config", "main", map[string]any{
		"version": version,
		"routes": []any{
			route("theft-alert", "/puxa403/", "idempotent", "alert-app", map[string]any{"timeoutMs": 1000, "targetLatencyMs": 100, "priority": 2}),
			route("repair-log", "/lohu930/", "streaming", "assistant-lm", map[string]any{"resumable": true, "gapAimMs": 300, "sessionAffinity": true}),
			route("route-sheet", "/pule252/", "batch", "assistant-lm", map[string]any{"targetLatencyMs": 400, "gapAimMs": 300, "completionTargetMs": 18000, "retentionS": 60, "maxAttempts": 3, "timeoutMs": 15000, "resumable": true, "priority": 2, "sessionAffinity": true}),
		},
		"services": []any{map[string]any{"name": "assistant-lm", "maxConnections": 300, "healthPath": "/health"}, map[string]any{"name": "alert-app", "maxConnections": 110, "healthPath": "/health"}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
		"tenants": []any{
			map[string]any{"name": "huka270", "apiKeys": []string{apiKey}, "ratePerS": 60, "burst": 60},
			map[string]any{"name": "miro114", "apiKeys": []string{otherKey}, "ratePerS": 30, "burst": 30},
		},
	})
}

func (l *Lab) close() {
	select {
	case <-l.stop:
	default:
		close(l.stop)
	}
	for _, h := range l.hosts {
		h.close()
	}
}

// senderOf returns the machine whose process holds the other end of a connection.
func (l *Lab) senderOf(remote string) *Host {
	_, text, _ := net.SplitHostPort(remote)
	port, _ := strconv.Atoi(text)
	for _, h := range l.hosts {
		if h.hasSocket(port) {
			return h
		}
	}
	return nil
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// job returns the body of a batch job and the ids of its items.
func job(items int) (body []byte, ids []string) {
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    string            `json:"body"`
		Tokens  int               `json:"tokens"`
	}
	var list []item
	for range items {
		id := newID()
		ids = append(ids, id)
		list = append(list, item{
			ID: id, Path: "/pule252/3/" + id[:4], Headers: map[string]string{"Model": "m", "Token-Count": "350,242", "Prompt-Prefix": "9c2e41:100," + id[:6] + ":250"},
			Body: base64.StdEncoding.EncodeToString(bytes.Repeat([]byte(id), 20)), Tokens: 592,
		})
	}
	body, _ = json.Marshal(map[string]any{"items": list})
	return body, ids
}

// call makes a call on a new connection. status is 0 without an answer.
func call(ctx context.Context, method, address, path, id string, header map[string]string, body []byte) (status int, h http.Header, answer []byte, err error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	req.Host = hostName
	req.Header.Set("Authorization", "Token "+apiKey)
	if id != "" {
		req.Header.Set("Attempt-Id", id)
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, answer, err
}

// resultPage is a page of results.
type resultPage struct {
	Total   int `json:"total"`
	Next    int `json:"nextToken"`
	Results []struct{ ID, State, Output string }
}

// readPage reads results of a job at a host.
func readPage(h *Host, id string, after int) (int, resultPage) {
	ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
	defer cancel()
	status, _, raw, err := call(ctx, http.MethodGet, h.Front(), fmt.Sprintf("/lots/%s?after=%d", id, after), "", nil, nil)
	var p resultPage
	if err != nil {
		return 0, p
	}
	if status == http.StatusOK {
		_ = json.Unmarshal(raw, &p)
	}
	return status, p
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: lab4 SCRIPT RECORD; from the root of the repository")
		os.Exit(cannotRun)
	}
	scripts := map[string]func(*Lab) int{"lost-verdict": lostVerdict, "old-jobs": oldJobs, "same-question": sameQuestion, "crashing-request": crashingRequest}
	script, ok := scripts[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such script")
		os.Exit(cannotRun)
	}
	os.Exit(run(script, os.Args[2]))
}

func run(script func(*Lab) int, record string) int {
	l := &Lab{trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), stop: make(chan struct{})}
	var err error
	if l.record, err = os.Create(record); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer l.record.Close()
	if l.dir, err = os.MkdirTemp("", "lab4-"); err != nil {
		return cannotRun
	}
	defer os.RemoveAll(l.dir)
	defer l.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	result := make(chan int, 1)
	go func() { result <- script(l) }()
	select {
	case code := <-result:
		l.note("exit code %d", code)
		return code
	case <-interrupted:
		l.note("the script was ended")
		return cannotRun
	case <-time.After(110 * time.Second):
		l.note("the script took too long")
		return cannotRun
	}
}
