package settings

import "net/netip"

// listenPaths are the settings with the addresses that a host listens on.
var listenPaths = []string{"listen.callers", "listen.peers", "listen.admin", "listen.metrics"}

// checkAddresses reports listeners with the same address. An unspecified address
// conflicts with every address that has the same port.
func (l *loader) checkAddresses() {
	used := map[string]netip.AddrPort{}
	for _, path := range listenPaths {
		addr, err := netip.ParseAddrPort(fieldValue(l.settings, path).String())
		if err != nil {
			continue
		}
		for _, other := range listenPaths {
			if otherAddr, ok := used[other]; ok && overlap(addr, otherAddr) {
				l.addFieldError(path, "duplicate address, also used by "+other)
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
