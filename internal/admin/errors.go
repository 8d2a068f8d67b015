package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/config"
	coreorders "ragwortstep/internal/core/orders"
	"ragwortstep/internal/orders"
	"ragwortstep/internal/store"
)

// codeUnavailable is the error code of requests that failed because of the
// platform.
const codeUnavailable = "platform_unavailable"

// apiError is an error with its HTTP status and code.
type apiError struct {
	status  int
	code    string
	message string
	param   string
}

// Error implements error.
func (e *apiError) Error() string { return e.code + ": " + e.message }

// ErrorBody is the JSON body of every error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes one error. Expected and Current are set for
// revision_conflict, Faults for invalid_configuration and invalid_table.
type ErrorDetail struct {
	Message  string         `json:"message"`
	Type     string         `json:"type"`
	Code     string         `json:"code"`
	Param    string         `json:"param,omitempty"`
	Expected int64          `json:"expected_revision,omitempty"`
	Current  int64          `json:"current_revision,omitempty"`
	Faults   []config.Fault `json:"faults,omitempty"`
}

func failure(status int, code, format string, args ...any) *apiError {
	return &apiError{status: status, code: code, message: fmt.Sprintf(format, args...)}
}

// writeError sends err as an ErrorBody.
func (s *server) writeError(w http.ResponseWriter, r *http.Request, err error) {
	status, detail := describe(err)
	counters.Add("refused_"+detail.Code, 1)
	if status == http.StatusInternalServerError {
		s.Logger.Error("operator request failed", "step", r.Method+" "+r.URL.Path, "err", err)
	}
	if detail.Code == codeUnavailable && r.Method == http.MethodGet {
		detail.Message = "the platform does not answer"
	}
	detail.Type = errorType(status)
	if status == http.StatusPreconditionFailed {
		w.Header().Set("ETag", etag(detail.Current))
	}
	writeJSON(w, status, ErrorBody{Error: detail})
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}

// describe maps an error to its HTTP status and ErrorDetail.
func describe(err error) (int, ErrorDetail) {
	var api *apiError
	var conflict *ConflictError
	var faults config.Faults
	var missing *config.NotFoundError
	var keys *config.HasKeysError
	var order *coreorders.InvalidError
	switch {
	case errors.As(err, &api):
		return api.status, ErrorDetail{Code: api.code, Message: api.message, Param: api.param}
	case errors.As(err, &conflict):
		return http.StatusPreconditionFailed, ErrorDetail{
			Code: "revision_conflict", Message: conflict.Error(), Expected: conflict.Expected, Current: conflict.Current,
		}
	case errors.As(err, &faults):
		return http.StatusUnprocessableEntity, ErrorDetail{Code: "invalid_configuration", Message: faults.Error(), Faults: faults}
	case errors.As(err, &missing):
		return http.StatusNotFound, ErrorDetail{Code: "not_found", Message: missing.Error()}
	case errors.As(err, &keys):
		return http.StatusConflict, ErrorDetail{Code: "workspace_has_keys", Message: keys.Error()}
	case errors.As(err, &order):
		return http.StatusUnprocessableEntity, ErrorDetail{Code: "invalid_order", Message: order.Error(), Param: order.Field}
	case errors.Is(err, orders.ErrNoOrder):
		return http.StatusNotFound, ErrorDetail{Code: "not_found", Message: err.Error()}
	default:
		return describePlatform(err)
	}
}

// describePlatform maps errors of the platform. None of them states that nothing
// was changed: when an update finally fails as unavailable, an earlier attempt may
// have been applied although its response was lost.
func describePlatform(err error) (int, ErrorDetail) {
	switch {
	case errors.IsAny(err, store.ErrUnknownOutcome, store.ErrUnavailable, store.ErrRateLimited, context.DeadlineExceeded, context.Canceled):
		return http.StatusServiceUnavailable, ErrorDetail{
			Code:    codeUnavailable,
			Message: "the platform does not answer; read the configuration to see whether the change was applied",
		}
	case errors.Is(err, store.ErrTooLarge):
		return http.StatusRequestEntityTooLarge, ErrorDetail{Code: "configuration_too_large", Message: "the configuration does not fit into the platform"}
	default:
		return http.StatusInternalServerError, ErrorDetail{Code: "internal", Message: err.Error()}
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		status, raw = http.StatusInternalServerError, []byte(`{"error":{"message":"answer not encodable","type":"server_error","code":"internal"}}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Content-Type-Options", "nosniff")
	w.WriteHeader(status)
	_, _ = w.Write(append(raw, '\n')) // fails only when the operator has disconnected
}
