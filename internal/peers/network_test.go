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

// network is instances on a network in virtual time.
type network struct {
	t           testing.TB
	rng         *rand.Rand
	now         time.Duration
	engines     map[string]*Engine // by address; nil: ended
	addrs       []string           // in the order of their first start
	queue       map[int64][]inFlight
	partitioned func(from, to string) bool
	corrupt     func(data []byte) [][]byte // nil, or what is delivered in place of a datagram
	errorCount  int                        // datagrams that were rejected
}

// inFlight is a datagram on its way. The network's queue orders them by the
// millisecond of their arrival.
type inFlight struct {
	to   string
	data []byte
}

// turn is what one instance does in a millisecond.
type turn struct {
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

// startInstance starts an instance, with testKey unless keys are given.
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

// startMany starts instances i0000, i0001 and so on.
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

// run plays until a time, a millisecond at a time. What the instances do in one
// millisecond is played in parallel and delivered in their order, so that the
// same seed gives the same run.
func (n *network) run(until time.Duration) {
	turns := make([]turn, len(n.addrs))
	index := map[string]int{}
	for i, addr := range n.addrs {
		index[addr] = i
	}
	for ; n.now < until; n.now += time.Millisecond {
		millisecond := n.now.Milliseconds()
		for _, datagram := range n.queue[millisecond] {
			if i, known := index[datagram.to]; known && n.engines[datagram.to] != nil {
				turns[i].inbox = append(turns[i].inbox, datagram.data)
			}
		}
		delete(n.queue, millisecond)
		n.playInParallel(turns)
		for i, addr := range n.addrs {
			n.errorCount += turns[i].errorCount
			n.deliver(addr, turns[i].outbox)
			turns[i].inbox = turns[i].inbox[:0]
		}
	}
}

func (n *network) playInParallel(turns []turn) {
	workers := min(runtime.GOMAXPROCS(0), 1+len(n.addrs)/50)
	if workers == 1 {
		n.play(turns, 0, len(turns))
		return
	}
	var wg sync.WaitGroup
	for worker := range workers {
		wg.Go(func() { n.play(turns, worker*len(turns)/workers, (worker+1)*len(turns)/workers) })
	}
	wg.Wait()
}

// play has some instances receive what has arrived, and tick if that is due.
func (n *network) play(turns []turn, from, to int) {
	for i := from; i < to; i++ {
		engine, turn := n.engines[n.addrs[i]], &turns[i]
		turn.outbox, turn.errorCount = turn.outbox[:0], 0
		if engine == nil {
			continue
		}
		for _, data := range turn.inbox {
			packets, err := engine.Receive(n.now, data)
			turn.outbox = append(turn.outbox, packets...)
			if err != nil {
				turn.errorCount++
			}
		}
		if engine.NextTick() <= n.now {
			turn.outbox = append(turn.outbox, engine.Tick(n.now)...)
		}
	}
}

// runUntil plays until a condition holds, for limit at most. It returns how long
// that took and whether the condition holds.
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

// allSee reports whether all running instances see so many others.
func (n *network) allSee(others int) bool {
	for _, addr := range n.addrs {
		if engine := n.engines[addr]; engine != nil && engine.Membership().AliveCount() != others {
			return false
		}
	}
	return true
}
