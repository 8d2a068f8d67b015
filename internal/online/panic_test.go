package online_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/online"
	"ragwortstep/internal/servertest"
)

// panickingWriter is a response whose header cannot be written.
type panickingWriter struct{ *httptest.ResponseRecorder }

// WriteHeader implements http.ResponseWriter.
func (panickingWriter) WriteHeader(int) { panic("a fault") }

// A call that panicked kept its slot for the rest of the process's life, and its
// server worked on.
func TestPanicKeepsNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		closed := make(chan struct{})
		f := newPipedFixture(t, func(c *servertest.Conn) bool {
			c.StartStream()
			c.WriteEvent(1)
			<-c.PeerClosed()
			close(closed)
			return false
		})
		func() {
			defer func() { is.Equal(recover(), "a fault") }()
			f.service.Serve(t.Context(), panickingWriter{httptest.NewRecorder()}, &online.Call{
				ID: "id-1", Key: "k", Host: "h.example", Method: http.MethodPost, Target: "/stream/x", Path: "/stream/x", Header: http.Header{}, Arrived: time.Now(),
			})
		}()
		<-closed
		load, _ := f.slots.ServiceLoad("s")
		is.Equal(load, 0)
	})
}
