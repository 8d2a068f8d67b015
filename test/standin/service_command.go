package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"ragwortstep/test/standin/service"
)

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "plain service that echoes any call and keeps a ledger of calls that ran",
		Flags: []cli.Flag{
			listenFlag(), controlFlag(), seedFlag(),
			&cli.StringFlag{Name: "name", Value: "service", Usage: "name in the ledger and in answers"},
			&cli.IntFlag{Name: "slots", Value: 32, Usage: "calls that run at once"},
			&cli.DurationFlag{Name: "work", Value: 5 * time.Millisecond, Usage: "time that a call takes"},
			&cli.Float64Flag{Name: "speed", Value: 1, Usage: "divides the time that a call takes"},
			&cli.DurationFlag{Name: "load-lag", Value: 250 * time.Millisecond, Usage: "between measurements of the load report"},
			&cli.IntFlag{Name: "ledger-max", Value: 400000, Usage: "calls kept in the ledger"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return service.Run(ctx, c.String("listen"), c.String("control"), service.Options{
				Name:           c.String("name"),
				Slots:          c.Int("slots"),
				CallDuration:   c.Duration("work"),
				Speed:          c.Float64("speed"),
				LoadInterval:   c.Duration("load-lag"),
				MaxLedgerCalls: c.Int("ledger-max"),
				Seed:           c.Uint64("seed"),
			})
		},
	}
}
