package socket

import (
	"net"
	"testing"
	"time"
)

// connect returns the two ends of a connection.
func connect(t *testing.T) (client, server net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	client, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	server, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	return client, server
}

// When a client reads, the number of unacknowledged bytes falls, although no more
// can be written to the full connection. This shows that the client is alive.
func TestUnsent(t *testing.T) {
	reader, writer := connect(t)
	if err := reader.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	writer.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	if n, err := writer.Write(make([]byte, 64<<20)); err == nil {
		t.Fatalf("got all %d bytes written, want a time-out", n)
	}
	before := UnackedBytes(writer)
	if before <= 0 {
		t.Fatalf("got %d unsent bytes, want more than 0", before)
	}
	b := make([]byte, 1<<10)
	for range 100 {
		if _, err := reader.Read(b); err != nil {
			t.Fatal(err)
		}
	}
	for end := time.Now().Add(5 * time.Second); UnackedBytes(writer) >= before; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got %d unsent bytes after 100 KiB were read, want less than %d", UnackedBytes(writer), before)
		}
	}
	a, z := net.Pipe()
	defer a.Close()
	defer z.Close()
	if got := UnackedBytes(a); got != Unknown {
		t.Fatalf("got %d unsent bytes for a pipe, want Unknown", got)
	}
}

// A hang-up is detected despite unread bytes, after a close or reset by the peer
// and after a close by this process.
func TestHungUp(t *testing.T) {
	for name, end := range map[string]func(far, near net.Conn){
		"close": func(far, _ net.Conn) { far.Close() },
		"reset": func(far, _ net.Conn) {
			far.(*net.TCPConn).SetLinger(0)
			far.Close()
		},
		"own close": func(_, near net.Conn) { near.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			far, near := connect(t)
			if _, err := far.Write([]byte("a command")); err != nil {
				t.Fatal(err)
			}
			if HungUp(near) {
				t.Error("got a hang-up before the connection was closed")
			}
			end(far, near)
			for deadline := time.Now().Add(5 * time.Second); !HungUp(near); time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("the hang-up was not detected")
				}
			}
		})
	}
	a, z := net.Pipe()
	defer z.Close()
	a.Close()
	if HungUp(a) {
		t.Error("got a hang-up for a pipe, which has no file descriptor")
	}
}

// Until unread data takes half of the receive buffer, a close that follows has arrived
// with it and is reported by HungUp.
func TestCloseIsSeenUntilHalfFull(t *testing.T) {
	for _, size := range []int{0, 1, 1000, 30_000, 1 << 20, 16 << 20} {
		client, server := connect(t)
		client.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
		client.Write(make([]byte, size))
		client.Close()
		time.Sleep(20 * time.Millisecond)
		if !HungUp(server) && !HalfFull(server) {
			t.Errorf("%d bytes and a close: neither the close nor that it may be hidden is seen", size)
		}
		if size <= 30_000 && HalfFull(server) {
			t.Errorf("%d bytes make the receive buffer half full", size)
		}
	}
	pipe, _ := net.Pipe()
	if HalfFull(pipe) {
		t.Error("a connection without a file descriptor is half full")
	}
}
