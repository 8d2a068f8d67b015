package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"ragwortstep/internal/admin"
	"ragwortstep/internal/core/config"
)

func readTable(name string) ([]config.Workspace, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, withCode(ExitInvalid, err)
	}
	rows, err := config.ParseTable(name, data)
	return rows, withCode(ExitInvalid, err)
}

func snapshotOf(rows []config.Workspace) *config.Snapshot {
	s := config.EmptySnapshot()
	for _, row := range rows {
		s.Workspaces[row.Name] = row
	}
	return s
}

// tableEdit is a table to apply and, with --base, the export that it was
// edited from.
type tableEdit struct {
	file string
	rows []config.Workspace          // with a base, only the rows that differ from it
	base map[string]config.Workspace // nil without --base
	mode config.TableMode
}

func readTableEdit(c *cli.Command) (tableEdit, error) {
	e := tableEdit{mode: config.TableMode(c.String("mode"))}
	var err error
	if e.file, err = oneArg(c, "table"); err != nil {
		return e, err
	}
	if e.rows, err = readTable(e.file); err != nil || c.String("base") == "" {
		return e, err
	}
	if e.mode == config.ModeReplace {
		return e, usageError("--base works with --mode merge only")
	}
	base, err := readTable(c.String("base"))
	if err != nil {
		return e, err
	}
	e.base = snapshotOf(base).Workspaces
	e.rows = e.changedRows()
	return e, nil
}

// changedRows returns the rows that differ from the base.
func (e tableEdit) changedRows() []config.Workspace {
	changed := []config.Workspace{}
	for _, row := range e.rows {
		if e.base[row.Name] != row {
			changed = append(changed, row)
		}
	}
	return changed
}

// checkBase returns a conflict if current has other changes to the edited rows
// since the base was exported.
func (e tableEdit) checkBase(current *config.Snapshot) error {
	for _, row := range e.rows {
		currentRow, exists := current.Workspaces[row.Name]
		baseRow, existed := e.base[row.Name]
		if e.base != nil && (currentRow != baseRow || exists != existed) && currentRow != row {
			return withCode(ExitConflict, errors.Newf("workspace %s was changed by somebody else since the base was exported; export again", row.Name))
		}
	}
	return nil
}

// currentTable returns the table in force and its revision, read in one call.
func currentTable(ctx context.Context, api *client) (*config.Snapshot, error) {
	resp, err := api.call(ctx, request{method: http.MethodGet, path: admin.Prefix + "/table"})
	if err != nil {
		return nil, err
	}
	revision, err := responseRevision(resp)
	if err != nil {
		return nil, err
	}
	rows, err := config.ParseTable(api.endpoint+admin.Prefix+"/table", resp.Body())
	s := snapshotOf(rows)
	s.Revision = revision
	return s, err
}

func (a *app) configDiff(ctx context.Context, c *cli.Command) error {
	edit, err := readTableEdit(c)
	if err != nil {
		return err
	}
	api, err := operatorClient(c)
	if err != nil {
		return err
	}
	old, err := currentTable(ctx, api)
	if err != nil {
		return err
	}
	if err := edit.checkBase(old); err != nil {
		return err
	}
	next := old.Clone()
	if err := next.ApplyTable(edit.rows, edit.mode, true); err != nil {
		return err
	}
	changes := config.Diff(old, next)
	return a.print(c, changes, func(w io.Writer) {
		for _, change := range changes {
			fmt.Fprintln(w, change)
		}
		fmt.Fprintf(w, "%d changes to revision %d\n", len(changes), old.Revision)
	})
}

// configApply requires the revision or the export that the table was edited
// from. Without either it would revert concurrent changes to other rows.
func (a *app) configApply(ctx context.Context, c *cli.Command) error {
	edit, err := readTableEdit(c)
	if err != nil {
		return err
	}
	if !c.IsSet(revisionFlag) && edit.base == nil {
		return usageError("give --revision (printed by config export) or --base (the exported file), so that edits of others are not reverted")
	}
	api, err := operatorClient(c)
	if err != nil {
		return err
	}
	result, err := retryConflict(c, func() (admin.WriteResult, error) { return sendTable(ctx, c, api, edit) })
	if err != nil {
		return err
	}
	return a.reportWrite(c, result)
}

func sendTable(ctx context.Context, c *cli.Command, api *client, edit tableEdit) (admin.WriteResult, error) {
	var result admin.WriteResult
	revision := c.Int64(revisionFlag)
	if !c.IsSet(revisionFlag) {
		current, err := currentTable(ctx, api)
		if err != nil {
			return result, err
		}
		if err := edit.checkBase(current); err != nil {
			return result, err
		}
		revision = current.Revision
	}
	query := writeQuery(c)
	query.Set("mode", string(edit.mode))
	query.Set("file", edit.file)
	query.Set("revoke_keys", strconv.FormatBool(c.Bool("revoke-keys")))
	_, err := api.call(ctx, request{
		method: http.MethodPut, path: admin.Prefix + "/table", query: query, revision: &revision,
		body: config.FormatTable(snapshotOf(edit.rows)), into: &result,
	})
	return result, err
}
