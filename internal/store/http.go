package store

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-resty/resty/v2"

	"ragwortstep/internal/upstream"
)

const (
	callTimeout         = 2 * time.Second
	watchTimeout        = 10 * time.Second
	watchResponseMargin = 2 * time.Second
	// maxResponseBytes bounds one answer. The largest is a page of a listing: 8 MiB of
	// values and one more, in base64.
	maxResponseBytes = 16 << 20
	// responseMemory bounds what all answers take while they are read.
	responseMemory = 64 << 20
)

// HTTPStore implements Store over the platform's HTTP API.
type HTTPStore struct {
	client *resty.Client
}

var _ Store = (*HTTPStore)(nil)

// NewHTTPStore returns a client for the platform at baseURL. The platform
// counts and limits calls per clientName.
func NewHTTPStore(baseURL, clientName string) *HTTPStore {
	transport := upstream.NewTransport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: callTimeout, KeepAlive: callTimeout}).DialContext,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     30 * time.Second,
	}, upstream.BodyBounds{Each: maxResponseBytes, All: responseMemory})
	c := resty.New().SetTransport(transport).SetBaseURL(baseURL)
	c.SetHeader("X-Platform-Client", clientName)
	return &HTTPStore{client: c}
}

// Get implements Store.
func (s *HTTPStore) Get(ctx context.Context, key string) (Object, error) {
	resp, err := s.do(ctx, callTimeout, http.MethodGet, "/v1/objects/"+key, nil, nil)
	if err != nil {
		return Object{}, err
	}
	version, err := strconv.ParseInt(resp.Header().Get("ETag"), 10, 64)
	if err != nil {
		return Object{}, errors.Mark(errors.Wrapf(err, "platform get %s: version", key), ErrUnavailable)
	}
	return Object{Key: key, Version: version, Value: resp.Body()}, nil
}

// GetStale implements Store. It is the same as Get because this API has no stale
// reads.
func (s *HTTPStore) GetStale(ctx context.Context, key string) (Object, error) {
	return s.Get(ctx, key)
}

// List implements Store.
func (s *HTTPStore) List(ctx context.Context, prefix, after string, limit int) (Page, error) {
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var page Page
	err := s.getJSON(ctx, callTimeout, "/v1/objects?"+q.Encode(), &page)
	return page, err
}

// Put implements Store.
func (s *HTTPStore) Put(ctx context.Context, key string, value []byte, ifVersion int64) (Object, error) {
	if len(value) > MaxValueBytes {
		return Object{}, errors.Wrapf(ErrTooLarge, "platform put %s: %d bytes", key, len(value))
	}
	resp, err := s.do(ctx, callTimeout, http.MethodPut, "/v1/objects/"+key, ifMatchHeader(ifVersion), value)
	if err != nil {
		return Object{}, err
	}
	version, err := strconv.ParseInt(resp.Header().Get("ETag"), 10, 64)
	if err != nil {
		return Object{}, errors.Mark(errors.Wrapf(err, "platform put %s: version", key), ErrUnknownOutcome)
	}
	return Object{Key: key, Version: version, Value: value}, nil
}

// Delete implements Store.
func (s *HTTPStore) Delete(ctx context.Context, key string, ifVersion int64) error {
	_, err := s.do(ctx, callTimeout, http.MethodDelete, "/v1/objects/"+key, ifMatchHeader(ifVersion), nil)
	return err
}

// Watch implements Store.
func (s *HTTPStore) Watch(ctx context.Context, prefix string, from int64, wait time.Duration) (WatchResult, error) {
	if wait <= 0 {
		wait = watchTimeout
	}
	q := url.Values{
		"prefix":     {prefix},
		"from":       {strconv.FormatInt(from, 10)},
		"timeout_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var result WatchResult
	err := s.getJSON(ctx, wait+watchResponseMargin, "/v1/watch?"+q.Encode(), &result)
	return result, err
}

// Hosts implements Store.
func (s *HTTPStore) Hosts(ctx context.Context) ([]HostEntry, error) {
	var body struct {
		Hosts []HostEntry `json:"hosts"`
	}
	err := s.getJSON(ctx, callTimeout, "/v1/hosts", &body)
	return body.Hosts, err
}

func ifMatchHeader(ifVersion int64) map[string]string {
	if ifVersion == AnyVersion {
		return nil
	}
	return map[string]string{"If-Match": strconv.FormatInt(ifVersion, 10)}
}

func (s *HTTPStore) getJSON(ctx context.Context, timeout time.Duration, path string, into any) error {
	resp, err := s.do(ctx, timeout, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal(resp.Body(), into), "platform get %s: decode", path)
}

func (s *HTTPStore) do(ctx context.Context, timeout time.Duration, method, path string, header map[string]string, body []byte) (*resty.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req := s.client.R().SetContext(ctx).SetHeaders(header)
	if body != nil {
		req.SetBody(body).SetHeader("Content-Type", "application/octet-stream")
	}
	resp, err := req.Execute(method, path)
	if err != nil {
		return nil, errors.Wrapf(classify(method, err), "platform %s %s: %v", method, path, err)
	}
	if err := statusError(resp.StatusCode()); err != nil {
		return nil, errors.Wrapf(err, "platform %s %s: status %d", method, path, resp.StatusCode())
	}
	if method == http.MethodGet && endsWithConnection(resp.RawResponse) {
		return nil, errors.Wrapf(ErrUnavailable, "platform %s %s: the end of the answer is not marked", method, path)
	}
	return resp, nil
}

// endsWithConnection reports whether neither a length nor chunks mark the end of a
// body, so that one that was cut looks whole.
func endsWithConnection(resp *http.Response) bool {
	return resp.ProtoMajor == 1 && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed
}

// classify returns ErrUnavailable for a call that was certainly not applied and
// ErrUnknownOutcome for one that may have been. A write was certainly not applied
// only if the connection was refused or the dial failed.
func classify(method string, err error) error {
	if method == http.MethodGet || errors.Is(err, syscall.ECONNREFUSED) {
		return ErrUnavailable
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrUnavailable
	}
	return ErrUnknownOutcome
}

func statusError(status int) error {
	switch {
	case status < http.StatusBadRequest:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusConflict, status == http.StatusPreconditionFailed:
		return ErrConflict
	case status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case status == http.StatusTooManyRequests:
		return ErrRateLimited
	case status == http.StatusServiceUnavailable:
		return ErrUnavailable
	default:
		return ErrUnknownOutcome
	}
}
