package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"ragwortstep/internal/admin"
	"ragwortstep/internal/core/config"
	"ragwortstep/internal/settings"
)

func (a *app) configCommand() *cli.Command {
	modeFlags := func(more ...cli.Flag) []cli.Flag {
		return append(more,
			&cli.StringFlag{Name: "mode", Usage: "merge keeps workspaces that the table lacks, replace removes them", Value: string(config.ModeMerge), Validator: validMode},
			&cli.StringFlag{Name: "base", Usage: "export that the table was edited from; only rows that differ from it are applied, unless somebody else changed them"},
			&cli.BoolFlag{Name: "revoke-keys", Usage: "with --mode replace, revoke the keys of removed workspaces"},
		)
	}
	return &cli.Command{
		Name:  "config",
		Usage: "check, compare, change and export the configuration",
		Commands: []*cli.Command{
			{
				Name: "check", Usage: "check settings and a table without a network",
				Flags:  append(settingsFlags(), &cli.StringFlag{Name: "table", Usage: "table of workspaces (CSV)"}),
				Action: a.configCheck, DisableSliceFlagSeparator: true,
			},
			{Name: "diff", ArgsUsage: "TABLE.csv", Usage: "show what apply would change", Flags: modeFlags(), Action: a.configDiff},
			{Name: "apply", ArgsUsage: "TABLE.csv", Usage: "apply a table of workspaces", Flags: writeFlags(modeFlags()...), Action: a.configApply},
			{Name: "export", Usage: "print the table (CSV), or with --all the whole configuration (JSON)", Flags: []cli.Flag{&cli.BoolFlag{Name: "all"}}, Action: a.configExport},
			{Name: "history", Usage: "list the latest changes", Flags: []cli.Flag{&cli.IntFlag{Name: "limit", Value: 20}}, Action: a.configHistory},
			{Name: "reference", Usage: "print the reference of all settings (Markdown)", Action: func(context.Context, *cli.Command) error {
				_, err := io.WriteString(a.out, settings.Reference())
				return err
			}},
		},
	}
}

func validMode(value string) error {
	if value != string(config.ModeMerge) && value != string(config.ModeReplace) {
		return errors.Newf("mode must be merge or replace, not %q", value)
	}
	return nil
}

// configCheck checks the settings, the table, or both. It skips the settings
// only if --table is given without --settings.
func (a *app) configCheck(_ context.Context, c *cli.Command) error {
	if err := noArgs(c); err != nil {
		return err
	}
	var checked []string
	if c.String("table") == "" || c.IsSet("settings") {
		if _, err := loadSettings(c); err != nil {
			return err
		}
		checked = append(checked, c.String("settings"))
	}
	if name := c.String("table"); name != "" {
		if _, err := readTable(name); err != nil {
			return err
		}
		checked = append(checked, name)
	}
	return a.print(c, map[string][]string{"valid": checked}, func(w io.Writer) {
		for _, name := range checked {
			fmt.Fprintf(w, "%s: valid\n", name)
		}
	})
}

func (a *app) configExport(ctx context.Context, c *cli.Command) error {
	api, err := operatorClient(c)
	if err != nil {
		return err
	}
	path := admin.Prefix + "/table"
	if c.Bool("all") {
		path = admin.Prefix + "/config"
	}
	resp, err := api.call(ctx, request{method: http.MethodGet, path: path})
	if err != nil {
		return err
	}
	if _, err := a.out.Write(resp.Body()); err != nil {
		return errors.Wrap(err, "write output")
	}
	revision, err := responseRevision(resp)
	if err == nil {
		fmt.Fprintf(a.err, "revision %d; apply edits with --revision %d\n", revision, revision)
	}
	return err
}

func (a *app) configHistory(ctx context.Context, c *cli.Command) error {
	api, err := operatorClient(c)
	if err != nil {
		return err
	}
	var history admin.HistoryBody
	query := url.Values{"limit": {strconv.Itoa(c.Int("limit"))}}
	if _, err := api.call(ctx, request{method: http.MethodGet, path: admin.Prefix + "/history", query: query, into: &history}); err != nil {
		return err
	}
	return a.print(c, history.Data, func(w io.Writer) {
		printTable(w, "REVISION\tTIME\tAUTHOR\tNOTE\tCHANGE", func(line func(...any)) {
			for _, h := range history.Data {
				line(h.Revision, formatUnixTime(h.Unix), h.Author, h.Note, h.Summary)
			}
		})
	})
}
