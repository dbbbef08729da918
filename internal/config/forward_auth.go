package config

import (
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"time"
)

// drainGracePeriod is how long the platform lets a draining backend finish its requests. A caller must send a granted
// request well before that, so start_within has to be shorter.
const drainGracePeriod = Duration(2 * time.Second)

// maxRules is the maximum size of the rule table, which is designed for 12,000 routes.
const maxRules = 16384

// defaultHeaderPrefix is the default name prefix of the HTTP headers that hitchspring defines itself.
const defaultHeaderPrefix = "X-Hitch"

var headerPrefixPattern = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9-]{0,39}$`)

// ForwardAuth configures the HTTP listener for forward authentication. Its callers, the gates, ask whether a request is
// admitted and which backend to send it to, and send it themselves. If the section is absent, there is no listener.
type ForwardAuth struct {
	Listen         string     `toml:"listen"`                  // host:port
	Trusted        []string   `toml:"trusted"`                 // IP addresses or networks that callers may have
	PathPrefix     string     `toml:"prefix,omitempty"`        // removed from a call's path to get the original path
	HeaderPrefix   string     `toml:"header,omitempty"`        // name prefix of the headers that hitchspring defines
	LeaseTimeout   Duration   `toml:"lease_timeout,omitempty"` // after it an attempt without a report counts as ended
	StartWithin    Duration   `toml:"start_within,omitempty"`  // max time from the grant to the start of the attempt
	Retention      Duration   `toml:"keep,omitempty"`          // of an answer after the client's deadline
	MaxRequests    int        `toml:"requests,omitempty"`      // max requests whose answers are retained
	MaxCalls       int        `toml:"calls,omitempty"`         // max concurrent calls
	MaxConnections int        `toml:"connections,omitempty"`   // max open connections
	MaxHeaderBytes int        `toml:"header_bytes,omitempty"`  // max size of the headers of one call
	HeaderTimeout  Duration   `toml:"header_time,omitempty"`   // for reading the headers of a call
	IdleTimeout    Duration   `toml:"idle_time,omitempty"`     // max idle time of a connection between two calls
	Rules          []AuthRule `toml:"rule,omitempty"`          // the first match applies; reloaded on SIGHUP
}

// AuthRule assigns a class, a plan and a cost to the requests that match its method and path.
type AuthRule struct {
	Method string  `toml:"method,omitempty"` // empty: any method
	Path   string  `toml:"path"`             // path pattern in the syntax of package forwardauth
	Class  string  `toml:"class"`            // name of a class in the platform's settings
	Plan   string  `toml:"plan,omitempty"`   // name of a plan in the platform's settings; empty: taken from a header
	Units  float64 `toml:"units,omitempty"`  // quota units per request; 0: taken from a header, or 1 without one
}

// validate fills in the defaults and returns the errors of the section.
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

// validateBounds fills in the defaults of the durations and limits, and checks their ranges.
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

// TrustedNetworks returns the networks whose addresses may call. The error names the first value that is neither an IP
// address nor a network.
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

// EqualExceptRules reports whether two sections are equal apart from the rules, which a reload may change. Either
// section may be nil.
func (f *ForwardAuth) EqualExceptRules(other *ForwardAuth) bool {
	if f == nil || other == nil {
		return f == other
	}
	a, b := *f, *other
	a.Rules = nil
	b.Rules = nil
	return reflect.DeepEqual(a, b)
}
