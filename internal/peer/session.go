package peer

import (
	"context"
	"crypto/hmac"
	"crypto/tls"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	// maxHelloBytes bounds messages of peers that are not authenticated yet.
	maxHelloBytes = 4 << 10
	// sessionReadTimeout ends accepted connections on which nothing arrives;
	// live peers probe idle connections far more often.
	sessionReadTimeout = 30 * time.Second
	// codeBusy is the error code for calls beyond MaxInFlight, which are not run.
	codeBusy = -32050
)

// session is one accepted connection.
type session struct {
	node  *Node
	conn  net.Conn
	codec *boundedCodec
	slots chan struct{}

	// Used only by the goroutine that reads the connection.
	helloReceived bool
	transcript    transcript

	mu   sync.Mutex
	peer HostID // empty until authenticated
}

// accept starts a session. It returns at once.
func (n *Node) accept(conn net.Conn) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		n.runSession(newTimedConn(conn, sessionReadTimeout))
	}()
}

func (n *Node) runSession(conn net.Conn) {
	if n.tls != nil {
		conn = tls.Server(conn, n.tls.serverConfig())
	}
	s := &session{
		node: n, conn: conn,
		codec: newCodec(maxHelloBytes),
		slots: make(chan struct{}, n.opts.MaxInFlight),
	}
	if !n.track(s) {
		_ = conn.Close()
		return
	}
	defer n.untrack(s)
	expire := time.AfterFunc(n.opts.DialTimeout, s.closeUnauthenticated)
	defer expire.Stop()
	if err := s.handshakeTLS(); err != nil {
		stats.Add("refused", 1)
		s.close()
		return
	}
	stream := jsonrpc2.NewBufferedStream(conn, s.codec)
	rpc := jsonrpc2.NewConn(n.ctx, stream, s, jsonrpc2.SetLogger(rpcLogger{n.opts.Logger}))
	<-rpc.DisconnectNotify()
}

func (n *Node) track(s *session) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.accepted[s] = struct{}{}
	return true
}

func (n *Node) untrack(s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.accepted, s)
}

func (s *session) close() { _ = s.conn.Close() }

func (s *session) closeUnauthenticated() {
	if s.authenticated() == "" {
		stats.Add("refused", 1)
		s.close()
	}
}

func (s *session) authenticated() HostID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peer
}

func (s *session) setAuthenticated(host HostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peer = host
	s.codec.limit.Store(maxMessageBytes)
}

func (s *session) handshakeTLS() error {
	conn, ok := s.conn.(*tls.Conn)
	if !ok {
		return nil
	}
	return errors.Wrap(conn.Handshake(), "TLS handshake")
}

// Handle implements jsonrpc2.Handler. It runs on the reading goroutine;
// handlers of methods run on their own.
func (s *session) Handle(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	switch req.Method {
	case methodHello:
		s.handleHandshake(ctx, rpc, req, s.hello)
		return
	case methodAuth:
		s.handleHandshake(ctx, rpc, req, s.auth)
		return
	}
	from := s.authenticated()
	if from == "" {
		s.refuse(ctx, rpc, req, errUnauthenticated)
		return
	}
	if req.Method == methodPing {
		_ = rpc.Reply(ctx, req.ID, struct{}{})
		return
	}
	s.dispatch(ctx, rpc, req, from)
}

func (s *session) dispatch(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request, from HostID) {
	select {
	case s.slots <- struct{}{}:
	default:
		stats.Add("busy", 1)
		_ = rpc.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: codeBusy, Message: "too many calls in flight"})
		return
	}
	started := s.node.background(func() {
		defer func() { <-s.slots }()
		s.run(ctx, rpc, req, from)
	})
	if !started {
		<-s.slots
	}
}

func (s *session) run(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request, from HostID) {
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	result, err := s.node.serve(ctx, from, req.Method, params)
	if req.Notif {
		return
	}
	if err != nil {
		_ = rpc.ReplyWithError(ctx, req.ID, rpcError(err))
		return
	}
	_ = rpc.Reply(ctx, req.ID, result)
}

func rpcError(err error) *jsonrpc2.Error {
	var e *jsonrpc2.Error
	if errors.As(err, &e) {
		return e
	}
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
}

func (s *session) handleHandshake(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request, step func(json.RawMessage) (any, error)) {
	if req.Params == nil {
		s.refuse(ctx, rpc, req, errUnauthenticated)
		return
	}
	reply, err := step(*req.Params)
	if err != nil {
		s.refuse(ctx, rpc, req, err)
		return
	}
	_ = rpc.Reply(ctx, req.ID, reply)
}

// refuse replies with an error, counts the refusal and closes the connection.
func (s *session) refuse(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request, err error) {
	stats.Add("refused", 1)
	s.node.opts.Logger.Warn("peer refused", "remote", s.conn.RemoteAddr().String(), "error", err)
	_ = rpc.ReplyWithError(ctx, req.ID, rpcError(err))
	_ = rpc.Close()
}

func (s *session) hello(params json.RawMessage) (any, error) {
	var in hello
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, errors.Wrap(err, "decode hello")
	}
	if s.helloReceived || in.Host == "" {
		return nil, errors.Wrap(errUnauthenticated, "unexpected hello")
	}
	s.helloReceived = true
	if conn, ok := s.conn.(*tls.Conn); ok {
		return s.helloTLS(conn.ConnectionState(), in.Host)
	}
	if len(in.Nonce) != nonceBytes {
		return nil, errors.Wrap(errUnauthenticated, "nonce is missing")
	}
	self := s.node.opts.Self
	s.transcript = transcript{client: in.Host, server: self, clientNonce: in.Nonce, serverNonce: newNonce()}
	mac := s.transcript.mac(s.node.opts.Secret, roleServer)
	return helloReply{Host: self, Nonce: s.transcript.serverNonce, MAC: mac}, nil
}

func (s *session) helloTLS(state tls.ConnectionState, host HostID) (any, error) {
	if err := checkCertificateName(state, host); err != nil {
		return nil, err
	}
	s.setAuthenticated(host)
	return helloReply{Host: s.node.opts.Self}, nil
}

func (s *session) auth(params json.RawMessage) (any, error) {
	var in authProof
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, errors.Wrap(err, "decode auth")
	}
	if s.node.tls != nil || s.transcript.serverNonce == nil {
		return nil, errors.Wrap(errUnauthenticated, "unexpected auth")
	}
	want := s.transcript.mac(s.node.opts.Secret, roleClient)
	s.transcript.serverNonce = nil
	if !hmac.Equal(in.MAC, want) {
		return nil, errors.Wrap(errUnauthenticated, "client's proof is wrong")
	}
	s.setAuthenticated(s.transcript.client)
	return struct{}{}, nil
}
