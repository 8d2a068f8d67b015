package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"ragwortstep/test/standin/control"
)

// usage holds the token counts of a completion.
type usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	Details          usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *content `json:"message,omitempty"`
	Delta        *content `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (q *request) completion(object string, c choice) completion {
	return completion{
		ID: "cmpl-" + q.id, Object: object, Created: time.Now().Unix(), Model: q.Model, Choices: []choice{c},
	}
}

func (q *request) usage(rec *entry) *usage {
	completionTokens := rec.tokenCount()
	return &usage{
		PromptTokens: rec.PromptTokens, CompletionTokens: completionTokens, TotalTokens: rec.PromptTokens + completionTokens,
		Details: usageDetails{CachedTokens: rec.CachedTokens},
	}
}

// writeNonStreaming sends the whole completion as one JSON body. With truncate
// it declares the full Content-Length, sends half and closes the connection.
func (q *request) writeNonStreaming(w http.ResponseWriter, rec *entry, truncate bool) {
	text := CompletionText(q.id, q.ResumeFrom, q.totalTokens)
	reason := q.finishReason()
	c := choice{Text: &text, FinishReason: &reason}
	object := "text_completion"
	if q.chat {
		c = choice{Message: &content{Role: "assistant", Content: text}, FinishReason: &reason}
		object = "chat.completion"
	}
	response := q.completion(object, c)
	response.Usage = q.usage(rec)
	raw, err := json.Marshal(response)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	if truncate {
		_, _ = w.Write(raw[:len(raw)/2])
		_ = http.NewResponseController(w).Flush()
		control.Abort()
	}
	_, _ = w.Write(raw)
}

// streamWriter writes a completion as server-sent events, one per token.
type streamWriter struct {
	q          *request
	w          http.ResponseWriter
	controller *http.ResponseController
	prefix     []byte // of each event, up to the token's text
	suffix     []byte
	buf        []byte
	nextToken  int // index of the next token to send
}

func (q *request) newStreamWriter(w http.ResponseWriter) *streamWriter {
	s := &streamWriter{q: q, w: w, controller: http.NewResponseController(w), nextToken: q.ResumeFrom}
	s.prefix, s.suffix = q.eventAffixes()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	return s
}

// eventAffixes returns the parts of an event before and after the token's text.
// Token texts need no JSON escaping, so events are built without a JSON encoder.
func (q *request) eventAffixes() (prefix, suffix []byte) {
	model, _ := json.Marshal(q.Model)
	object, before, after := "text_completion", `"text":"`, `"`
	if q.chat {
		object, before, after = "chat.completion.chunk", `"delta":{"content":"`, `"}`
	}
	head := `data: {"id":"cmpl-` + q.id + `","object":"` + object + `","created":` +
		strconv.FormatInt(time.Now().Unix(), 10) + `,"model":` + string(model) + `,"choices":[{"index":0,`
	return []byte(head + before), []byte(after + `,"finish_reason":null}]}` + "\n\n")
}

// sendBefore sends the unsent tokens with an index below end.
func (s *streamWriter) sendBefore(end int) error {
	s.buf = s.buf[:0]
	for ; s.nextToken < end; s.nextToken++ {
		s.buf = append(s.buf, s.prefix...)
		s.buf = appendToken(s.buf, s.q.id, s.nextToken)
		s.buf = append(s.buf, s.suffix...)
	}
	if len(s.buf) == 0 {
		return nil
	}
	if _, err := s.w.Write(s.buf); err != nil {
		return err
	}
	return s.controller.Flush()
}

// finish sends the finish reason, the usage if requested, and the [DONE] event.
func (s *streamWriter) finish(rec *entry) error {
	reason := s.q.finishReason()
	empty := ""
	c := choice{Text: &empty, FinishReason: &reason}
	object := "text_completion"
	if s.q.chat {
		c = choice{Delta: &content{}, FinishReason: &reason}
		object = "chat.completion.chunk"
	}
	last := s.q.completion(object, c)
	events := []completion{last}
	if s.q.StreamOptions.IncludeUsage {
		counts := s.q.completion(object, choice{})
		counts.Choices = []choice{}
		counts.Usage = s.q.usage(rec)
		events = append(events, counts)
	}
	for _, e := range events {
		raw, err := json.Marshal(e)
		if err != nil {
			return err
		}
		s.buf = append(append(append(s.buf[:0], "data: "...), raw...), "\n\n"...)
		if _, err := s.w.Write(s.buf); err != nil {
			return err
		}
	}
	if _, err := s.w.Write([]byte("data: [DONE]\n\n")); err != nil {
		return err
	}
	return s.controller.Flush()
}
