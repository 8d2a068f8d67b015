package bulk

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/online"
)

const (
	// unavailableRetryAfter is the Retry-After while the store is unavailable.
	unavailableRetryAfter = 500 * time.Millisecond
	// overloadRetryAfter is the Retry-After of a host that has reached its limit of
	// unfinished items; its peers may have capacity.
	overloadRetryAfter = time.Second
)

// RefusalOf returns the response to a call that failed with err. It uses 503 only
// if the call had no effect and will not have any.
func RefusalOf(err error) *online.Refusal {
	switch {
	case errors.Is(err, ErrNoJob):
		return &online.Refusal{Status: http.StatusNotFound, Code: "no_job", Detail: "there is no such job"}
	case errors.Is(err, ErrNoItem):
		return &online.Refusal{Status: http.StatusNotFound, Code: "no_item", Detail: "there is no such unlisted item"}
	case errors.Is(err, ErrTooManyJobs):
		return &online.Refusal{Status: http.StatusServiceUnavailable, Code: "too_many_jobs", Detail: "this host runs as many items as it may", RetryAfter: overloadRetryAfter}
	case errors.Is(err, ErrUnknownOutcome):
		return &online.Refusal{Status: http.StatusBadGateway, Code: "outcome_unknown", Detail: "the store's answer was lost"}
	case errors.Is(err, ErrStoreUnavailable):
		return &online.Refusal{Status: http.StatusServiceUnavailable, Code: "store_unavailable", Detail: "the store does not answer", RetryAfter: unavailableRetryAfter}
	}
	return &online.Refusal{Status: http.StatusBadGateway, Code: "internal", Detail: "the call failed"}
}
