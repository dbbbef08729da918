package resp

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// badClientLimit is within what time a client that stops within a command is owed
// an error or the end of its connection.
const badClientLimit = 3 * time.Second

// dialPartial connects and sends a part of a command. It returns a channel that
// is closed when the connection has brought something, or has ended.
func dialPartial(t *testing.T, addr, part string) <-chan struct{} {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if _, err := io.WriteString(conn, part); err != nil {
		t.Fatal(err)
	}
	heard := make(chan struct{})
	go func() {
		defer close(heard)
		var b [1]byte
		_, _ = conn.Read(b[:]) // an error is an end as well
	}()
	return heard
}

// Guards against a client that stops within a command and waits for over 3 s for
// its error, because all slots are taken by clients that have stopped too.
func TestStalledClientBehindStalledClients(t *testing.T) {
	few := encodeRequest(1)[:20]
	body := strings.Repeat("x", 1<<20)
	withBody := encodeCommand("Q.DO", "00000000b4d65521", "1", "c=read,t=p,d=50000,units=1,spread=1,first=0", body)
	tests := map[string]string{
		"a few bytes": few,
		// The kernel takes the last of them from the client when the first are read.
		"more than the kernel holds for a connection in the queue": withBody[:len(withBody)/2],
	}
	for name, part := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testStalledClientBehindStalledClients(t, part)
		})
	}
}

func testStalledClientBehindStalledClients(t *testing.T, part string) {
	t.Helper()
	const slots = 8
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := New(ln, newManualCore(200), slots, 1<<20)
	f.Start()
	t.Cleanup(func() {
		f.Close()
		f.stop()
	})
	for range slots {
		dialPartial(t, ln.Addr().String(), encodeRequest(1)[:20])
	}
	time.Sleep(20 * time.Millisecond) // they have the slots
	began := time.Now()
	heard := dialPartial(t, ln.Addr().String(), part)
	select {
	case <-heard:
	case <-time.After(2 * badClientLimit):
	}
	if took := time.Since(began); took > badClientLimit {
		t.Errorf("it was left without a word for %v, want %v at the most", took, badClientLimit)
	}
}
