package cli

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-resty/resty/v2"
	"github.com/urfave/cli/v3"

	"ragwortstep/internal/admin"
)

const (
	defaultTimeout = 10 * time.Second
	// conflictRetries is how often an edit of named fields is based on a newer
	// revision. The fields that others edited are kept, so nothing is lost.
	conflictRetries = 5
	pageSize        = 1000
)

// client calls the JSON API of one host.
type client struct {
	http     *resty.Client
	endpoint string
}

// newClient returns a client for the endpoint, which must be a URL.
func newClient(endpoint, key string, timeout time.Duration) (*client, error) {
	u, err := url.Parse(endpoint)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, usageError("endpoint %q is not a URL such as http://10.0.0.1:7003", endpoint)
	}
	c := resty.New().SetBaseURL(strings.TrimRight(endpoint, "/")).SetTimeout(timeout)
	c.SetRedirectPolicy(resty.NoRedirectPolicy()) // a redirect would carry the key elsewhere
	c.SetAuthToken(key)
	c.SetDisableWarn(true)
	return &client{http: c, endpoint: endpoint}, nil
}

// operatorClient returns a client for the operators' API.
func operatorClient(c *cli.Command) (*client, error) {
	return flagClient(c, "endpoint", "RAGWORTSTEP_ENDPOINT", "key", "RAGWORTSTEP_OPERATOR_KEY")
}

// callerClient returns a client for the callers' API.
func callerClient(c *cli.Command) (*client, error) {
	return flagClient(c, "api-endpoint", "RAGWORTSTEP_API_ENDPOINT", "api-key", "RAGWORTSTEP_API_KEY")
}

func flagClient(c *cli.Command, endpoint, endpointEnv, key, keyEnv string) (*client, error) {
	if c.String(endpoint) == "" {
		return nil, usageError("set --%s or %s", endpoint, endpointEnv)
	}
	if c.String(key) == "" {
		return nil, usageError("set --%s or %s", key, keyEnv)
	}
	return newClient(c.String(endpoint), c.String(key), c.Duration("timeout")+c.Duration("wait"))
}

// request is one call.
type request struct {
	method   string
	path     string
	query    url.Values
	revision *int64 // If-Match
	body     any    // JSON, or []byte sent as is
	into     any    // decoded JSON answer, may be nil
}

// call sends the request and returns the raw answer. Errors carry an exit code.
func (c *client) call(ctx context.Context, r request) (*resty.Response, error) {
	req := c.http.R().SetContext(ctx)
	if r.query != nil {
		req.SetQueryParamsFromValues(r.query)
	}
	if r.revision != nil {
		req.SetHeader("If-Match", strconv.Quote(strconv.FormatInt(*r.revision, 10)))
	}
	if raw, ok := r.body.([]byte); ok {
		req.SetHeader("Content-Type", "text/csv").SetBody(raw)
	} else if r.body != nil {
		req.SetHeader("Content-Type", "application/json").SetBody(r.body)
	}
	resp, err := req.Execute(r.method, r.path)
	if err != nil {
		return nil, withCode(ExitUnavailable, errors.Wrapf(err, "%s %s%s", r.method, c.endpoint, r.path))
	}
	if resp.IsError() {
		return nil, c.answerError(r, resp)
	}
	if r.into != nil {
		err = errors.Wrapf(json.Unmarshal(resp.Body(), r.into), "decode answer of %s%s", c.endpoint, r.path)
	}
	return resp, err
}

// apiError is an error answer of the API.
type apiError struct {
	status int
	detail admin.ErrorDetail
	where  string
}

func (e *apiError) Error() string {
	return e.detail.Message + " (" + e.where + ": " + strconv.Itoa(e.status) + " " + e.detail.Code + ")"
}

func (c *client) answerError(r request, resp *resty.Response) error {
	var body admin.ErrorBody
	if json.Unmarshal(resp.Body(), &body) != nil || body.Error.Message == "" {
		body.Error.Message = http.StatusText(resp.StatusCode())
	}
	e := &apiError{status: resp.StatusCode(), detail: body.Error, where: r.method + " " + c.endpoint + r.path}
	return withCode(statusCode(e.status), e)
}

func statusCode(status int) int {
	switch status {
	case http.StatusUnauthorized, http.StatusForbidden:
		return ExitUnauthorized
	case http.StatusNotFound:
		return ExitNotFound
	case http.StatusPreconditionFailed, http.StatusConflict:
		return ExitConflict
	case http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusRequestEntityTooLarge:
		return ExitInvalid
	case http.StatusServiceUnavailable, http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusTooManyRequests:
		return ExitUnavailable
	default:
		return ExitFailure
	}
}

// revisionOf reads the revision from an answer's ETag.
func revisionOf(resp *resty.Response) (int64, error) {
	revision, err := strconv.ParseInt(strings.Trim(resp.Header().Get("ETag"), `"`), 10, 64)
	return revision, errors.Wrap(err, "the answer has no revision (ETag)")
}

// currentRevision returns the revision in force at the host.
func (c *client) currentRevision(ctx context.Context) (int64, error) {
	var status admin.StatusBody
	_, err := c.call(ctx, request{method: http.MethodGet, path: admin.Prefix + "/status", into: &status})
	return status.Revision, err
}

// list reads all pages of a listing.
func list[T any](ctx context.Context, c *client, path string) ([]T, error) {
	out := []T{}
	for after := ""; ; {
		var page admin.List[T]
		query := url.Values{"limit": {strconv.Itoa(pageSize)}, "after": {after}}
		if _, err := c.call(ctx, request{method: http.MethodGet, path: admin.Prefix + path, query: query, into: &page}); err != nil {
			return nil, err
		}
		out = append(out, page.Data...)
		if page.Next == "" {
			return out, nil
		}
		after = page.Next
	}
}

// isStatus reports whether err is an error answer with the status.
func isStatus(err error, status int) bool {
	var e *apiError
	return errors.As(err, &e) && e.status == status
}
