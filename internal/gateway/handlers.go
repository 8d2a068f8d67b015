package gateway

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"time"

	"ragwortstep/internal/core/config"
	"ragwortstep/internal/dispatch"
	"ragwortstep/internal/invariant"
)

// headerTimeout lets a caller shorten the deadline of its request, in milliseconds.
const headerTimeout = "Ragwortstep-Timeout-Ms"

type keyedHandler func(w http.ResponseWriter, r *http.Request, c caller)

// withKey authenticates the caller and cancels the request when its key is
// revoked.
func (g *Gateway) withKey(next keyedHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, apiErr := g.authenticate(r)
		if apiErr != nil {
			apiErr.write(w)
			return
		}
		ctx, done := g.requestTracker.track(r.Context(), c.keyID)
		defer done()
		if !g.keys.Load().validIDs[c.keyID] {
			// The key was revoked between the lookup and the tracking.
			refusal(http.StatusUnauthorized, "invalid_key", "the key is unknown or revoked", 0).write(w)
			return
		}
		next(w, r.WithContext(ctx), c)
	}
}

// batchAPI serves files and batches with opts.Jobs in the caller's workspace.
func (g *Gateway) batchAPI(w http.ResponseWriter, r *http.Request, c caller) {
	if err := g.opts.Fleet.MayAdmit(time.Now()); err != nil {
		refusal(http.StatusServiceUnavailable, "host_not_current", "this host is cut off from the fleet", retryAfterUnavailable).write(w)
		return
	}
	g.opts.Jobs.ServeHTTP(w, r.WithContext(g.opts.WithWorkspace(r.Context(), c.workspace)))
}

// completion serves chat and text completions.
func (g *Gateway) completion(w http.ResponseWriter, r *http.Request, c caller) {
	body, apiErr := readBody(w, r, g.opts.Settings.MaxBody)
	if apiErr != nil {
		apiErr.write(w)
		return
	}
	parsed, apiErr := parseModelRequest(body)
	if apiErr != nil {
		apiErr.write(w)
		return
	}
	route, ok := g.routes.Load().models[parsed.Model]
	if !ok {
		unknownModel(parsed.Model).write(w)
		return
	}
	if bytes.Contains(body, []byte(c.rawKey)) {
		keyInBody().write(w)
		return
	}
	req := g.newRequest(r, c, route, body)
	req.Path = r.URL.Path
	req.Header = modelHeader(r.Header, c.rawKey)
	req.Stream = parsed.Stream
	req.Cost = parsed.cost()
	req.PrefixHash = parsed.prefixHash()
	g.admitAndRelay(w, r, req)
}

// service serves requests to plain services, which are routed by path prefix.
func (g *Gateway) service(w http.ResponseWriter, r *http.Request) {
	route, ok := g.routes.Load().service(r.URL.Path)
	if !ok {
		refusal(http.StatusNotFound, "not_found", "no route serves this path", 0).write(w)
		return
	}
	call := func(w http.ResponseWriter, r *http.Request, c caller) { g.serviceCall(w, r, c, route) }
	if route.Open {
		call(w, r, unauthenticatedCaller(r))
		return
	}
	g.withKey(call)(w, r)
}

// unauthenticatedCaller returns the caller of an open route. A presented key is
// kept only to remove it from the forwarded request.
func unauthenticatedCaller(r *http.Request) caller {
	if found := presentedKeys(r); len(found) > 0 {
		return caller{rawKey: found[0]}
	}
	return caller{}
}

func (g *Gateway) serviceCall(w http.ResponseWriter, r *http.Request, c caller, route config.Route) {
	body, apiErr := readBody(w, r, g.opts.Settings.MaxBody)
	if apiErr != nil {
		apiErr.write(w)
		return
	}
	if containsPlainKey(string(body), c.rawKey) {
		keyInBody().write(w)
		return
	}
	if containsKey(r.URL.EscapedPath(), c.rawKey) {
		refusal(http.StatusBadRequest, "key_in_path", "the path contains a key", 0).write(w)
		return
	}
	req := g.newRequest(r, c, route, body)
	req.Path = r.URL.EscapedPath()
	if query := stripQuery(r.URL.RawQuery, c.rawKey); query != "" {
		req.Path += "?" + query
	}
	req.Header = stripHeader(r.Header, c.rawKey)
	req.Idempotent = req.Idempotent || safeMethod(r.Method)
	req.Cost = 1 + float64(len(body))/bytesPerToken
	g.admitAndRelay(w, r, req)
}

// keyInBody returns the error for a body that contains a key. The body is
// forwarded unchanged, so the key would reach a backend server.
func keyInBody() *apiError {
	return refusal(http.StatusBadRequest, "key_in_body", "the body contains a key; send keys in the header only", 0)
}

func safeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// modelHeader returns the few headers that model engines receive.
func modelHeader(in http.Header, raw string) http.Header {
	out := http.Header{}
	for _, name := range []string{"Accept", headerRequestID, "User-Agent"} {
		if value := in.Get(name); value != "" && !containsKey(value, raw) {
			out.Set(name, value)
		}
	}
	out.Set("Content-Type", "application/json")
	return out
}

func (g *Gateway) newRequest(r *http.Request, c caller, route config.Route, body []byte) *dispatch.Request {
	return &dispatch.Request{
		ID:         r.Header.Get(headerRequestID),
		Workspace:  c.workspace,
		Class:      dispatch.Online,
		Route:      route.Name,
		Pool:       route.Pool,
		Method:     r.Method,
		Body:       body,
		Idempotent: route.Idempotent,
		Deadline:   time.Now().Add(g.timeout(r, route)),
	}
}

// timeout returns the route's timeout, or the host's default, shortened by the
// caller's Ragwortstep-Timeout-Ms.
func (g *Gateway) timeout(r *http.Request, route config.Route) time.Duration {
	timeout := g.opts.Settings.Timeout
	if route.TimeoutMS > 0 {
		timeout = time.Duration(route.TimeoutMS) * time.Millisecond
	}
	if ms, err := strconv.ParseInt(r.Header.Get(headerTimeout), 10, 64); err == nil && ms > 0 {
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	return timeout
}

// admitAndRelay admits the request, runs it and relays its response. A
// non-idempotent request with an idempotency key runs at most once.
func (g *Gateway) admitAndRelay(w http.ResponseWriter, r *http.Request, req *dispatch.Request) {
	invariant.Check(req.Workspace != "" || g.isOpen(req.Route), "key_required", "run", req.Route)
	ctx, cancel := context.WithDeadline(r.Context(), req.Deadline)
	defer cancel()
	if apiErr := g.admit(ctx, req.Workspace); apiErr != nil {
		apiErr.write(w)
		return
	}
	if key := r.Header.Get(headerIdempotency); key != "" && !req.Idempotent {
		g.runWithIdempotencyKey(ctx, w, req, key)
		return
	}
	g.relay(ctx, w, req)
}

// isOpen reports whether the route needs no key. It accepts a route that has
// been removed, since the key was checked when the request arrived.
func (g *Gateway) isOpen(route string) bool {
	r, ok := g.opts.Fleet.Config().Routes[route]
	return !ok || r.Open
}
