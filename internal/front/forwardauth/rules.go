package forwardauth

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
)

// Rule says what a request is, by its method and path.
type Rule struct {
	Method string  // empty: any
	Path   string  // segments; {channel} stands for the channel, * for any one segment, a last ** for any rest
	Class  string  // of the settings
	Plan   string  // of the settings; empty: a header says
	Units  float64 // 0: a header says, else 1
}

// Table is the rules in their order; the first that fits counts. It does not change once made.
type Table struct{ rules []compiledRule }

type compiledRule struct {
	Rule
	segments []string
}

// NewTable checks the rules; the error names the rule, from 0.
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

// Match finds the first rule that fits. channel is what stood at {channel}.
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

var errAmbiguousPath = errors.New("the path can be read in more than one way")

// Segments takes a request's target apart. What a server behind might read as another path than this one is refused, not
// mended: dot segments, empty ones, parameters behind a semicolon, an encoded slash or dot, a backslash, a control character.
func Segments(target string) ([]string, error) {
	if i := strings.IndexAny(target, "?#"); i >= 0 {
		target = target[:i]
	}
	if !strings.HasPrefix(target, "/") || len(target) > 8<<10 {
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
		if decoded == "" && i != len(segments)-1 || decoded == "." || decoded == ".." || strings.ContainsAny(decoded, "/\\;%") {
			return nil, errAmbiguousPath
		}
		for _, c := range []byte(decoded) {
			if c < 0x20 || c == 0x7f {
				return nil, errAmbiguousPath
			}
		}
		segments[i] = decoded
	}
	return segments, nil
}

// original is the method and target of the request that the gate asks about, as the gates word it: X-Forwarded-Method and
// -Uri (Traefik, Caddy), X-Original-Method and -URI (nginx, as its configuration sets them), or the call's own behind a
// prefix (Envoy).
func originalRequest(r *http.Request, prefix string) (method, target string) {
	method, target = r.Header.Get("X-Forwarded-Method"), r.Header.Get("X-Forwarded-Uri")
	if target == "" {
		method, target = r.Header.Get("X-Original-Method"), r.Header.Get("X-Original-Uri")
	}
	if target == "" {
		method, target = r.Method, strings.TrimPrefix(r.RequestURI, strings.TrimSuffix(prefix, "/"))
		if target == "" {
			target = "/"
		}
	}
	if method == "" {
		method = r.Method
	}
	return method, target
}
