package ingress

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hitchspring/internal/discovery"
	"hitchspring/internal/standin/scripted"
	"hitchspring/internal/standin/tally"
	"hitchspring/policy"
)

const (
	descriptorLimit    = 128                   // the descriptors' limit of the ingress; 48 of them are for clients
	idleClientInterval = 15 * time.Millisecond // between two idle clients that come
	partialOfTen       = 1                     // of ten idle clients: begin a command and don't end it
	silentOfTen        = 4                     // of ten idle clients: never ask; the rest ask once and stay
	persistentClients  = 4                     // that ask again and again on connections they keep
	newcomerInterval   = 50 * time.Millisecond // between two clients that come, ask once and leave
	backendAnswerTime  = 20 * time.Millisecond // for an answer
	maxAnswerTime      = time.Second           // from the first send, or from dialling; the deadline is twice that
	outageTime         = 1500 * time.Millisecond
	quotaRate          = 800.0           // units a second over two instances: half of it holds all clients while the counter is not heard
	maxListDelay       = 4 * time.Second // from discovery's return to the first command at a backend that is new in its list
)

// outageRegistry is discovery's agent with an outage: its watches are cut, and calls are reset or get no answer until it ends.
type outageRegistry struct {
	addr   string
	silent bool // during the outage calls get no answer; else they are reset
	mu     sync.Mutex
	list   discovery.List
	down   bool
	outage chan struct{} // closed when the outage begins
	calls  atomic.Int32  // during the outage
}

func newOutageRegistry(t *testing.T, silent bool, list discovery.List) *outageRegistry {
	r := &outageRegistry{silent: silent, list: list, outage: make(chan struct{})}
	s := httptest.NewServer(r)
	r.addr = strings.TrimPrefix(s.URL, "http://")
	t.Cleanup(s.Close)
	return r
}

// ServeHTTP answers with the list; a watch stays open until the outage begins or its caller leaves.
func (r *outageRegistry) ServeHTTP(w http.ResponseWriter, req *http.Request) {
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

// watch keeps a watch alive by empty lines.
func (r *outageRegistry) watch(w http.ResponseWriter, req *http.Request) {
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	for {
		w.(http.Flusher).Flush()
		select {
		case <-req.Context().Done():
			return
		case <-r.outage:
			if !r.isDown() { // it was over before this watch began
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

func (r *outageRegistry) isDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down
}

func (r *outageRegistry) fail() {
	r.mu.Lock()
	r.down = true
	r.mu.Unlock()
	close(r.outage)
}

func (r *outageRegistry) recover(list discovery.List) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down, r.list = false, list
}

// reset ends a call's connection by a reset.
func reset(w http.ResponseWriter) {
	nc, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	nc.(*net.TCPConn).SetLinger(0)
	nc.Close()
}

// idleCrowd is clients that come on and on, and stay without a request until the ingress closes them.
type idleClients struct {
	mu    sync.Mutex
	conns []net.Conn
}

// run lets one come in each crowdEvery until stop closes.
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
		case kind < partialOfTen:
			io.WriteString(nc, "*4\r\n$5\r\nQ.A")
		case kind < partialOfTen+silentOfTen:
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

// crowdFields are a request's, whose quota is shared with another instance so that the counter is asked.
const sharedQuotaFields = "c=read,t=p,d=2000,units=1,spread=2,first=0"

// timings records how long requests took, and what went wrong with any.
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
	t.Logf("%s: %d requests, half within %v, 99 in 100 within %v, the slowest %v", what, n, r.durations[n/2].Round(time.Millisecond),
		r.durations[n*99/100].Round(time.Millisecond), r.durations[n-1].Round(time.Millisecond))
	if late := r.durations[n-1]; late > maxAnswerTime {
		t.Errorf("%s: the slowest answer took %v, want %v at the most", what, late, maxAnswerTime)
	}
	if len(r.failures) > 0 {
		t.Errorf("%s: %d requests without their value, the first: %s", what, len(r.failures), r.failures[0])
	}
}

// usualClient asks one request after the other, and asks again on a new connection where the ingress has ended the one it kept.
type persistentClient struct {
	addr string
	conn net.Conn
}

// ask returns an error where there is no value in answerWithin.
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

// socketsOf counts this process's open TCP connections in the kernel's table: those at a listener's own port, and those to other ports.
// Connections that wait to be accepted have no descriptor, and are not counted. The table changes while it is read, and then has some
// connections more than once: each counts once, by the inode of its descriptor.
func countSockets(table string, local int, remote []int) (open int) {
	counted := map[string]bool{}
	for text := range strings.Lines(table) {
		fields := strings.Fields(text)
		if len(fields) < 10 || fields[3] == "0A" || fields[9] == "0" || counted[fields[9]] { // listens, or has no descriptor
			continue
		}
		if tablePort(fields[1]) == local || slices.Contains(remote, tablePort(fields[2])) {
			counted[fields[9]] = true
			open++
		}
	}
	return open
}

// tablePort is the port of an address as the kernel's table has it.
func tablePort(addr string) int {
	_, port, _ := strings.Cut(addr, ":")
	n, _ := strconv.ParseInt(port, 16, 32)
	return int(n)
}

func portOf(t *testing.T, addr string) int {
	t.Helper()
	a, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return a.Port
}

// The descriptors' limit is reached by idle clients that come on and on while discovery is down and the counter's connections are cut.
// Requests of usual clients are answered in time, those of newcomers too; the counter goes on being asked; a list that discovery has after
// its outage is taken over, and a backend that is new in it is connected to.
func TestIdleClientsLeaveDescriptorsForTheRest(t *testing.T) { // not beside others: it measures times and loads the machine
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprintf("discovery silent %v", silent), func(t *testing.T) {
			t.Parallel()
			testIdleClients(t, silent)
		})
	}
}

func testIdleClients(t *testing.T, silent bool) {
	answer := func(int, []string, net.Conn) string {
		time.Sleep(backendAnswerTime)
		return scripted.Served
	}
	first, second := scripted.NewBackend(t, answer), scripted.NewBackend(t, answer)
	counter, err := tally.Start("", 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(counter.Close)
	list := fleetOf(first.Addr)
	registry := newOutageRegistry(t, silent, list)
	cfg := testConfig(registry.addr, list)
	cfg.Sockets, cfg.Settings.Instances = descriptorLimit, 2 // the other one says nothing to the counter
	cfg.Counter, cfg.Settings.Counter, cfg.Settings.CounterTimeout = counter.Addr(), true, 50*time.Millisecond
	cfg.Settings.Plans = []policy.Plan{{Name: "p", Price: 1, Rate: quotaRate, Burst: 100, ExcessCost: 0.5}}
	addr, instance := startInstance(t, cfg)
	front := instance.front.Load()

	stop := make(chan struct{})
	var running sync.WaitGroup
	var idle idleClients
	var persistent, newcomers requestTimings
	end := sync.OnceFunc(func() {
		close(stop)
		running.Wait()
		idle.close()
	})
	defer end()
	running.Go(func() { idle.run(addr, stop) })
	eventually(t, 5*time.Second, "all places are taken", func() bool { return front.OpenConnections() == front.MaxConnections() })
	for i := range persistentClients {
		running.Go(func() { sendUntilStopped(addr, i*100_000, 0, &persistent, stop) })
	}
	running.Go(func() { sendUntilStopped(addr, 500_000, newcomerInterval, &newcomers, stop) })
	peak, local := 0, portOf(t, addr)
	var remote []int
	for _, a := range []string{first.Addr, second.Addr, counter.Addr(), registry.addr} {
		remote = append(remote, portOf(t, a))
	}
	running.Go(func() { peak = peakSockets(stop, local, remote) })

	registry.fail()
	time.Sleep(outageTime / 2)
	counter.Stop()
	if err := counter.Listen(); err != nil {
		t.Fatal(err)
	}
	counted := len(counter.Records())
	t.Logf("the counter was asked %d times before its connections were cut", counted)
	time.Sleep(outageTime / 2)
	if registry.calls.Load() == 0 {
		t.Error("discovery was not asked during its outage")
	}
	both := fleetOf(first.Addr, second.Addr)
	both.Rev = 2
	registry.recover(both)
	returnedAt := time.Now()
	eventually(t, maxListDelay, "the backend that is new in the list is sent commands", func() bool { return len(second.Seen()) > 0 })
	t.Logf("the new backend had its first command %v after discovery's return", time.Since(returnedAt).Round(time.Millisecond))
	time.Sleep(500 * time.Millisecond)
	eventually(t, time.Second, "all places are taken at the end", func() bool { return front.OpenConnections() == front.MaxConnections() })
	if n := len(counter.Records()) - counted; n == 0 {
		t.Error("the counter was not asked after its connections were cut")
	}
	end()
	t.Logf("%d idle clients came for %d places; the ingress held %d of %d descriptors at the most", idle.count(), front.MaxConnections(), peak, descriptorLimit)
	if peak < front.MaxConnections() || peak > descriptorLimit {
		t.Errorf("the ingress held %d connections, its limit is %d", peak, descriptorLimit)
	}
	persistent.check(t, "usual clients", 50)
	newcomers.check(t, "newcomers", 5)
}

// askOn asks until stop closes, on one connection without a pause, or else on a new one after each pause.
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

// peakSockets samples the connections of an ingress until stop closes; 0 where the kernel's table can't be read.
func peakSockets(stop <-chan struct{}, local int, remote []int) (peak int) {
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
