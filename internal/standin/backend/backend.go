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
	backends []*Backend
	racks map[int]map[string]*keyEntry
	sweptAt time.Duration
	records   []Record
	lost  int // records beyond the most
	stop  chan struct{}
	stopOnce  sync.Once
	wg    sync.WaitGroup
	lastConnID atomic.Uint64
}

// seen is a key that a rack remembers, and the work that its first command brought.
type keyEntry struct {
	at  time.Duration
	job *job
}

const (
	maxRecords = 1 << 20
	writeTimeout   = 5 * time.Second
	reportInterval = 300 * time.Millisecond // of the figure that a probe is told
	tickInterval   = time.Millisecond       // of the machines
)

// NewFleet returns a fleet without nodes. The clock is that of all its records.
func NewFleet(rules Rules, seed uint64, clock func() time.Duration) *Fleet {
	f := &Fleet{rules: rules, clock: clock, rng: rand.New(rand.NewPCG(seed, 7)), racks: map[int]map[string]*keyEntry{}, stop: make(chan struct{})}
	f.wg.Go(f.tick)
	return f
}

// tick moves the machines on.
func (f *Fleet) tick() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-t.C:
		}
		f.mu.Lock()
		now := f.clock()
		for _, n := range f.backends {
			if !n.down {
				n.machine.advance(now)
			}
		}
		f.sweep(now)
		f.mu.Unlock()
	}
}

// Node is one machine.
type Backend struct {
	Spec
	fleet       *Fleet
	listeners     []net.Listener
	faults  *fault.Script
	ended    chan struct{} // closed when it ends
	machine       machine
	conns   map[net.Conn]bool
	traffic []Traffic // by instance
	cutUntil    []time.Duration
	draining  bool
	down    bool
	idleTimeout    atomic.Int64    // nanoseconds after which a connection without a command is closed; 0: never
	completions  []time.Duration // ends of the last second, for qps
}

// Add starts a node, cold or warm, with an address for each of so many instances, on a loopback host. A host that no other
// node ever had keeps apart what is sent to one that has gone.
func (f *Fleet) Add(s Spec, host string, cold bool, instances int) (*Backend, error) {
	instances = max(1, instances)
	n := &Backend{
		Spec: s, fleet: f, faults: fault.New(uint64(len(s.ID))), ended: make(chan struct{}), conns: map[net.Conn]bool{},
		traffic: make([]Traffic, instances), cutUntil: make([]time.Duration, instances),
	}
	for range instances {
		ln, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			for _, l := range n.listeners {
				l.Close()
			}
			return nil, fmt.Errorf("node stand-in: %w", err)
		}
		n.listeners = append(n.listeners, ln)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	n.machine = machine{Spec: s, rules: &f.rules, now: now, cold: cold, startedAt: now}
	f.backends = append(f.backends, n)
	for i, ln := range n.listeners {
		f.wg.Go(func() { n.accept(i, ln) })
	}
	return n, nil
}

// Nodes are all that were added, also those that are down.
func (f *Fleet) Backends() []*Backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.backends)
}

// Records returns what came so far, from the given one on. Those that have not ended may change yet.
func (f *Fleet) Records(from int) []Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.records[min(from, len(f.records)):])
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
	f.stopOnce.Do(func() { close(f.stop) })
	f.wg.Wait()
}

// Addr is where the node listens for an instance.
func (b *Backend) Addr(instance int) string { return b.listeners[instance].Addr().String() }

// Addrs are all its addresses, by instance.
func (b *Backend) Addrs() (out []string) {
	for i := range b.listeners {
		out = append(out, b.Addr(i))
	}
	return out
}

// Fault puts a rule in force from now on; calls are known by their class, callers as n0, n1 and so on.
func (b *Backend) Fault(r fault.Rule) { b.faults.Add(b.fleet.clock(), r) }

// change does something to the node under the fleet's lock, with the machine brought up to now.
func (b *Backend) update(do func(now time.Duration)) {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	now := b.fleet.clock()
	b.machine.advance(now)
	do(now)
}

// Stop ends the node as a killed process would.
func (b *Backend) Stop() { b.update(func(time.Duration) { b.shutDown() }) }

func (b *Backend) shutDown() {
	if b.down {
		return
	}
	b.down = true
	close(b.ended)
	for _, ln := range b.listeners {
		ln.Close()
	}
	for nc := range b.conns {
		reset(nc)
	}
	for _, j := range append(b.machine.running, b.machine.queue...) { // a rack's memory may have others wait for them
		close(j.done)
	}
	b.machine.running, b.machine.queue = nil, nil
}

// Down says whether the node has ended.
func (b *Backend) Down() bool {
	select {
	case <-b.ended:
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
func (b *Backend) Reset() {
	b.update(func(time.Duration) {
		for nc := range b.conns {
			reset(nc)
		}
	})
}

// Drain makes the node turn new work away, or ends that.
func (b *Backend) Drain(on bool) { b.update(func(time.Duration) { b.draining = on }) }

// CloseIdle has the node close connections on which no command has come for so long; 0: none.
func (b *Backend) CloseIdle(after time.Duration) { b.idleTimeout.Store(int64(after)) }

// Slow makes the node so many times slower for a while, also in what it has begun.
func (b *Backend) Slow(times float64, d time.Duration) {
	b.update(func(now time.Duration) { b.machine.slowDown(times, now+d) })
}

// Pause makes the node do nothing for a while; it goes on taking commands.
func (b *Backend) Pause(d time.Duration) { b.update(func(now time.Duration) { b.machine.pausedUntil = now + d }) }

// Neighbour lets another program take a share of the machine for d, on and off.
func (b *Backend) Neighbour(share float64, on, off, d time.Duration) {
	b.update(func(now time.Duration) { b.machine.neighbour = neighbour{share, on, off, now, now + d} })
}

// Cut cuts the node from one instance for a while: nothing is read or answered, and when it ends what was open is reset.
func (b *Backend) Cut(instance int, d time.Duration) {
	b.update(func(now time.Duration) { b.cutUntil[instance] = now + d })
}

// Fell says why and when the node was pushed over while it was cold; empty: it was not.
func (b *Backend) Fell() (why string, at time.Duration) {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	return b.machine.failure, b.machine.failedAt
}

// Pushed is how near a cold node came to falling over: 1 is the edge. 0 for one that was never cold, or got nothing.
func (b *Backend) Pushed() float64 {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	return b.machine.peakOverload
}

// Traffic is what an instance's connections came to.
func (b *Backend) Traffic(instance int) Traffic {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	return b.traffic[instance]
}

// Load is how many requests it holds, and its capacity now in seconds of work a second.
func (b *Backend) Load() (held int, capacity float64, down bool) {
	b.update(func(time.Duration) { held, capacity, down = b.machine.inFlight, b.machine.capacity(), b.down })
	return held, capacity, down
}

// Able is what it does now for whoever reaches it, in seconds of work a second: with all that slows it, 0 while it is down,
// paused, or cut from everybody.
func (b *Backend) Capacity() (able float64) {
	b.update(func(now time.Duration) {
		reached := false
		for _, until := range b.cutUntil {
			reached = reached || until <= now
		}
		if reached && !b.down {
			able = b.machine.rate() * float64(b.machine.Cores)
		}
	})
	return able
}

func (b *Backend) accept(instance int, ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		b.fleet.mu.Lock()
		if b.down || b.fleet.rules.MaxConnections > 0 && len(b.conns) >= b.fleet.rules.MaxConnections {
			b.fleet.mu.Unlock()
			reset(nc)
			continue
		}
		b.conns[nc] = true
		b.traffic[instance].Opened++
		b.traffic[instance].Open++
		b.machine.advance(b.fleet.clock())
		c := &conn{Conn: nc, backend: b, instance: instance, id: b.fleet.lastConnID.Add(1)}
		if b.fleet.rules.ConnWork > 0 {
			c.setup = b.machine.add(b.fleet.rules.ConnWork)
		}
		b.fleet.wg.Go(func() {
			c.serve()
			nc.Close()
			b.fleet.mu.Lock()
			delete(b.conns, nc)
			b.traffic[instance].Open--
			b.traffic[instance].In += c.bytesIn
			b.traffic[instance].Out += c.bytesOut.Load()
			b.fleet.mu.Unlock()
		})
		b.fleet.mu.Unlock()
	}
}

// conn is one connection of an instance.
type conn struct {
	net.Conn
	backend        *Backend
	instance int
	id       uint64
	setup    *job          // what the connection itself costs; its first command waits for it
	repeatAfter    time.Duration // the answer in hand is said again so long after it; 0: it is not
	bytesIn       int64
	bytesOut      atomic.Int64
}

func (c *conn) Read(b []byte) (int, error) {
	k, err := c.Conn.Read(b)
	c.bytesIn += int64(k)
	return k, err
}

// wait waits for a time, or for the node's end.
func (b *Backend) sleep(d time.Duration) (alive bool) {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-b.ended:
		return false
	}
}

// cut waits out a cut of the network, and says whether there was one.
func (c *conn) awaitCut() bool {
	c.backend.fleet.mu.Lock()
	left := c.backend.cutUntil[c.instance] - c.backend.fleet.clock()
	c.backend.fleet.mu.Unlock()
	if left <= 0 {
		return false
	}
	c.backend.sleep(left)
	return true
}

// serve answers the commands of a connection one by one; work that has begun goes on when the connection ends.
func (c *conn) serve() {
	in := redcon.NewReader(c)
	for {
		if idle := time.Duration(c.backend.idleTimeout.Load()); idle > 0 {
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
			if c.awaitCut() {
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
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	k, err := io.WriteString(c.Conn, answer)
	c.bytesOut.Add(int64(k))
	return err
}

// repeat says an answer again when it is due, while the connection goes on with further commands.
func (c *conn) repeat(answer string) {
	after := c.repeatAfter
	if after == 0 {
		return
	}
	c.repeatAfter = 0
	c.backend.fleet.wg.Go(func() {
		if c.backend.sleep(after) {
			c.write(answer) // to a connection that has ended it goes nowhere
		}
	})
}

// command runs one command and returns its answer when it is due; keep is false where the connection ends.
func (c *conn) command(args [][]byte) (answer string, keep bool) {
	n := c.backend
	switch name := string(args[0]); name {
	case "PING":
		return "+PONG\r\n", true
	case "INFO":
		text := n.loadReport()
		return fmt.Sprintf("$%d\r\n%s\r\n", len(text), text), true
	case "CLIENT", "SELECT":
		return "+OK\r\n", true
	case "Q.ASK", "Q.DO":
	default:
		return "-ERR unknown command\r\n", true
	}
	rec, valid := parseCommand(args)
	if !valid {
		return "-SYNTAX\r\n", true
	}
	rec.Instance, rec.Conn = c.instance, c.id
	at := n.addRecord(rec) // before anything goes wrong
	if c.awaitCut() {
		n.endRecord(at, CutOff)
		return "", false
	}
	rule, left, _ := n.faults.Next(n.fleet.clock(), rec.Class, fmt.Sprint("n", c.instance))
	switch rule.Kind {
	case fault.Delay:
		n.sleep(rule.By)
	case fault.Stall:
		n.sleep(left)
	case fault.DropBefore:
		n.endRecord(at, DroppedBefore)
		return "", false
	case fault.Ignore:
		n.endRecord(at, Unanswered)
		return "", true
	case fault.Fail:
		n.endRecord(at, Failed)
		return "-ERR failed\r\n", true
	}
	if c.setup != nil {
		select {
		case <-c.setup.done:
		case <-n.ended:
		}
		c.setup = nil
	}
	j, how := n.submit(at)
	switch how {
	case Busy:
		n.endRecord(at, Busy)
		return "-BUSY\r\n", true
	case Died:
		n.endRecord(at, Died)
		return "", false
	}
	select {
	case <-j.done:
	case <-n.ended:
	}
	n.release()
	if n.Down() {
		n.endRecord(at, Died)
		return "", false
	}
	value := "value of " + rec.ID
	text := fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
	switch rule.Kind {
	case fault.DropAfter:
		n.endRecord(at, DroppedAfter)
		return "", false
	case fault.Swallow:
		n.endRecord(at, Unanswered)
		return "", true
	case fault.Cut:
		n.endRecord(at, DroppedAfter)
		return "*3\r\n$20\r\nval", false
	case fault.Hold:
		n.sleep(rule.By)
	case fault.Repeat:
		text += text
	case fault.RepeatLate:
		c.repeatAfter = rule.By
	}
	n.endRecord(at, how)
	return text, true
}

// came records a command, and counts it where the node is cold.
func (b *Backend) addRecord(rec Record) (at int) {
	b.update(func(now time.Duration) {
		rec.ArrivedAt, rec.Backend, rec.Zone, rec.Rack = now, b.ID, b.Zone, b.Rack
		rec.WarmingUp = b.machine.warmth() < 1
		w, known := b.fleet.rules.Work[rec.Class]
		if !known {
			w = defaultWork
		}
		rec.Work = w.Min + time.Duration(b.fleet.rng.Float64()*float64(w.Max-w.Min))
		if at = len(b.fleet.records); at < maxRecords {
			b.fleet.records = append(b.fleet.records, rec)
		} else {
			at = maxRecords - 1
			b.fleet.lost++
		}
		if !b.down && b.machine.addOverload(rec.Work) {
			b.shutDown()
		}
	})
	return at
}

// ended tells the record how a command ended.
func (b *Backend) endRecord(at int, how Fate) {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	r := &b.fleet.records[at]
	r.EndedAt, r.Fate = b.fleet.clock(), how
	if how == Ran || how == DroppedAfter || how == Remembered || how == Unanswered {
		b.completions = append(b.completions, r.EndedAt)
		b.machine.served++
	}
}

// submit takes a recorded command into the queue.
func (b *Backend) submit(at int) (j *job, how Fate) {
	b.update(func(now time.Duration) {
		rec := &b.fleet.records[at]
		switch {
		case b.down:
			how = Died
			return
		case b.draining || b.machine.inFlight >= b.QueueCapacity:
			how = Busy
			return
		}
		b.machine.inFlight++
		rack := b.fleet.racks[b.Rack]
		if rack == nil {
			rack = map[string]*keyEntry{}
			b.fleet.racks[b.Rack] = rack
		}
		if s := rack[rec.Key]; rec.Key != "" && s != nil && now-s.at < b.fleet.rules.KeyMemory {
			j, how = s.job, Remembered
			rec.Work = 0
			return
		}
		j, how = b.machine.add(rec.Work), Ran
		rec.StartedAt = now
		if rec.Key != "" {
			rack[rec.Key] = &keyEntry{now, j}
		}
	})
	return j, how
}

func (b *Backend) release() {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	b.machine.inFlight--
}

// report is the load report of a probe.
func (b *Backend) loadReport() string {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	now := b.fleet.clock() / reportInterval * reportInterval
	for len(b.completions) > 0 && now-b.completions[0] > time.Second {
		b.completions = b.completions[1:]
	}
	return fmt.Sprintf("qps=%d", len(b.completions))
}

// sweep forgets keys that no rack remembers any more, now and then.
func (f *Fleet) sweep(now time.Duration) {
	if now-f.sweptAt < max(f.rules.KeyMemory, time.Second) {
		return
	}
	f.sweptAt = now
	for _, rack := range f.racks {
		for k, s := range rack {
			if now-s.at >= f.rules.KeyMemory {
				delete(rack, k)
			}
		}
	}
	for _, n := range f.backends {
		for len(n.completions) > 0 && now-n.completions[0] > 2*time.Second {
			n.completions = n.completions[1:]
		}
	}
}

// parse reads what a node must be able to read of a command.
func parseCommand(args [][]byte) (r Record, ok bool) {
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
