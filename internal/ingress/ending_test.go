package ingress

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"hitchspring/internal/discovery"
	"hitchspring/internal/resp"
	"hitchspring/internal/standin/scripted"
)

// disconnectGrace is how long after a client has disconnected the ingress may still
// send attempts for it.
const disconnectGrace = 100 * time.Millisecond

// A client disconnects while its requests are queued, since the backend's window is
// full of unanswered attempts. Its requests must not be sent once the window has
// capacity again. A client that stays connected queues a request behind them; when
// it is answered, the whole queue has been processed.
func TestNothingIsSentForDisconnectedClients(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]disconnectingClients{
		"one client": func(t *testing.T, addr string, id func() int) func() {
			nc, _ := dial(t, addr)
			io.WriteString(nc, encodeRead(id(), readFields))
			return func() { nc.Close() }
		},
		"a burst of clients": func(t *testing.T, addr string, id func() int) func() {
			var conns []net.Conn
			for range 60 {
				nc, _ := dial(t, addr)
				io.WriteString(nc, encodeRead(id(), readFields))
				conns = append(conns, nc)
			}
			return func() {
				for _, nc := range conns {
					nc.Close()
				}
			}
		},
		"a burst of one client": func(t *testing.T, addr string, id func() int) func() {
			nc, _ := dial(t, addr)
			for range 100 {
				io.WriteString(nc, encodeRead(id(), readFields))
			}
			return func() { nc.Close() }
		},
		"invalid input, then disconnect": func(t *testing.T, addr string, id func() int) func() {
			nc, _ := dial(t, addr)
			io.WriteString(nc, encodeRead(id(), readFields)+encodeRead(id(), readFields))
			io.WriteString(nc, strings.Repeat("nonsense\r\n", 2000))
			return func() { nc.Close() }
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testNothingIsSentAfterDisconnect(t, leave)
		})
	}
}

// disconnectingClients sends requests with ids from id, and returns a function that
// disconnects their clients.
type disconnectingClients func(t *testing.T, addr string, id func() int) (disconnect func())

func testNothingIsSentAfterDisconnect(t *testing.T, leave disconnectingClients) {
	answering := make(chan struct{})
	release := sync.OnceFunc(func() { close(answering) })
	defer release()
	var mu sync.Mutex
	disconnected := map[string]bool{}
	backend := scripted.NewBackend(t, func(int, []string, net.Conn) string {
		<-answering
		return servedReply
	})
	list := endpointList(backend.Addr)
	addr, instance := startInstance(t, testConfig(scripted.Registry(t, list, nil), list))
	first, firstIn := dial(t, addr)
	const window = 4 // of one backend at one instance
	for i := range window {
		io.WriteString(first, encodeRead(i+1, readFields))
	}
	eventually(t, 10*time.Second, "the window is full", func() bool {
		return len(backend.Commands()) == window
	})
	n := 100
	disconnect := leave(t, addr, func() int {
		n++
		mu.Lock()
		disconnected[fmt.Sprintf("%016x", n)] = true
		mu.Unlock()
		return n
	})
	queued := min(len(disconnected), 64)
	eventually(t, 10*time.Second, "the requests are queued", func() bool {
		return instance.core.Metrics().OpenRequests() >= int64(window+queued)
	})
	remaining, in := dial(t, addr)
	disconnect()
	<-time.After(disconnectGrace)
	io.WriteString(remaining, encodeRead(99, readFields))
	eventually(t, 10*time.Second, "only the last request is queued", func() bool {
		return instance.core.Metrics().OpenRequests() == window+1
	})
	release()
	requireValue(t, in)
	for range window {
		requireValue(t, firstIn)
	}
	for _, args := range backend.Commands() {
		if disconnected[args[2]] {
			t.Errorf("%s was sent %v or more after its client had disconnected", args[2], disconnectGrace)
		}
	}
}

// With short deadlines, the platform sends SIGKILL 0.7 s plus the longest deadline
// after SIGTERM. By then each accepted request has been answered: queued requests
// that never ran are rejected, unsafe ones that may have run have failed, and late
// commands on connections that are still open are rejected.
func TestShutdownWithinShortDeadlines(t *testing.T) {
	t.Parallel()
	const deadline = 900 * time.Millisecond
	backend := scripted.NewBackend(t, nil) // reads commands and never answers
	list := endpointList(backend.Addr)
	cfg := testConfig(scripted.Registry(t, list, nil), list)
	cfg.Settings.MaxRetryAfter = 500 * time.Millisecond
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].LatencyObjective, cfg.Settings.Classes[i].Deadline = 850*time.Millisecond, deadline
	}
	addr, stop := startIngress(t, cfg)
	fields := strings.Replace(readFields, "d=50000", "d=900", 1)
	unsafe := strings.Replace(fields, "c=read", "c=write", 1)
	var clients []*shutdownClient
	send := func(count int, isSent bool, text func(id int) string) {
		for range count {
			client := startShutdownClient(t, addr, isSent)
			clients = append(clients, client)
			io.WriteString(client.conn, text(len(clients)))
		}
	}
	write := func(id int) string {
		return encodeCommand("Q.DO", "00000000b4d65521", fmt.Sprintf("%016x", id), unsafe)
	}
	send(4, true, write) // fill the window
	eventually(t, 10*time.Second, "the window is full", func() bool { return len(backend.Commands()) == 4 })
	began := time.Now()
	ended := make(chan error, 1)
	go func() { ended <- stop() }()
	<-time.After(listenerGrace - 150*time.Millisecond) // shortly before the listener closes
	send(6, false, func(id int) string { return encodeRead(id, fields) })
	<-time.After(time.Until(began.Add(commandGrace + 60*time.Millisecond)))
	for i, client := range clients[4:] { // they have no answer yet, so their connections are still open
		client.sentLate = true
		io.WriteString(client.conn, encodeRead(500+i, fields))
	}
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took > deadline+commandGrace {
		t.Errorf("ended after %v, the platform kills after %v", took, deadline+commandGrace)
	}
	for i, client := range clients {
		if err := client.check(); err != nil {
			t.Errorf("client %d: %v", i, err)
		}
	}
	if n := len(backend.Commands()); n > 4+6 {
		t.Errorf("the backend was sent %d commands", n)
	}
}

// shutdownClient is a client whose requests are open at a shutdown.
type shutdownClient struct {
	conn     net.Conn
	answers  chan string // closed when the connection ends
	isSent   bool        // its request was sent to a backend and may have run
	sentLate bool        // it sent a second request late in the shutdown
}

func startShutdownClient(t *testing.T, addr string, isSent bool) *shutdownClient {
	t.Helper()
	conn, in := dial(t, addr)
	c := &shutdownClient{conn: conn, answers: make(chan string, 8), isSent: isSent}
	go func() {
		defer close(c.answers)
		for {
			answer, err := in.ReadString('\n')
			if err != nil {
				return
			}
			c.answers <- answer
		}
	}()
	return c
}

// check returns an error unless each request was answered: with a failure if it may
// have run, else with a rejection.
func (c *shutdownClient) check() error {
	wantCount := 1
	if c.sentLate {
		wantCount = 2
	}
	wantPrefix := "-BUSY "
	if c.isSent {
		wantPrefix = "-ERR"
	}
	var got []string
	for answer := range c.answers {
		got = append(got, answer)
		if !strings.HasPrefix(answer, wantPrefix) {
			return fmt.Errorf("got answer %q, want %s", answer, wantPrefix)
		}
	}
	if len(got) != wantCount {
		return fmt.Errorf("got answers %q, want %d", got, wantCount)
	}
	return nil
}

// A backend's answer may be duplicated some milliseconds later. The duplicate must
// not be taken for the answer to the next command on that connection.
func TestLateDuplicateAnswer(t *testing.T) {
	t.Parallel()
	value := func(args []string) string { return "*3\r\n$1\r\n" + args[2][15:] + "\r\n$-1\r\n$-1\r\n" }
	backend := scripted.NewBackend(t, func(_ int, args []string, nc net.Conn) string {
		go func() {
			<-time.After(8500 * time.Microsecond) // duplicates arrive at most this late
			io.WriteString(nc, value(args))
		}()
		io.WriteString(nc, value(args))
		<-time.After(12 * time.Millisecond) // so that a next command is answered after the duplicate
		return ""
	})
	list := endpointList(backend.Addr)
	addr, _ := startIngress(t, testConfig(scripted.Registry(t, list, nil), list))
	nc, in := dial(t, addr)
	for id := 1; id <= 9; id++ {
		io.WriteString(nc, encodeRead(id, readFields))
		if a, b := readLine(t, in), readLine(t, in); a != "$1" || b != fmt.Sprint(id) {
			t.Fatalf("request %d was answered %q, %q", id, a, b)
		}
	}
}

// A backend stops sending in the middle of a large value. The client's connection is
// closed 5 s after the last bytes, which shows that the value is incomplete.
func TestSilentLargeValueIsCutAfterStall(t *testing.T) {
	t.Parallel()
	backend := scripted.NewBackend(t, func(int, []string, net.Conn) string {
		return encodeValue(randomValue(1, 200<<10))[:100<<10] // and no more
	})
	list := endpointList(backend.Addr)
	addr, _ := startIngress(t, testConfig(scripted.Registry(t, list, nil), list))
	nc, in := dial(t, addr)
	const stall = 5 * time.Second
	began := time.Now()
	io.WriteString(nc, encodeRead(1, strings.Replace(readFields, "d=50000", "d=1000", 1)))
	n, err := io.Copy(io.Discard, in)
	if took := time.Since(began); took < stall || took > stall+500*time.Millisecond {
		t.Errorf("cut after %v (%d bytes, %v), want %v after the last bytes", took, n, err, stall)
	}
}

// Guards against a long value that is cut off past its client's time although its
// backend still writes it, with pauses of any length up to 4 s.
func TestLargeValueInLumpsIsNotCutOff(t *testing.T) {
	t.Parallel()
	for _, hedging := range []bool{false, true} {
		for _, lumps := range []struct {
			size, count int
			pause       time.Duration
		}{
			{179_132, 3, 890 * time.Millisecond},
			{130_825, 2, 750 * time.Millisecond},
			{184_251, 18, 100 * time.Millisecond},
			{70_000, 2, 4 * time.Second},
			{resp.MaxLargeValueBytes, 4, time.Second},
		} {
			t.Run(fmt.Sprintf("%+v, hedging %v", lumps, hedging), func(t *testing.T) {
				t.Parallel()
				value := randomValue(1, lumps.size)
				backend := scripted.NewBackend(t, func(_ int, _ []string, nc net.Conn) string {
					reply := encodeValue(value)
					for i := range lumps.count - 1 {
						io.WriteString(nc, reply[i*len(reply)/lumps.count:(i+1)*len(reply)/lumps.count])
						time.Sleep(lumps.pause)
					}
					return reply[(lumps.count-1)*len(reply)/lumps.count:]
				})
				list := endpointList(backend.Addr, backend.Addr)
				cfg := testConfig(scripted.Registry(t, list, nil), list)
				cfg.Settings.Hedging, cfg.Settings.MaxAttempts = hedging, 3
				addr, _ := startIngress(t, cfg)
				nc, in := dial(t, addr)
				io.WriteString(nc, encodeRead(1, strings.Replace(readFields, "d=50000", "d=650", 1)))
				got, err := readValue(in)
				if err != nil || !bytes.Equal(got, value) {
					t.Errorf("got %d of %d bytes, %v", len(got), len(value), err)
				}
			})
		}
	}
}

// A keyed request is retried only while backends remember the idempotency key of the
// first attempt. Here the connection for the retry is established only after that
// window, so the retry must not be sent.
func TestRetryIsNotSentAfterRepeatWindow(t *testing.T) {
	t.Parallel()
	var backend *scripted.DelayedBackend
	reset := make(chan struct{})
	backend = scripted.NewDelayedBackend(t, func(n int, _ []string, nc net.Conn) string {
		if n > 1 {
			return servedReply
		}
		backend.BlockConnections() // before the retry needs a connection
		close(reset)
		nc.Close()
		return ""
	})
	// Two backends of one group, since the first attempt's own is not used again.
	list := endpointList(backend.Addr, backend.Addr)
	cfg := testConfig(scripted.Registry(t, list, nil), list)
	cfg.Settings.MaxAttempts = 3
	for i := range cfg.Settings.Classes {
		// A connection that is begun now is established after a second.
		cfg.Settings.Classes[i].RepeatWindow = 700 * time.Millisecond
	}
	addr, _ := startIngress(t, cfg)
	nc, in := dial(t, addr)
	io.WriteString(nc, encodeCommand("Q.DO", "00000000b4d65521", "9b1f03aa5c7e2d41",
		"c=keyed,t=p,d=50000,k=1,units=1,spread=1,first=0"))
	<-reset
	eventually(t, 10*time.Second, "the retry's connection is begun", backend.HasPendingConnection)
	backend.UnblockConnections()
	if got := readLine(t, in); !strings.HasPrefix(got, "-ERR") { // the first attempt may have run
		t.Errorf("answered %q, want a failure", got)
	}
	io.WriteString(nc, encodeRead(7, readFields)) // uses the connection that the retry waited for
	requireValue(t, in)
	for _, args := range backend.Commands()[1:] {
		if args[0] == "Q.DO" {
			t.Errorf("retried after the repeat window: %q", args)
		}
	}
}

// An attempt that waits for a connection is not sent if its request has ended by the
// time the connection is established, even if the settings do not allow attempts to
// be cancelled.
func TestNothingIsSentForConcludedRequests(t *testing.T) {
	t.Parallel()
	later := encodeRead(9, readFields)
	t.Run("its client has disconnected", func(t *testing.T) {
		t.Parallel()
		backend := scripted.NewDelayedBackend(t, func(int, []string, net.Conn) string { return servedReply })
		backend.BlockConnections()
		list := endpointList(backend.Addr)
		cfg := testConfig(scripted.Registry(t, list, nil), list)
		cfg.Settings.MayCancel = false
		addr, instance := startInstance(t, cfg)
		nc, _ := dial(t, addr)
		io.WriteString(nc, encodeRead(1, readFields))
		eventually(t, 10*time.Second, "a connection to the backend is begun", backend.HasPendingConnection)
		nc.Close()
		eventually(t, 10*time.Second, "the ingress has noticed the disconnect", func() bool {
			return instance.core.Metrics().OpenRequests() == 0
		})
		backend.UnblockConnections()
		nc, in := dial(t, addr)
		io.WriteString(nc, later)
		requireValue(t, in)
		if seen := backend.Commands(); len(seen) != 1 {
			t.Errorf("the backend was sent %q", seen)
		}
	})
	t.Run("another attempt was served", func(t *testing.T) {
		t.Parallel()
		late := scripted.NewDelayedBackend(t, func(int, []string, net.Conn) string { return servedReply })
		late.BlockConnections()
		backend := scripted.NewBackend(t, func(n int, _ []string, _ net.Conn) string {
			for n == 2 && !late.HasPendingConnection() { // answers only when the hedged request waits for a connection
				runtime.Gosched()
			}
			return servedReply
		})
		changes := make(chan discovery.List)
		list := endpointList(backend.Addr)
		cfg := testConfig(scripted.Registry(t, list, changes), list)
		cfg.Settings.MayCancel, cfg.Settings.Hedging, cfg.Settings.MaxAttempts = false, true, 2
		addr, _ := startIngress(t, cfg)
		nc, in := dial(t, addr)
		io.WriteString(nc, encodeRead(1, readFields)) // gives the ingress a latency, which hedging needs
		requireValue(t, in)
		both := endpointList(backend.Addr, late.Addr)
		both.Rev = 2
		changes <- both
		io.WriteString(nc, encodeRead(2, readFields))
		requireValue(t, in)
		both.Rev, both.Targets[0].State = 3, "DRAINING"
		changes <- both
		late.UnblockConnections()
		eventually(t, 10*time.Second, "the connection is established", func() bool { return late.Conns.Load() == 3 })
		io.WriteString(nc, later)
		requireValue(t, in)
		if seen := late.Commands(); len(seen) != 1 || seen[0][2] != "0000000000000009" {
			t.Errorf("the backend was sent %q", seen)
		}
	})
}

// A discovery entry that drains a backend may omit its address. Nothing is sent to
// the backend afterwards.
func TestDrainWithoutAddress(t *testing.T) {
	t.Parallel()
	first := scripted.NewBackend(t, func(int, []string, net.Conn) string { return servedReply })
	second := scripted.NewBackend(t, func(int, []string, net.Conn) string { return servedReply })
	changes := make(chan discovery.List)
	list := endpointList(first.Addr, second.Addr)
	cfg := testConfig(scripted.Registry(t, list, changes), list)
	cfg.Settings.MaxAttempts = 3 // an attempt that waits for a connection when the drain arrives is not sent
	instance, _ := runIngress(t, cfg)
	changes <- discovery.List{Rev: 2, Targets: []discovery.Target{{UID: "s0", Zone: "a", State: "DRAINING"}}}
	changes <- discovery.List{Rev: 3} // blocks until the previous change was received
	nc, in := dial(t, instance.Addr().String())
	id := 0
	request := func() {
		id++
		io.WriteString(nc, encodeRead(id, readFields))
		requireValue(t, in)
	}
	eventually(t, 10*time.Second, "the drain is applied", func() bool {
		n := len(first.Commands())
		for range 8 { // without a drain all go to the other backend with probability 1/256
			request()
		}
		return len(first.Commands()) == n
	})
	n := len(first.Commands())
	for range 40 {
		request()
	}
	if got := len(first.Commands()); got > n {
		t.Errorf("%d more were sent to the draining backend", got-n)
	}
}
