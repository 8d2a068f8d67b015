package servertest

import (
	"fmt"
	"io"
	"strings"
)

// statusLines are malformed status lines, without their end.
var statusLines = map[string]string{
	"status 000":                   "HTTP/1.1 000 X",
	"status 099":                   "HTTP/1.1 099 X",
	"status 600":                   "HTTP/1.1 600 X",
	"status 999":                   "HTTP/1.1 999 X",
	"status with a sign":           "HTTP/1.1 +20 X",
	"negative status":              "HTTP/1.1 -00 X",
	"status of two digits":         "HTTP/1.1 20 X",
	"status of four digits":        "HTTP/1.1 2000 X",
	"status that is no number":     "HTTP/1.1 2x0 X",
	"two blanks before the status": "HTTP/1.1  200 X",
	"tab before the status":        "HTTP/1.1\t200 X",
	"no status":                    "HTTP/1.1",
	"version 0.0":                  "HTTP/0.0 200 X",
	"version 2.0":                  "HTTP/2.0 200 X",
	"no version":                   "HTTP 200 X",
	"other protocol":               "ICY 200 X",
	"line before the status line":  "\r\nHTTP/1.1 200 X",
}

// MalformedStatuses returns responses with malformed status lines, by their names. They
// have the lines of a header and a body.
func MalformedStatuses(lines, body string) map[string]string {
	out := map[string]string{}
	for name, status := range statusLines {
		out[name] = status + "\r\n" + lines + "\r\n" + body
	}
	out["status 000 behind an interim response"] = "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 000 X\r\n" + lines + "\r\n" + body
	return out
}

// fieldLines are malformed lines of a header. The lines that they are put between are
// sound.
var fieldLines = map[string]string{
	"blank behind a name":             "X-Odd : 1\r\n",
	"blank in a name":                 "X Odd: 1\r\n",
	"blank before a name":             " X-Odd: 1\r\n",
	"tab behind a name":               "X-Odd\t: 1\r\n",
	"tab before a name":               "\tX-Odd: 1\r\n",
	"control byte in a name":          "X-\x01Odd: 1\r\n",
	"zero byte in a name":             "X-Odd\x00: 1\r\n",
	"escape before a name":            "\x1bX-Odd: 1\r\n",
	"delete byte in a name":           "X-Odd\x7f: 1\r\n",
	"byte that is no ASCII in a name": "X-\xe9dd: 1\r\n",
	"carriage return in a name":       "X-O\rdd: 1\r\n",
	"carriage return before a name":   "\rX-Odd: 1\r\n",
	"line feed in a name":             "X-O\ndd: 1\r\n",
	"line feed before a name":         "\nX-Odd: 1\r\n",
	"bracket in a name":               "X(Odd): 1\r\n",
	"no name":                         ": 1\r\n",
	"no colon":                        "X-Odd\r\n",
	"line feed alone behind a value":  "X-Odd: 1\n",
	"control byte in a value":         "X-Odd: \x01\r\n",
	"carriage return in a value":      "X-Odd: 1\r2\r\n",
	"two carriage returns at the end": "X-Odd: 1\r\r\n",
	"value that goes on with a line":  "X-Odd: 1\r\n 2\r\n",
	"length with a blank in its name": "Content-Length : 2\r\n",
	"coding with a blank in its name": "Transfer-Encoding : chunked\r\n",
	"length in a line that goes on":   "X-Odd: 1\r\n Content-Length: 2\r\n",
	"length behind a line feed":       "X-Odd: 1\nContent-Length: 2\r\n",
}

// MalformedFields returns responses with a malformed line between those of a header, one
// of which is the length of the body, or in place of the length, by their names. They have
// status 200.
func MalformedFields(lines, body string) map[string]string {
	out := map[string]string{}
	for name, odd := range fieldLines {
		out[name] = "HTTP/1.1 200 X\r\nX-First: 1\r\n" + odd + lines + "\r\n" + body
	}
	withoutLength := strings.ReplaceAll(lines, fmt.Sprintf("Content-Length: %d\r\n", len(body)), "")
	out["the only length has a blank in its name"] = fmt.Sprintf("HTTP/1.1 200 X\r\nContent-Length : %d\r\n%s\r\n%s", len(body), withoutLength, body)
	out["the only length is behind a line feed"] = fmt.Sprintf("HTTP/1.1 200 X\r\n%s\nContent-Length: %d\r\n\r\n%s", withoutLength, len(body), body)
	out["the coding has a blank in its name"] = fmt.Sprintf("HTTP/1.1 200 X\r\nTransfer-Encoding : chunked\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", withoutLength, len(body), body)
	out["chunks in HTTP/1.0"] = fmt.Sprintf("HTTP/1.0 200 X\r\n%stransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", withoutLength, len(body), body)
	out["chunks and a length in HTTP/1.0"] = fmt.Sprintf("HTTP/1.0 200 X\r\nTransfer-Encoding: chunked\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", lines, len(body), body)
	out["control byte in the reason"] = "HTTP/1.1 200 \x01\r\n" + lines + "\r\n" + body
	out["line feed alone behind the status"] = "HTTP/1.1 200 X\n" + lines + "\r\n" + body
	out["line feed alone at the end"] = "HTTP/1.1 200 X\r\n" + lines + "\n" + body
	out["interim response with a blank in a name"] = "HTTP/1.1 103 X\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 X\r\n" + lines + "\r\n" + body
	return out
}

// RespondAndHold returns a script that responds with the bytes and keeps the connection
// open until its peer closes it.
func RespondAndHold(response string) func(*Conn) bool {
	return func(c *Conn) bool {
		_, _ = io.WriteString(c, response) // fails if the peer closed the connection
		<-c.PeerClosed()
		return false
	}
}
