package admin

import (
	"net/http"

	"ragwortstep/internal/core/config"
)

// tableName is the file name of the exported table, and the one in faults when the
// request names no file.
const tableName = "table.csv"

func (s *server) getTable(w http.ResponseWriter, _ *http.Request, _ operator) error {
	c := s.Config.Config()
	w.Header().Set("ETag", etag(c.Revision))
	w.Header().Set("Content-Type", "text/csv; charset=utf-8")
	w.Header().Set("Content-Disposition", `attachment; filename="`+tableName+`"`)
	_, _ = w.Write(config.FormatTable(c)) // fails only when the operator has disconnected
	return nil
}

// putTable applies a table. ?mode=merge (the default) keeps workspaces that are not
// in the table, ?mode=replace removes them. ?file= sets the file name in faults.
func (s *server) putTable(w http.ResponseWriter, r *http.Request, op operator) error {
	mode, err := readMode(r)
	if err != nil {
		return err
	}
	revoke, err := boolParam(r, "revoke_keys")
	if err != nil {
		return err
	}
	body, err := readBody(w, r, config.MaxTableBytes)
	if err != nil {
		return err
	}
	file := r.URL.Query().Get("file")
	if file == "" {
		file = tableName
	}
	rows, err := config.ParseTable(file, body)
	if err != nil {
		return err
	}
	return s.handleUpdate(w, r, op, func(c *config.Snapshot) error { return c.ApplyTable(rows, mode, revoke) })
}

func readMode(r *http.Request) (config.TableMode, error) {
	switch mode := config.TableMode(r.URL.Query().Get("mode")); mode {
	case "", config.ModeMerge:
		return config.ModeMerge, nil
	case config.ModeReplace:
		return mode, nil
	default:
		e := failure(http.StatusBadRequest, "invalid_parameter", "mode must be merge or replace")
		e.param = "mode"
		return "", e
	}
}
