package harness

import (
	"os"
	"reflect"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"ragwortstep/internal/settings"
)

// writeSettings writes the fields that differ from the defaults, so that
// empty fields are not read as values.
func writeSettings(path string, s settings.Settings) error {
	tree := changedFields(reflect.ValueOf(s), reflect.ValueOf(settings.Default()))
	raw, err := yaml.Marshal(tree)
	if err != nil {
		return errors.Wrapf(err, "encode settings %s", path)
	}
	return errors.Wrapf(os.WriteFile(path, raw, 0o600), "write settings %s", path)
}

// changedFields returns the fields of v that differ from those of base, by
// their YAML names.
func changedFields(v, base reflect.Value) yaml.MapSlice {
	var out yaml.MapSlice
	for i := range v.NumField() {
		name := v.Type().Field(i).Tag.Get("yaml")
		field, old := v.Field(i), base.Field(i)
		if field.Kind() == reflect.Struct {
			if sub := changedFields(field, old); len(sub) > 0 {
				out = append(out, yaml.MapItem{Key: name, Value: sub})
			}
			continue
		}
		if !reflect.DeepEqual(field.Interface(), old.Interface()) {
			out = append(out, yaml.MapItem{Key: name, Value: yamlValue(field)})
		}
	}
	return out
}

func yamlValue(v reflect.Value) any {
	if d, ok := v.Interface().(time.Duration); ok {
		return d.String()
	}
	return v.Interface()
}
