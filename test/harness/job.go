package harness

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"mime/multipart"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-resty/resty/v2"
)

const (
	jobRequestTimeout  = 30 * time.Second
	jobPollInterval    = 100 * time.Millisecond
	maxResultLineBytes = 4 << 20
)

// JobClient is a client of the callers' file and batch API.
type JobClient struct{ client *resty.Client }

// NewJobClient returns a client that uses a workspace's key.
func NewJobClient(baseURL, key string) *JobClient {
	return &JobClient{client: resty.New().SetBaseURL(baseURL).SetAuthToken(key).SetTimeout(jobRequestTimeout)}
}

// JobClient returns a client that uses the workspace's key at host i.
func (d *Deployment) JobClient(i int, workspace string) *JobClient {
	return NewJobClient(d.Hosts[i].CallersURL(), d.Keys[workspace].Raw)
}

// Batch is a batch job as the API reports it.
type Batch struct {
	ID           string `json:"id"`
	Status       string `json:"status"`
	InputFileID  string `json:"input_file_id"`
	OutputFileID string `json:"output_file_id"`
	ErrorFileID  string `json:"error_file_id"`
	Counts       struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

// Ended reports whether the job's counts are final.
func (b *Batch) Ended() bool {
	switch b.Status {
	case "completed", "failed", "expired", "cancelled":
		return true
	}
	return false
}

// Items returns a file of n items for the model; item i has the custom id
// prefix-i and answers with the given number of tokens.
func Items(model, prefix string, n, tokens int) []byte {
	var out bytes.Buffer
	for i := range n {
		id := fmt.Sprintf("%s-%d", prefix, i)
		q := Completion{Tag: id, Prompt: "item", Tokens: tokens}
		fmt.Fprintf(&out, `{"custom_id":%q,"method":"POST","url":%q,"body":%s}`+"\n", id, q.Path(), q.Body(model))
	}
	return out.Bytes()
}

// Upload stores a file and returns its id.
func (j *JobClient) Upload(ctx context.Context, name string, lines []byte) (string, error) {
	var body bytes.Buffer
	form := multipart.NewWriter(&body)
	if err := form.WriteField("purpose", "batch"); err != nil {
		return "", errors.Wrap(err, "upload form")
	}
	part, err := form.CreateFormFile("file", name)
	if err != nil {
		return "", errors.Wrap(err, "upload form")
	}
	if _, err := part.Write(lines); err != nil {
		return "", errors.Wrap(err, "upload form")
	}
	if err := form.Close(); err != nil {
		return "", errors.Wrap(err, "upload form")
	}
	var file struct {
		ID string `json:"id"`
	}
	req := j.client.R().SetContext(ctx).SetHeader("Content-Type", form.FormDataContentType()).SetBody(body.Bytes())
	err = j.do(req, http.MethodPost, "/v1/files", &file)
	return file.ID, err
}

// Create starts a batch over a file. Creating again with the same
// idempotency key returns the same job.
func (j *JobClient) Create(ctx context.Context, fileID, endpoint, idempotencyKey string) (Batch, error) {
	req := j.client.R().SetContext(ctx).SetBody(map[string]string{
		"input_file_id": fileID, "endpoint": endpoint, "completion_window": "24h",
	})
	if idempotencyKey != "" {
		req.SetHeader("Idempotency-Key", idempotencyKey)
	}
	var b Batch
	err := j.do(req, http.MethodPost, "/v1/batches", &b)
	return b, err
}

// Get returns the job's state.
func (j *JobClient) Get(ctx context.Context, id string) (Batch, error) {
	var b Batch
	err := j.do(j.client.R().SetContext(ctx), http.MethodGet, "/v1/batches/"+id, &b)
	return b, err
}

// Cancel asks for the job to be cancelled.
func (j *JobClient) Cancel(ctx context.Context, id string) (Batch, error) {
	var b Batch
	err := j.do(j.client.R().SetContext(ctx), http.MethodPost, "/v1/batches/"+id+"/cancel", &b)
	return b, err
}

// Await polls the job until it has ended. It retries failed polls until ctx ends.
func (j *JobClient) Await(ctx context.Context, id string) (Batch, error) {
	for {
		b, err := j.Get(ctx, id)
		if err == nil && b.Ended() {
			return b, nil
		}
		select {
		case <-ctx.Done():
			return b, errors.Wrapf(ctx.Err(), "job %s: status %q, %d of %d items done, last error %v",
				id, b.Status, b.Counts.Completed+b.Counts.Failed, b.Counts.Total, err)
		case <-time.After(jobPollInterval):
		}
	}
}

// Result is one line of an output or error file.
type Result struct {
	CustomID string `json:"custom_id"`
	Response *struct {
		Status int             `json:"status_code"`
		Body   json.RawMessage `json:"body"`
	} `json:"response"`
	Error *struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// Text returns the text of a completion's answer.
func (r *Result) Text() string {
	var body completionBody
	if r.Response == nil || json.Unmarshal(r.Response.Body, &body) != nil {
		return ""
	}
	return body.text()
}

// Results reads an output or error file. An empty id is an empty file.
func (j *JobClient) Results(ctx context.Context, fileID string) ([]Result, error) {
	if fileID == "" {
		return nil, nil
	}
	resp, err := j.client.R().SetContext(ctx).Get("/v1/files/" + fileID + "/content")
	if err != nil {
		return nil, errors.Wrapf(err, "read file %s", fileID)
	}
	if resp.StatusCode() != http.StatusOK {
		return nil, &StatusError{Operation: "read file " + fileID, Status: resp.StatusCode(), Body: resp.String()}
	}
	var out []Result
	lines := bufio.NewScanner(bytes.NewReader(resp.Body()))
	lines.Buffer(nil, maxResultLineBytes)
	for lines.Scan() {
		var r Result
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			return nil, errors.Wrapf(err, "read file %s: line %d", fileID, len(out)+1)
		}
		out = append(out, r)
	}
	return out, errors.Wrapf(lines.Err(), "read file %s", fileID)
}

// CheckResults verifies that a finished job has exactly one result per item,
// and that each completed item has its own answer. It returns the number of
// items that failed.
func (j *JobClient) CheckResults(ctx context.Context, b Batch, prefix string, items, tokens int) (int, error) {
	completed, err := j.Results(ctx, b.OutputFileID)
	if err != nil {
		return 0, err
	}
	failed, err := j.Results(ctx, b.ErrorFileID)
	if err != nil {
		return 0, err
	}
	seen := map[string]int{}
	for _, r := range append(completed, failed...) {
		seen[r.CustomID]++
	}
	for i := range items {
		id := fmt.Sprintf("%s-%d", prefix, i)
		if seen[id] != 1 {
			return 0, errors.Newf("job %s: item %s has %d results", b.ID, id, seen[id])
		}
	}
	if len(seen) != items {
		return 0, errors.Newf("job %s: %d results for %d items", b.ID, len(seen), items)
	}
	for _, r := range completed {
		want := Completion{Tag: r.CustomID, Tokens: tokens}
		if got := r.Text(); got != want.expectedText() {
			return 0, errors.Newf("job %s: item %s has the answer %.80q", b.ID, r.CustomID, got)
		}
	}
	return len(failed), nil
}

func (j *JobClient) do(req *resty.Request, method, path string, into any) error {
	resp, err := req.Execute(method, path)
	step := "jobs " + method + " " + path
	if err != nil {
		return errors.Wrap(err, step)
	}
	if resp.StatusCode() >= http.StatusBadRequest {
		return &StatusError{Operation: step, Status: resp.StatusCode(), Body: resp.String()}
	}
	return errors.Wrapf(json.Unmarshal(resp.Body(), into), "%s: decode", step)
}
