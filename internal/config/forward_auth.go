package config

import (
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"time"
)

// drainGracePeriod is how long the platform lets a draining backend finish; a grant must be used well within it.
const drainGracePeriod = Duration(2 * time.Second)

// maxRules bounds the rule table; it is designed for 12,000 routes.
const maxRules = 16384

// defaultHeaderPrefix is the beginning of the names of the program's own headers.
const defaultHeaderPrefix = "X-Hitch"

var headerPrefixPattern = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9-]{0,39}$`)

// ForwardAuth says where gates may ask whether, and to which backend, to send a request themselves. Absent: nowhere.
type ForwardAuth struct {
	Listen         string     `toml:"listen"`                  // host:port
	Trusted        []string   `toml:"trusted"`                 // addresses or networks that may call
	PathPrefix     string     `toml:"prefix,omitempty"`        // of a call's path, which is left out of the original's
	HeaderPrefix   string     `toml:"header,omitempty"`        // beginning of the names of the program's own headers
	LeaseTimeout   Duration   `toml:"lease_timeout,omitempty"` // after which an attempt without a report is over
	StartWithin    Duration   `toml:"start_within,omitempty"`  // time in which a grant must be used
	Retention      Duration   `toml:"keep,omitempty"`          // of an answer, after its client's deadline
	MaxRequests    int        `toml:"requests,omitempty"`      // whose answers are retained
	MaxCalls       int        `toml:"calls,omitempty"`         // at the same time
	MaxConnections int        `toml:"connections,omitempty"`   // at the same time
	MaxHeaderBytes int        `toml:"header_bytes,omitempty"`  // of one call
	HeaderTimeout  Duration   `toml:"header_time,omitempty"`   // for a call's headers
	IdleTimeout    Duration   `toml:"idle_time,omitempty"`     // of a connection between two calls
	Rules          []AuthRule `toml:"rule,omitempty"`          // the first that matches holds; can change in service
}

// AuthRule says what a request is, by its method and path.
type AuthRule struct {
	Method string  `toml:"method,omitempty"` // empty: any
	Path   string  `toml:"path"`             // pattern of the path, as package forwardauth parses it
	Class  string  `toml:"class"`            // a class of the settings
	Plan   string  `toml:"plan,omitempty"`   // a plan of the settings; empty: a header says
	Units  float64 `toml:"units,omitempty"`  // of quota that a request costs; 0: a header says, else 1
}

// validate fills in the defaults and returns what is wrong.
func (f *ForwardAuth) validate() []fieldError {
	s := section{name: "forward_auth"}
	s.validateListen(f.Listen)
	if len(f.Trusted) == 0 {
		s.reject("trusted", "missing: nobody could call; name the gates' addresses or networks")
	}
	if _, err := f.TrustedNetworks(); err != nil {
		s.reject("trusted", "%w", err)
	}
	if f.PathPrefix != "" && f.PathPrefix[0] != '/' {
		s.reject("prefix", "%q does not begin with /", f.PathPrefix)
	}
	if f.HeaderPrefix == "" {
		f.HeaderPrefix = defaultHeaderPrefix
	}
	if !headerPrefixPattern.MatchString(f.HeaderPrefix) {
		s.reject("header", "%q is no beginning of a header's name", f.HeaderPrefix)
	}
	f.validateBounds(&s)
	if len(f.Rules) > maxRules {
		s.reject("rule", "%d rules are too many, %d at most", len(f.Rules), maxRules)
	}
	return s.errs
}

// validateBounds fills in and checks the time spans and the numbers.
func (f *ForwardAuth) validateBounds(s *section) {
	const (
		ms  = Duration(time.Millisecond)
		sec = Duration(time.Second)
	)
	setDefault(s, "lease_timeout", &f.LeaseTimeout, 5*sec, 100*ms, 60*sec)
	setDefault(s, "start_within", &f.StartWithin, 500*ms, 10*ms, drainGracePeriod-500*ms)
	setDefault(s, "keep", &f.Retention, 3*sec, 0, 60*sec)
	setDefault(s, "header_time", &f.HeaderTimeout, 2*sec, 100*ms, 30*sec)
	setDefault(s, "idle_time", &f.IdleTimeout, 60*sec, sec, 600*sec)
	setDefault(s, "requests", &f.MaxRequests, 20_000, 100, 1_000_000)
	setDefault(s, "calls", &f.MaxCalls, 2_000, 1, 100_000)
	setDefault(s, "connections", &f.MaxConnections, 1_000, 1, 100_000)
	setDefault(s, "header_bytes", &f.MaxHeaderBytes, 16<<10, 1<<10, 1<<20)
}

// TrustedNetworks returns the networks that may call. An error names the first value that is neither an address nor a
// network.
func (f *ForwardAuth) TrustedNetworks() ([]netip.Prefix, error) {
	var networks []netip.Prefix
	for _, text := range f.Trusted {
		if addr, err := netip.ParseAddr(text); err == nil {
			networks = append(networks, netip.PrefixFrom(addr, addr.BitLen()))
			continue
		}
		network, err := netip.ParsePrefix(text)
		if err != nil {
			return nil, fmt.Errorf("%q: neither an address nor a network", text)
		}
		networks = append(networks, network.Masked())
	}
	return networks, nil
}

// EqualExceptRules reports whether two sections, either of which may be absent, differ at most in what can change in
// service: the rules.
func (f *ForwardAuth) EqualExceptRules(other *ForwardAuth) bool {
	if f == nil || other == nil {
		return f == other
	}
	a, b := *f, *other
	a.Rules = nil
	b.Rules = nil
	return reflect.DeepEqual(a, b)
}
