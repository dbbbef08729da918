package proc

import (
	"net"
	"strings"
	"syscall"
	"testing"
)

// An address that is held is nobody else's draw, and its process can listen on it, again and again.
func TestHold(t *testing.T) {
	h, err := HoldAddress("127.0.0.77")
	if err != nil {
		t.Fatal(err)
	}
	defer h.Release()
	for range 3 {
		ln, err := net.Listen("tcp", h.Addr())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := net.Listen("tcp", h.Addr()); err == nil {
			t.Fatal("two listen on one address")
		}
		ln.Close()
	}
	for range 20000 {
		ln, err := net.Listen("tcp", "127.0.0.77:0")
		if err != nil {
			t.Fatal(err)
		}
		if ln.Addr().String() == h.Addr() {
			t.Fatal("a held address was drawn by another")
		}
		ln.Close()
	}
	for _, host := range []string{"", "::1", "localhost"} {
		if _, err := HoldAddress(host); err == nil || !strings.Contains(err.Error(), "IPv4") {
			t.Error(host, err)
		}
	}
}

// A process that ends at its start is an error with its last line, and no other process's answer is taken for its own.
func TestEndsAtStart(t *testing.T) {
	p := &Process{Name: "n1", Program: "/bin/sh", IsServing: func() bool { return false }}
	p.Env = []string{}
	p.Program = "/bin/false"
	if err := p.Start(t.Context()); err == nil || !strings.Contains(err.Error(), "n1 ended at its start: it said nothing") {
		t.Fatal(err)
	}
	if p.Running() || p.SendSignal(syscall.SIGTERM) == nil {
		t.Fatal("it runs")
	}
	var said tail
	said.Write([]byte("one\ntwo\n"))
	if said.last() != "two" {
		t.Fatal(said.last())
	}
	said.Write([]byte(strings.Repeat("x", 3*maxTailBytes) + "\nthree\n"))
	if said.last() != "three" || len(said.b) > maxTailBytes {
		t.Fatal(said.last(), len(said.b))
	}
}
