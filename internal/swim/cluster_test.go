package swim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// cluster is members on a network in virtual time. Messages are delayed, and may
// be lost, duplicated and reordered.
type cluster struct {
	rng         *rand.Rand
	now         time.Duration
	members     map[string]*Machine // by address
	queue       []inFlight
	loss        float64       // probability that a message is lost
	duplication float64       // probability that one is delivered twice
	maxDelay    time.Duration // besides a fixed one
	partitioned func(from, to string) bool
	sentCount   int
	refusals    []refusedMessage // that were not reported to their senders yet
}

// inFlight is a message on its way.
type inFlight struct {
	at       time.Duration
	sequence int // orders messages that arrive at one moment
	to       string
	msg      Message
}

// refusedMessage is one whose receiver's host refused it.
type refusedMessage struct{ from, to string }

func newCluster(seed uint64) *cluster {
	return &cluster{
		rng:         rand.New(rand.NewPCG(seed, 3)),
		members:     map[string]*Machine{},
		maxDelay:    2 * time.Millisecond,
		partitioned: func(string, string) bool { return false },
	}
}

// startCluster returns a cluster of n members that have yet to find one another.
func startCluster(seed uint64, n int) *cluster {
	c := newCluster(seed)
	for i, name := range memberNames(n) {
		seeds := []string{"at-m000"}
		if i == 0 {
			seeds = []string{"at-m001"}
		}
		c.startMember(name, uint64(1000+i), seeds...)
	}
	return c
}

func memberNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("m%03d", i))
	}
	return names
}

func without(names []string, excluded string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == excluded })
}

func (c *cluster) startMember(name string, incarnation uint64, seeds ...string) {
	cfg := Config{Name: name, Addr: "at-" + name, Zone: "zone", Incarnation: incarnation, Seeds: seeds}
	rng := rand.New(rand.NewPCG(incarnation, uint64(len(c.members))))
	c.members["at-"+name] = New(cfg, c.now, rng)
}

// deliver puts messages on their way.
func (c *cluster) deliver(from string, envelopes []Envelope) {
	for _, envelope := range envelopes {
		c.sentCount++
		if c.partitioned(from, envelope.Addr) || c.rng.Float64() < c.loss {
			continue
		}
		times := 1
		if c.rng.Float64() < c.duplication {
			times = 2
		}
		for range times {
			at := c.now + 100*time.Microsecond + time.Duration(c.rng.Float64()*float64(c.maxDelay))
			msg := *envelope.Message
			msg.Updates = slices.Clone(envelope.Message.Updates)
			c.queue = append(c.queue, inFlight{at, c.sentCount, envelope.Addr, msg})
		}
	}
}

// run plays until a time.
func (c *cluster) run(until time.Duration) {
	for {
		nextMessage, at := c.nextArrival(until)
		ticking := ""
		for _, addr := range c.addrs() {
			if due := max(c.members[addr].NextTick(), c.now); due < at {
				ticking, at = addr, due
			}
		}
		c.now = max(c.now, at)
		c.reportRefusals()
		switch {
		case ticking != "":
			c.deliver(ticking, c.members[ticking].Tick(c.now))
		case nextMessage >= 0:
			arrived := c.queue[nextMessage]
			c.queue = slices.Delete(c.queue, nextMessage, nextMessage+1)
			if m := c.members[arrived.to]; m != nil {
				c.deliver(arrived.to, m.Receive(c.now, &arrived.msg))
			}
		default:
			return
		}
	}
}

// nextArrival returns the index of the message that arrives first, and when; -1
// if none does before the given time.
func (c *cluster) nextArrival(until time.Duration) (int, time.Duration) {
	next, at := -1, until
	for i, f := range c.queue {
		if f.at < at || f.at == at && next >= 0 && f.sequence < c.queue[next].sequence {
			next, at = i, f.at
		}
	}
	return next, at
}

func (c *cluster) reportRefusals() {
	for len(c.refusals) > 0 {
		refused := c.refusals[0]
		c.refusals = c.refusals[1:]
		c.deliver(refused.from, c.members[refused.from].HandleRefusal(c.now, refused.to))
	}
}

// refuse has hosts refuse what is sent to a member that has ended. The sender is
// notified at once.
func (c *cluster) refuse(refuses func(from, to string) bool) {
	partitioned := c.partitioned
	c.partitioned = func(from, to string) bool {
		if c.members[to] == nil && refuses(from, to) && c.members[from] != nil {
			c.refusals = append(c.refusals, refusedMessage{from, to})
		}
		return partitioned(from, to)
	}
}

func (c *cluster) addrs() []string {
	var addrs []string
	for addr := range c.members {
		addrs = append(addrs, addr)
	}
	slices.Sort(addrs)
	return addrs
}

// view lists the other members that are present by one's view.
func (c *cluster) view(addr string) string {
	var names []string
	for _, m := range c.members[addr].Members() {
		if m.State.present() {
			names = append(names, m.Name)
		}
	}
	return strings.Join(names, " ")
}

// agreeOn returns an error unless each of some members has exactly the others of
// them in its view.
func (c *cluster) agreeOn(names ...string) error {
	for _, name := range names {
		others := without(names, name)
		slices.Sort(others)
		if got, want := c.view("at-"+name), strings.Join(others, " "); got != want {
			return fmt.Errorf("view of %s: got %q, want %q", name, got, want)
		}
	}
	return nil
}

// runUntilAgreed plays in steps until some members agree on one another, for
// limit at most. It returns how long that took, and the error if they don't.
func (c *cluster) runUntilAgreed(limit, step time.Duration, names ...string) (time.Duration, error) {
	start := c.now
	for c.now < start+limit && c.agreeOn(names...) != nil {
		c.run(c.now + step)
	}
	return c.now - start, c.agreeOn(names...)
}
