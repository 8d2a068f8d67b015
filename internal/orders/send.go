package orders

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-resty/resty/v2"

	"ragwortstep/internal/core/orders"
)

const (
	ordersPath = "/orders"
	// maxErrorText bounds the part of an engine's answer that is kept, in bytes.
	maxErrorText = 200
)

var (
	// errLapsed reports an order that was not sent because the lease had ended.
	errLapsed = errors.New("lease of the order controller ended")
	// errFenced reports an engine that has seen a newer fencing number.
	errFenced = errors.New("engine has seen a newer fencing number")
)

// orderBody is what an engine receives.
type orderBody struct {
	Kind    orders.Kind `json:"kind"`
	Model   string      `json:"model,omitempty"`
	Adapter string      `json:"adapter,omitempty"`
	Version string      `json:"version,omitempty"`
	Role    string      `json:"role,omitempty"`
	Fencing uint64      `json:"fencing"`
}

// leaseKey is the context key of the function that checks the sender's lease.
type leaseKey struct{}

// sender posts orders to engines.
type sender struct {
	client  *resty.Client
	timeout time.Duration
}

// newSender returns a sender. afterCheck, when not nil, runs between the last
// check of the lease and the write; tests pause there.
func newSender(timeout time.Duration, afterCheck func()) *sender {
	dialer := &net.Dialer{Timeout: timeout}
	transport := &http.Transport{
		// One connection per order: its lease check belongs to one order only.
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			held, _ := ctx.Value(leaseKey{}).(func() bool)
			return &guardedConn{Conn: conn, held: held, afterCheck: afterCheck}, nil
		},
	}
	client := resty.New().SetTransport(transport).SetRedirectPolicy(resty.NoRedirectPolicy())
	return &sender{client: client, timeout: timeout}
}

// guardedConn checks the lease at each write, so that a process that was
// paused after it had decided to send does not send.
type guardedConn struct {
	net.Conn
	held       func() bool
	afterCheck func()
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	if c.held == nil || !c.held() {
		return 0, errLapsed
	}
	if c.afterCheck != nil {
		c.afterCheck()
	}
	return c.Conn.Write(p)
}

// send posts the order with the fencing number while held returns true. It
// fails with errLapsed when nothing was sent, and with errFenced when the
// engine has seen a newer number. Other errors leave open whether it arrived.
func (s *sender) send(ctx context.Context, address string, order Order, epoch uint64, held func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	ctx = context.WithValue(ctx, leaseKey{}, held)
	body := orderBody{Kind: order.Kind, Model: order.Model, Adapter: order.Adapter, Version: order.Version, Role: order.Role, Fencing: epoch}
	resp, err := s.client.R().SetContext(ctx).SetBody(body).Post("http://" + address + ordersPath)
	if errors.Is(err, errLapsed) {
		return errLapsed
	}
	if err != nil {
		return errors.Wrapf(err, "order to %s", order.Server)
	}
	switch {
	case resp.StatusCode() == http.StatusConflict:
		return errors.Wrapf(errFenced, "order to %s", order.Server)
	case resp.IsError() || resp.StatusCode() >= http.StatusMultipleChoices:
		text := resp.String()
		return errors.Newf("order to %s: %s", order.Server, fmt.Sprintf("status %d: %.*s", resp.StatusCode(), maxErrorText, text))
	default:
		return nil
	}
}
