package forwardauth

import (
	"errors"
	"fmt"
	"net/url"
	"strings"
)

// Rule determines what a request is by its method and path.
type Rule struct {
	Method string  // empty: any
	Path   string  // {channel} stands for the channel, * for one segment, a last ** for any rest
	Class  string  // of the settings
	Plan   string  // of the settings; empty: by a header
	Units  float64 // 0: by a header, else 1
}

// Table holds rules in their order; the first that matches counts. It doesn't
// change once it is made.
type Table struct{ rules []compiledRule }

type compiledRule struct {
	Rule
	segments []string
}

// NewTable checks rules and returns their table. An error names the rule by its
// position, from 0.
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
				return nil, fmt.Errorf("rule[%d]: path %q: ** stands last or not at all", i, r.Path)
			case strings.ContainsAny(segment, "{}") && segment != "{channel}":
				return nil, fmt.Errorf("rule[%d]: path %q: %q is no segment, want {channel}", i, r.Path, segment)
			}
		}
		if r.Class == "" {
			return nil, fmt.Errorf("rule[%d]: class is missing", i)
		}
		if !(r.Units >= 0) {
			return nil, fmt.Errorf("rule[%d]: units %v is below 0", i, r.Units)
		}
		table.rules = append(table.rules, compiledRule{r, segments})
	}
	return table, nil
}

// Match finds the first rule that matches a request. channel is the segment at
// {channel}.
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

// Segments returns the decoded segments of a request's target. A path that a
// backend might read in another way is an error: dot segments, empty ones,
// parameters behind a semicolon, an encoded slash or dot, a backslash, a control
// character.
func Segments(target string) ([]string, error) {
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

// isAmbiguous reports whether a backend might read a decoded segment as anything
// but one segment.
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
