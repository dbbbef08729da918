package cost

import (
	"fmt"
	"time"

	"hitchspring/internal/standin/backend"
	"hitchspring/internal/standin/discovery"
	"hitchspring/internal/standin/fault"
	"hitchspring/internal/standin/tally"
)

const (
	loopback = "127.0.0.1"
	zone     = "hall-a"
	// backendCores and backendQueue exceed any load here, so that no request waits in a backend's queue.
	backendCores = 64
	backendQueue = 10000
)

// backends holds the stand-ins that an ingress needs: backends, discovery and the shared counter.
type backends struct {
	fleet    *backend.Fleet
	backends []*backend.Backend
	registry *discovery.Registry
	agent    string
	counter  *tally.Server
}

// startBackends starts the stand-ins of one measurement.
func startBackends(c *Config, build Build, seed uint64) (b *backends, err error) {
	began := time.Now()
	clock := func() time.Duration { return time.Since(began) }
	rules := backend.Rules{Work: map[string]backend.Work{requestClass: {Min: c.Work, Max: c.Work}}}
	b = &backends{
		fleet:    backend.NewFleet(rules, seed, clock),
		registry: discovery.New(seed, clock, 0, time.Millisecond),
	}
	defer func() {
		if err != nil {
			b.close()
		}
	}()
	if b.counter, err = tally.Start("", seed); err != nil {
		return nil, err
	}
	if b.agent, err = b.registry.Agent(); err != nil {
		return nil, err
	}
	for i := range c.Backends {
		if err := b.add(i); err != nil {
			return nil, err
		}
	}
	if build.Name != Bare { // the bare proxy would match each later answer with the wrong request
		b.injectSecondAnswers(c)
	}
	return b, nil
}

// add starts the backend of that number and registers it with discovery.
func (b *backends) add(i int) error {
	spec := backend.Spec{
		ID:            fmt.Sprintf("backend-%03d", i),
		Zone:          zone,
		Kind:          "std",
		Rack:          i,
		Cores:         backendCores,
		Speed:         1,
		QueueCapacity: backendQueue,
	}
	n, err := b.fleet.Add(spec, loopback, false, 1)
	if err != nil {
		return err
	}
	b.backends = append(b.backends, n)
	b.registry.Set(discovery.Target{
		UID:      spec.ID,
		Endpoint: n.Addr(0),
		Zone:     spec.Zone,
		Model:    spec.Kind,
		Group:    spec.Rack,
		State:    "SERVING",
		Capacity: 1,
	}, true)
	return nil
}

// injectSecondAnswers has the backends answer a fraction of the requests a second time.
func (b *backends) injectSecondAnswers(c *Config) {
	if c.SecondShare == 0 {
		return
	}
	rule := fault.Rule{Kind: fault.RepeatLate, By: c.SecondLate, Share: c.SecondShare}
	if c.SecondLate == 0 {
		rule.Kind = fault.Repeat
	}
	for _, n := range b.backends {
		n.Fault(rule)
	}
}

func (b *backends) close() {
	b.fleet.Close()
	b.registry.Close()
	if b.counter != nil {
		b.counter.Close()
	}
}

// addresses returns the backends' addresses.
func (b *backends) addresses() (out []string) {
	for _, n := range b.backends {
		out = append(out, n.Addr(0))
	}
	return out
}

// acceptedConnections returns how many connections the backends have accepted so far: each is a handshake.
func (b *backends) acceptedConnections() (sum int) {
	for _, n := range b.backends {
		sum += n.Traffic(0).Opened
	}
	return sum
}
