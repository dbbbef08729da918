package resp

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"hitchspring/internal/core"
)

// delayedListener returns an accepted connection only when a test lets it, also
// after the listener was closed.
type delayedListener struct {
	net.Listener
	accepted chan struct{} // closed when it has one
	release  chan struct{}
}

// Accept implements net.Listener.
func (l *delayedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	close(l.accepted)
	<-l.release
	return nc, nil
}

// A drain begins when a connection has been accepted and isn't served yet. It must
// not end, and with it the process, while a request of that connection is open.
func TestDrainWaitsForAcceptedConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	delayed := &delayedListener{Listener: ln, accepted: make(chan struct{}), release: make(chan struct{})}
	fake := newManualCore(1)
	front := New(delayed, fake, 4, 1<<20)
	front.Start()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	io.WriteString(client, encodeRequest(1))
	<-delayed.accepted
	drained := make(chan int, 1)
	go func() {
		front.Drain(context.Background())
		drained <- front.OpenConnections()
	}()
	for !front.terminating.Load() {
		time.Sleep(time.Millisecond)
	}
	close(delayed.release)
	select {
	case request := <-fake.submitted:
		select {
		case open := <-drained:
			t.Errorf("the drain has ended while a request is open, on %d connections", open)
			drained <- 0
		case <-time.After(100 * time.Millisecond):
		}
		request.Sink.Deliver(core.Answer{Kind: core.Rejected})
	case <-time.After(10 * time.Second):
		t.Fatal("the request was not taken")
	}
	client.(*net.TCPConn).CloseWrite()
	if open := <-drained; open != 0 {
		t.Errorf("%d connections are open after the drain", open)
	}
}
