package engine

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func reachable(url string) bool {
	resp, err := http.Get(url)
	if err == nil {
		_ = resp.Body.Close()
	}
	return err == nil
}

func eventually(cond func() bool) bool {
	for range 300 {
		if cond() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// Guards against a crash that leaves other requests or the listener open, and
// against an engine that does not listen again afterwards.
func TestCrashEndsAllRequestsAndEngineRestarts(t *testing.T) {
	is := is.New(t)
	addr, controlAddr := freeAddress(t), freeAddress(t)
	ctx, cancel := context.WithCancel(context.Background())
	runErr := make(chan error, 1)
	go func() { runErr <- Run(ctx, addr, controlAddr, testOptions()) }()
	url := "http://" + addr
	is.True(eventually(func() bool { return reachable(url + "/load") }))
	other := make(chan error, 1)
	go func() {
		_, err := http.Post(url+"/v1/completions", "application/json", strings.NewReader(`{"model":"m","prompt":"never-ends"}`))
		other <- err
	}()
	time.Sleep(50 * time.Millisecond)
	_, err := http.Post(url+"/v1/completions", "application/json", strings.NewReader(`{"model":"m","prompt":"crash-engine"}`))
	is.True(err != nil)
	is.True(<-other != nil)
	is.True(!reachable(url + "/load"))
	is.True(reachable("http://" + controlAddr + "/ledger"))
	is.True(eventually(func() bool { return reachable(url + "/load") }))
	cancel()
	is.NoErr(<-runErr)
}
