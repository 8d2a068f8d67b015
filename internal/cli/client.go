package cli

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-resty/resty/v2"
	"github.com/urfave/cli/v3"

	"ragwortstep/internal/admin"
	"ragwortstep/internal/upstream"
)

const (
	defaultTimeout = 10 * time.Second
	// conflictRetries is how often an edit is repeated on a newer revision.
	// Repeating is safe because an edit changes only the fields that it names and
	// keeps concurrent edits of others.
	conflictRetries = 5
	pageSize        = 1000
	// maxResponseBytes bounds a response that is held in memory.
	maxResponseBytes = 256 << 20
)

// client calls the operators' or callers' API of one host.
type client struct {
	http     *resty.Client
	endpoint string
}

// newClient returns a client for endpoint, which must be an http or https URL.
func newClient(endpoint, key string, timeout time.Duration) (*client, error) {
	u, err := url.Parse(endpoint)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, usageError("endpoint %q is not a URL such as http://10.0.0.1:7003", endpoint)
	}
	c := resty.New().SetBaseURL(strings.TrimRight(endpoint, "/")).SetTimeout(timeout)
	if u.Scheme == "http" {
		var dialer net.Dialer
		c.SetTransport(upstream.NewTransport(&http.Transport{Proxy: http.ProxyFromEnvironment, DialContext: dialer.DialContext}, upstream.BodyBounds{}))
	}
	c.SetResponseBodyLimit(maxResponseBytes)
	c.SetRedirectPolicy(resty.NoRedirectPolicy()) // a redirect could send the key to another server
	c.SetAuthToken(key)
	c.SetDisableWarn(true)
	return &client{http: c, endpoint: endpoint}, nil
}

func operatorClient(c *cli.Command) (*client, error) {
	return clientFromFlags(c, "endpoint", "RAGWORTSTEP_ENDPOINT", "key", "RAGWORTSTEP_OPERATOR_KEY")
}

func callerClient(c *cli.Command) (*client, error) {
	return clientFromFlags(c, "api-endpoint", "RAGWORTSTEP_API_ENDPOINT", "api-key", "RAGWORTSTEP_API_KEY")
}

func clientFromFlags(c *cli.Command, endpoint, endpointEnv, key, keyEnv string) (*client, error) {
	if c.String(endpoint) == "" {
		return nil, usageError("set --%s or %s", endpoint, endpointEnv)
	}
	if c.String(key) == "" {
		return nil, usageError("set --%s or %s", key, keyEnv)
	}
	return newClient(c.String(endpoint), c.String(key), c.Duration("timeout")+c.Duration("wait"))
}

// request describes one API call.
type request struct {
	method   string
	path     string
	query    url.Values
	revision *int64 // If-Match
	body     any    // encoded as JSON; []byte is sent unchanged as CSV
	into     any    // pointer to decode the JSON response into; may be nil
}

// call sends the request and returns the raw response. Transport errors and
// error responses carry an exit code.
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
		return nil, c.responseError(r, resp)
	}
	if r.into != nil {
		err = errors.Wrapf(json.Unmarshal(resp.Body(), r.into), "decode response of %s%s", c.endpoint, r.path)
	}
	return resp, err
}

// apiError is an error response of the API.
type apiError struct {
	status int
	detail admin.ErrorDetail
	call   string // method and URL
}

func (e *apiError) Error() string {
	return e.detail.Message + " (" + e.call + ": " + strconv.Itoa(e.status) + " " + e.detail.Code + ")"
}

func (c *client) responseError(r request, resp *resty.Response) error {
	var body admin.ErrorBody
	if json.Unmarshal(resp.Body(), &body) != nil || body.Error.Message == "" {
		body.Error.Message = http.StatusText(resp.StatusCode())
	}
	e := &apiError{status: resp.StatusCode(), detail: body.Error, call: r.method + " " + c.endpoint + r.path}
	return withCode(exitCodeForStatus(e.status), e)
}

func exitCodeForStatus(status int) int {
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

// responseRevision returns the revision in the response's ETag.
func responseRevision(resp *resty.Response) (int64, error) {
	revision, err := strconv.ParseInt(strings.Trim(resp.Header().Get("ETag"), `"`), 10, 64)
	return revision, errors.Wrap(err, "the response has no revision (ETag)")
}

// currentRevision returns the revision in force at the host.
func (c *client) currentRevision(ctx context.Context) (int64, error) {
	var status admin.StatusBody
	_, err := c.call(ctx, request{method: http.MethodGet, path: admin.Prefix + "/status", into: &status})
	return status.Revision, err
}

// listAll returns the objects of all pages of a collection.
func listAll[T any](ctx context.Context, c *client, path string) ([]T, error) {
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

// hasStatus reports whether err is an error response with the HTTP status.
func hasStatus(err error, status int) bool {
	var e *apiError
	return errors.As(err, &e) && e.status == status
}
