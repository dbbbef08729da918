package backend

import (
	"time"

	"hitchspring/internal/resp"
)

// partialReply tells what part of a reply a connection's reader has buffered.
type partialReply int32

const (
	noPartialReply    partialReply = iota // none: the next bytes begin a reply
	partialShortReply                     // a part of a reply that is not streamed
	partialHeader                         // it may be the header of a large value, which is streamed
)

// incomingReply tracks the reply that a connection's reader is reading. Only the reader uses it.
type incomingReply struct {
	conn        *conn
	owner       *Attempt // the attempt whose command was the last one written when the reply began
	began       bool     // owner is set
	deadlineSet bool     // the connection has a read deadline
}

// takeOwner returns the attempt that a complete reply, or one whose value is about to be streamed, belongs to. The next
// bytes begin another reply.
func (r *incomingReply) takeOwner() *Attempt {
	owner := r.owner
	if !r.began {
		owner = r.conn.lastWrittenAttempt()
	}
	r.owner, r.began = nil, false
	r.conn.partial.Store(int32(noPartialReply))
	return owner
}

// recordPartial records the buffered bytes, which are no complete reply. The attempt that they belong to is determined
// when the first of them have arrived: a command that is written afterwards must not get the rest of them as its reply.
func (r *incomingReply) recordPartial(buffered []byte) {
	if len(buffered) == 0 {
		return
	}
	if !r.began {
		r.owner, r.began = r.conn.lastWrittenAttempt(), true
	}
	state := partialShortReply
	if resp.MayBeLargeValueHeader(buffered) {
		state = partialHeader
	}
	r.conn.partial.Store(int32(state))
}

// read reads once from the backend. Within a reply it fails if nothing arrives for replyStallTimeout.
func (r *incomingReply) read(b []byte) (int, error) {
	if r.began {
		r.conn.nc.SetReadDeadline(time.Now().Add(replyStallTimeout))
		r.deadlineSet = true
	} else if r.deadlineSet {
		r.conn.nc.SetReadDeadline(time.Time{})
		r.deadlineSet = false
	}
	return r.conn.nc.Read(b)
}

// lastWrittenAttempt returns the attempt whose command was written last. If one is being written, it waits for its end:
// a backend may reply before it has read the whole command.
func (c *conn) lastWrittenAttempt() *Attempt {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.lastWritten.Load()
}
