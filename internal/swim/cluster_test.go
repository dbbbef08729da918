package swim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// cluster simulates members and their network in virtual time. Messages are
// delayed, and may be lost, duplicated and reordered.
type cluster struct {
	rng         *rand.Rand
	now         time.Duration
	members     map[string]*Machine // by address
	queue       []inFlight
	loss        float64       // probability that a message is lost
	duplication float64       // probability that a message is delivered twice
	maxDelay    time.Duration // of the random delay that is added to a fixed one
	partitioned func(from, to string) bool
	sentCount   int
	refusals    []refusedMessage // not yet reported to their senders
}

// inFlight is a message that has been sent but not delivered.
type inFlight struct {
	at       time.Duration
	sequence int // orders messages that arrive at the same time
	to       string
	msg      Message
}

// refusedMessage is a message that the receiver's host refused.
type refusedMessage struct{ from, to string }

func newCluster(seed uint64) *cluster {
	return &cluster{
		rng:         rand.New(rand.NewPCG(seed, 3)),
		members:     map[string]*Machine{},
		maxDelay:    2 * time.Millisecond,
		partitioned: func(string, string) bool { return false },
	}
}

// startCluster returns a cluster of n members that have not joined each other yet.
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

// deliver sends messages over the simulated network.
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

// run advances the simulation to the given time.
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

// nextArrival returns the index and the arrival time of the queued message that
// arrives first. The index is -1 if no message arrives before the given time.
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

// refuse makes the hosts of terminated members refuse messages from the given
// senders. The sender is notified immediately.
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

// view returns the names of the members that the given member believes to be present.
func (c *cluster) view(addr string) string {
	var names []string
	for _, m := range c.members[addr].Members() {
		if m.State.present() {
			names = append(names, m.Name)
		}
	}
	return strings.Join(names, " ")
}

// agreeOn returns an error unless the view of each named member consists of
// exactly the other named members.
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

// runUntilAgreed runs the simulation in steps until agreeOn succeeds for the
// named members or limit has passed. It returns the elapsed time and the error
// of agreeOn.
func (c *cluster) runUntilAgreed(limit, step time.Duration, names ...string) (time.Duration, error) {
	start := c.now
	for c.now < start+limit && c.agreeOn(names...) != nil {
		c.run(c.now + step)
	}
	return c.now - start, c.agreeOn(names...)
}
