package tally

import (
	"bufio"
	"net"
	"time"

	"hitchspring/internal/store"
)

// conn is a connection to the service. The shard's goroutine writes, and another one, read, reads until nc is closed.
type conn struct {
	shard      *shard
	nc         net.Conn
	pending    chan *pendingCall // in the order in which their replies come
	readerDone chan struct{}
	idle       chan struct{} // the reader has emptied pending

	// Of the writer.
	batch   []*store.Call // to be written next
	buf     []byte        // reused
	ends    []int         // of each call in buf, reused
	written []*pendingCall
}

// pendingCall is a call that is on its way.
type pendingCall struct {
	*store.Call
	incomplete bool // its last byte was never written
}

// writeBatch writes the batch and what waits behind it, and reports whether the connection is still in order.
func (c *conn) writeBatch() bool {
	c.fillBatch()
	if len(c.pending) == 0 {
		c.setReadDeadline(true)
	}
	c.buf = c.buf[:0]
	c.ends = c.ends[:0]
	c.written = c.written[:0]
	for _, call := range c.batch {
		if len(c.pending) == cap(c.pending) || !call.Claim() {
			continue // it is not written, and its caller withdraws it or has done so
		}
		c.buf = appendCall(c.buf, call)
		c.ends = append(c.ends, len(c.buf))
		pending := &pendingCall{Call: call}
		c.written = append(c.written, pending)
		c.pending <- pending
	}
	c.nc.SetWriteDeadline(time.Now().Add(c.shard.timeout))
	n, err := c.nc.Write(c.buf)
	for i, pending := range c.written {
		pending.incomplete = c.ends[i] > n
	}
	c.batch = c.batch[:0]
	return err == nil
}

// fillBatch takes the calls that wait.
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

// await waits for a further call, and reports whether the connection is used further.
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

// awaitReplies gives the calls that are pending their time for a reply before later ones go to another address: answers
// for one name come in the order of its calls.
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

// answerUnanswered answers what is left on a connection that is over.
func (c *conn) answerUnanswered() {
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

// read hands replies to the calls in their order. It ends with the connection, or at a reply that cannot be read:
// that call was added, and nothing behind it can be trusted.
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
		if in.Buffered() > 0 { // a reply to no call
			return
		}
	}
}

// setReadDeadline sets how long the service may be silent.
func (c *conn) setReadDeadline(awaitsReply bool) {
	silence := idleTimeout
	if awaitsReply {
		silence = silentTimeouts * c.shard.timeout
	}
	c.nc.SetReadDeadline(time.Now().Add(silence))
}
