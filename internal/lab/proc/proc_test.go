package proc

import (
	"errors"
	"net"
	"strings"
	"syscall"
	"testing"
)

// The kernel does not assign a reserved address to another listener, and its owner can listen on it repeatedly.
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
			t.Fatal("got two listeners on one address, want an error")
		}
		listener.Close()
	}
	for range 20000 {
		listener, err := net.Listen("tcp", "127.0.0.77:0")
		if err != nil {
			t.Fatal(err)
		}
		if listener.Addr().String() == reserved.Addr() {
			t.Fatal("the reserved address was assigned to another listener")
		}
		listener.Close()
	}
}

// Only an IPv4 address can be reserved.
func TestReserveAddressRequiresIPv4(t *testing.T) {
	for _, host := range []string{"", "::1", "localhost"} {
		if _, err := ReserveAddress(host); err == nil || !strings.Contains(err.Error(), "IPv4") {
			t.Errorf("%q: got %v, want an error about IPv4", host, err)
		}
	}
}

// If a process exits before it serves, Start returns an error with the last line of its output, and signals to it fail.
func TestExitAtStart(t *testing.T) {
	process := &Process{
		Name:      "n1",
		Program:   "/bin/false",
		Env:       []string{},
		IsServing: func() bool { return false },
	}
	err := process.Start(t.Context())
	if want := "n1 exited before it was serving: no output"; err == nil || !strings.Contains(err.Error(), want) {
		t.Fatalf("got %v, want %s", err, want)
	}
	if process.Running() {
		t.Error("the process is reported as running after its exit")
	}
	if err := process.SendSignal(syscall.SIGTERM); !errors.Is(err, ErrNotRunning) {
		t.Errorf("got %v for a signal, want %v", err, ErrNotRunning)
	}
}

// A tail returns the last line and holds at most maxTailBytes.
func TestTail(t *testing.T) {
	var output tail
	output.Write([]byte("one\ntwo\n"))
	if got := output.lastLine(); got != "two" {
		t.Fatalf("got the last line %q, want two", got)
	}
	output.Write([]byte(strings.Repeat("x", 3*maxTailBytes) + "\nthree\n"))
	if got := output.lastLine(); got != "three" || len(output.text) > maxTailBytes {
		t.Fatalf("got the last line %q and %d bytes, want three and at most %d",
			got, len(output.text), maxTailBytes)
	}
}
