package ingress

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hitchspring/internal/standin/scripted"
)

// busyClient is a client that pipelines commands without a pause, so that its
// connection is never idle.
type busyClient struct {
	conn     net.Conn
	written  atomic.Int64
	answered atomic.Int64 // negative once reading has ended
	ended    chan error   // receives the error that ended reading
}

func startBusyClient(t *testing.T, addr string) *busyClient {
	t.Helper()
	conn, in := dial(t, addr)
	c := &busyClient{conn: conn, ended: make(chan error, 1)}
	var writing sync.WaitGroup
	writing.Go(c.write)
	t.Cleanup(func() {
		conn.Close()
		writing.Wait()
	})
	go c.read(in)
	return c
}

func (c *busyClient) write() {
	const maxAhead = 20
	for id := 1000; ; id++ {
		if _, err := io.WriteString(c.conn, encodeRead(id, readFields)); err != nil {
			return
		}
		c.written.Add(1)
		for c.written.Load()-c.answered.Load() > maxAhead {
			time.Sleep(time.Millisecond)
			if c.answered.Load() < 0 {
				return
			}
		}
	}
}

func (c *busyClient) read(in *bufio.Reader) {
	for {
		head, err := in.ReadString('\n')
		if err == nil && head != "$5\r\n" {
			err = fmt.Errorf("answer %q", head)
		}
		if err == nil {
			_, err = in.ReadString('\n')
		}
		if err != nil {
			c.answered.Store(-1 << 40)
			c.conn.Close()
			c.ended <- err
			return
		}
		c.answered.Add(1)
	}
}

// A draining ingress reports that it is not ready, still serves new connections, and
// closes each connection between two requests without losing one, even if the client
// never pauses. Activate makes it ready again, even right after the drain call.
func TestDrainAndActivate(t *testing.T) {
	backend := scripted.NewBackend(t, func(int, []string, net.Conn) string { return servedReply })
	list := endpointList(backend.Addr)
	instance, _ := runIngress(t, adminConfig(scripted.Registry(t, list, nil), list))
	addr := instance.Addr().String()
	ping := func() string {
		nc, in := dial(t, addr)
		defer nc.Close()
		io.WriteString(nc, encodeCommand("PING"))
		return readLine(t, in)
	}
	// Activate follows the drain within 50 ms.
	requireAdminCall(t, instance, "PUT", "/v1/ingress/drain", 200)
	requireAdminCall(t, instance, "PUT", "/v1/ingress/drain", 200)
	if s := ping(); s == "+PONG" {
		t.Fatal("PING says yes after the drain")
	}
	requireAdminCall(t, instance, "GET", "/v1/readyz", 503)
	requireAdminCall(t, instance, "PUT", "/v1/ingress/activate", 200)
	if s := ping(); s != "+PONG" {
		t.Fatalf("PING says %s after activate", s)
	}
	requireAdminCall(t, instance, "GET", "/v1/readyz", 200)

	idle, idleIn := dial(t, addr)
	io.WriteString(idle, encodeRead(1, readFields))
	requireValue(t, idleIn)
	busy := startBusyClient(t, addr)
	eventually(t, 5*time.Second, "the busy connection is served", func() bool { return busy.answered.Load() > 50 })
	requireAdminCall(t, instance, "PUT", "/v1/ingress/drain", 200)
	late, lateIn := dial(t, addr)
	io.WriteString(late, encodeRead(2, readFields))
	requireValue(t, lateIn)
	for name, in := range map[string]*bufio.Reader{"the idle": idleIn, "the late": lateIn} {
		if rest, err := io.ReadAll(in); len(rest) > 0 || err != nil {
			t.Fatalf("%s connection ends with %q, %v", name, rest, err)
		}
	}
	select {
	case err := <-busy.ended:
		if !errors.Is(err, io.EOF) {
			t.Fatalf("the connection that never pauses ends with %v, want a clean end", err)
		}
	case <-time.After(4 * time.Second):
		t.Fatal("the connection that never pauses is open 4 s after the drain")
	}
	requireAdminCall(t, instance, "PUT", "/v1/ingress/activate", 200)
	if s := ping(); s != "+PONG" {
		t.Fatalf("PING says %s after activate", s)
	}
}
