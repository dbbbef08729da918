package config

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"hitchspring/internal/golden"
)

// Every key of the options file, with its type.
func TestGoldenKeys(t *testing.T) {
	golden.RequireTags(t, "toml", Options{})
	keys := appendKeys(nil, "", reflect.TypeFor[Options]())
	slices.Sort(keys)
	golden.Compare(t, "keys", []byte(strings.Join(keys, "\n")+"\n"))
}

func appendKeys(keys []string, prefix string, typ reflect.Type) []string {
	switch typ.Kind() {
	case reflect.Pointer:
		return appendKeys(keys, prefix, typ.Elem())
	case reflect.Slice:
		return appendKeys(keys, prefix+"[]", typ.Elem())
	case reflect.Struct:
		keys = append(keys, prefix+" section")
		for i := range typ.NumField() {
			f := typ.Field(i)
			if name, _, _ := strings.Cut(f.Tag.Get("toml"), ","); f.IsExported() {
				keys = appendKeys(keys, strings.TrimPrefix(prefix+"."+name, "."), f.Type)
			}
		}
		return keys
	case reflect.Int64:
		if typ == reflect.TypeFor[Duration]() {
			return append(keys, prefix+" duration")
		}
	}
	return append(keys, fmt.Sprint(prefix, " ", typ.Kind()))
}

// What `hitchspring check` prints of the examples, defaults among them.
func TestGoldenSettingsInForce(t *testing.T) {
	for _, name := range []string{"fleet-log", "forward-auth", "halls", "redis"} {
		o, err := Load("../../deploy/options-" + name + ".toml")
		if err != nil {
			t.Fatal(err)
		}
		golden.Compare(t, "in-force-"+name, []byte(o.Text()))
	}
}
