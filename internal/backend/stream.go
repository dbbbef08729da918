package backend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/tidwall/redcon"

	"hitchspring/internal/resp"
	"hitchspring/policy"
)

const (
	streamChunkSize    = 8 << 10 // bytes of a value that are read at once
	minStreamChunkSize = 1 << 10 // if the memory budget is exhausted
	// streamStallTimeout is how long a backend may send nothing within a value. It doesn't depend on the request's
	// deadline, which the first bytes of a large value meet: ending a value that still arrives loses the request.
	streamStallTimeout = 5 * time.Second
	// trailerFrames is the number of frames after a value: the usage and the load report.
	trailerFrames = 2
)

var (
	// ErrStreamClosed is the error of a stream whose reader closed it before its end.
	ErrStreamClosed = errors.New("stream closed by its reader")

	errTruncatedValue = errors.New("backend connection ended within the value")
)

// Stream is a large value that arrives from a backend. One goroutine reads it to its end or closes it. The connection
// buffers one chunk at a time, and receives the next only when that has been read.
type Stream struct {
	Size   int // of the value, in bytes
	reader *io.PipeReader
	writer *io.PipeWriter
}

func newStream(size int) *Stream {
	s := &Stream{Size: size}
	s.reader, s.writer = io.Pipe()
	return s
}

// Read implements io.Reader. It returns io.EOF after Size bytes, or another error if the backend fails before.
func (s *Stream) Read(p []byte) (int, error) { return s.reader.Read(p) }

// Close ends the attempt whose value is streamed, if it has not ended. It may be called at any time, more than once.
func (s *Stream) Close() { s.reader.CloseWithError(ErrStreamClosed) }

// streamValue streams a large value to owner, whose header has just been read, then reads the rest of the reply. The
// stream ends without an error only if the complete reply has the expected form.
func (c *conn) streamValue(
	ctx context.Context, in *resp.FrameBuffer, size int, owner *Attempt, post func(Event),
) (Reply, error) {
	stream := newStream(size)
	c.currentStream.Store(stream)
	defer c.currentStream.Store(nil)
	if ctx.Err() != nil { // if ctx ends later, run closes the stream
		return Reply{}, ctx.Err()
	}
	post(streamStarted{c, owner, stream})
	defer stream.writer.CloseWithError(errTruncatedValue) // no effect after writer.Close
	chunkSize := streamChunkSize
	if c.frameBudget.Reserve(chunkSize) {
		defer c.frameBudget.Release(chunkSize)
	} else {
		chunkSize = minStreamChunkSize
	}
	last, err := c.forwardValue(in, stream, make([]byte, min(chunkSize, size)))
	if err != nil {
		return Reply{}, err
	}
	reply, err := c.readStreamTail(in)
	if err != nil {
		return Reply{}, err
	}
	if _, err := stream.writer.Write(last); err != nil {
		return Reply{}, err
	}
	stream.writer.Close()
	return reply, nil
}

// forwardValue reads a value in chunks into buf and writes them to its stream, all but the last. The last chunk is
// returned: until the rest of the reply has been read, it is not known whether the value has the length that its header
// states, and a client that has all of a value takes it for complete.
func (c *conn) forwardValue(in *resp.FrameBuffer, stream *Stream, buf []byte) (last []byte, err error) {
	first := in.Buffered()[:min(in.BufferedBytes(), stream.Size)]
	in.Discard(len(first))
	left := stream.Size - len(first)
	if left == 0 {
		return slices.Clone(first), nil
	}
	if _, err := stream.writer.Write(first); err != nil {
		return nil, err
	}
	for {
		n, err := c.readWithinStall(buf[:min(len(buf), left)])
		left -= n
		if n > 0 && left == 0 {
			return buf[:n], nil
		}
		if n > 0 {
			_, err = stream.writer.Write(buf[:n])
		}
		if err != nil {
			return nil, fmt.Errorf("%d of %d bytes of the value are missing: %w", left, stream.Size, err)
		}
	}
}

// readStreamTail reads what follows a streamed value: its line end, the usage and the load report.
func (c *conn) readStreamTail(in *resp.FrameBuffer) (Reply, error) {
	for in.BufferedBytes() < 2 {
		if err := in.Fill(c.readWithinStall); err != nil {
			return Reply{}, err
		}
	}
	if string(in.Buffered()[:2]) != "\r\n" {
		return Reply{}, resp.ErrFraming
	}
	in.Discard(2)
	reply := Reply{outcome: policy.Succeeded, reusable: true}
	for frames := 0; frames < trailerFrames; {
		frame, err := in.Next()
		if err != nil {
			return Reply{}, err
		}
		if frame == nil {
			if err := in.Fill(c.readWithinStall); err != nil {
				return Reply{}, err
			}
			continue
		}
		frames++
		if frames == trailerFrames {
			if _, value := redcon.ReadNextRESP(frame); value.Type == redcon.Bulk {
				reply.Load = parseLoad(string(value.Data))
			}
		}
	}
	c.nc.SetReadDeadline(time.Time{})
	return reply, nil
}

// readWithinStall reads once from the backend, and fails if nothing arrives for streamStallTimeout.
func (c *conn) readWithinStall(b []byte) (int, error) {
	c.nc.SetReadDeadline(time.Now().Add(streamStallTimeout))
	return c.nc.Read(b)
}
