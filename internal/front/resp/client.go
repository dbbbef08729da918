// Package resp is the front for the platform's clients: commands in RESP2 in, answers out in their order, within bounds.
package resp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"

	"hitchspring/internal/core"
	"hitchspring/internal/nodes"
	"hitchspring/internal/resp"
	"hitchspring/internal/socket"
	"hitchspring/logic"
)

const (
	mostPipelined = 64                      // commands of one connection whose answers are not written yet
	firstCommand  = 2400 * time.Millisecond // from connecting to the end of the first command, and for some more of one that has begun
	wholeCommand  = 10 * time.Second        // from the first byte of a command to its last
	leastProgress = 256                     // bytes, for some more
	idleTime      = 2100 * time.Millisecond // a connection without an open request is closed then
	tidyEvery     = 250 * time.Millisecond
	leaveTidy     = 50 * time.Millisecond  // the same of a front that leaves
	leaveOpen     = 600 * time.Millisecond // of leaving: new connections still come; then those without an open request are closed
	leaveTake     = 700 * time.Millisecond // of leaving for good: what comes later on a connection that is still open is refused at once
	writeStall    = 10 * time.Second       // for a client to take some of what it is owed
	relaySize     = 8 << 10                // piece of a value that is passed on
	mostKey       = 256
	slotPause     = 5 * time.Millisecond // before a further connection is closed for want of a place
	newcomer      = 50 * time.Millisecond
	lingerTime    = 250 * time.Millisecond // for the client to see our end of a connection
	lingerBytes   = 256 << 10
	lostBytes     = 4 << 20               // that are thrown away behind nonsense, while answers before it are owed
	lingerLook    = 25 * time.Millisecond // between two looks whether it has seen it
	aheadLook     = 50 * time.Millisecond // between two looks whether a client has left that can ask no more
	aheadBytes    = 64 << 10              // that are read of what it says meanwhile
	faultPause    = 50 * time.Millisecond // before the answer to nonsense, longer each time
	mostFaults    = 10                    // pieces of nonsense before a connection ends
)

// command is a request as it came, to be passed on to a node.
type command struct {
	args  [][]byte // name, customer, id, fields, body
	dFrom int      // where the value of d stands in the fields
	dTo   int
}

// Encode is the client's own command, with the time that is left for it.
func (c *command) Encode(left time.Duration) []byte {
	b := redcon.AppendArray(make([]byte, 0, 192+len(c.args[len(c.args)-1])), len(c.args))
	for i, arg := range c.args {
		if i == 3 {
			fields := append(make([]byte, 0, len(arg)+8), arg[:c.dFrom]...)
			fields = strconv.AppendInt(fields, max(1, left.Milliseconds()), 10)
			arg = append(fields, arg[c.dTo:]...)
		}
		b = redcon.AppendBulk(b, arg)
	}
	return b
}

// Core is what the front needs of the core.
type Core interface {
	Submit(*core.Request)
	Abandon([]*core.Request)
	Class(name string) (logic.Class, bool)
	Plan(name string) bool
	Gateways() int
	MostUnits() float64
	GiveUpAt(c logic.Class, at time.Time, d time.Duration) time.Duration
}

// Front is the server side: it accepts clients on one address.
type Front struct {
	ln         net.Listener
	core       Core
	slots      chan struct{} // one for each connection that may be open
	frames     *resp.Budget  // memory of commands that are coming in
	unsent     atomic.Int64
	mostUnsent int64 // bytes of answers that clients have not read, all together
	mu         sync.Mutex
	clients    map[*client]bool
	draining   bool           // the listener is closed for good
	ending     atomic.Bool    // and the process is about to end
	leaving    atomic.Int64   // since when, in nanoseconds of Unix time; 0: it serves
	turned     chan struct{}  // room for one: leaving or unused has changed
	unused     atomic.Int64   // places that are to be left to another process
	balancing  sync.Mutex     // of ballast
	ballast    int            // those of them that nobody can take any more
	wg         sync.WaitGroup // of clients
	stop       context.CancelFunc
	own        sync.WaitGroup // of the goroutines that accept and tidy
}

// client is one connection: a goroutine that reads, one that writes. Answers go out in the order of commands.
type client struct {
	f       *Front
	nc      net.Conn
	room    chan struct{} // taken by each command until its answer is written
	wake    chan struct{}
	written chan struct{} // closed when nothing is written any more
	faults  atomic.Int32  // pieces of nonsense that came
	mu      sync.Mutex
	waiting []*slot // commands whose answers are not in out yet
	out     []byte
	ready   int         // answers in out
	unsent  int         // bytes of answers that are not written
	used    time.Time   // when it was opened, the last command came or the last answer left
	spoken  bool        // a whole command has come
	partial atomic.Bool // a command has begun and not ended
	closing bool        // it will end when nothing waits for an answer
	asked   bool        // the reader is asked to end it, if nothing has come that it has not taken
	until   time.Time   // when reading is to stop, if it is not asked
	deaf    bool        // the reader takes nothing any more
	ended   bool        // it has: nothing is taken any more
	gone    bool        // it is over: no answer is kept any more

	in     resp.Inbox // the reader's alone
	hungUp bool       // the client has left while the reader could take no more; the reader's alone
}

// slot keeps the place of one command's answer.
type slot struct {
	c     *client
	reply []byte        // nil until answered; of a value that is passed on: its head
	value *nodes.Stream // that value; nil: reply is all
	req   *core.Request
}

// New returns a front on ln for at most so many connections, and so many bytes each of commands that come in and of
// answers that are unread. It does not serve yet.
func New(ln net.Listener, c Core, most, memory int) *Front {
	return &Front{ln: ln, core: c, slots: make(chan struct{}, most), frames: resp.NewBudget(memory),
		mostUnsent: int64(memory), clients: map[*client]bool{}, turned: make(chan struct{}, 1)}
}

// Start serves until Drain.
func (f *Front) Start() {
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	f.own.Go(f.accept)
	f.own.Go(func() { f.tidy(ctx) })
}

// Leave begins to let the clients go, once: PING says no, each connection is closed after its next answer, after 0.6 s also
// those without an open request. New ones are served in the same way. The listener stays.
func (f *Front) Leave() {
	if f.leaving.CompareAndSwap(0, time.Now().UnixNano()) {
		f.turn()
	}
}

// Return ends what Leave has begun; a connection that is about to be closed is closed all the same.
func (f *Front) Return() {
	f.leaving.Store(0)
	f.turn()
}

// SetMost changes how many connections there may be, up to what New was told; where there are more, the idlest are closed.
func (f *Front) SetMost(n int) {
	f.unused.Store(int64(max(0, cap(f.slots)-n)))
	f.turn()
}

// Most is how many connections there may be at the most, as New was told.
func (f *Front) Most() int { return cap(f.slots) }

// Open is how many connections there are.
func (f *Front) Open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.clients)
}

// balance takes and gives back the places that are to stay free, and says whether that is done; nobody is accepted before.
func (f *Front) balance(now time.Time) bool {
	f.balancing.Lock()
	defer f.balancing.Unlock()
	for want := int(f.unused.Load()); f.ballast != want; {
		if f.ballast > want {
			<-f.slots
			f.ballast--
			continue
		}
		select {
		case f.slots <- struct{}{}:
			f.ballast++
		default: // a later look finds the places of those that are closed now
			for range want - f.ballast - f.closing() {
				f.closeIdlest(now)
			}
			return false
		}
	}
	return true
}

// closing is how many connections are about to end.
func (f *Front) closing() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.clients {
		c.mu.Lock()
		if c.closing {
			n++
		}
		c.mu.Unlock()
	}
	return n
}

// Leaving reports whether Leave holds.
func (f *Front) Leaving() bool { return f.leaving.Load() != 0 }

// left is for how long the front has been leaving; below 0 where it is not.
func (f *Front) left() time.Duration {
	if since := f.leaving.Load(); since != 0 {
		return time.Duration(time.Now().UnixNano() - since)
	}
	return -1
}

func (f *Front) turn() {
	select {
	case f.turned <- struct{}{}:
	default:
	}
}

// accept takes connections until the listener closes.
func (f *Front) accept() {
	for {
		f.takeSlot()
		nc, err := f.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, say: a pause, then on
			<-f.slots
			time.Sleep(5 * time.Millisecond)
			continue
		}
		c := newClient(f, nc)
		f.mu.Lock()
		f.clients[c] = true
		f.wg.Add(1)
		closing := f.draining
		f.mu.Unlock()
		if closing {
			c.close()
		}
		go c.serve()
	}
}

func newClient(f *Front, nc net.Conn) *client {
	return &client{f: f, nc: nc, room: make(chan struct{}, mostPipelined), wake: make(chan struct{}, 1),
		written: make(chan struct{}), used: time.Now()}
}

// takeSlot waits for the place of a further connection. Clients keep idle ones for good and hundreds may say nothing at
// all, so where all places are taken one of these is closed.
func (f *Front) takeSlot() {
	for {
		if !f.balance(time.Now()) {
			time.Sleep(slotPause)
			continue
		}
		select {
		case f.slots <- struct{}{}:
			return
		default:
		}
		f.closeIdlest(time.Now())
		select {
		case f.slots <- struct{}{}:
			return
		case <-time.After(slotPause):
		}
	}
}

// closeIdlest closes the oldest connection that has said nothing yet, or else the one that has been between requests
// for the longest.
func (f *Front) closeIdlest(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var idlest *client
	var since time.Time
	var spoken bool
	for c := range f.clients {
		c.mu.Lock()
		free := !c.closing && len(c.waiting) == 0 && (c.spoken || now.Sub(c.used) > newcomer) &&
			!(c.partial.Load() && now.Sub(c.used) < firstCommand)
		if free && (idlest == nil || spoken && !c.spoken || spoken == c.spoken && c.used.Before(since)) {
			idlest, since, spoken = c, c.used, c.spoken
		}
		c.mu.Unlock()
	}
	if idlest != nil {
		idlest.close()
	}
}

// tidy closes, until ctx ends, the connections that have been without an open request for too long: every one of them
// keeps memory and a descriptor, and some clients ask once and stay for good, or never ask.
func (f *Front) tidy(ctx context.Context) {
	tick := time.NewTicker(tidyEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.turned:
			f.balance(time.Now())
			if f.Leaving() || f.unused.Load() > 0 {
				tick.Reset(leaveTidy)
			} else {
				tick.Reset(tidyEvery)
			}
		case now := <-tick.C:
			left := f.left()
			f.balance(now)
			f.mu.Lock()
			for c := range f.clients {
				c.mu.Lock()
				idle := now.Sub(c.used)
				// A command that has begun has a time limit of its own, by its reader.
				over := len(c.waiting) == 0 && !c.partial.Load() && (c.spoken && idle > idleTime || !c.spoken && idle > firstCommand-tidyEvery)
				over = over || left > leaveOpen && (c.spoken || idle > leaveOpen) || left > leaveTake
				c.mu.Unlock()
				if over {
					c.close()
				}
			}
			f.mu.Unlock()
		}
	}
}

// closeFullest closes the connection of the slowest reader.
func (f *Front) closeFullest() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var fullest *client
	most := 0
	for c := range f.clients {
		c.mu.Lock()
		if c.unsent > most {
			fullest, most = c, c.unsent
		}
		c.mu.Unlock()
	}
	if fullest != nil {
		fullest.nc.Close()
	}
}

// Close closes the listener: this process's use of it, where others have it too.
func (f *Front) Close() { f.ln.Close() }

// Drain closes the listener, and every connection as soon as nothing on it waits for an answer; where ctx ends first, at
// once. What comes later than 0.7 s after Leave on a connection that is still open, because an answer is owed on it, is refused at once: it was
// taken by being written. It returns when all have ended.
func (f *Front) Drain(ctx context.Context) {
	f.ln.Close()
	defer func() {
		f.stop()
		f.own.Wait()
	}()
	f.ending.Store(true)
	f.mu.Lock()
	f.draining = true
	for c := range f.clients {
		c.close()
	}
	f.mu.Unlock()
	done := make(chan struct{})
	go func() {
		f.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		f.mu.Lock()
		for c := range f.clients {
			c.nc.Close()
		}
		f.mu.Unlock()
		<-done
	}
}

// serve runs a connection to its end.
func (c *client) serve() {
	defer c.f.wg.Done()
	done := make(chan struct{})
	go func() {
		defer close(c.written)
		c.write(done)
	}()
	switch c.read() {
	case lost:
		// What came before is answered, then the fault, then the connection ends. Little more is read until then, for its end: a flood
		// costs its sender's time only.
		c.mu.Lock()
		c.deaf = true
		c.mu.Unlock()
		c.close()
		if c.await() {
			c.nc.SetReadDeadline(time.Now().Add(lingerTime))
			socket.CloseWrite(c.nc)
			io.CopyN(io.Discard, c.nc, lingerBytes)
		}
	case over:
		c.linger()
	}
	c.nc.Close()
	close(done)
	c.unpass()
	<-c.written
	c.mu.Lock()
	var left []*core.Request
	for _, s := range c.waiting {
		if s.reply == nil {
			left = append(left, s.req)
		}
	}
	c.gone = true
	c.f.unsent.Add(-int64(c.unsent))
	c.mu.Unlock()
	c.unpass() // that came meanwhile
	if len(left) > 0 {
		c.f.core.Abandon(left)
	}
	c.f.mu.Lock()
	delete(c.f.clients, c)
	c.f.mu.Unlock()
	<-c.f.slots
}

// unpass ends the attempts whose values are passed on: the client has gone.
func (c *client) unpass() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.waiting {
		if s != nil && s.value != nil {
			s.value.Close()
		}
	}
}

// close asks for the end of the connection at the next moment between requests.
func (c *client) close() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.signal()
}

func (c *client) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// end says how reading came to its end.
type end uint8

const (
	left end = iota // the client has left, or the connection is broken
	lost            // the framing is lost, or the client's patience with nonsense ours
	over            // by us, between two requests: the last answer is on its way
)

// read takes commands until the connection ends.
func (c *client) read() end {
	in := &c.in
	in.Budget, in.Most = c.f.frames, resp.MaxLarge
	defer in.Close()
	paused := int32(0)
	var began time.Time // of a command that has not ended; since then c.partial holds
	cameBy := 0         // how much of it, by the last look at its progress
	for {
		f, err := in.Next()
		switch {
		case f != nil:
			began, cameBy = time.Time{}, 0
			c.take(f, time.Now())
			if n := c.faults.Load(); c.hungUp {
				return left
			} else if n >= mostFaults {
				return lost
			} else if n > paused { // of a fault that the gateway found
				paused = c.pause()
			}
			continue
		case err == nil:
			// Only the rest of a command has a time limit; setting one for each read would cost CPU.
			if partial := in.Partial(); !partial && c.partial.Load() {
				c.limit(time.Time{})
				c.partial.Store(false)
			} else if partial && (began.IsZero() || in.Came()-cameBy >= leastProgress) {
				now := time.Now()
				if began.IsZero() {
					began = now
				}
				cameBy = in.Came()
				c.partial.Store(true)
				c.limit(earlier(now.Add(firstCommand), began.Add(wholeCommand)))
			}
			if err = in.Fill(c.nc.Read); errors.Is(err, os.ErrDeadlineExceeded) {
				if asked, ended := c.over(); ended {
					return over
				} else if asked {
					continue
				}
			}
		}
		if errors.Is(err, resp.ErrMemory) { // no room for a large body now: it is read past, if its end is known
			var skipped bool
			c.nc.SetReadDeadline(time.Now().Add(wholeCommand))
			if skipped, err = in.Skip(c.nc.Read); skipped {
				c.reply(refusal(core.Answer{RetryAfter: core.FullRetry}))
				continue
			} else if err == nil {
				err = resp.ErrMemory
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, resp.ErrFraming) || errors.Is(err, resp.ErrTooLong) || errors.Is(err, resp.ErrMemory):
			c.fault(err.Error())
			return lost
		case errors.Is(err, os.ErrDeadlineExceeded) && c.partial.Load():
			c.fault("the command does not end")
			return lost
		default:
			return left
		}
	}
}

// limit sets when reading is to stop, unless the reader is asked to look up at once.
func (c *client) limit(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.until = t; !c.asked {
		c.nc.SetReadDeadline(t)
	}
}

// askEnd asks the reader to end the connection, if nothing has come; c.mu is held. The reader alone can tell: what it has read and not
// taken yet, and what lies in the kernel, was written before the end of the connection and is owed an answer.
func (c *client) askEnd() {
	c.asked = true
	c.nc.SetReadDeadline(time.Unix(1, 0))
}

// look takes a question for the end back, and says whether there was one; c.mu is held.
func (c *client) look() bool {
	if !c.asked {
		return false
	}
	c.asked = false
	c.nc.SetReadDeadline(c.until)
	return true
}

// over says whether the reader was asked to end the connection, and whether that is done: nothing waits for an answer, and nothing has
// come. From then on nothing is read or taken any more. Where it isn't, the next answer asks again.
func (c *client) over() (asked, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.look() {
		return false, false
	}
	if came, gone := socket.Peek(c.nc); len(c.waiting) > 0 || c.in.Partial() || came || gone {
		return true, false
	}
	c.ended = true
	c.signal()
	return true, true
}

// linger ends the connection so that no answer is lost to a reset: our end is told first, then there is some time for the client's. What
// crosses our end is not read: the client sends it again elsewhere.
func (c *client) linger() {
	<-c.written
	socket.CloseWrite(c.nc)
	for until := time.Now().Add(lingerTime); time.Now().Before(until); time.Sleep(lingerLook) {
		if _, gone := socket.Peek(c.nc); gone {
			return
		}
	}
}

// await waits for the last answer, and throws away a bounded part of what comes meanwhile, so that a client's leaving shows: false.
func (c *client) await() (written bool) {
	b := make([]byte, relaySize)
	for n := 0; ; {
		select {
		case <-c.written:
			return true
		default:
		}
		if n < lostBytes {
			c.nc.SetReadDeadline(time.Now().Add(aheadLook))
			k, err := c.nc.Read(b)
			n += k
			if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				return false
			}
			continue
		}
		if socket.HungUp(c.nc) {
			return false
		}
		wait(c.written, aheadLook)
	}
}

// stall lets the reader wait until done says so, which looks for so long (0: at once), and notices meanwhile when the client leaves: for
// what that has asked must not go out any more. It reads a bounded part of what comes next.
func (c *client) stall(done func(time.Duration) bool) {
	if done(0) {
		return
	}
	defer c.limit(time.Time{})
	for ahead := true; !done(0); {
		c.mu.Lock()
		c.look() // what is in hand comes first
		c.mu.Unlock()
		if ahead = ahead && c.in.Came() < aheadBytes; !ahead {
			if done(aheadLook) {
				return
			}
			if c.hungUp = socket.HungUp(c.nc); c.hungUp {
				return
			}
			continue
		}
		c.limit(time.Now().Add(aheadLook))
		switch err := c.in.Fill(c.nc.Read); {
		case err == nil || errors.Is(err, os.ErrDeadlineExceeded):
		case errors.Is(err, resp.ErrMemory) || errors.Is(err, resp.ErrTooLong):
			ahead = false
		default:
			c.hungUp = true
			return
		}
	}
}

// wait waits until a channel closes, for so long at the most; it says whether that has closed.
func wait(closed <-chan struct{}, most time.Duration) bool {
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-closed:
		return true
	case <-t.C:
		return false
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// fault answers nonsense, after a pause: a client that repeats it as soon as it has been turned away takes no CPU from
// the others.
func (c *client) fault(text string) {
	c.faults.Add(1)
	c.pause()
	c.reply(redcon.AppendError(nil, "ERR "+text))
}

// pause waits, longer with each fault, and returns their number.
func (c *client) pause() int32 {
	n := c.faults.Load()
	end := time.Now().Add(time.Duration(n) * faultPause)
	c.stall(func(most time.Duration) bool {
		return wait(c.written, min(most, time.Until(end))) || !time.Now().Before(end)
	})
	return n
}

// take takes one whole command.
func (c *client) take(f []byte, at time.Time) {
	whole, args, _, _, err := redcon.ReadNextCommand(f, nil)
	if err != nil || !whole || len(args) == 0 {
		c.fault("a command is an array of bulk strings")
		return
	}
	switch string(args[0]) {
	case "PING":
		if c.f.Leaving() {
			c.reply(redcon.AppendError(nil, "ERR draining"))
		} else {
			c.reply(redcon.AppendString(nil, "PONG"))
		}
	case "Q.ASK", "Q.DO":
		r, err := c.f.parse(args, at)
		if err != nil {
			c.fault(err.Error())
			return
		}
		if c.f.ending.Load() && c.f.left() > leaveTake { // something else is owed on this connection
			c.reply(refusal(core.Answer{RetryAfter: core.FullRetry}))
			return
		}
		if s := c.open(r); s != nil {
			r.Place = s
			c.f.core.Submit(r)
		}
	default:
		c.fault("unknown command")
	}
}

// open keeps a place for an answer; nil when the connection takes no more.
func (c *client) open(r *core.Request) *slot {
	if !c.enter() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		<-c.room
		return nil
	}
	s := &slot{c: c, req: r}
	c.used, c.spoken = time.Now(), true
	c.waiting = append(c.waiting, s)
	return s
}

// enter waits for room for a further command; false when the connection ends first. Room comes as answers are written, and each
// request has a time limit.
func (c *client) enter() (entered bool) {
	over := false
	c.stall(func(most time.Duration) bool {
		select {
		case c.room <- struct{}{}:
			entered = true
		case <-c.written:
			over = true
		default:
			if most > 0 {
				t := time.NewTimer(most)
				defer t.Stop()
				select {
				case c.room <- struct{}{}:
					entered = true
				case <-c.written:
					over = true
				case <-t.C:
				}
			}
		}
		return entered || over
	})
	return entered
}

// reply answers a command without the gateway.
func (c *client) reply(b []byte) {
	if s := c.open(nil); s != nil {
		s.answer(b)
	}
}

// Answer words the final answer of a request.
func (s *slot) Answer(a core.Answer) {
	switch a.Kind {
	case core.Served:
		if v := a.Stream; v != nil {
			s.pass(v)
			return
		}
		s.answer(redcon.AppendBulk(make([]byte, 0, len(a.Value)+16), a.Value))
	case core.Refused:
		b := refusal(a)
		s.answer(b)
	case core.Repeated:
		s.c.faults.Add(1)
		s.answer([]byte("-ERR a request of this id is being served\r\n"))
	default:
		s.answer([]byte("-ERR failed\r\n"))
	}
}

// Gone reports whether the client has closed its connection, whether or not the reader has come to that: the command and the end of the
// connection may have come together, and the reader may be held up. It asks the kernel and never waits.
func (s *slot) Gone() bool { return socket.HungUp(s.c.nc) }

// answer fills the slot and never blocks. Clients that leave their answers unread lose their connections before they
// can fill the memory.
func (s *slot) answer(b []byte) {
	c := s.c
	c.mu.Lock()
	if c.gone {
		c.mu.Unlock()
		return
	}
	s.reply = b
	c.unsent += len(b)
	c.f.unsent.Add(int64(len(b)))
	c.collect()
	c.used = time.Now()
	c.mu.Unlock()
	if c.f.unsent.Load() > c.f.mostUnsent {
		c.f.closeFullest()
	}
	c.signal()
}

// refusal words a refusal, with when to come back.
func refusal(a core.Answer) []byte {
	if a.RetryAfter <= 0 {
		return []byte("-BUSY\r\n")
	}
	return append(strconv.AppendInt([]byte("-BUSY "), max(1, a.RetryAfter.Milliseconds()), 10), '\r', '\n')
}

// pass fills the slot with a value that is passed on as it comes. The goroutine that writes reads it when its turn has come.
func (s *slot) pass(v *nodes.Stream) {
	c := s.c
	c.mu.Lock()
	if c.gone {
		c.mu.Unlock()
		v.Close()
		return
	}
	s.value = v
	s.reply = append(strconv.AppendInt([]byte{'$'}, int64(v.Size), 10), '\r', '\n')
	c.used = time.Now()
	c.mu.Unlock()
	c.signal()
}

// collect moves the answers that are due to out, up to one that is passed on; c.mu is held.
func (c *client) collect() {
	for len(c.waiting) > 0 && c.waiting[0].reply != nil && c.waiting[0].value == nil {
		c.out = append(c.out, c.waiting[0].reply...)
		c.ready++
		c.waiting[0] = nil
		c.waiting = c.waiting[1:]
	}
}

// relay writes a value as it comes, in the place of its slot, which is the first that waits. A value that breaks off ends the
// connection, so that the client sees that it is cut.
func (c *client) relay(s *slot) error {
	defer s.value.Close()
	if err := c.send(s.reply); err != nil {
		return err
	}
	buf := make([]byte, relaySize)
	for {
		n, err := s.value.Read(buf)
		if n > 0 {
			if err := c.send(buf[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
	}
	if err := c.send([]byte("\r\n")); err != nil {
		return err
	}
	c.mu.Lock()
	c.waiting[0] = nil
	c.waiting = c.waiting[1:]
	c.collect()
	c.used = time.Now()
	c.mu.Unlock()
	<-c.room
	return nil
}

// send writes all of b. The client's time-out is for want of progress: one that reads slowly gets it all. Where nothing more can be written,
// what the client has taken of what was shows that it reads: the kernel lets more be written only when a third of its buffer is free.
func (c *client) send(b []byte) error {
	owed := socket.Unknown // what the client had not taken when half of its time had passed
	for len(b) > 0 {
		c.nc.SetWriteDeadline(time.Now().Add(writeStall / 2))
		n, err := c.nc.Write(b)
		b = b[n:]
		switch {
		case n > 0 && (err == nil || errors.Is(err, os.ErrDeadlineExceeded)):
			owed = socket.Unknown
		case err == nil:
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return err
		default:
			now := socket.Unsent(c.nc)
			if owed != socket.Unknown && (now >= owed || now == socket.Unknown) {
				return err
			}
			if owed = now; now == socket.Unknown { // nobody can tell: the other half of its time, and no more
				owed = 0
			}
		}
	}
	return nil
}

// write sends answers as they come due, and ends the connection between requests once it is closing.
func (c *client) write(done <-chan struct{}) {
	var buf []byte
	for {
		select {
		case <-done:
			return
		case <-c.wake:
		}
		c.mu.Lock()
		buf, c.out = c.out, buf[:0]
		ready := c.ready
		c.ready = 0
		var passes *slot
		if len(c.waiting) > 0 && c.waiting[0].value != nil {
			passes = c.waiting[0]
		}
		ends := (c.closing || ready > 0 && c.f.Leaving()) && len(c.waiting) == 0
		c.ended = c.ended || ends && c.deaf
		last := c.ended
		c.mu.Unlock()
		if len(buf) > 0 {
			err := c.send(buf)
			c.mu.Lock()
			c.unsent -= len(buf)
			c.mu.Unlock()
			c.f.unsent.Add(-int64(len(buf)))
			if err != nil {
				c.nc.Close()
				return
			}
			for range ready {
				<-c.room
			}
		}
		if passes != nil {
			if c.relay(passes) != nil {
				c.nc.Close()
				return
			}
			c.signal() // for what came due behind it
		}
		if cap(buf) > resp.SmallBuffer {
			buf = nil
		}
		if last {
			return
		}
		if ends && !c.partial.Load() { // the rest of a command comes first, or its time runs out
			c.mu.Lock()
			c.askEnd()
			c.mu.Unlock()
		}
	}
}

// parse checks a request; it goes on only if a backend would take it.
func (f *Front) parse(args [][]byte, at time.Time) (*core.Request, error) {
	do := string(args[0]) == "Q.DO"
	if len(args) < 4 || len(args) > 5 {
		return nil, fmt.Errorf("%s wants a customer, an id, fields and at most a body", args[0])
	}
	customer, err := hex16(args[1])
	if err != nil || customer >= 1<<33 {
		return nil, errors.New("the customer is not 16 hex digits below 2^33")
	}
	r, cmd := &core.Request{}, &command{}
	if r.Key, err = hex16(args[2]); err != nil {
		return nil, errors.New("the id is not 16 hex digits")
	}
	fields := string(args[3])
	r.Customer = strings.ToLower(string(args[1])) // one number, one customer
	var d, spread, first uint64
	var key string
	seen := map[string]bool{}
	for from := 0; from <= len(fields); {
		part, _, _ := strings.Cut(fields[from:], ",")
		name, v, ok := strings.Cut(part, "=")
		if !ok || name == "" || seen[name] {
			return nil, errors.New("the fields are not a list of different names and values")
		}
		seen[name] = true
		var err error
		switch name {
		case "c":
			r.Class = v
		case "t":
			r.Plan = v
		case "d":
			d, err = strconv.ParseUint(v, 10, 31)
			cmd.dFrom, cmd.dTo = from+2, from+len(part)
		case "k":
			key = v
		case "units":
			if strings.Trim(v, "0123456789.") != "" {
				return nil, errors.New("field units is not a plain number")
			}
			r.Units, err = strconv.ParseFloat(v, 64)
		case "spread":
			spread, err = strconv.ParseUint(v, 10, 31)
		case "first":
			first, err = strconv.ParseUint(v, 10, 31)
		}
		if err != nil {
			return nil, fmt.Errorf("field %s cannot be read", name)
		}
		from += len(part) + 1
	}
	class, known := f.core.Class(r.Class)
	switch {
	case !known:
		return nil, errors.New("unknown class")
	case !f.core.Plan(r.Plan):
		return nil, errors.New("unknown plan")
	case do == (class.Effect == logic.Safe):
		return nil, errors.New("the class does not go with the command")
	case class.Effect == logic.Keyed && (key == "" || len(key) > mostKey):
		return nil, errors.New("field k is missing or too long")
	case d == 0 || !seen["first"]:
		return nil, errors.New("field d or first is missing or nought")
	case spread == 0 || spread > uint64(f.core.Gateways()) || first >= uint64(f.core.Gateways()):
		return nil, errors.New("there is no such set of gateways")
	case !(r.Units > 0) || r.Units > f.core.MostUnits():
		return nil, errors.New("field units is missing or out of range")
	}
	// The module takes a customer's plan and set from the first request that names it, so only what can be true
	// goes on. A client that says it will wait for ever is not believed.
	r.Spread, r.First = int(spread), int(first)
	r.GiveUpAt = f.core.GiveUpAt(class, at, time.Duration(d)*time.Millisecond)
	for _, a := range args { // the buffer is the connection's
		cmd.args = append(cmd.args, append(make([]byte, 0, len(a)), a...))
		r.Size += len(a)
	}
	r.Command, r.Idem = cmd, key
	return r, nil
}

// Words are the command as it came.
func (c *command) Words() [][]byte { return c.args }

// Rebuild makes a request of a command's words, as another instance has them; it is checked like a client's.
func (f *Front) Rebuild(words [][]byte) (*core.Request, error) {
	if len(words) == 0 {
		return nil, errors.New("no words")
	}
	return f.parse(words, time.Now())
}

func hex16(b []byte) (uint64, error) {
	if len(b) != 16 {
		return 0, errors.New("not 16 digits")
	}
	return strconv.ParseUint(string(b), 16, 64)
}
