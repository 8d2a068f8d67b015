package lab2

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Client sends requests of clients. Each goes on a connection of its own pool.
type Client struct {
	HostName, Key string
	http          http.Client
}

// NewClient returns a client of a tenant.
func NewClient(hostName, key string) *Client {
	return &Client{HostName: hostName, Key: key, http: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200, DisableCompression: true}}}
}

// Do sends a request and returns the status and the body, status 0 without an answer.
func (c *Client) Do(front, method, path, id string, header map[string]string, body []byte, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, bytes.NewReader(body))
	if err != nil {
		panic(err) // a bug in the script
	}
	r.Host = c.HostName
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Authorization", "Token "+c.Key)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, raw
	}
	return resp.StatusCode, raw
}

// Submit submits a batch job until it is accepted. It reports whether it was.
func (c *Client) Submit(fronts []string, path, job string, items int, body []byte) bool {
	return c.SubmitTokens(fronts, path, job, items, 242, body)
}

// SubmitTokens is Submit for items with a number of output tokens.
func (c *Client) SubmitTokens(fronts []string, path, job string, items, tokens int, body []byte) bool {
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    []byte            `json:"body"`
		Tokens  int               `json:"tokens"`
	}
	list := make([]item, 0, items)
	for n := range items {
		header := map[string]string{"Model": "m", "Token-Count": fmt.Sprintf("350,%d", tokens), "Prompt-Prefix": fmt.Sprintf("5c1e07a2:100,%x:250", n+1)}
		list = append(list, item{fmt.Sprintf("%s-%03d", job[len(job)-min(len(job), 16):], n), path + "i", header, body, 350 + tokens})
	}
	raw := JSON(map[string]any{"items": list})
	for try := range 20 {
		status, _ := c.Do(fronts[try%len(fronts)], http.MethodPost, path+job[len(job)-min(len(job), 8):], job, map[string]string{"Content-Type": "application/json", "Deadline-Ms": "4000"}, raw, 5*time.Second)
		if status == http.StatusAccepted {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// Page is an answer to a read of a batch job.
type Page struct {
	Total   int `json:"total"`
	Next    int `json:"nextToken"`
	Results []struct {
		ID     string `json:"id"`
		State  string `json:"state"`
		Output string `json:"output"`
	} `json:"results"`
}

// Read reads the results of a batch job from a position on.
func (c *Client) Read(front, job string, after int) (int, Page) {
	var page Page
	status, raw := c.Do(front, http.MethodGet, fmt.Sprintf("/lots/%s?after=%d", job, after), job+"-read", map[string]string{"Wait-Ms": "1000"}, nil, 3*time.Second)
	if status == http.StatusOK && json.Unmarshal(raw, &page) != nil {
		return 0, Page{}
	}
	return status, page
}

// AwaitReady waits until all hosts say that they are ready.
func (f *Fleet) AwaitReady(limit time.Duration) bool {
	until := time.Now().Add(limit)
	for _, h := range f.Hosts {
		for !h.IsReady() {
			if time.Now().After(until) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

var probe = http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// IsReady asks the host whether it is ready, as the platform does.
func (h *Host) IsReady() bool {
	resp, err := probe.Get("http://" + h.Ready + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
