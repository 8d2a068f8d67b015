package online

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Refusal is this host's own answer to a request. Status codes 408, 421, 429
// and 503 promise that the request has not run and will not; they are used
// only where that is certain.
type Refusal struct {
	Status int
	Code   string // stable, for callers and logs
	Detail string
	After  time.Duration // when to come back, 0 for no advice
}

// Error implements error.
func (r *Refusal) Error() string { return r.Code + ": " + r.Detail }

// Codes of refusals.
const (
	codeNoConfig    = "no_configuration"
	codeStale       = "configuration_not_confirmed"
	codeNoRoute     = "no_route"
	codeBadKey      = "unknown_key"
	codeQuota       = "quota_exceeded"
	codeNoPlace     = "no_place_in_time"
	codeRejected    = "servers_rejected"
	codeUnreachable = "servers_unreachable"
	codeTimeout     = "timeout"
	codeFailed      = "server_failed"
	codeSuspect     = "crashes_servers"
	codeTooLarge    = "body_too_large"
)

func notRun(code, detail string, after time.Duration) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Code: code, Detail: detail, After: after}
}

// errorBody is the body of a refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Write sends the refusal.
func (r *Refusal) Write(w http.ResponseWriter) {
	raw, _ := json.Marshal(errorBody{errorDetail{r.Code, r.Detail}}) // strings always encode
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(raw)))
	if r.After > 0 {
		h.Set("Retry-After", strconv.FormatFloat(math.Ceil(r.After.Seconds()*100)/100, 'f', 2, 64)) // never rounded to 0
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(raw) // the caller may have gone
}
