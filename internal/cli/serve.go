package cli

import (
	"context"
	"io"
	"log/slog"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"ragwortstep/internal/decisionlog"
	"ragwortstep/internal/settings"
)

func settingsFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "settings", Aliases: []string{"config"}, Usage: "settings file", Value: "ragwortstep.yaml", Sources: cli.EnvVars("RAGWORTSTEP_SETTINGS")},
		&cli.StringSliceFlag{Name: "set", Usage: "override one setting, for example --set host.name=h1; repeatable"},
	}
}

// loadSettings reads the settings file and overrides given by the flags. Errors
// in them exit with ExitInvalid.
func loadSettings(c *cli.Command) (*settings.Settings, error) {
	overrides := map[string]string{}
	for _, item := range c.StringSlice("set") {
		path, value, ok := strings.Cut(item, "=")
		if !ok {
			return nil, usageError("--set %q: write field=value", item)
		}
		overrides[path] = value
	}
	s, err := settings.Load(c.String("settings"), overrides)
	return s, withCode(ExitInvalid, err)
}

func (a *app) serveCommand() *cli.Command {
	return &cli.Command{
		Name:   "serve",
		Usage:  "run a host",
		Flags:  settingsFlags(),
		Action: a.serve,
		// The value of --set may contain commas, as in a list of seeds.
		DisableSliceFlagSeparator: true,
	}
}

func (a *app) serve(ctx context.Context, c *cli.Command) error {
	if err := noArgs(c); err != nil {
		return err
	}
	s, err := loadSettings(c)
	if err != nil {
		return err
	}
	if a.opts.Serve == nil {
		return errors.New("this build does not support the command serve")
	}
	ctx, stop := untilStopped(ctx)
	defer stop()
	out := decisionlog.NewWriter(a.err)
	defer out.Close()
	return a.opts.Serve(ctx, s, newLogger(out, s))
}

// newLogger returns a logger with the format and level in the settings. Each
// log line has the host's name and zone.
func newLogger(w io.Writer, s *settings.Settings) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(s.Log.Level)) // checked by settings.Load
	opts := &slog.HandlerOptions{Level: level, ReplaceAttr: replaceErrorByMessage}
	var h slog.Handler = slog.NewJSONHandler(w, opts)
	if s.Log.Format == "text" {
		h = slog.NewTextHandler(w, opts)
	}
	return slog.New(h).With("host", s.Host.Name, "zone", s.Host.Zone)
}

// replaceErrorByMessage replaces an error value by its message. The text handler
// would format it with %+v, which prints stack traces.
func replaceErrorByMessage(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}
