package lab3

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// HostHeader and Key are those of the callers' requests.
const (
	HostHeader = "h.example"
	Key        = "key-of-w-2b9wu3fexd9dnn2ctnfz"
)

// Configure writes a configuration with a route of each kind.
func Configure(store *Store, version int64, keys ...string) {
	route := func(name, kind, service string, attempts int, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": HostHeader, "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": 5000,
			"targetLatencyMs": 300, "gapAimMs": 300, "maxAttempts": attempts, "service": service,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	store.Set("config", "main", map[string]any{
		"version": version,
		"routes": []any{
			route("plain", "idempotent", "app", 2, nil),
			route("once", "non_idempotent", "app", 1, nil),
			route("stream", "streaming", "llm", 1, nil),
			route("batch", "batch", "llm", 3, map[string]any{"completionTargetMs": 18_000, "retentionS": 60, "targetLatencyMs": 400, "timeoutMs": 15_000}),
		},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 20_000},
		"services": []any{map[string]any{"name": "llm"}, map[string]any{"name": "app"}},
		"tenants":  []any{map[string]any{"name": "w", "apiKeys": keys}},
	})
}

var ids atomic.Int64

// NewID returns an id of 16 hexadecimal digits.
func NewID() string { return fmt.Sprintf("%08x%08x", uint32(time.Now().UnixNano()), ids.Add(1)) }

// Item is one item of a job.
type Item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// NewItems returns n items.
func NewItems(n int) []Item {
	items := make([]Item, n)
	for i := range items {
		items[i] = Item{
			ID: NewID(), Path: "/batch/3/91c4", Headers: map[string]string{"Model": "m", "Token-Count": "350,400", "Prompt-Prefix": "9c2e41:100,5d07b8:250"},
			Body: base64.StdEncoding.EncodeToString([]byte("prompt")), Tokens: 750,
		}
	}
	return items
}

// Call makes one request on a new connection and returns its status and body.
func Call(host, method, path, id string, header map[string]string, body []byte, limit time.Duration) (int, []byte, error) {
	req, err := http.NewRequest(method, "http://"+host+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Host = HostHeader
	req.Header.Set("Authorization", "Token "+Key)
	if id != "" {
		req.Header.Set("Attempt-Id", id)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	client := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

// Submit submits a job.
func Submit(host, id string, items []Item) (int, error) {
	raw, err := json.Marshal(map[string]any{"items": items})
	if err != nil {
		return 0, err
	}
	status, _, err := Call(host, http.MethodPost, "/batch/7c41e0", id, map[string]string{"Content-Type": "application/json", "Deadline-Ms": "4000"}, raw, 5*time.Second)
	return status, err
}

// Page is a page of results.
type Page struct {
	Total   int `json:"total"`
	Next    int `json:"nextToken"`
	Results []struct {
		ID     string `json:"id"`
		State  string `json:"state"`
		Output string `json:"output"`
	} `json:"results"`
}

// Results reads a page.
func Results(host, id string, after int) (int, Page, error) {
	var page Page
	status, raw, err := Call(host, http.MethodGet, fmt.Sprintf("/lots/%s?after=%d", id, after), "", map[string]string{"Wait-Ms": "1000"}, nil, 5*time.Second)
	if err == nil && status == http.StatusOK {
		err = json.Unmarshal(raw, &page)
	}
	return status, page, err
}
