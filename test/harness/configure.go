package harness

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/config"
)

const (
	// configureTimeout bounds the time to load the configuration.
	configureTimeout = 60 * time.Second
	// inForceTimeout bounds the time until a configuration is in force on every host.
	inForceTimeout = 5 * time.Second
	enginePool     = "engines"
	routeTimeoutMS = 30000
)

// Names of routes.
const (
	RouteModel   = "model"
	RouteService = "service"        // not idempotent
	RouteReads   = "service-reads"  // idempotent
	RouteOpen    = "service-status" // needs no key
)

// Operator returns a client of the operators' API of host i.
func (d *Deployment) Operator(i int) *Operator {
	return NewOperator(d.Hosts[i].AdminURL(), OperatorKey)
}

// configure loads the sample table, routes, servers and one key per
// workspace, and waits until they are in force everywhere.
func (d *Deployment) configure(ctx context.Context) error {
	if d.opts.NoHosts || d.opts.NoConfig {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, configureTimeout)
	defer cancel()
	op := d.Operator(0)
	if _, err := op.PutTable(ctx, d.Layout.Workspaces, 0); err != nil {
		return errors.Wrap(err, "load table")
	}
	for _, server := range d.servers() {
		if _, err := op.PutServer(ctx, server); err != nil {
			return errors.Wrapf(err, "load server %s", server.Name)
		}
	}
	for _, route := range d.Layout.routes() {
		if _, err := op.PutRoute(ctx, route); err != nil {
			return errors.Wrapf(err, "load route %s", route.Name)
		}
	}
	for _, w := range d.Layout.Workspaces {
		key, err := op.CreateKey(ctx, w.Name, 0)
		if err != nil {
			return errors.Wrapf(err, "create key of %s", w.Name)
		}
		d.Keys[w.Name] = key
	}
	revision, err := op.Revision(ctx)
	if err != nil {
		return err
	}
	_, err = d.AwaitRevision(ctx, revision, inForceTimeout)
	return err
}

func (l *Layout) routes() []config.Route {
	service := func(name, prefix string, open, idempotent bool) config.Route {
		return config.Route{
			Name: name, Kind: config.RouteService, Prefix: prefix, Pool: l.Service,
			Open: open, Idempotent: idempotent, TimeoutMS: routeTimeoutMS,
		}
	}
	return []config.Route{
		{Name: RouteModel, Kind: config.RouteModel, Model: l.Model, Pool: enginePool, Idempotent: true, TimeoutMS: routeTimeoutMS},
		service(RouteService, l.Prefix, false, false),
		service(RouteReads, l.ReadsPrefix(), false, true),
		service(RouteOpen, l.OpenPrefix(), true, true),
	}
}

// ReadsPrefix is the path prefix of the idempotent calls of the plain service.
func (l *Layout) ReadsPrefix() string { return l.Prefix + "reads/" }

// OpenPrefix is the path prefix of the plain service's calls without a key.
func (l *Layout) OpenPrefix() string { return l.Prefix + "status/" }

func (d *Deployment) servers() []config.Server {
	var out []config.Server
	for _, e := range d.Engines {
		out = append(out, config.Server{
			Name: e.Spec.Name, Pool: enginePool, Address: e.RelayAddress, Zone: e.Spec.Zone,
			Concurrency: e.Spec.Knee, Speed: e.Spec.Speed, Fencing: e.Spec.Fencing,
		})
	}
	for _, s := range d.Services {
		out = append(out, config.Server{
			Name: s.Spec.Name, Pool: d.Layout.Service, Address: s.RelayAddress, Zone: s.Spec.Zone,
			Concurrency: s.Spec.Slots, Speed: s.Spec.Speed,
		})
	}
	return out
}

const revisionPollInterval = 20 * time.Millisecond

// AwaitRevision waits until every running host has the revision or a later one
// in force, and returns the time that it took.
func (d *Deployment) AwaitRevision(ctx context.Context, revision int64, timeout time.Duration) (time.Duration, error) {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for i, h := range d.Hosts {
		if !h.Running() {
			continue
		}
		op := d.Operator(i)
		for {
			got, err := op.Revision(ctx)
			if err == nil && got >= revision {
				break
			}
			if ctx.Err() != nil {
				return 0, errors.Newf("host %s: revision %d is not in force after %s: has %d, %v", h.Name, revision, timeout, got, err)
			}
			time.Sleep(revisionPollInterval)
		}
	}
	return time.Since(begin), nil
}
