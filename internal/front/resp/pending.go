package resp

import (
	"strconv"
	"time"

	"github.com/tidwall/redcon"

	"hitchspring/internal/backend"
	"hitchspring/internal/core"
	"hitchspring/internal/socket"
)

// pendingReply is the reply to one command. It holds the command's position in the
// order of replies until it is written. It implements core.ReplySink for its request.
type pendingReply struct {
	conn    *connection
	request *core.Request   // nil if the command is answered without the core
	encoded []byte          // nil until answered; for a streamed value, only its RESP header
	stream  *backend.Stream // value that follows the header; nil if encoded is the complete reply
}

// addPending appends a pending reply for the next command. It may wait for the
// pipeline window, and returns nil if the connection accepts no more commands.
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

// acquireWindow waits until the pipeline window has capacity for another command. It
// returns false if the connection ends first. Each written reply frees capacity, and
// each request has a deadline, so the wait is bounded.
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

// awaitWindow waits up to maxWait for capacity in the pipeline window or for the end
// of the writer.
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

// replyNow adds an encoded reply to a command that the core doesn't see.
func (c *connection) replyNow(encoded []byte) {
	if reply := c.addPending(nil); reply != nil {
		reply.complete(encoded)
	}
}

// Deliver encodes the final answer to the request. The core calls it exactly once.
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

// Disconnected reports whether the client has closed its connection, even if the
// reader has not noticed yet: a command and the close may arrive together, and the
// reader may be waiting. It asks the kernel and never blocks.
func (p *pendingReply) Disconnected() bool { return socket.HungUp(p.conn.conn) }

// complete sets the encoded reply. It never blocks. If the unsent replies exceed the
// memory limit, the connection with the most unsent bytes is closed.
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

// encodeRejection encodes a rejection, with the Retry-After in milliseconds if there
// is one.
func encodeRejection(a core.Answer) []byte {
	if a.RetryAfter <= 0 {
		return []byte("-BUSY\r\n")
	}
	return append(strconv.AppendInt([]byte("-BUSY "), max(1, a.RetryAfter.Milliseconds()), 10), '\r', '\n')
}

// completeWithStream sets a reply whose value is relayed as it arrives. The writer
// reads the stream once all earlier replies are written.
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

// collectReplies moves replies from the front of pending to outgoing, up to the first
// that is unanswered or streamed. The caller must hold c.mu.
func (c *connection) collectReplies() {
	for len(c.pending) > 0 && c.pending[0].encoded != nil && c.pending[0].stream == nil {
		c.outgoing = append(c.outgoing, c.pending[0].encoded...)
		c.outgoingReplies++
		c.pending[0] = nil
		c.pending = c.pending[1:]
	}
}
