package cli

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// maxLogLine bounds one line of a log.
const maxLogLine = 1 << 20

func (a *app) explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "print one request's, item's or job's story from the hosts' logs", ArgsUsage: "ID",
		Description: "Reads decision logs from the files of --log, or from standard input, of as many hosts as are given, " +
			"and prints the lines that name the id, in the order of their times. Clocks of hosts may differ by some milliseconds.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "log", Usage: "log file; repeatable"},
			&cli.StringFlag{Name: "host", Usage: "only lines of this host"},
			&cli.DurationFlag{Name: "around", Usage: "also print what the same hosts came to believe so long before and after"},
		},
		Action: a.explain,
	}
}

// logLine is one decoded line of a decision log.
type logLine struct {
	at     time.Time
	host   string
	event  string
	fields map[string]any
}

// idFields are the fields that may hold the id.
var idFields = []string{"request", "job", "item"}

// beliefs are events that change what a host believes.
var beliefs = []string{
	"started", "stopped", "draining", "reloaded", "config_adopted", "config_refused", "store_lost", "store_regained",
	"history_gone", "peer_alive", "servers_changed", "server_refused", "quarantined", "registered",
}

func (a *app) explain(_ context.Context, c *cli.Command) error {
	id, err := oneArg(c, "id")
	if err != nil {
		return err
	}
	lines, err := readLogs(c.StringSlice("log"))
	if err != nil {
		return err
	}
	found := story(lines, id, c.String("host"), c.Duration("around"))
	if len(found) == 0 {
		return withCode(ExitNotFound, errors.Newf("no line of %d names %s", len(lines), id))
	}
	return a.print(c, fieldsOf(found), func(w io.Writer) {
		for _, l := range found {
			fmt.Fprintln(w, l)
		}
	})
}

func readLogs(names []string) ([]logLine, error) {
	if len(names) == 0 {
		return decodeLog(os.Stdin)
	}
	var out []logLine
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "open log")
		}
		lines, err := decodeLog(f)
		_ = f.Close() // only read
		if err != nil {
			return nil, errors.Wrapf(err, "read log %s", name)
		}
		out = append(out, lines...)
	}
	return out, nil
}

// decodeLog reads the lines that hold a JSON object. What stands before the
// object, such as a collector's prefix, is ignored; so are other lines.
func decodeLog(r io.Reader) ([]logLine, error) {
	var out []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		_, text, ok := strings.Cut(scanner.Text(), "{")
		if !ok {
			continue
		}
		fields := map[string]any{}
		if json.Unmarshal([]byte("{"+text), &fields) != nil {
			continue
		}
		l := logLine{fields: fields}
		l.host, _ = fields["host"].(string)
		l.event, _ = fields["event"].(string)
		at, _ := fields["time"].(string)
		var err error
		if l.at, err = time.Parse(time.RFC3339Nano, at); err != nil {
			continue
		}
		out = append(out, l)
	}
	return out, scanner.Err()
}

// story returns the lines that name the id and, with around, what the hosts
// that wrote them came to believe near them, in order of time.
func story(lines []logLine, id, host string, around time.Duration) []logLine {
	var found []logLine
	hosts := map[string]bool{}
	for _, l := range lines {
		if l.names(id) && (host == "" || l.host == host) {
			found = append(found, l)
			hosts[l.host] = true
		}
	}
	slices.SortStableFunc(found, byTime)
	if len(found) == 0 || around <= 0 {
		return found
	}
	from, to := found[0].at.Add(-around), found[len(found)-1].at.Add(around)
	for _, l := range lines {
		if !l.names(id) && hosts[l.host] && slices.Contains(beliefs, l.event) && l.at.After(from) && l.at.Before(to) {
			found = append(found, l)
		}
	}
	slices.SortStableFunc(found, byTime)
	return found
}

func byTime(a, b logLine) int { return a.at.Compare(b.at) }

func (l logLine) names(id string) bool {
	return slices.ContainsFunc(idFields, func(field string) bool { return l.fields[field] == id })
}

// hidden are fields that every line has.
var hidden = []string{"time", "host", "zone", "event", "level", "msg"}

// String formats a line for people.
func (l logLine) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.at.Format("15:04:05.000"), l.host, l.event)
	if l.event == "" {
		fmt.Fprintf(&b, "%v", l.fields["msg"])
	}
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		if !slices.Contains(hidden, name) {
			fmt.Fprintf(&b, " %s=%v", name, l.fields[name])
		}
	}
	return b.String()
}

func fieldsOf(lines []logLine) []map[string]any {
	out := make([]map[string]any, len(lines))
	for i, l := range lines {
		out[i] = l.fields
	}
	return out
}
