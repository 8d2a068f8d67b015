package host

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// certCheckInterval is how often the files are checked for a change.
const certCheckInterval = 5 * time.Second

// certSource serves a certificate that is reread when its file changes. A
// file that cannot be read keeps the former certificate in use.
type certSource struct {
	certFile, keyFile string

	mu      sync.Mutex
	cert    *tls.Certificate
	changed time.Time
	checked time.Time
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
	c.cert, c.changed = &cert, info.ModTime()
	return nil
}

// get implements tls.Config.GetCertificate.
func (c *certSource) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.checked) > certCheckInterval {
		c.checked = now
		if info, err := os.Stat(c.certFile); err == nil && !info.ModTime().Equal(c.changed) {
			_ = c.load()
		}
	}
	return c.cert, nil
}
