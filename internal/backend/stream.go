package backend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/tidwall/redcon"

	"hitchspring/internal/resp"
	"hitchspring/policy"
)

const (
	streamChunkSize     = 8 << 10                // of a value that is passed on as it comes
	minStreamChunkSize  = 1 << 10                // where the account of memory is empty
	streamStallTimeout  = 5 * time.Second        // for a node to go on in the middle of such a value
	overdueStallTimeout = 250 * time.Millisecond // the same once its client's time is over: the client is owed an end, if it still reads
)

// stall is until when a node may say nothing in the middle of a value.
func (c *conn) streamDeadline(now time.Time) time.Time {
	usual, overdue := now.Add(streamStallTimeout), now.Add(overdueStallTimeout)
	if at := c.clientDeadline.Load(); at != 0 {
		if end := time.Unix(0, at).Add(overdueStallTimeout); end.After(overdue) {
			overdue = end
		}
		if overdue.Before(usual) {
			return overdue
		}
	}
	return usual
}

// ErrUnwanted is what a stream ends with that nobody waits for any more.
var ErrUnwanted = errors.New("the value is not wanted any more")

// Stream is a value on its way from a node, in pieces. One goroutine reads it to its end or closes it; it holds one piece at a
// time, and the node's connection reads on only when that has been taken.
type Stream struct {
	Size   int // bytes of the value
	reader *io.PipeReader
	writer *io.PipeWriter
}

func newStream(size int) *Stream {
	s := &Stream{Size: size}
	s.reader, s.writer = io.Pipe()
	return s
}

// Read is io.Reader's: io.EOF after Size bytes, another error where the node has broken off.
func (s *Stream) Read(p []byte) (int, error) { return s.reader.Read(p) }

// Close ends the attempt that brings the value, where it has not ended; it may be called at any time, more than once.
func (s *Stream) Close() { s.reader.CloseWithError(ErrUnwanted) }

// begun is the event of a value's head.
type streamStarted struct {
	conn    *conn
	attempt *Attempt
	stream  *Stream
}

func (streamStarted) event() {}

// pass passes a large value on, whose head has just come, and reads the rest of the answer.
func (c *conn) streamValue(ctx context.Context, in *resp.Inbox, size int, post func(Event)) (Reply, error) {
	stream := newStream(size)
	c.currentStream.Store(stream)
	defer c.currentStream.Store(nil)
	if ctx.Err() != nil { // else its end closes the stream
		return Reply{}, ctx.Err()
	}
	c.writeMu.Lock()
	attempt := c.lastWritten.Load()
	c.writeMu.Unlock()
	post(streamStarted{c, attempt, stream})
	defer stream.writer.CloseWithError(errors.New("the node has broken off")) // nothing after the end
	chunkSize := streamChunkSize
	if c.frameBudget.Take(chunkSize) {
		defer c.frameBudget.Give(chunkSize)
	} else {
		chunkSize = minStreamChunkSize
	}
	left := size
	forward := func(piece []byte) error {
		left -= len(piece)
		_, err := stream.writer.Write(piece)
		return err
	}
	first := in.Begun()[:min(in.ArrivedAt(), left)]
	in.Drop(len(first))
	if err := forward(first); err != nil {
		return Reply{}, err
	}
	for buf := make([]byte, min(chunkSize, left)); left > 0; {
		c.nc.SetReadDeadline(c.streamDeadline(time.Now()))
		n, err := c.nc.Read(buf[:min(len(buf), left)])
		if n > 0 {
			err = forward(buf[:n])
		}
		if err != nil {
			return Reply{}, fmt.Errorf("%d of %d bytes of the value have not come: %w", left, size, err)
		}
	}
	stream.writer.Close()
	return c.readStreamTail(in)
}

// tail reads what stands behind a value that was passed on: the end of its line, the figures on use, the load report.
func (c *conn) readStreamTail(in *resp.Inbox) (Reply, error) {
	c.nc.SetReadDeadline(c.streamDeadline(time.Now()))
	for in.ArrivedAt() < 2 {
		if err := in.Fill(c.nc.Read); err != nil {
			return Reply{}, err
		}
	}
	if string(in.Begun()[:2]) != "\r\n" {
		return Reply{}, resp.ErrFraming
	}
	in.Drop(2)
	reply := Reply{outcome: policy.Succeeded, reusable: true}
	for i := 0; i < 2; {
		frame, err := in.Next()
		if err != nil {
			return Reply{}, err
		}
		if frame == nil {
			if err := in.Fill(c.nc.Read); err != nil {
				return Reply{}, err
			}
			continue
		}
		if i++; i == 2 {
			if _, r := redcon.ReadNextRESP(frame); r.Type == redcon.Bulk {
				reply.Load = parseLoad(string(r.Data))
			}
		}
	}
	c.nc.SetReadDeadline(time.Time{})
	return reply, nil
}
