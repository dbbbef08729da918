package escrow

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const ms = time.Millisecond

const (
	instances = 3
	// tickInterval is the time between two calls of Tick.
	tickInterval = 50 * ms
	// tolerance is the rounding error allowed in sums of shares.
	tolerance = 1e-9
	// testAccount is the key of the account that the instances share.
	testAccount = "k"
	// maxDeliveries limits the messages of one call of deliverAll.
	maxDeliveries = 1000
)

// packet is a message in transit.
type packet struct {
	from    Member
	to      string
	message Message
}

// cluster is a set of instances, each with its own clock, and the messages in
// transit between them.
type cluster struct {
	now          time.Duration
	clockRates   []float64    // relative to now, by instance
	allocators   []*Allocator // nil: the instance is down
	incarnations []uint64
	wanted       []float64 // the share that each instance wants
	network      []packet
}

// newCluster returns a cluster whose instances have clocks of the given rates.
func newCluster(clockRates ...float64) *cluster {
	c := &cluster{
		now:          time.Hour,
		clockRates:   clockRates,
		wanted:       make([]float64, instances),
		allocators:   make([]*Allocator, instances),
		incarnations: make([]uint64, instances),
	}
	for i := range instances {
		c.start(i)
	}
	return c
}

// clock returns the reading of an instance's clock. The clocks are hours apart and
// run at different rates.
func (c *cluster) clock(i int) time.Duration {
	return time.Duration(i)*time.Hour + time.Duration(float64(c.now)*c.clockRates[i])
}

// start starts a new incarnation of an instance.
func (c *cluster) start(i int) {
	c.incarnations[i]++
	rng := rand.New(rand.NewPCG(uint64(i), c.incarnations[i]))
	c.allocators[i] = New(i, instances, c.clock(i), rng)
}

// name returns an instance's name.
func (c *cluster) name(i int) string { return string(rune('a' + i)) }

// member returns an instance as its peers know it.
func (c *cluster) member(i int) Member { return Member{c.name(i), c.incarnations[i]} }

// tick calls Tick at an instance unless it is down, and sends its messages.
func (c *cluster) tick(i int) {
	if c.allocators[i] == nil {
		return
	}
	var members []Member
	for j := range instances {
		if j != i {
			members = append(members, c.member(j))
		}
	}
	needs := []Need{{Key: testAccount, Spread: instances, WantedShare: c.wanted[i]}}
	c.send(i, c.allocators[i].Tick(c.clock(i), needs, members))
}

// send adds an instance's messages to the network.
func (c *cluster) send(from int, envelopes []Envelope) {
	for _, envelope := range envelopes {
		c.network = append(c.network, packet{c.member(from), envelope.To, envelope.Message})
	}
}

// dropMessage removes message n from the network.
func (c *cluster) dropMessage(n int) {
	c.network = append(c.network[:n:n], c.network[n+1:]...)
}

// deliver delivers message n, which stays in the network if it is duplicated.
func (c *cluster) deliver(n int, duplicated bool) {
	p := c.network[n]
	if !duplicated {
		c.dropMessage(n)
	}
	to := int(p.to[0] - 'a')
	if c.allocators[to] == nil {
		return
	}
	c.send(to, c.allocators[to].Receive(c.clock(to), p.from, p.message))
}

// deliverAll delivers messages until none is in transit.
func (c *cluster) deliverAll() {
	for n := 0; len(c.network) > 0 && n < maxDeliveries; n++ {
		c.deliver(0, false)
	}
}

// run advances the time by span without faults.
func (c *cluster) run(span time.Duration) {
	for end := c.now + span; c.now < end; c.now += tickInterval {
		for i := range c.allocators {
			c.tick(i)
		}
		c.deliverAll()
	}
}

// pause stops an instance for a span, and resumes it with its old state.
func (c *cluster) pause(i int, span time.Duration) {
	allocator := c.allocators[i]
	c.allocators[i] = nil
	c.run(span)
	c.allocators[i] = allocator
}

// share returns the share that an instance may spend.
func (c *cluster) share(i int) float64 {
	return c.allocators[i].Allocations(c.clock(i))[testAccount].Share
}

// totalShare returns the sum of the shares of all running instances.
func (c *cluster) totalShare() float64 {
	total := 0.0
	for i, allocator := range c.allocators {
		if allocator == nil {
			continue
		}
		allocation, known := allocator.Allocations(c.clock(i))[testAccount]
		if !known {
			allocation.Share = allocator.DefaultShare(c.clock(i)) / instances
		}
		total += allocation.Share
	}
	return total
}

// anyReceived reports whether an instance has received a transfer.
func (c *cluster) anyReceived() bool {
	return slices.ContainsFunc(c.allocators, func(a *Allocator) bool { return a.Counts().Received > 0 })
}

// clone returns an independent copy.
func (c *cluster) clone() *cluster {
	clone := *c
	clone.allocators = slices.Clone(c.allocators)
	clone.incarnations = slices.Clone(c.incarnations)
	clone.wanted = slices.Clone(c.wanted)
	clone.network = slices.Clone(c.network)
	for i, allocator := range c.allocators {
		clone.allocators[i] = cloneAllocator(allocator, rand.New(rand.NewPCG(uint64(i), uint64(c.now))))
	}
	return &clone
}

func cloneAllocator(a *Allocator, rng *rand.Rand) *Allocator {
	clone := *a
	clone.rng = rng
	clone.peerNumbers = maps.Clone(a.peerNumbers)
	clone.nextHelloAt = maps.Clone(a.nextHelloAt)
	clone.accounts = map[string]*account{}
	for key, acc := range a.accounts {
		accClone := *acc
		accClone.transferredOut = slices.Clone(acc.transferredOut)
		accClone.received = slices.Clone(acc.received)
		clone.accounts[key] = &accClone
	}
	clone.peers = map[int]*peer{}
	for number, p := range a.peers {
		peerClone := *p
		peerClone.usages = maps.Clone(p.usages)
		clone.peers[number] = &peerClone
	}
	return &clone
}
