// Package cli implements the command line of ragwortstep: commands that run a
// host, check files offline, and call the operators' and callers' APIs.
package cli

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"ragwortstep/internal/settings"
)

// Exit codes of the program.
const (
	ExitOK           = 0
	ExitFailure      = 1 // any other error
	ExitUsage        = 2 // unknown command, flag or argument
	ExitInvalid      = 3 // settings, table or values are not valid
	ExitConflict     = 4 // concurrent change, or conflict with the configuration
	ExitNotFound     = 5
	ExitUnauthorized = 6
	ExitUnavailable  = 7 // host or platform does not respond
	ExitNotInForce   = 8 // written, but not in force everywhere within --wait
	ExitJobFailed    = 9 // a watched job failed or was cancelled
)

// exitMeanings describes the exit codes in the help. docs/runbooks.md lists
// the same texts, which TestDocumentedExitCodes checks.
var exitMeanings = []struct {
	code    int
	meaning string
}{
	{ExitOK, "success"},
	{ExitFailure, "other error"},
	{ExitUsage, "wrong usage: unknown command, flag or argument"},
	{ExitInvalid, "settings, table or values refused"},
	{ExitConflict, "changed by somebody else in the meantime, or in conflict with the configuration"},
	{ExitNotFound, "not found"},
	{ExitUnauthorized, "key missing or refused"},
	{ExitUnavailable, "host or platform does not answer"},
	{ExitNotInForce, "written, but not in force on every live host within --wait"},
	{ExitJobFailed, "a watched job failed or was cancelled"},
}

func exitCodeHelp() string {
	var b strings.Builder
	b.WriteString("Exit codes:")
	for _, e := range exitMeanings {
		fmt.Fprintf(&b, "\n  %d  %s", e.code, e.meaning)
	}
	return b.String()
}

// Options holds what the commands need from the main program. Serve is
// required for the command serve; the other fields are optional.
type Options struct {
	// Serve runs a host until ctx is cancelled by SIGINT or SIGTERM, and returns
	// after a graceful shutdown.
	Serve    func(ctx context.Context, s *settings.Settings, logger *slog.Logger) error
	Platform PlatformRunner // with nil, platform serve and check-settings fail
	Version  string         // "dev" when empty
	Stdout   io.Writer      // os.Stdout when nil
	Stderr   io.Writer      // os.Stderr when nil
}

// exitError attaches an exit code to an error.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func withCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{code: code, err: err}
}

func usageError(format string, args ...any) error {
	return withCode(ExitUsage, errors.Newf(format, args...))
}

// app holds what all commands share: the options and the writers for standard
// output and standard error.
type app struct {
	opts Options
	out  io.Writer
	err  io.Writer
}

// Run executes the command line args, where args[0] is the program's name, and
// returns the exit code. Errors are printed to opts.Stderr.
func Run(ctx context.Context, args []string, opts Options) int {
	a := &app{opts: opts, out: opts.Stdout, err: opts.Stderr}
	if a.out == nil {
		a.out = os.Stdout
	}
	if a.err == nil {
		a.err = os.Stderr
	}
	if a.opts.Version == "" {
		a.opts.Version = "dev"
	}
	err := a.root().Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(a.err, "ragwortstep:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return ExitFailure
}

func (a *app) root() *cli.Command {
	root := &cli.Command{
		Name:           "ragwortstep",
		Usage:          "online and batch inference on one shared fleet",
		Description:    exitCodeHelp(),
		Writer:         a.out,
		ErrWriter:      a.err,
		HideVersion:    true,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Flags:          globalFlags(),
		Commands: []*cli.Command{
			a.serveCommand(), a.configCommand(), a.workspaceCommand(), a.keyCommand(), a.routeCommand(),
			a.serverCommand(), a.orderCommand(), a.jobCommand(), a.statusCommand(), a.timelineCommand(),
			a.explainCommand(), a.platformCommand(), a.versionCommand(),
		},
	}
	a.setUsageHandlers(root, true)
	return root
}

// setUsageHandlers makes usage errors of c and all its subcommands exit with
// ExitUsage. The action of a command that has subcommands runs only if the
// arguments name none of them.
func (a *app) setUsageHandlers(c *cli.Command, isRoot bool) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return withCode(ExitUsage, err)
	}
	if len(c.Commands) > 0 && c.Action == nil {
		c.Action = unknownCommand
	}
	for _, sub := range c.Commands {
		a.setUsageHandlers(sub, false)
	}
}

func unknownCommand(_ context.Context, c *cli.Command) error {
	if name := c.Args().First(); name != "" {
		return usageError("%s: no command %q; see %s --help", c.FullName(), name, c.FullName())
	}
	_ = cli.ShowSubcommandHelp(c)
	return usageError("%s: name a command", c.FullName())
}

func globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "endpoint", Usage: "operators' address of any host, for example http://10.0.0.1:7003", Sources: cli.EnvVars("RAGWORTSTEP_ENDPOINT")},
		&cli.StringFlag{Name: "key", Usage: "operator key; the variable keeps it out of the process list", Sources: cli.EnvVars("RAGWORTSTEP_OPERATOR_KEY")},
		&cli.StringFlag{Name: "api-endpoint", Usage: "callers' address, for job commands", Sources: cli.EnvVars("RAGWORTSTEP_API_ENDPOINT")},
		&cli.StringFlag{Name: "api-key", Usage: "caller's key, for job commands", Sources: cli.EnvVars("RAGWORTSTEP_API_KEY")},
		&cli.StringFlag{Name: "output", Usage: "text or json", Value: "text", Sources: cli.EnvVars("RAGWORTSTEP_OUTPUT"), Validator: validOutput},
		&cli.DurationFlag{Name: "timeout", Usage: "longest wait for a response", Value: defaultTimeout},
	}
}

func validOutput(value string) error {
	if value != "text" && value != "json" {
		return errors.Newf("output must be text or json, not %q", value)
	}
	return nil
}

func (a *app) versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, c *cli.Command) error {
			return a.print(c, map[string]string{"version": a.opts.Version}, func(w io.Writer) {
				fmt.Fprintln(w, "ragwortstep", a.opts.Version)
			})
		},
	}
}

// oneArg returns the only argument of a command; any other number of arguments
// is a usage error.
func oneArg(c *cli.Command, what string) (string, error) {
	if c.Args().Len() != 1 {
		return "", usageError("%s: give exactly one %s", c.FullName(), what)
	}
	return c.Args().First(), nil
}

func noArgs(c *cli.Command) error {
	if c.Args().Len() > 0 {
		return usageError("%s: takes no argument, got %q", c.FullName(), c.Args().First())
	}
	return nil
}
