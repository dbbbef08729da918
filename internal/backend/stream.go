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
	pieceSize   = 8 << 10                // of a value that is passed on as it comes
	leastPiece  = 1 << 10                // where the account of memory is empty
	streamStall = 5 * time.Second        // for a node to go on in the middle of such a value
	overStall   = 250 * time.Millisecond // the same once its client's time is over: the client is owed an end, if it still reads
)

// stall is until when a node may say nothing in the middle of a value.
func (c *conn) stall(now time.Time) time.Time {
	usual, over := now.Add(streamStall), now.Add(overStall)
	if at := c.until.Load(); at != 0 {
		if end := time.Unix(0, at).Add(overStall); end.After(over) {
			over = end
		}
		if over.Before(usual) {
			return over
		}
	}
	return usual
}

// ErrUnwanted is what a stream ends with that nobody waits for any more.
var ErrUnwanted = errors.New("the value is not wanted any more")

// Stream is a value on its way from a node, in pieces. One goroutine reads it to its end or closes it; it holds one piece at a
// time, and the node's connection reads on only when that has been taken.
type Stream struct {
	Size int // bytes of the value
	r    *io.PipeReader
	w    *io.PipeWriter
}

func newStream(size int) *Stream {
	s := &Stream{Size: size}
	s.r, s.w = io.Pipe()
	return s
}

// Read is io.Reader's: io.EOF after Size bytes, another error where the node has broken off.
func (s *Stream) Read(p []byte) (int, error) { return s.r.Read(p) }

// Close ends the attempt that brings the value, where it has not ended; it may be called at any time, more than once.
func (s *Stream) Close() { s.r.CloseWithError(ErrUnwanted) }

// begun is the event of a value's head.
type begun struct {
	c  *conn
	to *Attempt
	s  *Stream
}

func (begun) event() {}

// pass passes a large value on, whose head has just come, and reads the rest of the answer.
func (c *conn) pass(ctx context.Context, in *resp.Inbox, size int, post func(Event)) (Reply, error) {
	s := newStream(size)
	c.passing.Store(s)
	defer c.passing.Store(nil)
	if ctx.Err() != nil { // else its end closes the stream
		return Reply{}, ctx.Err()
	}
	c.writing.Lock()
	to := c.whole.Load()
	c.writing.Unlock()
	post(begun{c, to, s})
	defer s.w.CloseWithError(errors.New("the node has broken off")) // nothing after the end
	room := pieceSize
	if c.frames.Take(room) {
		defer c.frames.Give(room)
	} else {
		room = leastPiece
	}
	left := size
	give := func(piece []byte) error {
		left -= len(piece)
		_, err := s.w.Write(piece)
		return err
	}
	first := in.Begun()[:min(in.ArrivedAt(), left)]
	in.Drop(len(first))
	if err := give(first); err != nil {
		return Reply{}, err
	}
	for buf := make([]byte, min(room, left)); left > 0; {
		c.nc.SetReadDeadline(c.stall(time.Now()))
		n, err := c.nc.Read(buf[:min(len(buf), left)])
		if n > 0 {
			err = give(buf[:n])
		}
		if err != nil {
			return Reply{}, fmt.Errorf("%d of %d bytes of the value have not come: %w", left, size, err)
		}
	}
	s.w.Close()
	return c.tail(in)
}

// tail reads what stands behind a value that was passed on: the end of its line, the figures on use, the load report.
func (c *conn) tail(in *resp.Inbox) (Reply, error) {
	c.nc.SetReadDeadline(c.stall(time.Now()))
	for in.ArrivedAt() < 2 {
		if err := in.Fill(c.nc.Read); err != nil {
			return Reply{}, err
		}
	}
	if string(in.Begun()[:2]) != "\r\n" {
		return Reply{}, resp.ErrFraming
	}
	in.Drop(2)
	rep := Reply{outcome: policy.Succeeded, keep: true}
	for i := 0; i < 2; {
		f, err := in.Next()
		if err != nil {
			return Reply{}, err
		}
		if f == nil {
			if err := in.Fill(c.nc.Read); err != nil {
				return Reply{}, err
			}
			continue
		}
		if i++; i == 2 {
			if _, r := redcon.ReadNextRESP(f); r.Type == redcon.Bulk {
				rep.Load = parseLoad(string(r.Data))
			}
		}
	}
	c.nc.SetReadDeadline(time.Time{})
	return rep, nil
}
