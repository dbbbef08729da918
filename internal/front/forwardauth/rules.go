package forwardauth

import (
	"errors"
	"fmt"
	"net/url"
	"strings"
)

// Rule assigns a class, a plan and units to the requests that match its method and
// path.
type Rule struct {
	Method string  // empty matches any method
	Path   string  // {channel} matches the channel, * any segment, ** at the end any remaining segments
	Class  string  // name of a request class
	Plan   string  // name of a plan; if empty, a header supplies it
	Units  float64 // if 0, a header supplies them; the default is 1
}

// Table is an immutable, ordered list of rules. The first rule that matches a request
// applies.
type Table struct{ rules []compiledRule }

type compiledRule struct {
	Rule
	segments []string
}

// NewTable validates rules and returns a table of them. An error names the index of
// the invalid rule.
func NewTable(rules []Rule) (*Table, error) {
	table := &Table{}
	for i, r := range rules {
		if !strings.HasPrefix(r.Path, "/") {
			return nil, fmt.Errorf("rule[%d]: path %q does not begin with /", i, r.Path)
		}
		segments := strings.Split(r.Path[1:], "/")
		for position, segment := range segments {
			switch {
			case segment == "**" && position != len(segments)-1:
				return nil, fmt.Errorf("rule[%d]: path %q: ** is allowed only as the last segment", i, r.Path)
			case strings.ContainsAny(segment, "{}") && segment != "{channel}":
				return nil, fmt.Errorf("rule[%d]: path %q: invalid segment %q, want {channel}", i, r.Path, segment)
			}
		}
		if r.Class == "" {
			return nil, fmt.Errorf("rule[%d]: class is missing", i)
		}
		if !(r.Units >= 0) {
			return nil, fmt.Errorf("rule[%d]: units %v must not be negative", i, r.Units)
		}
		table.rules = append(table.rules, compiledRule{r, segments})
	}
	return table, nil
}

// Match returns the first rule that matches a request, and the path segment in the
// position of {channel}.
func (t *Table) Match(method string, segments []string) (r Rule, channel string, ok bool) {
	for _, rule := range t.rules {
		if rule.Method != "" && !strings.EqualFold(rule.Method, method) {
			continue
		}
		if channel, ok := rule.matches(segments); ok {
			return rule.Rule, channel, true
		}
	}
	return Rule{}, "", false
}

func (r *compiledRule) matches(segments []string) (channel string, ok bool) {
	for i, want := range r.segments {
		if want == "**" {
			return channel, true
		}
		if i >= len(segments) {
			return "", false
		}
		switch want {
		case "*":
		case "{channel}":
			channel = segments[i]
		default:
			if want != segments[i] {
				return "", false
			}
		}
	}
	return channel, len(segments) == len(r.segments)
}

const (
	maxTargetBytes = 8 << 10
	asciiDelete    = 0x7f
)

var errAmbiguousPath = errors.New("the path can be read in more than one way")

// SplitPath splits the path of a request's target into decoded segments. A path that a
// backend might interpret differently is an error: one with dot segments, empty
// segments, semicolon parameters, encoded slashes or percent signs, backslashes or
// control characters.
func SplitPath(target string) ([]string, error) {
	if i := strings.IndexAny(target, "?#"); i >= 0 {
		target = target[:i]
	}
	if !strings.HasPrefix(target, "/") || len(target) > maxTargetBytes {
		return nil, errAmbiguousPath
	}
	if target == "/" {
		return []string{""}, nil
	}
	segments := strings.Split(target[1:], "/")
	for i, segment := range segments {
		decoded, err := url.PathUnescape(segment)
		if err != nil {
			return nil, errAmbiguousPath
		}
		if isAmbiguous(decoded) || decoded == "" && i != len(segments)-1 {
			return nil, errAmbiguousPath
		}
		segments[i] = decoded
	}
	return segments, nil
}

// isAmbiguous reports whether a backend might interpret a decoded segment as anything
// other than one plain segment.
func isAmbiguous(segment string) bool {
	if segment == "." || segment == ".." || strings.ContainsAny(segment, "/\\;%") {
		return true
	}
	for _, c := range []byte(segment) {
		if c < ' ' || c == asciiDelete {
			return true
		}
	}
	return false
}
