package ingress

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"hitchspring/internal/core"
	"hitchspring/internal/discovery"
	"hitchspring/internal/front/forwardauth"
	"hitchspring/internal/standin/scripted"
	"hitchspring/policy"
)

// gateConfig is an ingress with a front for gates and so many nodes, which nothing is ever sent to but by gates.
func authConfig(t testing.TB, backends int, change func(*Config)) Config {
	t.Helper()
	var list discovery.List
	for i := range backends {
		list.Targets = append(list.Targets, discovery.Target{UID: fmt.Sprint("s", i), Endpoint: fmt.Sprintf("127.0.0.1:%d", 1+i), Zone: "a", State: "SERVING"})
	}
	list.Rev, list.Complete = 1, true
	cfg := testConfig(scripted.Registry(t, list, nil), list)
	cfg.Settings.MaxAttempts, cfg.Settings.Hedging, cfg.Settings.MaxRetryAfter = 3, true, time.Second
	cfg.Settings.Plans = append(cfg.Settings.Plans, policy.Plan{Name: "four", Price: 1, Rate: 0.001, Burst: 4, ExcessCost: 1})
	cfg.Sockets = 2048
	table, err := forwardauth.NewTable(nil)
	if err != nil {
		t.Fatal(err)
	}
	cfg.Auth = &Auth{Listen: "127.0.0.1:0", Table: table, Config: forwardauth.Config{
		Header: "X-Hitch", Trusted: []netip.Prefix{netip.MustParsePrefix("127.0.0.1/32")}, MaxCalls: 1000,
		MaxConnections: 600, MaxHeaderBytes: 8 << 10, MaxBodyBytes: 8 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxReports: 10,
	}}
	cfg.Leases = &core.Leases{Timeout: 10 * time.Second, StartWithin: 500 * time.Millisecond, Retention: 3 * time.Second, MaxRequests: 50000}
	if change != nil {
		change(&cfg)
	}
	return cfg
}

// caller is a gate's HTTP client.
type proxyClient struct {
	t       *testing.T
	baseURL string
	client  *http.Client
}

func newProxyClient(t *testing.T, instance *Instance) *proxyClient {
	transport := &http.Transport{MaxIdleConnsPerHost: 500}
	t.Cleanup(transport.CloseIdleConnections)
	return &proxyClient{t, "http://" + instance.AuthAddr().String(), &http.Client{Transport: transport, Timeout: 30 * time.Second}}
}

// answer is what a call or a report was told.
type proxyAnswer struct {
	status                  int
	lease, backend          string
	startWithin, endsWithin time.Duration
	body                    string
}

func (c *proxyClient) authorize(id string, more ...string) (proxyAnswer, error) {
	req, err := http.NewRequest("GET", c.baseURL+"/x", nil)
	if err != nil {
		return proxyAnswer{}, err
	}
	h := req.Header
	for k, v := range map[string]string{"Class": "read", "Plan": "p", "Channel": "3e9", "Id": id, "Key": "k"} {
		h.Set("X-Hitch-"+k, v)
	}
	for i := 0; i+1 < len(more); i += 2 {
		h.Set("X-Hitch-"+more[i], more[i+1])
	}
	return c.do(req)
}

func (c *proxyClient) do(req *http.Request) (proxyAnswer, error) {
	resp, err := c.client.Do(req)
	if err != nil {
		return proxyAnswer{}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return proxyAnswer{}, err
	}
	ms := func(k string) time.Duration {
		n, _ := strconv.Atoi(resp.Header.Get("X-Hitch-" + k))
		return time.Duration(n) * time.Millisecond
	}
	return proxyAnswer{resp.StatusCode, resp.Header.Get("X-Hitch-Lease"), resp.Header.Get("X-Hitch-Node-Id"), ms("Start-Within-Ms"), ms("Ends-Within-Ms"), string(b)}, nil
}

func (c *proxyClient) requireStatus(id string, status int, more ...string) proxyAnswer {
	c.t.Helper()
	a, err := c.authorize(id, more...)
	if err != nil || a.status != status {
		c.t.Fatalf("%s: %+v, %v, want %d", id, a, err, status)
	}
	return a
}

// reported is the answer to a report.
type reportAnswer struct {
	Status int
	State  string
	Next   map[string]string
}

func (c *proxyClient) report(lease, outcome string) reportAnswer {
	c.t.Helper()
	req, err := http.NewRequest("POST", c.baseURL+"/v1/attempts/"+lease, strings.NewReader(fmt.Sprintf(`{"outcome":%q}`, outcome)))
	if err != nil {
		c.t.Fatal(err)
	}
	a, err := c.do(req)
	if err != nil {
		c.t.Fatal(err)
	}
	out := reportAnswer{Status: a.status}
	json.Unmarshal([]byte(a.body), &out)
	return out
}

// A grant names a node of the list; the same id has the same answer until it is reported on, and then it is over.
func TestAuthGrantsAndReports(t *testing.T) {
	instance, _ := runIngress(t, authConfig(t, 2, nil))
	c := newProxyClient(t, instance)
	a := c.requireStatus("one", 200)
	if !strings.HasPrefix(a.backend, "s") || len(a.lease) != 32 || a.startWithin > 500*time.Millisecond || a.endsWithin > 10*time.Second || a.endsWithin < 9*time.Second {
		t.Fatalf("%+v", a)
	}
	if b := c.requireStatus("one", 200); b.lease != a.lease || b.backend != a.backend {
		t.Fatalf("%+v, then %+v", a, b)
	}
	c.requireStatus("one", 409, "Units", "2")
	if b := c.requireStatus("One", 200); b.lease == a.lease {
		t.Fatal("two ids that differ in case are one")
	}
	if r := c.report(a.lease, "served"); r.Status != 200 || r.State != "served" {
		t.Fatalf("%+v", r)
	}
	if r := c.report(a.lease, "served"); r.Status != 200 {
		t.Fatalf("a report again: %+v", r)
	}
	if r := c.report(a.lease, "failed"); r.Status != 409 {
		t.Fatalf("another report: %+v", r)
	}
	if r := c.report("nonsense", "served"); r.Status != 404 {
		t.Fatalf("a report on nothing: %+v", r)
	}
	c.requireStatus("one", 409)
}

// A quota's units are spent once for each id, however often it asks, also where its first caller left before the answer; what
// is reported as never sent is given back, and one quota serves both fronts.
func TestAuthUnitsAreCountedOnce(t *testing.T) {
	backend := scripted.NewBackend(t, func(int, []string, net.Conn) string { return servedReply })
	cfg := authConfig(t, 4, nil)
	for i := range cfg.Known.Targets {
		cfg.Known.Targets[i].Endpoint = backend.Addr
	}
	cfg.Discovery = scripted.Registry(t, cfg.Known, nil)
	instance, _ := runIngress(t, cfg)
	c := newProxyClient(t, instance)
	nc, err := net.Dial("tcp", instance.AuthAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(nc, "GET /x HTTP/1.1\r\nHost: x\r\nX-Hitch-Class: read\r\nX-Hitch-Plan: four\r\nX-Hitch-Channel: 3e9\r\nX-Hitch-Id: a\r\nX-Hitch-Key: k\r\n\r\n")
	nc.Close() // without a look at the answer
	four := []string{"Plan", "four"}
	first := c.requireStatus("a", 200, four...)
	for range 3 {
		if b := c.requireStatus("a", 200, four...); b.lease != first.lease {
			t.Fatal("another lease")
		}
	}
	c.requireStatus("b", 200, four...)
	last := c.requireStatus("c", 200, four...)
	// The fourth unit goes to a client of RESP2, on the same channel.
	conn, in := dial(t, instance.Addr().String())
	io.WriteString(conn, encodeCommand("Q.ASK", "00000000000003e9", "00000000000000aa", "c=read,t=four,d=3000,units=1,spread=1,first=0"))
	requireValue(t, in)
	if a := c.requireStatus("d", 429, four...); !strings.Contains(a.body, "retry_after_ms") {
		t.Fatal(a.body)
	}
	if r := c.report(last.lease, "unsent"); r.State != "unsent" {
		t.Fatalf("%+v", r)
	}
	c.requireStatus("e", 200, four...)
	c.requireStatus("f", 429, four...)
}

// What comes after a failed attempt is the module's word, under the class's rule: safe work goes elsewhere, at once or when its
// gate asks again; unsafe work that may have run goes nowhere, and one that was turned away may.
func TestAuthAttemptsAfterFailure(t *testing.T) {
	for name, c := range map[string]struct {
		class, outcome, state string
		again                 bool
	}{
		"safe, failed":        {"read", "failed", "granted", true},
		"safe, turned away":   {"read", "refused", "granted", true},
		"unsafe, failed":      {"write", "failed", "failed", false},
		"unsafe, turned away": {"write", "refused", "granted", true},
		"unsafe, never sent":  {"write", "unsent", "unsent", false},
	} {
		instance, _ := runIngress(t, authConfig(t, 4, nil))
		x := newProxyClient(t, instance)
		a := x.requireStatus("one", 200, "Class", c.class)
		r := x.report(a.lease, c.outcome)
		if r.Status != 200 || r.State != c.state || (len(r.Next) > 0) != c.again {
			t.Errorf("%s: %+v", name, r)
		}
		if c.again {
			if r.Next["X-Hitch-Node-Id"] == a.backend || r.Next["X-Hitch-Lease"] == a.lease {
				t.Errorf("%s: the same again: %+v", name, r)
			}
			if b := x.requireStatus("one", 200, "Class", c.class); b.lease != r.Next["X-Hitch-Lease"] {
				t.Errorf("%s: asking again gives another lease", name)
			}
		}
	}
}

// A gate that dies with 200 grants open: they fill the window and the channel's cap until they run out, and no longer.
func TestAuthProxyDiesWithOpenGrants(t *testing.T) {
	instance, _ := runIngress(t, authConfig(t, 60, func(c *Config) {
		c.Leases.Timeout = time.Second
		c.Settings.Plans = append(c.Settings.Plans, policy.Plan{Name: "capped", Price: 1, MaxInFlight: 200})
	}))
	c := newProxyClient(t, instance)
	capped := []string{"Plan", "capped"}
	began := time.Now()
	var leases []string
	for i := range 200 {
		leases = append(leases, c.requireStatus(fmt.Sprint("dead", i), 200, capped...).lease)
	}
	if time.Since(began) > 900*time.Millisecond {
		t.Skip("the machine is too slow to have 200 open at once")
	}
	c.requireStatus("waits", 200, capped...)
	if took := time.Since(began); took < 900*time.Millisecond {
		t.Fatalf("one beyond the cap was granted after %v", took)
	}
	for i := range 150 {
		c.requireStatus(fmt.Sprint("later", i), 200, capped...)
	}
	if r := c.report(leases[0], "served"); r.Status != 410 {
		t.Fatalf("a late report: %+v", r)
	}
	c.requireStatus("dead0", 409, capped...)
}

// Nothing is granted at a node that drains, and what was granted before must be sent within half a second: nothing new
// reaches it later than 2 s after the ingress heard.
func TestAuthAndBackendDrain(t *testing.T) {
	changes := make(chan discovery.List, 1)
	cfg := authConfig(t, 2, nil)
	cfg.Discovery = scripted.Registry(t, cfg.Known, changes)
	instance, _ := runIngress(t, cfg)
	c := newProxyClient(t, instance)
	list := cfg.Known
	list.Complete, list.Rev = false, 2
	list.Targets = []discovery.Target{list.Targets[0]}
	list.Targets[0].State = "DRAINING"
	told := time.Now()
	changes <- list
	var lastUse time.Time
	for i := 0; time.Since(told) < 1500*time.Millisecond; i++ {
		a := c.requireStatus(fmt.Sprint("n", i), 200)
		if a.backend == "s0" {
			lastUse = time.Now().Add(a.startWithin)
		}
		c.report(a.lease, "served")
	}
	if lastUse.Sub(told) > 1500*time.Millisecond {
		t.Fatalf("a grant at a draining node is good until %v after it was told", lastUse.Sub(told))
	}
}

// A time that is over is a refusal at once; one of an hour is not believed.
func TestAuthDeadlines(t *testing.T) {
	instance, _ := runIngress(t, authConfig(t, 1, func(c *Config) { c.Leases.Timeout = 59 * time.Minute }))
	c := newProxyClient(t, instance)
	began := time.Now()
	if a, err := c.authorize("short", "Deadline-Ms", "1"); err != nil || a.status != 200 && a.status != 429 || time.Since(began) > 5*time.Second {
		t.Fatal(a, err)
	}
	if a := c.requireStatus("hour", 200, "Deadline-Ms", "3600000"); a.endsWithin > 2*time.Minute {
		t.Fatalf("a lease of %v", a.endsWithin)
	}
}

// SIGTERM with 300 calls waiting: each has one answer, and the program ends in its time.
func TestAuthShutdown(t *testing.T) {
	instance, stop := runIngress(t, authConfig(t, 1, nil)) // one node: a window of four
	c := newProxyClient(t, instance)
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for i := range 300 {
		wg.Go(func() {
			a, err := c.authorize(fmt.Sprint("w", i))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				t.Errorf("call %d has no answer: %v", i, err)
			}
			statuses[a.status]++
		})
	}
	time.Sleep(300 * time.Millisecond)
	began := time.Now()
	if err := stop(); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Fatalf("it took %v", took)
	}
	wg.Wait()
	if statuses[200] < 4 || statuses[200]+statuses[429]+statuses[503] != 300 {
		t.Fatal(statuses)
	}
}

// The table of rules changes under load: each call is answered by one table or the other.
func TestAuthRulesChange(t *testing.T) {
	cfg := authConfig(t, 40, nil)
	yes, err := forwardauth.NewTable([]forwardauth.Rule{{Path: "/channels/{channel}/guide", Class: "read", Plan: "p"}})
	if err != nil {
		t.Fatal(err)
	}
	no := cfg.Auth.Table
	instance, _ := runIngress(t, cfg)
	c := newProxyClient(t, instance)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for range 4 {
		wg.Go(func() {
			for ctx.Err() == nil {
				req, _ := http.NewRequest("GET", c.baseURL+"/check", nil)
				req.Header.Set("X-Forwarded-Method", "GET")
				req.Header.Set("X-Forwarded-Uri", "/channels/3e9/guide")
				a, err := c.do(req)
				if err != nil {
					t.Error(err)
					return
				}
				if a.lease != "" {
					c.report(a.lease, "served")
				}
				mu.Lock()
				statuses[a.status]++
				mu.Unlock()
			}
		})
	}
	for i := 0; ctx.Err() == nil; i++ {
		instance.SetRules([]*forwardauth.Table{yes, no}[i%2])
		time.Sleep(2 * time.Millisecond)
	}
	wg.Wait()
	if statuses[200] == 0 || statuses[400] == 0 || len(statuses) != 2 {
		t.Fatal(statuses)
	}
}

// Priority holds across the fronts: gates flood with work of little worth until the window is full and a hundred wait; a request
// of more worth that comes over RESP2 takes the first place that is freed.
func TestAuthFloodAndPriority(t *testing.T) {
	backend := scripted.NewBackend(t, func(int, []string, net.Conn) string { return servedReply })
	cfg := authConfig(t, 1, nil)
	cfg.Known.Targets[0].Endpoint = backend.Addr
	cfg.Discovery = scripted.Registry(t, cfg.Known, nil)
	cfg.Settings.Classes[2].PriorityWeight, cfg.Settings.Classes[2].RepeatWindow = 5, 3*time.Second
	instance, stop := runIngress(t, cfg)
	c := newProxyClient(t, instance)
	granted := make(chan proxyAnswer, 200)
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Go(func() {
			if a, err := c.authorize(fmt.Sprint("flood", i)); err == nil && a.status == 200 {
				granted <- a
			}
		})
	}
	var out []proxyAnswer
	for range 4 { // the window of one node
		out = append(out, <-granted)
	}
	conn, in := dial(t, instance.Addr().String())
	io.WriteString(conn, encodeCommand("Q.DO", "00000000000003e9", "00000000000000aa", "c=keyed,t=p,d=20000,k=x,units=1,spread=1,first=0"))
	time.Sleep(100 * time.Millisecond) // it is held: the window is full
	if n := len(backend.Seen()); n > 0 || len(granted) > 0 {
		t.Fatalf("%d sent and %d granted beyond the window", n, len(granted))
	}
	c.report(out[0].lease, "served")
	requireValue(t, in)
	if n := len(backend.Seen()); n != 1 {
		t.Fatalf("the node has seen %d", n)
	}
	stop()
	wg.Wait()
}

// Where too many callers wait on one id, a further one is turned away; once an attempt has been granted that is no refusal,
// which would say that nothing has run.
func TestAuthTooManyWaitingCalls(t *testing.T) {
	instance, stop := runIngress(t, authConfig(t, 1, func(c *Config) { c.Settings.Classes[2].RepeatWindow = time.Minute }))
	c := newProxyClient(t, instance)
	var wg sync.WaitGroup
	statuses := make(chan int, 100)
	ask := func(id string, more ...string) {
		wg.Go(func() {
			if a, err := c.authorize(id, more...); err == nil {
				statuses <- a.status
			}
		})
	}
	first := c.requireStatus("a", 200, "Class", "keyed")
	for i := range 20 { // they take the rest of the window, and the place that the first one leaves
		ask(fmt.Sprint("other", i))
	}
	for range 3 {
		if s := <-statuses; s != 200 {
			t.Fatal(s)
		}
	}
	time.Sleep(100 * time.Millisecond)
	if r := c.report(first.lease, "failed"); r.State != "open" {
		t.Fatalf("%+v", r)
	}
	<-statuses // the one that took its place
	for range 5 {
		ask("a", "Class", "keyed")
	}
	if s := <-statuses; s != 503 {
		t.Fatalf("the fifth was answered %d", s)
	}
	stop()
	wg.Wait()
}
