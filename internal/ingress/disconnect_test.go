package ingress

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"hitchspring/internal/standin/scripted"
)

// sendGrace is how long after a client has disconnected the ingress may still send
// an attempt for it.
const sendGrace = 100 * time.Millisecond

// disconnectLog records when clients disconnected, and the attempts for their
// requests that a backend received too late after that.
type disconnectLog struct {
	mu       sync.Mutex
	closed   map[string]time.Time // by request id
	late     []string             // attempts received later than sendGrace after the disconnect
	attempts map[string]int       // number received, by request id
}

func newDisconnectLog() *disconnectLog {
	return &disconnectLog{closed: map[string]time.Time{}, attempts: map[string]int{}}
}

// noteAttempt records an attempt that a backend has received completely.
func (d *disconnectLog) noteAttempt(args []string) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	id := args[2]
	d.attempts[id]++
	if closed, ok := d.closed[id]; ok && now.Sub(closed) > sendGrace {
		d.late = append(d.late, fmt.Sprintf("%s, %v after the close", id, now.Sub(closed).Round(time.Millisecond)))
	}
}

// close closes the connection of the client that sent the requests ids, with a
// TCP reset if hard is set.
func (d *disconnectLog) close(nc net.Conn, hard bool, ids ...int) {
	if hard {
		nc.(*net.TCPConn).SetLinger(0)
	}
	nc.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range ids {
		d.closed[fmt.Sprintf("%016x", id)] = time.Now()
	}
}

func (d *disconnectLog) check(t *testing.T) {
	t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.late) > 0 {
		t.Errorf("%d attempts began for disconnected clients, the first for %s", len(d.late), d.late[0])
	}
}

func (d *disconnectLog) count(id int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.attempts[fmt.Sprintf("%016x", id)]
}

// occupySlots takes all connection slots. Its clients send a partial command, since
// the ingress evicts only idle clients for new ones.
func occupySlots(t *testing.T, addr string, slots int) (release func()) {
	t.Helper()
	var conns []net.Conn
	for range slots {
		nc, _ := dial(t, addr)
		io.WriteString(nc, "*4\r\n$5\r\nQ.A")
		conns = append(conns, nc)
	}
	return func() {
		for _, nc := range conns {
			nc.Close()
		}
	}
}

// Clients in the listen queue send a command and disconnect before the ingress
// accepts their connections, so that it reads the command and the disconnect
// together. It must not forward their requests.
func TestNothingIsSentForClientsDisconnectedInListenQueue(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		clients int
		reset   bool
	}{{"one", 1, false}, {"a thousand", 1000, false}, {"a thousand that reset", 1000, true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			disconnects := newDisconnectLog()
			backend := scripted.NewBackend(t, func(_ int, args []string, _ net.Conn) string {
				disconnects.noteAttempt(args)
				return scripted.Served
			})
			list := endpointList(backend.Addr)
			addr, instance := startInstance(t, testConfig(scripted.Registry(t, list, nil), list))
			slots := instance.front.Load().MaxConnections()
			release := occupySlots(t, addr, slots)
			eventually(t, 10*time.Second, "all slots are taken", func() bool {
				return instance.front.Load().OpenConnections() == slots
			})
			for i := range c.clients {
				nc, _ := dial(t, addr)
				io.WriteString(nc, encodeRead(100+i, readFields))
				disconnects.close(nc, c.reset, 100+i)
			}
			time.Sleep(sendGrace + 50*time.Millisecond)
			release()
			remaining, in := dial(t, addr) // behind the others in the listen queue
			io.WriteString(remaining, encodeRead(99, readFields))
			requireValue(t, in)
			eventually(t, 10*time.Second, "nothing is open", func() bool {
				return instance.core.Metrics().OpenRequests() == 0
			})
			disconnects.check(t)
			if disconnects.count(99) != 1 {
				t.Errorf("the request of the client that stayed was forwarded %d times", disconnects.count(99))
			}
		})
	}
}

// As TestNothingIsSentForClientsDisconnectedInListenQueue, during a shutdown: the
// ingress still accepts connections for listenerGrace after SIGTERM.
func TestNothingIsSentForClientsDisconnectedAtShutdown(t *testing.T) {
	t.Parallel()
	disconnects := newDisconnectLog()
	backend := scripted.NewBackend(t, func(_ int, args []string, _ net.Conn) string {
		disconnects.noteAttempt(args)
		return scripted.Served
	})
	list := endpointList(backend.Addr)
	instance, stop := runIngress(t, testConfig(scripted.Registry(t, list, nil), list))
	addr, slots := instance.Addr().String(), instance.front.Load().MaxConnections()
	release := occupySlots(t, addr, slots)
	eventually(t, 10*time.Second, "all slots are taken", func() bool {
		return instance.front.Load().OpenConnections() == slots
	})
	for i := range 200 {
		nc, _ := dial(t, addr)
		io.WriteString(nc, encodeRead(100+i, readFields))
		disconnects.close(nc, i%2 == 1, 100+i)
	}
	time.Sleep(sendGrace)
	ended := make(chan error, 1)
	go func() { ended <- stop() }()
	eventually(t, 10*time.Second, "the shutdown has begun", func() bool { return instance.front.Load().Draining() })
	release()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	disconnects.check(t)
}

// A client disconnects between a failed attempt and the retry, or while its attempt
// waits for a slow backend connection. No further attempt is sent for it.
func TestNothingIsSentForClientsDisconnectedBeforeAttempt(t *testing.T) {
	t.Parallel()
	const clients = 20
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprintf("before a retry, reset %v", reset), func(t *testing.T) {
			t.Parallel()
			testDisconnectBeforeRetry(t, clients, reset)
		})
		t.Run(fmt.Sprintf("waiting for a connection, reset %v", reset), func(t *testing.T) {
			t.Parallel()
			testDisconnectBeforeConnection(t, clients, reset)
		})
	}
}

func testDisconnectBeforeRetry(t *testing.T, clients int, reset bool) {
	disconnects := newDisconnectLog()
	var mu sync.Mutex
	conns := map[string]net.Conn{}
	backend := scripted.NewBackend(t, func(_ int, args []string, _ net.Conn) string {
		disconnects.noteAttempt(args)
		mu.Lock()
		defer mu.Unlock()
		if nc := conns[args[2]]; nc != nil { // the client disconnects before the attempt fails
			disconnects.close(nc, reset, requestID(args))
			delete(conns, args[2])
			time.Sleep(sendGrace + 20*time.Millisecond)
		}
		return "-ERR failed\r\n"
	})
	list := endpointList(backend.Addr)
	cfg := testConfig(scripted.Registry(t, list, nil), list)
	cfg.Settings.MaxAttempts = 4
	addr, instance := startInstance(t, cfg)
	for i := range clients {
		nc, _ := dial(t, addr)
		mu.Lock()
		conns[fmt.Sprintf("%016x", 100+i)] = nc
		mu.Unlock()
		io.WriteString(nc, encodeRead(100+i, readFields))
	}
	eventually(t, 20*time.Second, "all requests have ended", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(conns) == 0 && instance.core.Metrics().OpenRequests() == 0
	})
	disconnects.check(t)
}

func testDisconnectBeforeConnection(t *testing.T, clients int, reset bool) {
	disconnects := newDisconnectLog()
	backend := scripted.NewDelayedBackend(t, func(_ int, args []string, _ net.Conn) string {
		disconnects.noteAttempt(args)
		return scripted.Served
	})
	backend.BlockConnections()
	list := endpointList(backend.Addr)
	cfg := testConfig(scripted.Registry(t, list, nil), list)
	addr, instance := startInstance(t, cfg)
	for i := range clients {
		nc, _ := dial(t, addr)
		io.WriteString(nc, encodeRead(100+i, readFields))
		eventually(t, 10*time.Second, "the request is accepted", func() bool {
			return instance.core.Metrics().OpenRequests() >= int64(min(i+1, 1))
		})
		disconnects.close(nc, reset, 100+i)
	}
	remaining, in := dial(t, addr)
	io.WriteString(remaining, encodeRead(99, strings.Replace(readFields, "d=50000", "d=20000", 1)))
	time.Sleep(sendGrace)
	backend.UnblockConnections()
	requireValue(t, in)
	disconnects.check(t)
}

// Guards against requests that are sent on for a client that has closed its connection
// behind so many commands that they are not all read at once.
func TestNothingIsSentForClientsDisconnectedBehindABurst(t *testing.T) {
	t.Parallel()
	for _, burst := range []struct{ commands, bodyBytes int }{{200, 8000}, {10_000, 60}, {60, 60_000}, {900, 1000}} {
		t.Run(fmt.Sprintf("%d commands with %d bytes", burst.commands, burst.bodyBytes), func(t *testing.T) {
			t.Parallel()
			disconnects := newDisconnectLog()
			backend := scripted.NewBackend(t, func(_ int, args []string, _ net.Conn) string {
				disconnects.noteAttempt(args)
				if requestID(args) == 1 { // the replies of the others wait for it
					time.Sleep(400 * time.Millisecond)
				}
				time.Sleep(80 * time.Millisecond)
				return scripted.Served
			})
			list := endpointList(backend.Addr, backend.Addr)
			cfg := testConfig(scripted.Registry(t, list, nil), list)
			cfg.Memory = 64 << 20
			addr, instance := startInstance(t, cfg)
			var text strings.Builder
			ids := make([]int, burst.commands)
			fields := strings.Replace(readFields, "d=50000", "d=1000", 1)
			body := strings.Repeat("b", burst.bodyBytes)
			for i := range ids {
				ids[i] = i + 1
				text.WriteString(encodeCommand("Q.ASK", "00000000b4d65521", fmt.Sprintf("%016x", i+1), fields, body))
			}
			nc, _ := dial(t, addr)
			if _, err := io.WriteString(nc, text.String()); err != nil {
				t.Fatal(err)
			}
			disconnects.close(nc, false, ids...)
			time.Sleep(time.Second)
			eventually(t, 10*time.Second, "nothing is open", func() bool {
				return instance.core.Metrics().OpenRequests() == 0
			})
			disconnects.check(t)
		})
	}
}
