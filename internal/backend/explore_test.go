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

// The pool explored: two attempts to one node, and everything that can end one of them, a connection or the node, in every order. The pool is the
// real one; its connections are played here as their goroutines and the network play them, with their events on the way to the pool.

const (
	mostSteps    = 8  // of one order
	trialSteps   = 11 // the same with HITCHSPRING_TRIALS=1
	mostLives    = 3  // connections that are begun in one order
	exploreTime  = 20 * time.Second
	trialTime    = 5 * time.Minute
	leastSettled = 2000 // states; else the exploration has lost its way

	plantUntold  = "a connection does not tell that it wrote a command whole"
	plantTwice   = "a connection tells its end twice"
	plantRest    = "a node that is not known counts as one that sends no second answers, and has one connection"
	scarce       = "a node is known to send no second answers, and has one connection" // no defect
	plantUnasked = "the owner is not asked whether an attempt is still wanted"
)

// playedConn is a connection's own side.
type playedConn struct {
	c      *conn
	up     bool    // it has come up
	ended  bool    // its last event is on its way, or told
	onWay  []Event // told and not heard of by the pool
	copies int     // further answers to the same command
	said   *Attempt
	line   closing
	heard  bool          // an answer on it
	at     time.Duration // when the last one was heard
}

// closing is the socket: all that matters is whether the pool has closed it.
type closing struct {
	net.Conn
	closed bool
}

func (l *closing) Close() error {
	l.closed = true
	return nil
}

// orders is one order of things, as far as it has been played.
type orders struct {
	p      *Pool
	now    time.Duration
	alarms []testAlarm
	tries  []*Attempt
	ends   map[*Attempt]policy.Outcome
	whole  map[*Attempt]bool // came to the node to its last byte
	conns  []*playedConn
	broken string
	left   map[*Attempt]bool // once the client of all has gone: the attempts that no connection had then
	plant  string            // a defect of the connections' own side, to show that the exploration finds it
}

func (o *orders) Now() time.Duration { return o.now }
func (o *orders) After(d time.Duration, do func()) {
	o.alarms = append(o.alarms, testAlarm{o.now + d, do})
}
func (o *orders) Post(Event)                          {}
func (o *orders) Spawn(func(context.Context))         {}
func (o *orders) AttemptBegan(*Attempt, *Stream) bool { return false }

// AttemptWanted withdraws the others too, as the core does when it finds that a request's client has gone.
func (o *orders) AttemptWanted(*Attempt) bool {
	if o.left == nil || o.plant == plantUnasked {
		return true
	}
	for _, a := range o.tries {
		o.p.Withdraw(a)
	}
	return false
}

func (o *orders) AttemptEnded(a *Attempt, out policy.Outcome, _ Reply) {
	if was, twice := o.ends[a]; twice {
		o.breaks("attempt %d ended twice: %d, then %d", a.Number, was, out)
	}
	o.ends[a] = out
	if out.NeverRan() && out != policy.Rejected && o.whole[a] {
		o.breaks("attempt %d has come to the node, and ended as one that never ran", a.Number)
	}
	if out == policy.Succeeded && !o.whole[a] {
		o.breaks("attempt %d was never sent, and is served", a.Number)
	}
}

func (o *orders) breaks(format string, args ...any) {
	if o.broken == "" {
		o.broken = fmt.Sprintf(format, args...)
	}
}

func newOrders() *orders {
	o := &orders{now: time.Minute, ends: map[*Attempt]policy.Outcome{}, whole: map[*Attempt]bool{}}
	o.p = New(o, Config{ConnectTimeout: 250 * time.Millisecond, Idle: 15 * time.Second, MaxConnections: 2, Frames: resp.NewBudget(1 << 20)})
	o.p.begin = func(c *conn) { o.conns = append(o.conns, &playedConn{c: c}) }
	o.p.Update(entries("127.0.0.1:1"), true)
	for n := range 2 {
		o.tries = append(o.tries, &Attempt{Number: n, Command: noCommand{}, Deadline: o.now + time.Second})
	}
	return o
}

// step is something that can happen now, to an attempt or a connection of a number.
type step struct {
	what string
	n    int
	do   func()
}

func (s step) String() string {
	if s.n < 0 {
		return s.what
	}
	return fmt.Sprintf(s.what, s.n)
}

// exploredReplies are what a node may say to a command.
var exploredReplies = []Reply{{Value: []byte("v"), outcome: policy.Succeeded, keep: true}, {outcome: policy.Failed}, {outcome: policy.Rejected, keep: true}}

// steps are all that can happen now, always in the same order.
func (o *orders) steps() (out []step) {
	add := func(do func(), what string, n int) { out = append(out, step{what, n, do}) }
	for i, a := range o.tries {
		switch _, ended := o.ends[a]; {
		case ended:
		case a.node == nil:
			if i == 0 || o.tries[i-1].node != nil { // they are alike
				add(func() { o.p.Start(a, "s0") }, "start %d", i)
			}
		default:
			if a.why == still {
				add(func() { o.p.Abort(a, policy.TimedOut) }, "time out %d", i)
			}
			if a.conn == nil {
				add(func() { o.p.Withdraw(a) }, "withdraw %d", i)
			}
		}
	}
	for k, pc := range o.conns {
		if len(pc.onWay) > 0 {
			add(func() {
				ev := pc.onWay[0]
				pc.onWay = pc.onWay[1:]
				if _, is := ev.(replied); is {
					pc.heard, pc.at = true, o.now
				}
				o.p.Handle(ev)
			}, "conn %d is heard", k)
		}
		switch {
		case pc.ended:
		case !pc.up:
			add(func() {
				pc.up, pc.c.nc = true, &pc.line
				pc.onWay = append(pc.onWay, connUp{pc.c})
			}, "conn %d comes up", k)
			add(func() {
				pc.ended = true
				pc.onWay = append(pc.onWay, connDown{c: pc.c})
			}, "conn %d never comes up", k)
		default:
			end := func() {
				pc.ended = true
				close(pc.c.dead)
				pc.onWay = append(pc.onWay, connDown{c: pc.c, up: true})
				if o.plant == plantTwice {
					pc.onWay = append(pc.onWay, connDown{c: pc.c, up: true})
				}
			}
			add(end, "conn %d ends", k)
			if len(pc.c.work) > 0 {
				if !pc.line.closed {
					add(func() { o.write(pc) }, "conn %d writes", k)
				}
				add(func() {
					<-pc.c.work
					end()
				}, "conn %d breaks off while it writes", k)
			}
			if w := pc.c.whole.Load(); w != nil && (pc.said != w || pc.copies == 0) {
				for i, rep := range exploredReplies {
					if pc.said == w && i > 0 { // a second answer
						break
					}
					add(func() {
						if pc.said == w {
							pc.copies++
						}
						pc.said = w
						pc.onWay = append(pc.onWay, replied{pc.c, w, rep})
						if !rep.keep { // its reader ends here
							end()
						}
					}, [...]string{"conn %d brings an answer", "conn %d brings nonsense", "conn %d brings that it is full"}[i], k)
				}
			}
		}
	}
	n := o.p.nodes["s0"]
	state := policy.Gone
	if n != nil {
		state = n.State
	}
	if state == policy.Running {
		f := entries("127.0.0.1:1")
		f[0].State = policy.Draining
		add(func() { o.p.Update(f, false) }, "the node drains", -1)
		add(func() { o.p.Update(nil, true) }, "the node is gone", -1)
		if n.addr == "127.0.0.1:1" {
			add(func() { o.p.Update(entries("127.0.0.1:2"), true) }, "the node moves", -1)
		}
	}
	if len(o.alarms) > 0 {
		add(o.ring, "time passes", -1)
	}
	if o.left == nil {
		add(o.leave, "the client leaves", -1)
	}
	return out
}

// leave is the client's going, of which nobody has told the pool's owner.
func (o *orders) leave() {
	o.left = map[*Attempt]bool{}
	for _, a := range o.tries {
		o.left[a] = a.conn == nil
	}
}

// write is the goroutine of a connection that writes: the node has the whole command.
func (o *orders) write(pc *playedConn) {
	j := <-pc.c.work
	if out, ended := o.ends[j.a]; ended {
		o.breaks("attempt %d ended with %d, and is sent", j.a.Number, out)
	}
	if o.whole[j.a] {
		o.breaks("attempt %d is sent twice", j.a.Number)
	}
	o.whole[j.a] = true
	if o.plant != plantUntold {
		pc.c.whole.Store(j.a)
	}
}

// ring lets time pass up to the next alarm.
func (o *orders) ring() {
	next := slices.MinFunc(o.alarms, func(a, b testAlarm) int { return int(a.at - b.at) })
	o.now = next.at
	o.alarms = slices.DeleteFunc(o.alarms, func(a testAlarm) bool { return a.at == next.at })
	next.do()
}

// check looks at what has to hold at every moment.
func (o *orders) check() {
	busy := 0
	ending := map[*node]int{} // closed by the pool, which serves again when it hears of the end
	for k, pc := range o.conns {
		if len(pc.c.work) > 0 && !pc.line.closed && pc.c.cur == nil && !pc.c.down {
			o.breaks("conn %d is to write, and the pool knows of nothing on it", k)
		}
		if !pc.c.down {
			busy++
			if pc.c.closed {
				ending[pc.c.node]++
			}
		}
		if a := pc.c.cur; a != nil && pc.heard && a.handed-pc.at < restTime && o.plant != scarce {
			o.breaks("conn %d is given attempt %d before it has rested", k, a.Number)
		}
	}
	for _, a := range o.tries {
		if o.left[a] && a.conn != nil {
			o.breaks("attempt %d was handed to a connection after its client had gone", a.Number)
		}
	}
	if busy != o.p.conns {
		o.breaks("%d connections are there, the pool counts %d", busy, o.p.conns)
	}
	for _, n := range o.p.nodes {
		for _, a := range n.waiting {
			if _, ended := o.ends[a]; ended {
				o.breaks("attempt %d has ended and waits", a.Number)
			}
		}
		if len(n.waiting) > 0 && len(n.idle) > 0 && !n.waking {
			o.breaks("%d attempts wait for idle connections, and nothing will serve them", len(n.waiting))
		}
		if len(n.waiting) > n.dialing+len(n.idle)+ending[n] && n.conns < mostPerNode && o.p.conns < o.p.cfg.MaxConnections {
			o.breaks("%d attempts wait, with %d connections begun and %d idle", len(n.waiting), n.dialing, len(n.idle))
		}
		for _, c := range n.idle {
			if c.cur != nil {
				o.breaks("a connection is idle with attempt %d on it", c.cur.Number)
			}
		}
		if n.State != policy.Running {
			for _, c := range n.idle {
				if len(c.work) > 0 {
					o.breaks("a node that drains is to be sent something on an idle connection")
				}
			}
		}
	}
}

// settle ends what is open as its owner would: everything that is on its way is heard, each attempt is given up at its time, connections that
// the pool has closed end, time passes. Nothing may be owed then.
func (o *orders) settle() {
	open := func() bool {
		return len(o.alarms) > 0 || slices.ContainsFunc(o.conns, func(pc *playedConn) bool { return !pc.ended || len(pc.onWay) > 0 })
	}
	for round := 0; round < 100 && open(); round++ {
		for _, a := range o.tries {
			if a.node != nil {
				o.p.Abort(a, policy.TimedOut)
			}
		}
		for _, pc := range o.conns {
			if !pc.ended {
				pc.ended = true
				up := pc.up
				if up {
					close(pc.c.dead)
				}
				pc.onWay = append(pc.onWay, connDown{c: pc.c, up: up})
			}
			for len(pc.onWay) > 0 {
				ev := pc.onWay[0]
				pc.onWay = pc.onWay[1:]
				o.p.Handle(ev)
			}
		}
		if len(o.alarms) > 0 {
			o.ring()
		}
	}
	for _, a := range o.tries {
		if _, ended := o.ends[a]; a.node != nil && !ended {
			o.breaks("attempt %d never ends", a.Number)
		}
	}
	if o.p.conns != 0 {
		o.breaks("the pool counts %d connections where there are none", o.p.conns)
	}
	for id, n := range o.p.nodes {
		if n.conns != 0 || n.dialing != 0 || n.waking || len(n.waiting) != 0 || len(n.idle) != 0 {
			o.breaks("%s: %d connections, %d begun, waking %v, %d wait, %d idle, and all is over", id, n.conns, n.dialing, n.waking, len(n.waiting), len(n.idle))
		}
		if n.State == policy.Gone {
			o.breaks("%s is gone and is not forgotten", id)
		}
	}
}

// state is all that what can still happen depends on.
func (o *orders) state() string {
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
	conn := func(c *conn) int { return slices.IndexFunc(o.conns, func(pc *playedConn) bool { return pc.c == c }) }
	try := func(a *Attempt) int { return slices.Index(o.tries, a) }
	for _, a := range o.tries {
		out, ended := o.ends[a]
		put(yes(o.left[a]), yes(a.node != nil), int(a.why), yes(ended), int(out), yes(o.whole[a]), conn(a.conn))
		if a.conn != nil {
			put(yes(a.node.heard <= a.handed), yes(o.now-a.handed >= o.p.cfg.ConnectTimeout))
		}
	}
	for _, pc := range o.conns {
		put(yes(pc.c.used), yes(pc.c.answered), yes(pc.c.closed), yes(pc.c.rested(o.now)), yes(pc.heard && o.now-pc.at < restTime))
		put(yes(pc.up), yes(pc.ended), pc.copies, try(pc.said), yes(pc.line.closed), len(pc.c.work), try(pc.c.whole.Load()), try(pc.c.cur),
			yes(pc.c.down), int(pc.c.addr[len(pc.c.addr)-1]), yes(o.now-pc.c.since > o.p.retireAfter()), len(pc.onWay))
		for _, ev := range pc.onWay {
			switch ev := ev.(type) {
			case connUp:
				put('u')
			case connDown:
				put('d', yes(ev.up))
			case replied:
				put('r', try(ev.to), int(ev.outcome), yes(ev.keep))
			}
		}
	}
	if n := o.p.nodes["s0"]; n != nil {
		put(int(n.State), int(n.addr[len(n.addr)-1]), n.dialing, yes(n.waking), n.conns, len(n.waiting), len(n.idle),
			yes(n.second.none(o.now)), yes(n.second.seen), yes(o.now < n.noGrowth), yes(n.connect > dialWorth))
		put(int(n.answers / time.Millisecond))
		for _, a := range n.waiting {
			put(try(a))
		}
		for _, c := range n.idle {
			put(conn(c))
		}
	}
	put(o.p.conns, yes(o.p.starved), yes(o.left != nil))
	for _, a := range o.alarms {
		put(int((a.at - o.now) / time.Millisecond))
	}
	return string(b)
}

// play plays an order from the beginning.
func play(plant string, order []uint8) (*orders, []step) {
	o := newOrders()
	o.plant = plant
	if plant == scarce || plant == plantRest {
		o.p.cfg.MaxConnections = 1
		o.p.nodes["s0"].second.clean = cleanRests
	}
	var played []step
	for _, i := range order {
		s := o.steps()[i]
		played = append(played, s)
		s.do()
		o.check()
		if o.broken != "" {
			break
		}
	}
	return o, played
}

// explored is what an exploration came to.
type explored struct {
	states, settled, deepest int
	whole                    bool // no order was left out for want of time
	broken                   string
	order                    []step
}

// explore walks through all orders of so many steps, each state once; it ends with the first that breaks something, the shortest there is.
func explore(plant string, steps int, until time.Time) (x explored) {
	known := map[string]bool{}
	level := [][]uint8{nil}
	for x.deepest = 0; len(level) > 0; x.deepest++ {
		var next [][]uint8
		for _, at := range level {
			if time.Now().After(until) {
				return x
			}
			o, played := play(plant, at)
			if x.order = played; o.broken != "" {
				x.broken = o.broken
				return x
			}
			s := o.state()
			if known[s] {
				continue
			}
			known[s] = true
			x.states++
			n := len(o.steps())
			if o.settle(); o.broken != "" {
				x.broken = o.broken + ", once all is over"
				return x
			}
			x.settled++
			if len(o.conns) > mostLives || x.deepest == steps {
				continue
			}
			for i := range n {
				next = append(next, append(slices.Clone(at), uint8(i)))
			}
		}
		level = next
	}
	x.whole = true
	return x
}

// Every order of what can happen to two attempts, their connections and their node: each ends once, with an outcome that is true; nothing is sent
// for one that has ended; whatever is settled at the end leaves no place taken, no connection counted, nobody waiting, and no node that has gone.
func TestPoolInEveryOrder(t *testing.T) {
	steps, within := mostSteps, exploreTime
	if os.Getenv("HITCHSPRING_TRIALS") != "" {
		steps, within = trialSteps, trialTime
	}
	x := explore("", steps, time.Now().Add(within))
	t.Logf("%d states, %d settled, %d steps deep, whole: %v (left out: more than %d steps, more than %d connections)", x.states, x.settled, x.deepest-1, x.whole, steps, mostLives)
	if x.broken != "" {
		t.Fatalf("%s, after:\n%v", x.broken, x.order)
	}
	if x.settled < leastSettled {
		t.Errorf("%d states were settled, %d at least are wanted", x.settled, leastSettled)
	}
	if x := explore(scarce, steps, time.Now().Add(within)); x.broken != "" {
		t.Fatalf("%s: %s, after:\n%v", scarce, x.broken, x.order)
	} else {
		t.Logf("%s: %d states, whole: %v", scarce, x.states, x.whole)
	}
	for _, plant := range []string{plantUntold, plantTwice, plantRest, plantUnasked} {
		x := explore(plant, steps, time.Now().Add(within))
		if x.broken == "" {
			t.Errorf("planted, and not found in %d states: %s", x.states, plant)
		}
		t.Logf("planted: %s. Found after %d states: %s", plant, x.states, x.broken)
	}
}
