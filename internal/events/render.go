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

// timeFormat shows adjusted times; clocks are not known better than this.
const timeFormat = "2006-01-02 15:04:05.000"

// WriteText writes one line per event.
func (t Timeline) WriteText(w io.Writer) error {
	width := 0
	for _, lane := range t.Lanes {
		width = max(width, len(lane.Host))
	}
	for _, p := range t.Events {
		_, err := fmt.Fprintf(w, "%s  %-*s  %s%s\n", p.Adjusted.UTC().Format(timeFormat), width, p.Host, p.Kind, p.attributes())
		if err != nil {
			return errors.Wrap(err, "write time line")
		}
	}
	return nil
}

func (p Placed) attributes() string {
	var b strings.Builder
	for _, a := range []struct{ name, value string }{
		{"workspace", p.Workspace}, {"job", p.Job}, {"server", p.Server}, {"peer", p.Peer}, {"detail", p.Detail},
	} {
		if a.value != "" {
			fmt.Fprintf(&b, "  %s=%s", a.name, oneLine(a.value))
		}
	}
	if p.CauseHost != "" {
		fmt.Fprintf(&b, "  after=%s", p.CauseHost)
	}
	return b.String()
}

// oneLine quotes values that would break the line or send terminal codes.
func oneLine(value string) string {
	if strings.ContainsFunc(value, func(r rune) bool { return r < ' ' || r == 0x7f || r == '"' }) {
		return fmt.Sprintf("%q", value)
	}
	return value
}

// WriteJSON writes the time line as one JSON object.
func (t Timeline) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return errors.Wrap(enc.Encode(t), "write time line")
}

//go:embed timeline.html
var pageText string

var page = template.Must(template.New("timeline").Parse(pageText))

// WriteHTML writes one page that needs no other file and no network.
func (t Timeline) WriteHTML(w io.Writer) error {
	return errors.Wrap(page.Execute(w, t), "write time line page")
}
