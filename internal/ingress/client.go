package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"

	"larchwick/logic"
)

const (
	mostPipelined = 64               // unanswered commands of one connection; further ones wait in the socket
	mostUnsent    = 24 << 20         // bytes of answers that clients have not read, all together
	stallTimeout  = 10 * time.Second // for the rest of a command, and for reading an answer
	slotPause     = 50 * time.Millisecond
	lingerTime    = time.Second // for the client to see our end of a connection
)

// request is a client's command, and the gateway's books on it.
type request struct {
	logic.Request
	key      uint64 // the client's id
	slot     *slot
	args     [][]byte // the command as it came: name, customer, id, fields, body
	size     int      // of the args
	dFrom    int      // where the value of d stands in the fields
	dTo      int
	attempts []*attempt
	out      int
	final    bool
}

// front is the server side: it accepts clients on one address.
type front struct {
	ln       net.Listener
	gw       *Gateway
	slots    chan struct{} // one for each connection that may be open
	unsent   atomic.Int64
	mu       sync.Mutex
	clients  map[*client]bool
	draining bool
	wg       sync.WaitGroup
}

// client is one connection: a goroutine that reads, one that writes. Answers go out in the order of commands.
type client struct {
	f       *front
	nc      net.Conn
	room    chan struct{} // taken by each command until its answer is on its way
	wake    chan struct{}
	mu      sync.Mutex
	waiting []*slot // commands whose answers are not in out yet
	out     []byte
	used    time.Time // when the last command came
	closing bool      // it will end when nothing waits for an answer
	ended   bool      // it has: nothing is taken any more
}

// slot keeps the place of one command's answer.
type slot struct {
	c     *client
	reply []byte // nil until answered
	req   *request
}

// The events of a client.
type (
	arrived   struct{ r *request }
	abandoned struct{ reqs []*request }
)

func newFront(ln net.Listener, gw *Gateway, most int) *front {
	return &front{ln: ln, gw: gw, slots: make(chan struct{}, most), clients: map[*client]bool{}}
}

// accept takes connections until the listener closes.
func (f *front) accept() {
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
		c := &client{f: f, nc: nc, room: make(chan struct{}, mostPipelined), wake: make(chan struct{}, 1), used: time.Now()}
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

// takeSlot waits for the place of a further connection. Clients keep idle ones for good, so where all places
// are taken an idle one is closed.
func (f *front) takeSlot() {
	for {
		select {
		case f.slots <- struct{}{}:
			return
		default:
		}
		f.closeIdlest()
		select {
		case f.slots <- struct{}{}:
			return
		case <-time.After(slotPause):
		}
	}
}

// closeIdlest closes the connection that has been between requests for the longest.
func (f *front) closeIdlest() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var idlest *client
	var since time.Time
	for c := range f.clients {
		c.mu.Lock()
		if c.closing { // one is on its way out: closing more would only empty the house
			c.mu.Unlock()
			return
		}
		if len(c.waiting) == 0 && (idlest == nil || c.used.Before(since)) {
			idlest, since = c, c.used
		}
		c.mu.Unlock()
	}
	if idlest != nil {
		idlest.close()
	}
}

// drain closes the listener, and every connection as soon as nothing on it waits for an answer.
func (f *front) drain(ctx context.Context) {
	f.ln.Close()
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
	done, written := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(written)
		c.write(done)
	}()
	c.read()
	c.nc.Close()
	close(done)
	<-written
	c.mu.Lock()
	var left []*request
	for _, s := range c.waiting {
		if s.reply == nil {
			left = append(left, s.req)
		}
	}
	c.f.unsent.Add(-int64(len(c.out)))
	c.mu.Unlock()
	if len(left) > 0 {
		c.f.gw.post(abandoned{left})
	}
	c.f.mu.Lock()
	delete(c.f.clients, c)
	c.f.mu.Unlock()
	<-c.f.slots
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

// read takes commands until the connection ends.
func (c *client) read() {
	var in inbox
	limited := false
	for {
		f, err := in.next()
		switch {
		case f != nil:
			c.command(f, time.Now())
			continue
		case err == nil:
			// Only the rest of a command has a time limit; setting one for each read would cost CPU.
			if in.partial() {
				c.nc.SetReadDeadline(time.Now().Add(stallTimeout))
				limited = true
			} else if limited && !c.hasEnded() {
				c.nc.SetReadDeadline(time.Time{})
				limited = false
			}
			err = in.fill(c.nc.Read)
		}
		switch {
		case err == nil:
		case errors.Is(err, errFraming) || errors.Is(err, errTooLong):
			// The framing is lost. What came before is answered, then this, then the connection ends.
			c.reply(redcon.AppendError(nil, "ERR protocol error: "+err.Error()))
			c.close()
			io.Copy(io.Discard, c.nc)
			return
		default:
			return
		}
	}
}

func (c *client) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// command takes one whole command.
func (c *client) command(f []byte, at time.Time) {
	whole, args, _, _, err := redcon.ReadNextCommand(f, nil)
	if err != nil || !whole {
		c.reply(redcon.AppendError(nil, "ERR a command is an array of bulk strings"))
		return
	}
	if len(args) == 0 {
		return
	}
	switch string(args[0]) {
	case "PING":
		c.reply(redcon.AppendString(nil, "PONG"))
	case "Q.ASK", "Q.DO":
		r, err := c.f.gw.parse(args, at)
		if err != nil {
			c.reply(redcon.AppendError(nil, "ERR "+err.Error()))
			return
		}
		if s := c.open(r); s != nil {
			r.slot = s
			c.f.gw.post(arrived{r})
		}
	default:
		c.reply(redcon.AppendError(nil, "ERR unknown command"))
	}
}

// open keeps a place for an answer; nil when the connection takes no more.
func (c *client) open(r *request) *slot {
	c.room <- struct{}{} // freed as answers come, and each request has a time limit
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		<-c.room
		return nil
	}
	s := &slot{c: c, req: r}
	c.used = time.Now()
	c.waiting = append(c.waiting, s)
	return s
}

// reply answers a command without the gateway.
func (c *client) reply(b []byte) {
	if s := c.open(nil); s != nil {
		s.answer(b)
	}
}

// answer fills the slot and never blocks. A client that leaves its answers unread loses its connection
// before they can fill the memory.
func (s *slot) answer(b []byte) {
	c := s.c
	c.mu.Lock()
	s.reply = b
	c.f.unsent.Add(int64(len(b)))
	for len(c.waiting) > 0 && c.waiting[0].reply != nil {
		c.out = append(c.out, c.waiting[0].reply...)
		c.waiting[0] = nil
		c.waiting = c.waiting[1:]
		select {
		case <-c.room:
		default:
		}
	}
	c.mu.Unlock()
	if c.f.unsent.Load() > mostUnsent {
		c.nc.Close()
	}
	c.signal()
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
		c.ended = c.closing && len(c.waiting) == 0
		last := c.ended
		c.mu.Unlock()
		if len(buf) > 0 {
			c.nc.SetWriteDeadline(time.Now().Add(stallTimeout))
			_, err := c.nc.Write(buf)
			c.f.unsent.Add(-int64(len(buf)))
			if err != nil {
				c.nc.Close()
				return
			}
		}
		if cap(buf) > maxFrame {
			buf = nil
		}
		if last { // the end is told first, so that no answer is lost to a reset
			c.nc.SetReadDeadline(time.Now().Add(lingerTime))
			if t, ok := c.nc.(*net.TCPConn); ok {
				t.CloseWrite()
			}
			return
		}
	}
}

// parse checks a request; it goes on only if a backend would take it.
func (g *Gateway) parse(args [][]byte, at time.Time) (*request, error) {
	do := string(args[0]) == "Q.DO"
	if len(args) < 4 || len(args) > 5 {
		return nil, fmt.Errorf("%s wants a customer, an id, fields and at most a body", args[0])
	}
	customer, err := hex16(args[1])
	if err != nil || customer >= 1<<33 {
		return nil, errors.New("the customer is not 16 hex digits below 2^33")
	}
	r := &request{}
	if r.key, err = hex16(args[2]); err != nil {
		return nil, errors.New("the id is not 16 hex digits")
	}
	fields := string(args[3])
	r.Customer = string(args[1])
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
			r.dFrom, r.dTo = from+2, from+len(part)
		case "k":
			key = v
		case "units":
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
	class, known := g.classes[r.Class]
	switch {
	case !known:
		return nil, errors.New("unknown class")
	case !g.plans[r.Plan]:
		return nil, errors.New("unknown plan")
	case do == (class.Effect == logic.Safe):
		return nil, errors.New("the class does not go with the command")
	case class.Effect == logic.Keyed && key == "":
		return nil, errors.New("field k is missing")
	case d == 0 || spread == 0 || !seen["first"]:
		return nil, errors.New("field d, spread or first is missing or nought")
	case !(r.Units > 0) || math.IsInf(r.Units, 1):
		return nil, errors.New("field units is missing or not above nought")
	}
	r.Spread, r.First = int(spread), int(first)
	wait := time.Duration(d) * time.Millisecond
	r.GiveUpAt = g.clock(at) + wait - min(answerMargin, wait/4)
	for _, a := range args { // the buffer is the connection's
		r.args = append(r.args, append(make([]byte, 0, len(a)), a...))
		r.size += len(a)
	}
	return r, nil
}

func hex16(b []byte) (uint64, error) {
	if len(b) != 16 {
		return 0, errors.New("not 16 digits")
	}
	return strconv.ParseUint(string(b), 16, 64)
}
