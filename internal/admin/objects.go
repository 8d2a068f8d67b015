package admin

import (
	"maps"
	"net/http"
	"slices"

	"ragwortstep/internal/core/config"
)

// List is one page of a list. Next is the value of ?after= for the next page and
// empty on the last one.
type List[T any] struct {
	Revision int64  `json:"revision"`
	Data     []T    `json:"data"`
	Next     string `json:"next"`
}

// writeList sends one page of the objects, sorted by name.
func writeList[T any](w http.ResponseWriter, r *http.Request, revision int64, objects map[string]T) error {
	p, err := readPaging(r)
	if err != nil {
		return err
	}
	out := List[T]{Revision: revision, Data: []T{}}
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		if name <= p.after {
			continue
		}
		if len(out.Data) == p.limit {
			break
		}
		out.Data = append(out.Data, objects[name])
		out.Next = name
	}
	if rest := slices.Sorted(maps.Keys(objects)); len(rest) == 0 || out.Next == rest[len(rest)-1] {
		out.Next = ""
	}
	w.Header().Set("ETag", etag(revision))
	writeJSON(w, http.StatusOK, out)
	return nil
}

// writeObject sends the named object, or returns a *config.NotFoundError.
func writeObject[T any](w http.ResponseWriter, kind, name string, revision int64, objects map[string]T) error {
	object, ok := objects[name]
	if !ok {
		return &config.NotFoundError{Object: kind, Name: name}
	}
	w.Header().Set("ETag", etag(revision))
	writeJSON(w, http.StatusOK, object)
	return nil
}

// resolveName sets an empty name in the body to the name in the path. Two
// different names are an error.
func resolveName(path string, body *string) error {
	if *body == "" {
		*body = path
	}
	if *body != path {
		e := failure(http.StatusUnprocessableEntity, "name_mismatch", "the body names %q, the path %q", *body, path)
		e.param = "name"
		return e
	}
	return nil
}

func removeObject[T any](objects map[string]T, kind, name string) error {
	if _, ok := objects[name]; !ok {
		return &config.NotFoundError{Object: kind, Name: name}
	}
	delete(objects, name)
	return nil
}

func (s *server) listWorkspaces(w http.ResponseWriter, r *http.Request, _ operator) error {
	c := s.Config.Config()
	return writeList(w, r, c.Revision, c.Workspaces)
}

func (s *server) getWorkspace(w http.ResponseWriter, r *http.Request, _ operator) error {
	c := s.Config.Config()
	return writeObject(w, "workspace", r.PathValue("name"), c.Revision, c.Workspaces)
}

// putWorkspace creates or replaces one workspace.
func (s *server) putWorkspace(w http.ResponseWriter, r *http.Request, op operator) error {
	var row config.Workspace
	if err := s.readJSON(w, r, &row); err != nil {
		return err
	}
	if err := resolveName(r.PathValue("name"), &row.Name); err != nil {
		return err
	}
	return s.handleUpdate(w, r, op, func(c *config.Snapshot) error {
		c.Workspaces[row.Name] = row
		return nil
	})
}

func (s *server) deleteWorkspace(w http.ResponseWriter, r *http.Request, op operator) error {
	revoke, err := boolParam(r, "revoke_keys")
	if err != nil {
		return err
	}
	name := r.PathValue("name")
	return s.handleUpdate(w, r, op, func(c *config.Snapshot) error { return c.RemoveWorkspace(name, revoke) })
}

func boolParam(r *http.Request, name string) (bool, error) {
	switch r.URL.Query().Get(name) {
	case "", "false":
		return false, nil
	case "true":
		return true, nil
	default:
		e := failure(http.StatusBadRequest, "invalid_parameter", "%s must be true or false", name)
		e.param = name
		return false, e
	}
}

func (s *server) listRoutes(w http.ResponseWriter, r *http.Request, _ operator) error {
	c := s.Config.Config()
	return writeList(w, r, c.Revision, c.Routes)
}

func (s *server) getRoute(w http.ResponseWriter, r *http.Request, _ operator) error {
	c := s.Config.Config()
	return writeObject(w, "route", r.PathValue("name"), c.Revision, c.Routes)
}

func (s *server) putRoute(w http.ResponseWriter, r *http.Request, op operator) error {
	var row config.Route
	if err := s.readJSON(w, r, &row); err != nil {
		return err
	}
	if err := resolveName(r.PathValue("name"), &row.Name); err != nil {
		return err
	}
	return s.handleUpdate(w, r, op, func(c *config.Snapshot) error {
		c.Routes[row.Name] = row
		return nil
	})
}

func (s *server) deleteRoute(w http.ResponseWriter, r *http.Request, op operator) error {
	name := r.PathValue("name")
	return s.handleUpdate(w, r, op, func(c *config.Snapshot) error { return removeObject(c.Routes, "route", name) })
}

func (s *server) listServers(w http.ResponseWriter, r *http.Request, _ operator) error {
	c := s.Config.Config()
	return writeList(w, r, c.Revision, c.Servers)
}

func (s *server) getServer(w http.ResponseWriter, r *http.Request, _ operator) error {
	c := s.Config.Config()
	return writeObject(w, "server", r.PathValue("name"), c.Revision, c.Servers)
}

func (s *server) putServer(w http.ResponseWriter, r *http.Request, op operator) error {
	var row config.Server
	if err := s.readJSON(w, r, &row); err != nil {
		return err
	}
	if err := resolveName(r.PathValue("name"), &row.Name); err != nil {
		return err
	}
	return s.handleUpdate(w, r, op, func(c *config.Snapshot) error {
		c.Servers[row.Name] = row
		return nil
	})
}

func (s *server) deleteServer(w http.ResponseWriter, r *http.Request, op operator) error {
	name := r.PathValue("name")
	return s.handleUpdate(w, r, op, func(c *config.Snapshot) error { return removeObject(c.Servers, "server", name) })
}

// leaveServer marks a server as leaving; ?undo=true removes the mark.
func (s *server) leaveServer(w http.ResponseWriter, r *http.Request, op operator) error {
	undo, err := boolParam(r, "undo")
	if err != nil {
		return err
	}
	name := r.PathValue("name")
	return s.handleUpdate(w, r, op, func(c *config.Snapshot) error {
		row, ok := c.Servers[name]
		if !ok {
			return &config.NotFoundError{Object: "server", Name: name}
		}
		row.Leaving = !undo
		c.Servers[name] = row
		return nil
	})
}
