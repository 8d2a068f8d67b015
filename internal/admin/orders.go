package admin

import (
	"net/http"

	"ragwortstep/internal/core/config"
	"ragwortstep/internal/orders"
)

// OrdersBody is the response of /orders.
type OrdersBody struct {
	Data []orders.Entry `json:"data"`
}

func (s *server) orderService() (OrderService, error) {
	if s.Orders == nil {
		return nil, failure(http.StatusNotFound, "not_found", "this host keeps no orders")
	}
	return s.Orders, nil
}

func (s *server) listOrders(w http.ResponseWriter, r *http.Request, _ operator) error {
	service, err := s.orderService()
	if err != nil {
		return err
	}
	entries, err := service.List(r.Context())
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, OrdersBody{Data: notNil(entries)})
	return nil
}

// postOrder sets the desired state of one aspect of one engine. A later order for
// the same slot replaces an earlier one, so no If-Match is needed.
func (s *server) postOrder(w http.ResponseWriter, r *http.Request, _ operator) error {
	service, err := s.orderService()
	if err != nil {
		return err
	}
	var order orders.Order
	if err := s.readJSON(w, r, &order); err != nil {
		return err
	}
	if _, ok := s.Config.Config().Servers[order.Server]; !ok {
		return &config.NotFoundError{Object: "server", Name: order.Server}
	}
	entry, err := service.Set(r.Context(), order)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusAccepted, entry)
	return nil
}

func (s *server) deleteOrder(w http.ResponseWriter, r *http.Request, _ operator) error {
	service, err := s.orderService()
	if err != nil {
		return err
	}
	if err := service.Remove(r.Context(), r.PathValue("server"), r.PathValue("slot")); err != nil {
		return err
	}
	w.WriteHeader(http.StatusNoContent)
	return nil
}
