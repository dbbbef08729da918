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

// What a client reads shows at the other end although nothing more can be
// written: such a connection is not dead.
func TestUnsent(t *testing.T) {
	reader, writer := connect(t)
	if err := reader.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	writer.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	if n, err := writer.Write(make([]byte, 64<<20)); err == nil {
		t.Fatalf("got all %d bytes written, want a time-out", n)
	}
	before := Unsent(writer)
	if before <= 0 {
		t.Fatalf("got %d unsent bytes, want more than 0", before)
	}
	b := make([]byte, 1<<10)
	for range 100 {
		if _, err := reader.Read(b); err != nil {
			t.Fatal(err)
		}
	}
	for end := time.Now().Add(5 * time.Second); Unsent(writer) >= before; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got %d unsent bytes after 100 KiB were read, want less than %d", Unsent(writer), before)
		}
	}
	a, z := net.Pipe()
	defer a.Close()
	defer z.Close()
	if got := Unsent(a); got != Unknown {
		t.Fatalf("got %d of a pipe, want Unknown", got)
	}
}

// The end of a connection shows behind unread bytes, by a close and by a reset,
// and if this process has closed it.
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
				t.Error("got an end before there was one")
			}
			end(far, near)
			for deadline := time.Now().Add(5 * time.Second); !HungUp(near); time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("the end was not seen")
				}
			}
		})
	}
	a, z := net.Pipe()
	defer z.Close()
	a.Close()
	if HungUp(a) {
		t.Error("got an end of a pipe, which has no descriptor")
	}
}
