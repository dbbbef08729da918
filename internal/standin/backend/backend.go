// Package node is a stand-in for the playout nodes: RESP2 over TCP, a few cores with a queue before them (machine.go),
// cold starts that fall over, slow spells, pauses, a neighbour, drains, cuts, and a memory for each rack that drops
// repeats of a key. Each node has an address for each instance, so that it knows who sent what. One observer records
// every command as it came, with one clock, before any fault acts on it.
package backend

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"

	"hitchspring/internal/standin/fault"
)

// How a command went at its node.
type Fate string

// The ways.
const (
	Open          Fate = ""               // not ended yet
	Ran           Fate = "ran"            // it took effect, and its answer was written
	Remembered    Fate = "remembered"     // a repeat that the rack dropped; answered as the first
	Busy          Fate = "busy"           // turned away unseen, and told so
	Failed        Fate = "failed"         // answered with an error
	DroppedBefore Fate = "dropped before" // the connection was reset before it took effect
	DroppedAfter  Fate = "dropped after"  // it took effect, and the connection was reset
	Unanswered    Fate = "unanswered"     // nothing was ever said
	CutOff        Fate = "cut off"        // the network held it: it reached no program
	Died          Fate = "died"           // the node ended under it
)

// Record is one command as its node saw it, whatever became of it.
type Record struct {
	ArrivedAt, StartedAt, EndedAt time.Duration // its last byte was read; it got a core (0: never); its answer was about to leave (0: not yet)
	Instance                      int           // by the address that it came to
	Conn                          uint64
	Backend, Zone                 string
	Tenant, ID                    string
	Class, Plan, Key              string
	Rack                          int
	Units                         float64
	Allowed                       time.Duration // how long the instance said that it waits for the answer
	Fate                          Fate
	WarmingUp                     bool          // the node was not warm yet
	Work                          time.Duration // of a core of speed 1, where it ran
}

// Traffic is what one instance's connections to a node came to.
type Traffic struct {
	Opened, Open int
	In, Out      int64 // bytes that the node read and wrote
}

// Fleet is nodes that share racks, a clock and an observer.
type Fleet struct {
	rules Rules
	clock func() time.Duration
	mu    sync.Mutex // of all below
	rng   *rand.Rand
	nodes []*Backend
	racks map[int]map[string]*seen
	swept time.Duration
	log   []Record
	lost  int // records beyond the most
	stop  chan struct{}
	once  sync.Once
	wg    sync.WaitGroup
	conns atomic.Uint64
}

// seen is a key that a rack remembers, and the work that its first command brought.
type seen struct {
	at  time.Duration
	job *job
}

const (
	mostRecords = 1 << 20
	writeTime   = 5 * time.Second
	reportEvery = 300 * time.Millisecond // of the figure that a probe is told
	tickEvery   = time.Millisecond       // of the machines
)

// NewFleet returns a fleet without nodes. The clock is that of all its records.
func NewFleet(rules Rules, seed uint64, clock func() time.Duration) *Fleet {
	f := &Fleet{rules: rules, clock: clock, rng: rand.New(rand.NewPCG(seed, 7)), racks: map[int]map[string]*seen{}, stop: make(chan struct{})}
	f.wg.Go(f.tick)
	return f
}

// tick moves the machines on.
func (f *Fleet) tick() {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-t.C:
		}
		f.mu.Lock()
		now := f.clock()
		for _, n := range f.nodes {
			if !n.down {
				n.m.advance(now)
			}
		}
		f.sweep(now)
		f.mu.Unlock()
	}
}

// Node is one machine.
type Backend struct {
	Spec
	f       *Fleet
	lns     []net.Listener
	faults  *fault.Script
	gone    chan struct{} // closed when it ends
	m       machine
	conns   map[net.Conn]bool
	traffic []Traffic // by instance
	cuts    []time.Duration
	drains  bool
	down    bool
	idle    atomic.Int64    // nanoseconds after which a connection without a command is closed; 0: never
	counts  []time.Duration // ends of the last second, for qps
}

// Add starts a node, cold or warm, with an address for each of so many instances, on a loopback host. A host that no other
// node ever had keeps apart what is sent to one that has gone.
func (f *Fleet) Add(s Spec, host string, cold bool, instances int) (*Backend, error) {
	instances = max(1, instances)
	n := &Backend{
		Spec: s, f: f, faults: fault.New(uint64(len(s.ID))), gone: make(chan struct{}), conns: map[net.Conn]bool{},
		traffic: make([]Traffic, instances), cuts: make([]time.Duration, instances),
	}
	for range instances {
		ln, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			for _, l := range n.lns {
				l.Close()
			}
			return nil, fmt.Errorf("node stand-in: %w", err)
		}
		n.lns = append(n.lns, ln)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	n.m = machine{Spec: s, rules: &f.rules, now: now, cold: cold, start: now}
	f.nodes = append(f.nodes, n)
	for i, ln := range n.lns {
		f.wg.Go(func() { n.accept(i, ln) })
	}
	return n, nil
}

// Nodes are all that were added, also those that are down.
func (f *Fleet) Backends() []*Backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.nodes)
}

// Records returns what came so far, from the given one on. Those that have not ended may change yet.
func (f *Fleet) Records(from int) []Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.log[min(from, len(f.log)):])
}

// Lost is how many commands found no room in the record: a run with any proves nothing.
func (f *Fleet) Lost() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost
}

// Close ends all nodes.
func (f *Fleet) Close() {
	for _, n := range f.Backends() {
		n.Stop()
	}
	f.once.Do(func() { close(f.stop) })
	f.wg.Wait()
}

// Addr is where the node listens for an instance.
func (n *Backend) Addr(instance int) string { return n.lns[instance].Addr().String() }

// Addrs are all its addresses, by instance.
func (n *Backend) Addrs() (out []string) {
	for i := range n.lns {
		out = append(out, n.Addr(i))
	}
	return out
}

// Fault puts a rule in force from now on; calls are known by their class, callers as n0, n1 and so on.
func (n *Backend) Fault(r fault.Rule) { n.faults.Add(n.f.clock(), r) }

// change does something to the node under the fleet's lock, with the machine brought up to now.
func (n *Backend) change(do func(now time.Duration)) {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	now := n.f.clock()
	n.m.advance(now)
	do(now)
}

// Stop ends the node as a killed process would.
func (n *Backend) Stop() { n.change(func(time.Duration) { n.end() }) }

func (n *Backend) end() {
	if n.down {
		return
	}
	n.down = true
	close(n.gone)
	for _, ln := range n.lns {
		ln.Close()
	}
	for nc := range n.conns {
		reset(nc)
	}
	for _, j := range append(n.m.running, n.m.queue...) { // a rack's memory may have others wait for them
		close(j.done)
	}
	n.m.running, n.m.queue = nil, nil
}

// Down says whether the node has ended.
func (n *Backend) Down() bool {
	select {
	case <-n.gone:
		return true
	default:
		return false
	}
}

func reset(nc net.Conn) {
	if t, ok := nc.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	nc.Close()
}

// Reset ends all connections as a machine between does that has forgotten them; what runs goes on.
func (n *Backend) Reset() {
	n.change(func(time.Duration) {
		for nc := range n.conns {
			reset(nc)
		}
	})
}

// Drain makes the node turn new work away, or ends that.
func (n *Backend) Drain(on bool) { n.change(func(time.Duration) { n.drains = on }) }

// CloseIdle has the node close connections on which no command has come for so long; 0: none.
func (n *Backend) CloseIdle(after time.Duration) { n.idle.Store(int64(after)) }

// Slow makes the node so many times slower for a while, also in what it has begun.
func (n *Backend) Slow(times float64, d time.Duration) {
	n.change(func(now time.Duration) { n.m.slow(times, now+d) })
}

// Pause makes the node do nothing for a while; it goes on taking commands.
func (n *Backend) Pause(d time.Duration) { n.change(func(now time.Duration) { n.m.paused = now + d }) }

// Neighbour lets another program take a share of the machine for d, on and off.
func (n *Backend) Neighbour(share float64, on, off, d time.Duration) {
	n.change(func(now time.Duration) { n.m.other = neighbour{share, on, off, now, now + d} })
}

// Cut cuts the node from one instance for a while: nothing is read or answered, and when it ends what was open is reset.
func (n *Backend) Cut(instance int, d time.Duration) {
	n.change(func(now time.Duration) { n.cuts[instance] = now + d })
}

// Fell says why and when the node was pushed over while it was cold; empty: it was not.
func (n *Backend) Fell() (why string, at time.Duration) {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	return n.m.fell, n.m.fellAt
}

// Pushed is how near a cold node came to falling over: 1 is the edge. 0 for one that was never cold, or got nothing.
func (n *Backend) Pushed() float64 {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	return n.m.pushed
}

// Traffic is what an instance's connections came to.
func (n *Backend) Traffic(instance int) Traffic {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	return n.traffic[instance]
}

// Load is how many requests it holds, and its capacity now in seconds of work a second.
func (n *Backend) Load() (held int, capacity float64, down bool) {
	n.change(func(time.Duration) { held, capacity, down = n.m.open, n.m.capacity(), n.down })
	return held, capacity, down
}

// Able is what it does now for whoever reaches it, in seconds of work a second: with all that slows it, 0 while it is down,
// paused, or cut from everybody.
func (n *Backend) Capacity() (able float64) {
	n.change(func(now time.Duration) {
		reached := false
		for _, until := range n.cuts {
			reached = reached || until <= now
		}
		if reached && !n.down {
			able = n.m.rate() * float64(n.m.Cores)
		}
	})
	return able
}

func (n *Backend) accept(instance int, ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		n.f.mu.Lock()
		if n.down || n.f.rules.MaxConnections > 0 && len(n.conns) >= n.f.rules.MaxConnections {
			n.f.mu.Unlock()
			reset(nc)
			continue
		}
		n.conns[nc] = true
		n.traffic[instance].Opened++
		n.traffic[instance].Open++
		n.m.advance(n.f.clock())
		c := &conn{Conn: nc, n: n, instance: instance, id: n.f.conns.Add(1)}
		if n.f.rules.ConnWork > 0 {
			c.hello = n.m.add(n.f.rules.ConnWork)
		}
		n.f.wg.Go(func() {
			c.serve()
			nc.Close()
			n.f.mu.Lock()
			delete(n.conns, nc)
			n.traffic[instance].Open--
			n.traffic[instance].In += c.in
			n.traffic[instance].Out += c.out.Load()
			n.f.mu.Unlock()
		})
		n.f.mu.Unlock()
	}
}

// conn is one connection of an instance.
type conn struct {
	net.Conn
	n        *Backend
	instance int
	id       uint64
	hello    *job          // what the connection itself costs; its first command waits for it
	again    time.Duration // the answer in hand is said again so long after it; 0: it is not
	in       int64
	out      atomic.Int64
}

func (c *conn) Read(b []byte) (int, error) {
	k, err := c.Conn.Read(b)
	c.in += int64(k)
	return k, err
}

// wait waits for a time, or for the node's end.
func (n *Backend) wait(d time.Duration) (alive bool) {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-n.gone:
		return false
	}
}

// cut waits out a cut of the network, and says whether there was one.
func (c *conn) cut() bool {
	c.n.f.mu.Lock()
	left := c.n.cuts[c.instance] - c.n.f.clock()
	c.n.f.mu.Unlock()
	if left <= 0 {
		return false
	}
	c.n.wait(left)
	return true
}

// serve answers the commands of a connection one by one; work that has begun goes on when the connection ends.
func (c *conn) serve() {
	in := redcon.NewReader(c)
	for {
		if idle := time.Duration(c.n.idle.Load()); idle > 0 {
			c.SetReadDeadline(time.Now().Add(idle))
		} else {
			c.SetReadDeadline(time.Time{})
		}
		cmd, err := in.ReadCommand()
		if err != nil {
			return
		}
		answer, keep := c.command(cmd.Args)
		if answer != "" {
			if c.cut() {
				reset(c.Conn)
				return
			}
			if err := c.write(answer); err != nil {
				return
			}
			c.repeat(answer)
		}
		if !keep {
			reset(c.Conn)
			return
		}
	}
}

func (c *conn) write(answer string) error {
	c.SetWriteDeadline(time.Now().Add(writeTime))
	k, err := io.WriteString(c.Conn, answer)
	c.out.Add(int64(k))
	return err
}

// repeat says an answer again when it is due, while the connection goes on with further commands.
func (c *conn) repeat(answer string) {
	after := c.again
	if after == 0 {
		return
	}
	c.again = 0
	c.n.f.wg.Go(func() {
		if c.n.wait(after) {
			c.write(answer) // to a connection that has ended it goes nowhere
		}
	})
}

// command runs one command and returns its answer when it is due; keep is false where the connection ends.
func (c *conn) command(args [][]byte) (answer string, keep bool) {
	n := c.n
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
	rec.Instance, rec.Conn = c.instance, c.id
	at := n.came(rec) // before anything goes wrong
	if c.cut() {
		n.ended(at, CutOff)
		return "", false
	}
	rule, left, _ := n.faults.Next(n.f.clock(), rec.Class, fmt.Sprint("n", c.instance))
	switch rule.Kind {
	case fault.Delay:
		n.wait(rule.By)
	case fault.Stall:
		n.wait(left)
	case fault.DropBefore:
		n.ended(at, DroppedBefore)
		return "", false
	case fault.Ignore:
		n.ended(at, Unanswered)
		return "", true
	case fault.Fail:
		n.ended(at, Failed)
		return "-ERR failed\r\n", true
	}
	if c.hello != nil {
		select {
		case <-c.hello.done:
		case <-n.gone:
		}
		c.hello = nil
	}
	j, how := n.submit(at)
	switch how {
	case Busy:
		n.ended(at, Busy)
		return "-BUSY\r\n", true
	case Died:
		n.ended(at, Died)
		return "", false
	}
	select {
	case <-j.done:
	case <-n.gone:
	}
	n.release()
	if n.Down() {
		n.ended(at, Died)
		return "", false
	}
	value := "value of " + rec.ID
	text := fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
	switch rule.Kind {
	case fault.DropAfter:
		n.ended(at, DroppedAfter)
		return "", false
	case fault.Swallow:
		n.ended(at, Unanswered)
		return "", true
	case fault.Cut:
		n.ended(at, DroppedAfter)
		return "*3\r\n$20\r\nval", false
	case fault.Hold:
		n.wait(rule.By)
	case fault.Repeat:
		text += text
	case fault.RepeatLate:
		c.again = rule.By
	}
	n.ended(at, how)
	return text, true
}

// came records a command, and counts it where the node is cold.
func (n *Backend) came(rec Record) (at int) {
	n.change(func(now time.Duration) {
		rec.ArrivedAt, rec.Backend, rec.Zone, rec.Rack = now, n.ID, n.Zone, n.Rack
		rec.WarmingUp = n.m.warmth() < 1
		w, known := n.f.rules.Work[rec.Class]
		if !known {
			w = usualWork
		}
		rec.Work = w.Min + time.Duration(n.f.rng.Float64()*float64(w.Max-w.Min))
		if at = len(n.f.log); at < mostRecords {
			n.f.log = append(n.f.log, rec)
		} else {
			at = mostRecords - 1
			n.f.lost++
		}
		if !n.down && n.m.push(rec.Work) {
			n.end()
		}
	})
	return at
}

// ended tells the record how a command ended.
func (n *Backend) ended(at int, how Fate) {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	r := &n.f.log[at]
	r.EndedAt, r.Fate = n.f.clock(), how
	if how == Ran || how == DroppedAfter || how == Remembered || how == Unanswered {
		n.counts = append(n.counts, r.EndedAt)
		n.m.served++
	}
}

// submit takes a recorded command into the queue.
func (n *Backend) submit(at int) (j *job, how Fate) {
	n.change(func(now time.Duration) {
		rec := &n.f.log[at]
		switch {
		case n.down:
			how = Died
			return
		case n.drains || n.m.open >= n.QueueCapacity:
			how = Busy
			return
		}
		n.m.open++
		rack := n.f.racks[n.Rack]
		if rack == nil {
			rack = map[string]*seen{}
			n.f.racks[n.Rack] = rack
		}
		if s := rack[rec.Key]; rec.Key != "" && s != nil && now-s.at < n.f.rules.KeyMemory {
			j, how = s.job, Remembered
			rec.Work = 0
			return
		}
		j, how = n.m.add(rec.Work), Ran
		rec.StartedAt = now
		if rec.Key != "" {
			rack[rec.Key] = &seen{now, j}
		}
	})
	return j, how
}

func (n *Backend) release() {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	n.m.open--
}

// report is the load report of a probe.
func (n *Backend) report() string {
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
	if now-f.swept < max(f.rules.KeyMemory, time.Second) {
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
	for _, n := range f.nodes {
		for len(n.counts) > 0 && now-n.counts[0] > 2*time.Second {
			n.counts = n.counts[1:]
		}
	}
}

// parse reads what a node must be able to read of a command.
func parse(args [][]byte) (r Record, ok bool) {
	if len(args) < 4 || len(args) > 5 || len(args[1]) != 16 || len(args[2]) != 16 {
		return Record{}, false
	}
	r.Tenant, r.ID = string(args[1]), string(args[2])
	var d int
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
	r.Allowed = time.Duration(d) * time.Millisecond
	return r, r.Class != "" && r.Plan != "" && d > 0 && r.Units > 0
}
