package servertest

import (
	"fmt"
	"io"
	"strconv"
	"strings"
)

// spoiledEvents are bytes that a faulty server sends in place of the event with id N.
var spoiledEvents = map[string]string{
	"data without id":         "data: {\"error\":\"internal\"}\n\n",
	"error without id":        "event: error\ndata: boom\n\n",
	"id without data":         "id: N\n\n",
	"cut field":               "id: N\nda\n\n",
	"cut field without colon": "id: N\ndata\n\n",
	"text":                    "boom\n\n",
	"text in an event":        "id: N\ndata: boom\nboom\n\n",
	"object in an event":      "id: N\n{\"error\": 1}\ndata: boom\n\n",
	"head of an answer":       "HTTP/1.1 500 X\r\nContent-Length: 4\r\n\r\nboom",
	"id that is no number":    "id: Nx\ndata: boom\n\n",
	"negative id":             "id: -N\ndata: boom\n\n",
	"two ids":                 "id: 9\nid: N\ndata: boom\n\n",
	"later event":             "id: 9\ndata: boom\n\n",
	"line feeds":              "\n\n\n",
}

// SpoiledEvents returns bytes that a faulty server sends in place of the event with an
// id, by their names. None of them is an event with that id and data, or a comment.
func SpoiledEvents(id int64) map[string]string {
	out := map[string]string{}
	for name, text := range spoiledEvents {
		out[name] = strings.ReplaceAll(text, "N", strconv.FormatInt(id, 10))
	}
	return out
}

// WriteSpoiled writes a stream of the events up to one and then other bytes, and breaks
// off within a chunk. The script returns false then.
func (c *Conn) WriteSpoiled(last int64, spoiled string) {
	c.StartStream()
	c.WriteEvents(1, last)
	fmt.Fprintf(c, "%x\r\n%s\r\n", len(spoiled), spoiled)
	_, _ = io.WriteString(c, "7\r\nid: ") // fails if the peer closed the connection
}
