package orders

import (
	"context"
	"encoding/json"
	"sort"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/orders"
	"ragwortstep/internal/store"
)

// Order and Entry are aliases of the core types.
type (
	Order = orders.Order
	Entry = orders.Entry
)

const (
	desiredPrefix = "orders/desired/" // one object per server
	listLimit     = 500
)

// ErrNoOrder is returned if the server has no order in the slot.
var ErrNoOrder = errors.New("no such order")

// Desired is the desired state of all engines, stored in the platform. Several
// hosts may use it concurrently.
type Desired struct {
	objects store.Store
	writer  *store.Writer
}

func NewDesired(objects store.Store, writer *store.Writer) *Desired {
	return &Desired{objects: objects, writer: writer}
}

// serverOrders is the stored object of one server: its orders by slot.
type serverOrders map[string]Entry

// List returns all orders, sorted by server and slot.
func (d *Desired) List(ctx context.Context) ([]Entry, error) {
	entries, _, err := d.list(ctx)
	return entries, err
}

// list returns all orders and the largest version of their objects.
func (d *Desired) list(ctx context.Context) ([]Entry, int64, error) {
	var out []Entry
	var version int64
	for after := ""; ; {
		page, err := d.objects.List(ctx, desiredPrefix, after, listLimit)
		if err != nil {
			return nil, 0, errors.Wrapf(err, "platform list %s", desiredPrefix)
		}
		for _, obj := range page.Objects {
			entries, err := decodeObject(obj)
			if err != nil {
				return nil, 0, err
			}
			out = append(out, entries...)
			version = max(version, obj.Version)
		}
		if page.Next == "" {
			break
		}
		after = page.Next
	}
	sortEntries(out)
	return out, version, nil
}

func sortEntries(entries []Entry) {
	sort.Slice(entries, func(i, j int) bool {
		a, b := entries[i], entries[j]
		if a.Server != b.Server {
			return a.Server < b.Server
		}
		return a.Slot() < b.Slot()
	})
}

func decodeObject(obj store.Object) ([]Entry, error) {
	var env store.Envelope
	if err := json.Unmarshal(obj.Value, &env); err != nil {
		return nil, errors.Wrapf(err, "decode envelope of %s", obj.Key)
	}
	slots, err := decodeSlots(env.Data, obj.Key)
	if err != nil {
		return nil, err
	}
	var out []Entry
	for _, e := range slots {
		out = append(out, e)
	}
	return out, nil
}

func decodeSlots(raw json.RawMessage, key string) (serverOrders, error) {
	slots := serverOrders{}
	if len(raw) == 0 {
		return slots, nil
	}
	err := json.Unmarshal(raw, &slots)
	return slots, errors.Wrapf(err, "decode orders of %s", key)
}

// Set stores an order as desired. The order becomes pending unless the same
// order is already confirmed.
func (d *Desired) Set(ctx context.Context, order Order) (Entry, error) {
	if err := order.Validate(); err != nil {
		return Entry{}, err
	}
	var result Entry
	err := d.update(ctx, order.Server, func(slots serverOrders) error {
		e, ok := slots[order.Slot()]
		if !ok || e.Order != order {
			e = Entry{Order: order, Generation: e.Generation + 1, Applied: e.Applied, Epoch: e.Epoch}
		}
		result = e
		slots[order.Slot()] = e
		return nil
	})
	return result, err
}

// Remove deletes the order of a slot. The state of the engine does not change.
func (d *Desired) Remove(ctx context.Context, server, slot string) error {
	return d.update(ctx, server, func(slots serverOrders) error {
		if _, ok := slots[slot]; !ok {
			return ErrNoOrder
		}
		delete(slots, slot)
		return nil
	})
}

// update changes the orders of one server in one conditional update.
func (d *Desired) update(ctx context.Context, server string, change func(serverOrders) error) error {
	key := desiredPrefix + server
	_, _, err := store.Update(ctx, d.objects, d.writer, key, func(current json.RawMessage, _ bool) (json.RawMessage, error) {
		slots, err := decodeSlots(current, key)
		if err != nil {
			return nil, err
		}
		if err := change(slots); err != nil {
			return nil, err
		}
		return json.Marshal(slots)
	})
	return err
}
