package upstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds one event of a stream, and the comments before it.
const maxEventBytes = 1 << 20

// Reasons why an EventReader doesn't return what a server sent. None of them is a lost
// connection.
var (
	// ErrEventTooLarge reports an event, or comments before one, of more than
	// maxEventBytes.
	ErrEventTooLarge = errors.New("event of the stream is too large")
	// ErrMalformedEvent reports bytes that are neither an event with an id and data nor a
	// comment.
	ErrMalformedEvent = errors.New("bytes that are no event of the stream")
	// ErrEventOrder reports an event that doesn't directly follow the one before.
	ErrEventOrder = errors.New("missing or duplicate event")
)

// Event is one complete event of a text/event-stream, or a comment.
type Event struct {
	Raw  []byte // all lines including the terminating empty line; valid until the next call
	ID   int64
	Data []byte // data lines joined by line feeds; valid until the next call
	// IsComment is set for blocks of comment lines, which a server may send to keep the
	// connection open, and for line feeds after the last event. They have neither an id
	// nor data.
	IsComment bool
}

// EventReader splits a stream into complete events, whose ids increase by one. It
// returns nothing else: bytes of a faulty server that are no event of the answer must
// become part of no result.
type EventReader struct {
	r        *bufio.Reader
	held     *HeldAnswer
	lastID   int64
	raw      []byte
	data     []byte
	comments int // bytes since the last event
}

// NewEventReader reads the events that follow the one with id after from r. The first
// event of an answer has id 1. held counts the event that is being read.
func NewEventReader(r io.Reader, after int64, held *HeldAnswer) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, 4<<10), held: held, lastID: after}
}

// Buffered reports whether bytes of further events are already buffered.
func (e *EventReader) Buffered() bool { return e.r.Buffered() > 0 }

// Next returns the next complete event or comment. It returns io.EOF if the stream ends
// between two events, io.ErrUnexpectedEOF if it ends within one, and ErrEventTooLarge,
// ErrMalformedEvent or ErrEventOrder if the next bytes are not the next event.
func (e *EventReader) Next() (Event, error) {
	if err := e.reuseBuffers(); err != nil {
		return Event{}, err
	}
	var fields eventFields
	begun := false // empty lines before an event belong to it
	for {
		start := len(e.raw)
		err := e.line()
		if err == io.EOF && !begun && start > 0 && len(e.raw) == start {
			return Event{Raw: e.raw, IsComment: true}, nil // the next call returns io.EOF
		}
		if err == io.EOF && len(e.raw) > 0 {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{}, err
		}
		line := bytes.TrimRight(e.raw[start:], "\r\n")
		if len(line) == 0 && begun {
			return e.complete(fields)
		}
		if len(line) == 0 {
			continue
		}
		begun = true
		if err := e.parseField(&fields, line); err != nil {
			return Event{}, err
		}
	}
}

// keptBufferBytes bounds the buffers that are kept for the next event.
const keptBufferBytes = 32 << 10

// reuseBuffers empties the buffers for the next event. Those of a large one are freed.
func (e *EventReader) reuseBuffers() error {
	e.raw, e.data = e.raw[:0], e.data[:0]
	if cap(e.raw)+cap(e.data) <= keptBufferBytes {
		return nil
	}
	e.raw, e.data = nil, nil
	return e.held.Resize(0)
}

// line appends the next line to raw.
func (e *EventReader) line() error {
	for {
		part, err := e.r.ReadSlice('\n')
		if len(e.raw)+len(part)+e.comments > maxEventBytes {
			return ErrEventTooLarge
		}
		if held := e.held.Resize(2 * (len(e.raw) + len(part))); held != nil { // raw and data
			return held
		}
		e.raw = append(e.raw, part...)
		if err != bufio.ErrBufferFull {
			return err
		}
	}
}

// eventFields are the fields of a block that were read so far.
type eventFields struct {
	id        int64
	hasID     bool
	dataLines int
	others    int // fields that are neither id nor data
}

// parseField adds a line of a block to its fields.
func (e *EventReader) parseField(f *eventFields, line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	if found && len(name) == 0 {
		return nil // a comment
	}
	if !found || !isFieldName(name) {
		return errors.Wrapf(ErrMalformedEvent, "line of %d bytes that is no field after event %d", len(line), e.lastID)
	}
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		id, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil || f.hasID {
			return errors.Wrapf(ErrMalformedEvent, "id that is no number, or a second one, after event %d", e.lastID)
		}
		f.id, f.hasID = id, true
	case "data":
		if f.dataLines > 0 {
			e.data = append(e.data, '\n')
		}
		f.dataLines++
		e.data = append(e.data, value...)
	default:
		f.others++
	}
	return nil
}

// isFieldName reports whether a field of an event may have the name. Servers also send
// fields whose names are those of headers in lower case.
func isFieldName(name []byte) bool {
	for _, c := range name {
		if c != '-' && (c < 'a' || c > 'z') {
			return false
		}
	}
	return true
}

// complete checks a block whose end was read.
func (e *EventReader) complete(f eventFields) (Event, error) {
	switch {
	case !f.hasID && f.dataLines == 0 && f.others == 0:
		e.comments += len(e.raw)
		return Event{Raw: e.raw, IsComment: true}, nil
	case !f.hasID:
		return Event{}, errors.Wrapf(ErrMalformedEvent, "event without id after %d", e.lastID)
	case f.dataLines == 0:
		return Event{}, errors.Wrapf(ErrMalformedEvent, "event without data after %d", e.lastID)
	case f.id != e.lastID+1:
		return Event{}, errors.Wrapf(ErrEventOrder, "event %d after %d", f.id, e.lastID)
	}
	e.lastID, e.comments = f.id, 0
	return Event{Raw: e.raw, ID: f.id, Data: e.data}, nil
}
