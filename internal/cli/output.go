package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// print writes value as JSON with --output json, and otherwise calls text.
func (a *app) print(c *cli.Command, value any, text func(io.Writer)) error {
	if c.String("output") != "json" {
		text(a.out)
		return nil
	}
	enc := json.NewEncoder(a.out)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(value), "write output")
}

// table writes rows in aligned columns.
func table(w io.Writer, header string, rows func(line func(cells ...any))) {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, header)
	rows(func(cells ...any) {
		for i, cell := range cells {
			if i > 0 {
				fmt.Fprint(tw, "\t")
			}
			fmt.Fprint(tw, printable(cell))
		}
		fmt.Fprintln(tw)
	})
	_ = tw.Flush() // a closed output is seen by the next write
}

// unixTime writes Unix seconds as UTC.
func unixTime(seconds int64) string {
	return time.Unix(seconds, 0).UTC().Format(time.RFC3339)
}

// printable quotes texts that would break the line, or send terminal codes.
func printable(cell any) any {
	text, ok := cell.(string)
	if ok && strings.ContainsFunc(text, unicode.IsControl) {
		return strconv.Quote(text)
	}
	return cell
}
