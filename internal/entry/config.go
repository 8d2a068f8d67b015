package entry

import (
	"log/slog"
	"sync/atomic"
	"time"

	"ragwortstep/internal/callers"
	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/informer"
)

// configuration holds the current configuration snapshot. It implements
// online.Config.
type configuration struct {
	platform Platform
	informer *informer.Informer
	prefix   string
	keyAge   time.Duration
	log      *slog.Logger
	onAdopt  func(*routing.Snapshot) // called with each new version; may be nil
	current  atomic.Pointer[routing.Snapshot]
}

// Current implements online.Config.
func (c *configuration) Current() *routing.Snapshot { return c.current.Load() }

// Fresh implements online.Config.
func (c *configuration) Fresh() bool {
	if c.current.Load() == nil {
		return false
	}
	if c.keyAge <= 0 {
		return true
	}
	age, ok := c.informer.Age(c.prefix)
	return ok && age < c.keyAge
}

// Age implements online.Config.
func (c *configuration) Age() time.Duration {
	age, ok := c.informer.Age(c.prefix)
	if !ok {
		return -1
	}
	return age
}

// callerLimits returns the limits of the current configuration.
func (c *configuration) callerLimits() callers.Limits {
	snapshot := c.current.Load()
	if snapshot == nil {
		return callers.Limits{}
	}
	return callers.Limits{HeaderBytes: snapshot.MaxHeaderBytes, HeaderTime: snapshot.HeaderTimeout, IdleTime: snapshot.IdleTimeout}
}

// workspace returns a workspace of the current configuration.
func (c *configuration) workspace(name string) (routing.Workspace, bool) {
	snapshot := c.current.Load()
	if snapshot == nil {
		return routing.Workspace{}, false
	}
	w, ok := snapshot.Workspaces[name]
	return w, ok
}

// update stores the configuration if its version is newer than the current one.
func (c *configuration) update(copied informer.Copy) {
	for _, obj := range copied.Objects {
		next, err := decode(c.platform.DecodeConfig, obj)
		if err != nil {
			c.log.Error("cannot decode configuration", "event", "config_refused", "step", "decode configuration", "object", obj.Key, "object_version", obj.Version, "error", err)
			continue
		}
		if next == nil {
			continue
		}
		if old := c.current.Load(); old != nil && old.Version >= next.Version {
			continue
		}
		c.current.Store(next)
		if c.onAdopt != nil {
			c.onAdopt(next)
		}
		c.log.Info("configuration applied", "event", "config_adopted", "version", next.Version, "object_version", obj.Version,
			"source", copied.Source, "copy_age_ms", copied.Age.Milliseconds(), "routes", len(next.Routes), "workspaces", len(next.Workspaces))
	}
}
