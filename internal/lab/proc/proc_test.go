package proc

import (
	"errors"
	"net"
	"strings"
	"syscall"
	"testing"
)

// No other listener draws an address that is reserved, and its own process can listen on it again and again.
func TestReserveAddress(t *testing.T) {
	reserved, err := ReserveAddress("127.0.0.77")
	if err != nil {
		t.Fatal(err)
	}
	defer reserved.Release()
	for range 3 {
		listener, err := net.Listen("tcp", reserved.Addr())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := net.Listen("tcp", reserved.Addr()); err == nil {
			t.Fatal("two listen on one address")
		}
		listener.Close()
	}
	for range 20000 {
		listener, err := net.Listen("tcp", "127.0.0.77:0")
		if err != nil {
			t.Fatal(err)
		}
		if listener.Addr().String() == reserved.Addr() {
			t.Fatal("another listener drew the reserved address")
		}
		listener.Close()
	}
}

// Only an IPv4 address can be reserved.
func TestReserveAddressFails(t *testing.T) {
	for _, host := range []string{"", "::1", "localhost"} {
		if _, err := ReserveAddress(host); err == nil || !strings.Contains(err.Error(), "IPv4") {
			t.Errorf("%q: got %v, want an error about IPv4", host, err)
		}
	}
}

// A process that exits at its start is an error with its last line, and no other process's answer is taken for its own.
func TestExitAtStart(t *testing.T) {
	process := &Process{
		Name:      "n1",
		Program:   "/bin/false",
		Env:       []string{},
		IsServing: func() bool { return false },
	}
	err := process.Start(t.Context())
	if want := "n1 ended at its start: it said nothing"; err == nil || !strings.Contains(err.Error(), want) {
		t.Fatalf("got %v, want %s", err, want)
	}
	if process.Running() {
		t.Error("the process is running")
	}
	if err := process.SendSignal(syscall.SIGTERM); !errors.Is(err, ErrNotRunning) {
		t.Errorf("got %v for a signal, want %v", err, ErrNotRunning)
	}
}

// A tail holds the last line, and no more than its bound.
func TestTail(t *testing.T) {
	var output tail
	output.Write([]byte("one\ntwo\n"))
	if got := output.lastLine(); got != "two" {
		t.Fatalf("got the last line %q, want two", got)
	}
	output.Write([]byte(strings.Repeat("x", 3*maxTailBytes) + "\nthree\n"))
	if got := output.lastLine(); got != "three" || len(output.text) > maxTailBytes {
		t.Fatalf("got the last line %q and %d bytes, want three and %d at the most",
			got, len(output.text), maxTailBytes)
	}
}
