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

// sendGrace is how long after a client has closed its connection an attempt for
// it may still begin.
const sendGrace = 100 * time.Millisecond

// disconnectLog records when clients closed their connections, and which
// attempts began for them afterwards.
type disconnectLog struct {
	mu       sync.Mutex
	closed   map[string]time.Time // by request id
	late     []string
	attempts map[string]int
}

func newDisconnectLog() *disconnectLog {
	return &disconnectLog{closed: map[string]time.Time{}, attempts: map[string]int{}}
}

// noteAttempt notes a command whose last byte has reached the backend.
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

// close closes the connection of the client of some requests; hard resets it.
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

// occupySlots takes all connection slots with clients whose command is partial,
// which are not evicted.
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

// Clients that wait for a slot write their command and disconnect before they
// are accepted: command and end lie in the kernel together. Their requests are
// not forwarded when they are accepted later.
func TestNothingIsSentForClientsDisconnectedInListenQueue(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		clients int
		reset   bool
	}{{"one", 1, false}, {"a thousand", 1000, false}, {"a thousand that reset", 1000, true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			left := newDisconnectLog()
			backend := scripted.NewBackend(t, func(_ int, args []string, _ net.Conn) string {
				left.noteAttempt(args)
				return scripted.Served
			})
			list := fleetOf(backend.Addr)
			addr, instance := startInstance(t, testConfig(scripted.Registry(t, list, nil), list))
			slots := instance.front.Load().MaxConnections()
			release := occupySlots(t, addr, slots)
			eventually(t, 10*time.Second, "all slots are taken", func() bool {
				return instance.front.Load().OpenConnections() == slots
			})
			for i := range c.clients {
				nc, _ := dial(t, addr)
				io.WriteString(nc, encodeRead(100+i, readFields))
				left.close(nc, c.reset, 100+i)
			}
			time.Sleep(sendGrace + 50*time.Millisecond)
			release()
			stays, in := dial(t, addr) // behind them in the queue
			io.WriteString(stays, encodeRead(99, readFields))
			requireValue(t, in)
			eventually(t, 10*time.Second, "nothing is open", func() bool {
				return instance.core.Metrics().OpenRequests() == 0
			})
			left.check(t)
			if left.count(99) != 1 {
				t.Errorf("the client that stayed was forwarded %d times", left.count(99))
			}
		})
	}
}

// The same while the process shuts down, when connections are accepted for some
// tenths of a second.
func TestNothingIsSentForClientsDisconnectedAtShutdown(t *testing.T) {
	t.Parallel()
	left := newDisconnectLog()
	backend := scripted.NewBackend(t, func(_ int, args []string, _ net.Conn) string {
		left.noteAttempt(args)
		return scripted.Served
	})
	list := fleetOf(backend.Addr)
	instance, stop := runIngress(t, testConfig(scripted.Registry(t, list, nil), list))
	addr, slots := instance.Addr().String(), instance.front.Load().MaxConnections()
	release := occupySlots(t, addr, slots)
	eventually(t, 10*time.Second, "all slots are taken", func() bool {
		return instance.front.Load().OpenConnections() == slots
	})
	for i := range 200 {
		nc, _ := dial(t, addr)
		io.WriteString(nc, encodeRead(100+i, readFields))
		left.close(nc, i%2 == 1, 100+i)
	}
	time.Sleep(sendGrace)
	ended := make(chan error, 1)
	go func() { ended <- stop() }()
	eventually(t, 10*time.Second, "it shuts down", func() bool { return instance.front.Load().Draining() })
	release()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	left.check(t)
}

// A client disconnects while its attempt waits for a connection that comes up
// late, or between a failed attempt and the next.
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
	left := newDisconnectLog()
	var mu sync.Mutex
	conns := map[string]net.Conn{}
	backend := scripted.NewBackend(t, func(_ int, args []string, _ net.Conn) string {
		left.noteAttempt(args)
		mu.Lock()
		defer mu.Unlock()
		if nc := conns[args[2]]; nc != nil { // its client disconnects, then the attempt fails
			left.close(nc, reset, requestID(args))
			delete(conns, args[2])
			time.Sleep(sendGrace + 20*time.Millisecond)
		}
		return "-ERR failed\r\n"
	})
	list := fleetOf(backend.Addr)
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
	eventually(t, 20*time.Second, "all have ended", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(conns) == 0 && instance.core.Metrics().OpenRequests() == 0
	})
	left.check(t)
}

func testDisconnectBeforeConnection(t *testing.T, clients int, reset bool) {
	left := newDisconnectLog()
	backend := scripted.NewLate(t, func(_ int, args []string, _ net.Conn) string {
		left.noteAttempt(args)
		return scripted.Served
	})
	backend.Hold()
	list := fleetOf(backend.Addr)
	cfg := testConfig(scripted.Registry(t, list, nil), list)
	addr, instance := startInstance(t, cfg)
	for i := range clients {
		nc, _ := dial(t, addr)
		io.WriteString(nc, encodeRead(100+i, readFields))
		eventually(t, 10*time.Second, "it is taken", func() bool {
			return instance.core.Metrics().OpenRequests() >= int64(min(i+1, 1))
		})
		left.close(nc, reset, 100+i)
	}
	stays, in := dial(t, addr)
	io.WriteString(stays, encodeRead(99, strings.Replace(readFields, "d=50000", "d=20000", 1)))
	time.Sleep(sendGrace)
	backend.Open()
	requireValue(t, in)
	left.check(t)
}
