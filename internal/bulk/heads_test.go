package bulk

import (
	"context"
	"log/slog"
	"testing"

	"github.com/matryer/is"

	"ragwortstep/internal/informer"
	"ragwortstep/internal/store"
)

// panickingHandler panics at each log line.
type panickingHandler struct{ slog.Handler }

func (panickingHandler) Enabled(context.Context, slog.Level) bool { return true }

func (panickingHandler) Handle(context.Context, slog.Record) error { panic("log line") }

// A panic in the receipt of new heads, which the informer recovers, kept the service's
// lock: all calls on jobs of the host would hang until it ended.
func TestPanicInReceiptOfHeadsKeepsNoLock(t *testing.T) {
	is := is.New(t)
	s := &Service{log: slog.New(panickingHandler{slog.DiscardHandler}), jobs: map[string]*job{}}
	func() {
		defer func() { is.True(recover() != nil) }()
		s.headsChanged(informer.Copy{Objects: map[string]store.Object{HeadKey("j"): {Key: HeadKey("j"), Value: []byte("{"), Version: 1}}})
	}()
	is.True(s.mu.TryLock())
}
