package resp

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"hitchspring/internal/core"
)

// fakeCore records the requests that the front reports as disconnected.
type fakeCore struct {
	Core
	disconnected []*core.Request
}

func (f *fakeCore) NotifyDisconnected(reqs []*core.Request) {
	f.disconnected = append(f.disconnected, reqs...)
}

// A finished connection accepts no command, even if more arrive than fit into the
// pipeline window. A reader that waited for the window would block a shutdown.
func TestFinishedConnectionTakesNoCommand(t *testing.T) {
	c := newConnection(New(nil, nil, 1, 0), nil)
	c.phase = finished
	for range maxPipelined + 1 {
		if c.addPending(nil) != nil {
			t.Fatal("addPending accepted a command")
		}
	}
}

// deadlineRecorder records for each SetReadDeadline call whether it sets or removes the
// deadline.
type deadlineRecorder struct {
	net.Conn
	isSet []bool
}

func (r *deadlineRecorder) SetReadDeadline(t time.Time) error {
	r.isSet = append(r.isSet, !t.IsZero())
	return nil
}

// Only a partial command has a read deadline, so that a half-open connection doesn't
// stay open forever. Between commands a client may be silent.
func TestOnlyPartialCommandsHaveReadDeadline(t *testing.T) {
	server, client := net.Pipe()
	c := newConnection(New(nil, nil, 1, 1<<20), &deadlineRecorder{Conn: server})
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.readCommands()
	}()
	ping := string(redcon.AppendBulkString(redcon.AppendArray(nil, 1), "PING"))
	for _, part := range []string{ping, ping[:5], ping[5:], ping} {
		io.WriteString(client, part)
	}
	client.Close()
	<-done
	if got := c.conn.(*deadlineRecorder).isSet; fmt.Sprint(got) != "[true false]" {
		t.Fatalf("got deadlines set: %v, want one set within the split command and removed after it", got)
	}
}

// The reply memory of a connection is free after its end, even if the client disconnects
// before its replies are written.
func TestUnsentBytesAreReleased(t *testing.T) {
	fake := &fakeCore{}
	f := New(nil, fake, 1, 1<<20)
	server, client := net.Pipe()
	c := newConnection(f, server)
	f.slots <- struct{}{}
	f.serving.Add(1)
	first, second := c.addPending(&core.Request{}), c.addPending(nil)
	second.complete([]byte("+PONG\r\n"))
	client.Close()
	c.serve()
	first.complete([]byte("-ERR failed\r\n"))
	if n := f.replyMemory.used.Load(); n != 0 {
		t.Fatalf("got %d bytes in use after the end of the connection, want 0", n)
	}
	if len(fake.disconnected) != 1 {
		t.Fatalf("got %d abandoned requests, want 1", len(fake.disconnected))
	}
}

// Guards against a reader that goes on with all the commands that it has read ahead
// after the writer has ended, which delays a shutdown.
func TestReaderEndsWithTheWriter(t *testing.T) {
	server, client := net.Pipe()
	defer client.Close()
	c := newConnection(New(nil, nil, 1, 1<<20), server)
	for range maxPipelined {
		c.pipelineWindow <- struct{}{}
	}
	close(c.written)
	ping := redcon.AppendBulkString(redcon.AppendArray(nil, 1), "PING")
	go client.Write(bytes.Repeat(ping, 1000))
	if result := c.readCommands(); result != clientDisconnected {
		t.Errorf("the reader ended with %v, want %v", result, clientDisconnected)
	}
	if c.inbox.BufferedBytes() == 0 {
		t.Error("the reader handled all that it had read")
	}
}
