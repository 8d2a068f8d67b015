package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func testOptions() Options {
	return Options{
		Name: "engine-1", Models: []string{"m"}, Slots: 4, Knee: 2, Growth: 1.3, Speed: 1,
		StepTime: 2 * time.Millisecond, PrefillPerToken: time.Microsecond, PrefillChunk: 512,
		KVTokens: 10000, CacheTokens: 1024, LoadInterval: 10 * time.Millisecond, MaxLedgerRecords: 1000,
		LedgerHeaders: true, Fencing: true,
	}
}

func start(t *testing.T, opts Options) (*Server, string) {
	t.Helper()
	s := New(opts, func(time.Duration) {})
	ctx, cancel := context.WithCancel(context.Background())
	go s.Run(ctx)
	srv := httptest.NewServer(s)
	t.Cleanup(func() {
		cancel()
		srv.CloseClientConnections()
	})
	return s, srv.URL
}

func post(t *testing.T, url, body string) (int, string) {
	t.Helper()
	resp, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(raw)
}

// Guards against completions with the id of another request or the wrong length.
func TestNonStreamingResponse(t *testing.T) {
	is := is.New(t)
	s, url := start(t, testOptions())
	status, raw := post(t, url+"/v1/completions", `{"model":"m","prompt":"hello tag:abc1","max_tokens":5}`)
	is.Equal(status, http.StatusOK)
	var got completion
	is.NoErr(json.Unmarshal([]byte(raw), &got))
	is.Equal(*got.Choices[0].Text, CompletionText("abc1", 0, 5))
	is.Equal(got.Usage.CompletionTokens, 5)
	recs := s.ledger.afterSeq(0)
	is.Equal(recs[0].Outcome, outcomeFinished)
	is.Equal(recs[0].Header.Get("Content-Type"), "application/json")
}

// Guards against a resumed stream that repeats or skips tokens.
func TestResumedStreamContinuesAtToken(t *testing.T) {
	is := is.New(t)
	_, url := start(t, testOptions())
	_, raw := post(t, url+"/v1/chat/completions",
		`{"model":"m","messages":[{"role":"user","content":"tag:q7"}],"max_tokens":6,"stream":true,"resume_from":4}`)
	is.Equal(streamText(raw), CompletionText("q7", 4, 6))
	is.True(strings.HasSuffix(raw, "data: [DONE]\n\n"))
}

func streamText(raw string) string {
	var b strings.Builder
	lines := bufio.NewScanner(strings.NewReader(raw))
	for lines.Scan() {
		var chunk completion
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if ok && json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 && chunk.Choices[0].Delta != nil {
			b.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return b.String()
}

// Guards against a request that keeps running after its caller disconnected, and
// against a stuck request that generates tokens.
func TestDisconnectCancelsRequest(t *testing.T) {
	is := is.New(t)
	s, url := start(t, testOptions())
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions",
		strings.NewReader(`{"model":"m","prompt":"tag:s1 never-ends","max_tokens":2}`))
	is.NoErr(err)
	_, err = http.DefaultClient.Do(req)
	is.True(err != nil)
	for range 100 {
		if s.ledger.afterSeq(0)[0].Outcome == outcomeCancelled {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(s.ledger.afterSeq(0)[0].Outcome, outcomeCancelled)
	is.Equal(s.ledger.afterSeq(0)[0].Tokens, 0)
}

// Guards against a step time that grows below Knee sequences or does not grow
// beyond them.
func TestStepTimeGrowsBeyondKnee(t *testing.T) {
	is := is.New(t)
	b := newBatcher(testOptions(), newPrefixCache(1024, 0, 0, nil), newLedger(10, false), nil)
	b.running = make([]*sequence, 1)
	b.running[0] = &sequence{}
	one := b.stepTime()
	b.running = []*sequence{{}, {}}
	is.Equal(b.stepTime(), one)
	b.running = []*sequence{{}, {}, {}, {}}
	is.True(b.stepTime() > 2*one)
}

// Guards against a cache that exceeds its capacity or does not report cached prefixes.
func TestPrefixCache(t *testing.T) {
	is := is.New(t)
	c := newPrefixCache(4*blockTokens, 0, 0, nil)
	now := time.Now()
	prompt := strings.Repeat("x", 3*blockTokens*charsPerToken)
	is.Equal(c.lookupAndStore(prompt, now), 0)
	is.Equal(c.lookupAndStore(prompt+"tail", now), 3*blockTokens)
	c.lookupAndStore(strings.Repeat("y", 4*blockTokens*charsPerToken), now)
	is.Equal(c.lookupAndStore(prompt, now), 0)
	is.True(len(c.afterSeq(0, now)) > 7)
}

// Guards against applying an order with an old fencing number.
func TestOrderWithOldFencingNumberIsRefused(t *testing.T) {
	is := is.New(t)
	_, url := start(t, testOptions())
	status, _ := post(t, url+"/orders", `{"kind":"load_model","model":"m2","fencing":5}`)
	is.Equal(status, http.StatusOK)
	status, _ = post(t, url+"/orders", `{"kind":"load_model","model":"m3","fencing":4}`)
	is.Equal(status, http.StatusConflict)
	_, raw := post(t, url+"/v1/completions", `{"model":"m3","prompt":"x"}`)
	is.True(strings.Contains(raw, "not loaded"))
}
