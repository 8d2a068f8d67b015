package events

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// timeFormat shows adjusted times in milliseconds, because clock offsets are
// not estimated more precisely.
const timeFormat = "2006-01-02 15:04:05.000"

// WriteText writes one line per event.
func (t Timeline) WriteText(w io.Writer) error {
	width := 0
	for _, lane := range t.Lanes {
		width = max(width, len(lane.Host))
	}
	for _, e := range t.Events {
		_, err := fmt.Fprintf(w, "%s  %-*s  %s%s\n", e.Adjusted.UTC().Format(timeFormat), width, e.Host, e.Kind, e.attributes())
		if err != nil {
			return errors.Wrap(err, "write timeline")
		}
	}
	return nil
}

func (e TimelineEvent) attributes() string {
	var b strings.Builder
	for _, a := range []struct{ name, value string }{
		{"workspace", e.Workspace}, {"job", e.Job}, {"server", e.Server}, {"peer", e.Peer}, {"detail", e.Detail},
	} {
		if a.value != "" {
			fmt.Fprintf(&b, "  %s=%s", a.name, quoteControl(a.value))
		}
	}
	if e.CauseHost != "" {
		fmt.Fprintf(&b, "  after=%s", e.CauseHost)
	}
	return b.String()
}

// quoteControl quotes values with control characters, which could break the
// line or contain terminal escape codes, and values with quotation marks.
func quoteControl(value string) string {
	if strings.ContainsFunc(value, func(r rune) bool { return r < ' ' || r == 0x7f || r == '"' }) {
		return fmt.Sprintf("%q", value)
	}
	return value
}

// WriteJSON writes the timeline as one JSON object.
func (t Timeline) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return errors.Wrap(enc.Encode(t), "write timeline")
}

//go:embed timeline.html
var pageText string

var page = template.Must(template.New("timeline").Parse(pageText))

// WriteHTML writes a self-contained page that loads no other file.
func (t Timeline) WriteHTML(w io.Writer) error {
	return errors.Wrap(page.Execute(w, t), "write timeline page")
}
