package resp

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"hitchspring/internal/core"
)

// fakeCore records the requests whose clients have disconnected.
type fakeCore struct {
	Core
	disconnected []*core.Request
}

func (f *fakeCore) NotifyDisconnected(reqs []*core.Request) {
	f.disconnected = append(f.disconnected, reqs...)
}

// Commands on a finished connection are dropped, however many: a reader that waited
// for the pipeline window would keep a shutdown from ending.
func TestFinishedConnectionTakesNoCommand(t *testing.T) {
	c := newConnection(nil, nil)
	c.phase = finished
	for range maxPipelined + 1 {
		if c.addPending(nil) != nil {
			t.Fatal("a command was taken")
		}
	}
}

// deadlineRecorder records whether each read deadline of a connection is set or removed.
type deadlineRecorder struct {
	net.Conn
	isSet []bool
}

func (r *deadlineRecorder) SetReadDeadline(t time.Time) error {
	r.isSet = append(r.isSet, !t.IsZero())
	return nil
}

// A partial command must end in time, so that a half-open client doesn't stay for
// good. Between commands a client may be silent.
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
		t.Fatalf("limits set: %v, want one inside the split command, taken off after it", got)
	}
}

// A client that leaves its answers unread is disconnected before these fill the
// memory, and not one that reads them.
func TestSlowReaderIsDisconnected(t *testing.T) {
	f := New(nil, nil, 2, 1000)
	var clients [2]net.Conn
	var connections [2]*connection
	for i := range clients {
		server, client := net.Pipe()
		clients[i], connections[i] = client, newConnection(f, server)
		f.connections[connections[i]] = true
	}
	connections[0].addPending(nil).complete(make([]byte, 900))
	connections[1].addPending(nil).complete(make([]byte, 200))
	clients[1].SetWriteDeadline(time.Now()) // nobody reads it: a write waits for ever
	if _, err := clients[0].Write([]byte("x")); !errors.Is(err, io.ErrClosedPipe) {
		t.Fatalf("the slow reader's connection was not closed: %v", err)
	}
	if _, err := clients[1].Write([]byte("x")); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("the other's was closed: %v", err)
	}
}

// Bytes that are not written are counted until their connection ends, also if the
// client has disconnected by then.
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
	if n := f.unsent.Load(); n != 0 {
		t.Fatalf("got %d unsent bytes without a connection, want 0", n)
	}
	if len(fake.disconnected) != 1 {
		t.Fatalf("%d requests abandoned", len(fake.disconnected))
	}
}
