package resp

import (
	"strconv"
	"time"

	"github.com/tidwall/redcon"

	"hitchspring/internal/backend"
	"hitchspring/internal/core"
	"hitchspring/internal/socket"
)

// pendingReply is the reply to one command, at its place in the order of commands
// until it is written. It is the core.ReplySink of its request.
type pendingReply struct {
	conn    *connection
	request *core.Request   // nil: the command was answered without the core
	encoded []byte          // nil until answered; of a streamed value, its head
	stream  *backend.Stream // the value that follows the head; nil: encoded is the entire reply
}

// addPending adds a pending reply at the end of the order, or returns nil if the
// connection takes no more commands.
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

// acquireWindow waits until the pipeline window takes a further command, and
// reports false if the connection ends first. Written answers free the window, and
// each request has a time limit.
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
				acquired, ended = c.awaitWindow(maxWait)
			}
		}
		return acquired || ended
	})
	return acquired
}

// awaitWindow waits up to maxWait for the pipeline window to take a command, or
// for the last write of the connection.
func (c *connection) awaitWindow(maxWait time.Duration) (acquired, ended bool) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case c.pipelineWindow <- struct{}{}:
		return true, false
	case <-c.written:
		return false, true
	case <-timer.C:
		return false, false
	}
}

// replyNow answers a command without the core.
func (c *connection) replyNow(encoded []byte) {
	if reply := c.addPending(nil); reply != nil {
		reply.complete(encoded)
	}
}

// Deliver encodes the final answer of the request. The core calls it once.
func (p *pendingReply) Deliver(a core.Answer) {
	switch a.Kind {
	case core.Served:
		if a.Stream != nil {
			p.completeWithStream(a.Stream)
			return
		}
		p.complete(redcon.AppendBulk(make([]byte, 0, len(a.Value)+16), a.Value))
	case core.Rejected:
		rejection := encodeRejection(a)
		p.complete(rejection)
	case core.Duplicate:
		p.conn.protocolErrors.Add(1)
		p.complete([]byte("-ERR a request of this id is being served\r\n"))
	default:
		p.complete([]byte("-ERR failed\r\n"))
	}
}

// Disconnected reports whether the client has closed its connection, also before
// the reader has noticed: a command and the end of the connection may arrive
// together, and the reader may be waiting. It looks into the kernel and never blocks.
func (p *pendingReply) Disconnected() bool { return socket.HungUp(p.conn.conn) }

// complete sets the encoded reply and never blocks. Clients that leave their
// answers unread are disconnected before these fill the memory.
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

// encodeRejection encodes a rejection, with the milliseconds after which the
// client should retry.
func encodeRejection(a core.Answer) []byte {
	if a.RetryAfter <= 0 {
		return []byte("-BUSY\r\n")
	}
	return append(strconv.AppendInt([]byte("-BUSY "), max(1, a.RetryAfter.Milliseconds()), 10), '\r', '\n')
}

// completeWithStream sets a reply whose value is relayed as it arrives. The
// connection's writer reads it when the replies before it are written.
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

// collectReplies moves the replies that are due to outgoing, up to the first that
// is streamed. The caller has locked c.mu.
func (c *connection) collectReplies() {
	for len(c.pending) > 0 && c.pending[0].encoded != nil && c.pending[0].stream == nil {
		c.outgoing = append(c.outgoing, c.pending[0].encoded...)
		c.outgoingReplies++
		c.pending[0] = nil
		c.pending = c.pending[1:]
	}
}
