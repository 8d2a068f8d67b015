package bulk

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/online"
)

const (
	// unsureRetry is the advice while the store does not answer.
	unsureRetry = 500 * time.Millisecond
	// fullRetry is the advice of a host that runs as many items as it may; its
	// peers may have room now.
	fullRetry = time.Second
)

// RefusalOf returns the answer to a call that failed. 503 is used only when
// nothing of the call took effect and nothing will.
func RefusalOf(err error) *online.Refusal {
	switch {
	case errors.Is(err, ErrNoJob):
		return &online.Refusal{Status: http.StatusNotFound, Code: "no_job", Detail: "there is no such job"}
	case errors.Is(err, ErrNoItem):
		return &online.Refusal{Status: http.StatusNotFound, Code: "no_item", Detail: "there is no such unlisted item"}
	case errors.Is(err, ErrTooMany):
		return &online.Refusal{Status: http.StatusServiceUnavailable, Code: "too_many_jobs", Detail: "this host runs as many items as it may", After: fullRetry}
	case errors.Is(err, ErrUnknownOutcome):
		return &online.Refusal{Status: http.StatusBadGateway, Code: "outcome_unknown", Detail: "the store's answer was lost"}
	case errors.Is(err, ErrUnsure):
		return &online.Refusal{Status: http.StatusServiceUnavailable, Code: "store_unavailable", Detail: "the store does not answer", After: unsureRetry}
	}
	return &online.Refusal{Status: http.StatusBadGateway, Code: "internal", Detail: "the call failed"}
}
