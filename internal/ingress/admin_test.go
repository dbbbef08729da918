package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hitchspring/internal/discovery"
	"hitchspring/internal/standin/scripted"
	"hitchspring/internal/store"
	"hitchspring/policy"
)

// call makes one operator's call, with the second that operators wait.
func adminCall(t testing.TB, instance *Instance, method, path string) (status int, body string) {
	t.Helper()
	const prompt = 25 * time.Millisecond // for the caller to say its call, from connecting on; the door waits for 50 ms where it is crowded
	var began, wroteAt time.Time
	trace := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{
		ConnectStart: func(string, string) { began = time.Now() },
		WroteRequest: func(httptrace.WroteRequestInfo) { wroteAt = time.Now() },
	})
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequestWithContext(trace, method, "http://"+instance.AdminAddr().String()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := client.Do(req)
	for late := 0; err != nil && wroteAt.Sub(began) > prompt && late < 10; late++ { // this machine had no time for the caller
		resp, err = client.Do(req)
	}
	if err != nil {
		t.Errorf("%s %s: %v", method, path, err)
		return 0, ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

func requireAdminCall(t testing.TB, instance *Instance, method, path string, status int) {
	t.Helper()
	if got, body := adminCall(t, instance, method, path); got != status {
		t.Errorf("%s %s: %d %q, want %d", method, path, got, body, status)
	}
}

// figure reads one of the figures; -1 where it is not there.
func metricValue(t testing.TB, instance *Instance, name string) int {
	t.Helper()
	_, body := adminCall(t, instance, "GET", "/v1/metrics")
	for line := range strings.Lines(body) {
		if key, value, _ := strings.Cut(strings.TrimSpace(line), "="); key == "edge_router."+name {
			n, _ := strconv.Atoi(value)
			return n
		}
	}
	return -1
}

func eventually(t testing.TB, within time.Duration, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(within); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", within, what)
		}
	}
}

func adminConfig(discoveryAddr string, known discovery.List) Config {
	cfg := testConfig(discoveryAddr, known)
	cfg.Admin = "127.0.0.1:0"
	return cfg
}

// stalling is a counter whose adds hold the caller, which is the event loop, for a while.
type stallingCounter struct {
	stallTime time.Duration
	stalled   chan struct{}
}

func (s *stallingCounter) Add(*store.Call) {
	select {
	case s.stalled <- struct{}{}:
		time.Sleep(s.stallTime)
	default:
	}
}
func (s *stallingCounter) SetAddress(string)       {}
func (s *stallingCounter) Run(ctx context.Context) { <-ctx.Done() }

// A hundred callers who say nothing, a byte a second or a megabyte of headers keep nobody out, and neither does an event
// loop that stands still.
func TestAdminAnswersWhileCrowdedAndStalled(t *testing.T) {
	backend := scripted.NewBackend(t, func(int, []string, net.Conn) string { return servedReply })
	list := fleetOf(backend.Addr)
	cfg := adminConfig(scripted.Registry(t, list, nil), list)
	cfg.Settings.Counter, cfg.Settings.CounterTimeout = true, 50*time.Millisecond
	cfg.Settings.Plans = []policy.Plan{{Name: "p", Price: 1, Rate: 1, Burst: 4}}
	stall := &stallingCounter{stallTime: 2 * time.Second, stalled: make(chan struct{}, 1)}
	cfg.Store = func(store.Sink) (store.Counter, error) { return stall, nil }
	instance, _ := runIngress(t, cfg)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(stop)
	for i := range 100 {
		wg.Go(func() {
			for {
				nc, err := net.Dial("tcp", instance.AdminAddr().String())
				if err != nil {
					return
				}
				switch i % 3 {
				case 1:
					io.WriteString(nc, "G")
				case 2:
					io.WriteString(nc, "GET /v1/readyz HTTP/1.1\r\nX: "+strings.Repeat("x", 1<<20))
				}
				gone := make(chan struct{})
				go func() {
					defer close(gone)
					io.Copy(io.Discard, nc)
				}()
				select {
				case <-stop:
				case <-gone:
					select {
					case <-stop:
					case <-time.After(500 * time.Millisecond):
					}
				case <-time.After(4 * time.Second):
				}
				nc.Close()
				<-gone
				select {
				case <-stop:
					return
				default:
				}
			}
		})
	}
	nc, _ := dial(t, instance.Addr().String())
	for id := range 20 { // the block is spent, and the counter is asked
		io.WriteString(nc, encodeRead(id, readFields))
	}
	eventually(t, 5*time.Second, "the event loop is held", func() bool { return len(stall.stalled) == 1 })
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		requireAdminCall(t, instance, "GET", "/v1/readyz", 200)
		requireAdminCall(t, instance, "GET", "/v1/metrics", 200)
	}
}

func TestAdminErrors(t *testing.T) {
	list := fleetOf(scripted.NewBackend(t, nil).Addr)
	instance, _ := runIngress(t, adminConfig(scripted.Registry(t, list, nil), list))
	for _, c := range []struct {
		verb, path string
		status     int
	}{
		{"GET", "/v1/readyz", 200},
		{"PUT", "/v1/readyz", 405},
		{"GET", "/v1/ingress/drain", 405},
		{"POST", "/v1/backends/s0/suspend", 405},
		{"GET", "/v2/readyz", 404},
		{"GET", "/", 404},
		{"PUT", "/v1/backends/never/suspend", 404},
		{"PUT", "/v1/backends/never/resume", 404},
		{"PUT", "/v1/backends/a%2Fb/suspend", 400},
		{"PUT", "/v1/backends/" + strings.Repeat("x", 200) + "/suspend", 400},
		{"PUT", "/v1/backends/s0/resume", 200}, // listed, and nobody took it out
	} {
		requireAdminCall(t, instance, c.verb, c.path, c.status)
	}
	cfg := adminConfig("127.0.0.1:1", list)
	cfg.Admin = instance.AdminAddr().String()
	second, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if err := second.Run(t.Context()); err == nil || !strings.Contains(err.Error(), "admin_addr") || !strings.Contains(err.Error(), cfg.Admin) {
		t.Fatalf("a taken address: %v", err)
	}
	cfg.Admin = "nonsense"
	if _, err := New(cfg, slog.New(slog.DiscardHandler)); err == nil || !strings.Contains(err.Error(), "nonsense") {
		t.Fatalf("a bad address: %v", err)
	}
}

// A node that was taken out gets nothing from the grace on, whatever discovery deletes, lists again or says; one call puts it
// back, and it is in use again.
func TestSuspensionOutlivesEndpointList(t *testing.T) {
	var sent [2]atomic.Int64
	var nodes [2]*scripted.Backend
	for i := range nodes {
		nodes[i] = scripted.NewBackend(t, func(int, []string, net.Conn) string {
			sent[i].Add(1)
			return servedReply
		})
	}
	list := fleetOf(nodes[0].Addr, nodes[1].Addr)
	changes := make(chan discovery.List)
	cfg := adminConfig(scripted.Registry(t, list, changes), list)
	cfg.Settings.SlowStartWindow, cfg.Settings.SlowStartShare = 10*time.Second, 0.25
	instance, _ := runIngress(t, cfg)
	nc, in := dial(t, instance.Addr().String())
	id := 0
	load := func() {
		id++
		io.WriteString(nc, encodeRead(id, readFields))
		requireValue(t, in)
	}
	eventually(t, 5*time.Second, "both nodes in use", func() bool {
		load()
		return sent[0].Load() > 0 && sent[1].Load() > 0
	})
	requireAdminCall(t, instance, "PUT", "/v1/backends/s0/suspend", 200)
	requireAdminCall(t, instance, "PUT", "/v1/backends/s0/suspend", 200)
	eventually(t, time.Second, "s0 counts as avoided", func() bool { return metricValue(t, instance, "cluster_unhealthy") == 1 })
	before := sent[0].Load()
	change := func(state string) {
		one := list.Targets[0]
		one.State = state
		list.Rev++
		changes <- discovery.List{Rev: list.Rev, Targets: []discovery.Target{one}}
	}
	for _, state := range []string{"SERVING", "DELETED", "SERVING", "DRAINING", "SERVING"} {
		change(state)
		for range 20 {
			load()
		}
	}
	whole := list
	whole.Rev++
	changes <- whole
	for range 50 {
		load()
	}
	if n := sent[0].Load() - before; n > 0 {
		t.Fatalf("%d sends to a node that was taken out", n)
	}
	requireAdminCall(t, instance, "PUT", "/v1/backends/s0/resume", 200)
	eventually(t, 5*time.Second, "s0 in use again", func() bool {
		load()
		return sent[0].Load() > before
	})
	eventually(t, time.Second, "nobody is avoided", func() bool { return metricValue(t, instance, "cluster_unhealthy") == 0 })
	if n := metricValue(t, instance, "cluster_size"); n != 2 {
		t.Fatalf("cluster_size is %d, want 2", n)
	}
}

// Drained: no at once, late connections are served, every connection is closed between two requests with nothing lost, one
// that never pauses too. Activated: yes again, also right after.
func TestDrainAndActivate(t *testing.T) {
	backend := scripted.NewBackend(t, func(int, []string, net.Conn) string { return servedReply })
	list := fleetOf(backend.Addr)
	instance, _ := runIngress(t, adminConfig(scripted.Registry(t, list, nil), list))
	addr := instance.Addr().String()
	ping := func() string {
		nc, in := dial(t, addr)
		defer nc.Close()
		io.WriteString(nc, encodeCommand("PING"))
		return readLine(t, in)
	}
	// Drained and back within 50 ms.
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
	busy, busyIn := dial(t, addr)
	var written, answered atomic.Int64
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { // never pauses: always some commands ahead of the answers
		for id := 1000; ; id++ {
			if _, err := io.WriteString(busy, encodeRead(id, readFields)); err != nil {
				return
			}
			written.Add(1)
			for written.Load()-answered.Load() > 20 {
				time.Sleep(time.Millisecond)
				if answered.Load() < 0 {
					return
				}
			}
		}
	})
	ended := make(chan error, 1)
	go func() {
		for {
			head, err := busyIn.ReadString('\n')
			if err == nil && head != "$5\r\n" {
				err = fmt.Errorf("answer %q", head)
			}
			if err == nil {
				_, err = busyIn.ReadString('\n')
			}
			if err != nil {
				answered.Store(-1 << 40)
				busy.Close()
				ended <- err
				return
			}
			answered.Add(1)
		}
	}()
	eventually(t, 5*time.Second, "the busy connection is served", func() bool { return answered.Load() > 50 })
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
	case err := <-ended:
		if err != io.EOF {
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

// The figures are what the clients got and the nodes saw, with errors, resets and repeats among them.
func TestMetricsMatchTraffic(t *testing.T) {
	var seen atomic.Int64
	backend := scripted.NewBackend(t, func(n int, args []string, nc net.Conn) string {
		if strings.HasPrefix(args[0], "Q.") {
			seen.Add(1)
		}
		switch n % 7 {
		case 3:
			return "-ERR failed\r\n"
		case 5:
			nc.Close()
			return ""
		case 6:
			return "-BUSY\r\n"
		}
		return servedReply
	})
	list := fleetOf(backend.Addr)
	cfg := adminConfig(scripted.Registry(t, list, nil), list)
	cfg.Settings.MaxAttempts = 3
	cfg.Metrics = freeAddr(t)
	instance, _ := runIngress(t, cfg)
	nc, in := dial(t, instance.Addr().String())
	got := map[string]int{}
	for id := range 300 {
		io.WriteString(nc, encodeRead(id+1, readFields))
		switch l := readLine(t, in); {
		case strings.HasPrefix(l, "$"):
			readLine(t, in)
			got["answered"]++
		case strings.HasPrefix(l, "-BUSY"):
			got["deferred"]++
		default:
			got["errored"]++
		}
	}
	for name, n := range got {
		if f := metricValue(t, instance, "transactions.read."+name); f != n {
			t.Errorf("%s is %d, clients got %d", name, f, n)
		}
	}
	if len(got) < 2 || metricValue(t, instance, "sends") != int(seen.Load()) || metricValue(t, instance, "current") != 0 {
		t.Errorf("answers %v; sends %d, the node saw %d; current %d", got, metricValue(t, instance, "sends"), seen.Load(), metricValue(t, instance, "current"))
	}
	resp, err := http.Get("http://" + cfg.Metrics + "/metrics") // the same counters in the other form
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	for _, want := range []string{
		fmt.Sprintf(`hitchspring_requests_total{class="read",end="answered"} %d`, got["answered"]),
		fmt.Sprintf("hitchspring_attempts_written_total %d", seen.Load()),
	} {
		if !strings.Contains(string(text), want+"\n") {
			t.Errorf("no line %q at [metrics]", want)
		}
	}
	if metricValue(t, instance, "transactions.write.answered") != 0 {
		t.Error("a class without a request is not there with 0")
	}
}

// A node is taken out while a request is out there: its repeat and its second copy go elsewhere, what is out may end. With all
// nodes out nothing is sent, every request has its one answer in time, and one call brings the work back.
func TestSuspendDuringRetries(t *testing.T) {
	var mu sync.Mutex
	after := map[int]int{}
	var out atomic.Int64 // nodes that are out, as bits, from the yes on
	var nodes [3]string
	for i := range nodes {
		nodes[i] = scripted.NewBackend(t, func(n int, args []string, nc net.Conn) string {
			if out.Load()&(1<<i) != 0 && strings.HasPrefix(args[0], "Q.") {
				mu.Lock()
				after[i]++
				mu.Unlock()
			}
			switch n % 5 {
			case 2:
				nc.Close() // repeated elsewhere
				return ""
			case 4:
				time.Sleep(150 * time.Millisecond) // a second copy
			}
			return servedReply
		}).Addr
	}
	list := fleetOf(nodes[:]...)
	cfg := adminConfig(scripted.Registry(t, list, nil), list)
	cfg.Settings.MaxAttempts, cfg.Settings.Hedging, cfg.Settings.MaxRetryAfter = 4, true, 100*time.Millisecond
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].LatencyObjective, cfg.Settings.Classes[i].Deadline = time.Second, 2*time.Second
		cfg.Settings.Classes[i].Group, cfg.Settings.Classes[i].RepeatWindow = policy.GroupAll, 5*time.Second
	}
	instance, _ := runIngress(t, cfg)
	c := clientCrowd{pause: time.Millisecond, fields: "c=read,t=p,d=1000,units=1,spread=1,first=0"}
	c.run(instance.Addr().String(), 8)
	time.Sleep(300 * time.Millisecond)
	for i := range nodes {
		requireAdminCall(t, instance, "PUT", fmt.Sprintf("/v1/backends/s%d/suspend", i), 200)
		time.Sleep(300 * time.Millisecond) // far inside the grace
		out.Store(out.Load() | 1<<i)
	}
	had := c.answered.Load() + c.unexpected.Load()
	time.Sleep(1200 * time.Millisecond)
	if c.answered.Load()+c.unexpected.Load() == had {
		t.Error("with all nodes out nobody is answered")
	}
	out.Store(0)
	had = c.answered.Load()
	requireAdminCall(t, instance, "PUT", "/v1/backends/s1/resume", 200)
	eventually(t, 5*time.Second, "work comes back", func() bool { return c.answered.Load() > had+20 })
	c.end()
	if len(after) > 0 || c.unanswered.Load() > 0 {
		t.Errorf("sends to nodes that were out: %v; %d requests without an answer", after, c.unanswered.Load())
	}
}

func freeAddr(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}
