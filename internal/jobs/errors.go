package jobs

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/dispatch"
	"ragwortstep/internal/store"
)

// headerExecuted is the response header that states whether a failed request took
// effect.
const headerExecuted = "Ragwortstep-Executed"

// platformRetryAfter is the Retry-After value while the platform is unavailable.
const platformRetryAfter = 5 * time.Second

// APIError is an error in the form that callers receive.
type APIError struct {
	Status     int
	Type       string // for example invalid_request_error
	Code       string // stable
	Message    string
	Param      string // request field, or empty
	Executed   dispatch.Executed
	RetryAfter time.Duration
}

// Error implements error.
func (e *APIError) Error() string { return e.Code + ": " + e.Message }

func invalid(code, param, format string, args ...any) *APIError {
	return &APIError{
		Status: http.StatusBadRequest, Type: "invalid_request_error", Code: code,
		Message: errors.Newf(format, args...).Error(), Param: param, Executed: dispatch.ExecutedNo,
	}
}

func notFound(kind, id string) *APIError {
	e := invalid(kind+"_not_found", "id", "no %s with id %q in this workspace", kind, id)
	e.Status = http.StatusNotFound
	return e
}

func conflict(code, param, format string, args ...any) *APIError {
	e := invalid(code, param, format, args...)
	e.Status = http.StatusConflict
	return e
}

// platformError converts the error of a platform call to an APIError. A write
// whose response was lost may have taken effect.
func platformError(err error) error {
	var api *APIError
	if err == nil || errors.As(err, &api) {
		return err
	}
	executed := dispatch.ExecutedNo
	if errors.Is(err, store.ErrUnknownOutcome) {
		executed = dispatch.ExecutedUnknown
	}
	return &APIError{
		Status: http.StatusServiceUnavailable, Type: "server_error", Code: "platform_unavailable",
		Message: "the platform's store is unavailable", Executed: executed, RetryAfter: platformRetryAfter,
	}
}

// unknownOutcomeError is platformError for a failure that follows a write which
// may already have taken effect, such as a manifest whose index entry could not
// be written.
func unknownOutcomeError(err error) error {
	if err == nil {
		return nil
	}
	return platformError(errors.Mark(err, store.ErrUnknownOutcome))
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Param   *string `json:"param"`
}

// writeError responds with the error in OpenAI's form.
func writeError(w http.ResponseWriter, err error) {
	var api *APIError
	if !errors.As(err, &api) {
		api = &APIError{
			Status: http.StatusInternalServerError, Type: "server_error", Code: "internal_error",
			Message: "internal error", Executed: dispatch.ExecutedUnknown,
		}
	}
	detail := errorDetail{Message: api.Message, Type: api.Type, Code: api.Code}
	if api.Param != "" {
		detail.Param = &api.Param
	}
	w.Header().Set(headerExecuted, string(api.Executed))
	if api.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((api.RetryAfter+time.Second-1)/time.Second)))
	}
	writeJSON(w, api.Status, errorBody{Error: detail})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a write error means that the caller disconnected
}
