package servertest

import "io"

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

// RespondAndHold returns a script that responds with the bytes and keeps the connection
// open until its peer closes it.
func RespondAndHold(response string) func(*Conn) bool {
	return func(c *Conn) bool {
		_, _ = io.WriteString(c, response) // fails if the peer closed the connection
		<-c.PeerClosed()
		return false
	}
}
