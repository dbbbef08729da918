package resp

import (
	"errors"
	"io"
	"time"

	"hitchspring/internal/backend"
	"hitchspring/internal/metrics"
)

// This file relays streamed values. A value that breaks off after its first byte was
// written ends the client's connection: the client could not tell otherwise that it is
// truncated. The replies to later commands would be lost with it, although the commands
// have run. So the connection submits no command while a value is relayed. If commands
// were submitted before, the value is held back until it is complete, as far as there
// is time and memory; if it breaks off meanwhile, its request alone has failed.

// maxValueHold bounds for how long a streamed value is held back: to hold back for 2 s
// what a backend has given loses the request.
const maxValueHold = 1500 * time.Millisecond

// errTruncated is the error of a streamed value that broke off before its first byte
// was written.
var errTruncated = errors.New("the value broke off before it was relayed")

// relayStream writes the first pending reply, whose value is streamed. If the stream
// fails midway, it returns an error and the connection is closed, so that the client
// can tell that the value is truncated.
func (c *connection) relayStream(reply *pendingReply) error {
	defer reply.stream.Close()
	defer c.endRelay()
	var err error
	if c.beginRelay(mustBeAlone) {
		err = c.sendStream(reply)
	} else {
		err = c.sendHeldStream(reply)
	}
	if errors.Is(err, errTruncated) {
		reply.replaceStream([]byte("-ERR failed\r\n"))
		return nil
	}
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.pending[0] = nil
	c.pending = c.pending[1:]
	c.collectReplies()
	c.lastActive = time.Now()
	c.mu.Unlock()
	<-c.pipelineWindow
	c.notifyAllWritten()
	return nil
}

// relayCondition is when a relay may begin.
type relayCondition uint8

const (
	mustBeAlone relayCondition = iota // only if no other reply is pending
	always
)

// beginRelay begins to relay the first pending reply if the condition holds, and reports
// whether it does. No command is submitted until endRelay.
func (c *connection) beginRelay(condition relayCondition) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relaying = condition == always || len(c.pending) == 1
	return c.relaying
}

// endRelay allows the next commands to be submitted: the relayed value is completely
// received.
func (c *connection) endRelay() {
	c.mu.Lock()
	c.relaying = false
	c.mu.Unlock()
	c.interruptWait()
}

// awaitRelayEnd waits while a value is relayed. It returns false if the connection ends
// first.
func (c *connection) awaitRelayEnd() bool {
	if !c.isRelaying() {
		return true
	}
	c.front.metrics.CommandDelayed(metrics.DelayedStreamedValue)
	c.awaitsSignal.Store(true)
	writerEnded := false
	c.waitWhileReading(func(maxWait time.Duration) bool {
		if maxWait > 0 && c.isRelaying() {
			writerEnded = c.awaitSignal(maxWait)
		}
		return writerEnded || !c.isRelaying()
	})
	c.endWait()
	return !writerEnded && !c.peerClosed
}

func (c *connection) isRelaying() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relaying
}

// sendStream writes a RESP bulk string: the header, the value as it arrives, and the
// final CRLF.
func (c *connection) sendStream(reply *pendingReply) error {
	if err := c.send(reply.encoded); err != nil {
		return err
	}
	buffer := make([]byte, relayBufferSize)
	for {
		n, err := reply.stream.Read(buffer)
		if n > 0 {
			if err := c.send(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			c.endRelay()
			return c.send([]byte("\r\n"))
		}
		if err != nil {
			return err
		}
	}
}

// sendHeldStream is sendStream for a reply with others behind it. It begins to write
// when the value is complete, or when it may be held back no longer. It returns
// errTruncated if the value breaks off before.
func (c *connection) sendHeldStream(reply *pendingReply) error {
	ended := make(chan struct{})
	defer close(ended)
	incoming := make(chan chunk)
	go readChunks(reply.stream, incoming, ended)
	held, err := c.holdValue(reply, incoming)
	defer func() { c.releaseHeld(held.bytes) }()
	switch {
	case errors.Is(err, io.EOF):
	case err != nil:
		return errTruncated
	default:
		c.beginRelay(always)
	}
	if err := c.send(reply.encoded); err != nil {
		return err
	}
	for _, piece := range held.pieces {
		if err := c.send(piece); err != nil {
			return err
		}
	}
	for err == nil {
		next := <-incoming
		if err = next.err; len(next.bytes) > 0 {
			if err := c.send(next.bytes); err != nil {
				return err
			}
		}
	}
	if !errors.Is(err, io.EOF) {
		return err
	}
	c.endRelay()
	return c.send([]byte("\r\n"))
}

// chunk is what one read of a stream has returned.
type chunk struct {
	bytes []byte
	err   error
}

// readChunks reads a stream to its end. It ends early when ended is closed and the
// stream too.
func readChunks(stream *backend.Stream, to chan<- chunk, ended <-chan struct{}) {
	for {
		buffer := make([]byte, relayBufferSize)
		n, err := stream.Read(buffer)
		select {
		case to <- chunk{buffer[:n], err}:
		case <-ended:
			return
		}
		if err != nil {
			return
		}
	}
}

// heldValue is the part of a streamed value that is held back.
type heldValue struct {
	pieces [][]byte
	bytes  int // of reply memory
}

// holdValue collects a streamed value until it has ended, with io.EOF if it is complete,
// or, without an error, until its client must get its first bytes or no memory is left.
func (c *connection) holdValue(reply *pendingReply, incoming <-chan chunk) (held heldValue, err error) {
	mustBegin := time.NewTimer(time.Until(reply.beginBy))
	defer mustBegin.Stop()
	for {
		select {
		case next := <-incoming:
			hasRoom := c.reserveHeld(relayBufferSize)
			if hasRoom {
				held.bytes += relayBufferSize
			}
			held.pieces = append(held.pieces, next.bytes)
			if next.err != nil || !hasRoom {
				return held, next.err
			}
		case <-mustBegin.C:
			return held, nil
		}
	}
}

// reserveHeld reserves reply memory for a part of a value that is held back. It reports
// false if commands of other connections need it.
func (c *connection) reserveHeld(bytes int) bool {
	if !c.front.replyMemory.reserveSpare(bytes) {
		return false
	}
	c.mu.Lock()
	c.replyBytes += bytes
	c.mu.Unlock()
	return true
}

// releaseHeld gives back the memory of a value that was held back.
func (c *connection) releaseHeld(bytes int) {
	c.mu.Lock()
	c.replyBytes -= bytes
	c.mu.Unlock()
	c.front.replyMemory.adjust(-bytes)
}
