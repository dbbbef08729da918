// Package golden provides tests that compare encoded data with golden files, to detect changes of formats that other
// versions of the program read: stored files, messages between instances, and answers to operators. A test fills a
// value of such a type, encodes it, and compares the result with a file under testdata. A difference means that this
// version would read or write something else than earlier ones.
//
// The package is only for tests.
package golden

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

// updateVariable is the environment variable that makes Compare write the golden files instead of comparing with them.
const updateVariable = "UPDATE_GOLDEN"

// maxDepth is the maximum depth to which Fill follows a recursive type.
const maxDepth = 12

// Compare fails the test unless got equals the content of testdata/name.golden.
func Compare(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if os.Getenv(updateVariable) != "" {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s\nwant\n%s", path, printable(got), printable(want))
	}
}

// Read returns the content of testdata/name.golden, for tests that decode the data of an earlier version.
func Read(t *testing.T, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", name+".golden"))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// printable returns text unchanged, and other data in hexadecimal.
func printable(b []byte) string {
	for _, c := range b {
		if c >= 0x80 || c < ' ' && c != '\n' && c != '\t' && c != '\r' {
			return fmt.Sprintf("%x", b)
		}
	}
	return string(b)
}

// Fill recursively sets every exported field of the value that v points to. Values are not zero and depend only on the
// order of the declarations, so that renaming a field does not change its value. Slices and maps get one element.
func Fill(v any) {
	n := 0
	fill(reflect.ValueOf(v).Elem(), &n, 0)
}

// fill sets v. n counts the values so far, depth is the depth of the recursion.
func fill(v reflect.Value, n *int, depth int) {
	if depth > maxDepth {
		return
	}
	*n++
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(*n))
	case reflect.Int8:
		v.SetInt(1)
	case reflect.Uint8:
		v.SetUint(1) // usually an enumeration, for which larger values may be invalid
	case reflect.Uint, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*n))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*n) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprintf("text-%d", *n))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n, depth+1)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), n, depth+1)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), n, depth+1)
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, n, depth+1)
		fill(value, n, depth+1)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		fillStruct(v, n, depth)
	default: // other kinds are not encoded
	}
}

// fillStruct sets the exported fields of a struct, or a time.Time as a whole.
func fillStruct(v reflect.Value, n *int, depth int) {
	if v.Type() == reflect.TypeFor[time.Time]() {
		v.Set(reflect.ValueOf(time.Unix(int64(*n), 0).UTC()))
		return
	}
	for i := range v.NumField() {
		if v.Type().Field(i).IsExported() {
			fill(v.Field(i), n, depth+1)
		}
	}
}

// RequireTags fails the test if any exported field that an encoder reaches from v has no explicit name in the tag of
// the codec ("json", "cbor" or "toml"). Without a tag, renaming the Go field would change the encoding. Embedded
// structs need no tag.
func RequireTags(t *testing.T, codec string, v any) {
	t.Helper()
	requireTags(t, codec, reflect.TypeOf(v), map[reflect.Type]bool{})
}

// requireTags checks typ and the types that it refers to, except those in seen.
func requireTags(t *testing.T, codec string, typ reflect.Type, seen map[reflect.Type]bool) {
	t.Helper()
	switch typ.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
		requireTags(t, codec, typ.Elem(), seen)
		return
	case reflect.Struct:
	default:
		return
	}
	if seen[typ] || typ == reflect.TypeFor[time.Time]() {
		return
	}
	seen[typ] = true
	for i := range typ.NumField() {
		f := typ.Field(i)
		if !f.IsExported() {
			continue
		}
		if name, _, _ := strings.Cut(f.Tag.Get(codec), ","); name == "" && !f.Anonymous {
			t.Errorf("%s.%s: got no %s tag, want one that names the field", typ, f.Name, codec)
		}
		requireTags(t, codec, f.Type, seen)
	}
}

// Updating reports whether Compare writes the golden files, for tests whose output differs from run to run.
func Updating() bool { return os.Getenv(updateVariable) != "" }
