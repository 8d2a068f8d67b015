package routing

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func testSnapshot() *Snapshot {
	routes := []Route{
		{Name: "root", Host: "a.example", Prefix: "/", Targets: []Target{{"s", 1}}},
		{Name: "long", Host: "a.example", Prefix: "/x/y/", Kind: Batch, Targets: []Target{{"s", 1}}},
		{Name: "short", Host: "a.example", Prefix: "/x/", Targets: []Target{{"s", 90}, {"t", 10}}},
		{Name: "other", Host: "b.example", Prefix: "/x/", Targets: []Target{{"s", 1}}},
	}
	priority := 0
	workspaces := map[string]Workspace{"w": {Name: "w"}, "urgent": {Name: "urgent", Priority: &priority}}
	return New(3, routes, workspaces, nil, map[string]string{"k": "w", "u": "urgent"})
}

// TestLongestPrefixOfHostMatches guards against a match by a shorter prefix or
// by a route of another host name.
func TestLongestPrefixOfHostMatches(t *testing.T) {
	is := is.New(t)
	s := testSnapshot()
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"A.Example:8080", "/x/z", "short"},
		{"a.example", "/x", "root"}, // a prefix ends with a slash
		{"b.example", "/x/y/z", "other"},
	} {
		is.Equal(s.Match(c.host, c.path).Name, c.want)
	}
	is.True(s.Match("b.example", "/y/") == nil)
	is.True(s.Match("c.example", "/x/") == nil)
	is.Equal(s.ByName("short").Name, "short")
	is.True(s.ByName("gone") == nil)
	is.True(s.HasBatch("a.example"))
	is.True(!s.HasBatch("b.example"))
}

// TestKeyAndPriorityLookup guards against a key that is accepted although it is
// unknown, and a workspace's priority that does not override the route's.
func TestKeyAndPriorityLookup(t *testing.T) {
	is := is.New(t)
	s := testSnapshot()
	w, ok := s.WorkspaceForKey("k")
	is.True(ok)
	is.Equal(w.Name, "w")
	for _, key := range []string{"", "K", "k "} {
		_, ok := s.WorkspaceForKey(key)
		is.True(!ok)
	}
	urgent, _ := s.WorkspaceForKey("u")
	route := &Route{Priority: 2}
	is.Equal(Priority(route, w), 2)
	is.Equal(Priority(route, urgent), 0)
}

// TestTargetsAreChosenByWeight guards against a split of requests that differs
// from the targets' weights.
func TestTargetsAreChosenByWeight(t *testing.T) {
	is := is.New(t)
	r := testSnapshot().ByName("short")
	is.Equal(r.Service(0), "s")
	is.Equal(r.Service(0.89), "s")
	is.Equal(r.Service(0.91), "t")
	is.Equal(r.Service(0.999), "t")
}

// TestRepeatable guards against repeats of requests that may run only once.
func TestRepeatable(t *testing.T) {
	is := is.New(t)
	is.True((&Route{Kind: Idempotent}).Repeatable())
	is.True((&Route{Kind: Stream, Resumable: true}).Repeatable())
	is.True(!(&Route{Kind: Stream}).Repeatable())
	is.True(!(&Route{Kind: AtMostOnce, Resumable: true}).Repeatable())
}

// TestRawKeysAreNotStored guards against raw keys in a snapshot, which memory
// dumps would show.
func TestRawKeysAreNotStored(t *testing.T) {
	is := is.New(t)
	s := New(1, nil, map[string]Workspace{"w": {}}, nil, map[string]string{"raw-key": "w"})
	for hash := range s.workspaceByKey {
		is.True(!strings.Contains(string(hash[:]), "raw-key"))
	}
}
