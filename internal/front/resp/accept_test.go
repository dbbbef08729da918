package resp

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"hitchspring/internal/core"
)

// lateListener has a connection in hand that it returns only when a test lets it, also after it was closed.
type lateListener struct {
	net.Listener
	accepted chan struct{} // closed when it has one
	release  chan struct{}
}

// Accept is net.Listener's.
func (l *lateListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	close(l.accepted)
	<-l.release
	return nc, nil
}

// TestDrainWaitsForWhatWasAccepted has a drain begin when a connection has been accepted and is not served yet. Before, the drain found no
// connection and ended, and with it the process, under a request that had been taken.
func TestDrainWaitsForWhatWasAccepted(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	late := &lateListener{Listener: ln, accepted: make(chan struct{}), release: make(chan struct{})}
	desk := deskCore{make(chan *core.Request, 1), make(chan *core.Request, 1)}
	f := New(late, desk, 4, 1<<20)
	f.Start()
	far, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	io.WriteString(far, question(1))
	<-late.accepted
	drained := make(chan int, 1)
	go func() {
		f.Drain(context.Background())
		drained <- f.OpenConnections()
	}()
	for !f.terminating.Load() {
		time.Sleep(time.Millisecond)
	}
	close(late.release)
	select {
	case r := <-desk.came:
		select {
		case open := <-drained:
			t.Errorf("the drain has ended while a request is open, on %d connections", open)
			drained <- 0
		case <-time.After(100 * time.Millisecond):
		}
		r.Sink.Deliver(core.Answer{Kind: core.Rejected})
	case <-time.After(10 * time.Second):
		t.Fatal("the request was not taken")
	}
	far.(*net.TCPConn).CloseWrite()
	if open := <-drained; open != 0 {
		t.Errorf("%d connections are open after the drain", open)
	}
}
