package schedule

import (
	"fmt"
	"testing"
	"time"
)

// Measures the division of the slots of a host's 419 servers, from the demand of
// 20 workspaces per host.
func BenchmarkDivide(b *testing.B) {
	const (
		servers           = 419
		workspacesPerHost = 20
		workspaces        = 6600
	)
	list := make([]ServerLimit, servers)
	for i := range list {
		list[i] = ServerLimit{Server: fmt.Sprintf("s%03d", i), Limit: 8}
	}
	for _, n := range []int{8, 32, 128, 420} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			weights := map[string]float64{}
			hosts := make([]HostDemand, n)
			for i := range hosts {
				hosts[i].Host = fmt.Sprintf("host-%03d", i)
				for j := range workspacesPerHost {
					name := fmt.Sprintf("w%04d", (i*workspacesPerHost+j)%workspaces)
					weights[name] = 1
					hosts[i].Workspaces = append(hosts[i].Workspaces, WorkspaceDemand{
						Workspace: name, Online: Amount{Tokens: 300, Items: 2}, Batch: Amount{Tokens: 900, Items: 6},
					})
				}
			}
			rotation := Rotation(time.Unix(1000, 0))
			b.ReportAllocs()
			for b.Loop() {
				d := Divide("host-007", servers*8, weights, hosts)
				d.ServerSlots(list, Online, rotation)
				d.ServerSlots(list, Batch, rotation)
			}
		})
	}
}
