// Package cluster exchanges small digests between the entry hosts over UDP. They
// serve for liveness detection and carry named sections, which other packages
// provide and receive.
//
// In a small fleet every host sends to every other one. In a large fleet each
// availability zone has a delegate, its largest live host, and a deputy. Hosts
// send to these two. The delegate sends the merged sections of its zone to the
// delegates and deputies of the other zones, and those of all zones to the hosts
// of its own zone. The total traffic therefore does not grow with the square of
// the number of hosts, and a delegate encodes each message once for all of its
// recipients.
//
// A digest echoes the timestamp of the last one that its sender received from
// the recipient. The recipient can therefore convert ages stated in the digest
// to times on its own clock, and knows its own part of a merged section.
package cluster

import (
	"expvar"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// digestInterval is how often each peer gets a digest. Streams last about
	// half a second, so counts of requests in flight are still useful then.
	digestInterval = 250 * time.Millisecond
	// Every fullDigestEvery-th digest contains the sender's address, zone and
	// size, which peers remember. The others omit them because traffic between
	// zones is metered.
	fullDigestEvery = 8
	// sendNowGap and sendSoonGap are the least times between two rounds of
	// digests after SendNow and SendSoon. delegateGap replaces both at a delegate,
	// whose rounds reach a whole zone.
	sendNowGap  = 20 * time.Millisecond
	sendSoonGap = 100 * time.Millisecond
	delegateGap = 100 * time.Millisecond
	// AliveTimeout is how long a host counts as alive after its last digest, so
	// three digests may be lost or late.
	AliveTimeout = time.Second
	// changeGap is the least time between two calls of the change listeners. Their
	// work grows with the fleet, and many hosts may start together.
	changeGap = 50 * time.Millisecond
)

var counters = expvar.NewMap("cluster")

// Member is one process of the fleet.
type Member struct {
	Name        string `json:"n" cbor:"1,keyasint"`           // of the host, kept across restarts
	Incarnation int64  `json:"i" cbor:"2,keyasint"`           // of the process, increases with each restart
	Address     string `json:"a,omitempty" cbor:"3,keyasint"` // IP and port for peers, both TCP and UDP
	Zone        string `json:"z,omitempty" cbor:"4,keyasint"`
	Size        int    `json:"s,omitempty" cbor:"5,keyasint"` // thousandths of a core
	Leaving     bool   `json:"l,omitempty" cbor:"6,keyasint"`
}

// Raw is an encoded section.
type Raw = cbor.RawMessage

// sections holds a digest's sections by name.
type sections map[string]Raw

// SectionUpdate is a received section, of one peer or merged from several.
type SectionUpdate struct {
	// From is the peer. For a merged section its name is a slash followed by the
	// zone's name, and its incarnation identifies the merged processes.
	From   Member
	Merged bool
	Raw    Raw
	// Own is the part of this host in a merged section, nil if it has none.
	Own Raw
	// EchoedSentAt is the time on this host's clock at which it sent the last
	// digest that the peer received before it sent this one. EchoKnown is false if
	// the peer had received none.
	EchoedSentAt Instant
	EchoKnown    bool
}

// MergeFunc merges the values of a section of several hosts.
type MergeFunc func(values []Raw) (any, error)

// Options configures a Cluster. Self and Conn are required.
type Options struct {
	Self   Member
	Conn   net.PacketConn
	Logger *slog.Logger
}

// Cluster sends and receives this host's digests. It is safe for concurrent use.
type Cluster struct {
	opts    Options
	started time.Time

	mu              sync.Mutex
	self            Member
	peers           map[string]*peer
	byHash          map[uint32]*peer // by nameHash; nil after a peer was added or removed
	snapshot        *roster          // nil after the membership changed
	membersKnown    bool             // SetMembers was called
	remote          map[string]remoteZone
	sent            []sentSections // of the last rounds, oldest first
	providers       map[string]func() any
	mergers         map[string]MergeFunc
	receivers       map[string][]func(SectionUpdate)
	changeListeners []func()
	changed         chan struct{}
	sendNow         chan struct{}
	sendSoon        chan struct{}
	lastSent        time.Time
	rounds          int // rounds of digests sent
}

// remoteZone is the latest merged digest of another zone.
type remoteZone struct {
	zoneDigest
	receivedAt time.Time
}

// New returns a Cluster without peers.
func New(opts Options) *Cluster {
	if opts.Logger == nil {
		opts.Logger = slog.Default()
	}
	return &Cluster{
		opts: opts, self: opts.Self, started: time.Now(), peers: map[string]*peer{}, remote: map[string]remoteZone{},
		providers: map[string]func() any{}, mergers: map[string]MergeFunc{}, receivers: map[string][]func(SectionUpdate){},
		changed: make(chan struct{}, 1), sendNow: make(chan struct{}, 1), sendSoon: make(chan struct{}, 1),
	}
}

// Provide sets the function that returns a section of this host's digests. A nil
// result omits the section. Call it before Run.
func (c *Cluster) Provide(section string, fn func() any) { c.providers[section] = fn }

// Merge sets the function with which delegates merge a section, so that it
// reaches all hosts of a large fleet. Other sections reach only the hosts that
// receive the digest directly. Call it before Run.
func (c *Cluster) Merge(section string, fn MergeFunc) { c.mergers[section] = fn }

// Receive registers a receiver of a section. Call it before Run.
func (c *Cluster) Receive(section string, fn func(SectionUpdate)) {
	c.receivers[section] = append(c.receivers[section], fn)
}

// OnChange registers a function that is called after peers appeared, restarted,
// left or timed out, once for changes that are less than changeGap apart. Call it
// before Run.
func (c *Cluster) OnChange(fn func()) { c.changeListeners = append(c.changeListeners, fn) }

// Self returns this host's own entry.
func (c *Cluster) Self() Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.self
}

// Leave announces to the peers that this host is shutting down.
func (c *Cluster) Leave() {
	c.mu.Lock()
	c.self.Leaving = true
	c.snapshot = nil
	c.mu.Unlock()
	c.SendNow()
}

// SendNow sends the next digests at once, or a short gap after the last ones.
func (c *Cluster) SendNow() { signal(c.sendNow) }

// SendSoon is SendNow with a longer gap, for changes that can wait a little, such
// as a newly started batch item. In a large fleet it has no effect, because
// delegates pass digests on at the regular interval.
func (c *Cluster) SendSoon() { signal(c.sendSoon) }

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
