package config

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"hitchspring/internal/golden"
)

// The golden file lists every key of the options file with its type, so that no key changes unnoticed.
func TestGoldenKeys(t *testing.T) {
	golden.RequireTags(t, "toml", Options{})
	keys := appendKeys(nil, "", reflect.TypeFor[Options]())
	slices.Sort(keys)
	golden.Compare(t, "keys", []byte(strings.Join(keys, "\n")+"\n"))
}

// appendKeys appends the key of a value of the given type, with the kind of the value, and the keys of all its fields.
func appendKeys(keys []string, key string, typ reflect.Type) []string {
	if typ == reflect.TypeFor[Duration]() {
		return append(keys, key+" duration")
	}
	switch typ.Kind() {
	case reflect.Pointer:
		return appendKeys(keys, key, typ.Elem())
	case reflect.Slice:
		return appendKeys(keys, key+"[]", typ.Elem())
	case reflect.Struct:
		keys = append(keys, key+" section")
		for i := range typ.NumField() {
			field := typ.Field(i)
			if name, _, _ := strings.Cut(field.Tag.Get("toml"), ","); field.IsExported() {
				keys = appendKeys(keys, strings.TrimPrefix(key+"."+name, "."), field.Type)
			}
		}
		return keys
	default:
		return append(keys, fmt.Sprint(key, " ", typ.Kind()))
	}
}

// The golden files hold the effective options of the example files, including defaults, as `hitchspring check` prints
// them.
func TestGoldenSettingsInForce(t *testing.T) {
	for _, name := range []string{"fleet-log", "forward-auth", "halls", "redis"} {
		o, err := Load("../../deploy/options-" + name + ".toml")
		if err != nil {
			t.Fatal(err)
		}
		golden.Compare(t, "in-force-"+name, []byte(o.Text()))
	}
}
