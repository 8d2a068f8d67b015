// Command deploy starts a complete test deployment as local processes.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"ragwortstep/test/harness"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:  "deploy",
		Usage: "run a test deployment of hosts and stand-ins on loopback addresses",
		Commands: []*cli.Command{
			{Name: "up", Usage: "start a deployment, print one line of JSON when it is ready, stop it on SIGINT or SIGTERM", Flags: flags(), Action: up},
			{Name: "demo", Usage: "start a deployment, run each kind of work once and stop it", Flags: flags(), Action: demo},
		},
	}
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "deploy:", err)
		os.Exit(1)
	}
}

func flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "deployment", Value: harness.Thies, Usage: "thies or quangnam"},
		&cli.IntFlag{Name: "hosts", Usage: "number of hosts; the deployment's own number when 0"},
		&cli.StringFlag{Name: "dir", Usage: "folder for settings and logs; a temporary folder when empty"},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the stand-ins' random faults"},
		&cli.BoolFlag{Name: "no-hosts", Usage: "start only the stand-ins, without hosts"},
	}
}

func options(c *cli.Command) (harness.Options, error) {
	layout, err := harness.LayoutOf(c.String("deployment"))
	if err != nil {
		return harness.Options{}, err
	}
	if n := c.Int("hosts"); n > 0 {
		layout.SetHosts(n)
	}
	bin, err := harness.PrebuiltBinaries()
	return harness.Options{
		Layout: layout, Binaries: bin, Dir: c.String("dir"), Seed: c.Uint64("seed"), NoHosts: c.Bool("no-hosts"),
	}, err
}
