package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/urfave/cli/v3"

	"ragwortstep/internal/admin"
	coreorders "ragwortstep/internal/core/orders"
	"ragwortstep/internal/orders"
)

func (a *app) statusCommand() *cli.Command {
	return &cli.Command{Name: "status", Usage: "show revision, epoch and lease of each host", Action: a.status}
}

func (a *app) status(ctx context.Context, c *cli.Command) error {
	if err := noArgs(c); err != nil {
		return err
	}
	api, err := operatorClient(c)
	if err != nil {
		return err
	}
	var status admin.StatusBody
	if _, err := api.call(ctx, request{method: http.MethodGet, path: admin.Prefix + "/status", into: &status}); err != nil {
		return err
	}
	return a.print(c, status, func(w io.Writer) {
		printTable(w, "HOST\tZONE\tSTATE\tREVISION\tEPOCH\tLEASE\tADMIN ADDRESS", func(line func(...any)) {
			for _, h := range status.Hosts {
				line(h.Host, h.Zone, hostState(h), h.Revision, h.Epoch, leaseState(h), h.AdminAddress)
			}
		})
	})
}

func hostState(h admin.HostStatus) string {
	switch {
	case !h.Alive:
		return "silent"
	case h.Leaving:
		return "leaving"
	default:
		return "alive"
	}
}

func leaseState(h admin.HostStatus) string {
	if h.LeaseHeld {
		return "held"
	}
	return "not held"
}

func (a *app) orderCommand() *cli.Command {
	return &cli.Command{
		Name: "order", Usage: "desired state of the engines: models, adapters, versions and roles",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list orders and their progress", Action: a.orderList},
			{
				Name: "set", ArgsUsage: "SERVER", Usage: "order an engine to load or to change its role",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "kind", Usage: "load_model, load_adapter, load_version or set_role", Required: true},
					&cli.StringFlag{Name: "model"},
					&cli.StringFlag{Name: "adapter"},
					&cli.StringFlag{Name: "version"},
					&cli.StringFlag{Name: "role", Usage: "for example prefill, decode or both"},
				},
				Action: a.orderSet,
			},
			{Name: "remove", ArgsUsage: "SERVER SLOT", Usage: "remove an order; the engine keeps its current state", Action: a.orderRemove},
		},
	}
}

func (a *app) printOrders(c *cli.Command, entries []orders.Entry) error {
	return a.print(c, entries, func(w io.Writer) {
		printTable(w, "SERVER\tSLOT\tVERSION OR ROLE\tSTATE\tERROR", func(line func(...any)) {
			for _, e := range entries {
				state := "confirmed"
				if e.Pending() {
					state = fmt.Sprintf("pending, %d failures", e.Failures)
				}
				line(e.Server, e.Slot(), e.Version+e.Role, state, e.Error)
			}
		})
	})
}

func (a *app) orderList(ctx context.Context, c *cli.Command) error {
	api, err := operatorClient(c)
	if err != nil {
		return err
	}
	var body admin.OrdersBody
	if _, err := api.call(ctx, request{method: http.MethodGet, path: admin.Prefix + "/orders", into: &body}); err != nil {
		return err
	}
	return a.printOrders(c, body.Data)
}

func (a *app) orderSet(ctx context.Context, c *cli.Command) error {
	server, err := oneArg(c, "server")
	if err != nil {
		return err
	}
	order := orders.Order{
		Server: server, Kind: coreorders.Kind(c.String("kind")), Model: c.String("model"),
		Adapter: c.String("adapter"), Version: c.String("version"), Role: c.String("role"),
	}
	if err := order.Validate(); err != nil {
		return withCode(ExitInvalid, err)
	}
	api, err := operatorClient(c)
	if err != nil {
		return err
	}
	var entry orders.Entry
	if _, err := api.call(ctx, request{method: http.MethodPost, path: admin.Prefix + "/orders", body: order, into: &entry}); err != nil {
		return err
	}
	return a.printOrders(c, []orders.Entry{entry})
}

func (a *app) orderRemove(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return usageError("%s: give a server and a slot, as order list shows them", c.FullName())
	}
	api, err := operatorClient(c)
	if err != nil {
		return err
	}
	path := objectPath("orders", c.Args().Get(0)) + "/" + url.PathEscape(c.Args().Get(1))
	if _, err := api.call(ctx, request{method: http.MethodDelete, path: path}); err != nil {
		return err
	}
	return a.print(c, struct{}{}, func(w io.Writer) { fmt.Fprintln(w, "removed") })
}
