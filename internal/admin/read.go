package admin

import (
	_ "embed"
	"net/http"
	"strconv"

	"ragwortstep/internal/core/config"
	"ragwortstep/internal/events"
)

//go:embed openapi.json
var openAPI []byte

// ConfigBody is the response of /config: the configuration without the hashes of
// keys.
type ConfigBody struct {
	Revision   int64                       `json:"revision"`
	Workspaces map[string]config.Workspace `json:"workspaces"`
	Keys       map[string]KeyInfo          `json:"keys"`
	Routes     map[string]config.Route     `json:"routes"`
	Servers    map[string]config.Server    `json:"servers"`
}

func (s *server) getConfig(w http.ResponseWriter, _ *http.Request, _ operator) error {
	c := s.Config.Config()
	body := ConfigBody{Revision: c.Revision, Workspaces: c.Workspaces, Keys: map[string]KeyInfo{}, Routes: c.Routes, Servers: c.Servers}
	for id, k := range c.Keys {
		body.Keys[id] = KeyInfo{ID: k.ID, Workspace: k.Workspace, Operator: k.Operator, CreatedAt: k.CreatedAt, Note: k.Note}
	}
	w.Header().Set("ETag", etag(c.Revision))
	writeJSON(w, http.StatusOK, body)
	return nil
}

// HistoryBody is the response of /history, newest change first.
type HistoryBody struct {
	Data []config.Change `json:"data"`
}

func (s *server) getHistory(w http.ResponseWriter, r *http.Request, _ operator) error {
	limit, err := intParam(r, "limit", defaultLimit, 1, maxLimit)
	if err != nil {
		return err
	}
	changes, err := s.Writer.History(r.Context(), limit)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, HistoryBody{Data: notNil(changes)})
	return nil
}

// StatusBody is the response of /status.
type StatusBody struct {
	Revision int64        `json:"revision"` // in force at the responding host
	Hosts    []HostStatus `json:"hosts"`
}

func (s *server) getStatus(w http.ResponseWriter, _ *http.Request, _ operator) error {
	writeJSON(w, http.StatusOK, StatusBody{Revision: s.Config.Config().Revision, Hosts: notNil(s.Status.Status())})
	return nil
}

// EventsBody is the response of /events: events of the responding host, oldest
// first. Next is the value of ?after= for the following events.
type EventsBody struct {
	Data []events.Event `json:"data"`
	Next uint64         `json:"next"`
}

func (s *server) getEvents(w http.ResponseWriter, r *http.Request, _ operator) error {
	if s.Events == nil {
		return failure(http.StatusNotFound, "not_found", "this host records no events")
	}
	limit, err := intParam(r, "limit", maxLimit, 1, maxLimit)
	if err != nil {
		return err
	}
	after, err := uintParam(r, "after")
	if err != nil {
		return err
	}
	body := EventsBody{Data: notNil(s.Events.EventsAfter(after, limit)), Next: after}
	if n := len(body.Data); n > 0 {
		body.Next = body.Data[n-1].Seq
	}
	writeJSON(w, http.StatusOK, body)
	return nil
}

func uintParam(r *http.Request, name string) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		e := failure(http.StatusBadRequest, "invalid_parameter", "%s must be a sequence number", name)
		e.param = name
		return 0, e
	}
	return n, nil
}

func (s *server) getOpenAPI(w http.ResponseWriter, _ *http.Request, _ operator) error {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(openAPI) // fails only when the operator has disconnected
	return nil
}

func notNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
