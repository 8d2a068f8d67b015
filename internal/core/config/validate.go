package config

import (
	"cmp"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Allowed ranges of the fields of workspaces, routes and servers.
const (
	MinWeight, MaxWeight           = 0.001, 1e6
	MinRate, MaxRate               = 0.001, 1e6 // requests/s
	MinBurst, MaxBurst             = 1, 1e6     // requests
	MinQueue, MaxQueue             = 1, 100_000 // requests per host
	MaxNoteLength                  = 500        // characters
	MaxTimeoutMS                   = 3_600_000
	MinConcurrency, MaxConcurrency = 1, 10_000
	MinSpeed, MaxSpeed             = 0.01, 100

	// significantDigits is the number of digits that spreadsheets preserve.
	significantDigits = 15
)

const (
	nameAllowed    = "1 to 63 of a-z, 0-9, dot, hyphen, underscore, starting with a letter"
	modelAllowed   = "1 to 200 printable characters without spaces"
	prefixAllowed  = "path that starts and ends with /, not below /v1/"
	addressAllowed = "IP:port, port 1 to 65535"
	noteAllowed    = "at most 500 characters, no control characters but line feed"
)

// namePattern allows no capitals and requires a letter at the start, because
// spreadsheets rewrite other names: 001 becomes 1, mar1 becomes 1-Mar, true
// becomes TRUE.
var namePattern = regexp.MustCompile(`^[a-z][a-z0-9._-]{0,62}$`)

// validHash reports whether the text is a hex-encoded SHA-256.
func validHash(text string) bool {
	return len(text) == 64 && strings.Trim(text, "0123456789abcdef") == ""
}

// ValidName reports whether the name is allowed for workspaces, routes, servers, pools and zones.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// checker adds the faults of one object to a list.
type checker struct {
	object, name string
	faults       *Faults
}

func (c checker) add(field, value, problem, allowed string) {
	*c.faults = append(*c.faults, Fault{
		Object: c.object, Name: c.name, Field: field, Value: value, Problem: problem, Allowed: allowed,
	})
}

func (c checker) checkName(field, value string) {
	if !ValidName(value) {
		c.add(field, value, "name not allowed", nameAllowed)
	}
}

func (c checker) checkNumber(field string, value, low, high float64) {
	text := formatNumber(value)
	if !(value >= low && value <= high) {
		c.add(field, text, "out of range", rangeText(low, high))
		return
	}
	rounded, _ := strconv.ParseFloat(strconv.FormatFloat(value, 'g', significantDigits, 64), 64)
	if rounded != value {
		c.add(field, text, "more than 15 significant digits", rangeText(low, high))
	}
}

func rangeText(low, high float64) string {
	return formatNumber(low) + " to " + formatNumber(high)
}

// formatNumber formats a number without an exponent.
func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// Validate checks the whole snapshot. It returns all problems as Faults, sorted
// by object, name and field, or nil.
func (s *Snapshot) Validate() error {
	var faults Faults
	for name, w := range s.Workspaces {
		w.check(name, &faults)
	}
	for id := range s.Keys {
		s.checkKey(id, &faults)
	}
	for name, r := range s.Routes {
		r.check(name, &faults)
	}
	for name, v := range s.Servers {
		v.check(name, &faults)
	}
	s.checkUnique(&faults)
	slices.SortFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Object, b.Object), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Field, b.Field))
	})
	return faults.orNil()
}

func (w Workspace) check(name string, faults *Faults) {
	c := checker{object: "workspace", name: name, faults: faults}
	c.checkName("name", w.Name)
	c.checkStoredName(w.Name)
	c.checkNumber("weight", w.Weight, MinWeight, MaxWeight)
	c.checkNumber("rate", w.Rate, MinRate, MaxRate)
	c.checkNumber("burst", w.Burst, MinBurst, MaxBurst)
	c.checkNumber("max_queue", float64(w.MaxQueue), MinQueue, MaxQueue)
	if !ValidNote(w.Note) {
		c.add("note", w.Note, "note not allowed", noteAllowed)
	}
}

// checkStoredName checks that the name in an object equals its map key.
func (c checker) checkStoredName(storedName string) {
	if storedName != c.name {
		c.add("name", storedName, "differs from the name it is stored under", c.name)
	}
}

// ValidNote reports whether a note is allowed for workspaces, keys and changes.
func ValidNote(note string) bool {
	if !utf8.ValidString(note) || utf8.RuneCountInString(note) > MaxNoteLength {
		return false
	}
	return !strings.ContainsFunc(note, func(r rune) bool { return unicode.IsControl(r) && r != '\n' })
}

func (s *Snapshot) checkKey(id string, faults *Faults) {
	k := s.Keys[id]
	c := checker{object: "key", name: id, faults: faults}
	c.checkStoredName(k.ID)
	if !validHash(k.Hash) {
		c.add("hash", "", "not a SHA-256 in hex", "64 hex digits")
	}
	if !ValidNote(k.Note) {
		c.add("note", k.Note, "note not allowed", noteAllowed)
	}
	_, known := s.Workspaces[k.Workspace]
	switch {
	case k.Operator && k.Workspace != "":
		c.add("workspace", k.Workspace, "operator keys belong to no workspace", "empty")
	case !k.Operator && !known:
		c.add("workspace", k.Workspace, "unknown workspace", "name of a workspace")
	}
}

func (r Route) check(name string, faults *Faults) {
	c := checker{object: "route", name: name, faults: faults}
	c.checkName("name", r.Name)
	c.checkStoredName(r.Name)
	c.checkName("pool", r.Pool)
	switch r.Kind {
	case RouteModel:
		r.checkModel(c)
	case RouteService:
		r.checkService(c)
	default:
		c.add("kind", string(r.Kind), "unknown kind", "model, service")
	}
	c.checkNumber("timeout_ms", float64(r.TimeoutMS), 0, MaxTimeoutMS)
}

func (r Route) checkModel(c checker) {
	if !validModel(r.Model) {
		c.add("model", r.Model, "model name not allowed", modelAllowed)
	}
	if r.Prefix != "" {
		c.add("prefix", r.Prefix, "only for routes of kind service", "empty")
	}
}

func validModel(model string) bool {
	bad := func(r rune) bool { return !unicode.IsPrint(r) || unicode.IsSpace(r) }
	return model != "" && len(model) <= 200 && utf8.ValidString(model) && !strings.ContainsFunc(model, bad)
}

func (r Route) checkService(c checker) {
	if !validPrefix(r.Prefix) {
		c.add("prefix", r.Prefix, "prefix not allowed", prefixAllowed)
	}
	if r.Model != "" {
		c.add("model", r.Model, "only for routes of kind model", "empty")
	}
}

func validPrefix(p string) bool {
	bad := func(r rune) bool { return !unicode.IsPrint(r) || unicode.IsSpace(r) || strings.ContainsRune("?#%", r) }
	if len(p) < 3 || !strings.HasPrefix(p, "/") || !strings.HasSuffix(p, "/") || strings.ContainsFunc(p, bad) {
		return false
	}
	return !strings.Contains(p, "//") && !strings.Contains(p, "/../") && !strings.Contains(p, "/./") && !strings.HasPrefix(p, "/v1/")
}

func (v Server) check(name string, faults *Faults) {
	c := checker{object: "server", name: name, faults: faults}
	c.checkName("name", v.Name)
	c.checkStoredName(v.Name)
	c.checkName("pool", v.Pool)
	c.checkName("zone", v.Zone)
	if a, err := netip.ParseAddrPort(v.Address); err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		c.add("address", v.Address, "address not allowed", addressAllowed)
	}
	c.checkNumber("concurrency", float64(v.Concurrency), MinConcurrency, MaxConcurrency)
	c.checkNumber("speed", v.Speed, MinSpeed, MaxSpeed)
}

// checkUnique reports duplicate values of fields that must be unique: models,
// prefixes, server addresses and key hashes.
func (s *Snapshot) checkUnique(faults *Faults) {
	checkUniqueField("route", "model", s.Routes, func(r Route) string { return r.Model }, faults)
	checkUniqueField("route", "prefix", s.Routes, func(r Route) string { return r.Prefix }, faults)
	checkUniqueField("server", "address", s.Servers, func(v Server) string { return v.Address }, faults)
	checkUniqueField("key", "hash", s.Keys, func(k Key) string { return k.Hash }, faults)
}

// checkUniqueField reports each object whose value is already used by an object
// that precedes it in name order.
func checkUniqueField[T any](object, field string, all map[string]T, value func(T) string, faults *Faults) {
	first := make(map[string]string, len(all))
	repeated := map[string][]string{}
	for name, o := range all {
		v := value(o)
		other, ok := first[v]
		switch {
		case v == "":
		case ok:
			repeated[v] = append(repeated[v], name, other)
		default:
			first[v] = name
		}
	}
	for v, names := range repeated {
		slices.Sort(names)
		names = slices.Compact(names)
		for _, name := range names[1:] {
			checker{object, name, faults}.add(field, v, "already used by "+names[0], "")
		}
	}
}

// NotFoundError is returned for a change to an object that is not in the snapshot.
type NotFoundError struct{ Object, Name string }

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("no %s %q", e.Object, e.Name) }
