// Package harness runs a whole deployment as processes on loopback
// addresses: the platform, engines and services, relays with the delays
// between zones, and the hosts. Integration tests, the demo, the load tool
// and the soak run use it.
package harness

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// Names of the deployments.
const (
	Thies    = "thies"
	QuangNam = "quangnam"
)

// Layout describes a deployment.
type Layout struct {
	Name        string
	Zones       []string
	ZoneDelay   time.Duration // one way between zones
	ClientDelay time.Duration // one way between callers and hosts
	Model       string        // model that all engines serve
	Service     string        // name of the plain service
	Prefix      string        // path prefix of the plain service
	Hosts       []HostSpec
	Engines     []EngineSpec
	Services    []ServiceSpec
	Workspaces  []WorkspaceSpec
}

// HostSpec describes a host.
type HostSpec struct {
	Name       string
	Zone       string
	Size       float64
	DataFolder bool
}

// EngineSpec describes an engine.
type EngineSpec struct {
	Name    string
	Zone    string
	Speed   float64
	Slots   int
	Knee    int           // sequences up to which a step takes the time Step
	Step    time.Duration // between two tokens at speed 1
	Fencing bool
}

// ServiceSpec describes a plain service.
type ServiceSpec struct {
	Name  string
	Zone  string
	Speed float64
	Slots int
	Work  time.Duration // of one call at speed 1
}

// WorkspaceSpec is a row of the sample table.
type WorkspaceSpec struct {
	Name     string
	Weight   float64
	Rate     float64 // requests/s
	Burst    float64 // requests
	MaxQueue int
}

const (
	// engineStep gives between 10 and 40 ms between tokens at the speeds below.
	engineStep = 20 * time.Millisecond
	// serviceWork is the time of a call to a plain service at speed 1.
	serviceWork = 5 * time.Millisecond
	// dataFolderHosts is the number of hosts, from the first, with a data folder.
	dataFolderHosts = 2
)

// engineSpeeds are the relative speeds of the engines, repeated as needed.
// The fastest is four times as fast as the slowest.
var engineSpeeds = []float64{1, 2, 0.5, 1.25, 0.75, 1.5}

// LayoutOf returns the layout of a deployment.
func LayoutOf(name string) (Layout, error) {
	switch name {
	case Thies:
		return thies(), nil
	case QuangNam:
		return quangNam(), nil
	}
	return Layout{}, errors.Newf("deployment %q: want %s or %s", name, Thies, QuangNam)
}

func thies() Layout {
	l := Layout{
		Name:        Thies,
		Zones:       []string{"thies-nord", "thies-centre", "thies-sud"},
		ZoneDelay:   1500 * time.Microsecond,
		ClientDelay: 3 * time.Millisecond,
		Model:       "assistant-lm",
		Service:     "alert-app",
		Prefix:      "/alerts/",
		Workspaces: sampleWorkspaces([]string{
			"quotes", "alerts", "claims", "advisors", "payouts", "weather", "audit", "training",
		}),
	}
	l.SetHosts(6)
	l.addServers(12, 3)
	return l
}

func quangNam() Layout {
	l := Layout{
		Name:        QuangNam,
		Zones:       []string{"qn-a", "qn-b", "qn-c", "qn-d"},
		ZoneDelay:   500 * time.Microsecond,
		ClientDelay: time.Millisecond,
		Model:       "khamviet-lm",
		Service:     "kho-app",
		Prefix:      "/kho/",
		Workspaces: sampleWorkspaces([]string{
			"translation", "archive", "tourism", "market", "schools", "clinics", "radio", "library",
		}),
	}
	l.SetHosts(8)
	l.addServers(18, 4)
	return l
}

// sampleWorkspaces makes the first two large, the third medium and the rest small.
func sampleWorkspaces(names []string) []WorkspaceSpec {
	var out []WorkspaceSpec
	for i, name := range names {
		w := WorkspaceSpec{Name: name, Weight: 1, Rate: 20, Burst: 40, MaxQueue: 100}
		switch {
		case i < 2:
			w.Weight, w.Rate, w.Burst, w.MaxQueue = 8, 200, 400, 500
		case i == 2:
			w.Weight, w.Rate, w.Burst, w.MaxQueue = 4, 100, 200, 300
		}
		out = append(out, w)
	}
	return out
}

// SetHosts replaces the hosts by n hosts of differing sizes over the zones.
func (l *Layout) SetHosts(n int) {
	sizes := []float64{1, 2, 0.5, 1}
	l.Hosts = nil
	for i := range n {
		l.Hosts = append(l.Hosts, HostSpec{
			Name:       fmt.Sprintf("host-%02d", i+1),
			Zone:       l.Zones[i%len(l.Zones)],
			Size:       sizes[i%len(sizes)],
			DataFolder: i < dataFolderHosts,
		})
	}
}

func (l *Layout) addServers(engines, services int) {
	for i := range engines {
		knee := 16
		if i%3 == 2 {
			knee = 8
		}
		l.Engines = append(l.Engines, EngineSpec{
			Name: fmt.Sprintf("engine-%02d", i+1), Zone: l.Zones[i%len(l.Zones)],
			Speed: engineSpeeds[i%len(engineSpeeds)], Slots: 2 * knee, Knee: knee,
			Step: engineStep, Fencing: i%2 == 0,
		})
	}
	for i := range services {
		l.Services = append(l.Services, ServiceSpec{
			Name: fmt.Sprintf("%s-%02d", l.Service, i+1), Zone: l.Zones[i%len(l.Zones)],
			Speed: engineSpeeds[i%len(engineSpeeds)], Slots: 16, Work: serviceWork,
		})
	}
}

// Capacity is the engines' output at their knees, in tokens per second.
func (l *Layout) Capacity() float64 {
	total := 0.0
	for _, e := range l.Engines {
		total += float64(e.Knee) * e.Speed / e.Step.Seconds()
	}
	return total
}

// ServerDelay is the one-way delay of the link to a backend server. All hosts
// reach a server at one address, so that the delay is the mean over the zones
// a host may be in.
func (l *Layout) ServerDelay() time.Duration {
	n := time.Duration(len(l.Zones))
	return l.ZoneDelay * (n - 1) / n
}

// Rand returns a random source for a seed, for tests and tools.
func Rand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0x2545f4914f6cdd1d)) }
