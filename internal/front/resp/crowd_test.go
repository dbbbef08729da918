package resp

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// stalledClientTimeout is the time within which a client that stalls within a command
// must get an error or a closed connection.
const stalledClientTimeout = 3 * time.Second

// dialPartial connects and sends part of a command. It returns a channel that is
// closed when the client receives something or its connection ends.
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
	responded := make(chan struct{})
	go func() {
		defer close(responded)
		var b [1]byte
		_, _ = conn.Read(b[:]) // an error also means the end of the connection
	}()
	return responded
}

// Guards against a stalled client that waits longer than 3 s for its error because all
// slots are taken by other stalled clients.
func TestStalledClientBehindStalledClients(t *testing.T) {
	few := encodeRequest(1)[:20]
	body := strings.Repeat("x", 1<<20)
	withBody := encodeCommand("Q.DO", "00000000b4d65521", "1", "c=read,t=p,d=50000,units=1,spread=1,first=0", body)
	tests := map[string]string{
		"a few bytes": few,
		// The client's last bytes reach our kernel only once the first have been read.
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
	time.Sleep(20 * time.Millisecond) // until these clients hold all slots
	began := time.Now()
	responded := dialPartial(t, ln.Addr().String(), part)
	select {
	case <-responded:
	case <-time.After(2 * stalledClientTimeout):
	}
	if took := time.Since(began); took > stalledClientTimeout {
		t.Errorf("the client got no reply for %v, want at most %v", took, stalledClientTimeout)
	}
}
