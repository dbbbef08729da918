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

// sharedListener is a listening socket that the platform holds, and the state
// directory that the processes on it share.
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

// start runs a process on its own copy of the socket and waits for its admin
// server only: another process may still have the clients.
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
	g, stop := startWithoutWaiting(t, cfg)
	eventually(t, 5*time.Second, "the door opens", func() bool { return g.AdminAddr() != nil })
	return g, stop
}

// requireReady waits for a process to become ready.
func requireReady(t *testing.T, instance *Instance) {
	t.Helper()
	eventually(t, 6*time.Second, "the process is ready", func() bool {
		status, _ := adminCall(t, instance, "GET", "/v1/readyz")
		return status == http.StatusOK
	})
}

// clientCrowd is a number of clients that send one request after another, each
// on a persistent connection, and open a new one when theirs is closed.
type clientCrowd struct {
	answered, unexpected, unanswered atomic.Int64 // turned: closed with a request on it that has no answer
	wg                               sync.WaitGroup
	stop                             chan struct{}
	pause                            time.Duration
	fields                           string // of each request; empty: readFields
}

func (c *clientCrowd) run(addr string, n int) {
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

func (c *clientCrowd) sendRequests(nc net.Conn, id *atomic.Int64) {
	in := bufio.NewReader(nc)
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(c.pause):
		}
		// As clients do: a connection that was closed meanwhile is not used.
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

func (c *clientCrowd) end() {
	close(c.stop)
	c.wg.Wait()
}

// At full load one process replaces another, twice in a row: no request is lost
// or fails, and what operators said to the first holds at the last.
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
	list := fleetOf(addrs...)
	registry := scripted.Registry(t, list, nil)
	ln := newSharedListener(t)
	start := func() (*Instance, func() error) {
		cfg := adminConfig(registry, list)
		cfg.Settings.MaxAttempts = 3 // an attempt that waits to be written when its backend is suspended is not
		return ln.start(t, cfg)
	}
	old, stop := start()
	requireReady(t, old)
	c := clientCrowd{pause: 2 * time.Millisecond}
	c.run(ln.Addr().String(), 20)
	time.Sleep(300 * time.Millisecond)
	requireAdminCall(t, old, "PUT", "/v1/backends/s2/suspend", 200)
	time.Sleep(300 * time.Millisecond)
	before := [3]int64{2: sent[2].Load()}
	for round := range 2 {
		next, stopNext := start()
		requireReady(t, next)
		if round == 1 { // said to one process while there are two
			requireAdminCall(t, old, "PUT", "/v1/backends/s1/suspend", 200)
			time.Sleep(500 * time.Millisecond)
			before[1] = sent[1].Load()
		}
		had := c.answered.Load()
		if err := stop(); err != nil {
			t.Fatal(err)
		}
		eventually(t, 5*time.Second, "the next process answers", func() bool {
			return c.answered.Load() > had+100
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
			t.Errorf("%d sends to s%d, which is suspended", n, i)
		}
	}
	t.Logf("%d answered, %d turned back", c.answered.Load(), c.unanswered.Load())
}

// A process that is killed right after a suspension leaves it to the next; one
// that ends before it is ready leaves the first in place; discovery and a
// counter that answer nothing keep no process from being ready.
func TestReplacementDuringFaults(t *testing.T) {
	backend := scripted.NewBackend(t, func(int, []string, net.Conn) string { return servedReply })
	list := fleetOf(backend.Addr)
	mute := scripted.Listen(t, func(nc net.Conn) { io.Copy(io.Discard, nc) })
	ln := newSharedListener(t)
	start := func(known discovery.List) (*Instance, func() error) {
		cfg := adminConfig(mute, known)
		cfg.Counter, cfg.Settings.Counter, cfg.Settings.CounterTimeout = mute, true, 50*time.Millisecond
		cfg.Settings.Plans = []policy.Plan{{Name: "p", Price: 1, Rate: 100, Burst: 100, ExcessCost: 0.5}}
		return ln.start(t, cfg)
	}
	first, stopFirst := start(list)
	requireReady(t, first)
	_, stopEarly := start(list)
	requireStop(t, stopEarly) // before it is ready, or after: it never had the lock
	nc, in := dial(t, ln.Addr().String())
	io.WriteString(nc, encodeRead(1, readFields))
	requireValue(t, in)
	requireAdminCall(t, first, "PUT", "/v1/backends/s0/suspend", 200)

	// The next one's own list is older than the first one's: the handover state has
	// the backend.
	second, _ := start(discovery.List{Complete: true})
	requireReady(t, second)
	requireStop(t, stopFirst)
	eventually(t, 5*time.Second, "the list goes over", func() bool {
		return metricValue(t, second, "cluster_size") == 1
	})
	if n := metricValue(t, second, "cluster_unhealthy"); n != 1 {
		t.Fatalf("after the replacement %d addrs are avoided, the suspended one is wanted", n)
	}
	requireAdminCall(t, second, "PUT", "/v1/backends/s0/resume", 200)
	nc, in = dial(t, ln.Addr().String())
	eventually(t, 5*time.Second, "the node that was put back serves", func() bool {
		io.WriteString(nc, encodeRead(int(time.Now().UnixNano()%1e9), readFields))
		l := readLine(t, in)
		if strings.HasPrefix(l, "$") {
			readLine(t, in)
			return true
		}
		return false
	})
}

// While there is another process, this one leaves it half of the connections,
// idle ones first, and has all slots again when the other has ended.
func TestConnectionsAreSharedWithSibling(t *testing.T) {
	backend := scripted.NewBackend(t, func(int, []string, net.Conn) string { return servedReply })
	list := fleetOf(backend.Addr)
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
	fillsAllSlots := func() bool { // than a half of the slots can be taken
		open(maxConnections * 3 / 4)
		return first.front.Load().OpenConnections() > maxConnections/2
	}
	eventually(t, 2*time.Second, "all slots at the start", fillsAllSlots)
	_, stopSecond := start()
	half := (maxConnections - reservedDescriptors - admin.MaxConnections) / 2
	eventually(t, time.Second, "half of the slots are left", func() bool {
		return first.front.Load().OpenConnections() <= half
	})
	open(maxConnections) // each takes the place of one that is idle
	if n := first.front.Load().OpenConnections(); n > half+1 {
		t.Fatalf("%d of %d slots are taken while another process is there", n, maxConnections)
	}
	requireStop(t, stopSecond)
	eventually(t, 2*time.Second, "all slots are back", fillsAllSlots)
}

// A channel sends five times its quota while one process replaces another:
// neither its ceiling nor its quota is spent twice, as the backend sees it, and
// the excess goes on being rejected.
func TestCeilingHoldsOverReplacement(t *testing.T) {
	const rate, burst, slack = 30.0, 30.0, 4.0 // the ceiling's
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
	list := fleetOf(backend.Addr)
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
	c := clientCrowd{pause: 40 * time.Millisecond, fields: "c=read,t=p,d=2000,units=1,spread=1,first=0"}
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
	if quota < -0.45*quotaBurst { // -6 without a replacement, -14 where each process takes a fresh block
		t.Errorf("%d attempts: the quota's level went to %.1f", len(sends), quota)
	}
	if n := c.answered.Load() + c.unexpected.Load(); float64(len(sends)) > 0.5*float64(n) || len(sends) < 50 {
		t.Errorf("%d of %d requests were forwarded: the channel does not exceed its quota by far", len(sends), n)
	}
	t.Logf("%d attempts of %d requests; the ceiling's level went to %.1f, the quota's to %.1f",
		len(sends), c.answered.Load()+c.unexpected.Load(), ceiling, quota)
}

// lowestLevel is the lowest level of a token bucket that each send takes one unit
// from.
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

// A drained ingress that gets SIGTERM ends as it would otherwise, and a
// repeated drain changes nothing.
func TestShutdownWhileDrained(t *testing.T) {
	backend := scripted.NewBackend(t, func(int, []string, net.Conn) string {
		time.Sleep(700 * time.Millisecond)
		return servedReply
	})
	list := fleetOf(backend.Addr)
	instance, stop := runIngress(t, adminConfig(scripted.Registry(t, list, nil), list))
	nc, in := dial(t, instance.Addr().String())
	io.WriteString(nc, encodeRead(1, readFields))
	eventually(t, time.Second, "the request is out", func() bool { return len(backend.Seen()) == 1 })
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
