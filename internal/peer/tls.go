package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// certificates holds the key pair and the authority of a host and rereads
// their files when they change. It is safe for concurrent use.
type certificates struct {
	files TLSFiles

	mu       sync.Mutex
	versions [3]fileVersion
	pair     tls.Certificate
	roots    *x509.CertPool
}

// fileVersion is compared to detect changes of a file.
type fileVersion struct {
	modified time.Time
	size     int64
}

func loadCertificates(files TLSFiles) (*certificates, error) {
	c := &certificates{files: files}
	if err := c.reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// current returns the key pair and the roots, reread when a file changed.
// When the new files are unusable, for example half written, the previous
// certificates remain in use and the next call tries again.
func (c *certificates) current() (tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.reload(); err != nil {
		stats.Add("tls_reload_failures", 1)
	}
	return c.pair, c.roots
}

// reload rereads changed files. The caller holds mu, except at construction.
func (c *certificates) reload() error {
	var versions [3]fileVersion
	for i, name := range []string{c.files.Cert, c.files.Key, c.files.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return errors.Wrap(err, "peer certificate")
		}
		versions[i] = fileVersion{modified: info.ModTime(), size: info.Size()}
	}
	if versions == c.versions {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(c.files.Cert, c.files.Key)
	if err != nil {
		return errors.Wrapf(err, "peer certificate %s", c.files.Cert)
	}
	authority, err := os.ReadFile(c.files.CA)
	if err != nil {
		return errors.Wrap(err, "peer authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return errors.Newf("peer authority %s: no certificate found", c.files.CA)
	}
	c.pair, c.roots, c.versions = pair, roots, versions
	stats.Add("tls_reloads", 1)
	return nil
}

func (c *certificates) serverConfig() *tls.Config {
	pair, roots := c.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    roots,
		// A resumed session would skip the check against reloaded roots.
		SessionTicketsDisabled: true,
	}
}

func (c *certificates) clientConfig() *tls.Config {
	pair, roots := c.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		// The chain is verified below. The library's check would need a server
		// name, but peers are dialled by IP address and seeds have no known name;
		// the name in the certificate is compared with the hello instead.
		InsecureSkipVerify: true,
		VerifyConnection:   func(state tls.ConnectionState) error { return verifyChain(state, roots) },
	}
}

func verifyChain(state tls.ConnectionState, roots *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.Wrap(errUnauthenticated, "no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return errors.Wrap(err, "peer certificate")
}

// checkCertificateName reports whether the peer's certificate is for the host.
func checkCertificateName(state tls.ConnectionState, host HostID) error {
	if len(state.PeerCertificates) == 0 {
		return errors.Wrap(errUnauthenticated, "no certificate")
	}
	cert := state.PeerCertificates[0]
	if cert.Subject.CommonName == string(host) || slices.Contains(cert.DNSNames, string(host)) {
		return nil
	}
	return errors.Wrapf(errUnauthenticated, "certificate is not for host %s", host)
}
