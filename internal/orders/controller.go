// Package orders sends orders to engines: to load a model, an adapter or a
// version, or to change the engine's role. The desired state is stored in the
// platform. One host at a time holds the order controller's role and brings the
// engines to the desired state.
package orders

import (
	"cmp"
	"context"
	"expvar"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/config"
	"ragwortstep/internal/core/lease"
	"ragwortstep/internal/core/orders"
	"ragwortstep/internal/events"
	"ragwortstep/internal/store"
)

const (
	// relistInterval is how often the holder lists all orders even if the watch
	// reports no change, because a watch may lose events.
	relistInterval = 30 * time.Second
	// planInterval is how often the holder checks for orders whose retry or
	// waiting time has passed.
	planInterval = 200 * time.Millisecond
	// watchRetryDelay is the delay after a failed watch or list.
	watchRetryDelay = time.Second
	// recordTimeout bounds the update that records the outcome of an order.
	recordTimeout = 10 * time.Second
	// drainTimeout bounds the release of the role at shutdown.
	drainTimeout = 6 * time.Second
)

var counters = expvar.NewMap("orders")

// Options configures a Controller. Store, Writer, Config and Candidate are required.
type Options struct {
	Store  store.Store
	Writer *store.Writer // its ID identifies the holder in the lease
	// Config returns the current configuration, which has the addresses of the
	// servers and whether they check fencing numbers.
	Config func() *config.Snapshot
	// Candidate reports whether this host may take over the role. It should be
	// true on only two or three hosts, for example the first live members by
	// name, to bound the calls to the platform.
	Candidate func() bool
	Recorder  *events.Recorder // may be nil
	Logger    *slog.Logger     // default slog.Default()
	// Lease holds the durations of the role's lease. Zero values select the
	// defaults of core/lease. Self is taken from Writer.
	Lease lease.Options

	afterLeaseCheck func() // for tests, see newSender
}

// Controller brings the engines to their desired state while this host holds
// the role.
type Controller struct {
	opts    Options
	desired *Desired
	role    *role
	sender  *sender

	wake chan struct{} // signals a change of the role or of an order

	mu       sync.Mutex
	entries  []Entry
	epoch    uint64 // epoch of progress
	progress *orders.Progress
	inFlight sync.WaitGroup
}

// New returns a controller. Call Run to start it.
func New(o Options) *Controller {
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	o.Lease.Self = o.Writer.ID
	o.Lease.Renew = cmp.Or(o.Lease.Renew, lease.DefaultRenew)
	o.Lease.OrderTimeout = cmp.Or(o.Lease.OrderTimeout, lease.DefaultOrderTimeout)
	c := &Controller{
		opts: o, desired: NewDesired(o.Store, o.Writer), sender: newSender(o.Lease.OrderTimeout, o.afterLeaseCheck),
		wake: make(chan struct{}, 1), progress: orders.NewProgress(),
	}
	c.role = &role{
		store: o.Store, opts: o.Lease, candidate: o.Candidate, logger: o.Logger,
		onChange: c.roleChanged, leaseRole: lease.New(o.Lease),
	}
	return c
}

// Desired returns the desired state, for the operator API.
func (c *Controller) Desired() *Desired { return c.desired }

// Holder returns the fencing number and whether this host holds the role.
func (c *Controller) Holder() (epoch uint64, held bool) { return c.role.current() }

// Run sends orders until ctx ends, then waits for orders in flight and releases
// the role.
func (c *Controller) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { c.role.run(ctx) })
	wg.Go(func() { c.watchOrders(ctx) })
	wg.Go(func() { c.sendLoop(ctx) })
	wg.Wait()
	c.inFlight.Wait()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
	defer cancel()
	c.role.release(ctx)
}

func (c *Controller) roleChanged(held bool, epoch uint64) {
	kind := "role.lost"
	if held {
		kind = "role.gained"
	}
	c.record(events.Event{Kind: kind, Detail: "orders, epoch " + strconv.FormatUint(epoch, 10)})
	c.signal()
}

func (c *Controller) record(e events.Event) {
	if c.opts.Recorder != nil {
		c.opts.Recorder.Record(e)
	}
}

func (c *Controller) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// watchOrders keeps the list of orders up to date while the role is held.
func (c *Controller) watchOrders(ctx context.Context) {
	for ctx.Err() == nil {
		_, held := c.role.current()
		if !held {
			sleep(ctx, planInterval)
			continue
		}
		version, err := c.refresh(ctx)
		if err == nil {
			err = c.awaitChange(ctx, version)
		}
		if err != nil {
			sleep(ctx, watchRetryDelay)
		}
	}
}

// refresh lists all orders and returns the largest version of their objects.
func (c *Controller) refresh(ctx context.Context) (int64, error) {
	entries, version, err := c.desired.list(ctx)
	if err != nil {
		counters.Add("list_errors", 1)
		return 0, err
	}
	c.mu.Lock()
	c.entries = entries
	c.mu.Unlock()
	c.signal()
	return version, nil
}

// awaitChange returns when an order has changed after version, when the role is
// lost, or after relistInterval.
func (c *Controller) awaitChange(ctx context.Context, version int64) error {
	ctx, cancel := context.WithTimeout(ctx, relistInterval)
	defer cancel()
	for ctx.Err() == nil {
		result, err := c.opts.Store.Watch(ctx, desiredPrefix, version, 0)
		if err != nil {
			return errors.Wrapf(err, "platform watch %s", desiredPrefix)
		}
		if _, held := c.role.current(); !held || len(result.Events) > 0 {
			return nil
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// sendLoop sends the orders that are due.
func (c *Controller) sendLoop(ctx context.Context) {
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-c.wake:
		}
		c.sendDue(ctx)
	}
}

func (c *Controller) sendDue(ctx context.Context) {
	epoch, held := c.role.current()
	if !held {
		return
	}
	targets := c.targets()
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch != c.epoch {
		c.epoch, c.progress = epoch, orders.NewProgress()
	}
	mayOrder := func(fencing bool) bool { return c.role.mayOrder(epoch, fencing) }
	for _, e := range orders.Plan(time.Now(), c.entries, targets, c.progress, mayOrder) {
		progress := c.progress
		progress.AttemptStarted(e)
		c.inFlight.Go(func() { c.deliver(ctx, progress, e, targets[e.Server], epoch) })
	}
}

func (c *Controller) targets() map[string]orders.Target {
	out := map[string]orders.Target{}
	for name, s := range c.opts.Config().Servers {
		out[name] = orders.Target{Address: s.Address, Fencing: s.Fencing}
	}
	return out
}

// deliver sends one order and records its outcome.
func (c *Controller) deliver(ctx context.Context, progress *orders.Progress, e Entry, target orders.Target, epoch uint64) {
	sendCtx := context.WithoutCancel(ctx) // an order in flight is completed at shutdown
	err := c.sender.send(sendCtx, target.Address, e.Order, epoch, func() bool { return c.role.mayOrder(epoch, target.Fencing) })
	late := !target.Fencing && !c.role.heldAt(epoch)
	counters.Add(outcomeCounter(err, late), 1)
	failed := err != nil
	switch {
	case errors.Is(err, errLeaseEnded):
	case errors.Is(err, errOldFencing):
		c.role.recordFailure()
	case late:
		c.recordUncertain(ctx, e)
	case err != nil:
		_ = c.recordOutcome(sendCtx, e, func(current Entry) Entry { return current.RecordFailure(err.Error()) })
	default:
		c.record(events.Event{Kind: "order.confirmed", Server: e.Server, Detail: e.Slot()})
		failed = c.recordOutcome(sendCtx, e, func(current Entry) Entry { return current.Confirm(e, epoch) }) != nil
	}
	c.mu.Lock()
	progress.AttemptEnded(time.Now(), e, failed)
	c.mu.Unlock()
	c.signal()
}

// recordUncertain stores that an order may have reached a server without
// fencing after the lease ended, so that the new holder sends the desired state
// again. It retries until this is stored, because no other host can detect it.
func (c *Controller) recordUncertain(ctx context.Context, e Entry) {
	for {
		err := c.recordOutcome(context.WithoutCancel(ctx), e, Entry.RequireResend)
		if err == nil || errors.Is(err, ErrNoOrder) || ctx.Err() != nil {
			return
		}
		sleep(ctx, watchRetryDelay)
	}
}

func outcomeCounter(err error, late bool) string {
	switch {
	case errors.Is(err, errLeaseEnded):
		return "not_sent_lease_ended"
	case errors.Is(err, errOldFencing):
		return "refused_old_fencing"
	case late:
		return "late"
	case err != nil:
		return "failed"
	default:
		return "confirmed"
	}
}

// recordOutcome stores the outcome of an order in the platform and in the
// cached list. If the platform is down, the order stays pending and is sent
// again.
func (c *Controller) recordOutcome(ctx context.Context, sent Entry, change func(Entry) Entry) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	var stored Entry
	err := c.desired.update(ctx, sent.Server, func(slots serverOrders) error {
		current, ok := slots[sent.Slot()]
		if !ok {
			return ErrNoOrder
		}
		stored = change(current)
		slots[sent.Slot()] = stored
		return nil
	})
	if err != nil {
		counters.Add("record_errors", 1)
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, e := range c.entries {
		if e.Server == sent.Server && e.Slot() == sent.Slot() {
			c.entries[i] = stored
		}
	}
	return nil
}
