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
	portCallers       = 8080
	portPeers         = 7946
	portAdmin         = 9090
	portMetrics       = 9091
	portServer        = 8000
	portControl       = 8001
	portPlatform      = 7000
	portCallersRelay  = 18080
	portServerRelay   = 18000
	portPlatformRelay = 17000
	portLock          = 19999
)

// Last bytes of addresses within a deployment's network.
const (
	platformByte       = 1
	relayByte          = 2
	firstHostByte      = 10
	firstEngineByte    = 110
	firstServiceByte   = 210
	maxHosts           = firstEngineByte - firstHostByte
	maxEngines         = firstServiceByte - firstEngineByte
	maxServices        = 40
	maxNetworkAttempts = 64
	networkCount       = 126 * 250 // 127.128.0 to 127.253.249
	pidStride          = 7         // distance between the first choices of adjacent process ids
)

// Network is the range 127.x.y.0/24 that one deployment uses. The lock, a
// listener in the range, keeps other deployments on this machine out of it.
type Network struct {
	prefix string
	lock   net.Listener
}

// ReserveNetwork takes a free network, starting at one that depends on the process id.
func ReserveNetwork() (*Network, error) {
	start := os.Getpid() * pidStride
	for i := range maxNetworkAttempts {
		n := (start + i) % networkCount
		prefix := fmt.Sprintf("127.%d.%d.", 128+n/250, n%250)
		lock, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", prefix, platformByte, portLock))
		if err == nil {
			return &Network{prefix: prefix, lock: lock}, nil
		}
	}
	return nil, errors.Newf("no free loopback network after %d attempts", maxNetworkAttempts)
}

// Address returns the address with the last byte and the port.
func (n *Network) Address(lastByte, port int) string {
	return fmt.Sprintf("%s%d:%d", n.prefix, lastByte, port)
}

// Release lets other deployments have the network.
func (n *Network) Release() { _ = n.lock.Close() }
