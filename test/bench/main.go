// Command bench is the open-loop load tool. It starts a deployment, runs the
// measurements of section 2 of the design document and writes a JSON report.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"ragwortstep/test/harness"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:   "bench",
		Usage:  "open-loop load tool that starts a deployment of local processes",
		Flags:  append(commonFlags(), measureFlags()...),
		Action: measureAll,
		Commands: []*cli.Command{{
			Name: "control", Usage: "measure control traffic, CPU and memory of idle fleets of several sizes",
			Flags:  append(commonFlags(), &cli.StringFlag{Name: "hosts", Value: "2,4,8,16,32", Usage: "fleet sizes"}),
			Action: controlCommand,
		}},
	}
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

// measureNames lists the values that --only accepts.
var measureNames = []string{"online", "impact", "batch", "fairness", "rejections", "overhead"}

func commonFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "deployment", Value: harness.Thies, Usage: "thies or quangnam", Local: true},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the arrivals and of the stand-ins", Local: true},
		&cli.DurationFlag{Name: "segment", Value: 10 * time.Second, Usage: "length of one measured run", Local: true},
		&cli.StringFlag{Name: "out", Usage: "path of the JSON report; out/bench-<deployment>-<seed>.json when empty", Local: true},
		&cli.StringFlag{Name: "dir", Usage: "folder for settings and logs; a temporary folder when empty", Local: true},
		&cli.StringFlag{Name: "balance", Value: "two_choices", Usage: "two_choices, round_robin, least_outstanding or random", Local: true},
		&cli.StringFlag{Name: "limits", Value: "lending", Usage: "lending, static or owner", Local: true},
		&cli.BoolFlag{Name: "preempt", Value: true, Usage: "cancel batch work for online work", Local: true},
	}
}

func measureFlags() []cli.Flag {
	return []cli.Flag{
		&cli.Float64Flag{Name: "load", Value: 0.7, Usage: "online load as a fraction of the engines' capacity"},
		&cli.StringSliceFlag{Name: "only", Usage: "measures to run: " + strings.Join(measureNames, ", ") + "; all when empty"},
	}
}

func policyFromFlags(c *cli.Command) policy {
	return policy{Balance: c.String("balance"), Limits: c.String("limits"), Preempt: c.Bool("preempt")}
}

func options(c *cli.Command) (harness.Options, error) {
	layout, err := harness.LayoutOf(c.String("deployment"))
	if err != nil {
		return harness.Options{}, err
	}
	bin, err := harness.PrebuiltBinaries()
	return harness.Options{
		Layout: layout, Binaries: bin, Dir: c.String("dir"), Seed: c.Uint64("seed"),
		EditSettings: policyFromFlags(c).edit,
		EngineArgs:   []string{"--ledger-headers=false"},
	}, err
}

func controlCommand(ctx context.Context, c *cli.Command) error {
	opts, err := options(c)
	if err != nil {
		return err
	}
	var sizes []int
	for _, text := range strings.Split(c.String("hosts"), ",") {
		n, err := strconv.Atoi(strings.TrimSpace(text))
		if err != nil || n < 1 {
			return errors.Newf("invalid --hosts %q: want positive numbers separated by commas", c.String("hosts"))
		}
		sizes = append(sizes, n)
	}
	points, runErr := measureFleetSizes(ctx, opts, sizes, c.Duration("segment"), os.Stdout)
	return errors.CombineErrors(runErr, writeReport(c, "control", points))
}

// writeReport writes v as JSON to the file of --out, or to one named after
// kind, deployment and seed, and prints its path.
func writeReport(c *cli.Command, kind string, v any) error {
	path := c.String("out")
	if path == "" {
		path = filepath.Join("out", fmt.Sprintf("%s-%s-%d.json", kind, c.String("deployment"), c.Uint64("seed")))
	}
	raw, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return errors.Wrap(err, "write report")
	}
	fmt.Println("report:", path)
	return errors.Wrap(os.WriteFile(path, append(raw, '\n'), 0o644), "write report")
}

func selectedMeasures(c *cli.Command) (map[string]bool, error) {
	names := c.StringSlice("only")
	if len(names) == 0 {
		names = measureNames
	}
	out := map[string]bool{}
	for _, name := range names {
		if !slices.Contains(measureNames, name) {
			return nil, errors.Newf("unknown measure %q in --only: want one of %s", name, strings.Join(measureNames, ", "))
		}
		out[name] = true
	}
	return out, nil
}
