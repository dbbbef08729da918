package forwardauth

import (
	"strings"
	"testing"
)

// A path that a backend could interpret differently is an error.
func TestSegments(t *testing.T) {
	const invalid = "!"
	for target, want := range map[string]string{
		"/a/b?x=/../": "a|b",
		"/":           "",
		"/a/":         "a|",
		"/a%20b":      "a b",
		"/%C3%B8":     "ø",
		"":            invalid,
		"a/b":         invalid,
		"/a/../b":     invalid,
		"/a/%2e%2e/b": invalid,
		"/a/%2E./b":   invalid,
		"/a//b":       invalid,
		"/a%2fb":      invalid,
		"/a%5cb":      invalid,
		"/a;x=1/b":    invalid,
		"/a%3bx":      invalid,
		"/a%00":       invalid,
		"/a%0d%0ab":   invalid,
		"/%":          invalid,
		"/%zz":        invalid,
		"/a/./b":      invalid,
		"/a%252e":     invalid,
		"//a":         invalid,
		"/a\\b":       invalid,
	} {
		segments, err := SplitPath(target)
		got := strings.Join(segments, "|")
		if err != nil {
			got = invalid
		}
		if got != want {
			t.Errorf("%q: got %q, want %q", target, got, want)
		}
	}
}

// A rule matches only requests with its method and path.
func TestMatch(t *testing.T) {
	table, err := NewTable([]Rule{
		{Method: "GET", Path: "/channels/{channel}/guide", Class: "read"},
		{Path: "/channels/{channel}/clips/**", Class: "publish"},
		{Path: "/*/x", Class: "star"},
	})
	if err != nil {
		t.Fatal(err)
	}
	for request, want := range map[string]string{
		"GET /channels/3e9/guide":   "read 3e9",
		"POST /channels/3e9/guide":  "",
		"GET /channels/3e9/guide/":  "",
		"PUT /channels/1/clips/a/b": "publish 1",
		"PUT /channels/1/clips":     "publish 1",
		"GET /CHANNELS/1/guide":     "",
		"GET /any/x":                "star ",
		"GET /channels/3e9":         "",
	} {
		method, target, _ := strings.Cut(request, " ")
		segments, err := SplitPath(target)
		if err != nil {
			t.Fatal(err)
		}
		got := ""
		if rule, channel, ok := table.Match(method, segments); ok {
			got = rule.Class + " " + channel
		}
		if got != want {
			t.Errorf("%s: got %q, want %q", request, got, want)
		}
	}
}

// The error for an invalid rule names its index.
func TestInvalidRules(t *testing.T) {
	for _, invalid := range []Rule{
		{Path: "x", Class: "a"},
		{Path: "/a/**/b", Class: "a"},
		{Path: "/{id}", Class: "a"},
		{Path: "/a"},
		{Path: "/a", Class: "a", Units: -1},
	} {
		_, err := NewTable([]Rule{{Path: "/ok", Class: "a"}, invalid})
		if err == nil || !strings.Contains(err.Error(), "rule[1]") {
			t.Errorf("%+v: got error %v, want one of rule[1]", invalid, err)
		}
	}
}

// For any target, SplitPath returns an error or only unambiguous segments.
func FuzzSegments(f *testing.F) {
	for _, segment := range []string{"/a/b", "/a/%2e%2e/b", "//", "/a;b", "/%", "/a?b#c"} {
		f.Add(segment)
	}
	f.Fuzz(func(t *testing.T, target string) {
		segments, err := SplitPath(target)
		if err != nil {
			return
		}
		for i, segment := range segments {
			if segment == "." || segment == ".." || strings.ContainsAny(segment, "/\\;%\x00\r\n") ||
				segment == "" && i != len(segments)-1 {
				t.Fatalf("%q: %q", target, segments)
			}
		}
	})
}
