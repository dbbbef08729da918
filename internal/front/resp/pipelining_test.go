package resp

import (
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"hitchspring/internal/core"
	"hitchspring/internal/resp"
)

// testFront is a front with a listener, whose requests the test answers.
type testFront struct {
	manualCore
	front *Front
	addr  string
}

func newTestFront(t *testing.T, memory int) testFront {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tf := testFront{manualCore: newManualCore(10_000), addr: listener.Addr().String()}
	tf.front = New(listener, tf.manualCore, 100, memory)
	tf.front.Start()
	t.Cleanup(func() {
		tf.front.Close()
		tf.front.stop()
	})
	return tf
}

// dial connects a client, which sends so many commands at once. The id of the first is
// firstID.
func (tf testFront) dial(t *testing.T, firstID, commands int) net.Conn {
	t.Helper()
	client, err := net.Dial("tcp", tf.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	client.SetDeadline(time.Now().Add(30 * time.Second))
	text := ""
	for k := range commands {
		text += encodeRequest(firstID + k)
	}
	if _, err := io.WriteString(client, text); err != nil {
		t.Fatal(err)
	}
	return client
}

// longAnswer is the longest value that isn't streamed.
func longAnswer() core.Answer {
	return core.Answer{Kind: core.Served, Value: make([]byte, resp.MaxValueBytes)}
}

// Guards against clients that lose their connection, and replies of requests that have
// run, because replies wait in memory for an earlier one of the connection: it counted
// as if the client did not read.
func TestRepliesBehindAnEarlierOneKeepTheConnection(t *testing.T) {
	const (
		memory   = 1 << 20
		clients  = 8
		commands = maxPipelined
	)
	tf := newTestFront(t, memory)
	results := make(chan error, clients)
	for i := range clients {
		client := tf.dial(t, 1+i*commands, commands)
		go func() {
			want := int64(commands * (len("$65536\r\n") + resp.MaxValueBytes + len("\r\n")))
			n, err := io.CopyN(io.Discard, client, want)
			if err != nil {
				err = fmt.Errorf("%d of %d bytes came: %w", n, want, err)
			}
			results <- err
		}()
	}
	go func() {
		for range clients * commands {
			request := <-tf.submitted
			if request.ClientID%commands == 1 { // the first of a connection
				time.AfterFunc(100*time.Millisecond, func() { request.Sink.Deliver(longAnswer()) })
			} else {
				request.Sink.Deliver(longAnswer())
			}
			// The first reply of each connection needs no reservation.
			if used := tf.front.replyMemory.used.Load(); used > memory+clients*maxReplyBytes {
				t.Errorf("%d bytes are in use, the limit is %d", used, memory)
			}
		}
	}()
	for range clients {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
	tf.expectReplyMemory(t, 0)
}

// expectReplyMemory waits until so many bytes of reply memory are in use.
func (tf testFront) expectReplyMemory(t *testing.T, want int64) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); tf.front.replyMemory.used.Load() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes of reply memory are in use, want %d", tf.front.replyMemory.used.Load(), want)
		}
	}
}

// Guards against clients that pipeline and don't read taking the memory for replies
// from others for good: they hold no more than the limit and one reply each, and are
// closed, so that a client that reads gets its replies.
func TestClientsThatDoNotReadLeaveMemoryToOthers(t *testing.T) {
	const (
		memory  = 1 << 20
		clients = 6
	)
	tf := newTestFront(t, memory)
	var answered sync.WaitGroup
	done := make(chan struct{})
	answered.Go(func() {
		for {
			select {
			case request := <-tf.submitted:
				request.Sink.Deliver(longAnswer())
			case <-done:
				return
			}
			if used := tf.front.replyMemory.used.Load(); used > memory+(clients+1)*maxReplyBytes {
				t.Errorf("%d bytes are in use, the limit is %d", used, memory)
			}
		}
	})
	defer answered.Wait()
	defer close(done)
	for i := range clients {
		client := tf.dial(t, 1+1000*i, maxPipelined)
		go func() { // more commands than the kernel takes replies to
			for k := maxPipelined; k < 400; k++ {
				if _, err := io.WriteString(client, encodeRequest(1+1000*i+k)); err != nil {
					return
				}
			}
		}()
	}
	memoryInUse := tf.front.replyMemory
	waitFor(t, "the clients that don't read to use up the memory", func() bool {
		used := memoryInUse.used.Load()
		time.Sleep(200 * time.Millisecond) // nothing is written any more if this doesn't change
		return memoryInUse.shortage() > 0 && memoryInUse.used.Load() == used
	})
	const commands = 2 * maxPipelined
	reader := tf.dial(t, 100_001, commands)
	want := int64(commands * (len("$65536\r\n") + resp.MaxValueBytes + len("\r\n")))
	began := time.Now()
	if n, err := io.CopyN(io.Discard, reader, want); err != nil {
		t.Fatalf("the client that reads got %d of %d bytes: %v", n, want, err)
	}
	if took := time.Since(began); took > stalledReaderTimeout {
		t.Errorf("the client that reads had its replies after %v, want at most %v", took, stalledReaderTimeout)
	}
	waitFor(t, "the end of clients that don't read", func() bool { return memoryInUse.shortage() <= 0 })
}

// A client that leaves while its next command waits for reply memory ends its
// connection, and gives back what it had.
func TestDisconnectWhileWaitingForReplyMemory(t *testing.T) {
	tf := newTestFront(t, maxReplyBytes) // one reply that waits for an earlier one
	client := tf.dial(t, 1, 3)
	first, second := <-tf.submitted, <-tf.submitted
	waitFor(t, "the third command to wait", func() bool { return tf.front.replyMemory.waiting.Load() == 1 })
	client.Close()
	left := map[*core.Request]bool{<-tf.disconnected: true, <-tf.disconnected: true}
	if !left[first] || !left[second] {
		t.Error("the core was not told of the two requests whose client left")
	}
	tf.expectReplyMemory(t, 0)
	if n := tf.front.replyMemory.waiting.Load(); n != 0 {
		t.Errorf("%d connections wait for reply memory, want none", n)
	}
}

// A command that waits for reply memory is submitted as soon as all earlier replies of
// its connection are written, even if others keep the memory.
func TestFirstCommandNeedsNoReplyMemory(t *testing.T) {
	tf := newTestFront(t, maxReplyBytes)
	other := tf.dial(t, 1, 2)
	otherFirst, otherSecond := <-tf.submitted, <-tf.submitted
	client := tf.dial(t, 11, 2)
	first := <-tf.submitted
	waitFor(t, "the second command to wait", func() bool { return tf.front.replyMemory.waiting.Load() == 1 })
	first.Sink.Deliver(core.Answer{Kind: core.Rejected})
	select {
	case request := <-tf.submitted:
		if request.ClientID != 12 {
			t.Errorf("request %x was submitted, want 12", request.ClientID)
		}
		request.Sink.Deliver(core.Answer{Kind: core.Rejected})
	case <-time.After(10 * time.Second):
		t.Fatal("the second command was not submitted")
	}
	otherFirst.Sink.Deliver(core.Answer{Kind: core.Rejected})
	otherSecond.Sink.Deliver(core.Answer{Kind: core.Rejected})
	for _, conn := range []net.Conn{client, other} {
		if _, err := io.ReadFull(conn, make([]byte, 2*len("-BUSY\r\n"))); err != nil {
			t.Error(err)
		}
	}
	tf.expectReplyMemory(t, 0)
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}
