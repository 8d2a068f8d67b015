package upstream_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/servertest"
	"ragwortstep/internal/upstream"
)

// send sends a request of the sends and reads the whole response.
func send(t *testing.T, c *upstream.Client, address string, sends *upstream.Sends) {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req := request()
	req.Sends = sends
	resp, err := c.Do(ctx, address, req)
	is.NoErr(err)
	_, err = io.ReadAll(resp.Body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
}

// TestRequestReturnsOnOtherConnection guards against taking a second copy of an
// earlier answer for the answer to a request that is sent again, and against a new
// connection where a kept one is free of the request.
func TestRequestReturnsOnOtherConnection(t *testing.T) {
	is := is.New(t)
	s := servertest.New(t, whole)
	c := upstream.New(upstream.Options{})
	var first, second upstream.Sends
	send(t, c, s.Address(), &first)
	send(t, c, s.Address(), &first)
	is.Equal(s.AcceptedConnections(), 2)
	send(t, c, s.Address(), &second)
	send(t, c, s.Address(), &second)
	send(t, c, s.Address(), nil)
	is.Equal(s.AcceptedConnections(), 2) // both carry other requests
	send(t, c, s.Address(), &first)
	is.Equal(s.AcceptedConnections(), 3)
}

// TestConnectionStaysBarredAfterManySends guards against forgetting a connection that
// carried a request which was sent very often. The first one is kept meanwhile by
// another request, whose response ends late.
func TestConnectionStaysBarredAfterManySends(t *testing.T) {
	is := is.New(t)
	s := servertest.New(t, whole)
	c := upstream.New(upstream.Options{})
	var sends upstream.Sends
	send(t, c, s.Address(), &sends)
	late, err := c.Do(context.Background(), s.Address(), request())
	is.NoErr(err)
	is.Equal(s.AcceptedConnections(), 1) // on the first one
	for n := range 200 {
		send(t, c, s.Address(), &sends)
		is.Equal(s.AcceptedConnections(), n+2)
		send(t, c, s.Address(), nil) // keeps a connection in use
	}
	_, err = io.ReadAll(late.Body)
	is.NoErr(err)
	is.NoErr(late.Body.Close())
	send(t, c, s.Address(), &sends)
	is.Equal(s.AcceptedConnections(), 202)
	send(t, c, s.Address(), nil)
	is.Equal(s.AcceptedConnections(), 202)
}

// TestFullPoolKeepsConnectionInUse guards against a new connection for each request
// that needs one in recent use, while the pool is full of older ones.
func TestFullPoolKeepsConnectionInUse(t *testing.T) {
	is := is.New(t)
	s := servertest.New(t, whole)
	c := upstream.New(upstream.Options{})
	var sends upstream.Sends
	const kept = 6 // as many as the pool keeps
	for range kept {
		send(t, c, s.Address(), &sends)
	}
	is.Equal(s.AcceptedConnections(), kept)
	const maxIdle = time.Second
	time.Sleep(maxIdle + maxIdle/10)
	req := request()
	req.MaxIdle = maxIdle
	for range 3 {
		resp, err := c.Do(context.Background(), s.Address(), req)
		is.NoErr(err)
		_, err = io.ReadAll(resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
	}
	is.Equal(s.AcceptedConnections(), kept+1)
}
