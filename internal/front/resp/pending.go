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
	conn    *connection
	encoded []byte          // nil until answered; of a value that is passed on: its head
	stream  *backend.Stream // that value; nil: reply is all
	request *core.Request
}

// addPending adds a pending reply at the end of the order; nil when the connection takes no more.
func (c *connection) addPending(request *core.Request) *pendingReply {
	if !c.acquireWindow() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase >= finished {
		<-c.pipelineWindow
		return nil
	}
	reply := &pendingReply{conn: c, request: request}
	c.lastActive, c.hasSentCommand = time.Now(), true
	c.pending = append(c.pending, reply)
	return reply
}

// acquireWindow waits for room in the pipeline's window for a further command; false when the connection ends first. Room comes as answers are written, and each
// request has a time limit.
func (c *connection) acquireWindow() (acquired bool) {
	ended := false
	c.waitWhileReading(func(maxWait time.Duration) bool {
		select {
		case c.pipelineWindow <- struct{}{}:
			acquired = true
		case <-c.written:
			ended = true
		default:
			if maxWait > 0 {
				timer := time.NewTimer(maxWait)
				defer timer.Stop()
				select {
				case c.pipelineWindow <- struct{}{}:
					acquired = true
				case <-c.written:
					ended = true
				case <-timer.C:
				}
			}
		}
		return acquired || ended
	})
	return acquired
}

// replyNow answers a command without the core.
func (c *connection) replyNow(encoded []byte) {
	if reply := c.addPending(nil); reply != nil {
		reply.complete(encoded)
	}
}

// Answer encodes the final answer of a request; the core calls it once.
func (p *pendingReply) Deliver(a core.Answer) {
	switch a.Kind {
	case core.Served:
		if v := a.Stream; v != nil {
			p.completeWithStream(v)
			return
		}
		p.complete(redcon.AppendBulk(make([]byte, 0, len(a.Value)+16), a.Value))
	case core.Rejected:
		b := encodeRejection(a)
		p.complete(b)
	case core.Duplicate:
		p.conn.protocolErrors.Add(1)
		p.complete([]byte("-ERR a request of this id is being served\r\n"))
	default:
		p.complete([]byte("-ERR failed\r\n"))
	}
}

// Gone reports whether the client has closed its connection, whether or not the reader has come to that: the command and the end of the
// connection may have come together, and the reader may be held up. It asks the kernel and never waits.
func (p *pendingReply) Disconnected() bool { return socket.HungUp(p.conn.conn) }

// answer completes the reply and never blocks. Clients that leave their answers unread lose their connections before they
// can fill the memory.
func (p *pendingReply) complete(encoded []byte) {
	c := p.conn
	c.mu.Lock()
	if c.phase == released {
		c.mu.Unlock()
		return
	}
	p.encoded = encoded
	c.unsentBytes += len(encoded)
	c.front.unsent.Add(int64(len(encoded)))
	c.collectReplies()
	c.lastActive = time.Now()
	c.mu.Unlock()
	if c.front.unsent.Load() > c.front.maxUnsent {
		c.front.closeSlowestReader()
	}
	c.wakeWriter()
}

// refusal encodes a refusal, with when to come back.
func encodeRejection(a core.Answer) []byte {
	if a.RetryAfter <= 0 {
		return []byte("-BUSY\r\n")
	}
	return append(strconv.AppendInt([]byte("-BUSY "), max(1, a.RetryAfter.Milliseconds()), 10), '\r', '\n')
}

// stream completes the reply with a value that is passed on as it comes. The goroutine that writes reads it when its turn has come.
func (p *pendingReply) completeWithStream(v *backend.Stream) {
	c := p.conn
	c.mu.Lock()
	if c.phase == released {
		c.mu.Unlock()
		v.Close()
		return
	}
	p.stream = v
	p.encoded = append(strconv.AppendInt([]byte{'$'}, int64(v.Size), 10), '\r', '\n')
	c.lastActive = time.Now()
	c.mu.Unlock()
	c.wakeWriter()
}

// collect moves the answers that are due to out, up to one that is passed on; c.mu is held.
func (c *connection) collectReplies() {
	for len(c.pending) > 0 && c.pending[0].encoded != nil && c.pending[0].stream == nil {
		c.outgoing = append(c.outgoing, c.pending[0].encoded...)
		c.outgoingReplies++
		c.pending[0] = nil
		c.pending = c.pending[1:]
	}
}
