package upstream

import (
	"io"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// maxHeadBytes bounds the head of a response together with those of the interim
// responses before it.
const maxHeadBytes = 64 << 10

// Reasons why a head is not accepted. Neither is a lost connection.
var (
	// ErrMalformedHead reports bytes that are no head of a response.
	ErrMalformedHead = errors.New("malformed head of a response")
	// ErrHeadTooLarge reports a head of more than maxHeadBytes, with interim responses.
	ErrHeadTooLarge = errors.Newf("the head of the response exceeds %d bytes", maxHeadBytes)
)

// headCheck checks the bytes of a response's head, and of the interim responses before
// it, as they arrive, because the parser of net/http accepts heads that are malformed: a
// name with a blank, a line that is continued by the next one, a line feed alone as the
// end of a line. The zero value accepts any bytes.
type headCheck struct {
	place headPlace
	at    int     // index of the next byte of the status line
	minor byte    // of the version, a digit
	code  [3]byte // of the status line
	name  int     // bytes of the name read so far, if they begin codingField, else -1
	left  int     // bytes that the heads may still have
	err   error   // of the first byte that was not accepted
}

// headPlace is the place of the next byte.
type headPlace int

const (
	behindHead headPlace = iota
	inStatus             // the status line up to the byte behind the code
	inReason
	atLineFeed
	atLineStart
	inName
	inValue
	atLastLineFeed // of the empty line
)

// statusPrefix begins a status line. The minor version, a blank and the code follow.
const statusPrefix = "HTTP/1."

// codingField is the field that changes the framing of a body. HTTP/1.0 doesn't have it:
// the parser of net/http ignores it there, and the body would have the bytes of its chunks.
const codingField = "transfer-encoding"

// expect begins the check of the next response.
func (h *headCheck) expect() { *h = headCheck{place: inStatus, left: maxHeadBytes} }

// check checks the next bytes of the connection. After an error it returns that again.
func (h *headCheck) check(p []byte) error {
	for _, c := range p {
		if h.place == behindHead || h.err != nil {
			break
		}
		if h.left == 0 {
			h.err = ErrHeadTooLarge
			break
		}
		h.left--
		h.checkByte(c)
	}
	return h.err
}

func (h *headCheck) checkByte(c byte) {
	switch h.place {
	case inStatus:
		h.checkStatusByte(c)
	case inReason, inValue:
		h.accept(c == '\r' || isText(c), "a line", c)
		if c == '\r' {
			h.place = atLineFeed
		}
	case atLineFeed:
		h.accept(c == '\n', "the end of a line", c)
		h.place = atLineStart
	case atLineStart:
		h.accept(c == '\r' || isNameByte(c), "the name of a field", c)
		h.place, h.name = inName, 0
		h.matchName(c)
		if c == '\r' {
			h.place = atLastLineFeed
		}
	case inName:
		h.accept(c == ':' || isNameByte(c), "the name of a field", c)
		if c == ':' {
			h.accept(h.name != len(codingField) || h.minor != '0', "an HTTP/1.0 head with Transfer-Encoding", c)
			h.place = inValue
		}
		h.matchName(c)
	case atLastLineFeed:
		h.accept(c == '\n', "the end of the head", c)
		h.endHead()
	}
}

// checkStatusByte checks a byte of the status line up to the one behind the code.
func (h *headCheck) checkStatusByte(c byte) {
	const version, blank, code = len(statusPrefix), len(statusPrefix) + 1, len(statusPrefix) + 2
	switch at := h.at; {
	case at < version:
		h.accept(c == statusPrefix[at], "the status line", c)
	case at == version:
		h.accept(c == '0' || c == '1', "the version", c)
		h.minor = c
	case at == blank:
		h.accept(c == ' ', "the status line", c)
	case at == code:
		h.accept('1' <= c && c <= '5', "the status code", c)
		h.code[0] = c
	case at < code+len(h.code):
		h.accept('0' <= c && c <= '9', "the status code", c)
		h.code[at-code] = c
	default:
		h.accept(c == ' ' || c == '\r', "the status line", c)
		h.place = inReason
		if c == '\r' {
			h.place = atLineFeed
		}
	}
	h.at++
}

// matchName compares the next byte of a name with codingField.
func (h *headCheck) matchName(c byte) {
	if 'A' <= c && c <= 'Z' {
		c += 'a' - 'A'
	}
	if h.name < 0 || h.name == len(codingField) || c != codingField[h.name] {
		h.name = -1
		return
	}
	h.name++
}

// endHead expects another head behind that of an interim response.
func (h *headCheck) endHead() {
	if h.code[0] == '1' && string(h.code[:]) != "101" {
		h.place, h.at = inStatus, 0
		return
	}
	h.place = behindHead
}

// accept notes an error at a byte that is not accepted.
func (h *headCheck) accept(accepted bool, where string, c byte) {
	if !accepted && h.err == nil {
		h.err = errors.Wrapf(ErrMalformedHead, "byte %#02x in %s", c, where)
	}
}

// isNameByte reports whether the name of a field may have the byte.
func isNameByte(c byte) bool { return httpguts.IsTokenRune(rune(c)) }

// isText reports whether a reason or the value of a field may have the byte.
func isText(c byte) bool { return c == '\t' || c >= ' ' && c != 0x7f }

// checkedReader reads responses from a connection and checks their heads.
type checkedReader struct {
	r    io.Reader
	head headCheck
	// sendErr is the error of a failed send. It replaces io.EOF: a system call reports a
	// reset only once, so that reads after a failed send find a regular end.
	sendErr error
}

// Read implements io.Reader.
func (r *checkedReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if broken := r.head.check(p[:n]); broken != nil {
		return 0, broken
	}
	if err == io.EOF && r.sendErr != nil {
		err = r.sendErr
	}
	return n, err
}
