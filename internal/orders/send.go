package orders

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-resty/resty/v2"

	"ragwortstep/internal/core/orders"
	"ragwortstep/internal/upstream"
)

const (
	ordersPath = "/orders"
	// maxResponseBytes bounds an engine's response, of which only an error is used.
	maxResponseBytes = 64 << 10
	// maxErrorLength bounds the part of an engine's response that is kept, in
	// characters.
	maxErrorLength = 200
)

var (
	// errLeaseEnded reports an order that was not sent because the lease had
	// ended.
	errLeaseEnded = errors.New("lease of the order controller ended")
	// errOldFencing reports an engine that has seen a newer fencing number.
	errOldFencing = errors.New("engine has seen a newer fencing number")
)

// orderBody is the request body of an order.
type orderBody struct {
	Kind    orders.Kind `json:"kind"`
	Model   string      `json:"model,omitempty"`
	Adapter string      `json:"adapter,omitempty"`
	Version string      `json:"version,omitempty"`
	Role    string      `json:"role,omitempty"`
	Fencing uint64      `json:"fencing"`
}

// leaseKey is the context key of an order's leaseCheck.
type leaseKey struct{}

// leaseCheck checks the lease for one order.
type leaseCheck struct {
	held  func() bool
	ended atomic.Bool // a write was refused because the lease had ended
}

// sender posts orders to engines.
type sender struct {
	client  *resty.Client
	timeout time.Duration
}

// newSender returns a sender. afterCheck, if not nil, runs between the last
// check of the lease and the write, so that tests can pause there.
func newSender(timeout time.Duration, afterCheck func()) *sender {
	dialer := &net.Dialer{Timeout: timeout}
	transport := upstream.NewTransport(&http.Transport{
		// One connection per order, because its lease check is for one order.
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			check, ok := ctx.Value(leaseKey{}).(*leaseCheck)
			if !ok {
				_ = conn.Close() // nothing was sent on it
				return nil, errors.Newf("no lease check for the connection to %s", address)
			}
			return &leaseCheckedConn{Conn: conn, check: check, afterCheck: afterCheck}, nil
		},
	}, upstream.BodyBounds{Each: maxResponseBytes})
	client := resty.New().SetTransport(transport).SetRedirectPolicy(resty.NoRedirectPolicy())
	return &sender{client: client, timeout: timeout}
}

// leaseCheckedConn checks the lease before each write, so that a process that
// was paused after it decided to send an order does not send it.
type leaseCheckedConn struct {
	net.Conn
	check      *leaseCheck
	afterCheck func()
}

// Write implements net.Conn.
func (c *leaseCheckedConn) Write(p []byte) (int, error) {
	if !c.check.held() {
		c.check.ended.Store(true)
		return 0, errLeaseEnded
	}
	if c.afterCheck != nil {
		c.afterCheck()
	}
	return c.Conn.Write(p)
}

// send posts the order with the fencing number while held returns true. It
// fails with errLeaseEnded if nothing was sent, and with errOldFencing if the
// engine has seen a newer number. After other errors the order may have
// arrived.
func (s *sender) send(ctx context.Context, address string, order Order, epoch uint64, held func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	check := &leaseCheck{held: held}
	ctx = context.WithValue(ctx, leaseKey{}, check)
	body := orderBody{Kind: order.Kind, Model: order.Model, Adapter: order.Adapter, Version: order.Version, Role: order.Role, Fencing: epoch}
	resp, err := s.client.R().SetContext(ctx).SetBody(body).Post("http://" + address + ordersPath)
	if check.ended.Load() { // the transport may report its reader's error instead of this write's
		return errLeaseEnded
	}
	if err != nil {
		return errors.Wrapf(err, "order to %s", order.Server)
	}
	switch {
	case resp.StatusCode() == http.StatusConflict:
		return errors.Wrapf(errOldFencing, "order to %s", order.Server)
	case resp.IsError() || resp.StatusCode() >= http.StatusMultipleChoices:
		text := resp.String()
		return errors.Newf("order to %s: %s", order.Server, fmt.Sprintf("status %d: %.*s", resp.StatusCode(), maxErrorLength, text))
	default:
		return nil
	}
}
