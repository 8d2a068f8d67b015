package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

const (
	// maxBodyBytes bounds a request's body, in bytes.
	maxBodyBytes = 16 << 20
	// defaultMaxTokens is the limit of a request that sets none.
	defaultMaxTokens = 64
)

var (
	tagPattern    = regexp.MustCompile(`tag:([A-Za-z0-9_-]+)`)
	lengthPattern = regexp.MustCompile(`len:([0-9]+)`)
)

// completionRequest holds the fields of an OpenAI-style request that the engine reads.
type completionRequest struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []message       `json:"messages"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	Metadata struct {
		RequestID string `json:"request_id"`
	} `json:"metadata"`
	ResumeFrom int `json:"resume_from"` // tokens of the completion that the caller already has
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// request is a parsed completion request.
type request struct {
	completionRequest
	id          string
	prompt      string
	chat        bool
	totalTokens int // length of the whole completion, including tokens before ResumeFrom
}

func parseRequest(w http.ResponseWriter, r *http.Request) (*request, error) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	q := &request{chat: strings.HasSuffix(r.URL.Path, "/chat/completions")}
	if err := json.Unmarshal(raw, &q.completionRequest); err != nil {
		return nil, errors.Wrap(err, "decode body")
	}
	q.prompt = q.promptText()
	q.id = q.requestID(r)
	q.totalTokens = q.completionLength()
	if q.ResumeFrom < 0 || q.ResumeFrom > q.totalTokens {
		return nil, errors.Newf("resume_from %d: want 0 to %d", q.ResumeFrom, q.totalTokens)
	}
	return q, nil
}

// promptText returns the prompt, or the contents of all chat messages, one per line.
func (q *request) promptText() string {
	if !q.chat {
		return contentText(q.Prompt)
	}
	var b strings.Builder
	for _, m := range q.Messages {
		b.WriteString(contentText(m.Content))
		b.WriteByte('\n')
	}
	return b.String()
}

// contentText returns the value of a JSON string, or the raw JSON of any other value.
func contentText(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
}

// requestID returns the caller's id of the request. It prefers the tag in the
// prompt, which hosts never rewrite.
func (q *request) requestID(r *http.Request) string {
	if m := tagPattern.FindStringSubmatch(q.prompt); m != nil {
		return m[1]
	}
	if q.Metadata.RequestID != "" {
		return q.Metadata.RequestID
	}
	if id := r.Header.Get("X-Request-Id"); id != "" {
		return id
	}
	return uuid.NewString()
}

// completionLength returns the number of tokens of the whole completion:
// max_tokens, or N if the prompt contains len:N and N is smaller.
func (q *request) completionLength() int {
	limit := max(q.MaxTokens, q.MaxCompletionTokens)
	if limit <= 0 {
		limit = defaultMaxTokens
	}
	if m := lengthPattern.FindStringSubmatch(q.prompt); m != nil {
		if n, err := strconv.Atoi(m[1]); err == nil && n > 0 {
			return min(n, limit)
		}
	}
	return limit
}

func (q *request) promptTokens() int {
	return max(1, len(q.prompt)/charsPerToken)
}

// finishReason returns the OpenAI finish reason: "length" if the completion
// reached max_tokens, otherwise "stop".
func (q *request) finishReason() string {
	if q.totalTokens < max(q.MaxTokens, q.MaxCompletionTokens) {
		return "stop"
	}
	return "length"
}
