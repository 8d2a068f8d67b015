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

const maxLogLineBytes = 1 << 20

func (a *app) explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "print the log lines of one request, item or job from the hosts' logs", ArgsUsage: "ID",
		Description: "Reads decision logs from the files of --log, or from standard input, of as many hosts as are given, " +
			"and prints the lines that name the id, ordered by time. Clocks of hosts may differ by some milliseconds.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "log", Usage: "log file; repeatable"},
			&cli.StringFlag{Name: "host", Usage: "only lines of this host"},
			&cli.DurationFlag{Name: "around", Usage: "also print state changes of the same hosts within this time before and after"},
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

// idFields are the log fields that are compared with the id.
var idFields = []string{"request", "job", "item"}

// stateEvents are the log events of a host's life cycle and of changes to its
// view of the configuration, the store, the peers and the servers.
var stateEvents = []string{
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
	found := linesAbout(lines, id, c.String("host"), c.Duration("around"))
	if len(found) == 0 {
		return withCode(ExitNotFound, errors.Newf("none of %d log lines mentions %s", len(lines), id))
	}
	return a.print(c, lineFields(found), func(w io.Writer) {
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

// decodeLog reads the lines that contain a JSON object with a time. It ignores
// other lines and any text before the object, such as a log collector's prefix.
func decodeLog(r io.Reader) ([]logLine, error) {
	var out []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLineBytes)
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

// linesAbout returns the lines that mention the id, ordered by time. With
// around > 0 it adds the state events of the same hosts from that long before
// the first of these lines to that long after the last.
func linesAbout(lines []logLine, id, host string, around time.Duration) []logLine {
	var found []logLine
	hosts := map[string]bool{}
	for _, l := range lines {
		if l.mentions(id) && (host == "" || l.host == host) {
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
		if !l.mentions(id) && hosts[l.host] && slices.Contains(stateEvents, l.event) && l.at.After(from) && l.at.Before(to) {
			found = append(found, l)
		}
	}
	slices.SortStableFunc(found, byTime)
	return found
}

func byTime(a, b logLine) int { return a.at.Compare(b.at) }

func (l logLine) mentions(id string) bool {
	return slices.ContainsFunc(idFields, func(field string) bool { return l.fields[field] == id })
}

// commonFields are left out of the list of a line's fields, because every line
// has them.
var commonFields = []string{"time", "host", "zone", "event", "level", "msg"}

// String formats a line for text output.
func (l logLine) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.at.Format("15:04:05.000"), l.host, l.event)
	if l.event == "" {
		fmt.Fprintf(&b, "%v", l.fields["msg"])
	}
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		if !slices.Contains(commonFields, name) {
			fmt.Fprintf(&b, " %s=%v", name, l.fields[name])
		}
	}
	return b.String()
}

func lineFields(lines []logLine) []map[string]any {
	out := make([]map[string]any, len(lines))
	for i, l := range lines {
		out[i] = l.fields
	}
	return out
}
