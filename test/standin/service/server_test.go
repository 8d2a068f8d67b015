package service

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func start(t *testing.T) (*Server, string) {
	t.Helper()
	s := New(Options{Name: "alert-1", Slots: 2, Speed: 1, MaxLedgerCalls: 100})
	srv := httptest.NewServer(s)
	t.Cleanup(srv.CloseClientConnections)
	return s, srv.URL
}

// Guards against an echo that does not identify its call, and against taking the
// id from a header that a host may rewrite.
func TestEchoAndLedger(t *testing.T) {
	is := is.New(t)
	s, url := start(t)
	req, err := http.NewRequest(http.MethodPatch, url+"/alerts/7?x=1", strings.NewReader(`{"request_id":"r1"}`))
	is.NoErr(err)
	req.Header.Set("X-Request-Id", "rewritten")
	req.Header.Set("Idempotency-Key", "k1")
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	var echo Echo
	is.NoErr(json.NewDecoder(resp.Body).Decode(&echo))
	is.Equal(echo, Echo{Service: "alert-1", Tag: "r1", Method: "PATCH", Path: "/alerts/7", Query: "x=1", Body: `{"request_id":"r1"}`})
	calls := s.ledger.find(0, "r1")
	is.Equal(len(calls), 1)
	is.Equal(calls[0].IdempotencyKey, "k1")
	is.Equal(calls[0].Answer, responseSent)
}

// Guards against a call that ran without a response but is not counted as run, and
// against a repeated call that is not reported.
func TestCallWithoutResponseCountsAsRun(t *testing.T) {
	is := is.New(t)
	s, url := start(t)
	s.faults.Set(Faults{NoResponseRate: 1})
	for range 2 {
		_, err := http.Post(url+"/a", "application/json", strings.NewReader(`{"request_id":"r2"}`))
		is.True(err != nil)
	}
	s.faults.Set(Faults{RejectRate: 1, FailStatus: 503})
	resp, err := http.Post(url+"/a", "application/json", strings.NewReader(`{"request_id":"r2"}`))
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.StatusCode, 503)
	is.Equal(s.ledger.summary().Repeated, map[string]int{"r2": 2})
	is.Equal(s.ledger.summary().Answers[responseCut], 2)
}
