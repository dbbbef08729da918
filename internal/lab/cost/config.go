// Package cost measures the overhead of an ingress: the latency that it adds to a request, and the CPU time, memory
// and connections that it uses. It runs builds of the ingress and, as the lower bound, a bare forwarding proxy. Each
// is a real process with GOMAXPROCS=1. They run one after the other, with equal stand-in backends and under the same
// open-loop load on loopback. The input is a Config, the output a Report. The package depends on no details of the
// ingress's decisions.
package cost

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// BareProxy is the name of the bare forwarding proxy in reports, next to the names of the builds.
const BareProxy = "bare"

// Limits on a Config.
const (
	maxRate     = 20000
	maxDuration = 5 * time.Minute
	maxRepeats  = 20
	maxBuilds   = 12

	maxBackends     = 300
	maxConnections  = 1000
	maxBackendDelay = time.Second // of a backend's service time, and of its second answers
)

// DefaultRates are the typical load of one instance in a large fleet and that of a busy one, in requests per second.
var DefaultRates = []int{190, 3000}

// Build is one build of the ingress to measure.
type Build struct {
	Name    string `json:"name"`
	Program string `json:"program"` // path of the hitchspring binary
}

// ParseBuild parses NAME=PATH, or a PATH, whose last element is then the name.
func ParseBuild(text string) (Build, error) {
	name, program, named := strings.Cut(text, "=")
	if !named {
		program = text
		name = text[strings.LastIndexByte(text, '/')+1:]
	}
	if name == "" || program == "" {
		return Build{}, fmt.Errorf("build %q: want NAME=PATH", text)
	}
	if name == BareProxy {
		return Build{}, fmt.Errorf("build %q: %q is the name of the forwarding proxy", text, BareProxy)
	}
	return Build{Name: name, Program: program}, nil
}

// Config describes a measurement. Its JSON keys are part of the published report.
type Config struct {
	Builds               []Build       `json:"Builds"`  // measured in addition to the bare proxy
	Proxy                []string      `json:"Proxy"`   // command for ServeProxy; --listen and --backend are added
	Rates                []int         `json:"Rates"`   // requests per second
	WarmUp               time.Duration `json:"Warm"`    // duration of the load before each measurement
	Length               time.Duration `json:"Length"`  // duration of each measurement
	Repeats              int           `json:"Repeats"` // rounds; each measures every build once at every rate
	Backends             int           `json:"Backends"`
	Connections          int           `json:"Connections"` // client connections
	Work                 time.Duration `json:"Work"`        // service time of the backends
	SecondAnswerDelay    time.Duration `json:"SecondLate"`  // delay between a backend's first and second answer
	SecondAnswerFraction float64       `json:"SecondShare"` // fraction of requests that are answered twice
}

// Default returns the default configuration. The caller must set Builds and Proxy.
func Default() Config {
	return Config{
		Rates:       DefaultRates,
		WarmUp:      time.Second,
		Length:      5 * time.Second,
		Repeats:     3,
		Backends:    12,
		Connections: 64,
		Work:        2 * time.Millisecond,
	}
}

// Check returns an error that names the first invalid field and its value.
func (c *Config) Check() error {
	if err := c.checkBuilds(); err != nil {
		return err
	}
	if len(c.Proxy) == 0 {
		return errors.New("proxy: no program is given")
	}
	if err := c.checkRates(); err != nil {
		return err
	}
	return c.checkSizes()
}

func (c *Config) checkBuilds() error {
	if len(c.Builds) == 0 || len(c.Builds) > maxBuilds {
		return fmt.Errorf("builds: %d is out of range, 1 to %d", len(c.Builds), maxBuilds)
	}
	seen := map[string]bool{}
	for _, b := range c.Builds {
		if seen[b.Name] {
			return fmt.Errorf("build %q: given twice", b.Name)
		}
		seen[b.Name] = true
	}
	return nil
}

func (c *Config) checkRates() error {
	if len(c.Rates) == 0 {
		return errors.New("rate: none is given")
	}
	for i, r := range c.Rates {
		if r < 1 || r > maxRate {
			return fmt.Errorf("rate: %d is out of range, 1 to %d", r, maxRate)
		}
		if slices.Contains(c.Rates[:i], r) {
			return fmt.Errorf("rate: %d is given twice", r)
		}
	}
	return nil
}

func (c *Config) checkSizes() error {
	switch {
	case c.Length <= 0 || c.Length > maxDuration:
		return fmt.Errorf("seconds: %v is out of range, up to %v", c.Length, maxDuration)
	case c.WarmUp < 0 || c.WarmUp > maxDuration:
		return fmt.Errorf("warm: %v is out of range, up to %v", c.WarmUp, maxDuration)
	case c.Repeats < 1 || c.Repeats > maxRepeats:
		return fmt.Errorf("repeats: %d is out of range, 1 to %d", c.Repeats, maxRepeats)
	case c.Backends < 1 || c.Backends > maxBackends:
		return fmt.Errorf("backends: %d is out of range, 1 to %d", c.Backends, maxBackends)
	case c.Connections < 1 || c.Connections > maxConnections:
		return fmt.Errorf("connections: %d is out of range, 1 to %d", c.Connections, maxConnections)
	case c.Work <= 0 || c.Work > maxBackendDelay:
		return fmt.Errorf("work: %v is out of range, up to %v", c.Work, maxBackendDelay)
	case c.SecondAnswerDelay < 0 || c.SecondAnswerDelay > maxBackendDelay:
		return fmt.Errorf("second-answers: %v is out of range, up to %v", c.SecondAnswerDelay, maxBackendDelay)
	case !(c.SecondAnswerFraction >= 0 && c.SecondAnswerFraction <= 1):
		return fmt.Errorf("second-share: %v is no share, 0 to 1", c.SecondAnswerFraction)
	}
	return nil
}

// measurementSlot identifies one measurement of a run.
type measurementSlot struct {
	round, rate int
	build       Build // the bare proxy if it has no Program
}

// slots returns the measurements of a round in their order: at each rate, the bare proxy and every build. Each round
// starts with another of these, so that a drift in the machine's speed affects all of them alike.
func (c *Config) slots(round int) (out []measurementSlot) {
	all := append([]Build{{Name: BareProxy}}, c.Builds...)
	for _, rate := range c.Rates {
		for i := range all {
			out = append(out, measurementSlot{round, rate, all[(i+round)%len(all)]})
		}
	}
	return out
}
