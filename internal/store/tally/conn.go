package tally

import (
	"bufio"
	"net"
	"time"

	"hitchspring/internal/store"
)

// conn is a connection to the service. The shard's goroutine writes; a second one executes read until nc is closed.
type conn struct {
	shard      *shard
	nc         net.Conn
	pending    chan *pendingCall // written calls without a reply, in the order of their replies
	readerDone chan struct{}
	idle       chan struct{} // signals that the reader has emptied pending

	// Used only by the writer.
	batch    []*store.Call // next to be written
	buf      []byte        // encoded calls, reused
	callEnds []int         // end offset of each call in buf, reused
	written  []*pendingCall
}

// pendingCall is a claimed call without a reply.
type pendingCall struct {
	*store.Call
	incomplete bool // not written to its last byte, so the service cannot have added it
}

// writeBatch writes the batch and further queued calls, and reports whether the connection is still usable.
func (c *conn) writeBatch() bool {
	c.fillBatch()
	if len(c.pending) == 0 {
		c.setReadDeadline(true)
	}
	c.buf = c.buf[:0]
	c.callEnds = c.callEnds[:0]
	c.written = c.written[:0]
	for _, call := range c.batch {
		if len(c.pending) == cap(c.pending) || !call.Claim() {
			continue // not written: its caller has withdrawn it or will do so
		}
		c.buf = appendCall(c.buf, call)
		c.callEnds = append(c.callEnds, len(c.buf))
		pending := &pendingCall{Call: call}
		c.written = append(c.written, pending)
		c.pending <- pending
	}
	c.nc.SetWriteDeadline(time.Now().Add(c.shard.timeout))
	n, err := c.nc.Write(c.buf)
	for i, pending := range c.written {
		pending.incomplete = c.callEnds[i] > n
	}
	c.batch = c.batch[:0]
	return err == nil
}

// fillBatch moves queued calls to the batch, up to maxBatch.
func (c *conn) fillBatch() {
	for len(c.batch) < maxBatch {
		select {
		case call := <-c.shard.calls:
			c.batch = append(c.batch, call)
		default:
			return
		}
	}
}

// await waits for the next call, and reports whether the connection stays in use.
func (c *conn) await() bool {
	select {
	case call := <-c.shard.calls:
		c.batch = append(c.batch, call)
		return true
	case c.shard.addr = <-c.shard.addressChanges:
		c.awaitReplies()
	case <-c.readerDone:
	}
	return false
}

// awaitReplies waits for replies to the pending calls, up to the call timeout, before later calls go to another
// address. This keeps the results for each name in the order of its calls.
func (c *conn) awaitReplies() {
	timeout := time.After(c.shard.timeout)
	for len(c.pending) > 0 {
		select {
		case <-c.idle:
		case <-c.readerDone:
			return
		case <-timeout:
			return
		}
	}
}

// resolvePending reports the results of the calls that are left on a closed connection.
func (c *conn) resolvePending() {
	for len(c.pending) > 0 {
		pending := <-c.pending
		var result store.Result
		if pending.incomplete {
			result.Certainty = store.NotAdded
		}
		c.shard.sink(pending.Call, result)
	}
	for _, call := range c.batch { // never written
		c.shard.sink(call, store.Result{Certainty: store.NotAdded})
	}
}

// read matches replies to the pending calls in order. It ends with the connection, or at a reply that cannot be parsed:
// the call of that reply counts as added, and later replies cannot be trusted.
func (c *conn) read() {
	in := bufio.NewReaderSize(c.nc, 1<<10)
	for {
		line, err := readLine(c.nc, in)
		if len(c.pending) == 0 || err != nil && len(line) == 0 {
			return
		}
		call := (<-c.pending).Call
		result := unreadable
		if err == nil {
			result = parseReply(string(line))
			c.setReadDeadline(len(c.pending) > 0)
		}
		c.shard.sink(call, result)
		if result == unreadable {
			return
		}
		if len(c.pending) > 0 {
			continue
		}
		select {
		case c.idle <- struct{}{}:
		default:
		}
		if in.Buffered() > 0 { // a reply without a pending call
			return
		}
	}
}

// setReadDeadline sets the read deadline, depending on whether a reply is awaited or the connection is idle.
func (c *conn) setReadDeadline(awaitsReply bool) {
	silence := idleTimeout
	if awaitsReply {
		silence = maxSilentTimeouts * c.shard.timeout
	}
	c.nc.SetReadDeadline(time.Now().Add(silence))
}
