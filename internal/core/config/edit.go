package config

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// Clone returns a copy that shares no maps with s.
func (s *Snapshot) Clone() *Snapshot {
	c := EmptySnapshot()
	c.Revision = s.Revision
	maps.Copy(c.Workspaces, s.Workspaces)
	maps.Copy(c.Keys, s.Keys)
	maps.Copy(c.Routes, s.Routes)
	maps.Copy(c.Servers, s.Servers)
	return c
}

// HasKeysError is returned for a workspace that cannot be removed because it has
// keys.
type HasKeysError struct {
	Workspace string
	Keys      int
}

// Error implements error.
func (e *HasKeysError) Error() string {
	return fmt.Sprintf("workspace %s still has %d keys; revoke them first or remove the workspace with its keys", e.Workspace, e.Keys)
}

// KeysOf returns the sorted ids of a workspace's keys.
func (s *Snapshot) KeysOf(workspace string) []string {
	var ids []string
	for _, id := range sortedKeys(s.Keys) {
		if k := s.Keys[id]; !k.Operator && k.Workspace == workspace {
			ids = append(ids, id)
		}
	}
	return ids
}

// RemoveWorkspace deletes a workspace. With revokeKeys its keys are deleted as
// well; otherwise a workspace that has keys is kept and the error is a
// *HasKeysError.
func (s *Snapshot) RemoveWorkspace(name string, revokeKeys bool) error {
	if _, ok := s.Workspaces[name]; !ok {
		return &NotFoundError{Object: "workspace", Name: name}
	}
	ids := s.KeysOf(name)
	if len(ids) > 0 && !revokeKeys {
		return &HasKeysError{Workspace: name, Keys: len(ids)}
	}
	for _, id := range ids {
		delete(s.Keys, id)
	}
	delete(s.Workspaces, name)
	return nil
}

// TableMode selects what happens to workspaces that a table does not list.
type TableMode string

const (
	ModeMerge   TableMode = "merge"   // keep them
	ModeReplace TableMode = "replace" // remove them
)

// ApplyTable stores the rows of a table in the snapshot. In ModeReplace it removes
// the workspaces that are not in the table, as RemoveWorkspace does.
func (s *Snapshot) ApplyTable(rows []Workspace, mode TableMode, revokeKeys bool) error {
	listed := map[string]bool{}
	for _, row := range rows {
		listed[row.Name] = true
		s.Workspaces[row.Name] = row
	}
	if mode != ModeReplace {
		return nil
	}
	for _, name := range sortedKeys(s.Workspaces) {
		if listed[name] {
			continue
		}
		if err := s.RemoveWorkspace(name, revokeKeys); err != nil {
			return err
		}
	}
	return nil
}
