package admin

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/config"
)

// KeyInfo is a key without its hash.
type KeyInfo struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace,omitempty"`
	Operator  bool   `json:"operator,omitempty"`
	CreatedAt int64  `json:"created_at"` // Unix seconds
	Note      string `json:"note,omitempty"`
}

// keyRequest is the optional body of requests that create a key.
type keyRequest struct {
	Note string `json:"note"`
}

func (s *server) writeKeys(w http.ResponseWriter, r *http.Request, include func(config.Key) bool) error {
	c := s.Config.Config()
	infos := map[string]KeyInfo{}
	for id, k := range c.Keys {
		if include(k) {
			infos[id] = KeyInfo{ID: k.ID, Workspace: k.Workspace, Operator: k.Operator, CreatedAt: k.CreatedAt, Note: k.Note}
		}
	}
	return writeList(w, r, c.Revision, infos)
}

func (s *server) listKeys(w http.ResponseWriter, r *http.Request, _ operator) error {
	return s.writeKeys(w, r, func(k config.Key) bool { return !k.Operator })
}

func (s *server) listOperators(w http.ResponseWriter, r *http.Request, _ operator) error {
	return s.writeKeys(w, r, func(k config.Key) bool { return k.Operator })
}

func (s *server) listWorkspaceKeys(w http.ResponseWriter, r *http.Request, _ operator) error {
	name := r.PathValue("name")
	if _, ok := s.Config.Config().Workspaces[name]; !ok {
		return &config.NotFoundError{Object: "workspace", Name: name}
	}
	return s.writeKeys(w, r, func(k config.Key) bool { return !k.Operator && k.Workspace == name })
}

func (s *server) createKey(w http.ResponseWriter, r *http.Request, op operator) error {
	return s.addKey(w, r, op, r.PathValue("name"), false)
}

func (s *server) createOperator(w http.ResponseWriter, r *http.Request, op operator) error {
	return s.addKey(w, r, op, "", true)
}

// addKey creates a key, stores its hash, and returns the raw key, which cannot be
// read again later.
func (s *server) addKey(w http.ResponseWriter, r *http.Request, op operator, workspace string, isOperator bool) error {
	var body keyRequest
	if err := s.readOptionalJSON(w, r, &body); err != nil {
		return err
	}
	random := make([]byte, config.KeyBytes)
	if _, err := io.ReadFull(s.Random, random); err != nil {
		return errors.Wrap(err, "read random bytes")
	}
	raw, key, err := config.NewKey(random, workspace, s.Now().Unix())
	if err != nil {
		return err
	}
	key.Operator, key.Note = isOperator, body.Note
	result, err := s.updateConfig(r, op, func(c *config.Snapshot) error { return insertKey(c, key) })
	if err != nil {
		return err
	}
	result.Key = &CreatedKey{ID: key.ID, Raw: raw, Workspace: workspace, Operator: isOperator}
	w.Header().Set("ETag", etag(result.Revision))
	w.Header().Set("Cache-Control", "no-store")
	writeJSON(w, http.StatusCreated, result)
	return nil
}

func insertKey(c *config.Snapshot, key config.Key) error {
	if _, ok := c.Workspaces[key.Workspace]; !ok && !key.Operator {
		return &config.NotFoundError{Object: "workspace", Name: key.Workspace}
	}
	if _, taken := c.Keys[key.ID]; taken {
		return failure(http.StatusConflict, "key_id_taken", "the id %s is taken; send the request again", key.ID)
	}
	c.Keys[key.ID] = key
	return nil
}

// deleteKey revokes a key of a caller or an operator.
func (s *server) deleteKey(w http.ResponseWriter, r *http.Request, op operator) error {
	id := r.PathValue("id")
	return s.handleUpdate(w, r, op, func(c *config.Snapshot) error { return removeObject(c.Keys, "key", id) })
}
