package upstream_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"regexp"
	"testing"
	"testing/iotest"

	"ragwortstep/internal/servertest"
	"ragwortstep/internal/upstream"
)

// wellFormedHead matches the heads of interim responses and that of the final one.
var wellFormedHead = func() *regexp.Regexp {
	const (
		text   = `[^\x00-\x08\x0a-\x1f\x7f]*`
		fields = "([!#$%&'*+.^_`|~0-9A-Za-z-]+:" + text + `\r\n)*\r\n`
		line   = `( ` + text + `)?\r\n`
	)
	return regexp.MustCompile(`\A(HTTP/1\.[01] 1(0[02-9]|[1-9][0-9])` + line + fields + `)*HTTP/1\.[01] (101|[2-5][0-9][0-9])` + line + fields)
}()

// codedInHTTP10 matches a head of HTTP/1.0 whose body would have a coding.
var codedInHTTP10 = regexp.MustCompile(`(?i)HTTP/1\.0 [^\n]*\r\n([^\r\n]+\r\n)*transfer-encoding:`)

// FuzzHead guards against accepting a head that is malformed or that the parser divides
// in another way, against refusing a well-formed one, and against a verdict that depends
// on the pieces in which the bytes arrive.
func FuzzHead(f *testing.F) {
	f.Add([]byte("HTTP/1.1 103 X\r\nLink: a\r\n\r\nHTTP/1.0 200\r\nX-A:\t\xe9\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 404 Not Found\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	for _, malformed := range []map[string]string{
		servertest.MalformedStatuses("Content-Length: 5\r\n", "hello"), servertest.MalformedFields("Content-Length: 5\r\n", "hello"),
	} {
		for _, response := range malformed {
			f.Add([]byte(response))
		}
	}
	f.Fuzz(func(t *testing.T, response []byte) {
		body, err := exchangeBytes(t, bytes.NewReader(response))
		slowBody, slowErr := exchangeBytes(t, iotest.OneByteReader(bytes.NewReader(response)))
		if (err == nil) != (slowErr == nil) || !bytes.Equal(body, slowBody) {
			t.Fatalf("%q at once: %q, %v; byte by byte: %q, %v", response, body, err, slowBody, slowErr)
		}
		head := wellFormedHead.Find(response)
		parsed, parsable := parseBody(response)
		if accepted := head != nil && !codedInHTTP10.Match(head) && parsable; accepted != (err == nil) {
			t.Fatalf("%q: well-formed and parsable %v, error %v", response, accepted, err)
		}
		if err == nil && !bytes.Equal(body, parsed) {
			t.Fatalf("%q: body %q, parsed %q", response, body, parsed)
		}
	})
}

// exchangeBytes sends a request and reads what arrives of the body of its response.
func exchangeBytes(t *testing.T, response io.Reader) ([]byte, error) {
	c := upstream.New(upstream.Options{Connect: func(context.Context, string) (upstream.Conn, error) {
		return soundConn{brokenConn{response: response}}, nil
	}})
	resp, err := c.Do(t.Context(), "a", request())
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body) // a cut body is not the subject
	return body, nil
}

// soundConn is a connection that takes the whole request.
type soundConn struct{ brokenConn }

func (soundConn) Write(p []byte) (int, error) { return len(p), nil }

// parseBody returns what there is of the body of the final response.
func parseBody(response []byte) ([]byte, bool) {
	r := bufio.NewReader(bytes.NewReader(response))
	for {
		resp, err := http.ReadResponse(r, &http.Request{Method: http.MethodPost})
		if err != nil || resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, false
		}
		if resp.StatusCode >= http.StatusOK {
			body, _ := io.ReadAll(resp.Body) // a cut body is not the subject
			return body, true
		}
	}
}
