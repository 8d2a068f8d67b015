package jobs

import (
	"context"
	"encoding/json"
	"time"

	"ragwortstep/internal/core/config"
	"ragwortstep/internal/defaults"
	"ragwortstep/internal/dispatch"
	"ragwortstep/internal/events"
	"ragwortstep/internal/fleet"
	"ragwortstep/internal/limiter"
	"ragwortstep/internal/peer"
	"ragwortstep/internal/store"
)

// Dispatcher runs one item on a backend server. A refusal is a
// *dispatch.RefusedError. It must check the freshness lease immediately before
// it sends a batch item: a host that was paused while items waited in the
// dispatcher's queue may have missed their cancellation.
type Dispatcher interface {
	Do(ctx context.Context, req *dispatch.Request) (*dispatch.Response, error)
}

// Limiter applies the workspace's rate limit to items. After a
// *limiter.RefusedError the runner waits for RetryAfter and tries again.
type Limiter interface {
	Acquire(ctx context.Context, workspace string, n float64, class limiter.Class) error
}

// Fleet is the part of the fleet membership that the jobs service uses.
type Fleet interface {
	View() fleet.View
	Config() *config.Snapshot
	MayAdmit(now time.Time) error
	Publish(section string, value any)
	Subscribe(section string, fn func(from peer.HostID, raw json.RawMessage))
	HeartbeatNow()
}

var _ Fleet = fleet.Service(nil)

// Options configures a Service. Fields without a default are required unless
// marked optional. Zero durations and sizes take the default.
type Options struct {
	Host        peer.HostID // this host's name, as in fleet.View.Members
	Incarnation string      // new for each process start, as in fleet.Member.Incarnation

	Store      store.Store
	Fleet      Fleet
	Peers      peer.Caller // optional: without it, hosts discover jobs only by listing them
	Dispatcher Dispatcher
	Limiter    Limiter // optional: without it, items are not rate limited
	// IsPreempted reports whether an error of Dispatcher.Do means that the item
	// was preempted by online work, for example a *dispatch.PreemptedError.
	// Optional: without it, no error counts as preemption.
	IsPreempted func(error) bool
	Events      *events.Recorder // optional

	// DataFolder is the folder for bulk data; empty when the host has no disk.
	DataFolder string

	Workers       int           // items in flight, default 256
	OpenChunks    int           // chunks claimed at once, default 16
	MaxAttempts   int           // attempts per item over all owners, default 3, at most 255
	ItemTimeout   time.Duration // limit of one attempt, including its wait in the dispatcher's queue; default 10 min
	Retention     time.Duration // of files and results, default 720 h
	HeldBytes     int64         // limit of uncommitted results in memory, default 32 MiB
	HeldDiskBytes int64         // limit of uncommitted results under DataFolder, default 1 GiB
	MaxFileBytes  int64         // largest uploaded file, default 2 GiB
	MaxItems      int           // items per file, default 200,000
	MaxUploads    int           // files uploaded at once per host, default 4

	Discovery      time.Duration // interval between listings of active jobs, default 10 s, jittered
	WatchInterval  time.Duration // the same on the hosts that watch for cancellations in a zone, default 1 s
	CommitInterval time.Duration // interval between commits of a chunk, default 5 s
	FinishInterval time.Duration // interval between checks of whether a job is complete, default 10 s
	RepairInterval time.Duration // interval between index repairs, default 60 s
	SweepInterval  time.Duration // interval between retention sweeps, default 1 h
	CommitRate     float64       // limit of each host's commits per second after an outage, default 20
	RetryDelay     time.Duration // first delay before an item is retried, default 500 ms
	SealGrace      time.Duration // time for owners to commit results of a cancelled job, default 1 s

	Now func() time.Time // default time.Now
}

// withDefaults returns the options with defaults in place of zero values.
func (o Options) withDefaults() Options {
	defaults.Set(&o.Workers, 256)
	defaults.Set(&o.OpenChunks, 16)
	defaults.Set(&o.MaxAttempts, 3)
	defaults.Set(&o.ItemTimeout, 10*time.Minute)
	defaults.Set(&o.Retention, 720*time.Hour)
	defaults.Set(&o.HeldBytes, 32<<20)
	defaults.Set(&o.HeldDiskBytes, 1<<30)
	defaults.Set(&o.MaxFileBytes, 2<<30)
	defaults.Set(&o.MaxItems, 200_000)
	defaults.Set(&o.MaxUploads, 4)
	defaults.Set(&o.Discovery, 10*time.Second)
	defaults.Set(&o.WatchInterval, time.Second)
	defaults.Set(&o.CommitInterval, 5*time.Second)
	defaults.Set(&o.FinishInterval, 10*time.Second)
	defaults.Set(&o.RepairInterval, time.Minute)
	defaults.Set(&o.SweepInterval, time.Hour)
	defaults.Set(&o.CommitRate, 20)
	defaults.Set(&o.RetryDelay, 500*time.Millisecond)
	defaults.Set(&o.SealGrace, time.Second)
	o.MaxAttempts = min(o.MaxAttempts, 255)
	if o.IsPreempted == nil {
		o.IsPreempted = func(error) bool { return false }
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}
