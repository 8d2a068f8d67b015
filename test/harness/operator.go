package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-resty/resty/v2"

	"ragwortstep/internal/core/config"
)

const (
	operatorTimeout  = 15 * time.Second
	maxWriteAttempts = 40
	writeRetryDelay  = 100 * time.Millisecond
)

// Operator is a client of the operators' API of one host.
type Operator struct {
	URL    string
	client *resty.Client
}

// NewOperator returns a client with the operator key.
func NewOperator(url, key string) *Operator {
	c := resty.New().SetBaseURL(url + "/admin/v1").SetAuthToken(key).SetTimeout(operatorTimeout)
	return &Operator{URL: url, client: c}
}

// Key is a caller's key in the answer to its creation, the only one with the raw key.
type Key struct {
	ID  string `json:"id"`
	Raw string `json:"raw"`
}

// WriteResult is the answer to a write of the configuration.
type WriteResult struct {
	Revision int64 `json:"revision"`
	InForce  *bool `json:"in_force"` // only for a write with a wait
	Key      *Key  `json:"key"`      // only for the creation of a key
}

// StatusError reports an answer with an unexpected status.
type StatusError struct {
	Operation string
	Status    int
	Body      string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: status %d: %s", e.Operation, e.Status, e.Body)
}

// Revision returns the revision in force at the host.
func (o *Operator) Revision(ctx context.Context) (int64, error) {
	var body struct {
		Revision int64 `json:"revision"`
	}
	err := o.getJSON(ctx, "/config", &body)
	return body.Revision, err
}

// Config is the part of the configuration that tests compare.
type Config struct {
	Revision   int64                       `json:"revision"`
	Workspaces map[string]config.Workspace `json:"workspaces"`
}

// Config returns the configuration in force at the host.
func (o *Operator) Config(ctx context.Context) (Config, error) {
	var c Config
	err := o.getJSON(ctx, "/config", &c)
	return c, err
}

// HostStatus is one host in the answer of /status.
type HostStatus struct {
	Host      string `json:"host"`
	Alive     bool   `json:"alive"`
	Revision  int64  `json:"revision"`
	Epoch     uint64 `json:"epoch"`
	LeaseHeld bool   `json:"lease_held"`
}

// Status returns the host's view of all hosts.
func (o *Operator) Status(ctx context.Context) ([]HostStatus, error) {
	var body struct {
		Hosts []HostStatus `json:"hosts"`
	}
	err := o.getJSON(ctx, "/status", &body)
	return body.Hosts, err
}

// Events returns the events of the host after a sequence number, as JSON.
func (o *Operator) Events(ctx context.Context, after uint64) (json.RawMessage, error) {
	var body json.RawMessage
	err := o.getJSON(ctx, fmt.Sprintf("/events?after=%d", after), &body)
	return body, err
}

func (o *Operator) getJSON(ctx context.Context, path string, into any) error {
	resp, err := o.client.R().SetContext(ctx).Get(path)
	if err != nil {
		return errors.Wrapf(err, "operator get %s", path)
	}
	if resp.StatusCode() != http.StatusOK {
		return &StatusError{Operation: "operator get " + path, Status: resp.StatusCode(), Body: resp.String()}
	}
	return errors.Wrapf(json.Unmarshal(resp.Body(), into), "operator get %s: decode", path)
}

// WriteOnce sends one write based on the revision, without a retry. The answer
// is delayed until all hosts have the result in force, by at most wait.
func (o *Operator) WriteOnce(ctx context.Context, method, path string, body any, revision int64, wait time.Duration) (WriteResult, error) {
	req := o.client.R().SetContext(ctx).SetHeader("If-Match", fmt.Sprintf("%q", fmt.Sprint(revision)))
	if wait > 0 {
		req.SetQueryParam("wait", wait.String())
	}
	switch b := body.(type) {
	case nil:
	case string:
		req.SetBody(b).SetHeader("Content-Type", "text/csv")
	default:
		req.SetBody(b)
	}
	resp, err := req.Execute(method, path)
	step := "operator " + strings.ToLower(method) + " " + path
	if err != nil {
		return WriteResult{}, errors.Wrap(err, step)
	}
	if resp.StatusCode() >= http.StatusBadRequest {
		return WriteResult{}, &StatusError{Operation: step, Status: resp.StatusCode(), Body: resp.String()}
	}
	var result WriteResult
	err = json.Unmarshal(resp.Body(), &result)
	return result, errors.Wrapf(err, "%s: decode", step)
}

// Write sends a write based on the current revision. After a conflict or a
// temporary failure it tries again, up to maxWriteAttempts times in all.
func (o *Operator) Write(ctx context.Context, method, path string, body any, wait time.Duration) (WriteResult, error) {
	var lastErr error
	for range maxWriteAttempts {
		revision, err := o.Revision(ctx)
		if err == nil {
			var result WriteResult
			if result, err = o.WriteOnce(ctx, method, path, body, revision, wait); err == nil {
				return result, nil
			}
		}
		if lastErr = err; !isRetryable(err) || ctx.Err() != nil {
			break
		}
		time.Sleep(writeRetryDelay)
	}
	return WriteResult{}, lastErr
}

// isRetryable reports whether the error is a conflict or a temporary failure.
// All writes except the creation of keys are idempotent.
func isRetryable(err error) bool {
	var status *StatusError
	if !errors.As(err, &status) {
		return true
	}
	return status.Status == http.StatusPreconditionFailed || status.Status == http.StatusServiceUnavailable
}

// PutTable merges rows into the table of workspaces.
func (o *Operator) PutTable(ctx context.Context, rows []WorkspaceSpec, wait time.Duration) (WriteResult, error) {
	return o.Write(ctx, http.MethodPut, "/table", FormatTable(rows), wait)
}

// FormatTable returns the rows as the operators' CSV table.
func FormatTable(rows []WorkspaceSpec) string {
	var b strings.Builder
	b.WriteString("workspace,weight,rate,burst,max_queue,note\n")
	for _, w := range rows {
		fmt.Fprintf(&b, "%s,%g,%g,%g,%d,\n", w.Name, w.Weight, w.Rate, w.Burst, w.MaxQueue)
	}
	return b.String()
}

// PutRoute creates or replaces a route.
func (o *Operator) PutRoute(ctx context.Context, route config.Route) (WriteResult, error) {
	return o.Write(ctx, http.MethodPut, "/routes/"+route.Name, route, 0)
}

// PutServer creates or replaces a backend server.
func (o *Operator) PutServer(ctx context.Context, server config.Server) (WriteResult, error) {
	return o.Write(ctx, http.MethodPut, "/servers/"+server.Name, server, 0)
}

// CreateKey issues a key for the workspace.
func (o *Operator) CreateKey(ctx context.Context, workspace string, wait time.Duration) (Key, error) {
	result, err := o.Write(ctx, http.MethodPost, "/workspaces/"+workspace+"/keys", nil, wait)
	if err != nil {
		return Key{}, err
	}
	if result.Key == nil {
		return Key{}, errors.Newf("operator create key of %s: answer without key", workspace)
	}
	return *result.Key, nil
}

// RevokeKey revokes a key.
func (o *Operator) RevokeKey(ctx context.Context, id string, wait time.Duration) (WriteResult, error) {
	return o.Write(ctx, http.MethodDelete, "/keys/"+id, nil, wait)
}
