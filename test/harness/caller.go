package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"ragwortstep/test/standin/engine"
	"ragwortstep/test/standin/service"
)

const (
	executedHeader = "Ragwortstep-Executed"
	// maxIdleCallerConns bounds a caller's idle connections to one host.
	maxIdleCallerConns = 4096
)

// Verdict classifies an answer from the caller's point of view.
type Verdict string

// Verdicts. Crossed and Short violate invariant I8.
const (
	Complete Verdict = "complete" // the whole answer to this request
	Refused  Verdict = "refused"  // an error status
	Broken   Verdict = "broken"   // no answer, or one that ended early with an error
	Crossed  Verdict = "crossed"  // content of another request, or altered content
	Short    Verdict = "short"    // content is missing although the answer ended normally
)

// Answer is the outcome of a call.
type Answer struct {
	Tag        string
	Verdict    Verdict
	Status     int    // 0 without an answer
	Code       string // error code of a refusal
	Executed   string // value of Ragwortstep-Executed
	RetryAfter time.Duration
	Tokens     int
	FirstToken time.Duration // from the start of the call, 0 without any
	Latency    time.Duration
	Detail     string // error or difference, for messages
}

// KeyCarrier is the part of a request that holds the caller's key.
type KeyCarrier int

// Values of KeyCarrier.
const (
	BearerKey     KeyCarrier = iota // Authorization: Bearer
	HeaderKey                       // x-api-key
	CookieKey                       // cookie api_key
	QueryKey                        // query api_key
	ShortQueryKey                   // query key
	keyCarrierCount
)

// Caller sends tagged calls to one base URL and checks the answers.
type Caller struct {
	BaseURL string
	Key     string
	Carrier KeyCarrier
	Model   string
	Client  *http.Client
}

// NewCaller returns a caller with its own connection pool.
func NewCaller(baseURL, key, model string) *Caller {
	return &Caller{BaseURL: baseURL, Key: key, Model: model, Client: NewHTTPClient()}
}

// NewHTTPClient returns a client that keeps many connections, without a timeout.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 5 * time.Second}).DialContext,
		MaxIdleConns:        maxIdleCallerConns,
		MaxIdleConnsPerHost: maxIdleCallerConns,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}
}

// Caller returns a caller that uses the workspace's key at host i.
func (d *Deployment) Caller(i int, workspace string) *Caller {
	return NewCaller(d.Hosts[i].CallersURL(), d.Keys[workspace].Raw, d.Layout.Model)
}

// Completion describes a request to a model.
type Completion struct {
	Tag           string // generated when empty
	Prompt        string // text before the tag
	Tokens        int    // max_tokens
	Chat          bool
	Stream        bool
	NaturalTokens int // tokens after which the engine stops by itself, 0 for no such end
}

// NewTag returns a tag that no other request has.
func NewTag() string { return strings.ReplaceAll(uuid.NewString(), "-", "") }

func (c *Completion) prompt() string {
	text := c.Prompt + " tag:" + c.Tag
	if c.NaturalTokens > 0 {
		text += " len:" + strconv.Itoa(c.NaturalTokens)
	}
	return text
}

// expectedText returns the text of the correct answer.
func (c *Completion) expectedText() string {
	n := c.Tokens
	if c.NaturalTokens > 0 {
		n = min(n, c.NaturalTokens)
	}
	return engine.CompletionText(c.Tag, 0, n)
}

// Body returns the request's JSON body for the model.
func (c *Completion) Body(model string) []byte {
	fields := map[string]any{"model": model, "max_tokens": c.Tokens}
	if c.Stream {
		fields["stream"] = true
	}
	if c.Chat {
		fields["messages"] = []map[string]string{{"role": "user", "content": c.prompt()}}
	} else {
		fields["prompt"] = c.prompt()
	}
	raw, err := json.Marshal(fields)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return raw
}

// Path returns the request's path.
func (c *Completion) Path() string {
	if c.Chat {
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}

// Complete sends a request to the model and checks its answer.
func (c *Caller) Complete(ctx context.Context, q Completion) Answer {
	if q.Tag == "" {
		q.Tag = NewTag()
	}
	begin := time.Now()
	a := Answer{Tag: q.Tag}
	resp, err := c.send(ctx, http.MethodPost, q.Path(), q.Body(c.Model), nil)
	if err != nil {
		return a.broken(begin, err)
	}
	defer resp.Body.Close()
	if !a.readStatus(resp, begin) {
		return a
	}
	var got string
	if q.Stream {
		got, err = a.readStream(resp.Body, begin)
	} else {
		got, err = readText(resp.Body)
	}
	if err != nil {
		return a.broken(begin, err)
	}
	a.classify(got, q.expectedText())
	a.Tokens = strings.Count(got, " ")
	a.Latency = time.Since(begin)
	return a
}

// Call sends a call to the plain service and checks its echo. The tag is the
// call's field request_id; idempotencyKey may be empty.
func (c *Caller) Call(ctx context.Context, method, path, tag, idempotencyKey string) Answer {
	begin := time.Now()
	a := Answer{Tag: tag}
	body := fmt.Appendf(nil, `{"request_id":%q}`, tag)
	header := http.Header{}
	if idempotencyKey != "" {
		header.Set("Idempotency-Key", idempotencyKey)
	}
	resp, err := c.send(ctx, method, path, body, header)
	if err != nil {
		return a.broken(begin, err)
	}
	defer resp.Body.Close()
	if !a.readStatus(resp, begin) {
		return a
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return a.broken(begin, err)
	}
	var echo service.Echo
	if err := json.Unmarshal(raw, &echo); err != nil {
		a.Verdict, a.Detail = Short, "echo: "+err.Error()
	} else {
		a.classify(echo.Body, string(body))
	}
	a.Latency = time.Since(begin)
	return a
}

func (c *Caller) send(ctx context.Context, method, path string, body []byte, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrapf(err, "%s %s", method, path)
	}
	if header != nil {
		req.Header = header
	}
	req.Header.Set("Content-Type", "application/json")
	c.addKey(req)
	return c.Client.Do(req)
}

// addKey adds the key in the place that Carrier selects.
func (c *Caller) addKey(req *http.Request) {
	if c.Key == "" {
		return
	}
	switch c.Carrier {
	case HeaderKey:
		req.Header.Set("x-api-key", c.Key)
	case CookieKey:
		req.AddCookie(&http.Cookie{Name: "api_key", Value: c.Key})
	case QueryKey:
		addQuery(req, "api_key", c.Key)
	case ShortQueryKey:
		addQuery(req, "key", c.Key)
	default:
		req.Header.Set("Authorization", "Bearer "+c.Key)
	}
}

func addQuery(req *http.Request, name, value string) {
	q := req.URL.Query()
	q.Set(name, value)
	req.URL.RawQuery = q.Encode()
}

// RandomCarrier returns a random KeyCarrier.
func RandomCarrier(rng *rand.Rand) KeyCarrier { return KeyCarrier(rng.IntN(int(keyCarrierCount))) }

// readStatus reads the status. For an error status it also reads the error
// body and returns false.
func (a *Answer) readStatus(resp *http.Response, begin time.Time) bool {
	a.Status = resp.StatusCode
	a.Executed = resp.Header.Get(executedHeader)
	if resp.StatusCode < http.StatusBadRequest {
		return true
	}
	a.Verdict = Refused
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	var body errorBody
	raw, _ := io.ReadAll(resp.Body)
	if json.Unmarshal(raw, &body) == nil {
		a.Code, a.Detail = body.Error.Code, body.Error.Message
	}
	a.Latency = time.Since(begin)
	return false
}

type errorBody struct {
	Error struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Code    string `json:"code"`
	} `json:"error"`
}

func (a Answer) broken(begin time.Time, err error) Answer {
	a.Verdict, a.Detail, a.Latency = Broken, err.Error(), time.Since(begin)
	return a
}

// classify sets the verdict of an answer that ended normally, by its content.
func (a *Answer) classify(got, want string) {
	switch {
	case got == want:
		a.Verdict = Complete
	case strings.HasPrefix(want, got):
		a.Verdict, a.Detail = Short, fmt.Sprintf("%d of %d bytes", len(got), len(want))
	default:
		a.Verdict, a.Detail = Crossed, fmt.Sprintf("got %.80q, want %.80q", got, want)
	}
}

// completionBody is the part of an answer or stream event that is checked.
type completionBody struct {
	Choices []struct {
		Text    string   `json:"text"`
		Message *content `json:"message"`
		Delta   *content `json:"delta"`
	} `json:"choices"`
	Error json.RawMessage `json:"error"`
}

type content struct {
	Content string `json:"content"`
}

func (b *completionBody) text() string {
	var out strings.Builder
	for _, c := range b.Choices {
		out.WriteString(c.Text)
		for _, m := range []*content{c.Message, c.Delta} {
			if m != nil {
				out.WriteString(m.Content)
			}
		}
	}
	return out.String()
}

// readText reads an answer that is not streamed. A body that ends normally
// but does not decode counts as empty text, so that its verdict is Short.
func readText(r io.Reader) (string, error) {
	raw, err := io.ReadAll(r)
	if err != nil {
		return "", errors.Wrap(err, "read answer")
	}
	var body completionBody
	if json.Unmarshal(raw, &body) != nil {
		return "", nil
	}
	return body.text(), nil
}
