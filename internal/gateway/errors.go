package gateway

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/dispatch"
	"ragwortstep/internal/limiter"
)

// Values of Retry-After.
const (
	retryAfterUnavailable = time.Second // the host or the limiter cannot admit requests
	retryAfterIdempotency = time.Second // the idempotency key is in use or cannot be claimed
)

// apiError is an error response to a caller.
type apiError struct {
	Status     int
	Code       string
	Message    string
	Param      string
	Executed   dispatch.Executed
	RetryAfter time.Duration
}

// Error implements error.
func (e *apiError) Error() string { return e.Code + ": " + e.Message }

// refusal returns an apiError for a request that was certainly not executed.
func refusal(status int, code, message string, retryAfter time.Duration) *apiError {
	return &apiError{Status: status, Code: code, Message: message, Executed: dispatch.ExecutedNo, RetryAfter: retryAfter}
}

// limitError converts an error of the limiter; nil stays nil.
func limitError(err error) *apiError {
	var refused *limiter.RefusedError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refused):
		return refusal(http.StatusTooManyRequests, "rate_limited", refused.Error(), refused.RetryAfter)
	case errors.Is(err, context.Canceled):
		return refusal(statusClientClosedRequest, "caller_gone", "the caller closed the connection", 0)
	case errors.Is(err, context.DeadlineExceeded):
		return refusal(http.StatusGatewayTimeout, "deadline_exceeded", "the deadline passed before the request was admitted", 0)
	default:
		return refusal(http.StatusServiceUnavailable, "not_admitted", err.Error(), retryAfterUnavailable)
	}
}

// statusClientClosedRequest is the status of requests whose caller closed the
// connection. No caller receives it.
const statusClientClosedRequest = 499

// dispatchError converts an error of the dispatcher.
func dispatchError(ctx context.Context, err error) *apiError {
	if errors.Is(context.Cause(ctx), errKeyRevoked) {
		return &apiError{Status: http.StatusUnauthorized, Code: "key_revoked", Message: "the key was revoked", Executed: executedFromError(err)}
	}
	var refused *dispatch.RefusedError
	if errors.As(err, &refused) {
		return &apiError{
			Status: refused.Status, Code: refused.Code, Message: refused.Message,
			Executed: refused.Executed, RetryAfter: refused.RetryAfter,
		}
	}
	return &apiError{Status: http.StatusBadGateway, Code: "backend_error", Message: err.Error(), Executed: dispatch.ExecutedUnknown}
}

func executedFromError(err error) dispatch.Executed {
	var refused *dispatch.RefusedError
	if errors.As(err, &refused) {
		return refused.Executed
	}
	return dispatch.ExecutedUnknown
}

// errorBody is the JSON form of errors that OpenAI clients expect.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Param   *string `json:"param"`
}

func (e *apiError) body() []byte {
	detail := errorDetail{Message: e.Message, Type: errorType(e.Status), Code: e.Code}
	if e.Param != "" {
		detail.Param = &e.Param
	}
	raw, _ := json.Marshal(errorBody{Error: detail})
	return raw
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}

// write sends the error as the response.
func (e *apiError) write(w http.ResponseWriter) {
	counters.Add("refused_"+e.Code, 1)
	h := w.Header()
	h.Del("Content-Length")
	h.Set("Content-Type", "application/json")
	h.Set(headerExecuted, string(e.Executed))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(e.Status)
	_, _ = w.Write(append(e.body(), '\n'))
}
