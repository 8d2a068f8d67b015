package abort

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// serveAborting aborts a response after some bytes, or ends it if the path is /whole.
func serveAborting(w http.ResponseWriter, r *http.Request) {
	_, _ = io.WriteString(w, "some bytes")
	_ = http.NewResponseController(w).Flush()
	if r.URL.Path != "/whole" {
		panic(http.ErrAbortHandler)
	}
}

// readTo10 sends a request over HTTP/1.0 and reads the response to its end.
func readTo10(t *testing.T, c net.Conn, path string) (string, error) {
	t.Helper()
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.0\r\n\r\n", path); err != nil {
		t.Fatal(err)
	}
	raw, err := io.ReadAll(c)
	return string(raw), err
}

// A caller that speaks HTTP/1.0 takes the end of its connection for that of the
// response, so an aborted one must end with an error on the connection.
func TestAbortedResponseIsNotCompleteOverHTTP10(t *testing.T) {
	for _, encrypted := range []bool{false, true} {
		t.Run(fmt.Sprint("encrypted ", encrypted), func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewUnstartedServer(Handler(http.HandlerFunc(serveAborting)))
			dial := func() (net.Conn, error) { return net.Dial("tcp", server.Listener.Addr().String()) }
			if encrypted {
				server.StartTLS()
				dial = func() (net.Conn, error) {
					return tls.Dial("tcp", server.Listener.Addr().String(), &tls.Config{InsecureSkipVerify: true}) //nolint:gosec // a certificate of the test
				}
			} else {
				server.Start()
			}
			defer server.Close()
			for path, whole := range map[string]bool{"/whole": true, "/aborted": false} {
				c, err := dial()
				is.NoErr(err)
				got, err := readTo10(t, c, path)
				is.Equal(err == nil, whole)
				is.True(!whole || strings.HasSuffix(got, "\r\n\r\nsome bytes"))
			}
		})
	}
}
