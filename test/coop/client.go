package coop

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Ledger records the answers to callers, for the checks.
type Ledger struct {
	mu       sync.Mutex
	Answers  map[string]int // status by id, of the last attempt; 0 without an answer
	Routes   map[string]string
	Sent     map[string]SentRequest // by id
	Leaving  []LeavingAnswer
	Served   int
	Cut      int      // answers with status 200 that broke off
	Failures []string // violated guarantees
}

// SentRequest says where and when a caller sent a request.
type SentRequest struct {
	Host, Route string
	At          time.Time
}

// LeavingAnswer is an answer, passed on by a host, of a server that says it is
// leaving.
type LeavingAnswer struct {
	SentRequest
	Server     string    // start of the server
	AnsweredAt time.Time // when the caller had its head
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{Answers: map[string]int{}, Routes: map[string]string{}, Sent: map[string]SentRequest{}}
}

// AddFailure records a violated guarantee.
func (l *Ledger) AddFailure(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Failures = append(l.Failures, fmt.Sprintf(format, args...))
}

func (l *Ledger) recordSent(host, route, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Sent[id] = SentRequest{host, route, time.Now()}
}

func (l *Ledger) recordLeaving(id, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Leaving = append(l.Leaving, LeavingAnswer{l.Sent[id], server, time.Now()})
}

func (l *Ledger) recordAnswer(route, id string, status int, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Answers[id], l.Routes[id] = status, route
	switch {
	case status != http.StatusOK:
	case whole:
		l.Served++
	default:
		l.Cut++
	}
}

// Client calls hosts.
type Client struct {
	Ledger *Ledger
	http   http.Client
}

// NewClient returns a client with its own connection pool.
func NewClient(l *Ledger) *Client {
	return &Client{Ledger: l, http: http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
}

func (c *Client) request(method, host, path, id, key string, body []byte) (*http.Request, error) {
	r, err := http.NewRequest(method, "http://"+host+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Host = "h.example"
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Authorization", "Token "+key)
	r.Header.Set("Deadline-Ms", "5000")
	return r, nil
}

// sharedPart is a part of the prompts of all streams.
const sharedPart = "5a4ed0"

// Call sends an online request and checks the answer. It returns the status, 0
// without an answer.
func (c *Client) Call(host, route, id, key string) int {
	return c.CallWithParts(host, route, id, key, sharedPart)
}

// CallWithParts is Call for a prompt with the shared parts and one of its own.
func (c *Client) CallWithParts(host, route, id, key string, parts ...string) int {
	r, err := c.newCall(host, route, id, key, parts...)
	if err != nil {
		c.Ledger.AddFailure("request %s: %v", id, err)
		return 0
	}
	c.Ledger.recordSent(host, route, id)
	resp, err := c.http.Do(r)
	if err != nil {
		c.Ledger.recordAnswer(route, id, 0, false)
		return 0
	}
	c.receive(route, id, resp)
	return resp.StatusCode
}

// newCall returns an online request.
func (c *Client) newCall(host, route, id, key string, parts ...string) (*http.Request, error) {
	r, err := c.request(http.MethodPost, host, "/"+route+"/x", id, key, []byte("body "+id))
	if err != nil {
		return nil, err
	}
	if streams(route) {
		r.Header.Set("Token-Count", "100,50")
		prompt := fmt.Sprintf("%x:20", idHash(id))
		for _, part := range slices.Backward(parts) {
			prompt = part + ":40," + prompt
		}
		r.Header.Set("Prompt-Prefix", prompt)
	}
	return r, nil
}

func streams(route string) bool { return route == "stream" || route == "resume" }

// receive reads and checks the answer to an online request. It reports whether it
// is whole.
func (c *Client) receive(route, id string, resp *http.Response) bool {
	defer resp.Body.Close()
	if resp.Header.Get("Server-Leaving") != "" {
		c.Ledger.recordLeaving(id, resp.Header.Get(headerStart))
	}
	body, err := io.ReadAll(resp.Body)
	c.Ledger.recordAnswer(route, id, resp.StatusCode, err == nil)
	if resp.StatusCode != http.StatusOK || err != nil {
		return err == nil
	}
	if got := resp.Header.Get("Attempt-Id"); got != id {
		c.Ledger.AddFailure("%s %s: answer to %q", route, id, got)
	}
	want := PlainBody(id)
	if streams(route) {
		want = expectedStream(id)
	}
	if string(body) != want {
		c.Ledger.AddFailure("%s %s: whole answer %q, want %q", route, id, body, want)
	}
	return true
}

func expectedStream(id string) string {
	var b strings.Builder
	for n := int64(1); n <= EventCount(id); n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n, EventData(id, n))
	}
	return b.String()
}

// Submit submits a job. It returns the status, 0 without an answer.
func (c *Client) Submit(host, job, key string, items int) int {
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    []byte            `json:"body"`
		Tokens  int               `json:"tokens"`
	}
	var list []item
	for n := range items {
		list = append(list, item{fmt.Sprintf("%s-%d", job, n), "/batch/i", map[string]string{"Token-Count": "100,50"}, []byte("x"), 150})
	}
	raw, err := json.Marshal(map[string]any{"items": list})
	if err != nil {
		c.Ledger.AddFailure("job %s: %v", job, err)
		return 0
	}
	return c.requestStatus(http.MethodPost, host, "/batch/"+job, job, key, raw)
}

// End ends a job.
func (c *Client) End(host, job, key string) int {
	return c.requestStatus(http.MethodDelete, host, "/lots/"+job, job, key, nil)
}

func (c *Client) requestStatus(method, host, path, id, key string, body []byte) int {
	r, err := c.request(method, host, path, id, key, body)
	if err != nil {
		c.Ledger.AddFailure("%s %s: %v", method, path, err)
		return 0
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // so that the connection can be reused
	return resp.StatusCode
}

// Result is one listed item.
type Result struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Output string `json:"output"`
}

// Results reads a job's results from a position on. They are empty unless
// status is 200.
func (c *Client) Results(host, job, key string, after int) (results []Result, total, status int) {
	r, err := c.request(http.MethodGet, host, fmt.Sprintf("/lots/%s?after=%d", job, after), job, key, nil)
	if err != nil {
		c.Ledger.AddFailure("results of %s: %v", job, err)
		return nil, 0, 0
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, 0, 0
	}
	defer resp.Body.Close()
	var page struct {
		Total   int      `json:"total"`
		Results []Result `json:"results"`
	}
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body) // so that the connection can be reused
		return nil, 0, resp.StatusCode
	}
	if err := json.NewDecoder(resp.Body).Decode(&page); err != nil {
		return nil, 0, 0
	}
	return page.Results, page.Total, resp.StatusCode
}
