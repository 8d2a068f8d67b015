package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"ragwortstep/internal/core/hedge"
	"ragwortstep/internal/core/routing"
)

// PlatformRunner runs processes on a shared platform that provides its own
// settings file. platform.Program implements it.
type PlatformRunner interface {
	// Serve runs an entry host until ctx is cancelled. It serves no metrics if
	// metricsPort is 0. secondAttempts limits second attempts to a part of the
	// requests of each route.
	Serve(ctx context.Context, settings string, metricsPort int, level string, secondAttempts float64) error
	// Check reads a settings file and returns the settings that an entry host
	// would use.
	Check(settings string) (any, error)
	// Config reads a file with a configuration and decodes it as hosts do.
	Config(path string) (*routing.Snapshot, error)
	// SettingsPath returns the settings file that the platform designates.
	SettingsPath() string
}

func (a *app) platformCommand() *cli.Command {
	settings := func() cli.Flag {
		return &cli.StringFlag{Name: "settings", Usage: "settings file of the platform; by default the one it names"}
	}
	return &cli.Command{
		Name:  "platform",
		Usage: "run on a shared platform that provides settings, store and load balancer",
		Commands: []*cli.Command{
			{
				Name: "serve", Usage: "run an entry host", Action: a.platformServe,
				Flags: []cli.Flag{
					settings(),
					&cli.IntFlag{Name: "metrics-port", Usage: "port of the metrics, 0 for none"},
					&cli.StringFlag{Name: "log-level", Usage: "debug, info, warn or error", Value: "info"},
					&cli.FloatFlag{
						Name: "second-attempts", Validator: validSecondAttempts,
						Usage: fmt.Sprintf("limit of second attempts at slow servers as a part of each route's requests, 0 to %g; 0 for none", hedge.MaxLimit),
					},
				},
			},
			{Name: "storage", Usage: "run the placeholder process for a machine with a disk; it stores nothing", Action: a.platformStorage},
			{Name: "check-settings", Usage: "check a settings file without starting", ArgsUsage: "FILE", Action: a.platformCheck},
			{
				Name: "check-config", Usage: "check a configuration before it is written to the store", ArgsUsage: "FILE", Action: a.platformCheckConfig,
				Description: "Decodes the file as hosts do and prints what has no effect or contradicts itself. Exits with 3 after an error, " +
					"with 4 if the version is not above that of --against, and with 0 otherwise, also after warnings. --output json prints the same as JSON.",
				Flags: []cli.Flag{&cli.StringFlag{Name: "against", Usage: "file with the configuration in force; what changes is printed too"}},
			},
		},
	}
}

func validSecondAttempts(limit float64) error {
	if !(limit >= 0 && limit <= hedge.MaxLimit) {
		return errors.Newf("second attempts must be a part from 0 to %g, not %g", hedge.MaxLimit, limit)
	}
	return nil
}

var errNoPlatform = errors.New("this build does not support a platform")

func (a *app) platformServe(ctx context.Context, c *cli.Command) error {
	if err := noArgs(c); err != nil {
		return err
	}
	if a.opts.Platform == nil {
		return errNoPlatform
	}
	path := c.String("settings")
	if path == "" {
		path = a.opts.Platform.SettingsPath()
	}
	if _, err := a.opts.Platform.Check(path); err != nil {
		return withCode(ExitUsage, err)
	}
	ctx, stop := untilStopped(ctx)
	defer stop()
	return a.opts.Platform.Serve(ctx, path, c.Int("metrics-port"), c.String("log-level"), c.Float("second-attempts"))
}

// platformStorage does nothing until SIGINT or SIGTERM. The platform requires a
// role on machines with disks, but all durable data is in the platform's store.
func (a *app) platformStorage(ctx context.Context, c *cli.Command) error {
	if err := noArgs(c); err != nil {
		return err
	}
	ctx, stop := untilStopped(ctx)
	defer stop()
	<-ctx.Done()
	return nil
}

func (a *app) platformCheck(_ context.Context, c *cli.Command) error {
	path, err := oneArg(c, "settings file")
	if err != nil {
		return err
	}
	if a.opts.Platform == nil {
		return errNoPlatform
	}
	used, err := a.opts.Platform.Check(path)
	if err != nil {
		return withCode(ExitUsage, err)
	}
	return a.print(c, used, func(w io.Writer) { fmt.Fprintf(w, "%s: ok\n%+v\n", path, used) })
}

// configReview is the output of check-config.
type configReview struct {
	Version  int64             `json:"version"`
	Against  int64             `json:"against,omitempty"`
	Findings []routing.Finding `json:"findings"`
	Changes  []routing.Change  `json:"changes"`
}

func (a *app) platformCheckConfig(_ context.Context, c *cli.Command) error {
	path, err := oneArg(c, "configuration file")
	if err != nil {
		return err
	}
	if a.opts.Platform == nil {
		return errNoPlatform
	}
	next, err := a.opts.Platform.Config(path)
	if err != nil {
		return withCode(ExitInvalid, err)
	}
	review := configReview{Version: next.Version, Findings: routing.Check(next), Changes: []routing.Change{}}
	if against := c.String("against"); against != "" {
		current, err := a.opts.Platform.Config(against)
		if err != nil {
			return withCode(ExitInvalid, err)
		}
		review.Against, review.Changes = current.Version, append(review.Changes, routing.Diff(current, next)...)
	}
	if err := a.print(c, review, func(w io.Writer) { printReview(w, path, review) }); err != nil {
		return err
	}
	faults := 0
	for _, f := range review.Findings {
		if !f.Warning {
			faults++
		}
	}
	if faults > 0 {
		return withCode(ExitInvalid, errors.Newf("%s: %d errors", path, faults))
	}
	if c.String("against") != "" && review.Version <= review.Against {
		return withCode(ExitConflict, errors.Newf("%s: version %d is not above version %d", path, review.Version, review.Against))
	}
	return nil
}

func printReview(w io.Writer, path string, review configReview) {
	fmt.Fprintf(w, "%s: version %d\n", path, review.Version)
	for _, f := range review.Findings {
		fmt.Fprintln(w, f)
	}
	for _, c := range review.Changes {
		fmt.Fprintln(w, c)
	}
}
