package backend

import (
	"context"
	"fmt"
	"net"
	"os"
	"slices"
	"testing"
	"time"

	"hitchspring/internal/resp"
	"hitchspring/policy"
)

// The pool explored: two attempts to one node, and everything that can end one of them, a connection or the node,
// in every order. The pool is the real one; its connections are played here as their goroutines and the network
// play them, with their events on the way to the pool.

const (
	maxSteps       = 8  // of one order
	trialSteps     = 11 // the same with HITCHSPRING_TRIALS=1
	maxConnections = 3  // connections that are begun in one order
	exploreTime    = 20 * time.Second
	trialTime      = 5 * time.Minute
	minSettled     = 2000 // states; else the exploration has lost its way

	mutationUnreportedWrite = "a connection does not tell that it wrote a command whole"
	mutationEndsTwice       = "a connection tells its end twice"
	mutationTrustedEarly    = "a node that is not known counts as one that sends no second answers, and has one connection"
	trustedAndScarce        = "a node is known to send no second answers, and has one connection" // no defect
	mutationOwnerNotAsked   = "the owner is not asked whether an attempt is still wanted"
)

// playedConn is a connection's own side.
type simulatedConn struct {
	conn         *conn
	up           bool    // it has come up
	ended        bool    // its last event is on its way, or told
	events       []Event // told and not heard of by the pool
	duplicates   int     // further answers to the same command
	repliedTo    *Attempt
	socket       closableConn
	replyHandled bool          // an answer on it
	repliedAt    time.Duration // when the last one was heard
}

// closing is the socket: all that matters is whether the pool has closed it.
type closableConn struct {
	net.Conn
	closed bool
}

func (l *closableConn) Close() error {
	l.closed = true
	return nil
}

// orders is one order of things, as far as it has been played.
type exploration struct {
	pool                   *Pool
	now                    time.Duration
	timers                 []testTimer
	attempts               []*Attempt
	ends                   map[*Attempt]policy.Outcome
	written                map[*Attempt]bool // came to the node to its last byte
	conns                  []*simulatedConn
	violation              string
	unassignedAtDisconnect map[*Attempt]bool // once the client of all has gone: the attempts that no connection had then
	mutation               string            // a defect of the connections' own side, to show that the exploration finds it
}

func (e *exploration) Now() time.Duration { return e.now }
func (e *exploration) After(d time.Duration, do func()) {
	e.timers = append(e.timers, testTimer{e.now + d, do})
}
func (e *exploration) Post(Event)                          {}
func (e *exploration) Spawn(func(context.Context))         {}
func (e *exploration) AttemptBegan(*Attempt, *Stream) bool { return false }

// AttemptWanted withdraws the others too, as the core does when it finds that a request's client has gone.
func (e *exploration) AttemptWanted(*Attempt) bool {
	if e.unassignedAtDisconnect == nil || e.mutation == mutationOwnerNotAsked {
		return true
	}
	for _, a := range e.attempts {
		e.pool.Withdraw(a)
	}
	return false
}

func (e *exploration) AttemptEnded(a *Attempt, out policy.Outcome, _ Reply) {
	if was, twice := e.ends[a]; twice {
		e.violate("attempt %d ended twice: %d, then %d", a.Number, was, out)
	}
	e.ends[a] = out
	if out.NeverRan() && out != policy.Rejected && e.written[a] {
		e.violate("attempt %d has come to the node, and ended as one that never ran", a.Number)
	}
	if out == policy.Succeeded && !e.written[a] {
		e.violate("attempt %d was never sent, and is served", a.Number)
	}
}

func (e *exploration) violate(format string, args ...any) {
	if e.violation == "" {
		e.violation = fmt.Sprintf(format, args...)
	}
}

func newExploration() *exploration {
	o := &exploration{now: time.Minute, ends: map[*Attempt]policy.Outcome{}, written: map[*Attempt]bool{}}
	o.pool = New(
		o,
		Config{
			ConnectTimeout: 250 * time.Millisecond,
			Idle:           15 * time.Second,
			MaxConnections: 2,
			Frames:         resp.NewBudget(1 << 20),
		},
	)
	o.pool.startConn = func(c *conn) { o.conns = append(o.conns, &simulatedConn{conn: c}) }
	o.pool.Update(entries("127.0.0.1:1"), true)
	for n := range 2 {
		o.attempts = append(o.attempts, &Attempt{Number: n, Command: noCommand{}, Deadline: o.now + time.Second})
	}
	return o
}

// step is something that can happen now, to an attempt or a connection of a number.
type step struct {
	format string
	number int
	do     func()
}

func (s step) String() string {
	if s.number < 0 {
		return s.format
	}
	return fmt.Sprintf(s.format, s.number)
}

// exploredReplies are what a node may say to a command.
var exploredReplies = []Reply{
	{Value: []byte("v"), outcome: policy.Succeeded, reusable: true},
	{outcome: policy.Failed},
	{outcome: policy.Rejected, reusable: true},
}

// steps are all that can happen now, always in the same order.
func (e *exploration) possibleSteps() (out []step) {
	add := func(do func(), what string, n int) { out = append(out, step{what, n, do}) }
	for i, a := range e.attempts {
		switch _, ended := e.ends[a]; {
		case ended:
		case a.backend == nil:
			if i == 0 || e.attempts[i-1].backend != nil { // they are alike
				add(func() { e.pool.Start(a, "s0") }, "start %d", i)
			}
		default:
			if a.abortedAs == notAborted {
				add(func() { e.pool.Abort(a, policy.TimedOut) }, "time out %d", i)
			}
			if a.conn == nil {
				add(func() { e.pool.Withdraw(a) }, "withdraw %d", i)
			}
		}
	}
	for k, pc := range e.conns {
		if len(pc.events) > 0 {
			add(func() {
				ev := pc.events[0]
				pc.events = pc.events[1:]
				if _, is := ev.(replyReceived); is {
					pc.replyHandled, pc.repliedAt = true, e.now
				}
				e.pool.Handle(ev)
			}, "conn %d is heard", k)
		}
		switch {
		case pc.ended:
		case !pc.up:
			add(func() {
				pc.up, pc.conn.nc = true, &pc.socket
				pc.events = append(pc.events, connectionOpened{pc.conn})
			}, "conn %d comes up", k)
			add(func() {
				pc.ended = true
				pc.events = append(pc.events, connectionClosed{conn: pc.conn})
			}, "conn %d never comes up", k)
		default:
			end := func() {
				pc.ended = true
				close(pc.conn.readerDone)
				pc.events = append(pc.events, connectionClosed{conn: pc.conn, wasOpen: true})
				if e.mutation == mutationEndsTwice {
					pc.events = append(pc.events, connectionClosed{conn: pc.conn, wasOpen: true})
				}
			}
			add(end, "conn %d ends", k)
			if len(pc.conn.writes) > 0 {
				if !pc.socket.closed {
					add(func() { e.write(pc) }, "conn %d writes", k)
				}
				add(func() {
					<-pc.conn.writes
					end()
				}, "conn %d breaks off while it writes", k)
			}
			if w := pc.conn.lastWritten.Load(); w != nil && (pc.repliedTo != w || pc.duplicates == 0) {
				for i, rep := range exploredReplies {
					if pc.repliedTo == w && i > 0 { // a second answer
						break
					}
					add(func() {
						if pc.repliedTo == w {
							pc.duplicates++
						}
						pc.repliedTo = w
						pc.events = append(pc.events, replyReceived{pc.conn, w, rep})
						if !rep.reusable { // its reader ends here
							end()
						}
					}, [...]string{"conn %d brings an answer", "conn %d brings nonsense", "conn %d brings that it is full"}[i], k)
				}
			}
		}
	}
	n := e.pool.backends["s0"]
	state := policy.Gone
	if n != nil {
		state = n.State
	}
	if state == policy.Running {
		f := entries("127.0.0.1:1")
		f[0].State = policy.Draining
		add(func() { e.pool.Update(f, false) }, "the node drains", -1)
		add(func() { e.pool.Update(nil, true) }, "the node is gone", -1)
		if n.addr == "127.0.0.1:1" {
			add(func() { e.pool.Update(entries("127.0.0.1:2"), true) }, "the node moves", -1)
		}
	}
	if len(e.timers) > 0 {
		add(e.fireNextTimer, "time passes", -1)
	}
	if e.unassignedAtDisconnect == nil {
		add(e.disconnectClient, "the client leaves", -1)
	}
	return out
}

// leave is the client's going, of which nobody has told the pool's owner.
func (e *exploration) disconnectClient() {
	e.unassignedAtDisconnect = map[*Attempt]bool{}
	for _, a := range e.attempts {
		e.unassignedAtDisconnect[a] = a.conn == nil
	}
}

// write is the goroutine of a connection that writes: the node has the whole command.
func (e *exploration) write(pc *simulatedConn) {
	j := <-pc.conn.writes
	if out, ended := e.ends[j.attempt]; ended {
		e.violate("attempt %d ended with %d, and is sent", j.attempt.Number, out)
	}
	if e.written[j.attempt] {
		e.violate("attempt %d is sent twice", j.attempt.Number)
	}
	e.written[j.attempt] = true
	if e.mutation != mutationUnreportedWrite {
		pc.conn.lastWritten.Store(j.attempt)
	}
}

// ring lets time pass up to the next alarm.
func (e *exploration) fireNextTimer() {
	next := slices.MinFunc(e.timers, func(a, b testTimer) int { return int(a.at - b.at) })
	e.now = next.at
	e.timers = slices.DeleteFunc(e.timers, func(a testTimer) bool { return a.at == next.at })
	next.do()
}

// check looks at what has to hold at every moment.
func (e *exploration) checkInvariants() {
	busy := 0
	ending := map[*backendPool]int{} // closed by the pool, which serves again when it hears of the end
	for k, pc := range e.conns {
		if len(pc.conn.writes) > 0 && !pc.socket.closed && pc.conn.current == nil && !pc.conn.disconnected {
			e.violate("conn %d is to write, and the pool knows of nothing on it", k)
		}
		if !pc.conn.disconnected {
			busy++
			if pc.conn.closed {
				ending[pc.conn.backend]++
			}
		}
		if a := pc.conn.current; a != nil && pc.replyHandled && a.assignedAt-pc.repliedAt < reuseDelay &&
			e.mutation != trustedAndScarce {
			e.violate("conn %d is given attempt %d before it has rested", k, a.Number)
		}
	}
	for _, a := range e.attempts {
		if e.unassignedAtDisconnect[a] && a.conn != nil {
			e.violate("attempt %d was handed to a connection after its client had gone", a.Number)
		}
	}
	if busy != e.pool.connections {
		e.violate("%d connections are there, the pool counts %d", busy, e.pool.connections)
	}
	for _, n := range e.pool.backends {
		for _, a := range n.waiting {
			if _, ended := e.ends[a]; ended {
				e.violate("attempt %d has ended and waits", a.Number)
			}
		}
		if len(n.waiting) > 0 && len(n.idle) > 0 && !n.wakeScheduled {
			e.violate("%d attempts wait for idle connections, and nothing will serve them", len(n.waiting))
		}
		if len(n.waiting) > n.dialing+len(n.idle)+ending[n] && n.connections < maxConnectionsPerBackend &&
			e.pool.connections < e.pool.cfg.MaxConnections {
			e.violate("%d attempts wait, with %d connections begun and %d idle", len(n.waiting), n.dialing, len(n.idle))
		}
		for _, c := range n.idle {
			if c.current != nil {
				e.violate("a connection is idle with attempt %d on it", c.current.Number)
			}
		}
		if n.State != policy.Running {
			for _, c := range n.idle {
				if len(c.writes) > 0 {
					e.violate("a node that drains is to be sent something on an idle connection")
				}
			}
		}
	}
}

// settle ends what is open as its owner would: everything that is on its way is heard, each attempt is given up at
// its time, connections that the pool has closed end, time passes. Nothing may be owed then.
func (e *exploration) settleAll() {
	open := func() bool {
		return len(e.timers) > 0 ||
			slices.ContainsFunc(e.conns, func(pc *simulatedConn) bool { return !pc.ended || len(pc.events) > 0 })
	}
	for round := 0; round < 100 && open(); round++ {
		for _, a := range e.attempts {
			if a.backend != nil {
				e.pool.Abort(a, policy.TimedOut)
			}
		}
		for _, pc := range e.conns {
			if !pc.ended {
				pc.ended = true
				up := pc.up
				if up {
					close(pc.conn.readerDone)
				}
				pc.events = append(pc.events, connectionClosed{conn: pc.conn, wasOpen: up})
			}
			for len(pc.events) > 0 {
				ev := pc.events[0]
				pc.events = pc.events[1:]
				e.pool.Handle(ev)
			}
		}
		if len(e.timers) > 0 {
			e.fireNextTimer()
		}
	}
	for _, a := range e.attempts {
		if _, ended := e.ends[a]; a.backend != nil && !ended {
			e.violate("attempt %d never ends", a.Number)
		}
	}
	if e.pool.connections != 0 {
		e.violate("the pool counts %d connections where there are none", e.pool.connections)
	}
	for id, n := range e.pool.backends {
		if n.connections != 0 || n.dialing != 0 || n.wakeScheduled || len(n.waiting) != 0 || len(n.idle) != 0 {
			e.violate(
				"%s: %d connections, %d begun, waking %v, %d wait, %d idle, and all is over",
				id,
				n.connections,
				n.dialing,
				n.wakeScheduled,
				len(n.waiting),
				len(n.idle),
			)
		}
		if n.State == policy.Gone {
			e.violate("%s is gone and is not forgotten", id)
		}
	}
}

// state is all that what can still happen depends on.
func (e *exploration) fingerprint() string {
	b := make([]byte, 0, 160)
	put := func(xs ...int) {
		for _, x := range xs {
			b = append(b, byte(x))
		}
	}
	yes := func(is bool) int {
		if is {
			return 1
		}
		return 0
	}
	conn := func(c *conn) int {
		return slices.IndexFunc(e.conns, func(pc *simulatedConn) bool { return pc.conn == c })
	}
	try := func(a *Attempt) int { return slices.Index(e.attempts, a) }
	for _, a := range e.attempts {
		out, ended := e.ends[a]
		put(
			yes(e.unassignedAtDisconnect[a]),
			yes(a.backend != nil),
			int(a.abortedAs),
			yes(ended),
			int(out),
			yes(e.written[a]),
			conn(a.conn),
		)
		if a.conn != nil {
			put(yes(a.backend.lastHeardAt <= a.assignedAt), yes(e.now-a.assignedAt >= e.pool.cfg.ConnectTimeout))
		}
	}
	for _, pc := range e.conns {
		put(
			yes(pc.conn.used),
			yes(pc.conn.hasReplied),
			yes(pc.conn.closed),
			yes(pc.conn.reusable(e.now)),
			yes(pc.replyHandled && e.now-pc.repliedAt < reuseDelay),
		)
		put(
			yes(pc.up),
			yes(pc.ended),
			pc.duplicates,
			try(pc.repliedTo),
			yes(pc.socket.closed),
			len(pc.conn.writes),
			try(pc.conn.lastWritten.Load()),
			try(pc.conn.current),
			yes(
				pc.conn.disconnected,
			),
			int(pc.conn.addr[len(pc.conn.addr)-1]),
			yes(e.now-pc.conn.idleSince > e.pool.retireAfter()),
			len(pc.events),
		)
		for _, ev := range pc.events {
			switch ev := ev.(type) {
			case connectionOpened:
				put('u')
			case connectionClosed:
				put('d', yes(ev.wasOpen))
			case replyReceived:
				put('r', try(ev.attempt), int(ev.outcome), yes(ev.reusable))
			}
		}
	}
	if n := e.pool.backends["s0"]; n != nil {
		put(
			int(n.State),
			int(n.addr[len(n.addr)-1]),
			n.dialing,
			yes(n.wakeScheduled),
			n.connections,
			len(n.waiting),
			len(n.idle),
			yes(
				n.duplicates.unlikely(e.now),
			),
			yes(n.duplicates.seen),
			yes(e.now < n.noGrowthUntil),
			yes(n.connectTime > minDialGain),
		)
		put(int(n.replyTime / time.Millisecond))
		for _, a := range n.waiting {
			put(try(a))
		}
		for _, c := range n.idle {
			put(conn(c))
		}
	}
	put(e.pool.connections, yes(e.pool.limitReached), yes(e.unassignedAtDisconnect != nil))
	for _, a := range e.timers {
		put(int((a.at - e.now) / time.Millisecond))
	}
	return string(b)
}

// play plays an order from the beginning.
func play(mutation string, order []uint8) (*exploration, []step) {
	o := newExploration()
	o.mutation = mutation
	if mutation == trustedAndScarce || mutation == mutationTrustedEarly {
		o.pool.cfg.MaxConnections = 1
		o.pool.backends["s0"].duplicates.cleanReuses = cleanReusesToTrust
	}
	var played []step
	for _, i := range order {
		s := o.possibleSteps()[i]
		played = append(played, s)
		s.do()
		o.checkInvariants()
		if o.violation != "" {
			break
		}
	}
	return o, played
}

// explored is what an exploration came to.
type result struct {
	states, settled, deepest int
	complete                 bool // no order was left out for want of time
	violation                string
	steps                    []step
}

// explore walks through all orders of so many steps, each state once; it ends with the first that breaks something,
// the shortest there is.
func explore(mutation string, steps int, until time.Time) (found result) {
	known := map[string]bool{}
	level := [][]uint8{nil}
	for found.deepest = 0; len(level) > 0; found.deepest++ {
		var next [][]uint8
		for _, at := range level {
			if time.Now().After(until) {
				return found
			}
			o, played := play(mutation, at)
			if found.steps = played; o.violation != "" {
				found.violation = o.violation
				return found
			}
			s := o.fingerprint()
			if known[s] {
				continue
			}
			known[s] = true
			found.states++
			n := len(o.possibleSteps())
			if o.settleAll(); o.violation != "" {
				found.violation = o.violation + ", once all is over"
				return found
			}
			found.settled++
			if len(o.conns) > maxConnections || found.deepest == steps {
				continue
			}
			for i := range n {
				next = append(next, append(slices.Clone(at), uint8(i)))
			}
		}
		level = next
	}
	found.complete = true
	return found
}

// Every order of what can happen to two attempts, their connections and their node: each ends once, with an outcome
// that is true; nothing is sent for one that has ended; whatever is settled at the end leaves no place taken, no
// connection counted, nobody waiting, and no node that has gone.
func TestPoolInEveryOrder(t *testing.T) {
	steps, within := maxSteps, exploreTime
	if os.Getenv("HITCHSPRING_TRIALS") != "" {
		steps, within = trialSteps, trialTime
	}
	x := explore("", steps, time.Now().Add(within))
	t.Logf(
		"%d states, %d settled, %d steps deep, whole: %v (left out: more than %d steps, more than %d connections)",
		x.states,
		x.settled,
		x.deepest-1,
		x.complete,
		steps,
		maxConnections,
	)
	if x.violation != "" {
		t.Fatalf("%s, after:\n%v", x.violation, x.steps)
	}
	if x.settled < minSettled {
		t.Errorf("%d states were settled, %d at least are wanted", x.settled, minSettled)
	}
	if x := explore(trustedAndScarce, steps, time.Now().Add(within)); x.violation != "" {
		t.Fatalf("%s: %s, after:\n%v", trustedAndScarce, x.violation, x.steps)
	} else {
		t.Logf("%s: %d states, whole: %v", trustedAndScarce, x.states, x.complete)
	}
	for _, plant := range []string{mutationUnreportedWrite, mutationEndsTwice, mutationTrustedEarly, mutationOwnerNotAsked} {
		x := explore(plant, steps, time.Now().Add(within))
		if x.violation == "" {
			t.Errorf("planted, and not found in %d states: %s", x.states, plant)
		}
		t.Logf("planted: %s. Found after %d states: %s", plant, x.states, x.violation)
	}
}
