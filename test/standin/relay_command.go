package main

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"ragwortstep/test/standin/relay"
)

func relayCommand() *cli.Command {
	return &cli.Command{
		Name:  "relay",
		Usage: "TCP relay with a delay and faults per link",
		Flags: []cli.Flag{
			controlFlag(),
			&cli.StringSliceFlag{Name: "link", Usage: "name=listen=target=delay, for example a=127.0.0.1:1=127.0.0.1:2=1.5ms; more links by POST /links"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			var specs []relay.Spec
			for _, text := range c.StringSlice("link") {
				spec, err := parseLink(text)
				if err != nil {
					return err
				}
				specs = append(specs, spec)
			}
			return relay.Run(ctx, c.String("control"), specs)
		},
	}
}

func parseLink(text string) (relay.Spec, error) {
	parts := strings.Split(text, "=")
	if len(parts) != 4 {
		return relay.Spec{}, errors.Newf("link %q: want name=listen=target=delay", text)
	}
	delay, err := time.ParseDuration(parts[3])
	if err != nil || delay < 0 {
		return relay.Spec{}, errors.Newf("link %q: delay %q is not a duration", text, parts[3])
	}
	return relay.Spec{Name: parts[0], Listen: parts[1], Target: parts[2], DelayUS: delay.Microseconds()}, nil
}
