package harness

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	streamBuffer = 16 << 10
	// maxEventBytes bounds one line of a stream.
	maxEventBytes = 1 << 20
)

var (
	dataPrefix = []byte("data: ")
	doneMarker = []byte("[DONE]")
)

// errErrorEvent reports a stream that the host ended with an error event.
var errErrorEvent = errors.New("error event")

// readStream reads server-sent events up to [DONE] and returns the text. It
// fails if the stream ends without [DONE] or contains an error event.
func (a *Answer) readStream(r io.Reader, begin time.Time) (string, error) {
	var text strings.Builder
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, streamBuffer), maxEventBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		if bytes.Equal(data, doneMarker) {
			return text.String(), drain(lines)
		}
		piece, err := eventText(data)
		if err != nil {
			return "", err
		}
		if piece != "" && a.FirstToken == 0 {
			a.FirstToken = time.Since(begin)
		}
		text.WriteString(piece)
	}
	if err := lines.Err(); err != nil {
		return "", errors.Wrap(err, "read stream")
	}
	return "", errors.New("stream ended without [DONE]")
}

// drain reads to the end of the body, so that the connection can be reused.
func drain(lines *bufio.Scanner) error {
	for lines.Scan() {
		if len(lines.Bytes()) > 0 {
			return errors.Newf("data after [DONE]: %.80q", lines.Bytes())
		}
	}
	return errors.Wrap(lines.Err(), "read end of stream")
}

func eventText(data []byte) (string, error) {
	var event completionBody
	if err := json.Unmarshal(data, &event); err != nil {
		return "", errors.Wrapf(err, "decode event %.80q", data)
	}
	if len(event.Error) > 0 && string(event.Error) != "null" {
		return "", errors.Wrapf(errErrorEvent, "%s", event.Error)
	}
	return event.text(), nil
}
