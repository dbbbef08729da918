package core

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
	mostPerBackend = 48                     // connections to one backend
	still          = logic.Failed           // the zero outcome: an attempt that nobody has given up
	probeTimeout   = 250 * time.Millisecond // of a probe, which has no request whose time could end it
	writeTimeout   = 5 * time.Second
	answerTime     = 200 * time.Millisecond // for the rest of an answer that has begun: one that never ends is spoilt
	restTime       = 3 * time.Millisecond   // of a connection between two commands: what stands behind an answer shows
	mostLoad       = 1e9                    // a load figure beyond is none
)

// attempt is one command on its way to a backend: of a request, or a probe.
type attempt struct {
	req    *Request // nil: a probe
	n      int
	be     *backend
	began  time.Duration
	stop   time.Duration
	conn   *conn         // carries it; nil while it waits for one
	handed time.Duration // when it was given to conn
	why    logic.Outcome // given up by us: TimedOut or Cancelled; else still
	ended  bool
}

// command is what an attempt writes: the client's own, with the time that is left for it, or a probe.
func (a *attempt) command(now time.Duration) []byte {
	if a.req == nil {
		return redcon.AppendBulkString(redcon.AppendBulkString(redcon.AppendArray(nil, 2), "INFO"), "load")
	}
	return a.req.Command.Encode(a.stop - now)
}

// backend is what the core's goroutine keeps of a server: its entry, its connections, and the attempts
// that wait for one. A connection carries one attempt at a time, so that giving one up hurts no other.
type backend struct {
	logic.Server
	addr    string
	idle    []*conn // the last is the warmest
	waiting []*attempt
	dialing int
	resting int
	conns   int           // all: dialing, idle and busy
	heard   time.Duration // last time that it answered or took a connection
}

// conn is a connection to a backend, owned by its goroutine run; cur, since and down are the gateway's.
type conn struct {
	be      *backend
	addr    string
	nc      net.Conn // set before connUp is posted
	raw     syscall.RawConn
	frames  *resp.Budget
	work    chan job
	dead    chan struct{}
	writing sync.Mutex              // held from before a command's first byte until whole tells of it
	whole   atomic.Pointer[attempt] // the last one that was written to its last byte: it may have run
	cur     *attempt
	since   time.Duration // idle since
	down    bool
}

type job struct {
	a   *attempt
	buf []byte
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
		to *attempt // what had been written when it came; nil: nothing
		reply
	}
)

// reply is a backend's answer, taken apart.
type reply struct {
	outcome logic.Outcome
	value   []byte
	load    logic.Load
	keep    bool // it is of a known form and nothing stands behind it: the connection is in order
}

// run dials, then reads answers until the connection ends; it posts connDown last.
func (c *conn) run(ctx context.Context, timeout time.Duration, post func(event)) {
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
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	defer stop()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write()
	}()
	post(connUp{c})
	c.read(post)
	nc.Close()
	close(c.dead)
	<-written
	post(connDown{c: c, up: true})
}

// read posts answers until the connection ends or is of no further use: bytes behind an answer may be a second copy of
// it, which must never be taken for the answer to the next command.
func (c *conn) read(post func(event)) {
	in := resp.Inbox{Budget: c.frames}
	defer in.Close()
	limited := false
	for {
		f, err := in.Next()
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
			c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
			c.writing.Lock()
			n, err := c.nc.Write(j.buf)
			if n == len(j.buf) {
				c.whole.Store(j.a)
			}
			c.writing.Unlock()
			if err != nil {
				c.nc.Close()
				return
			}
		}
	}
}

// parseReply reads a whole frame from a backend. Whatever is not of a known form has failed and may have run, and
// the connection that brought it is not trusted any further.
func parseReply(f []byte) reply {
	_, r := redcon.ReadNextRESP(f)
	out := reply{outcome: logic.Failed}
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
		out.load = parseLoad(rest)
	case redcon.String:
		if string(r.Data) == "PONG" {
			out.outcome, out.keep = logic.Done, true
		}
	case redcon.Bulk:
		if r.Data != nil {
			out.outcome, out.keep, out.load = logic.Done, true, parseLoad(string(r.Data))
		}
	case redcon.Array: // the value, the figures on use, the load report: the latter may be unreadable
		if r.Count != 3 {
			break
		}
		i := 0
		r.ForEach(func(e redcon.RESP) bool {
			switch {
			case i == 0 && e.Type == redcon.Bulk && e.Data != nil:
				out.outcome, out.keep, out.value = logic.Done, true, append(make([]byte, 0, len(e.Data)), e.Data...)
			case i == 2 && e.Type == redcon.Bulk:
				out.load = parseLoad(string(e.Data))
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

// --- the pool: everything below runs on the core's goroutine ---

// place gives an attempt the warmest idle connection, or lets it wait for one.
func (g *Core) place(a *attempt) {
	be := a.be
	for n := len(be.idle); n > 0; n = len(be.idle) {
		c := be.idle[n-1]
		be.idle = be.idle[:n-1]
		if c.quiet() {
			g.write(c, a)
			return
		}
		c.nc.Close()
	}
	be.waiting = append(be.waiting, a)
	g.dial(be)
	// Whoever waits, for a dial or for one of the connections that are all busy, waits no longer than a dial
	// may take: the module counts on a send being written at about its time.
	g.after(g.net.ConnectTimeout, func() {
		if g.unwait(a) {
			g.end(a, logic.NoConnect, reply{})
		}
	})
}

// unwait takes an attempt out of those that wait for a connection.
func (g *Core) unwait(a *attempt) bool {
	i := slices.Index(a.be.waiting, a)
	if i >= 0 {
		a.be.waiting = slices.Delete(a.be.waiting, i, i+1)
	}
	return i >= 0
}

// write hands an attempt to a free connection.
func (g *Core) write(c *conn, a *attempt) {
	a.conn, c.cur, a.handed = c, a, g.now
	select {
	case c.work <- job{a, a.command(g.now)}:
	default: // it has answered what was not written yet: the order is lost, and this goroutine must not wait
		c.nc.Close()
	}
}

// dial opens connections for those that wait, within the caps.
func (g *Core) dial(be *backend) {
	for be.dialing+be.resting < len(be.waiting) && be.conns < mostPerBackend {
		if g.conns >= g.mostConns && !g.closeOldestIdle() {
			g.starved = true
			return
		}
		c := &conn{be: be, addr: be.addr, frames: g.frames, work: make(chan job, 1), dead: make(chan struct{})}
		be.dialing++
		be.conns++
		g.conns++
		g.spawn(func(ctx context.Context) { c.run(ctx, g.net.ConnectTimeout, g.post) })
	}
}

// free takes a connection that has nothing to do: for the first that waits, or to the idle ones.
func (g *Core) free(c *conn) {
	be := c.be
	if c.down || c.addr != be.addr || be.State == logic.Gone || !c.quiet() {
		c.nc.Close()
		return
	}
	for len(be.waiting) > 0 {
		a := be.waiting[0]
		be.waiting = be.waiting[1:]
		// The list may have changed since the attempt began to wait: a drain counts from then on.
		if be.State != logic.Running {
			g.end(a, logic.Moot, reply{})
			continue
		}
		g.write(c, a)
		return
	}
	c.since = g.now
	be.idle = append(be.idle, c)
	g.feed()
}

// feed lets those dial that found all connections in use elsewhere; without it they would wait for good.
func (g *Core) feed() {
	if !g.starved {
		return
	}
	g.starved = false
	for _, be := range g.backends {
		g.dial(be)
	}
}

// retireIdle closes connections that the backend is about to close: a command that crossed that would be a
// reset, and may not be sent again.
func (g *Core) retireIdle() {
	for _, be := range g.backends {
		for len(be.idle) > 0 && (be.State != logic.Running || be.idle[0].addr != be.addr ||
			g.now-be.idle[0].since > g.net.Idle*2/3) {
			g.closeIdle(be)
		}
	}
}

// closeIdle closes the backend's coldest idle connection; connDown does the books.
func (g *Core) closeIdle(be *backend) {
	be.idle[0].nc.Close()
	be.idle = be.idle[1:]
}

// closeOldestIdle makes room for a new connection.
func (g *Core) closeOldestIdle() bool {
	var oldest *backend
	for _, be := range g.backends {
		if len(be.idle) > 0 && (oldest == nil || be.idle[0].since < oldest.idle[0].since) {
			oldest = be
		}
	}
	if oldest != nil {
		g.closeIdle(oldest)
	}
	return oldest != nil
}

// giveUp ends an attempt from our side. One that waits was never sent, one that is written has its outcome at
// once. Of one in between only the connection knows: it is closed, and its last event tells.
func (g *Core) giveUp(a *attempt, why logic.Outcome) {
	switch {
	case a.ended || a.why != still:
	case a.conn == nil:
		g.unwait(a)
		g.end(a, logic.Moot, reply{})
	default:
		a.why = why
		a.conn.nc.Close()
		if a.conn.whole.Load() == a {
			a.conn.cur = nil
			g.end(a, why, reply{})
		}
		// A machine that has vanished says nothing on any connection. The idle ones are closed too, so that
		// no further request waits on them for its whole time.
		if a.be.heard <= a.handed && g.now-a.handed >= g.net.ConnectTimeout {
			for len(a.be.idle) > 0 {
				g.closeIdle(a.be)
			}
		}
	}
}

func (g *Core) connUp(ev connUp) {
	ev.c.be.dialing--
	ev.c.be.heard = g.now
	g.free(ev.c)
}

func (g *Core) replied(ev replied) {
	c, a := ev.c, ev.c.cur
	c.be.heard = g.now
	if a == nil || ev.to != a { // nobody asked for it, or it came before its command was out: the order is lost
		c.nc.Close()
		return
	}
	c.cur = nil
	closing := a.why != still
	g.end(a, ev.outcome, ev.reply)
	switch {
	case closing:
	case ev.keep:
		c.be.resting++
		g.after(restTime, func() {
			c.be.resting--
			g.free(c)
			g.dial(c.be)
		})
	default:
		c.nc.Close()
	}
}

func (g *Core) connDown(ev connDown) {
	be := ev.c.be
	ev.c.down = true
	be.conns--
	g.conns--
	a := ev.c.cur
	if i := slices.Index(be.idle, ev.c); i >= 0 {
		be.idle = slices.Delete(be.idle, i, i+1)
	}
	switch {
	case !ev.up:
		be.dialing--
		if len(be.waiting) > be.dialing+be.resting { // else one that was freed has taken this one's attempt
			a = be.waiting[0]
			be.waiting = be.waiting[1:]
			g.end(a, logic.NoConnect, reply{})
		}
	case a == nil:
	case ev.c.whole.Load() != a && a.why != still:
		g.end(a, logic.Moot, reply{})
	case ev.c.whole.Load() != a:
		g.end(a, logic.NoConnect, reply{})
	case a.why != still:
		g.end(a, a.why, reply{})
	default:
		g.end(a, logic.Reset, reply{})
	}
	g.dial(be)
	g.feed()
	g.drop(be)
}

// drop forgets a backend that is gone for good once nothing is out or open there: ids are ever new.
func (g *Core) drop(be *backend) {
	if be.State == logic.Gone && be.conns == 0 && len(be.waiting) == 0 && g.backends[be.ID] == be {
		delete(g.backends, be.ID)
	}
}
