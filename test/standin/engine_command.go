package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"ragwortstep/test/standin/engine"
)

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "OpenAI-style model server with continuous batching",
		Flags: []cli.Flag{
			listenFlag(), controlFlag(), seedFlag(),
			&cli.StringFlag{Name: "name", Value: "engine", Usage: "name in the ledger"},
			&cli.StringSliceFlag{Name: "model", Value: []string{"assistant-lm"}, Usage: "loaded models"},
			&cli.IntFlag{Name: "slots", Value: 32, Usage: "largest batch, in sequences"},
			&cli.IntFlag{Name: "knee", Value: 16, Usage: "sequences up to which a step takes the same time"},
			&cli.Float64Flag{Name: "growth", Value: 1.3, Usage: "exponent of the step time beyond the knee"},
			&cli.Float64Flag{Name: "speed", Value: 1, Usage: "divides all times"},
			&cli.DurationFlag{Name: "step", Value: 10 * time.Millisecond, Usage: "time of one decoding step"},
			&cli.DurationFlag{Name: "prefill", Value: 40 * time.Microsecond, Usage: "time per prompt token"},
			&cli.IntFlag{Name: "prefill-chunk", Value: 512, Usage: "prompt tokens processed in one step"},
			&cli.IntFlag{Name: "kv-tokens", Value: 200000, Usage: "KV memory, in tokens"},
			&cli.IntFlag{Name: "cache-tokens", Value: 32768, Usage: "prefix cache, in tokens"},
			&cli.DurationFlag{Name: "load-lag", Value: 250 * time.Millisecond, Usage: "between measurements of the load report"},
			&cli.DurationFlag{Name: "cache-lag", Value: 500 * time.Millisecond, Usage: "before a cache event is visible"},
			&cli.Float64Flag{Name: "cache-loss", Value: 0.02, Usage: "probability that a cache event is lost"},
			&cli.BoolFlag{Name: "fencing", Usage: "refuse orders with an old fencing number"},
			&cli.DurationFlag{Name: "order-delay", Value: 200 * time.Millisecond, Usage: "time that an order takes"},
			&cli.BoolFlag{Name: "crash-exit", Usage: "a crash ends the process instead of refusing connections for a while"},
			&cli.IntFlag{Name: "ledger-max", Value: 400000, Usage: "requests kept in the ledger"},
			&cli.BoolFlag{Name: "ledger-headers", Value: true, Usage: "keep the headers of each request"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return engine.Run(ctx, c.String("listen"), c.String("control"), engineOptions(c))
		},
	}
}

func engineOptions(c *cli.Command) engine.Options {
	return engine.Options{
		Name:               c.String("name"),
		Models:             c.StringSlice("model"),
		Slots:              c.Int("slots"),
		Knee:               c.Int("knee"),
		Growth:             c.Float64("growth"),
		Speed:              c.Float64("speed"),
		StepTime:           c.Duration("step"),
		PrefillPerToken:    c.Duration("prefill"),
		PrefillChunk:       c.Int("prefill-chunk"),
		KVTokens:           c.Int("kv-tokens"),
		CacheTokens:        c.Int("cache-tokens"),
		LoadInterval:       c.Duration("load-lag"),
		CacheEventDelay:    c.Duration("cache-lag"),
		CacheEventLossRate: c.Float64("cache-loss"),
		Fencing:            c.Bool("fencing"),
		OrderDelay:         c.Duration("order-delay"),
		ExitOnCrash:        c.Bool("crash-exit"),
		MaxLedgerRecords:   c.Int("ledger-max"),
		LedgerHeaders:      c.Bool("ledger-headers"),
		Seed:               c.Uint64("seed"),
	}
}
