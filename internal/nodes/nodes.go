// Package nodes is the connections to the playout nodes: a pool for each, dials within bounds, attempts and probes on them, and
// what is known of each attempt's end. In: the list of nodes, attempts to start and to give up. Out: one outcome for each
// attempt, which says whether it may have run. It decides neither where an attempt goes nor whether there is another, and
// knows no client.
package nodes

import (
	"context"
	"errors"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tidwall/redcon"

	"hitchspring/internal/resp"
	"hitchspring/logic"
)

const (
	mostPerNode  = 48           // connections to one node
	still        = logic.Failed // the zero outcome: an attempt that nobody has given up
	writeTimeout = 5 * time.Second
	answerTime   = 200 * time.Millisecond // for the rest of an answer that has begun: one that never ends is spoilt
	restTime     = 15 * time.Millisecond  // of a connection between two commands: what stands behind an answer shows, some milliseconds late
	mostLoad     = 1e9                    // a load figure beyond is none
)

// Command is what an attempt writes to a node.
type Command interface {
	// Encode returns the command in the nodes' protocol, with the time that is left for its answer.
	Encode(left time.Duration) []byte
}

// Attempt is one command on its way to a node: of a request, or a probe. Its exported fields are the owner's, set before Start.
type Attempt struct {
	Ref     any     // the owner's own: what it is an attempt of
	N       int     // the owner's number for it
	Command Command // nil: a probe
	Began   time.Duration
	Stop    time.Duration // when the owner gives it up
	By      time.Duration // its last byte goes out by then, or it is never sent; 0: at any time before Stop
	node    *node
	conn    *conn         // carries it; nil while it waits for one
	handed  time.Duration // when it was given to conn
	why     logic.Outcome // given up by the owner: TimedOut or Cancelled; else still
	stream  *Stream       // of a large value that has begun to come
	ended   bool
	unrun   bool // it has ended, and surely never ran
}

// NeverRan says whether it has ended as one that surely never ran.
func (a *Attempt) NeverRan() bool { return a.unrun }

// Ended says whether the owner has been told of its end.
func (a *Attempt) Ended() bool { return a.ended }

// Written says whether it was handed to a connection and may have run, as far as is known.
func (a *Attempt) Written() bool { return a.conn != nil && !a.unrun }

// Node is where it was sent; empty before Start.
func (a *Attempt) Node() logic.ServerID {
	if a.node == nil {
		return ""
	}
	return a.node.ID
}

// command is what it writes: the client's own, with the time that is left for it, or a probe.
func (a *Attempt) command(now time.Duration) []byte {
	if a.Command == nil {
		return redcon.AppendBulkString(redcon.AppendBulkString(redcon.AppendArray(nil, 2), "INFO"), "load")
	}
	return a.Command.Encode(a.Stop - now)
}

// Entry is a node of the list, with its address.
type Entry struct {
	logic.Server
	Addr string
}

// Event is news of a connection; the owner hands it to Handle on its own goroutine.
type Event interface{ event() }

// Owner runs a pool. Its goroutine is the one that calls the pool; Post and Spawn alone are called by others too.
type Owner interface {
	// Now is the time by the owner's clock, which stands still while the pool is called.
	Now() time.Duration
	// After calls do on the owner's goroutine after a while.
	After(d time.Duration, do func())
	// Post hands an event to the owner's goroutine, which calls Handle with it, in order for each connection.
	Post(Event)
	// Spawn starts a goroutine whose context ends with the owner's life, and which is waited for.
	Spawn(run func(context.Context))
	// AttemptWanted is asked right before an attempt is handed to a connection. False: it ends as Moot, never sent.
	AttemptWanted(a *Attempt) bool
	// AttemptEnded tells how an attempt ended, once for each.
	AttemptEnded(a *Attempt, o logic.Outcome, r Reply)
	// AttemptBegan tells of an attempt whose value has begun to come and is passed on; its end is told later. From now on the
	// time does not end it any more: want of progress does, or Close of the stream. False: the value is not wanted, the attempt ends
	// as Cancelled.
	AttemptBegan(a *Attempt, s *Stream) (wanted bool)
}

// Config is the bounds of a pool.
type Config struct {
	ConnectTimeout time.Duration
	Idle           time.Duration // a node closes a connection that has been idle for so long
	MostConns      int           // to all nodes together
	Frames         *resp.Budget  // memory of answers that are coming in
	Sent           func()        // told of each attempt that was written to its last byte, from any goroutine
}

// Pool is the connections to all nodes. It is not safe for many goroutines: its owner's alone calls it.
type Pool struct {
	cfg     Config
	owner   Owner
	nodes   map[logic.ServerID]*node
	conns   int  // to all of them
	starved bool // an attempt waits because of MostConns
	dials   int
	begin   func(*conn) // runs a connection; tests play it by themselves
}

// Dials is how many connections were begun.
func (p *Pool) Dials() int { return p.dials }

// New returns a pool that knows no node.
func New(owner Owner, cfg Config) *Pool {
	if cfg.Sent == nil {
		cfg.Sent = func() {}
	}
	return &Pool{cfg: cfg, owner: owner, nodes: map[logic.ServerID]*node{}, begin: func(c *conn) {
		owner.Spawn(func(ctx context.Context) { c.run(ctx, cfg.ConnectTimeout, owner.Post) })
	}}
}

// node is what is kept of a node: its entry, its connections, and the attempts that wait for one. A connection carries one
// attempt at a time, so that giving one up hurts no other.
type node struct {
	logic.Server
	addr    string
	idle    []*conn // the last is the warmest
	waiting []*Attempt
	dialing int
	resting int
	conns   int           // all: dialing, idle and busy
	heard   time.Duration // last time that it answered or took a connection
}

// conn is a connection to a node, owned by its goroutine run; cur, since and down are the pool's.
type conn struct {
	node    *node
	addr    string
	nc      net.Conn // set before connUp is posted
	raw     syscall.RawConn
	frames  *resp.Budget
	sent    func()
	work    chan job
	dead    chan struct{}
	writing sync.Mutex              // held from before a command's first byte until whole tells of it
	whole   atomic.Pointer[Attempt] // the last one that was written to its last byte: it may have run
	passing atomic.Pointer[Stream]  // the last value that it began to pass on
	until   atomic.Int64            // when its client gives that up, in nanoseconds of Unix time; 0: nobody does
	cur     *Attempt
	since   time.Duration // idle since
	down    bool
}

type job struct {
	a     *Attempt
	buf   []byte
	until time.Time // when its owner gives it up
	by    time.Time // when its last byte is out at the latest
}

// The events of a connection.
type (
	connUp   struct{ c *conn }
	connDown struct { // the last event of a connection
		c  *conn
		up bool
	}
	replied struct {
		c  *conn
		to *Attempt // what had been written when it came; nil: nothing
		Reply
	}
)

func (connUp) event()   {}
func (connDown) event() {}
func (replied) event()  {}

// Reply is a node's answer, taken apart.
type Reply struct {
	Value   []byte
	Load    logic.Load // the load report that came with it; nil: none that can be read
	outcome logic.Outcome
	keep    bool // it is of a known form and nothing stands behind it: the connection is in order
}

// run dials, then reads answers until the connection ends; it posts connDown last.
func (c *conn) run(ctx context.Context, timeout time.Duration, post func(Event)) {
	d := net.Dialer{Timeout: timeout}
	nc, err := d.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		post(connDown{c: c})
		return
	}
	c.nc = nc
	if t, ok := nc.(*net.TCPConn); ok {
		c.raw, _ = t.SyscallConn()
	}
	stop := context.AfterFunc(ctx, func() {
		nc.Close()
		if s := c.passing.Load(); s != nil {
			s.Close()
		}
	})
	defer stop()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write()
	}()
	post(connUp{c})
	c.read(ctx, post)
	nc.Close()
	close(c.dead)
	<-written
	post(connDown{c: c, up: true})
}

// read posts answers until the connection ends or is of no further use: bytes behind an answer may be a second copy of
// it, which must never be taken for the answer to the next command.
func (c *conn) read(ctx context.Context, post func(Event)) {
	in := resp.Inbox{Budget: c.frames}
	defer in.Close()
	limited := false
	for {
		head, size, err := resp.Large(in.Begun())
		if size > 0 {
			in.Drop(head)
			rep, err := c.pass(ctx, &in, size, post)
			if err != nil {
				return
			}
			rep.keep = !in.Partial()
			post(replied{c, c.whole.Load(), rep})
			if !rep.keep {
				return
			}
			limited = false
			continue
		}
		var f []byte
		if err == nil {
			f, err = in.Next()
		}
		switch {
		case err != nil:
			return
		case f != nil:
			rep := parseReply(f)
			rep.keep = rep.keep && !in.Partial()
			c.writing.Lock()
			to := c.whole.Load()
			c.writing.Unlock()
			post(replied{c, to, rep})
			if !rep.keep {
				return
			}
			continue
		case in.Partial() && !limited:
			c.nc.SetReadDeadline(time.Now().Add(answerTime))
			limited = true
		case limited && !in.Partial():
			c.nc.SetReadDeadline(time.Time{})
			limited = false
		}
		if in.Fill(c.nc.Read) != nil {
			return
		}
	}
}

// quiet says whether the connection is open and nothing has come on it that was not read.
func (c *conn) quiet() bool {
	if c.raw == nil {
		return true
	}
	var b [1]byte
	var peeked error
	err := c.raw.Control(func(fd uintptr) {
		_, _, peeked = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && errors.Is(peeked, syscall.EAGAIN)
}

// write writes what it is given until the connection is dead or broken.
func (c *conn) write() {
	for {
		select {
		case <-c.dead:
			return
		case j := <-c.work:
			c.nc.SetWriteDeadline(j.by) // also of one that comes too late to be begun
			if !j.until.IsZero() {
				c.until.Store(j.until.UnixNano())
			}
			c.writing.Lock()
			n, err := c.nc.Write(j.buf)
			if n == len(j.buf) {
				c.whole.Store(j.a)
				if j.a.Command != nil {
					c.sent()
				}
			}
			c.writing.Unlock()
			if err != nil {
				c.nc.Close()
				return
			}
		}
	}
}

// parseReply reads a whole frame from a node. Whatever is not of a known form has failed and may have run, and
// the connection that brought it is not trusted any further.
func parseReply(f []byte) Reply {
	_, r := redcon.ReadNextRESP(f)
	out := Reply{outcome: logic.Failed}
	switch r.Type {
	case redcon.Error:
		word, rest, _ := strings.Cut(string(r.Data), " ")
		out.keep = word == "ERR" || word == "BUSY"
		if word == "BUSY" {
			out.outcome = logic.Full
		}
		if i := strings.LastIndexByte(rest, ' '); i >= 0 {
			rest = rest[i+1:]
		}
		out.Load = parseLoad(rest)
	case redcon.String:
		if string(r.Data) == "PONG" {
			out.outcome, out.keep = logic.Done, true
		}
	case redcon.Bulk:
		if r.Data != nil {
			out.outcome, out.keep, out.Load = logic.Done, true, parseLoad(string(r.Data))
		}
	case redcon.Array: // the value, the figures on use, the load report: the latter may be unreadable
		if r.Count != 3 {
			break
		}
		i := 0
		r.ForEach(func(e redcon.RESP) bool {
			switch {
			case i == 0 && e.Type == redcon.Bulk && e.Data != nil:
				out.outcome, out.keep, out.Value = logic.Done, true, append(make([]byte, 0, len(e.Data)), e.Data...)
			case i == 2 && e.Type == redcon.Bulk:
				out.Load = parseLoad(string(e.Data))
			}
			i++
			return true
		})
	}
	return out
}

// parseLoad reads a load report such as inflight=7,queue=2; nil if it is none. One spoilt figure spoils it all: the
// module averages what it is told, and would not forget a figure that is no number.
func parseLoad(s string) logic.Load {
	load := logic.Load{}
	for pair := range strings.SplitSeq(s, ",") {
		k, v, _ := strings.Cut(pair, "=")
		x, err := strconv.ParseFloat(v, 64)
		if err != nil || k == "" || !(x >= 0 && x <= mostLoad) {
			return nil
		}
		load[k] = x
	}
	return load
}

// --- the pool: everything below runs on the owner's goroutine ---

// Set brings the list of nodes, whole or its changes. A drain counts from here on: what waits for a connection to a node that
// does not serve any more ends now, as never sent, so that it can go elsewhere.
func (p *Pool) Set(list []Entry, whole bool) {
	if whole {
		for _, n := range p.nodes {
			n.State = logic.Gone
		}
	}
	for _, e := range list {
		n := p.nodes[e.ID]
		if n == nil {
			n = &node{}
			p.nodes[e.ID] = n
		}
		n.Server = e.Server
		if e.Addr != "" && e.State != logic.Gone {
			n.addr = e.Addr
		}
	}
	p.RetireIdle()
	for _, n := range p.nodes {
		if n.State != logic.Running {
			p.turnAway(n)
		}
		p.drop(n)
	}
}

// turnAway ends what waits for a connection to a node that does not serve any more, but for probes.
func (p *Pool) turnAway(n *node) {
	for _, a := range slices.Clone(n.waiting) {
		if a.Command != nil && p.unwait(a) {
			p.end(a, logic.Moot, Reply{})
		}
	}
}

// SetMost changes the bound on connections to all nodes together. Where there are more, idle ones close now, and busy ones are not
// followed by others.
func (p *Pool) SetMost(n int) {
	p.cfg.MostConns = n
	for over := p.conns - n; over > 0 && p.closeOldestIdle(); over-- {
	}
	p.starved = true
	p.feed()
}

// Servers are the nodes that are not gone.
func (p *Pool) Servers() (out []logic.Server) {
	for _, n := range p.nodes {
		if n.State != logic.Gone {
			out = append(out, n.Server)
		}
	}
	return out
}

// Start sends an attempt to a node, on the warmest idle connection or on the first that comes free. Where the node is not
// one that serves, it ends at once as one that never ran.
func (p *Pool) Start(a *Attempt, id logic.ServerID) {
	n := p.nodes[id]
	if n == nil { // gone and forgotten
		n = &node{Server: logic.Server{ID: id, State: logic.Gone}}
	}
	a.node = n
	if n.State != logic.Running && a.Command != nil {
		p.end(a, logic.Moot, Reply{})
		return
	}
	p.place(a)
}

// Moot ends an attempt that is not to be sent at all.
func (p *Pool) Moot(a *Attempt, id logic.ServerID) {
	a.node = &node{Server: logic.Server{ID: id}}
	p.end(a, logic.Moot, Reply{})
}

// Knows says whether a node is on the list, or has not been forgotten yet.
func (p *Pool) Knows(id logic.ServerID) bool { return p.nodes[id] != nil }

// Addr is where a node listens, and whether it serves by the list.
func (p *Pool) Addr(id logic.ServerID) (addr string, serves bool) {
	n := p.nodes[id]
	if n == nil {
		return "", false
	}
	return n.addr, n.State == logic.Running
}

// Handle takes in what a connection has told.
func (p *Pool) Handle(ev Event) {
	switch ev := ev.(type) {
	case connUp:
		p.connUp(ev)
	case connDown:
		p.connDown(ev)
	case replied:
		p.replied(ev)
	case begun:
		p.begun(ev)
	}
}

// end tells the owner how an attempt ended, once.
func (p *Pool) end(a *Attempt, o logic.Outcome, rep Reply) {
	if a.ended {
		return
	}
	a.ended, a.unrun = true, o.NeverRan()
	if o == logic.Done && a.Command != nil && rep.Value == nil && a.stream == nil { // PONG to a request
		o = logic.Failed
	}
	p.owner.AttemptEnded(a, o, rep)
	p.drop(a.node)
}

// place gives an attempt the warmest idle connection, or lets it wait for one.
func (p *Pool) place(a *Attempt) {
	n := a.node
	wait := p.cfg.ConnectTimeout
	if a.By > 0 {
		wait = min(wait, a.By-p.owner.Now())
	}
	if wait <= 0 || !p.wanted(a) {
		p.end(a, logic.Moot, Reply{})
		return
	}
	for k := len(n.idle); k > 0; k = len(n.idle) {
		c := n.idle[k-1]
		n.idle = n.idle[:k-1]
		if p.owner.Now()-c.since <= p.retireAfter() && c.quiet() {
			p.write(c, a)
			return
		}
		c.nc.Close()
	}
	n.waiting = append(n.waiting, a)
	p.dial(n)
	// Whoever waits, for a dial or for one of the connections that are all busy, waits no longer than a dial
	// may take: the module counts on a send being written at about its time. One that has to be out earlier
	// says nothing of the node.
	p.owner.After(wait, func() {
		if !p.unwait(a) {
			return
		}
		if wait < p.cfg.ConnectTimeout {
			p.end(a, logic.Moot, Reply{})
		} else {
			p.end(a, logic.NoConnect, Reply{})
		}
	})
}

// unwait takes an attempt out of those that wait for a connection.
func (p *Pool) unwait(a *Attempt) bool {
	i := slices.Index(a.node.waiting, a)
	if i >= 0 {
		a.node.waiting = slices.Delete(a.node.waiting, i, i+1)
	}
	return i >= 0
}

// wanted asks the owner whether an attempt that is about to be handed to a connection is to go out still.
func (p *Pool) wanted(a *Attempt) bool { return a.Command == nil || p.owner.AttemptWanted(a) }

// write hands an attempt to a free connection.
func (p *Pool) write(c *conn, a *Attempt) {
	a.conn, c.cur, a.handed = c, a, p.owner.Now()
	left := writeTimeout
	if a.By > 0 {
		left = min(left, a.By-a.handed)
	}
	now := time.Now()
	select {
	case c.work <- job{a, a.command(a.handed), now.Add(a.Stop - a.handed), now.Add(left)}:
	default: // it has answered what was not written yet: the order is lost, and this goroutine must not wait
		c.nc.Close()
	}
}

// dial opens connections for those that wait, within the caps.
func (p *Pool) dial(n *node) {
	for n.dialing+n.resting < len(n.waiting) && n.conns < mostPerNode {
		if p.conns >= p.cfg.MostConns && !p.closeOldestIdle() {
			p.starved = true
			return
		}
		c := &conn{node: n, addr: n.addr, frames: p.cfg.Frames, sent: p.cfg.Sent, work: make(chan job, 1), dead: make(chan struct{})}
		n.dialing++
		n.conns++
		p.conns++
		p.dials++
		p.begin(c)
	}
}

// free takes a connection that has nothing to do: for the first that waits, or to the idle ones.
func (p *Pool) free(c *conn) {
	n := c.node
	if c.down || c.addr != n.addr || n.State == logic.Gone || !c.quiet() {
		c.nc.Close()
		return
	}
	for len(n.waiting) > 0 {
		a := n.waiting[0]
		n.waiting = n.waiting[1:]
		// The list may have changed since the attempt began to wait: a drain counts from then on.
		if n.State != logic.Running || !p.wanted(a) {
			p.end(a, logic.Moot, Reply{})
			continue
		}
		p.write(c, a)
		return
	}
	c.since = p.owner.Now()
	n.idle = append(n.idle, c)
	p.feed()
}

// feed lets those dial that found all connections in use elsewhere; without it they would wait for good.
func (p *Pool) feed() {
	if !p.starved {
		return
	}
	p.starved = false
	for _, n := range p.nodes {
		p.dial(n)
	}
}

// RetireIdle closes connections that the node is about to close: a command that crossed that would be a
// reset, and may not be sent again.
func (p *Pool) RetireIdle() {
	for _, n := range p.nodes {
		for len(n.idle) > 0 && (n.State != logic.Running || n.idle[0].addr != n.addr ||
			p.owner.Now()-n.idle[0].since > p.retireAfter()) {
			p.closeIdle(n)
		}
	}
}

// retireAfter is for how long a connection may be idle and still be used.
func (p *Pool) retireAfter() time.Duration { return p.cfg.Idle * 2 / 3 }

// CloseIdle closes all idle connections to a node.
func (p *Pool) CloseIdle(id logic.ServerID) {
	n := p.nodes[id]
	for n != nil && len(n.idle) > 0 {
		p.closeIdle(n)
	}
}

// closeIdle closes the node's coldest idle connection; connDown does the books.
func (p *Pool) closeIdle(n *node) {
	n.idle[0].nc.Close()
	n.idle = n.idle[1:]
}

// closeOldestIdle makes room for a new connection.
func (p *Pool) closeOldestIdle() bool {
	var oldest *node
	for _, n := range p.nodes {
		if len(n.idle) > 0 && (oldest == nil || n.idle[0].since < oldest.idle[0].since) {
			oldest = n
		}
	}
	if oldest != nil {
		p.closeIdle(oldest)
	}
	return oldest != nil
}

// Withdraw ends an attempt that still waits for a connection, as one that was never sent: nothing goes out any more for a request that is
// over. It leaves others as they are.
func (p *Pool) Withdraw(a *Attempt) {
	if !a.ended && a.node != nil && a.conn == nil && p.unwait(a) {
		p.end(a, logic.Moot, Reply{})
	}
}

// GiveUp ends an attempt from the owner's side, as TimedOut or Cancelled. One that waits was never sent, one that is written has its outcome at
// once. Of one in between only the connection knows: it is closed, and its last event tells.
func (p *Pool) GiveUp(a *Attempt, why logic.Outcome) {
	switch {
	case a.ended || a.why != still || a.stream != nil:
	case a.conn == nil:
		p.unwait(a)
		p.end(a, logic.Moot, Reply{})
	default:
		a.why = why
		a.conn.nc.Close()
		if a.conn.whole.Load() == a {
			a.conn.cur = nil
			p.end(a, why, Reply{})
		}
		// A machine that has vanished says nothing on any connection. The idle ones are closed too, so that
		// no further request waits on them for its whole time.
		if a.node.heard <= a.handed && p.owner.Now()-a.handed >= p.cfg.ConnectTimeout {
			for len(a.node.idle) > 0 {
				p.closeIdle(a.node)
			}
		}
	}
}

func (p *Pool) connUp(ev connUp) {
	ev.c.node.dialing--
	ev.c.node.heard = p.owner.Now()
	p.free(ev.c)
}

// begun hands a value that has begun to the owner; one that nobody waits for ends its connection.
func (p *Pool) begun(ev begun) {
	c, a := ev.c, ev.c.cur
	c.node.heard = p.owner.Now()
	if a == nil || ev.to != a || a.Command == nil || a.why != still {
		ev.s.Close()
		c.nc.Close()
		return
	}
	a.stream = ev.s
	if !p.owner.AttemptBegan(a, ev.s) {
		a.why = logic.Cancelled
		ev.s.Close()
		c.nc.Close()
	}
}

func (p *Pool) replied(ev replied) {
	c, a := ev.c, ev.c.cur
	c.node.heard = p.owner.Now()
	if a == nil || ev.to != a { // nobody asked for it, or it came before its command was out: the order is lost
		c.nc.Close()
		return
	}
	c.cur = nil
	closing := a.why != still
	p.end(a, ev.outcome, ev.Reply)
	switch {
	case closing:
	case ev.keep:
		c.node.resting++
		p.owner.After(restTime, func() {
			c.node.resting--
			p.free(c)
			p.dial(c.node)
		})
	default:
		c.nc.Close()
	}
}

func (p *Pool) connDown(ev connDown) {
	n := ev.c.node
	ev.c.down = true
	n.conns--
	p.conns--
	a := ev.c.cur
	if i := slices.Index(n.idle, ev.c); i >= 0 {
		n.idle = slices.Delete(n.idle, i, i+1)
	}
	switch {
	case !ev.up:
		n.dialing--
		if len(n.waiting) > n.dialing+n.resting { // else one that was freed has taken this one's attempt
			a = n.waiting[0]
			n.waiting = n.waiting[1:]
			p.end(a, logic.NoConnect, Reply{})
		}
	case a == nil:
	case ev.c.whole.Load() != a && a.why != still:
		p.end(a, logic.Moot, Reply{})
	case ev.c.whole.Load() != a:
		p.end(a, logic.NoConnect, Reply{})
	case a.why != still:
		p.end(a, a.why, Reply{})
	default:
		p.end(a, logic.Reset, Reply{})
	}
	p.dial(n)
	p.feed()
	p.drop(n)
}

// drop forgets a node that is gone for good once nothing is out or open there: ids are ever new.
func (p *Pool) drop(n *node) {
	if n.State == logic.Gone && n.conns == 0 && len(n.waiting) == 0 && p.nodes[n.ID] == n {
		delete(p.nodes, n.ID)
	}
}
