package ingress

import (
	"bufio"
	"cmp"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hitchspring/internal/admin"
	"hitchspring/internal/discovery"
	"hitchspring/internal/standin/scripted"
	standtally "hitchspring/internal/standin/tally"
	"hitchspring/policy"
)

// sharedListener is a listening socket that several processes of one ingress inherit,
// and their common state directory.
type sharedListener struct {
	*net.TCPListener
	dir string
}

func newSharedListener(t testing.TB) sharedListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return sharedListener{l.(*net.TCPListener), t.TempDir()}
}

// start runs an instance, in place of a process, on a duplicate of the socket. It
// waits only for its admin server, since another instance may still accept clients.
func (l sharedListener) start(t *testing.T, cfg Config) (*Instance, func() error) {
	t.Helper()
	f, err := l.File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if cfg.Listener, err = net.FileListener(f); err != nil {
		t.Fatal(err)
	}
	cfg.Listen, cfg.StateDir = l.Addr().String(), l.dir
	instance, stop := startWithoutWaiting(t, cfg)
	eventually(t, 5*time.Second, "the admin server listens", func() bool { return instance.AdminAddr() != nil })
	return instance, stop
}

// requireReady waits for a process to become ready.
func requireReady(t *testing.T, instance *Instance) {
	t.Helper()
	eventually(t, 6*time.Second, "the process is ready", func() bool {
		status, _ := adminCall(t, instance, "GET", "/v1/readyz")
		return status == http.StatusOK
	})
}

// loadGenerator runs clients that send one request after another on a persistent
// connection, and reconnect when it is closed.
type loadGenerator struct {
	answered, unexpected, unanswered atomic.Int64 // unanswered: the connection closed before the answer
	wg                               sync.WaitGroup
	stop                             chan struct{}
	pause                            time.Duration
	fields                           string // of each request; readFields if empty
}

func (c *loadGenerator) run(addr string, n int) {
	c.stop = make(chan struct{})
	var id atomic.Int64
	for range n {
		c.wg.Go(func() {
			for {
				nc, err := net.Dial("tcp", addr)
				if err != nil {
					c.unexpected.Add(1)
					return
				}
				c.sendRequests(nc, &id)
				nc.Close()
				select {
				case <-c.stop:
					return
				default:
				}
			}
		})
	}
}

func (c *loadGenerator) sendRequests(nc net.Conn, id *atomic.Int64) {
	in := bufio.NewReader(nc)
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(c.pause):
		}
		// As real clients do, check whether the connection was closed during the pause.
		nc.SetReadDeadline(time.Now().Add(50 * time.Microsecond))
		if _, err := in.Peek(1); err == io.EOF {
			return
		}
		nc.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := io.WriteString(nc, encodeRead(int(id.Add(1)), cmp.Or(c.fields, readFields))); err != nil {
			c.unanswered.Add(1)
			return
		}
		head, err := in.ReadString('\n')
		switch {
		case err != nil:
			c.unanswered.Add(1)
			return
		case strings.HasPrefix(head, "$"):
			if _, err := in.ReadString('\n'); err != nil {
				c.unexpected.Add(1)
				return
			}
			c.answered.Add(1)
		default:
			c.unexpected.Add(1)
		}
	}
}

func (c *loadGenerator) end() {
	close(c.stop)
	c.wg.Wait()
}

// Under load one process replaces another, twice in a row. No request is lost or
// fails, and the operators' suspensions at the first process hold at the last one.
func TestReplacementUnderLoad(t *testing.T) {
	var sent [3]atomic.Int64
	var addrs []string
	for i := range 3 {
		addrs = append(addrs, scripted.NewBackend(t, func(int, []string, net.Conn) string {
			sent[i].Add(1)
			time.Sleep(5 * time.Millisecond)
			return servedReply
		}).Addr)
	}
	list := endpointList(addrs...)
	registry := scripted.Registry(t, list, nil)
	ln := newSharedListener(t)
	start := func() (*Instance, func() error) {
		cfg := adminConfig(registry, list)
		cfg.Settings.MaxAttempts = 3 // an attempt that is not yet sent when its backend is suspended is ended
		return ln.start(t, cfg)
	}
	old, stop := start()
	requireReady(t, old)
	c := loadGenerator{pause: 2 * time.Millisecond}
	c.run(ln.Addr().String(), 20)
	time.Sleep(300 * time.Millisecond)
	requireAdminCall(t, old, "PUT", "/v1/backends/s2/suspend", 200)
	time.Sleep(300 * time.Millisecond)
	before := [3]int64{2: sent[2].Load()}
	for round := range 2 {
		next, stopNext := start()
		requireReady(t, next)
		if round == 1 { // suspend at one process while there are two
			requireAdminCall(t, old, "PUT", "/v1/backends/s1/suspend", 200)
			time.Sleep(500 * time.Millisecond)
			before[1] = sent[1].Load()
		}
		answeredBefore := c.answered.Load()
		if err := stop(); err != nil {
			t.Fatal(err)
		}
		eventually(t, 5*time.Second, "the next process answers", func() bool {
			return c.answered.Load() > answeredBefore+100
		})
		old, stop = next, stopNext
	}
	c.end()
	if c.unexpected.Load() > 0 || c.unanswered.Load() > 2 {
		t.Errorf("%d answered, %d lost or failed, %d without an answer",
			c.answered.Load(), c.unexpected.Load(), c.unanswered.Load())
	}
	for i := 1; i <= 2; i++ {
		if n := sent[i].Load() - before[i]; n > 0 {
			t.Errorf("%d commands were sent to s%d, which is suspended", n, i)
		}
	}
	t.Logf("%d answered, %d without an answer", c.answered.Load(), c.unanswered.Load())
}

// Replacing a process with faults: a suspension just before the first process ends
// holds at the next one; a process that ends before it is ready does not disturb the
// first one; and a process becomes ready even if discovery and the shared counter
// never answer.
func TestReplacementDuringFaults(t *testing.T) {
	backend := scripted.NewBackend(t, func(int, []string, net.Conn) string { return servedReply })
	list := endpointList(backend.Addr)
	silentAddr := scripted.Listen(t, func(nc net.Conn) { io.Copy(io.Discard, nc) })
	ln := newSharedListener(t)
	start := func(known discovery.List) (*Instance, func() error) {
		cfg := adminConfig(silentAddr, known)
		cfg.Counter, cfg.Settings.Counter, cfg.Settings.CounterTimeout = silentAddr, true, 50*time.Millisecond
		cfg.Settings.Plans = []policy.Plan{{Name: "p", Price: 1, Rate: 100, Burst: 100, ExcessCost: 0.5}}
		return ln.start(t, cfg)
	}
	first, stopFirst := start(list)
	requireReady(t, first)
	_, stopEarly := start(list)
	requireStop(t, stopEarly) // whether or not it is ready, it has never held the handover lock
	nc, in := dial(t, ln.Addr().String())
	io.WriteString(nc, encodeRead(1, readFields))
	requireValue(t, in)
	requireAdminCall(t, first, "PUT", "/v1/backends/s0/suspend", 200)

	// The second process starts with an empty list. It gets the backend from the
	// handover state.
	second, _ := start(discovery.List{Complete: true})
	requireReady(t, second)
	requireStop(t, stopFirst)
	eventually(t, 5*time.Second, "the endpoint list is handed over", func() bool {
		return metricValue(t, second, "cluster_size") == 1
	})
	if n := metricValue(t, second, "cluster_unhealthy"); n != 1 {
		t.Fatalf("after the replacement %d backends are avoided, want the suspended one", n)
	}
	requireAdminCall(t, second, "PUT", "/v1/backends/s0/resume", 200)
	nc, in = dial(t, ln.Addr().String())
	eventually(t, 5*time.Second, "the resumed backend serves", func() bool {
		io.WriteString(nc, encodeRead(int(time.Now().UnixNano()%1e9), readFields))
		l := readLine(t, in)
		if strings.HasPrefix(l, "$") {
			readLine(t, in)
			return true
		}
		return false
	})
}

// While there is a sibling process, an instance uses only half of the client
// connections and closes idle ones beyond that. It uses all of them again when the
// sibling has ended.
func TestConnectionsAreSharedWithSibling(t *testing.T) {
	backend := scripted.NewBackend(t, func(int, []string, net.Conn) string { return servedReply })
	list := endpointList(backend.Addr)
	registry := scripted.Registry(t, list, nil)
	ln := newSharedListener(t)
	start := func() (*Instance, func() error) {
		cfg := adminConfig(registry, list)
		return ln.start(t, cfg)
	}
	first, _ := start()
	eventually(t, 5*time.Second, "the first process serves", func() bool { return first.front.Load() != nil })
	maxConnections := first.front.Load().MaxConnections()
	id := 0
	open := func(n int) {
		for range n {
			id++
			nc, in := dial(t, ln.Addr().String())
			io.WriteString(nc, encodeRead(id, readFields))
			requireValue(t, in)
		}
	}
	fillsAllSlots := func() bool { // reports whether more than half of the slots can be taken
		open(maxConnections * 3 / 4)
		return first.front.Load().OpenConnections() > maxConnections/2
	}
	eventually(t, 2*time.Second, "all slots at the start", fillsAllSlots)
	_, stopSecond := start()
	half := (maxConnections - reservedDescriptors - admin.MaxConnections) / 2
	eventually(t, time.Second, "half of the slots are left", func() bool {
		return first.front.Load().OpenConnections() <= half
	})
	open(maxConnections) // each new connection evicts an idle one
	if n := first.front.Load().OpenConnections(); n > half+1 {
		t.Fatalf("%d of %d slots are taken while there is a sibling process", n, maxConnections)
	}
	requireStop(t, stopSecond)
	eventually(t, 2*time.Second, "all slots are back", fillsAllSlots)
}

// A tenant sends five times its quota while one process replaces another. Its ceiling
// and its quota must not be spent twice, as measured at the backend, and the excess
// must still be rejected.
func TestCeilingHoldsAcrossReplacement(t *testing.T) {
	const rate, burst, slack = 30.0, 30.0, 4.0 // of the ceiling
	const quotaRate, quotaBurst = 20.0, 20.0
	counter, err := standtally.Start("127.0.0.1:0", 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(counter.Stop)
	var mu sync.Mutex
	var sends []time.Time
	backend := scripted.NewBackend(t, func(_ int, args []string, _ net.Conn) string {
		if strings.HasPrefix(args[0], "Q.") {
			mu.Lock()
			sends = append(sends, time.Now())
			mu.Unlock()
		}
		return servedReply
	})
	list := endpointList(backend.Addr)
	registry := scripted.Registry(t, list, nil)
	ln := newSharedListener(t)
	start := func() (*Instance, func() error) {
		cfg := adminConfig(registry, list)
		cfg.Counter, cfg.Settings.Counter, cfg.Settings.CounterTimeout = counter.Addr(), true, 50*time.Millisecond
		cfg.Settings.MaxUnits, cfg.Settings.MaxRetryAfter = 1, 200*time.Millisecond
		cfg.Settings.Plans = []policy.Plan{{
			Name: "p", Price: 1, Rate: quotaRate, Burst: quotaBurst, ExcessCost: 0.5,
			CeilingRate: rate, CeilingBurst: burst, CeilingSlack: slack,
		}}
		return ln.start(t, cfg)
	}
	old, stop := start()
	requireReady(t, old)
	c := loadGenerator{pause: 40 * time.Millisecond, fields: "c=read,t=p,d=2000,units=1,spread=1,first=0"}
	c.run(ln.Addr().String(), 6)
	time.Sleep(3 * time.Second)
	for range 3 {
		next, stopNext := start()
		requireReady(t, next)
		if err := stop(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		stop = stopNext
	}
	c.end()
	mu.Lock()
	defer mu.Unlock()
	ceiling, quota := lowestLevel(sends, rate, burst), lowestLevel(sends, quotaRate, quotaBurst)
	if ceiling < -slack-0.15*rate {
		t.Errorf("%d attempts: the ceiling's level went to %.1f", len(sends), ceiling)
	}
	if quota < -0.45*quotaBurst { // -6 without a replacement, -14 if each process leases new units
		t.Errorf("%d attempts: the quota's level went to %.1f", len(sends), quota)
	}
	if n := c.answered.Load() + c.unexpected.Load(); float64(len(sends)) > 0.5*float64(n) || len(sends) < 50 {
		t.Errorf("%d of %d requests were forwarded: the load does not exceed the quota by enough", len(sends), n)
	}
	t.Logf("%d attempts of %d requests; the ceiling's level went to %.1f, the quota's to %.1f",
		len(sends), c.answered.Load()+c.unexpected.Load(), ceiling, quota)
}

// lowestLevel returns the lowest level of a token bucket from which each send takes
// one unit.
func lowestLevel(sends []time.Time, rate, burst float64) float64 {
	level, lowest := burst, burst
	for i, at := range sends {
		if i > 0 {
			level = min(burst, level+rate*at.Sub(sends[i-1]).Seconds())
		}
		level--
		lowest = min(lowest, level)
	}
	return lowest
}

// A drained ingress shuts down like any other, and a repeated drain call has no
// effect.
func TestShutdownWhileDrained(t *testing.T) {
	backend := scripted.NewBackend(t, func(int, []string, net.Conn) string {
		time.Sleep(700 * time.Millisecond)
		return servedReply
	})
	list := endpointList(backend.Addr)
	instance, stop := runIngress(t, adminConfig(scripted.Registry(t, list, nil), list))
	nc, in := dial(t, instance.Addr().String())
	io.WriteString(nc, encodeRead(1, readFields))
	eventually(t, time.Second, "the request is in flight", func() bool { return len(backend.Commands()) == 1 })
	requireAdminCall(t, instance, "PUT", "/v1/ingress/drain", 200)
	requireAdminCall(t, instance, "PUT", "/v1/ingress/drain", 200)
	ended := make(chan error, 1)
	go func() { ended <- stop() }()
	requireValue(t, in)
	if rest, err := io.ReadAll(in); len(rest) > 0 || err != nil {
		t.Fatalf("after the answer: %q, %v; want a clean end", rest, err)
	}
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}
