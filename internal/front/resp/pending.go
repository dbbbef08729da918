package resp

import (
	"strconv"
	"time"

	"github.com/tidwall/redcon"

	"hitchspring/internal/core"
	"hitchspring/internal/nodes"
	"hitchspring/internal/socket"
)

// slot keeps the place of one command's answer.
type slot struct {
	c     *client
	reply []byte        // nil until answered; of a value that is passed on: its head
	value *nodes.Stream // that value; nil: reply is all
	req   *core.Request
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
