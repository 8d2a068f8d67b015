package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func sample() *Snapshot {
	s := EmptySnapshot()
	s.Revision = 7
	s.Workspaces["alerts"] = Workspace{Name: "alerts", Weight: 2, Rate: 10, Burst: 20, MaxQueue: 100}
	_, key, _ := NewKey(make([]byte, KeyBytes), "alerts", 1)
	s.Keys[key.ID] = key
	s.Routes["chat"] = Route{Name: "chat", Kind: RouteModel, Model: "assistant-lm", Pool: "lm", Idempotent: true}
	s.Routes["quotes"] = Route{Name: "quotes", Kind: RouteService, Prefix: "/quotes/", Pool: "app"}
	s.Servers["lm-1"] = Server{Name: "lm-1", Pool: "lm", Address: "10.0.0.1:80", Zone: "z1", Concurrency: 8, Speed: 1}
	return s
}

// Guards against a validation rule that accepts a violation, so that an invalid
// object reaches all hosts.
func TestValidate(t *testing.T) {
	if err := sample().Validate(); err != nil {
		t.Fatal(err)
	}
	edit := func(f func(*Snapshot)) *Snapshot { s := sample(); f(s); return s }
	route := func(f func(*Route)) *Snapshot {
		return edit(func(s *Snapshot) { r := s.Routes["quotes"]; f(&r); s.Routes["quotes"] = r })
	}
	server := func(f func(*Server)) *Snapshot {
		return edit(func(s *Snapshot) { v := s.Servers["lm-1"]; f(&v); s.Servers["lm-1"] = v })
	}
	cases := map[string]*Snapshot{
		"workspace alerts, weight":        edit(func(s *Snapshot) { w := s.Workspaces["alerts"]; w.Weight = 0; s.Workspaces["alerts"] = w }),
		"workspace alerts, name: differs": edit(func(s *Snapshot) { w := s.Workspaces["alerts"]; w.Name = "other"; s.Workspaces["alerts"] = w }),
		"unknown workspace":               edit(func(s *Snapshot) { delete(s.Workspaces, "alerts") }),
		"operator keys belong to no":      edit(func(s *Snapshot) { k := s.Keys[s.KeysOf("alerts")[0]]; k.Operator = true; s.Keys[k.ID] = k }),
		"not a SHA-256":                   edit(func(s *Snapshot) { k := s.Keys[s.KeysOf("alerts")[0]]; k.Hash = "x"; s.Keys[k.ID] = k }),
		"hash: already used":              edit(func(s *Snapshot) { k := s.Keys[s.KeysOf("alerts")[0]]; k.ID = "k2"; s.Keys["k2"] = k }),
		"unknown kind":                    route(func(r *Route) { r.Kind = "x" }),
		"only for routes of kind model":   route(func(r *Route) { r.Model = "m" }),
		"prefix not allowed":              route(func(r *Route) { r.Prefix = "quotes" }),
		`prefix not allowed: "/v1/x/"`:    route(func(r *Route) { r.Prefix = "/v1/x/" }),
		`prefix not allowed: "/a/../b/"`:  route(func(r *Route) { r.Prefix = "/a/../b/" }),
		"model name not allowed":          route(func(r *Route) { r.Kind, r.Prefix = RouteModel, "" }),
		"model: already used by chat":     route(func(r *Route) { r.Kind, r.Prefix, r.Model = RouteModel, "", "assistant-lm" }),
		"timeout_ms: out of range":        route(func(r *Route) { r.TimeoutMS = -1 }),
		"pool: name not allowed":          route(func(r *Route) { r.Pool = "" }),
		"address not allowed":             server(func(v *Server) { v.Address = "lm:80" }),
		"concurrency: out of range":       server(func(v *Server) { v.Concurrency = 0 }),
		"speed: out of range":             server(func(v *Server) { v.Speed = 0 }),
		"zone: name not allowed":          server(func(v *Server) { v.Zone = "Z 1" }),
		"address: already used by lm-0":   edit(func(s *Snapshot) { v := s.Servers["lm-1"]; v.Name = "lm-0"; s.Servers["lm-0"] = v }),
	}
	for want, s := range cases {
		if err := s.Validate(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want %q, got %v", want, err)
		}
	}
}

// Guards against a clone that shares maps with its source, so that editing it
// changes a published snapshot.
func TestCloneSharesNothing(t *testing.T) {
	is := is.New(t)
	s := sample()
	c := s.Clone()
	is.Equal(c.Revision, int64(7))
	is.Equal(len(Diff(s, c)), 0)
	delete(c.Workspaces, "alerts")
	delete(c.Routes, "chat")
	clear(c.Keys)
	clear(c.Servers)
	is.Equal(len(Diff(s, sample())), 0)
}

func TestDiff(t *testing.T) {
	is := is.New(t)
	old, next := sample(), sample()
	w := next.Workspaces["alerts"]
	w.Rate, w.Note = 12.5, "for tests"
	next.Workspaces["alerts"] = w
	delete(next.Routes, "quotes")
	next.Servers["lm-2"] = Server{Name: "lm-2", Pool: "lm"}
	changes := Diff(old, next)
	is.Equal(len(changes), 3)
	is.Equal(changes[0].String(), `~ workspace alerts: rate 10 -> 12.5, note "" -> "for tests"`)
	is.Equal(changes[1].String(), "- route quotes")
	is.Equal(changes[2].String(), "+ server lm-2: pool lm, concurrency 0, speed 0")
	is.Equal(Summarize(changes[:2]), changes[0].String()+"; - route quotes")
	is.True(!strings.Contains(Summarize(Diff(EmptySnapshot(), old)), HashKey(""))) // key hashes are left out
}

// Guards against a history entry for a large table that exceeds the platform's
// limit for one value.
func TestNewChangeIsBounded(t *testing.T) {
	is := is.New(t)
	next := EmptySnapshot()
	next.Revision = 3
	for i := range 10_000 {
		name := fmt.Sprintf("w%05d", i)
		next.Workspaces[name] = Workspace{Name: name, Weight: 1, Rate: 1, Burst: 1, MaxQueue: 1, Note: strings.Repeat("x", MaxNoteLength)}
	}
	change := NewChange(EmptySnapshot(), next, "k1", "import", 5)
	is.Equal(len(change.Changes), MaxChanges)
	is.True(strings.HasSuffix(change.Summary, "and 9995 more"))
	raw, err := json.Marshal(change)
	is.NoErr(err)
	is.True(len(raw) < 1<<20)
}

// Guards against removing a workspace while its keys remain, and against revoking
// its keys without an explicit request.
func TestRemoveWorkspace(t *testing.T) {
	is := is.New(t)
	s := sample()
	var keys *HasKeysError
	is.True(errors.As(s.RemoveWorkspace("alerts", false), &keys))
	is.Equal(len(s.Workspaces), 1)
	is.NoErr(s.RemoveWorkspace("alerts", true))
	is.Equal(len(s.Keys), 0)
	var missing *NotFoundError
	is.True(errors.As(s.RemoveWorkspace("alerts", true), &missing))
	is.True(errors.As(sample().ApplyTable(nil, ModeReplace, false), &keys))
	s = sample()
	is.NoErr(s.ApplyTable([]Workspace{{Name: "new"}}, ModeMerge, false))
	is.Equal(len(s.Workspaces), 2)
}

// Guards against an operator key that is accepted on the callers' API, or a
// caller's key on the operators' API.
func TestKeyIndex(t *testing.T) {
	is := is.New(t)
	s := sample()
	raw, _, err := NewKey(make([]byte, KeyBytes), "alerts", 1)
	is.NoErr(err)
	random := make([]byte, KeyBytes)
	random[0] = 1
	opRaw, op, err := NewKey(random, "", 1)
	is.NoErr(err)
	op.Operator = true
	s.Keys[op.ID] = op
	is.NoErr(s.Validate())
	x := NewKeyIndex(s)
	key, ok := x.Caller(raw)
	is.True(ok && key.Workspace == "alerts")
	_, ok = x.Operator(raw)
	is.True(!ok)
	_, ok = x.Operator(opRaw)
	is.True(ok)
	_, ok = x.Caller(opRaw)
	is.True(!ok)
	_, ok = x.Caller(key.Hash)
	is.True(!ok) // the stored hash is not accepted as a key
	_, _, err = NewKey(nil, "alerts", 1)
	is.True(err != nil)
	is.True(EqualKeys("a", "a") && !EqualKeys("a", "b") && !EqualKeys("", ""))
}
