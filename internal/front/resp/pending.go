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
	conn     *connection
	request  *core.Request   // nil if the command is answered without the core
	reserved int             // bytes of reply memory reserved for it; 0 once it is answered
	encoded  []byte          // nil until answered; for a streamed value, only its RESP header
	stream   *backend.Stream // value that follows the header; nil if encoded is the complete reply
	beginBy  time.Time       // when the first bytes of stream must have been written
}

// addPending appends a pending reply for the next command. It may wait for the
// pipeline window and, if the reply is that to a request, for reply memory. It returns
// nil and sets acceptsNoMore if the connection accepts no more commands.
func (c *connection) addPending(request *core.Request) *pendingReply {
	reply := c.tryAddPending(request)
	c.acceptsNoMore = reply == nil
	return reply
}

func (c *connection) tryAddPending(request *core.Request) *pendingReply {
	for {
		if !c.awaitRelayEnd() || !c.acquireWindow() {
			return nil
		}
		reserved := 0
		if request != nil {
			var accepts bool
			if reserved, accepts = c.reserveReply(); !accepts {
				<-c.pipelineWindow
				return nil
			}
		}
		reply, relaying := c.appendPending(request, reserved)
		if reply != nil {
			return reply
		}
		if reserved > 0 {
			c.front.replyMemory.adjust(-reserved)
		}
		<-c.pipelineWindow
		if !relaying {
			return nil
		}
	}
}

// appendPending appends a pending reply, or returns nil: if a value is relayed, or if
// the connection accepts no more commands.
func (c *connection) appendPending(request *core.Request, reserved int) (reply *pendingReply, relaying bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.relaying || c.phase >= finished {
		return nil, c.relaying
	}
	reply = &pendingReply{conn: c, request: request, reserved: reserved}
	c.replyBytes += reserved
	c.lastActive, c.hasSentCommand = time.Now(), true
	c.pending = append(c.pending, reply)
	return reply, false
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
			p.completeWithStream(a.Stream, a.Remaining)
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

// Client returns whether the client has closed its connection, even if the reader has
// not noticed yet: a command and the close may arrive together, and the reader may be
// waiting. It asks the kernel and never blocks.
func (p *pendingReply) Client() core.ClientState {
	switch {
	case socket.HungUp(p.conn.conn):
		return core.Disconnected
	case p.conn.mayHideEnd():
		return core.Unseen
	default:
		return core.Connected
	}
}

// complete sets the encoded reply. It never blocks.
func (p *pendingReply) complete(encoded []byte) {
	c := p.conn
	c.mu.Lock()
	if c.phase == released {
		c.mu.Unlock()
		return
	}
	p.encoded = encoded
	growth := p.chargeMemory(len(encoded))
	c.collectReplies()
	c.lastActive = time.Now()
	c.mu.Unlock()
	c.front.replyMemory.adjust(growth)
	c.wakeWriter()
}

// chargeMemory replaces the reservation of a reply by the memory that it occupies. It
// returns by how many bytes the connection's share of the reply memory grows. The
// caller must hold c.mu and pass the result to replyMemory.adjust after releasing it.
func (p *pendingReply) chargeMemory(bytes int) (growth int) {
	growth = bytes - p.reserved
	p.reserved = 0
	p.conn.replyBytes += growth
	return growth
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
// reads the stream once all earlier replies are written. The client waits for its first
// bytes for the remaining time.
func (p *pendingReply) completeWithStream(v *backend.Stream, remaining time.Duration) {
	c := p.conn
	c.mu.Lock()
	if c.phase == released {
		c.mu.Unlock()
		v.Close()
		return
	}
	p.stream, p.beginBy = v, time.Now().Add(min(remaining, maxValueHold))
	p.encoded = append(strconv.AppendInt([]byte{'$'}, int64(v.Size), 10), '\r', '\n')
	growth := p.chargeMemory(0) // only a chunk of the value is held, by the backend's connection
	c.lastActive = time.Now()
	c.mu.Unlock()
	c.front.replyMemory.adjust(growth)
	c.wakeWriter()
}

// replaceStream replaces a streamed reply of which nothing was written by an encoded one.
func (p *pendingReply) replaceStream(encoded []byte) {
	c := p.conn
	c.mu.Lock()
	p.stream, p.encoded = nil, encoded
	growth := p.chargeMemory(len(encoded))
	c.collectReplies()
	c.lastActive = time.Now()
	c.mu.Unlock()
	c.front.replyMemory.adjust(growth)
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
