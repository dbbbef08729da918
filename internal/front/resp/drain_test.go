package resp

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"hitchspring/internal/core"
)

// delayedListener holds an accepted connection back until a test releases it, even if
// the listener is closed meanwhile.
type delayedListener struct {
	net.Listener
	accepted chan struct{} // closed when a connection has been accepted
	release  chan struct{} // closed by the test to let Accept return
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

// A drain begins after a connection was accepted but before it is served. The drain
// must not end, and let the process exit, while a request of that connection is open.
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
			t.Errorf("the drain ended while a request was open, with %d connections left", open)
			drained <- 0
		case <-time.After(100 * time.Millisecond):
		}
		request.Sink.Deliver(core.Answer{Kind: core.Rejected})
	case <-time.After(10 * time.Second):
		t.Fatal("the request was not submitted")
	}
	client.(*net.TCPConn).CloseWrite()
	if open := <-drained; open != 0 {
		t.Errorf("got %d open connections after the drain, want 0", open)
	}
}
