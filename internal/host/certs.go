package host

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// certCheckInterval is the minimum time between checks of the certificate file
// for a change.
const certCheckInterval = 5 * time.Second

// certSource provides a certificate that is reloaded when its file changes. If
// the files cannot be read, the former certificate stays in use.
type certSource struct {
	certFile, keyFile string

	mu        sync.Mutex
	cert      *tls.Certificate
	modTime   time.Time
	lastCheck time.Time
}

func newCertSource(certFile, keyFile string) (*certSource, error) {
	c := &certSource{certFile: certFile, keyFile: keyFile}
	return c, c.load()
}

func (c *certSource) load() error {
	info, err := os.Stat(c.certFile)
	if err != nil {
		return errors.Wrap(err, "read certificate")
	}
	cert, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return errors.Wrapf(err, "read certificate %s", c.certFile)
	}
	c.cert, c.modTime = &cert, info.ModTime()
	return nil
}

// getCertificate is the tls.Config.GetCertificate callback.
func (c *certSource) getCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.lastCheck) > certCheckInterval {
		c.lastCheck = now
		if info, err := os.Stat(c.certFile); err == nil && !info.ModTime().Equal(c.modTime) {
			_ = c.load()
		}
	}
	return c.cert, nil
}
