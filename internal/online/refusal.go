package online

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Refusal is an error response of this host, as opposed to one relayed from a
// server. Status codes 408, 421, 429 and 503 promise that the request was not
// and will not be executed; they are used only where that is certain.
type Refusal struct {
	Status     int
	Code       string // stable identifier for callers and logs
	Detail     string
	RetryAfter time.Duration // value of Retry-After, 0 to omit the header
}

// Error implements error.
func (r *Refusal) Error() string { return r.Code + ": " + r.Detail }

// Refusal codes.
const (
	codeNoConfig    = "no_configuration"
	codeStale       = "configuration_not_confirmed"
	codeNoRoute     = "no_route"
	codeBadKey      = "unknown_key"
	codeQuota       = "quota_exceeded"
	codeNoSlot      = "no_place_in_time"
	codeSentAround  = "not_on_time"
	codeRejected    = "servers_rejected"
	codeUnreachable = "servers_unreachable"
	codeTimeout     = "timeout"
	codeFailed      = "server_failed"
	codeSuspect     = "crashes_servers"
	codeTooLarge    = "body_too_large"
	codeNoRoom      = "no_room_for_body"
	codeBodyLate    = "body_late"
	codeStopping    = "host_stops"
	codeInternal    = "internal_error"
)

// unavailable refuses a request that was not and will not be executed.
func unavailable(code, detail string, after time.Duration) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Code: code, Detail: detail, RetryAfter: after}
}

// NoRoom refuses a request whose body was not read, because others take the memory for
// bodies.
func NoRoom(after time.Duration) *Refusal {
	return unavailable(codeNoRoom, "bodies of other requests take all memory for them", after)
}

// BodyLate refuses a request whose body was not complete at its deadline.
func BodyLate() *Refusal {
	return &Refusal{Status: http.StatusRequestTimeout, Code: codeBodyLate, Detail: "the body was not complete in time"}
}

// promisesNotRun reports whether callers take a status for the promise that the
// request was not and will not be executed.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// InternalError answers a request whose handler panicked. It may have been executed.
func InternalError() *Refusal {
	return &Refusal{Status: http.StatusInternalServerError, Code: codeInternal, Detail: "the host failed; the request may have been executed"}
}

// errorBody is the JSON body of a refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Write sends the refusal as a response.
func (r *Refusal) Write(w http.ResponseWriter) {
	raw, _ := json.Marshal(errorBody{errorDetail{r.Code, r.Detail}}) // strings cannot fail to encode
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(raw)))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(math.Ceil(r.RetryAfter.Seconds()*100)/100, 'f', 2, 64)) // rounded up, never to 0
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(raw) // the caller may have disconnected
}
