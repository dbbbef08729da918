package ingress

import (
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

// adminCall makes one call to the admin server. It fails after 1 s, since operators
// wait no longer.
func adminCall(t testing.TB, instance *Instance, method, path string) (status int, body string) {
	t.Helper()
	// An admin server without free connections waits 50 ms for a new connection to
	// send its request. If a busy machine delays the request for longer than this,
	// the call is repeated.
	const maxWriteDelay = 25 * time.Millisecond
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
	for late := 0; err != nil && wroteAt.Sub(began) > maxWriteDelay && late < 10; late++ {
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

// metricValue reads a metric from the admin server. It returns -1 if there is none
// of this name.
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

// requireMetric fails the test unless the admin server's metric has the value want.
func requireMetric(t testing.TB, instance *Instance, name string, want int) {
	t.Helper()
	if got := metricValue(t, instance, name); got != want {
		t.Errorf("got %s %d, want %d", name, got, want)
	}
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

// stallingCounter is a shared counter whose first Add blocks the event loop for
// stallTime.
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

// The admin server answers while 100 connections send nothing, one byte or 1 MiB of
// headers, and while the event loop is blocked.
func TestAdminAnswersUnderFloodAndStalledEventLoop(t *testing.T) {
	backend := scripted.NewBackend(t, func(int, []string, net.Conn) string { return servedReply })
	list := endpointList(backend.Addr)
	cfg := adminConfig(scripted.Registry(t, list, nil), list)
	cfg.Settings.Counter, cfg.Settings.CounterTimeout = true, 50*time.Millisecond
	cfg.Settings.Plans = []policy.Plan{{Name: "p", Price: 1, Rate: 1, Burst: 4}}
	stall := &stallingCounter{stallTime: 2 * time.Second, stalled: make(chan struct{}, 1)}
	cfg.Store = func(store.Sink) (store.Counter, error) { return stall, nil }
	instance, _ := runIngress(t, cfg)
	payloads := []string{
		"",
		"G",
		"GET /v1/readyz HTTP/1.1\r\nX: " + strings.Repeat("x", 1<<20),
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(stop)
	for i := range 100 {
		wg.Go(func() { floodAdmin(instance.AdminAddr().String(), payloads[i%len(payloads)], stop) })
	}
	nc, _ := dial(t, instance.Addr().String())
	for id := range 20 { // these spend the leased units, so that the counter is called
		io.WriteString(nc, encodeRead(id, readFields))
	}
	eventually(t, 5*time.Second, "the event loop is stalled", func() bool { return len(stall.stalled) == 1 })
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		requireAdminCall(t, instance, "GET", "/v1/readyz", 200)
		requireAdminCall(t, instance, "GET", "/v1/metrics", 200)
	}
}

// floodAdmin keeps connecting to the admin server until stop is closed, and never
// completes a call.
func floodAdmin(addr, payload string, stop <-chan struct{}) {
	for {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			return
		}
		if payload != "" {
			io.WriteString(nc, payload)
		}
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			io.Copy(io.Discard, nc)
		}()
		select {
		case <-stop:
		case <-closed:
			select {
			case <-stop:
			case <-time.After(500 * time.Millisecond):
			}
		case <-time.After(4 * time.Second):
		}
		nc.Close()
		<-closed
		select {
		case <-stop:
			return
		default:
		}
	}
}

// Each invalid call gets its HTTP status. An admin address that is in use or invalid
// is an error that names the address.
func TestAdminErrors(t *testing.T) {
	list := endpointList(scripted.NewBackend(t, nil).Addr)
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
		{"PUT", "/v1/backends/s0/resume", 200}, // listed, and not suspended
	} {
		requireAdminCall(t, instance, c.verb, c.path, c.status)
	}
	cfg := adminConfig("127.0.0.1:1", list)
	cfg.Admin = instance.AdminAddr().String()
	second, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	err = second.Run(t.Context())
	if err == nil || !strings.Contains(err.Error(), "admin_addr") || !strings.Contains(err.Error(), cfg.Admin) {
		t.Fatalf("an address in use: %v", err)
	}
	cfg.Admin = "nonsense"
	if _, err := New(cfg, slog.New(slog.DiscardHandler)); err == nil || !strings.Contains(err.Error(), "nonsense") {
		t.Fatalf("a bad address: %v", err)
	}
}

// A suspended backend gets no attempts, whatever state the endpoint list has for it.
// After one resume call it gets attempts again.
func TestSuspensionOutlivesEndpointList(t *testing.T) {
	var sent [2]atomic.Int64
	var addrs [2]string
	for i := range addrs {
		addrs[i] = scripted.NewBackend(t, func(int, []string, net.Conn) string {
			sent[i].Add(1)
			return servedReply
		}).Addr
	}
	list := endpointList(addrs[:]...)
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
	eventually(t, 5*time.Second, "both backends in use", func() bool {
		load()
		return sent[0].Load() > 0 && sent[1].Load() > 0
	})
	requireAdminCall(t, instance, "PUT", "/v1/backends/s0/suspend", 200)
	requireAdminCall(t, instance, "PUT", "/v1/backends/s0/suspend", 200)
	eventually(t, time.Second, "s0 counts as avoided", func() bool {
		return metricValue(t, instance, "cluster_unhealthy") == 1
	})
	before := sent[0].Load()
	for _, state := range []string{"SERVING", "DELETED", "SERVING", "DRAINING", "SERVING"} {
		first := list.Targets[0]
		first.State = state
		list.Rev++
		changes <- discovery.List{Rev: list.Rev, Targets: []discovery.Target{first}}
		for range 20 {
			load()
		}
	}
	list.Rev++
	changes <- list
	for range 50 {
		load()
	}
	if n := sent[0].Load() - before; n > 0 {
		t.Fatalf("%d attempts were sent to a suspended backend", n)
	}
	requireAdminCall(t, instance, "PUT", "/v1/backends/s0/resume", 200)
	eventually(t, 5*time.Second, "s0 in use again", func() bool {
		load()
		return sent[0].Load() > before
	})
	eventually(t, time.Second, "no backend is avoided", func() bool {
		return metricValue(t, instance, "cluster_unhealthy") == 0
	})
	requireMetric(t, instance, "cluster_size", 2)
}

// The metrics match the answers that clients got and the commands that backends
// received, including errors, connection resets and retries.
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
	list := endpointList(backend.Addr)
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
		requireMetric(t, instance, "transactions.read."+name, n)
	}
	if len(got) < 2 {
		t.Errorf("got answers %v, want several kinds", got)
	}
	requireMetric(t, instance, "sends", int(seen.Load()))
	requireMetric(t, instance, "current", 0)
	requirePrometheusLines(t, cfg.Metrics,
		fmt.Sprintf(`hitchspring_requests_total{class="read",end="answered"} %d`, got["answered"]),
		fmt.Sprintf("hitchspring_attempts_written_total %d", seen.Load()),
	)
	requireMetric(t, instance, "transactions.write.answered", 0) // a class without a request
}

// requirePrometheusLines checks that the status server's metrics contain the lines.
func requirePrometheusLines(t *testing.T, addr string, lines ...string) {
	t.Helper()
	resp, err := http.Get("http://" + addr + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	for _, want := range lines {
		if !strings.Contains(string(text), want+"\n") {
			t.Errorf("no line %q at [metrics]", want)
		}
	}
}

// Backends are suspended while requests are in flight: their attempts may end, and
// retries and hedged requests go to other backends. While all backends are
// suspended, nothing is sent and every request is still answered in time. After one
// backend is resumed, requests are served again.
func TestSuspendDuringRetries(t *testing.T) {
	var mu sync.Mutex
	sentWhileSuspended := map[int]int{} // commands by backend
	var suspended atomic.Int64          // bit mask of the suspended backends, set some time after the call's answer
	var addrs [3]string
	for i := range addrs {
		addrs[i] = scripted.NewBackend(t, func(n int, args []string, nc net.Conn) string {
			if suspended.Load()&(1<<i) != 0 && strings.HasPrefix(args[0], "Q.") {
				mu.Lock()
				sentWhileSuspended[i]++
				mu.Unlock()
			}
			switch n % 5 {
			case 2:
				nc.Close() // the ingress retries at another backend
				return ""
			case 4:
				time.Sleep(150 * time.Millisecond) // the ingress sends a hedged request
			}
			return servedReply
		}).Addr
	}
	list := endpointList(addrs[:]...)
	cfg := adminConfig(scripted.Registry(t, list, nil), list)
	cfg.Settings.MaxAttempts, cfg.Settings.Hedging, cfg.Settings.MaxRetryAfter = 4, true, 100*time.Millisecond
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].LatencyObjective, cfg.Settings.Classes[i].Deadline = time.Second, 2*time.Second
		cfg.Settings.Classes[i].Group, cfg.Settings.Classes[i].RepeatWindow = policy.GroupAll, 5*time.Second
	}
	instance, _ := runIngress(t, cfg)
	c := loadGenerator{pause: time.Millisecond, fields: "c=read,t=p,d=1000,units=1,spread=1,first=0"}
	c.run(instance.Addr().String(), 8)
	time.Sleep(300 * time.Millisecond)
	for i := range addrs {
		requireAdminCall(t, instance, "PUT", fmt.Sprintf("/v1/backends/s%d/suspend", i), 200)
		time.Sleep(300 * time.Millisecond) // attempts in flight at the call may still arrive
		suspended.Store(suspended.Load() | 1<<i)
	}
	before := c.answered.Load() + c.unexpected.Load()
	time.Sleep(1200 * time.Millisecond)
	if c.answered.Load()+c.unexpected.Load() == before {
		t.Error("no request is answered while all backends are suspended")
	}
	suspended.Store(0)
	before = c.answered.Load()
	requireAdminCall(t, instance, "PUT", "/v1/backends/s1/resume", 200)
	eventually(t, 5*time.Second, "requests are served again", func() bool { return c.answered.Load() > before+20 })
	c.end()
	if len(sentWhileSuspended) > 0 || c.unanswered.Load() > 0 {
		t.Errorf("commands at suspended backends: %v; %d requests without an answer",
			sentWhileSuspended, c.unanswered.Load())
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
