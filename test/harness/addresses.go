package harness

import (
	"fmt"
	"net"
	"os"

	"github.com/cockroachdb/errors"
)

// Ports, below the range of ephemeral ports. Every process has a loopback
// address of its own, so that all hosts use the same ports as in production.
const (
	portCallers      = 8080
	portPeers        = 7946
	portAdmin        = 9090
	portMetrics      = 9091
	portServer       = 8000
	portControl      = 8001
	portPlatform     = 7000
	portCallersRelay = 18080
	portServerRelay  = 18000
	portPlatRelay    = 17000
	portLock         = 19999
)

// Last bytes of addresses within a deployment's network.
const (
	platformByte  = 1
	relayByte     = 2
	firstHost     = 10
	firstEngine   = 110
	firstService  = 210
	maxHosts      = firstEngine - firstHost
	maxEngines    = firstService - firstEngine
	maxServices   = 40
	networkTrials = 64
	networks      = 126 * 250 // 127.128.0 to 127.253.249
	pidStride     = 7
)

// network is a range of 127.x.y.0/24 that one deployment uses. The lock keeps
// other deployments on this machine away from it.
type network struct {
	prefix string
	lock   net.Listener
}

// reserveNetwork takes a free network, starting at one that depends on the process id.
func reserveNetwork() (*network, error) {
	start := os.Getpid() * pidStride
	for i := range networkTrials {
		n := (start + i) % networks
		prefix := fmt.Sprintf("127.%d.%d.", 128+n/250, n%250)
		lock, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", prefix, platformByte, portLock))
		if err == nil {
			return &network{prefix: prefix, lock: lock}, nil
		}
	}
	return nil, errors.Newf("no free loopback network after %d trials", networkTrials)
}

func (n *network) address(last, port int) string {
	return fmt.Sprintf("%s%d:%d", n.prefix, last, port)
}

func (n *network) release() { _ = n.lock.Close() }
