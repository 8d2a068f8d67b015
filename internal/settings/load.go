package settings

import (
	"os"
	"path/filepath"
	"reflect"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// minHeartbeatsPerLease is the minimum ratio of the lease to the heartbeat
// interval. With a smaller ratio, one lost heartbeat would end the lease.
const minHeartbeatsPerLease = 3

// Load reads the settings file at path and applies environment variables
// (RAGWORTSTEP_SECTION_FIELD) and then overrides, which map dotted field paths
// to the text of flags. It returns all problems at once as ValidationErrors,
// including an unreadable file. It opens no file for writing.
func Load(path string, overrides map[string]string) (*Settings, error) {
	return LoadFrom(path, overrides, os.Environ())
}

// LoadFrom is Load with an explicit environment, each entry NAME=value.
func LoadFrom(path string, overrides map[string]string, environ []string) (*Settings, error) {
	s := Default()
	l := &loader{file: path, settings: &s, origin: map[string]origin{}}
	data, err := os.ReadFile(path)
	if err != nil {
		l.addError(ValidationError{File: path, Problem: "settings file not readable: " + rootCause(err)})
		return nil, l.errs
	}
	l.readFile(data)
	l.readEnviron(environ)
	l.readOverrides(overrides)
	l.checkRequired()
	l.checkFiles()
	l.checkCombinations()
	if len(l.errs) > 0 {
		sort.SliceStable(l.errs, func(i, j int) bool { return l.errs[i].Line < l.errs[j].Line })
		return nil, l.errs
	}
	return &s, nil
}

func rootCause(err error) string {
	return errors.UnwrapAll(err).Error()
}

// origin records where a field's value was set.
type origin struct {
	file    string
	line    int
	value   string
	invalid bool // an error was reported for the value
}

type loader struct {
	file     string
	settings *Settings
	origin   map[string]origin
	errs     ValidationErrors
}

func (l *loader) addError(e ValidationError) { l.errs = append(l.errs, e) }

// addFieldError reports a problem of a field with the origin of its value, or
// with the settings file if the field is absent.
func (l *loader) addFieldError(path, problem string) {
	f := fieldByPath[path]
	from, ok := l.origin[path]
	if !ok {
		from.file = l.file
	}
	if f.Secret && from.value != "" {
		from.value = "(hidden)"
	}
	l.addError(ValidationError{File: from.file, Line: from.line, Field: path, Value: from.value, Problem: problem, Allowed: f.Allowed})
	from.invalid = true
	l.origin[path] = from
}

func (l *loader) readFile(data []byte) {
	file, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		l.addSyntaxError(err)
		return
	}
	if len(file.Docs) > 1 {
		l.addError(ValidationError{File: l.file, Line: line(file.Docs[1]), Problem: "more than one YAML document"})
	}
	for _, doc := range file.Docs[:min(1, len(file.Docs))] {
		if doc.Body != nil {
			l.readMapping(doc.Body, "")
		}
	}
}

func (l *loader) addSyntaxError(err error) {
	e := ValidationError{File: l.file, Problem: "not valid YAML"}
	var syntax yaml.Error
	if errors.As(err, &syntax) && syntax.GetToken() != nil {
		e.Line = syntax.GetToken().Position.Line
		e.Problem += ": " + syntax.GetMessage()
	}
	l.addError(e)
}

func line(n ast.Node) int {
	if n == nil || n.GetToken() == nil || n.GetToken().Position == nil {
		return 0
	}
	return n.GetToken().Position.Line
}

func (l *loader) readMapping(n ast.Node, section string) {
	mapping, ok := n.(ast.MapNode)
	if !ok {
		if _, null := n.(*ast.NullNode); !null {
			l.addError(ValidationError{File: l.file, Line: line(n), Field: section, Problem: "section must hold fields", Value: scalarText(n)})
		}
		return
	}
	seen := map[string]bool{}
	for it := mapping.MapRange(); it.Next(); {
		key := it.Key().GetToken().Value
		path := strings.TrimPrefix(section+"."+key, ".")
		switch {
		case seen[key]:
			l.addError(ValidationError{File: l.file, Line: line(it.Key()), Field: path, Problem: "set twice"})
		case isSection(path):
			l.readMapping(it.Value(), path)
		case fieldByPath[path].Path == "":
			l.addError(ValidationError{File: l.file, Line: line(it.Key()), Field: path, Problem: "unknown field"})
		default:
			l.readField(path, it.Key(), it.Value())
		}
		seen[key] = true
	}
}

// readField sets one field from its node. A null value keeps the default.
func (l *loader) readField(path string, key, value ast.Node) {
	from := origin{file: l.file, line: line(key)}
	if _, null := value.(*ast.NullNode); null {
		return
	}
	if seq, ok := value.(*ast.SequenceNode); ok {
		l.readList(path, from, seq)
		return
	}
	text, ok := scalar(value)
	from.value = text
	l.origin[path] = from
	kind := typeName(fieldValue(l.settings, path).Type())
	switch {
	case !ok:
		l.addFieldError(path, "must be one "+kind)
	case kind == "list":
		l.addFieldError(path, "must be a list")
	case kind == "text" && !isText(value):
		l.addFieldError(path, "must be text; put it in quotes")
	default:
		l.set(path, text)
	}
}

func (l *loader) readList(path string, from origin, seq *ast.SequenceNode) {
	var items []string
	for _, item := range seq.Values {
		text, ok := scalar(item)
		if !ok {
			text = item.String()
		}
		items = append(items, text)
	}
	from.value = strings.Join(items, ",")
	l.origin[path] = from
	if typeName(fieldValue(l.settings, path).Type()) != "list" {
		l.addFieldError(path, "must be one "+typeName(fieldValue(l.settings, path).Type()))
		return
	}
	l.setList(path, items)
}

func scalar(n ast.Node) (string, bool) {
	switch n := n.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.InfinityNode, *ast.NanNode:
		return n.GetToken().Value, true
	default:
		return "", false
	}
}

func scalarText(n ast.Node) string {
	text, _ := scalar(n)
	return text
}

func isText(n ast.Node) bool {
	switch n.(type) {
	case *ast.StringNode, *ast.LiteralNode:
		return true
	default:
		return false
	}
}

// set parses, checks and stores the text of one field.
func (l *loader) set(path, text string) {
	field, v := fieldByPath[path], fieldValue(l.settings, path)
	if typeName(v.Type()) == "list" {
		l.setList(path, splitList(text))
		return
	}
	value, err := convert(v.Type(), text)
	if err != nil {
		l.addFieldError(path, err.Error())
		return
	}
	empty := typeName(v.Type()) == "text" && text == ""
	if field.check != nil && !empty && !field.check(value) {
		l.addFieldError(path, "value not allowed")
		return
	}
	v.Set(reflect.ValueOf(value).Convert(v.Type()))
}

func splitList(text string) []string {
	var items []string
	for _, item := range strings.Split(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

func (l *loader) setList(path string, items []string) {
	seen := map[string]bool{}
	for _, item := range items {
		if seen[item] {
			l.addFieldError(path, "duplicate entry "+item)
		}
		seen[item] = true
	}
	if check := fieldByPath[path].check; check != nil && !check(items) {
		l.addFieldError(path, "value not allowed")
		return
	}
	fieldValue(l.settings, path).Set(reflect.ValueOf(items))
}

// readEnviron applies the environment variables of known fields. A variable that
// starts with the name of a section but names no field is an error.
func (l *loader) readEnviron(environ []string) {
	byEnv := map[string]string{}
	sections := map[string]bool{}
	for _, f := range fields {
		byEnv[f.Env()] = f.Path
		section, _, _ := strings.Cut(f.Path, ".")
		sections[strings.ToUpper(section)] = true
	}
	sorted := append([]string(nil), environ...)
	sort.Strings(sorted)
	for _, entry := range sorted {
		name, value, _ := strings.Cut(entry, "=")
		rest, ours := strings.CutPrefix(name, EnvPrefix)
		if !ours {
			continue
		}
		section, _, nested := strings.Cut(rest, "_")
		switch path := byEnv[name]; {
		case path != "":
			l.override(path, origin{file: name, value: value})
		case nested && sections[section]:
			l.addError(ValidationError{File: name, Problem: "variable names no setting"})
		}
	}
}

func (l *loader) readOverrides(overrides map[string]string) {
	paths := make([]string, 0, len(overrides))
	for path := range overrides {
		paths = append(paths, path)
	}
	sort.Strings(paths)
	for _, path := range paths {
		if fieldByPath[path].Path == "" {
			l.addError(ValidationError{File: "--set", Field: path, Problem: "unknown field"})
			continue
		}
		l.override(path, origin{file: "--set", value: overrides[path]})
	}
}

// override replaces the value of a field. Errors of the replaced value stay
// reported, because the file needs correction in any case.
func (l *loader) override(path string, from origin) {
	l.origin[path] = from
	l.set(path, from.value)
}

func (l *loader) checkRequired() {
	for _, f := range fields {
		v := fieldValue(l.settings, f.Path)
		if f.Required && v.IsZero() && !l.origin[f.Path].invalid {
			l.addFieldError(f.Path, "missing")
		}
	}
}

// checkFiles checks that files named in settings are readable and that the data
// folder or its parent exists.
func (l *loader) checkFiles() {
	for _, f := range fields {
		name := ""
		if f.file {
			name = fieldValue(l.settings, f.Path).String()
		}
		if name == "" {
			continue
		}
		if err := readable(name); err != nil {
			l.addFieldError(f.Path, rootCause(err))
		}
	}
	if folder := l.settings.Host.DataFolder; folder != "" {
		l.checkFolder(folder)
	}
}

func readable(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	info, err := f.Stat()
	if err == nil && info.IsDir() {
		return errors.New("is a folder")
	}
	return err
}

func (l *loader) checkFolder(folder string) {
	info, err := os.Stat(folder)
	if err == nil && !info.IsDir() {
		l.addFieldError("host.data_folder", "not a folder")
	}
	if err == nil {
		return
	}
	if parent, err := os.Stat(filepath.Dir(folder)); err != nil || !parent.IsDir() {
		l.addFieldError("host.data_folder", "parent folder does not exist")
	}
}

// checkCombinations checks rules that involve several fields.
func (l *loader) checkCombinations() {
	l.checkAddresses()
	l.checkTLS("listen.tls", l.settings.Listen.TLS, false)
	l.checkTLS("peers.tls", l.settings.Peers.TLS, true)
	if l.settings.Listen.TLS.CA != "" {
		l.addFieldError("listen.tls.ca", "not used on the callers' address, where keys authenticate")
	}
	p := l.settings.Peers
	if p.Secret == "" && p.TLS == (TLS{}) && !l.origin["peers.secret"].invalid {
		l.addFieldError("peers.secret", "missing; hosts authenticate by peers.secret or peers.tls")
	}
	invalid := l.origin["peers.lease"].invalid || l.origin["peers.heartbeat"].invalid
	if !invalid && p.Lease < minHeartbeatsPerLease*p.HeartbeatInterval {
		l.setDefaultOrigin("peers.lease", p.Lease)
		l.addFieldError("peers.lease", "shorter than 3 x peers.heartbeat ("+p.HeartbeatInterval.String()+")")
	}
}

// setDefaultOrigin records the value of a field that has its default, so that an
// error about the field shows the value.
func (l *loader) setDefaultOrigin(path string, value time.Duration) {
	if _, ok := l.origin[path]; !ok {
		l.origin[path] = origin{file: l.file, value: value.String()}
	}
}

func (l *loader) checkTLS(section string, t TLS, withCA bool) {
	set := t.Cert != "" || t.Key != "" || (withCA && t.CA != "")
	parts := []struct{ name, value string }{{"cert", t.Cert}, {"key", t.Key}}
	if withCA {
		parts = append(parts, struct{ name, value string }{"ca", t.CA})
	}
	for _, part := range parts {
		if set && part.value == "" {
			l.addFieldError(section+"."+part.name, "missing; "+section+" is only partly set")
		}
	}
}
