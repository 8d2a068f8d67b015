package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"ragwortstep/test/standin/control"
)

// usage is the token count at the end of an answer.
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
	made := rec.tokenCount()
	return &usage{
		PromptTokens: rec.PromptTokens, CompletionTokens: made, TotalTokens: rec.PromptTokens + made,
		Details: usageDetails{CachedTokens: rec.CachedTokens},
	}
}

// writePlain answers with the whole text at once. With cut true it announces
// the full length, sends half and closes the connection.
func (q *request) writePlain(w http.ResponseWriter, rec *entry, cut bool) {
	text := AnswerText(q.id, q.ResumeFrom, q.tokens)
	reason := q.finishReason()
	c := choice{Text: &text, FinishReason: &reason}
	object := "text_completion"
	if q.chat {
		c = choice{Message: &content{Role: "assistant", Content: text}, FinishReason: &reason}
		object = "chat.completion"
	}
	answer := q.completion(object, c)
	answer.Usage = q.usage(rec)
	raw, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	if cut {
		_, _ = w.Write(raw[:len(raw)/2])
		_ = http.NewResponseController(w).Flush()
		control.Abort()
	}
	_, _ = w.Write(raw)
}

// streamWriter writes an answer as server-sent events, one per token.
type streamWriter struct {
	q      *request
	w      http.ResponseWriter
	rc     *http.ResponseController
	prefix []byte // of each event, up to the token's text
	suffix []byte
	buf    []byte
	next   int // index of the next token to send
}

func (q *request) newStream(w http.ResponseWriter) *streamWriter {
	s := &streamWriter{q: q, w: w, rc: http.NewResponseController(w), next: q.ResumeFrom}
	s.prefix, s.suffix = q.eventFrame()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	return s
}

// eventFrame returns what surrounds a token's text in each event. Token texts
// need no JSON escaping, so events are assembled without encoding each.
func (q *request) eventFrame() (prefix, suffix []byte) {
	model, _ := json.Marshal(q.Model)
	object, before, after := "text_completion", `"text":"`, `"`
	if q.chat {
		object, before, after = "chat.completion.chunk", `"delta":{"content":"`, `"}`
	}
	head := `data: {"id":"cmpl-` + q.id + `","object":"` + object + `","created":` +
		strconv.FormatInt(time.Now().Unix(), 10) + `,"model":` + string(model) + `,"choices":[{"index":0,`
	return []byte(head + before), []byte(after + `,"finish_reason":null}]}` + "\n\n")
}

// sendUpTo sends the tokens before index end.
func (s *streamWriter) sendUpTo(end int) error {
	s.buf = s.buf[:0]
	for ; s.next < end; s.next++ {
		s.buf = append(s.buf, s.prefix...)
		s.buf = appendToken(s.buf, s.q.id, s.next)
		s.buf = append(s.buf, s.suffix...)
	}
	if len(s.buf) == 0 {
		return nil
	}
	if _, err := s.w.Write(s.buf); err != nil {
		return err
	}
	return s.rc.Flush()
}

// finish sends the finish reason, the usage when asked for, and the end mark.
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
	return s.rc.Flush()
}
