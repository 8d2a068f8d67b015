// Package lab2 holds what the scripts of the second review share: host processes that
// are started as deploy/system.toml says, stand-ins of model servers and of the platform
// around them, clients, and the record of a run.
package lab2

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Network is a block of loopback addresses, 127.x.y.1 to 127.x.y.254.
type Network struct{ prefix string }

// NewNetwork picks a block in which nothing listens at the ports that the scripts use.
func NewNetwork() (Network, error) {
	for range 50 {
		n := Network{fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))}
		l, err := net.Listen("tcp", n.Address(1, portFront))
		if err != nil {
			continue
		}
		_ = l.Close()
		return n, nil
	}
	return Network{}, fmt.Errorf("no block of loopback addresses is free")
}

// IP returns the address with a last byte.
func (n Network) IP(last int) string { return fmt.Sprintf("%s%d", n.prefix, last) }

// Address returns an address with a port.
func (n Network) Address(last, port int) string { return fmt.Sprintf("%s:%d", n.IP(last), port) }
