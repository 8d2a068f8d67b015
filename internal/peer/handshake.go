package peer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"encoding/binary"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// Methods of the handshake and of probes. They are not dispatched to handlers.
const (
	methodHello = "peer.hello"
	methodAuth  = "peer.auth"
	methodPing  = "peer.ping"
)

const nonceBytes = 32

// Roles are part of the HMAC input, so that the response to one side's challenge
// cannot be replayed as the response to the other's.
const (
	roleServer = "ragwortstep-server"
	roleClient = "ragwortstep-client"
)

// errUnauthenticated reports a peer that did not prove its name.
var errUnauthenticated = errors.New("peer not authenticated")

// hello is the first message on a connection. Nonce is empty with TLS.
type hello struct {
	Host  HostID `json:"host"`
	Nonce []byte `json:"nonce,omitempty"`
}

// helloReply is the response to hello. MAC proves that the server knows the secret.
type helloReply struct {
	Host  HostID `json:"host"`
	Nonce []byte `json:"nonce,omitempty"`
	MAC   []byte `json:"mac,omitempty"`
}

// authProof proves that the client knows the secret.
type authProof struct {
	MAC []byte `json:"mac"`
}

// transcript holds the values that both MACs of a handshake cover.
type transcript struct {
	client, server           HostID
	clientNonce, serverNonce []byte
}

func (t transcript) mac(secret, role string) []byte {
	h := hmac.New(sha256.New, []byte(secret))
	for _, part := range [][]byte{[]byte(role), []byte(t.client), []byte(t.server), t.clientNonce, t.serverNonce} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return h.Sum(nil)
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // never fails, see crypto/rand
	return nonce
}

// authenticate runs the client's side of the handshake and returns the
// server's authenticated name. state is nil without TLS.
func (n *Node) authenticate(ctx context.Context, rpc *jsonrpc2.Conn, state *tls.ConnectionState) (HostID, error) {
	out := hello{Host: n.opts.Self}
	if state == nil {
		out.Nonce = newNonce()
	}
	var reply helloReply
	if err := rpc.Call(ctx, methodHello, out, &reply); err != nil {
		return "", errors.Wrap(err, "hello")
	}
	if state != nil {
		return reply.Host, checkCertificateName(*state, reply.Host)
	}
	t := transcript{client: n.opts.Self, server: reply.Host, clientNonce: out.Nonce, serverNonce: reply.Nonce}
	if len(reply.Nonce) != nonceBytes || !hmac.Equal(reply.MAC, t.mac(n.opts.Secret, roleServer)) {
		return "", errors.Wrap(errUnauthenticated, "server's proof is wrong")
	}
	if err := rpc.Call(ctx, methodAuth, authProof{MAC: t.mac(n.opts.Secret, roleClient)}, nil); err != nil {
		return "", errors.Wrap(err, "auth")
	}
	return reply.Host, nil
}
