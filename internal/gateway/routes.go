package gateway

import (
	"encoding/json"
	"net/http"
	"sort"
	"strings"

	"ragwortstep/internal/core/config"
)

// routeTable finds routes by model name and by path prefix.
type routeTable struct {
	models   map[string]config.Route
	services []config.Route // longest prefix first
}

func newRouteTable(s *config.Snapshot) *routeTable {
	t := &routeTable{models: map[string]config.Route{}}
	for _, route := range s.Routes {
		switch route.Kind {
		case config.RouteModel:
			t.models[route.Model] = route
		case config.RouteService:
			t.services = append(t.services, route)
		}
	}
	sort.Slice(t.services, func(i, j int) bool {
		a, b := t.services[i], t.services[j]
		if len(a.Prefix) != len(b.Prefix) {
			return len(a.Prefix) > len(b.Prefix)
		}
		return a.Name < b.Name
	})
	return t
}

// service returns the route whose prefix is the longest that matches the path.
func (t *routeTable) service(path string) (config.Route, bool) {
	for _, route := range t.services {
		prefix := strings.TrimSuffix(route.Prefix, "/")
		if path == prefix || strings.HasPrefix(path, prefix+"/") {
			return route, true
		}
	}
	return config.Route{}, false
}

type modelObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string        `json:"object"`
	Data   []modelObject `json:"data"`
}

func (g *Gateway) listModels(w http.ResponseWriter, _ *http.Request, _ caller) {
	list := modelList{Object: "list", Data: []modelObject{}}
	for name := range g.routes.Load().models {
		list.Data = append(list.Data, modelObject{ID: name, Object: "model", OwnedBy: "ragwortstep"})
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	writeJSON(w, list)
}

func (g *Gateway) getModel(w http.ResponseWriter, r *http.Request, _ caller) {
	name := r.PathValue("model")
	if _, ok := g.routes.Load().models[name]; !ok {
		unknownModel(name).write(w)
		return
	}
	writeJSON(w, modelObject{ID: name, Object: "model", OwnedBy: "ragwortstep"})
}

func unknownModel(name string) *apiError {
	e := refusal(http.StatusNotFound, "model_not_found", "no route serves the model "+name, 0)
	e.Param = "model"
	return e
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
