package socket

import (
	"net"
	"testing"
	"time"
)

// What a client has taken shows at its connection though nothing more can be written: it is no dead one.
func TestUnsent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	reader, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	reader.(*net.TCPConn).SetReadBuffer(4 << 10)
	writer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer writer.Close()
	writer.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	if n, err := writer.Write(make([]byte, 64<<20)); err == nil {
		t.Fatalf("%d bytes found room", n)
	}
	before := Unsent(writer)
	if before <= 0 {
		t.Fatal(before)
	}
	b := make([]byte, 1<<10)
	for range 100 {
		if _, err := reader.Read(b); err != nil {
			t.Fatal(err)
		}
	}
	for end := time.Now().Add(5 * time.Second); Unsent(writer) >= before; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes before, %d after 100 KiB were read", before, Unsent(writer))
		}
	}
	a, z := net.Pipe()
	defer a.Close()
	defer z.Close()
	if Unsent(a) != Unknown {
		t.Fatal("a pipe can tell")
	}
}

// The end of a connection shows behind bytes that nobody has read, by a close and by a reset, and where this process has closed it.
func TestHungUp(t *testing.T) {
	for _, how := range []string{"close", "reset", "own close"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		far, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := far.Write([]byte("a command")); err != nil {
			t.Fatal(err)
		}
		near, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if HungUp(near) {
			t.Errorf("%s: gone before", how)
		}
		switch how {
		case "close":
			far.Close()
		case "reset":
			far.(*net.TCPConn).SetLinger(0)
			far.Close()
		default:
			near.Close()
		}
		for end := time.Now().Add(5 * time.Second); !HungUp(near); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: not seen", how)
			}
		}
		far.Close()
		near.Close()
		ln.Close()
	}
	a, z := net.Pipe()
	defer z.Close()
	a.Close()
	if HungUp(a) {
		t.Error("a pipe can tell")
	}
}
