package admin

import (
	"encoding/json"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"ragwortstep/internal/core/config"
	"ragwortstep/internal/events"
	"ragwortstep/internal/orders"
)

type apiDocument struct {
	Paths      map[string]map[string]apiOperation `json:"paths"`
	Components struct {
		Schemas map[string]struct {
			Properties map[string]json.RawMessage `json:"properties"`
		} `json:"schemas"`
	} `json:"components"`
}

type apiOperation struct {
	OperationID string `json:"operationId"`
	Parameters  []struct {
		Name     string `json:"name"`
		In       string `json:"in"`
		Required bool   `json:"required"`
	} `json:"parameters"`
	Responses map[string]json.RawMessage `json:"responses"`
}

func (o apiOperation) parameter(in, name string) bool {
	for _, p := range o.Parameters {
		if p.In == in && p.Name == name && p.Required {
			return true
		}
	}
	return false
}

func readDocument(t *testing.T) apiDocument {
	t.Helper()
	var doc apiDocument
	if err := json.Unmarshal(openAPI, &doc); err != nil {
		t.Fatal(err)
	}
	return doc
}

// Guards against routes that openapi.json lacks and operations that no route
// serves, since clients are generated from the document.
func TestOpenAPIMatchesRoutes(t *testing.T) {
	doc := readDocument(t)
	registered := map[string]bool{}
	for _, r := range (&server{}).routes() {
		name := strings.ToLower(r.method) + " " + r.pattern
		registered[name] = true
		o, ok := doc.Paths[r.pattern][strings.ToLower(r.method)]
		if !ok {
			t.Errorf("%s is not described", name)
			continue
		}
		for _, m := range regexp.MustCompile(`\{(\w+)\}`).FindAllStringSubmatch(r.pattern, -1) {
			if !o.parameter("path", m[1]) {
				t.Errorf("%s: path parameter %s is not described", name, m[1])
			}
		}
	}
	ids := map[string]bool{}
	for path, operations := range doc.Paths {
		for method, o := range operations {
			if !registered[method+" "+path] {
				t.Errorf("%s %s is described but not registered", method, path)
			}
			if ids[o.OperationID] || o.OperationID == "" {
				t.Errorf("%s %s: operation id %q is missing or used twice", method, path, o.OperationID)
			}
			ids[o.OperationID] = true
		}
	}
}

// Guards against a description of If-Match that differs from what the handlers
// require.
func TestOpenAPIDescribesIfMatch(t *testing.T) {
	a := newTestAPI(t)
	for path, operations := range readDocument(t).Paths {
		for method, o := range operations {
			target := strings.NewReplacer("{name}", "x", "{id}", "x", "{server}", "x", "{slot}", "x").Replace(strings.TrimPrefix(path, Prefix))
			code := a.do(strings.ToUpper(method), target, -1, "{}").Code
			if strings.HasSuffix(path, "/table") && method == "put" {
				code = a.do("PUT", target, -1, tableCSV).Code
			}
			described := o.parameter("header", "If-Match") && o.Responses["412"] != nil && o.Responses["428"] != nil
			if (code == 428) != described {
				t.Errorf("%s %s answers %d without If-Match, described as conditional: %v", method, path, code, described)
			}
		}
	}
}

// Guards against schemas whose properties differ from the JSON fields of the types.
func TestOpenAPIMatchesTypes(t *testing.T) {
	doc := readDocument(t)
	types := map[string]reflect.Type{
		"Workspace": reflect.TypeFor[config.Workspace](), "Route": reflect.TypeFor[config.Route](), "Server": reflect.TypeFor[config.Server](),
		"KeyInfo": reflect.TypeFor[KeyInfo](), "KeyRequest": reflect.TypeFor[keyRequest](), "CreatedKey": reflect.TypeFor[CreatedKey](),
		"WorkspaceList": reflect.TypeFor[List[int]](), "RouteList": reflect.TypeFor[List[int]](), "ServerList": reflect.TypeFor[List[int]](), "KeyList": reflect.TypeFor[List[int]](),
		"ConfigBody": reflect.TypeFor[ConfigBody](), "FieldChange": reflect.TypeFor[config.FieldChange](), "ObjectChange": reflect.TypeFor[config.ObjectChange](),
		"Change": reflect.TypeFor[config.Change](), "HistoryBody": reflect.TypeFor[HistoryBody](), "HostRevision": reflect.TypeFor[HostRevision](),
		"WriteResult": reflect.TypeFor[WriteResult](), "HostStatus": reflect.TypeFor[HostStatus](), "StatusBody": reflect.TypeFor[StatusBody](),
		"Event": reflect.TypeFor[events.Event](), "EventsBody": reflect.TypeFor[EventsBody](), "Order": reflect.TypeFor[orders.Order](),
		"Entry": reflect.TypeFor[orders.Entry](), "OrdersBody": reflect.TypeFor[OrdersBody](), "Fault": reflect.TypeFor[config.Fault](),
		"ErrorDetail": reflect.TypeFor[ErrorDetail](), "ErrorBody": reflect.TypeFor[ErrorBody](),
	}
	for name, schema := range doc.Components.Schemas {
		typ, ok := types[name]
		if !ok {
			t.Errorf("schema %s has no type", name)
			continue
		}
		var described, fields []string
		for property := range schema.Properties {
			described = append(described, property)
		}
		for i := range typ.NumField() {
			if f := typ.Field(i); !f.Anonymous {
				tag, _, _ := strings.Cut(f.Tag.Get("json"), ",")
				fields = append(fields, tag)
			}
		}
		slices.Sort(described)
		slices.Sort(fields)
		if !slices.Equal(described, fields) {
			t.Errorf("schema %s describes %v, the type has %v", name, described, fields)
		}
	}
	for _, m := range regexp.MustCompile(`"#/components/schemas/(\w+)"`).FindAllSubmatch(openAPI, -1) {
		if _, ok := doc.Components.Schemas[string(m[1])]; !ok {
			t.Errorf("schema %s does not exist", m[1])
		}
	}
}
