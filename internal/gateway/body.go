package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// bytesPerToken converts the prompt's size to an estimated number of tokens.
	bytesPerToken = 4
	// defaultMaxTokens is the estimated output of a request that sets no maximum.
	defaultMaxTokens = 256
	// maxTokensLimit caps the output estimate, since a request may set any maximum.
	maxTokensLimit = 1 << 20
	// prefixBytes is how much of the prompt is hashed for affinity to a server's
	// prefix cache.
	prefixBytes = 1024
)

// modelRequest holds the fields of a completion request that routing needs.
// The body is forwarded unchanged.
type modelRequest struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
}

// readBody reads a body of at most limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *apiError) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, refusal(http.StatusRequestEntityTooLarge, "body_too_large", fmt.Sprintf("the body is larger than %d bytes", limit), 0)
	default:
		return nil, refusal(http.StatusBadRequest, "body_not_read", "the body ended early: "+err.Error(), 0)
	}
}

// parseModelRequest decodes and checks a completion request.
func parseModelRequest(body []byte) (*modelRequest, *apiError) {
	var req modelRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, jsonError(body, err)
	}
	if req.Model == "" {
		e := refusal(http.StatusBadRequest, "missing_field", "the field model is required", 0)
		e.Param = "model"
		return nil, e
	}
	if n := req.maxTokens(); n < 1 {
		e := refusal(http.StatusBadRequest, "invalid_field", fmt.Sprintf("max_tokens is %d; it must be at least 1", n), 0)
		e.Param = "max_tokens"
		return nil, e
	}
	if len(req.Prompt) == 0 && len(req.Messages) == 0 {
		e := refusal(http.StatusBadRequest, "missing_field", "the field messages (or prompt) is required", 0)
		e.Param = "messages"
		return nil, e
	}
	return &req, nil
}

// jsonError returns the error for malformed JSON, with its line and column.
func jsonError(body []byte, err error) *apiError {
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxErr):
		line, column := position(body, syntaxErr.Offset)
		return refusal(http.StatusBadRequest, "malformed_json", fmt.Sprintf("line %d, column %d: %s", line, column, syntaxErr.Error()), 0)
	case errors.As(err, &typeErr):
		line, column := position(body, typeErr.Offset)
		e := refusal(http.StatusBadRequest, "invalid_field", fmt.Sprintf("line %d, column %d: field %s cannot be a JSON %s", line, column, typeErr.Field, typeErr.Value), 0)
		e.Param = typeErr.Field
		return e
	default:
		return refusal(http.StatusBadRequest, "malformed_json", err.Error(), 0)
	}
}

// position returns the 1-based line and column of a byte offset.
func position(body []byte, offset int64) (line, column int) {
	offset = max(0, min(offset, int64(len(body))))
	before := body[:offset]
	line = 1 + bytes.Count(before, []byte{'\n'})
	column = int(offset) - (bytes.LastIndexByte(before, '\n') + 1)
	return line, max(column, 1)
}

func (m *modelRequest) maxTokens() int64 {
	switch {
	case m.MaxCompletionTokens != nil:
		return *m.MaxCompletionTokens
	case m.MaxTokens != nil:
		return *m.MaxTokens
	default:
		return defaultMaxTokens
	}
}

// cost estimates the prompt and output tokens of the request.
func (m *modelRequest) cost() float64 {
	prompt := (len(m.Prompt) + len(m.Messages)) / bytesPerToken
	return float64(prompt) + float64(min(m.maxTokens(), maxTokensLimit))
}

// prefixHash hashes the start of the prompt for cache affinity. It is never 0.
func (m *modelRequest) prefixHash() uint64 {
	text := m.Prompt
	if len(m.Messages) > 0 {
		text = m.Messages
	}
	if len(text) > prefixBytes {
		text = text[:prefixBytes]
	}
	return max(xxhash.Sum64(text), 1)
}
