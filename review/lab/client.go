package lab

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// HostName is the Host header of all requests.
const HostName = "h.example"

// NewID returns a random id.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Route returns a route for the configuration.
func Route(name, kind, service string, attempts int, more map[string]any) map[string]any {
	r := map[string]any{
		"name": "r-" + name, "host": HostName, "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": 5000, "targetLatencyMs": 300,
		"priority": 0, "maxAttempts": attempts, "service": service, "public": false, "resumable": false,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// Limits are those of the small sites.
var Limits = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}

// Call is a request of a client.
type Call struct {
	Host, Method, Path, ID, Key string
	Header                      map[string]string
	Body                        []byte
	Timeout                     time.Duration
}

// Answer is what a client got. Err is set if it isn't whole.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Err    error
}

// Client sends requests over kept connections.
type Client struct{ HTTP *http.Client }

// NewClient returns a client with up to n idle connections per host.
func NewClient(n int) *Client {
	return &Client{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: n, DisableCompression: true}}}
}

// Do sends a request once.
func (c *Client) Do(call Call) Answer {
	r, err := http.NewRequest(call.Method, "http://"+call.Host+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Answer{Err: err}
	}
	r.Host = HostName
	r.Header.Set("Attempt-Id", call.ID)
	r.Header.Set("Authorization", "Token "+call.Key)
	timeout := call.Timeout
	if timeout <= 0 {
		timeout = 5 * time.Second
	}
	r.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	for k, v := range call.Header {
		r.Header.Set(k, v)
	}
	client := *c.HTTP
	client.Timeout = timeout + 500*time.Millisecond
	resp, err := client.Do(r)
	if err != nil {
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return Answer{resp.StatusCode, resp.Header, body, err}
}

// Item is an item of a batch job.
type Item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// Submit submits a batch job.
func (c *Client) Submit(host, route, id, key string, items []Item) Answer {
	raw, err := json.Marshal(map[string]any{"items": items})
	if err != nil {
		return Answer{Err: err}
	}
	return c.Do(Call{
		Host: host, Method: http.MethodPost, Path: "/" + route + "/" + id, ID: id, Key: key, Body: raw,
		Header: map[string]string{"Content-Type": "application/json"}, Timeout: 4 * time.Second,
	})
}

// Result is a listed item.
type Result struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Output string `json:"output"`
}

// Results reads a job's results from a position on.
func (c *Client) Results(host, id, key string, after int) (results []Result, total, status int) {
	a := c.Do(Call{Host: host, Method: http.MethodGet, Path: fmt.Sprintf("/lots/%s?after=%d", id, after), ID: NewID(), Key: key, Timeout: 1500 * time.Millisecond})
	if a.Err != nil || a.Status != http.StatusOK {
		return nil, 0, a.Status
	}
	var page struct {
		Total   int      `json:"total"`
		Results []Result `json:"results"`
	}
	if json.Unmarshal(a.Body, &page) != nil {
		return nil, 0, 0
	}
	return page.Results, page.Total, a.Status
}
