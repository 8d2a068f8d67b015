package upstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// ErrEventTooLarge reports an event of more than maxEventBytes.
var ErrEventTooLarge = errors.New("event of the stream is too large")

// Event is one complete event of a text/event-stream.
type Event struct {
	Raw   []byte // all lines including the terminating empty line; valid until the next call
	ID    int64
	HasID bool
	Data  []byte // data lines joined by line feeds
	// IsComment is set for blocks without an id and data, which a server may send
	// to keep the connection open.
	IsComment bool
}

// EventReader splits a stream into complete events.
type EventReader struct {
	r    *bufio.Reader
	raw  []byte
	data []byte
}

// NewEventReader reads events from r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, 4<<10)}
}

// Buffered reports whether bytes of further events are already buffered.
func (e *EventReader) Buffered() bool { return e.r.Buffered() > 0 }

// Next returns the next complete event. It returns io.EOF if the stream ends
// between two events and io.ErrUnexpectedEOF if it ends within one.
func (e *EventReader) Next() (Event, error) {
	e.raw, e.data = e.raw[:0], e.data[:0]
	var ev Event
	lines := 0
	for {
		start := len(e.raw)
		if err := e.line(); err != nil {
			if err == io.EOF && len(e.raw) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		line := bytes.TrimRight(e.raw[start:], "\r\n")
		if len(line) == 0 {
			ev.Raw, ev.Data, ev.IsComment = e.raw, e.data, !ev.HasID && lines == 0
			return ev, nil
		}
		e.parseField(&ev, line, &lines)
	}
}

// line appends the next line to raw.
func (e *EventReader) line() error {
	for {
		part, err := e.r.ReadSlice('\n')
		e.raw = append(e.raw, part...)
		if len(e.raw) > maxEventBytes {
			return ErrEventTooLarge
		}
		if err != bufio.ErrBufferFull {
			return err
		}
	}
}

func (e *EventReader) parseField(ev *Event, line []byte, dataLines *int) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		if id, err := strconv.ParseInt(string(value), 10, 64); err == nil {
			ev.ID, ev.HasID = id, true
		}
	case "data":
		if *dataLines > 0 {
			e.data = append(e.data, '\n')
		}
		*dataLines++
		e.data = append(e.data, value...)
	}
}
