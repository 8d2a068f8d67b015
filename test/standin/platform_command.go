package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"ragwortstep/test/standin/control"
	"ragwortstep/test/standin/platform"
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "object API, host list, fault switches and ledger on one address",
		Flags: []cli.Flag{
			listenFlag(), seedFlag(),
			&cli.Float64Flag{Name: "writes", Value: 400, Usage: "writes/s in total"},
			&cli.Float64Flag{Name: "reads", Value: 2000, Usage: "reads/s in total"},
			&cli.Float64Flag{Name: "writes-per-client", Value: 200, Usage: "writes/s of one client"},
			&cli.Float64Flag{Name: "reads-per-client", Value: 1000, Usage: "reads/s of one client"},
			&cli.DurationFlag{Name: "hosts-lag", Value: 2 * time.Second, Usage: "delay before a change of the host list is visible"},
			&cli.StringSliceFlag{Name: "history-values", Value: []string{"config/", "fleet/", "roles/", "jobactive/"}, Usage: "prefixes whose written values the ledger keeps"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			server := platform.New(platform.Options{
				Writes:          c.Float64("writes"),
				Reads:           c.Float64("reads"),
				WritesPerClient: c.Float64("writes-per-client"),
				ReadsPerClient:  c.Float64("reads-per-client"),
				HostListDelay:   c.Duration("hosts-lag"),
				HistoryValues:   c.StringSlice("history-values"),
				Seed:            c.Uint64("seed"),
			})
			return control.ListenAndServe(ctx, c.String("listen"), server)
		},
	}
}
