package jobs

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// Bounds of one line of an input file.
const (
	maxLineBytes     = 900 << 10 // so that a part of one line fits into a platform value
	maxCustomIDBytes = 512
	maxFileURLs      = 16 // distinct url values of one file
)

// inputLine is one line of an input file.
type inputLine struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// parseLine decodes and validates one line. Callers receive the error's text.
func parseLine(raw []byte) (inputLine, error) {
	var line inputLine
	if err := json.Unmarshal(raw, &line); err != nil {
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			return line, errors.Newf("malformed JSON at byte %d: %s", syntax.Offset, syntax.Error())
		}
		return line, errors.Newf("malformed line: %s", err.Error())
	}
	switch {
	case line.CustomID == "":
		return line, errors.New("custom_id is missing")
	case len(line.CustomID) > maxCustomIDBytes:
		return line, errors.Newf("custom_id is longer than %d bytes", maxCustomIDBytes)
	case line.Method != http.MethodPost:
		return line, errors.Newf("method is %q, must be POST", line.Method)
	case !strings.HasPrefix(line.URL, "/"):
		return line, errors.Newf("url is %q, must start with /", line.URL)
	case len(line.Body) == 0 || bytes.Equal(line.Body, []byte("null")):
		return line, errors.New("body is missing")
	case wantsStream(line.Body):
		return line, errors.New("body.stream must not be true")
	}
	return line, nil
}

// wantsStream reports whether a request asks for a streamed response, which an
// output file cannot hold.
func wantsStream(body json.RawMessage) bool {
	if !bytes.Contains(body, []byte(`"stream"`)) {
		return false
	}
	var v struct {
		Stream bool `json:"stream"`
	}
	return json.Unmarshal(body, &v) == nil && v.Stream
}

// lineChecker validates the lines of one file in order. It keeps 16 bytes per
// item to find duplicates, and nothing else that grows with the file.
type lineChecker struct {
	maxItems   int
	lineNumber int // of the last line read, from 1, counting blank ones
	items      int
	seen       map[[16]byte]struct{}
	urls       map[string]bool
}

func newLineChecker(maxItems int) *lineChecker {
	return &lineChecker{maxItems: maxItems, seen: map[[16]byte]struct{}{}, urls: map[string]bool{}}
}

// check validates the next item.
func (c *lineChecker) check(raw []byte) error {
	line, err := parseLine(raw)
	if err != nil {
		return invalid("invalid_jsonl", "file", "line %d: %s", c.lineNumber, err.Error())
	}
	if c.items++; c.items > c.maxItems {
		return invalid("too_many_items", "file", "line %d: more than %d items", c.lineNumber, c.maxItems)
	}
	key := customIDHash(line.CustomID)
	if _, dup := c.seen[key]; dup {
		return invalid("duplicate_custom_id", "file", "line %d: custom_id %q is used by an earlier line", c.lineNumber, line.CustomID)
	}
	c.seen[key] = struct{}{}
	c.urls[line.URL] = true
	if len(c.urls) > maxFileURLs {
		return invalid("too_many_urls", "file", "line %d: more than %d different url values", c.lineNumber, maxFileURLs)
	}
	return nil
}

// customIDHash is a cryptographic hash, so that no caller can construct two
// ids that are mistaken for duplicates.
func customIDHash(id string) [16]byte {
	sum := sha256.Sum256([]byte(id))
	return [16]byte(sum[:16])
}

// lineReader reads lines of at most maxLineBytes with one reused buffer.
type lineReader struct {
	r   *bufio.Reader
	buf []byte
}

func newLineReader(r io.Reader) *lineReader {
	return &lineReader{r: bufio.NewReaderSize(r, 64<<10)}
}

var errLineTooLong = errors.New("line too long")

// next returns the next line without its line end. The slice is valid until
// the following call. io.EOF follows the last line.
func (l *lineReader) next() ([]byte, error) {
	l.buf = l.buf[:0]
	for {
		part, err := l.r.ReadSlice('\n')
		l.buf = append(l.buf, part...)
		if len(l.buf) > maxLineBytes+2 {
			return nil, errLineTooLong
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(l.buf) > 0, err == nil:
			return bytes.TrimRight(l.buf, "\r\n"), nil
		default:
			return nil, err
		}
	}
}
