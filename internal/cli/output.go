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

// print writes value as JSON with --output json, and otherwise calls text to
// write plain text.
func (a *app) print(c *cli.Command, value any, text func(io.Writer)) error {
	if c.String("output") != "json" {
		text(a.out)
		return nil
	}
	enc := json.NewEncoder(a.out)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(value), "write output")
}

// printTable writes the header and rows in aligned columns.
func printTable(w io.Writer, header string, rows func(line func(cells ...any))) {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, header)
	rows(func(cells ...any) {
		for i, cell := range cells {
			if i > 0 {
				fmt.Fprint(tw, "\t")
			}
			fmt.Fprint(tw, quoteControlChars(cell))
		}
		fmt.Fprintln(tw)
	})
	_ = tw.Flush() // the next write to w reports a closed output
}

// formatUnixTime formats Unix seconds as RFC 3339 in UTC.
func formatUnixTime(seconds int64) string {
	return time.Unix(seconds, 0).UTC().Format(time.RFC3339)
}

// quoteControlChars quotes a string that has control characters, which could
// break the table row or send terminal escape codes.
func quoteControlChars(cell any) any {
	text, ok := cell.(string)
	if ok && strings.ContainsFunc(text, unicode.IsControl) {
		return strconv.Quote(text)
	}
	return cell
}
