package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"ragwortstep/internal/admin"
	"ragwortstep/internal/events"
)

func (a *app) timelineCommand() *cli.Command {
	return &cli.Command{
		Name: "timeline", Usage: "merge the state changes of all hosts into one timeline",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "host-endpoint", Usage: "operators' address of a host; repeatable; default: all hosts listed by --endpoint"},
			&cli.StringSliceFlag{Name: "folder", Usage: "folder of event files instead of, or besides, hosts; repeatable"},
			&cli.StringFlag{Name: "format", Usage: "text, json or html", Value: "text", Validator: validFormat},
			&cli.StringFlag{Name: "file", Usage: "write to this file instead of standard output"},
			&cli.StringFlag{Name: "host", Usage: "only events of or about this host"},
			&cli.StringFlag{Name: "job"},
			&cli.StringFlag{Name: "workspace"},
			&cli.StringFlag{Name: "server"},
			&cli.StringFlag{Name: "kind", Usage: "kind or pattern such as config.*"},
			&cli.StringFlag{Name: "from", Usage: "time (RFC 3339) or duration before now, for example 10m"},
			&cli.StringFlag{Name: "to", Usage: "time (RFC 3339) or duration before now"},
		},
		Action: a.timeline,
	}
}

func validFormat(value string) error {
	switch value {
	case "text", "json", "html":
		return nil
	default:
		return errors.Newf("format must be text, json or html, not %q", value)
	}
}

func (a *app) timeline(ctx context.Context, c *cli.Command) error {
	if err := noArgs(c); err != nil {
		return err
	}
	filter, err := timelineFilter(c)
	if err != nil {
		return err
	}
	all, err := a.collectEvents(ctx, c)
	if err != nil {
		return err
	}
	// Merge estimates clock offsets from all events, so filter afterwards.
	return a.writeTimeline(c, events.Merge(all).Select(filter))
}

func timelineFilter(c *cli.Command) (events.Filter, error) {
	f := events.Filter{
		Host: c.String("host"), Job: c.String("job"), Workspace: c.String("workspace"), Server: c.String("server"), Kind: c.String("kind"),
	}
	now := time.Now()
	var err error
	if f.From, err = events.ParseTime(c.String("from"), now); err != nil {
		return f, withCode(ExitUsage, errors.Wrap(err, "--from"))
	}
	f.To, err = events.ParseTime(c.String("to"), now)
	return f, withCode(ExitUsage, errors.Wrap(err, "--to"))
}

func (a *app) writeTimeline(c *cli.Command, t events.Timeline) error {
	w := a.out
	if name := c.String("file"); name != "" {
		file, err := os.Create(name)
		if err != nil {
			return errors.Wrap(err, "create timeline file")
		}
		defer file.Close()
		w = file
	}
	format := c.String("format")
	if c.String("output") == "json" && !c.IsSet("format") {
		format = "json"
	}
	return map[string]func(io.Writer) error{"text": t.WriteText, "json": t.WriteJSON, "html": t.WriteHTML}[format](w)
}

// collectEvents reads the events of folders and hosts. It reports hosts that
// fail to respond on stderr, and returns an error only if none responds.
func (a *app) collectEvents(ctx context.Context, c *cli.Command) ([]events.Event, error) {
	var all []events.Event
	for _, folder := range c.StringSlice("folder") {
		found, err := events.ReadFolder(folder)
		if err != nil {
			return nil, err
		}
		all = append(all, found...)
	}
	if len(c.StringSlice("folder")) > 0 && len(c.StringSlice("host-endpoint")) == 0 {
		return all, nil
	}
	endpoints, err := a.hostEndpoints(ctx, c)
	if err != nil {
		return nil, err
	}
	responded := 0
	var lastErr error
	for _, endpoint := range endpoints {
		found, err := readHostEvents(ctx, c, endpoint)
		if err != nil {
			fmt.Fprintln(a.err, "ragwortstep: events missing:", err)
			lastErr = err
			continue
		}
		responded++
		all = append(all, found...)
	}
	if responded == 0 {
		return nil, errors.Wrap(lastErr, "no host answered")
	}
	return all, nil
}

// hostEndpoints returns the values of --host-endpoint or, without any, the
// operators' addresses of all hosts in the status of the host at --endpoint.
func (a *app) hostEndpoints(ctx context.Context, c *cli.Command) ([]string, error) {
	if named := c.StringSlice("host-endpoint"); len(named) > 0 {
		return named, nil
	}
	api, err := operatorClient(c)
	if err != nil {
		return nil, err
	}
	var status admin.StatusBody
	if _, err := api.call(ctx, request{method: http.MethodGet, path: admin.Prefix + "/status", into: &status}); err != nil {
		return nil, err
	}
	scheme, _, _ := strings.Cut(api.endpoint, "://")
	var found []string
	for _, h := range status.Hosts {
		if h.AdminAddress != "" {
			found = append(found, scheme+"://"+h.AdminAddress)
		}
	}
	if len(found) == 0 {
		found = []string{api.endpoint}
	}
	sort.Strings(found)
	return found, nil
}

// readHostEvents returns all events that the host still retains.
func readHostEvents(ctx context.Context, c *cli.Command, endpoint string) ([]events.Event, error) {
	if c.String("key") == "" {
		return nil, usageError("set --key or RAGWORTSTEP_OPERATOR_KEY")
	}
	api, err := newClient(endpoint, c.String("key"), c.Duration("timeout"))
	if err != nil {
		return nil, err
	}
	var out []events.Event
	for after := uint64(0); ; {
		var page admin.EventsBody
		query := url.Values{"after": {strconv.FormatUint(after, 10)}}
		if _, err := api.call(ctx, request{method: http.MethodGet, path: admin.Prefix + "/events", query: query, into: &page}); err != nil {
			return nil, err
		}
		out = append(out, page.Data...)
		if len(page.Data) == 0 || page.Next <= after {
			return out, nil
		}
		after = page.Next
	}
}
