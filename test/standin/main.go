// Command standin runs stand-ins for external systems in tests: platform, engine,
// service and relay.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:     "standin",
		Usage:    "stand-ins of outside systems, each one process on a loopback address",
		Commands: []*cli.Command{platformCommand(), engineCommand(), serviceCommand(), relayCommand()},
	}
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Required: true, Usage: "loopback IP and port"}
}

func controlFlag() cli.Flag {
	return &cli.StringFlag{Name: "control", Required: true, Usage: "loopback IP and port of fault switches and ledger"}
}

func seedFlag() cli.Flag {
	return &cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random faults"}
}
