// Package abort makes an aborted response visible to callers that cannot tell its
// end from that of a complete one.
package abort

import (
	"crypto/tls"
	"net/http"
)

// Handler returns a handler that resets the connection of a caller that speaks
// HTTP/1.0 when next panics. The response to such a caller has no chunks, and may
// have no length: then it ends with the connection, and closing that would complete
// it.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		completed := r.ProtoAtLeast(1, 1)
		defer func() { // without recover, which would lose the place of the panic
			if !completed {
				reset(w)
			}
		}()
		next.ServeHTTP(w, r)
		completed = true
	})
}

// reset closes the connection with a reset. If that is not possible, net/http closes
// it.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if encrypted, ok := conn.(*tls.Conn); ok {
		conn = encrypted.NetConn() // without the notice of a regular end
	}
	if lingering, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = lingering.SetLinger(0) // fails if the connection is closed
	}
	_ = conn.Close() // the response is lost in any case
}
