package resp

import (
	"strconv"
	"time"

	"github.com/tidwall/redcon"

	"hitchspring/internal/backend"
	"hitchspring/internal/core"
	"hitchspring/internal/socket"
)

// pendingReply is one command's answer, in its place in the order of commands, until it is written.
type pendingReply struct {
	c     *connection
	reply []byte          // nil until answered; of a value that is passed on: its head
	value *backend.Stream // that value; nil: reply is all
	req   *core.Request
}

// addPending adds a pending reply at the end of the order; nil when the connection takes no more.
func (c *connection) addPending(r *core.Request) *pendingReply {
	if !c.acquireWindow() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase >= finished {
		<-c.window
		return nil
	}
	s := &pendingReply{c: c, req: r}
	c.used, c.hasAsked = time.Now(), true
	c.waiting = append(c.waiting, s)
	return s
}

// acquireWindow waits for room in the pipeline's window for a further command; false when the connection ends first. Room comes as answers are written, and each
// request has a time limit.
func (c *connection) acquireWindow() (entered bool) {
	over := false
	c.waitReading(func(most time.Duration) bool {
		select {
		case c.window <- struct{}{}:
			entered = true
		case <-c.written:
			over = true
		default:
			if most > 0 {
				t := time.NewTimer(most)
				defer t.Stop()
				select {
				case c.window <- struct{}{}:
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

// replyNow answers a command without the core.
func (c *connection) replyNow(b []byte) {
	if s := c.addPending(nil); s != nil {
		s.answer(b)
	}
}

// Answer encodes the final answer of a request; the core calls it once.
func (p *pendingReply) Deliver(a core.Answer) {
	switch a.Kind {
	case core.Served:
		if v := a.Stream; v != nil {
			p.stream(v)
			return
		}
		p.answer(redcon.AppendBulk(make([]byte, 0, len(a.Value)+16), a.Value))
	case core.Rejected:
		b := refusal(a)
		p.answer(b)
	case core.Duplicate:
		p.c.protocolErrors.Add(1)
		p.answer([]byte("-ERR a request of this id is being served\r\n"))
	default:
		p.answer([]byte("-ERR failed\r\n"))
	}
}

// Gone reports whether the client has closed its connection, whether or not the reader has come to that: the command and the end of the
// connection may have come together, and the reader may be held up. It asks the kernel and never waits.
func (p *pendingReply) Disconnected() bool { return socket.HungUp(p.c.nc) }

// answer completes the reply and never blocks. Clients that leave their answers unread lose their connections before they
// can fill the memory.
func (p *pendingReply) answer(b []byte) {
	c := p.c
	c.mu.Lock()
	if c.phase == released {
		c.mu.Unlock()
		return
	}
	p.reply = b
	c.unsent += len(b)
	c.f.unsent.Add(int64(len(b)))
	c.collect()
	c.used = time.Now()
	c.mu.Unlock()
	if c.f.unsent.Load() > c.f.mostUnsent {
		c.f.closeSlowestReader()
	}
	c.wakeWriter()
}

// refusal encodes a refusal, with when to come back.
func refusal(a core.Answer) []byte {
	if a.RetryAfter <= 0 {
		return []byte("-BUSY\r\n")
	}
	return append(strconv.AppendInt([]byte("-BUSY "), max(1, a.RetryAfter.Milliseconds()), 10), '\r', '\n')
}

// stream completes the reply with a value that is passed on as it comes. The goroutine that writes reads it when its turn has come.
func (p *pendingReply) stream(v *backend.Stream) {
	c := p.c
	c.mu.Lock()
	if c.phase == released {
		c.mu.Unlock()
		v.Close()
		return
	}
	p.value = v
	p.reply = append(strconv.AppendInt([]byte{'$'}, int64(v.Size), 10), '\r', '\n')
	c.used = time.Now()
	c.mu.Unlock()
	c.wakeWriter()
}

// collect moves the answers that are due to out, up to one that is passed on; c.mu is held.
func (c *connection) collect() {
	for len(c.waiting) > 0 && c.waiting[0].reply != nil && c.waiting[0].value == nil {
		c.out = append(c.out, c.waiting[0].reply...)
		c.ready++
		c.waiting[0] = nil
		c.waiting = c.waiting[1:]
	}
}
