// Package node is a stand-in for the playout nodes: RESP2 over TCP, a few cores with a queue before them, cold starts,
// slow spells, drains, and a memory for each rack that drops repeats of a key. One observer records what came to all of
// them, with one clock.
package node

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/redcon"

	"hitchspring/internal/standin/fault"
)

// Work says how long a request of a class takes on a core of speed 1: evenly between Least and Most.
type Work struct{ Least, Most time.Duration }

// Rules are the figures that hold for all nodes of a fleet.
type Rules struct {
	Work         map[string]Work // by class; of one that is not here 20 to 40 ms
	KeyMemory    time.Duration   // for how long a rack drops repeats of a key
	ColdShare    float64         // of its capacity, with which a node starts
	WarmAfter    time.Duration
	FallMultiple float64       // a cold node that is sent more than so many times what it can do
	FallSpan     time.Duration // within so long falls over and stays down
	MostConns    int
}

// Spec is one machine.
type Spec struct {
	ID, Zone, Kind string
	Rack           int
	Cores          int
	Speed          float64 // of a core
	Room           int     // requests that it holds, in work and waiting; beyond them it answers BUSY
}

// Record is one command as its node saw it.
type Record struct {
	At                                         time.Duration // of its last byte, on the fleet's clock
	Node, Zone, Customer, ID, Class, Plan, Key string
	Rack                                       int
	Units                                      float64
	Busy                                       bool // turned away unseen
	Ran                                        bool // it took effect here, now: not a repeat that the rack dropped
}

// Fleet is nodes that share racks, a clock and an observer.
type Fleet struct {
	rules Rules
	clock func() time.Duration
	mu    sync.Mutex // of all below
	rng   *rand.Rand
	nodes []*Node
	racks map[int]map[string]seen
	swept time.Duration
	log   []Record
	wg    sync.WaitGroup
}

type seen struct{ at, ends time.Duration }

const (
	mostRecords = 1 << 20
	writeTime   = 5 * time.Second
	reportEvery = 300 * time.Millisecond // of the figure that a probe is told
)

// NewFleet returns a fleet without nodes. The clock is that of all its records.
func NewFleet(rules Rules, seed uint64, clock func() time.Duration) *Fleet {
	return &Fleet{rules: rules, clock: clock, rng: rand.New(rand.NewPCG(seed, 7)), racks: map[int]map[string]seen{}}
}

// Node is one machine.
type Node struct {
	Spec
	f      *Fleet
	ln     net.Listener
	addr   string
	faults *fault.Script
	free   []time.Duration // when each core is free
	held   int
	conns  map[net.Conn]bool
	drains bool
	cold   bool
	start  time.Duration // of a cold start
	slow   float64       // times slower
	slowTo time.Duration
	sent   []sentWork // to a cold node, within the span
	fell   bool
	down   bool
	counts []time.Duration // ends of the last second, for qps
}

type sentWork struct {
	at   time.Duration
	work float64 // seconds of a core of speed 1
}

// Add starts a node, cold or warm.
func (f *Fleet) Add(s Spec, cold bool) (*Node, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("node stand-in: %w", err)
	}
	n := &Node{Spec: s, f: f, ln: ln, addr: ln.Addr().String(), faults: fault.New(uint64(len(s.ID))), free: make([]time.Duration, s.Cores),
		conns: map[net.Conn]bool{}, cold: cold, start: f.clock(), slow: 1}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes = append(f.nodes, n)
	f.wg.Go(n.accept)
	return n, nil
}

// Nodes are all that were added, also those that are down.
func (f *Fleet) Nodes() []*Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.nodes)
}

// Records returns what came so far.
func (f *Fleet) Records() []Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.log)
}

// Close ends all nodes.
func (f *Fleet) Close() {
	for _, n := range f.Nodes() {
		n.Stop()
	}
	f.wg.Wait()
}

// Addr is where the node listens.
func (n *Node) Addr() string { return n.addr }

// Fault puts a rule in force from now on; calls are known by their class, or as PING and INFO.
func (n *Node) Fault(r fault.Rule) { n.faults.Add(n.f.clock(), r) }

// Stop ends the node as a killed process would.
func (n *Node) Stop() {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	n.stop()
}

func (n *Node) stop() {
	n.down = true
	n.ln.Close()
	for nc := range n.conns {
		if t, ok := nc.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		nc.Close()
	}
}

// Drain makes the node turn new work away, or ends that.
func (n *Node) Drain(on bool) {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	n.drains = on
}

// Slow makes the node so many times slower for a while.
func (n *Node) Slow(times float64, d time.Duration) {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	n.slow, n.slowTo = times, n.f.clock()+d
}

// Fell says whether the node was pushed over while it was cold.
func (n *Node) Fell() bool {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	return n.fell
}

// Load is how many requests it holds, and its capacity now in seconds of work a second.
func (n *Node) Load() (held int, capacity float64, down bool) {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	return n.held, n.capacity(n.f.clock()), n.down
}

// Started is when a cold node started, or 0.
func (n *Node) Started() time.Duration {
	if !n.cold {
		return 0
	}
	return n.start
}

func (n *Node) speed(now time.Duration) float64 {
	s := n.Speed * n.warmth(now)
	if now < n.slowTo {
		s /= n.slow
	}
	return s
}

func (n *Node) warmth(now time.Duration) float64 {
	age := now - n.start
	if !n.cold || n.f.rules.WarmAfter <= 0 || age >= n.f.rules.WarmAfter {
		return 1
	}
	c := n.f.rules.ColdShare
	return c + (1-c)*age.Seconds()/n.f.rules.WarmAfter.Seconds()
}

func (n *Node) capacity(now time.Duration) float64 { return n.speed(now) * float64(n.Cores) }

func (n *Node) accept() {
	for {
		nc, err := n.ln.Accept()
		if err != nil {
			return
		}
		n.f.mu.Lock()
		if n.down || n.f.rules.MostConns > 0 && len(n.conns) >= n.f.rules.MostConns {
			n.f.mu.Unlock()
			nc.Close()
			continue
		}
		n.conns[nc] = true
		n.f.wg.Go(func() {
			n.serve(nc)
			nc.Close()
			n.f.mu.Lock()
			delete(n.conns, nc)
			n.f.mu.Unlock()
		})
		n.f.mu.Unlock()
	}
}

// serve answers the commands of a connection one by one; work that has begun goes on when the connection ends.
func (n *Node) serve(nc net.Conn) {
	in := redcon.NewReader(nc)
	for {
		cmd, err := in.ReadCommand()
		if err != nil {
			return
		}
		answer, ok := n.command(cmd.Args)
		nc.SetWriteDeadline(time.Now().Add(writeTime))
		if _, err := io.WriteString(nc, answer); err != nil || !ok {
			return
		}
	}
}

// command runs one command and returns its answer when it is due; ok is false where the connection ends.
func (n *Node) command(args [][]byte) (answer string, ok bool) {
	switch name := string(args[0]); name {
	case "PING":
		return "+PONG\r\n", true
	case "INFO":
		text := n.report()
		return fmt.Sprintf("$%d\r\n%s\r\n", len(text), text), true
	case "CLIENT", "SELECT":
		return "+OK\r\n", true
	case "Q.ASK", "Q.DO":
	default:
		return "-ERR unknown command\r\n", true
	}
	rec, valid := parse(args)
	if !valid {
		return "-SYNTAX\r\n", true
	}
	rule, left, _ := n.faults.Next(n.f.clock(), rec.Class, "")
	switch rule.Kind {
	case fault.Delay:
		time.Sleep(rule.By)
	case fault.Stall:
		time.Sleep(left)
	case fault.DropBefore:
		return "", false
	case fault.Fail:
		return "-ERR failed\r\n", true
	}
	wait, busy := n.submit(rec)
	if busy {
		return "-BUSY\r\n", true
	}
	time.Sleep(wait)
	n.done()
	switch value := "value of " + rec.ID; rule.Kind {
	case fault.DropAfter:
		return "", false
	case fault.Cut:
		return "*3\r\n$20\r\nval", false
	default:
		return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value), true
	}
}

// submit takes a request into the queue and returns how long until its answer; it is recorded in any case.
func (n *Node) submit(rec Record) (wait time.Duration, busy bool) {
	f := n.f
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	rec.At, rec.Node, rec.Zone, rec.Rack = now, n.ID, n.Zone, n.Rack
	defer func() {
		if len(f.log) < mostRecords {
			f.log = append(f.log, rec)
		}
	}()
	if rec.Busy = n.drains || n.down || n.held >= n.Room; rec.Busy {
		return 0, true
	}
	n.held++
	f.sweep(now)
	rack := f.racks[n.Rack]
	if rack == nil {
		rack = map[string]seen{}
		f.racks[n.Rack] = rack
	}
	if s, known := rack[rec.Key]; rec.Key != "" && known && now-s.at < f.rules.KeyMemory {
		return max(0, s.ends-now), false
	}
	rec.Ran = true
	w, known := f.rules.Work[rec.Class]
	if !known {
		w = Work{20 * time.Millisecond, 40 * time.Millisecond}
	}
	work := w.Least + time.Duration(f.rng.Float64()*float64(w.Most-w.Least))
	n.push(now, work.Seconds())
	core := 0
	for i := range n.free {
		if n.free[i] < n.free[core] {
			core = i
		}
	}
	ends := max(now, n.free[core]) + time.Duration(float64(work)/n.speed(now))
	n.free[core] = ends
	if rec.Key != "" {
		rack[rec.Key] = seen{now, ends}
	}
	return ends - now, false
}

// push counts what a cold node is sent; too much within the span, and it falls over.
func (n *Node) push(now time.Duration, work float64) {
	r := n.f.rules
	if r.FallMultiple <= 0 || n.warmth(now) >= 1 {
		n.sent = nil
		return
	}
	n.sent = append(n.sent, sentWork{now, work})
	for len(n.sent) > 0 && now-n.sent[0].at > r.FallSpan {
		n.sent = n.sent[1:]
	}
	sum := 0.0
	for _, s := range n.sent {
		sum += s.work
	}
	if sum > r.FallMultiple*n.capacity(now)*r.FallSpan.Seconds()+0.2 { // the slack of one large request
		n.fell = true
		n.stop()
	}
}

func (n *Node) done() {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	n.held--
	n.counts = append(n.counts, n.f.clock())
}

// report is the load report of a probe.
func (n *Node) report() string {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	now := n.f.clock() / reportEvery * reportEvery
	for len(n.counts) > 0 && now-n.counts[0] > time.Second {
		n.counts = n.counts[1:]
	}
	return fmt.Sprintf("qps=%d", len(n.counts))
}

// sweep forgets keys that no rack remembers any more, now and then.
func (f *Fleet) sweep(now time.Duration) {
	if now-f.swept < f.rules.KeyMemory {
		return
	}
	f.swept = now
	for _, rack := range f.racks {
		for k, s := range rack {
			if now-s.at >= f.rules.KeyMemory {
				delete(rack, k)
			}
		}
	}
}

// parse reads what a node must be able to read of a command.
func parse(args [][]byte) (r Record, ok bool) {
	if len(args) < 4 || len(args) > 5 || len(args[1]) != 16 || len(args[2]) != 16 {
		return Record{}, false
	}
	r.Customer, r.ID = string(args[1]), string(args[2])
	d := 0
	for pair := range strings.SplitSeq(string(args[3]), ",") {
		k, v, _ := strings.Cut(pair, "=")
		var err error
		switch k {
		case "c":
			r.Class = v
		case "t":
			r.Plan = v
		case "k":
			r.Key = v
		case "d":
			d, err = strconv.Atoi(v)
		case "units":
			r.Units, err = strconv.ParseFloat(v, 64)
		}
		if err != nil {
			return Record{}, false
		}
	}
	return r, r.Class != "" && r.Plan != "" && d > 0 && r.Units > 0
}
