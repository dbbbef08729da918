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
	// backendCores and backendQueue exceed what any load here needs, so that no request waits in a backend's queue.
	backendCores = 64
	backendQueue = 10000
)

// backends holds the stand-ins that an ingress needs: the backends, discovery and the shared counter.
type backends struct {
	fleet    *backend.Fleet
	backends []*backend.Backend
	registry *discovery.Registry
	agent    string
	counter  *tally.Server
}

// startBackends starts fresh stand-ins for one measurement.
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
	if b.agent, err = b.registry.AddAgent(); err != nil {
		return nil, err
	}
	for i := range c.Backends {
		if err := b.add(i); err != nil {
			return nil, err
		}
	}
	if build.Name != BareProxy { // the bare proxy cannot tell a second answer from the answer to the next request
		b.injectSecondAnswers(c)
	}
	return b, nil
}

// add starts backend i and registers it with discovery.
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
	standIn, err := b.fleet.Add(spec, loopback, false, 1)
	if err != nil {
		return err
	}
	b.backends = append(b.backends, standIn)
	b.registry.Set(discovery.Target{
		UID:      spec.ID,
		Endpoint: standIn.Addr(0),
		Zone:     spec.Zone,
		Model:    spec.Kind,
		Group:    spec.Rack,
		State:    "SERVING",
		Capacity: 1,
	}, true)
	return nil
}

// injectSecondAnswers makes the backends answer a fraction of the requests twice.
func (b *backends) injectSecondAnswers(c *Config) {
	if c.SecondAnswerFraction == 0 {
		return
	}
	rule := fault.Rule{Kind: fault.RepeatLate, DelayTime: c.SecondAnswerDelay, Probability: c.SecondAnswerFraction}
	if c.SecondAnswerDelay == 0 {
		rule.Kind = fault.Repeat
	}
	for _, standIn := range b.backends {
		standIn.Fault(rule)
	}
}

// close stops all stand-ins that were started.
func (b *backends) close() {
	b.fleet.Close()
	b.registry.Close()
	if b.counter != nil {
		b.counter.Close()
	}
}

// addresses returns the backends' addresses.
func (b *backends) addresses() (out []string) {
	for _, standIn := range b.backends {
		out = append(out, standIn.Addr(0))
	}
	return out
}

// acceptedConnections returns how many connections the backends have accepted so far, which is the number of
// handshakes.
func (b *backends) acceptedConnections() (sum int) {
	for _, standIn := range b.backends {
		sum += standIn.Traffic(0).Opened
	}
	return sum
}
