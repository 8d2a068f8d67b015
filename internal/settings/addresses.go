package settings

import "net/netip"

// listenPaths are the addresses that one host binds, which must differ.
var listenPaths = []string{"listen.callers", "listen.peers", "listen.admin", "listen.metrics"}

// checkAddresses refuses two listeners on one address. An unspecified address
// covers every address with the same port.
func (l *loader) checkAddresses() {
	used := map[string]netip.AddrPort{}
	for _, path := range listenPaths {
		addr, err := netip.ParseAddrPort(target(l.settings, path).String())
		if err != nil {
			continue
		}
		for _, other := range listenPaths {
			if earlier, ok := used[other]; ok && overlap(addr, earlier) {
				l.fault(path, "duplicate address, also used by "+other)
				break
			}
		}
		used[path] = addr
	}
}

func overlap(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}
