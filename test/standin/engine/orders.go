package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"ragwortstep/test/standin/control"
)

// maxOrderBytes bounds the body of an order.
const maxOrderBytes = 64 << 10

// Order instructs the engine to load weights or to change its role.
type Order struct {
	Kind    string `json:"kind"` // load_model, load_adapter, load_version, set_role
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"` // for example prefill, decode or both
	Fencing int64  `json:"fencing"`
}

// OrderRecord records one order and its result.
type OrderRecord struct {
	Order
	AtMS           int64  `json:"at_ms"`
	Applied        bool   `json:"applied"`
	Reason         string `json:"reason,omitempty"` // why the order was refused
	HighestFencing int64  `json:"highest"`          // highest fencing number seen before this order
}

// OrderState is the state of the engine that orders change.
type OrderState struct {
	Models   []string          `json:"models"`
	Adapters []string          `json:"adapters"`
	Versions map[string]string `json:"versions"` // by model
	Role     string            `json:"role"`
	Fencing  int64             `json:"fencing"` // highest fencing number seen
}

// orders applies each order after the configured delay and records it.
type orders struct {
	checkFencing bool // refuse orders with an old fencing number
	delay        time.Duration

	mu      sync.Mutex
	state   OrderState
	records []OrderRecord
}

func newOrders(models []string, checkFencing bool, delay time.Duration) *orders {
	return &orders{checkFencing: checkFencing, delay: delay, state: OrderState{
		Models: models, Adapters: []string{}, Versions: map[string]string{}, Role: "both",
	}}
}

func (o *orders) isLoaded(model string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Contains(o.state.Models, model) || slices.Contains(o.state.Adapters, model)
}

func (o *orders) models() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append(append([]string{}, o.state.Models...), o.state.Adapters...)
}

func (o *orders) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes)).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !control.Sleep(r.Context(), o.delay) {
		control.Abort()
	}
	status, rec := o.apply(order)
	control.WriteJSON(w, status, rec)
}

// apply applies and records the order. With checkFencing it refuses an order
// whose fencing number is below the highest one seen.
func (o *orders) apply(order Order) (int, OrderRecord) {
	o.mu.Lock()
	defer o.mu.Unlock()
	rec := OrderRecord{Order: order, AtMS: time.Now().UnixMilli(), HighestFencing: o.state.Fencing}
	status := http.StatusOK
	switch {
	case o.checkFencing && order.Fencing < o.state.Fencing:
		rec.Reason = "old fencing number"
		status = http.StatusConflict
	case !o.updateState(order):
		rec.Reason = "unknown kind or empty field"
		status = http.StatusBadRequest
	default:
		rec.Applied = true
		o.state.Fencing = max(o.state.Fencing, order.Fencing)
	}
	o.records = append(o.records, rec)
	return status, rec
}

func (o *orders) updateState(order Order) bool {
	switch {
	case order.Kind == "load_model" && order.Model != "":
		o.state.Models = appendUnique(o.state.Models, order.Model)
	case order.Kind == "load_adapter" && order.Adapter != "":
		o.state.Adapters = appendUnique(o.state.Adapters, order.Adapter)
	case order.Kind == "load_version" && order.Model != "" && order.Version != "":
		o.state.Versions[order.Model] = order.Version
	case order.Kind == "set_role" && order.Role != "":
		o.state.Role = order.Role
	default:
		return false
	}
	return true
}

func appendUnique(names []string, name string) []string {
	if slices.Contains(names, name) {
		return names
	}
	return append(names[:len(names):len(names)], name)
}

// report serves GET /orders: the state and the records of all orders.
func (o *orders) report(w http.ResponseWriter, _ *http.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, struct {
		State   OrderState    `json:"state"`
		Records []OrderRecord `json:"records"`
	}{o.state, append([]OrderRecord{}, o.records...)})
}
