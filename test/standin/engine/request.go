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
	// maxBody bounds a request's body, in bytes.
	maxBody = 16 << 20
	// defaultMaxTokens is used when a request names no limit.
	defaultMaxTokens = 64
)

var (
	tagPattern    = regexp.MustCompile(`tag:([A-Za-z0-9_-]+)`)
	lengthPattern = regexp.MustCompile(`len:([0-9]+)`)
)

// body is the part of an OpenAI-style request that the engine reads.
type body struct {
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
	ResumeFrom int `json:"resume_from"` // tokens of the answer that the caller already has
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// request is a parsed call.
type request struct {
	body
	id     string
	prompt string
	chat   bool
	tokens int // length of the whole answer, including tokens before ResumeFrom
}

func parse(w http.ResponseWriter, r *http.Request) (*request, error) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	q := &request{chat: strings.HasSuffix(r.URL.Path, "/chat/completions")}
	if err := json.Unmarshal(raw, &q.body); err != nil {
		return nil, errors.Wrap(err, "decode body")
	}
	q.prompt = q.text()
	q.id = q.requestID(r)
	q.tokens = q.answerLength()
	if q.ResumeFrom < 0 || q.ResumeFrom > q.tokens {
		return nil, errors.Newf("resume_from %d: want 0 to %d", q.ResumeFrom, q.tokens)
	}
	return q, nil
}

// text joins the prompt, or the contents of all messages.
func (q *request) text() string {
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

// contentText reads a JSON string; any other JSON value stands for itself.
func contentText(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
}

// requestID prefers the tag in the prompt, which no host rewrites.
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

// answerLength is the number of tokens of the answer: max_tokens, or less
// when the prompt states a natural length as len:N.
func (q *request) answerLength() int {
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

// finishReason follows the OpenAI API: length when max_tokens ended the answer.
func (q *request) finishReason() string {
	if q.tokens < max(q.MaxTokens, q.MaxCompletionTokens) {
		return "stop"
	}
	return "length"
}
