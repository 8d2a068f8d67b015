package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-resty/resty/v2"

	client "ragwortstep/internal/store"
	"ragwortstep/test/standin/engine"
	"ragwortstep/test/standin/platform"
	"ragwortstep/test/standin/relay"
	"ragwortstep/test/standin/service"
)

// controlTimeout bounds a control call; ledgers may be large.
const controlTimeout = 60 * time.Second

// controlClient is a client of a stand-in's control interface.
type controlClient struct {
	URL    string
	client *resty.Client
}

func newControlClient(address string) controlClient {
	return controlClient{URL: "http://" + address, client: resty.New().SetBaseURL("http://" + address).SetTimeout(controlTimeout)}
}

func (c controlClient) call(ctx context.Context, method, path string, body, into any) error {
	req := c.client.R().SetContext(ctx)
	if body != nil {
		req.SetBody(body)
	}
	resp, err := req.Execute(method, path)
	if err != nil {
		return errors.Wrapf(err, "stand-in %s %s%s", method, c.URL, path)
	}
	if resp.StatusCode() >= http.StatusBadRequest {
		return &StatusError{Operation: "stand-in " + method + " " + c.URL + path, Status: resp.StatusCode(), Body: resp.String()}
	}
	if into == nil {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(resp.Body(), into), "stand-in %s %s%s: decode", method, c.URL, path)
}

// get reads a JSON value.
func get[T any](ctx context.Context, c controlClient, path string) (T, error) {
	var v T
	err := c.call(ctx, http.MethodGet, path, nil, &v)
	return v, err
}

// ResetLedger clears the stand-in's ledger.
func (c controlClient) ResetLedger(ctx context.Context) error {
	return c.call(ctx, http.MethodDelete, "/ledger", nil, nil)
}

// ClearFaults restores the stand-in's initial fault settings.
func (c controlClient) ClearFaults(ctx context.Context) error {
	return c.call(ctx, http.MethodDelete, "/fault", nil, nil)
}

// SetFault changes the given fault settings and leaves the others as they are.
func (c controlClient) SetFault(ctx context.Context, fields map[string]any) error {
	return c.call(ctx, http.MethodPost, "/fault", fields, nil)
}

// Platform is the running platform stand-in.
type Platform struct {
	controlClient
	*Process
}

// Ledger returns the platform's call counts.
func (p *Platform) Ledger(ctx context.Context) (platform.Summary, error) {
	return get[platform.Summary](ctx, p.controlClient, "/ledger")
}

// Writes returns the history of writes to keys with the prefix.
func (p *Platform) Writes(ctx context.Context, prefix string) ([]platform.Write, error) {
	return get[[]platform.Write](ctx, p.controlClient, "/ledger/writes?prefix="+url.QueryEscape(prefix))
}

// SetHosts replaces the list of hosts and servers. The change becomes visible
// after the time set by --hosts-lag.
func (p *Platform) SetHosts(ctx context.Context, hosts []client.HostEntry) error {
	return p.call(ctx, http.MethodPost, "/hosts", map[string]any{"hosts": hosts}, nil)
}

// Engine is a running engine stand-in.
type Engine struct {
	controlClient
	*Process
	Spec         EngineSpec
	Address      string // of the engine itself
	RelayAddress string // of the relay in front of it, which the configuration names
}

// Records returns the ledger's records after a sequence number.
func (e *Engine) Records(ctx context.Context, after int64) ([]engine.Record, error) {
	return get[[]engine.Record](ctx, e.controlClient, fmt.Sprintf("/ledger?after=%d", after))
}

// Summary returns the ledger's counts.
func (e *Engine) Summary(ctx context.Context) (engine.Summary, error) {
	return get[engine.Summary](ctx, e.controlClient, "/ledger?summary=1")
}

// Service is a running plain service.
type Service struct {
	controlClient
	*Process
	Spec         ServiceSpec
	Address      string
	RelayAddress string
}

// Calls returns the calls that ran after a sequence number.
func (s *Service) Calls(ctx context.Context, after int64) ([]service.Call, error) {
	return get[[]service.Call](ctx, s.controlClient, fmt.Sprintf("/ledger?after=%d", after))
}

// Summary returns the ledger's counts.
func (s *Service) Summary(ctx context.Context) (service.Summary, error) {
	return get[service.Summary](ctx, s.controlClient, "/ledger?summary=1")
}

// Relay is the running relay.
type Relay struct {
	controlClient
	*Process
}

// Prefixes of the names of relay links.
const (
	callersLinkPrefix  = "callers-"  // callers to a host
	serverLinkPrefix   = "server-"   // hosts to a backend server
	platformLinkPrefix = "platform-" // a host to the platform
)

// CallersLink returns the name of the link from callers to the host.
func CallersLink(host string) string { return callersLinkPrefix + host }

// ServerLink returns the name of the link from hosts to the backend server.
func ServerLink(server string) string { return serverLinkPrefix + server }

// PlatformLink returns the name of the link from the host to the platform.
func PlatformLink(host string) string { return platformLinkPrefix + host }

// Fault applies a fault to the matching links.
func (r *Relay) Fault(ctx context.Context, f relay.Fault) error {
	return r.call(ctx, http.MethodPost, "/fault", f, nil)
}

// Cut resets all open connections of the matching links.
func (r *Relay) Cut(ctx context.Context, links string) error {
	return r.Fault(ctx, relay.Fault{Link: links, Cut: true})
}

// Freeze makes all open connections of the matching links pass no more data,
// permanently.
func (r *Relay) Freeze(ctx context.Context, links string) error {
	return r.Fault(ctx, relay.Fault{Link: links, Freeze: true})
}

// Refuse makes the matching links refuse new connections, or accept them again.
func (r *Relay) Refuse(ctx context.Context, links string, refuse bool) error {
	return r.Fault(ctx, relay.Fault{Link: links, Refuse: &refuse})
}

// Silence holds back the data of the matching links in a direction: to_target,
// to_client or both. An empty direction ends this.
func (r *Relay) Silence(ctx context.Context, links, direction string) error {
	return r.Fault(ctx, relay.Fault{Link: links, Silent: &direction})
}

// Truncate closes connections of the matching links after n bytes to the
// client; 0 turns this off.
func (r *Relay) Truncate(ctx context.Context, links string, n int64) error {
	return r.Fault(ctx, relay.Fault{Link: links, TruncateAfter: &n})
}

// Status returns the state and counters of all links.
func (r *Relay) Status(ctx context.Context) ([]relay.Status, error) {
	return get[[]relay.Status](ctx, r.controlClient, "/ledger")
}
