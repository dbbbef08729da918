package peers

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"time"

	"hitchspring/internal/swim"
)

const testKey = "a key that all of them have"

// network simulates instances and their network in virtual time.
type network struct {
	t           testing.TB
	rng         *rand.Rand
	now         time.Duration
	engines     map[string]*Engine // by address; nil: terminated
	addrs       []string           // in the order of their first start
	queue       map[int64][]inFlight
	partitioned func(from, to string) bool
	corrupt     func(data []byte) [][]byte // if not nil, returns the datagrams to deliver instead of the given one
	errorCount  int                        // datagrams that were rejected
}

// inFlight is a datagram that has been sent but not delivered. The network's queue
// groups them by the millisecond of their arrival.
type inFlight struct {
	to   string
	data []byte
}

// step holds the input and output of one instance in one millisecond.
type step struct {
	inbox      [][]byte
	outbox     []Packet
	errorCount int
}

func newNetwork(t testing.TB, seed uint64) *network {
	t.Helper()
	return &network{
		t:           t,
		rng:         rand.New(rand.NewPCG(seed, 3)),
		engines:     map[string]*Engine{},
		queue:       map[int64][]inFlight{},
		partitioned: func(string, string) bool { return false },
	}
}

// startInstance starts an instance that uses the given keys, or testKey if there are none.
func (n *network) startInstance(name string, incarnation uint64, keys ...string) *Engine {
	n.t.Helper()
	if len(keys) == 0 {
		keys = []string{testKey}
	}
	sealer, err := NewSealer(keys)
	if err != nil {
		n.t.Fatal(err)
	}
	addr := "at-" + name
	if n.engines[addr] == nil {
		n.addrs = append(n.addrs, addr)
	}
	cfg := swim.Config{
		Name:        name,
		Addr:        addr,
		Zone:        "h",
		Incarnation: incarnation,
		Seeds:       []string{"at-i0000", "at-i0001"},
	}
	engine := NewEngine(cfg, sealer, n.now, rand.New(rand.NewPCG(incarnation, uint64(len(n.addrs)))))
	n.engines[addr] = engine
	return engine
}

// startMany starts count instances, named i0000, i0001 and so on.
func (n *network) startMany(count int) {
	n.t.Helper()
	for i := range count {
		n.startInstance(fmt.Sprintf("i%04d", i), uint64(100+i))
	}
}

func (n *network) deliver(from string, packets []Packet) {
	for _, packet := range packets {
		if n.partitioned(from, packet.Addr) {
			continue
		}
		datagrams := [][]byte{packet.Data}
		if n.corrupt != nil {
			datagrams = n.corrupt(packet.Data)
		}
		for _, data := range datagrams {
			at := n.now.Milliseconds() + 1 + n.rng.Int64N(2)
			n.queue[at] = append(n.queue[at], inFlight{packet.Addr, data})
		}
	}
}

// run advances the simulation to the given time in steps of one millisecond. The
// instances run in parallel within a step, but their packets are delivered in a
// fixed order, so that the same seed gives the same run.
func (n *network) run(until time.Duration) {
	steps := make([]step, len(n.addrs))
	index := map[string]int{}
	for i, addr := range n.addrs {
		index[addr] = i
	}
	for ; n.now < until; n.now += time.Millisecond {
		millisecond := n.now.Milliseconds()
		for _, datagram := range n.queue[millisecond] {
			if i, known := index[datagram.to]; known && n.engines[datagram.to] != nil {
				steps[i].inbox = append(steps[i].inbox, datagram.data)
			}
		}
		delete(n.queue, millisecond)
		n.runStepsInParallel(steps)
		for i, addr := range n.addrs {
			n.errorCount += steps[i].errorCount
			n.deliver(addr, steps[i].outbox)
			steps[i].inbox = steps[i].inbox[:0]
		}
	}
}

func (n *network) runStepsInParallel(steps []step) {
	workers := min(runtime.GOMAXPROCS(0), 1+len(n.addrs)/50)
	if workers == 1 {
		n.runSteps(steps, 0, len(steps))
		return
	}
	var wg sync.WaitGroup
	for worker := range workers {
		wg.Go(func() { n.runSteps(steps, worker*len(steps)/workers, (worker+1)*len(steps)/workers) })
	}
	wg.Wait()
}

// runSteps runs one step of the instances in [from, to): each receives its inbox,
// and ticks if that is due.
func (n *network) runSteps(steps []step, from, to int) {
	for i := from; i < to; i++ {
		engine, step := n.engines[n.addrs[i]], &steps[i]
		step.outbox, step.errorCount = step.outbox[:0], 0
		if engine == nil {
			continue
		}
		for _, data := range step.inbox {
			packets, err := engine.Receive(n.now, data)
			step.outbox = append(step.outbox, packets...)
			if err != nil {
				step.errorCount++
			}
		}
		if engine.NextTick() <= n.now {
			step.outbox = append(step.outbox, engine.Tick(n.now)...)
		}
	}
}

// runUntil runs the simulation until the condition holds or limit has passed. It
// returns the elapsed time and whether the condition holds.
func (n *network) runUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
	start := n.now
	for n.now < start+limit {
		if condition() {
			return n.now - start, true
		}
		n.run(n.now + 10*time.Millisecond)
	}
	return limit, condition()
}

// converged reports whether all instances have the same facts.
func (n *network) converged() bool {
	first := true
	var want uint64
	for _, addr := range n.addrs {
		engine := n.engines[addr]
		if engine == nil {
			continue
		}
		sum := engine.Store().Checksum(n.now)
		if first {
			want, first = sum, false
		}
		if sum != want {
			return false
		}
	}
	return true
}

// allSee reports whether all running instances see the given number of others.
func (n *network) allSee(others int) bool {
	for _, addr := range n.addrs {
		if engine := n.engines[addr]; engine != nil && engine.Membership().AliveCount() != others {
			return false
		}
	}
	return true
}
