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

// sendGrace is how long after a client has closed its connection an attempt for it may still begin.
const sendGrace = 100 * time.Millisecond

// departures records when clients closed their connections, and what a backend began for them after that.
type departures struct {
	mu     sync.Mutex
	closed map[string]time.Time // by request id
	late   []string
	sent   map[string]int
}

func newDepartures() *departures {
	return &departures{closed: map[string]time.Time{}, sent: map[string]int{}}
}

// began is the backend's observer: it is told of each command whose last byte has come.
func (d *departures) began(args []string) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	id := args[2]
	d.sent[id]++
	if closed, ok := d.closed[id]; ok && now.Sub(closed) > sendGrace {
		d.late = append(d.late, fmt.Sprintf("%s, %v after the close", id, now.Sub(closed).Round(time.Millisecond)))
	}
}

// close closes the connection of a request's client; hard resets it.
func (d *departures) close(nc net.Conn, hard bool, ids ...int) {
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

func (d *departures) check(t *testing.T) {
	t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.late) > 0 {
		t.Errorf("%d attempts began for clients that had gone, the first for %s", len(d.late), d.late[0])
	}
}

func (d *departures) count(id int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sent[fmt.Sprintf("%016x", id)]
}

// occupy takes all places of clients with connections whose command has begun and not ended, which nobody closes for want of a place.
func occupy(t *testing.T, addr string, places int) (release func()) {
	t.Helper()
	var conns []net.Conn
	for range places {
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

// Clients that wait for a place write their command and close before anybody has accepted them: command and end lie in the kernel
// together. Whoever is accepted later is not sent on.
func TestNothingIsSentForClientsThatLeftTheListenQueue(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		clients int
		reset   bool
	}{{"one", 1, false}, {"a thousand", 1000, false}, {"a thousand that reset", 1000, true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			left := newDepartures()
			be := scripted.NewBackend(t, func(_ int, args []string, _ net.Conn) string {
				left.began(args)
				return scripted.Served
			})
			list := fleetOf(be.Addr)
			addr, g := startGateway(t, testConfig(scripted.Registry(t, list, nil), list))
			places := g.front.Load().MaxConnections()
			release := occupy(t, addr, places)
			eventually(t, 10*time.Second, "all places are taken", func() bool { return g.front.Load().OpenConnections() == places })
			for i := range c.clients {
				nc, _ := dial(t, addr)
				io.WriteString(nc, ask(100+i, readFields))
				left.close(nc, c.reset, 100+i)
			}
			time.Sleep(sendGrace + 50*time.Millisecond)
			release()
			stays, in := dial(t, addr) // behind them in the queue
			io.WriteString(stays, ask(99, readFields))
			wantValue(t, in)
			eventually(t, 10*time.Second, "nothing is open", func() bool { return g.core.Metrics().Current() == 0 })
			left.check(t)
			if left.count(99) != 1 {
				t.Errorf("the client that stayed was sent on %d times", left.count(99))
			}
		})
	}
}

// The same while the process shuts down: connections go on coming for some tenths of a second then.
func TestNothingIsSentForClientsThatLeftAtShutdown(t *testing.T) {
	t.Parallel()
	left := newDepartures()
	be := scripted.NewBackend(t, func(_ int, args []string, _ net.Conn) string {
		left.began(args)
		return scripted.Served
	})
	list := fleetOf(be.Addr)
	g, stop := runIngress(t, testConfig(scripted.Registry(t, list, nil), list))
	addr, places := g.Addr().String(), g.front.Load().MaxConnections()
	release := occupy(t, addr, places)
	eventually(t, 10*time.Second, "all places are taken", func() bool { return g.front.Load().OpenConnections() == places })
	for i := range 200 {
		nc, _ := dial(t, addr)
		io.WriteString(nc, ask(100+i, readFields))
		left.close(nc, i%2 == 1, 100+i)
	}
	time.Sleep(sendGrace)
	ended := make(chan error, 1)
	go func() { ended <- stop() }()
	eventually(t, 10*time.Second, "it shuts down", func() bool { return g.front.Load().Draining() })
	release()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	left.check(t)
}

// A client that leaves while its attempt waits for a connection that comes up late, or between a failed attempt and the next.
func TestNothingIsSentForClientsThatLeftBeforeAnAttempt(t *testing.T) {
	t.Parallel()
	const clients = 20
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprintf("before a retry, reset %v", reset), func(t *testing.T) {
			t.Parallel()
			left := newDepartures()
			var mu sync.Mutex
			conns := map[string]net.Conn{}
			be := scripted.NewBackend(t, func(_ int, args []string, _ net.Conn) string {
				left.began(args)
				mu.Lock()
				defer mu.Unlock()
				if nc := conns[args[2]]; nc != nil { // its client leaves, and the attempt fails right behind that
					var id int
					fmt.Sscanf(args[2], "%x", &id)
					left.close(nc, reset, id)
					delete(conns, args[2])
					time.Sleep(sendGrace + 20*time.Millisecond)
				}
				return "-ERR failed\r\n"
			})
			list := fleetOf(be.Addr)
			cfg := testConfig(scripted.Registry(t, list, nil), list)
			cfg.Settings.MaxAttempts = 4
			addr, g := startGateway(t, cfg)
			for i := range clients {
				nc, _ := dial(t, addr)
				mu.Lock()
				conns[fmt.Sprintf("%016x", 100+i)] = nc
				mu.Unlock()
				io.WriteString(nc, ask(100+i, readFields))
			}
			eventually(t, 20*time.Second, "all have ended", func() bool {
				mu.Lock()
				defer mu.Unlock()
				return len(conns) == 0 && g.core.Metrics().Current() == 0
			})
			left.check(t)
		})
		t.Run(fmt.Sprintf("waiting for a connection, reset %v", reset), func(t *testing.T) {
			t.Parallel()
			left := newDepartures()
			be := scripted.NewLate(t, func(_ int, args []string, _ net.Conn) string {
				left.began(args)
				return scripted.Served
			})
			be.Hold()
			list := fleetOf(be.Addr)
			cfg := testConfig(scripted.Registry(t, list, nil), list)
			addr, g := startGateway(t, cfg)
			for i := range clients {
				nc, _ := dial(t, addr)
				io.WriteString(nc, ask(100+i, readFields))
				eventually(t, 10*time.Second, "it is taken", func() bool { return g.core.Metrics().Current() >= int64(min(i+1, 1)) })
				left.close(nc, reset, 100+i)
			}
			stays, in := dial(t, addr)
			io.WriteString(stays, ask(99, strings.Replace(readFields, "d=50000", "d=20000", 1)))
			time.Sleep(sendGrace)
			be.Open()
			wantValue(t, in)
			left.check(t)
		})
	}
}
