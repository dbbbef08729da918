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

// fakeCore notes the requests that are abandoned.
type fakeCore struct {
	Core
	left []*core.Request
}

func (f *fakeCore) NotifyDisconnected(reqs []*core.Request) { f.left = append(f.left, reqs...) }

// What comes on a connection that is closing is dropped, however much: a reader that waited there for room
// kept a shutdown from ending.
func TestClosingConnectionTakesNothing(t *testing.T) {
	c := newConnection(nil, nil)
	c.phase = finished
	for range mostPipelined + 1 {
		if c.addPending(nil) != nil {
			t.Fatal("a command was taken")
		}
	}
}

// limits notes the read limits that are set on a connection.
type limits struct {
	net.Conn
	set []bool
}

func (l *limits) SetReadDeadline(t time.Time) error {
	l.set = append(l.set, !t.IsZero())
	return nil
}

// A command that has begun must end in time, so that a half-open client does not stay for good; between
// commands a client may be silent.
func TestOnlyPartialCommandsHaveALimit(t *testing.T) {
	near, far := net.Pipe()
	c := newConnection(New(nil, nil, 1, 1<<20), &limits{Conn: near})
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.read()
	}()
	ping := string(redcon.AppendBulkString(redcon.AppendArray(nil, 1), "PING"))
	for _, part := range []string{ping, ping[:5], ping[5:], ping} {
		io.WriteString(far, part)
	}
	far.Close()
	<-done
	if got := c.nc.(*limits).set; fmt.Sprint(got) != "[true false]" {
		t.Fatalf("limits set: %v, want one inside the split command, taken off after it", got)
	}
}

// A client that leaves its answers unread loses its connection before they fill the memory, and not one that reads.
func TestSlowReaderIsCutOff(t *testing.T) {
	f := New(nil, nil, 2, 1000)
	var ends [2]net.Conn
	var clients [2]*connection
	for i := range ends {
		near, far := net.Pipe()
		ends[i], clients[i] = far, newConnection(f, near)
		f.connections[clients[i]] = true
	}
	clients[0].addPending(nil).answer(make([]byte, 900))
	clients[1].addPending(nil).answer(make([]byte, 200))
	ends[1].SetWriteDeadline(time.Now()) // nobody reads it: a write waits for ever
	if _, err := ends[0].Write([]byte("x")); !errors.Is(err, io.ErrClosedPipe) {
		t.Fatalf("the slow reader's connection was kept: %v", err)
	}
	if _, err := ends[1].Write([]byte("x")); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("the other's was closed: %v", err)
	}
}

// What is not written yet is counted to its end, also where the client has left by then: the figure once only rose.
func TestUnsentIsGivenBack(t *testing.T) {
	g := &fakeCore{}
	f := New(nil, g, 1, 1<<20)
	near, far := net.Pipe()
	c := newConnection(f, near)
	f.places <- struct{}{}
	f.serving.Add(1)
	first, second := c.addPending(&core.Request{}), c.addPending(nil)
	second.answer([]byte("+PONG\r\n"))
	far.Close()
	c.serve()
	first.answer([]byte("-ERR failed\r\n"))
	if n := f.unsent.Load(); n != 0 {
		t.Fatalf("%d bytes unsent of nobody", n)
	}
	if len(g.left) != 1 {
		t.Fatalf("%d requests abandoned", len(g.left))
	}
}
