// Package peertest provides an in-memory network of peer.Caller for tests,
// with cut links, one-way loss and delay.
package peertest

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/peer"
)

// callTimeout is the deadline of calls whose context has no earlier one.
const callTimeout = 2 * time.Second

// Network connects nodes by host name. It is safe for concurrent use.
type Network struct {
	mu    sync.Mutex
	nodes map[peer.HostID]*Node
	cut   map[pair]bool
	lose  map[pair]bool
	delay map[pair]time.Duration
	calls map[string]int
	bytes map[peer.HostID]int
}

// pair is one direction of a link.
type pair struct{ from, to peer.HostID }

// New returns a network without nodes.
func New() *Network {
	return &Network{
		nodes: map[peer.HostID]*Node{}, cut: map[pair]bool{}, lose: map[pair]bool{},
		delay: map[pair]time.Duration{}, calls: map[string]int{}, bytes: map[peer.HostID]int{},
	}
}

// Node returns the host's node, replacing a former one, as a restart does.
// Its address is the host's name.
func (n *Network) Node(host peer.HostID) *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	node := &Node{net: n, self: host, handlers: map[string]peer.HandlerFunc{}}
	n.nodes[host] = node
	return node
}

// Remove removes a host. Calls to it and by its node fail.
func (n *Network) Remove(host peer.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, host)
}

// Cut makes calls between the hosts fail with ErrPeerUnreachable in both
// directions while cut is true.
func (n *Network) Cut(a, b peer.HostID, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[pair{a, b}], n.cut[pair{b, a}] = cut, cut
}

// Isolate cuts a host off from all others while cut is true.
func (n *Network) Isolate(host peer.HostID, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for other := range n.nodes {
		n.cut[pair{host, other}], n.cut[pair{other, host}] = cut, cut
	}
	n.cut[pair{host, host}] = false
}

// DropMessages drops all messages from one host to another while lose is true: requests
// are not run and responses do not arrive. Both cause ErrNoResponse at the caller's
// deadline.
func (n *Network) DropMessages(from, to peer.HostID, lose bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lose[pair{from, to}] = lose
}

// Delay sets the one-way delay from one host to another.
func (n *Network) Delay(from, to peer.HostID, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay[pair{from, to}] = d
}

// Calls returns how often a method was called.
func (n *Network) Calls(method string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls[method]
}

// BytesSent returns the encoded size of the requests and responses that a host sent.
func (n *Network) BytesSent(host peer.HostID) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes[host]
}

// Node implements peer.Caller for one host.
type Node struct {
	net  *Network
	self peer.HostID

	mu       sync.Mutex
	handlers map[string]peer.HandlerFunc
}

var _ peer.Caller = (*Node)(nil)

// Handle implements peer.Caller.
func (n *Node) Handle(method string, fn peer.HandlerFunc) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[method] = fn
}

// SetAddress does nothing: hosts are found by name.
func (n *Node) SetAddress(peer.HostID, string) {}

// RemoveAddress does nothing.
func (n *Node) RemoveAddress(peer.HostID) {}

// CallAddress calls the host whose name is the address.
func (n *Node) CallAddress(ctx context.Context, address, method string, params, result any) (peer.HostID, error) {
	return peer.HostID(address), n.Call(ctx, peer.HostID(address), method, params, result)
}

// Call implements peer.Caller.
func (n *Node) Call(ctx context.Context, to peer.HostID, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	raw, err := json.Marshal(params)
	if err != nil {
		return errors.Wrapf(err, "encode params of %s", method)
	}
	target, err := n.net.route(n, to, method, len(raw))
	if err != nil {
		return errors.Wrapf(err, "call %s at %s", method, to)
	}
	if err := n.net.transmit(ctx, pair{n.self, to}); err != nil {
		return errors.Wrapf(err, "call %s at %s", method, to)
	}
	out, err := target.serve(ctx, n.self, method, raw)
	if lost := n.net.transmit(ctx, pair{to, n.self}); lost != nil {
		return errors.Wrapf(lost, "call %s at %s", method, to)
	}
	if err != nil {
		return &peer.RemoteError{Peer: to, Method: method, Message: err.Error()}
	}
	n.net.countBytes(to, len(out))
	if result == nil {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(out, result), "decode result of %s", method)
}

// route finds the target of a call and counts the call.
func (n *Network) route(from *Node, to peer.HostID, method string, size int) (*Node, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	target := n.nodes[to]
	if target == nil || n.nodes[from.self] != from || n.cut[pair{from.self, to}] {
		return nil, peer.ErrPeerUnreachable
	}
	n.calls[method]++
	n.bytes[from.self] += size
	return target, nil
}

func (n *Network) countBytes(from peer.HostID, size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes[from] += size
}

// transmit waits for the delay of one direction, or until ctx ends if the message
// is lost.
func (n *Network) transmit(ctx context.Context, p pair) error {
	n.mu.Lock()
	lost, delay := n.lose[p] || n.cut[p], n.delay[p]
	n.mu.Unlock()
	if lost {
		<-ctx.Done()
		return errors.Mark(ctx.Err(), peer.ErrNoResponse)
	}
	if delay == 0 {
		return nil
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), peer.ErrNoResponse)
	}
}

func (n *Node) serve(ctx context.Context, from peer.HostID, method string, params json.RawMessage) ([]byte, error) {
	n.mu.Lock()
	fn := n.handlers[method]
	n.mu.Unlock()
	if fn == nil {
		return nil, errors.Newf("method not found: %s", method)
	}
	out, err := fn(ctx, from, params)
	if err != nil {
		return nil, err
	}
	return json.Marshal(out)
}
