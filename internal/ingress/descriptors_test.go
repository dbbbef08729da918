package ingress

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hitchspring/internal/discovery"
	"hitchspring/internal/front/resp"
	"hitchspring/internal/standin/scripted"
	"hitchspring/internal/standin/tally"
	"hitchspring/policy"
)

const (
	descriptorLimit      = 128                   // limit on file descriptors of the ingress; 48 of them are for clients
	idleClientInterval   = 15 * time.Millisecond // between two idle clients that connect
	partialClientsPerTen = 1                     // of ten idle clients, these send a partial command
	silentClientsPerTen  = 4                     // of ten idle clients, these send nothing; the rest send one request
	persistentClients    = 4                     // clients that send requests on persistent connections
	oneShotInterval      = 50 * time.Millisecond // between two clients that send one request and disconnect
	backendLatency       = 20 * time.Millisecond // of each backend answer
	maxAnswerTime        = time.Second           // from dialing or the first write; half of the request's deadline
	outageDuration       = 1500 * time.Millisecond
	quotaRate            = 800.0           // units per second; half of it suffices while the counter is down
	maxListDelay         = 4 * time.Second // from the end of discovery's outage to the first command at a new backend
)

// outageDiscovery is a discovery agent with one outage. When it begins, all watches
// are reset; until it ends, requests are reset or get no answer.
type outageDiscovery struct {
	addr   string
	silent bool // during the outage, requests get no answer instead of a reset
	mu     sync.Mutex
	list   discovery.List
	down   bool
	outage chan struct{} // closed when the outage begins
	calls  atomic.Int32  // requests during the outage
}

func newOutageDiscovery(t *testing.T, silent bool, list discovery.List) *outageDiscovery {
	r := &outageDiscovery{silent: silent, list: list, outage: make(chan struct{})}
	s := httptest.NewServer(r)
	r.addr = strings.TrimPrefix(s.URL, "http://")
	t.Cleanup(s.Close)
	return r
}

// ServeHTTP answers with the list. A watch stays open until the outage begins
// or its caller disconnects.
func (r *outageDiscovery) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	down, list := r.down, r.list
	r.mu.Unlock()
	switch {
	case down && r.silent:
		r.calls.Add(1)
		<-req.Context().Done()
	case down:
		r.calls.Add(1)
		reset(w)
	default:
		json.NewEncoder(w).Encode(list)
		if req.URL.Query().Get("follow") != "" {
			r.watch(w, req)
		}
	}
}

// watch sends empty lines as keepalives until the outage begins.
func (r *outageDiscovery) watch(w http.ResponseWriter, req *http.Request) {
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	for {
		w.(http.Flusher).Flush()
		select {
		case <-req.Context().Done():
			return
		case <-r.outage:
			if !r.isDown() { // this watch began after the outage
				<-req.Context().Done()
				return
			}
			reset(w)
			return
		case <-tick.C:
			io.WriteString(w, "\n")
		}
	}
}

func (r *outageDiscovery) isDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down
}

func (r *outageDiscovery) fail() {
	r.mu.Lock()
	r.down = true
	r.mu.Unlock()
	close(r.outage)
}

func (r *outageDiscovery) recover(list discovery.List) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down, r.list = false, list
}

// reset closes the connection of an HTTP request with a TCP reset.
func reset(w http.ResponseWriter) {
	nc, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	nc.(*net.TCPConn).SetLinger(0)
	nc.Close()
}

// idleClients are clients that connect one after another and stay idle until the
// ingress closes their connections.
type idleClients struct {
	mu    sync.Mutex
	conns []net.Conn
}

// run connects one client per idleClientInterval until stop is closed.
func (c *idleClients) run(addr string, stop <-chan struct{}) {
	tick := time.NewTicker(idleClientInterval)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			continue
		}
		c.mu.Lock()
		c.conns = append(c.conns, nc)
		c.mu.Unlock()
		switch kind := i % 10; {
		case kind < partialClientsPerTen:
			io.WriteString(nc, "*4\r\n$5\r\nQ.A")
		case kind < partialClientsPerTen+silentClientsPerTen:
		default:
			io.WriteString(nc, encodeRead(1_000_000+i, sharedQuotaFields))
		}
	}
}

func (c *idleClients) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

func (c *idleClients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, nc := range c.conns {
		nc.Close()
	}
}

// sharedQuotaFields are the fields of a request whose quota is shared with another
// instance, so that the shared counter is used.
const sharedQuotaFields = "c=read,t=p,d=2000,units=1,spread=2,first=0"

// requestTimings records the durations and failures of requests.
type requestTimings struct {
	mu        sync.Mutex
	durations []time.Duration
	failures  []string
}

func (r *requestTimings) add(took time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.durations = append(r.durations, took)
	if err != nil {
		r.failures = append(r.failures, err.Error())
	}
}

func (r *requestTimings) check(t *testing.T, what string, minRequests int) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.durations) < minRequests {
		t.Fatalf("%s: %d requests, want %d at least", what, len(r.durations), minRequests)
	}
	slices.Sort(r.durations)
	n := len(r.durations)
	t.Logf("%s: %d requests, half within %v, 99 in 100 within %v, the slowest %v", what, n,
		r.durations[n/2].Round(time.Millisecond),
		r.durations[n*99/100].Round(time.Millisecond), r.durations[n-1].Round(time.Millisecond))
	if late := r.durations[n-1]; late > maxAnswerTime {
		t.Errorf("%s: the slowest answer took %v, want %v at the most", what, late, maxAnswerTime)
	}
	if len(r.failures) > 0 {
		t.Errorf("%s: %d requests without their value, the first: %s", what, len(r.failures), r.failures[0])
	}
}

// persistentClient sends one request after another on one connection. If the ingress
// closes the connection, the client repeats the request on a new one.
type persistentClient struct {
	addr string
	conn net.Conn
}

// request returns an error if there is no value within maxAnswerTime.
func (c *persistentClient) request(id int) error {
	deadline := time.Now().Add(maxAnswerTime)
	for {
		value, err := c.attempt(id, deadline)
		if err == nil && value == scripted.Served[len("*3\r\n"):len("*3\r\n$5\r\nvalue\r\n")] {
			return nil
		}
		c.close()
		switch {
		case err == nil:
			return fmt.Errorf("request %d: answered %q", id, value)
		case errors.Is(err, os.ErrDeadlineExceeded):
			return fmt.Errorf("request %d: no answer in %v", id, maxAnswerTime)
		}
	}
}

func (c *persistentClient) attempt(id int, deadline time.Time) (value string, err error) {
	if c.conn == nil {
		if c.conn, err = net.DialTimeout("tcp", c.addr, time.Until(deadline)); err != nil {
			c.conn = nil
			return "", err
		}
	}
	c.conn.SetDeadline(deadline)
	if _, err := io.WriteString(c.conn, encodeRead(id, sharedQuotaFields)); err != nil {
		return "", err
	}
	answer := make([]byte, len("$5\r\nvalue\r\n"))
	n, err := io.ReadAtLeast(c.conn, answer, 1)
	if err == nil && answer[0] == '$' {
		_, err = io.ReadFull(c.conn, answer[n:])
		n = len(answer)
	}
	return string(answer[:n]), err
}

func (c *persistentClient) close() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn = nil
}

// countSockets counts the open TCP connections in table, the text of /proc/net/tcp,
// that have the local address local or one of the remote addresses. Connections in
// the listen queue have no descriptor and are not counted. The kernel may list a
// connection twice if the table changes while it is read; duplicates are recognized
// by the inode of the socket.
func countSockets(table, local string, remote []string) (open int) {
	counted := map[string]bool{}
	for text := range strings.Lines(table) {
		fields := strings.Fields(text)
		const stateListen, noInode = "0A", "0"
		if len(fields) < 10 || fields[3] == stateListen || fields[9] == noInode || counted[fields[9]] {
			continue
		}
		if fields[1] == local || slices.Contains(remote, fields[2]) {
			counted[fields[9]] = true
			open++
		}
	}
	return open
}

// procNetTCPAddr returns an address in the format of /proc/net/tcp: the IPv4 address
// in the byte order of the machine, and the port, in hexadecimal.
func procNetTCPAddr(t *testing.T, addr string) string {
	t.Helper()
	a, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(a.IP.To4()), a.Port)
}

// /proc/net/tcp lists the connections of all processes. Those at the same port of
// another loopback address are not counted.
func TestSocketsAtOtherAddressesAreNotCounted(t *testing.T) {
	accept := func(addr string) net.Listener {
		ln, err := net.Listen("tcp4", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		client, err := net.Dial("tcp4", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { client.Close() })
		server, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { server.Close() })
		return ln
	}
	own := accept("127.0.0.1:0")
	_, port, _ := net.SplitHostPort(own.Addr().String())
	accept("127.0.0.3:" + port)
	table, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	if got := countSockets(string(table), procNetTCPAddr(t, own.Addr().String()), nil); got != 1 {
		t.Errorf("got %d connections, want the one at the listener's own address", got)
	}
}

// Idle clients take all client connections while discovery is down and the counter's
// connections are closed. Requests of persistent and of one-shot clients must still
// be answered in time, the counter must be used again, and after the outage the new
// endpoint list must be applied and its new backend connected to. The test measures
// latencies under load, so it does not run in parallel with other tests.
func TestIdleClientsLeaveDescriptorsForTheRest(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprintf("discovery silent %v", silent), func(t *testing.T) {
			t.Parallel()
			testIdleClients(t, silent)
		})
	}
}

// outageFixture is an instance with a low descriptor limit, with a discovery agent
// and a shared counter that a test can make fail.
type outageFixture struct {
	first     *scripted.Backend // the only listed backend before the outage
	second    *scripted.Backend // listed as well after the outage
	counter   *tally.Server
	discovery *outageDiscovery
	addr      string // for clients
	front     *resp.Front
}

func newOutageFixture(t *testing.T, silent bool) *outageFixture {
	t.Helper()
	answer := func(int, []string, net.Conn) string {
		time.Sleep(backendLatency)
		return scripted.Served
	}
	f := &outageFixture{first: scripted.NewBackend(t, answer), second: scripted.NewBackend(t, answer)}
	var err error
	if f.counter, err = tally.Start("", 1); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.counter.Close)
	list := endpointList(f.first.Addr)
	f.discovery = newOutageDiscovery(t, silent, list)
	cfg := testConfig(f.discovery.addr, list)
	cfg.Sockets = descriptorLimit
	cfg.Settings.Instances = 2 // the other instance doesn't use the counter
	cfg.Counter, cfg.Settings.Counter, cfg.Settings.CounterTimeout = f.counter.Addr(), true, 50*time.Millisecond
	cfg.Settings.Plans = []policy.Plan{{Name: "p", Price: 1, Rate: quotaRate, Burst: 100, ExcessCost: 0.5}}
	addr, instance := startInstance(t, cfg)
	f.addr, f.front = addr, instance.front.Load()
	return f
}

// allSlotsTaken reports whether all connection slots for clients are in use.
func (f *outageFixture) allSlotsTaken() bool {
	return f.front.OpenConnections() == f.front.MaxConnections()
}

// remoteAddrs returns the addresses to which the instance connects.
func (f *outageFixture) remoteAddrs(t *testing.T) (addrs []string) {
	t.Helper()
	for _, addr := range []string{f.first.Addr, f.second.Addr, f.counter.Addr(), f.discovery.addr} {
		addrs = append(addrs, procNetTCPAddr(t, addr))
	}
	return addrs
}

// runOutage lets discovery fail for outageDuration, closes the counter's connections
// meanwhile, and checks that both are used again.
func (f *outageFixture) runOutage(t *testing.T) {
	t.Helper()
	f.discovery.fail()
	time.Sleep(outageDuration / 2)
	f.counter.Stop()
	if err := f.counter.Listen(); err != nil {
		t.Fatal(err)
	}
	counted := len(f.counter.Records())
	t.Logf("the counter was used %d times before its connections were cut", counted)
	time.Sleep(outageDuration / 2)
	if f.discovery.calls.Load() == 0 {
		t.Error("discovery was not polled during its outage")
	}
	both := endpointList(f.first.Addr, f.second.Addr)
	both.Rev = 2
	f.discovery.recover(both)
	returnedAt := time.Now()
	eventually(t, maxListDelay, "the new backend gets commands", func() bool {
		return len(f.second.Commands()) > 0
	})
	t.Logf("the new backend got its first command %v after the end of discovery's outage",
		time.Since(returnedAt).Round(time.Millisecond))
	time.Sleep(500 * time.Millisecond)
	eventually(t, time.Second, "all slots are taken at the end", f.allSlotsTaken)
	if n := len(f.counter.Records()) - counted; n == 0 {
		t.Error("the counter was not used after its connections were cut")
	}
}

func testIdleClients(t *testing.T, silent bool) {
	f := newOutageFixture(t, silent)
	stop := make(chan struct{})
	var running sync.WaitGroup
	var idle idleClients
	var persistent, oneShot requestTimings
	end := sync.OnceFunc(func() {
		close(stop)
		running.Wait()
		idle.close()
	})
	defer end()
	running.Go(func() { idle.run(f.addr, stop) })
	eventually(t, 5*time.Second, "all slots are taken", f.allSlotsTaken)
	for i := range persistentClients {
		running.Go(func() { sendUntilStopped(f.addr, i*100_000, 0, &persistent, stop) })
	}
	running.Go(func() { sendUntilStopped(f.addr, 500_000, oneShotInterval, &oneShot, stop) })
	peak, local, remote := 0, procNetTCPAddr(t, f.addr), f.remoteAddrs(t)
	running.Go(func() { peak = peakSockets(stop, local, remote) })
	f.runOutage(t)
	end()
	t.Logf("%d idle clients connected, with %d slots; the ingress used up to %d of %d descriptors",
		idle.count(), f.front.MaxConnections(), peak, descriptorLimit)
	if peak < f.front.MaxConnections() || peak > descriptorLimit {
		t.Errorf("the ingress had up to %d connections, with a limit of %d", peak, descriptorLimit)
	}
	persistent.check(t, "persistent clients", 50)
	oneShot.check(t, "newcomers", 5)
}

// sendUntilStopped sends requests until stop is closed. Without a pause it uses one
// connection, otherwise a new one for each request.
func sendUntilStopped(addr string, id int, pause time.Duration, results *requestTimings, stop <-chan struct{}) {
	client := &persistentClient{addr: addr}
	defer client.close()
	for {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		id++
		began := time.Now()
		err := client.request(id)
		results.add(time.Since(began), err)
		if pause > 0 {
			client.close()
		}
	}
}

// peakSockets samples the number of connections of an ingress until stop is closed,
// and returns the maximum, or 0 if /proc/self/net/tcp cannot be read.
func peakSockets(stop <-chan struct{}, local string, remote []string) (peak int) {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return peak
		case <-tick.C:
			table, _ := os.ReadFile("/proc/self/net/tcp")
			peak = max(peak, countSockets(string(table), local, remote))
		}
	}
}
