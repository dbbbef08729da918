package config

import (
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"time"
)

// ForwardAuth says where gates may ask about requests that they send on themselves. Absent: nowhere.
type ForwardAuth struct {
	Listen       string     `toml:"listen"`                  // host:port
	Trusted      []string   `toml:"trusted"`                 // addresses or networks that may call
	PathPrefix       string     `toml:"prefix,omitempty"`        // of the calls' paths, left out of the original's
	HeaderPrefix       string     `toml:"header,omitempty"`        // beginning of the names of its own headers
	LeaseTimeout Duration   `toml:"lease_timeout,omitempty"` // an attempt that nobody reports on counts as out for so long
	StartWithin  Duration   `toml:"start_within,omitempty"`  // a grant is to be used within so long
	Retention         Duration   `toml:"keep,omitempty"`          // an answer is remembered for so long after its client's time
	MaxRequests     int        `toml:"requests,omitempty"`      // that are remembered
	MaxCalls        int        `toml:"calls,omitempty"`         // at once
	MaxConnections  int        `toml:"connections,omitempty"`   // at once
	MaxHeaderBytes  int        `toml:"header_bytes,omitempty"`
	HeaderTimeout   Duration   `toml:"header_time,omitempty"` // for a call's headers
	IdleTimeout     Duration   `toml:"idle_time,omitempty"`   // of a connection between calls
	Rules        []AuthRule `toml:"rule,omitempty"`        // in their order; can change on SIGHUP
}

// AuthRule says what a request is, by its method and path.
type AuthRule struct {
	Method string  `toml:"method,omitempty"`
	Path   string  `toml:"path"`
	Class  string  `toml:"class"`
	Plan   string  `toml:"plan,omitempty"`
	Units  float64 `toml:"units,omitempty"`
}

// Metrics says where figures are served. Absent: nowhere.
type Metrics struct {
	Listen string `toml:"listen"` // host:port; GET /metrics
}

// drainGrace is the platform's; a grant must be used well within it.
const drainGracePeriod = Duration(2 * time.Second)

// maxRules bounds the table of rules: 12,000 routes are designed for.
const maxRules = 16384

var headerPrefixPattern = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9-]{0,39}$`)

// check fills in the defaults and says what is wrong.
func (f *ForwardAuth) validate() (faults []fieldError) {
	wrong := func(key, format string, args ...any) {
		faults = append(faults, fieldError{"forward_auth." + key, fmt.Sprintf(format, args...)})
	}
	if f.Listen == "" {
		wrong("listen", "missing: want host:port")
	} else if err := checkAddress(f.Listen); err != nil {
		wrong("listen", "%q: %v", f.Listen, err)
	}
	if len(f.Trusted) == 0 {
		wrong("trusted", "missing: nobody could call; name the gates' addresses or networks")
	}
	if _, bad, err := f.TrustedNetworks(); err != nil {
		wrong("trusted", "%q: %v", bad, err)
	}
	if f.PathPrefix != "" && f.PathPrefix[0] != '/' {
		wrong("prefix", "%q does not begin with /", f.PathPrefix)
	}
	if f.HeaderPrefix == "" {
		f.HeaderPrefix = "X-Hitch"
	}
	if !headerPrefixPattern.MatchString(f.HeaderPrefix) {
		wrong("header", "%q is no beginning of a header's name", f.HeaderPrefix)
	}
	duration := func(key string, d *Duration, usual, least, most Duration) {
		if *d == 0 {
			*d = usual
		}
		if *d < least || *d > most {
			wrong(key, "%v is out of range, %v to %v", time.Duration(*d), time.Duration(least), time.Duration(most))
		}
	}
	s := Duration(time.Second)
	duration("lease_timeout", &f.LeaseTimeout, 5*s, s/10, 60*s)
	duration("start_within", &f.StartWithin, s/2, s/100, drainGracePeriod-s/2)
	duration("keep", &f.Retention, 3*s, 0, 60*s)
	duration("header_time", &f.HeaderTimeout, 2*s, s/10, 30*s)
	duration("idle_time", &f.IdleTimeout, 60*s, s, 600*s)
	number := func(key string, n *int, usual, least, most int) {
		if *n == 0 {
			*n = usual
		}
		if *n < least || *n > most {
			wrong(key, "%d is out of range, %d to %d", *n, least, most)
		}
	}
	number("requests", &f.MaxRequests, 20000, 100, 1000000)
	number("calls", &f.MaxCalls, 2000, 1, 100000)
	number("connections", &f.MaxConnections, 1000, 1, 100000)
	number("header_bytes", &f.MaxHeaderBytes, 16<<10, 1<<10, 1<<20)
	if len(f.Rules) > maxRules {
		wrong("rule", "%d rules are too many, %d at most", len(f.Rules), maxRules)
	}
	return faults
}

// Networks are those that may call; bad is the first that cannot be read.
func (f *ForwardAuth) TrustedNetworks() (out []netip.Prefix, bad string, err error) {
	for _, t := range f.Trusted {
		if a, err := netip.ParseAddr(t); err == nil {
			out = append(out, netip.PrefixFrom(a, a.BitLen()))
			continue
		}
		p, err := netip.ParsePrefix(t)
		if err != nil {
			return nil, t, fmt.Errorf("neither an address nor a network")
		}
		out = append(out, p.Masked())
	}
	return out, "", nil
}

func (m *Metrics) validate() (faults []fieldError) {
	if m.Listen == "" {
		return []fieldError{{"metrics.listen", "missing: want host:port"}}
	}
	if err := checkAddress(m.Listen); err != nil {
		return []fieldError{{"metrics.listen", fmt.Sprintf("%q: %v", m.Listen, err)}}
	}
	return nil
}

// SameButRules says whether only what can change in service differs: the table of rules.
func (f *ForwardAuth) EqualExceptRules(o *ForwardAuth) bool {
	if f == nil || o == nil {
		return f == o
	}
	a, b := *f, *o
	a.Rules, b.Rules = nil, nil
	return reflect.DeepEqual(a, b)
}
