// Package cost measures what an ingress adds to a request: the time that a request waits in it, and the CPU,
// memory and connections that it takes. Builds given by path and a bare forwarding proxy, the floor, run as
// real processes on one processor each, in turns before the same stand-in backends and under the same open-loop
// load on loopback. In: a Config. Out: a Report. It must never know how an ingress decides.
package cost

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Bare is the name of the forwarding proxy among the builds.
const Bare = "bare"

// Bounds of a run.
const (
	maxRate     = 20000
	maxDuration = 5 * time.Minute
	maxRepeats  = 20
	maxBuilds   = 12

	maxBackends     = 300
	maxConnections  = 1000
	maxBackendDelay = time.Second // of a backend's work and of its second answers
)

// DefaultRates are in requests a second: the load of one instance in a large fleet, and that of a busy one.
var DefaultRates = []int{190, 3000}

// Build is one program that is measured.
type Build struct {
	Name    string `json:"name"`
	Program string `json:"program"` // path of a hitchspring
}

// ParseBuild reads NAME=PATH, or a PATH whose name is that of its last element.
func ParseBuild(text string) (Build, error) {
	name, program, named := strings.Cut(text, "=")
	if !named {
		program = text
		name = text[strings.LastIndexByte(text, '/')+1:]
	}
	if name == "" || program == "" {
		return Build{}, fmt.Errorf("build %q: want NAME=PATH", text)
	}
	if name == Bare {
		return Build{}, fmt.Errorf("build %q: %q is the name of the forwarding proxy", text, Bare)
	}
	return Build{Name: name, Program: program}, nil
}

// Config says what is measured. Its JSON keys are part of the published report.
type Config struct {
	Builds      []Build       `json:"Builds"`  // measured beside the bare proxy
	Proxy       []string      `json:"Proxy"`   // command that runs ServeProxy, without --listen and --backend
	Rates       []int         `json:"Rates"`   // requests a second
	Warm        time.Duration `json:"Warm"`    // of load before each measurement
	Length      time.Duration `json:"Length"`  // of each measurement
	Repeats     int           `json:"Repeats"` // rounds; in each every build is measured once at every rate
	Backends    int           `json:"Backends"`
	Connections int           `json:"Connections"` // of clients
	Work        time.Duration `json:"Work"`        // service time of a backend
	SecondLate  time.Duration `json:"SecondLate"`  // delay of a backend's second answer after its first
	SecondShare float64       `json:"SecondShare"` // fraction of requests that are answered twice
}

// Default returns the usual measurement. Builds and Proxy are left to the caller.
func Default() Config {
	return Config{
		Rates:       DefaultRates,
		Warm:        time.Second,
		Length:      5 * time.Second,
		Repeats:     3,
		Backends:    12,
		Connections: 64,
		Work:        2 * time.Millisecond,
	}
}

// Check returns an error that names the first field with a value that cannot be used.
func (c *Config) Check() error {
	if err := c.checkBuilds(); err != nil {
		return err
	}
	if len(c.Proxy) == 0 {
		return errors.New("proxy: no program is named")
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
			return fmt.Errorf("build %q: named twice", b.Name)
		}
		seen[b.Name] = true
	}
	return nil
}

func (c *Config) checkRates() error {
	if len(c.Rates) == 0 {
		return errors.New("rate: none is named")
	}
	for i, r := range c.Rates {
		if r < 1 || r > maxRate {
			return fmt.Errorf("rate: %d is out of range, 1 to %d", r, maxRate)
		}
		if slices.Contains(c.Rates[:i], r) {
			return fmt.Errorf("rate: %d is named twice", r)
		}
	}
	return nil
}

func (c *Config) checkSizes() error {
	switch {
	case c.Length <= 0 || c.Length > maxDuration:
		return fmt.Errorf("seconds: %v is out of range, up to %v", c.Length, maxDuration)
	case c.Warm < 0 || c.Warm > maxDuration:
		return fmt.Errorf("warm: %v is out of range, up to %v", c.Warm, maxDuration)
	case c.Repeats < 1 || c.Repeats > maxRepeats:
		return fmt.Errorf("repeats: %d is out of range, 1 to %d", c.Repeats, maxRepeats)
	case c.Backends < 1 || c.Backends > maxBackends:
		return fmt.Errorf("backends: %d is out of range, 1 to %d", c.Backends, maxBackends)
	case c.Connections < 1 || c.Connections > maxConnections:
		return fmt.Errorf("connections: %d is out of range, 1 to %d", c.Connections, maxConnections)
	case c.Work <= 0 || c.Work > maxBackendDelay:
		return fmt.Errorf("work: %v is out of range, up to %v", c.Work, maxBackendDelay)
	case c.SecondLate < 0 || c.SecondLate > maxBackendDelay:
		return fmt.Errorf("second-answers: %v is out of range, up to %v", c.SecondLate, maxBackendDelay)
	case !(c.SecondShare >= 0 && c.SecondShare <= 1):
		return fmt.Errorf("second-share: %v is no share, 0 to 1", c.SecondShare)
	}
	return nil
}

// turn is one measurement in the order of a run.
type turn struct {
	round, rate int
	build       Build // without a program: the bare proxy
}

// turns returns the order of a round: at each rate the bare proxy and the builds one after the other. Each
// round begins with another one, so that a drift of the machine affects all alike.
func (c *Config) turns(round int) (out []turn) {
	all := append([]Build{{Name: Bare}}, c.Builds...)
	for _, rate := range c.Rates {
		for i := range all {
			out = append(out, turn{round, rate, all[(i+round)%len(all)]})
		}
	}
	return out
}
