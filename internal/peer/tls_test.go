package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"expvar"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/jsonrpc2"
)

// rawConn speaks JSON-RPC without the client's side of the handshake.
type rawConn struct{ rpc *jsonrpc2.Conn }

func dialRaw(t *testing.T, address string) rawConn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	rpc := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(conn, newCodec(maxMessageBytes)), refuseCalls{}, jsonrpc2.SetLogger(rpcLogger{discardLogger()}))
	t.Cleanup(func() { _ = rpc.Close() })
	return rawConn{rpc}
}

func (r rawConn) call(method string, params, result any) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return r.rpc.Call(ctx, method, params, result)
}

func counter(name string) int64 {
	v, ok := stats.Get(name).(*expvar.Int)
	if !ok {
		return 0
	}
	return v.Value()
}

// authority issues certificates for hosts.
type authority struct {
	t    *testing.T
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage: x509.KeyUsageCertSign, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{t: t, key: key, cert: cert}
}

// issue writes a host's certificate, key and authority into dir.
func (a *authority) issue(dir, host string, serial int64) TLSFiles {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: host},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	rawKey, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	files := TLSFiles{Cert: filepath.Join(dir, host+".pem"), Key: filepath.Join(dir, host+".key"), CA: filepath.Join(dir, host+".ca")}
	a.write(files.Cert, "CERTIFICATE", der)
	a.write(files.Key, "EC PRIVATE KEY", rawKey)
	a.write(files.CA, "CERTIFICATE", a.cert.Raw)
	return files
}

func (a *authority) write(name, kind string, der []byte) {
	a.t.Helper()
	if err := os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
}

// Guards against accepting certificates of another authority or another
// host's name, and against certificates that are only read at start.
func TestMutualTLSAndReload(t *testing.T) {
	is := is.New(t)
	dir, ca := t.TempDir(), newAuthority(t)
	a := startNode(t, Options{Self: "a", TLS: ca.issue(dir, "a", 2)})
	b := startNode(t, Options{Self: "b", TLS: ca.issue(dir, "b", 3)})
	stranger := startNode(t, Options{Self: "x", TLS: newAuthority(t).issue(dir, "x", 4)})
	impostor := startNode(t, Options{Self: "a", TLS: ca.issue(dir, "other", 5)})
	ctx := context.Background()
	var out echoed
	_, err := a.CallAddress(ctx, b.Address(), "echo", "x", &out)
	is.NoErr(err)
	is.Equal(out.From, HostID("a"))
	_, err = stranger.CallAddress(ctx, b.Address(), "echo", "x", nil)
	is.True(err != nil)
	_, err = impostor.CallAddress(ctx, b.Address(), "echo", "x", nil)
	is.True(err != nil)
	plain := startNode(t, Options{Self: "p", Secret: "s"})
	_, err = plain.CallAddress(ctx, b.Address(), "echo", "x", nil)
	is.True(err != nil)

	// b switches to a new authority without a restart.
	next := newAuthority(t)
	next.issue(dir, "b", 6)
	_, err = startNode(t, Options{Self: "d", TLS: ca.issue(dir, "d", 7)}).CallAddress(ctx, b.Address(), "echo", "x", nil)
	is.True(err != nil) // the former authority is no longer trusted
	_, err = startNode(t, Options{Self: "e", TLS: next.issue(dir, "e", 8)}).CallAddress(ctx, b.Address(), "echo", "x", nil)
	is.NoErr(err)
}
