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
func gateConfig(t testing.TB, nodes int, change func(*Config)) Config {
	t.Helper()
	var list discovery.List
	for i := range nodes {
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
type caller struct {
	t    *testing.T
	base string
	c    *http.Client
}

func newCaller(t *testing.T, g *Instance) *caller {
	tr := &http.Transport{MaxIdleConnsPerHost: 500}
	t.Cleanup(tr.CloseIdleConnections)
	return &caller{t, "http://" + g.AuthAddr().String(), &http.Client{Transport: tr, Timeout: 30 * time.Second}}
}

// answer is what a call or a report was told.
type answer struct {
	status                  int
	lease, node             string
	startWithin, endsWithin time.Duration
	body                    string
}

func (c *caller) ask(id string, more ...string) (answer, error) {
	req, err := http.NewRequest("GET", c.base+"/x", nil)
	if err != nil {
		return answer{}, err
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

func (c *caller) do(req *http.Request) (answer, error) {
	resp, err := c.c.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}, err
	}
	ms := func(k string) time.Duration {
		n, _ := strconv.Atoi(resp.Header.Get("X-Hitch-" + k))
		return time.Duration(n) * time.Millisecond
	}
	return answer{resp.StatusCode, resp.Header.Get("X-Hitch-Lease"), resp.Header.Get("X-Hitch-Node-Id"), ms("Start-Within-Ms"), ms("Ends-Within-Ms"), string(b)}, nil
}

func (c *caller) must(id string, status int, more ...string) answer {
	c.t.Helper()
	a, err := c.ask(id, more...)
	if err != nil || a.status != status {
		c.t.Fatalf("%s: %+v, %v, want %d", id, a, err, status)
	}
	return a
}

// reported is the answer to a report.
type reported struct {
	Status int
	State  string
	Next   map[string]string
}

func (c *caller) report(lease, outcome string) reported {
	c.t.Helper()
	req, err := http.NewRequest("POST", c.base+"/v1/attempts/"+lease, strings.NewReader(fmt.Sprintf(`{"outcome":%q}`, outcome)))
	if err != nil {
		c.t.Fatal(err)
	}
	a, err := c.do(req)
	if err != nil {
		c.t.Fatal(err)
	}
	out := reported{Status: a.status}
	json.Unmarshal([]byte(a.body), &out)
	return out
}

// A grant names a node of the list; the same id has the same answer until it is reported on, and then it is over.
func TestGateAsksAndReports(t *testing.T) {
	g, _ := runIngress(t, gateConfig(t, 2, nil))
	c := newCaller(t, g)
	a := c.must("one", 200)
	if !strings.HasPrefix(a.node, "s") || len(a.lease) != 32 || a.startWithin > 500*time.Millisecond || a.endsWithin > 10*time.Second || a.endsWithin < 9*time.Second {
		t.Fatalf("%+v", a)
	}
	if b := c.must("one", 200); b.lease != a.lease || b.node != a.node {
		t.Fatalf("%+v, then %+v", a, b)
	}
	c.must("one", 409, "Units", "2")
	if b := c.must("One", 200); b.lease == a.lease {
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
	c.must("one", 409)
}

// A quota's units are spent once for each id, however often it asks, also where its first caller left before the answer; what
// is reported as never sent is given back, and one quota serves both fronts.
func TestGateUnitsAreCountedOnce(t *testing.T) {
	be := scripted.NewBackend(t, func(int, []string, net.Conn) string { return served })
	cfg := gateConfig(t, 4, nil)
	for i := range cfg.Known.Targets {
		cfg.Known.Targets[i].Endpoint = be.Addr
	}
	cfg.Discovery = scripted.Registry(t, cfg.Known, nil)
	g, _ := runIngress(t, cfg)
	c := newCaller(t, g)
	nc, err := net.Dial("tcp", g.AuthAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(nc, "GET /x HTTP/1.1\r\nHost: x\r\nX-Hitch-Class: read\r\nX-Hitch-Plan: four\r\nX-Hitch-Channel: 3e9\r\nX-Hitch-Id: a\r\nX-Hitch-Key: k\r\n\r\n")
	nc.Close() // without a look at the answer
	four := []string{"Plan", "four"}
	first := c.must("a", 200, four...)
	for range 3 {
		if b := c.must("a", 200, four...); b.lease != first.lease {
			t.Fatal("another lease")
		}
	}
	c.must("b", 200, four...)
	last := c.must("c", 200, four...)
	// The fourth unit goes to a client of RESP2, on the same channel.
	conn, in := dial(t, g.Addr().String())
	io.WriteString(conn, command("Q.ASK", "00000000000003e9", "00000000000000aa", "c=read,t=four,d=3000,units=1,spread=1,first=0"))
	wantValue(t, in)
	if a := c.must("d", 429, four...); !strings.Contains(a.body, "retry_after_ms") {
		t.Fatal(a.body)
	}
	if r := c.report(last.lease, "unsent"); r.State != "unsent" {
		t.Fatalf("%+v", r)
	}
	c.must("e", 200, four...)
	c.must("f", 429, four...)
}

// What comes after a failed attempt is the module's word, under the class's rule: safe work goes elsewhere, at once or when its
// gate asks again; unsafe work that may have run goes nowhere, and one that was turned away may.
func TestGateAttemptsAfterFailure(t *testing.T) {
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
		g, _ := runIngress(t, gateConfig(t, 4, nil))
		x := newCaller(t, g)
		a := x.must("one", 200, "Class", c.class)
		r := x.report(a.lease, c.outcome)
		if r.Status != 200 || r.State != c.state || (len(r.Next) > 0) != c.again {
			t.Errorf("%s: %+v", name, r)
		}
		if c.again {
			if r.Next["X-Hitch-Node-Id"] == a.node || r.Next["X-Hitch-Lease"] == a.lease {
				t.Errorf("%s: the same again: %+v", name, r)
			}
			if b := x.must("one", 200, "Class", c.class); b.lease != r.Next["X-Hitch-Lease"] {
				t.Errorf("%s: asking again gives another lease", name)
			}
		}
	}
}

// A gate that dies with 200 grants open: they fill the window and the channel's cap until they run out, and no longer.
func TestGateDiesWithGrantsOpen(t *testing.T) {
	g, _ := runIngress(t, gateConfig(t, 60, func(c *Config) {
		c.Leases.Timeout = time.Second
		c.Settings.Plans = append(c.Settings.Plans, policy.Plan{Name: "capped", Price: 1, MaxInFlight: 200})
	}))
	c := newCaller(t, g)
	capped := []string{"Plan", "capped"}
	began := time.Now()
	var leases []string
	for i := range 200 {
		leases = append(leases, c.must(fmt.Sprint("dead", i), 200, capped...).lease)
	}
	if time.Since(began) > 900*time.Millisecond {
		t.Skip("the machine is too slow to have 200 open at once")
	}
	c.must("waits", 200, capped...)
	if took := time.Since(began); took < 900*time.Millisecond {
		t.Fatalf("one beyond the cap was granted after %v", took)
	}
	for i := range 150 {
		c.must(fmt.Sprint("later", i), 200, capped...)
	}
	if r := c.report(leases[0], "served"); r.Status != 410 {
		t.Fatalf("a late report: %+v", r)
	}
	c.must("dead0", 409, capped...)
}

// Nothing is granted at a node that drains, and what was granted before must be sent within half a second: nothing new
// reaches it later than 2 s after the ingress heard.
func TestGateAndDrain(t *testing.T) {
	changes := make(chan discovery.List, 1)
	cfg := gateConfig(t, 2, nil)
	cfg.Discovery = scripted.Registry(t, cfg.Known, changes)
	g, _ := runIngress(t, cfg)
	c := newCaller(t, g)
	list := cfg.Known
	list.Complete, list.Rev = false, 2
	list.Targets = []discovery.Target{list.Targets[0]}
	list.Targets[0].State = "DRAINING"
	told := time.Now()
	changes <- list
	var lastUse time.Time
	for i := 0; time.Since(told) < 1500*time.Millisecond; i++ {
		a := c.must(fmt.Sprint("n", i), 200)
		if a.node == "s0" {
			lastUse = time.Now().Add(a.startWithin)
		}
		c.report(a.lease, "served")
	}
	if lastUse.Sub(told) > 1500*time.Millisecond {
		t.Fatalf("a grant at a draining node is good until %v after it was told", lastUse.Sub(told))
	}
}

// A time that is over is a refusal at once; one of an hour is not believed.
func TestGateDeadlines(t *testing.T) {
	g, _ := runIngress(t, gateConfig(t, 1, func(c *Config) { c.Leases.Timeout = 59 * time.Minute }))
	c := newCaller(t, g)
	began := time.Now()
	if a, err := c.ask("short", "Deadline-Ms", "1"); err != nil || a.status != 200 && a.status != 429 || time.Since(began) > 5*time.Second {
		t.Fatal(a, err)
	}
	if a := c.must("hour", 200, "Deadline-Ms", "3600000"); a.endsWithin > 2*time.Minute {
		t.Fatalf("a lease of %v", a.endsWithin)
	}
}

// SIGTERM with 300 calls waiting: each has one answer, and the program ends in its time.
func TestGateShutdown(t *testing.T) {
	g, stop := runIngress(t, gateConfig(t, 1, nil)) // one node: a window of four
	c := newCaller(t, g)
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for i := range 300 {
		wg.Go(func() {
			a, err := c.ask(fmt.Sprint("w", i))
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
func TestGateRulesChange(t *testing.T) {
	cfg := gateConfig(t, 40, nil)
	yes, err := forwardauth.NewTable([]forwardauth.Rule{{Path: "/channels/{channel}/guide", Class: "read", Plan: "p"}})
	if err != nil {
		t.Fatal(err)
	}
	no := cfg.Auth.Table
	g, _ := runIngress(t, cfg)
	c := newCaller(t, g)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for range 4 {
		wg.Go(func() {
			for ctx.Err() == nil {
				req, _ := http.NewRequest("GET", c.base+"/check", nil)
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
		g.SetRules([]*forwardauth.Table{yes, no}[i%2])
		time.Sleep(2 * time.Millisecond)
	}
	wg.Wait()
	if statuses[200] == 0 || statuses[400] == 0 || len(statuses) != 2 {
		t.Fatal(statuses)
	}
}

// Priority holds across the fronts: gates flood with work of little worth until the window is full and a hundred wait; a request
// of more worth that comes over RESP2 takes the first place that is freed.
func TestGateFloodAndPriority(t *testing.T) {
	be := scripted.NewBackend(t, func(int, []string, net.Conn) string { return served })
	cfg := gateConfig(t, 1, nil)
	cfg.Known.Targets[0].Endpoint = be.Addr
	cfg.Discovery = scripted.Registry(t, cfg.Known, nil)
	cfg.Settings.Classes[2].PriorityWeight, cfg.Settings.Classes[2].RepeatWindow = 5, 3*time.Second
	g, stop := runIngress(t, cfg)
	c := newCaller(t, g)
	granted := make(chan answer, 200)
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Go(func() {
			if a, err := c.ask(fmt.Sprint("flood", i)); err == nil && a.status == 200 {
				granted <- a
			}
		})
	}
	var out []answer
	for range 4 { // the window of one node
		out = append(out, <-granted)
	}
	conn, in := dial(t, g.Addr().String())
	io.WriteString(conn, command("Q.DO", "00000000000003e9", "00000000000000aa", "c=keyed,t=p,d=20000,k=x,units=1,spread=1,first=0"))
	time.Sleep(100 * time.Millisecond) // it is held: the window is full
	if n := len(be.Seen()); n > 0 || len(granted) > 0 {
		t.Fatalf("%d sent and %d granted beyond the window", n, len(granted))
	}
	c.report(out[0].lease, "served")
	wantValue(t, in)
	if n := len(be.Seen()); n != 1 {
		t.Fatalf("the node has seen %d", n)
	}
	stop()
	wg.Wait()
}

// Where too many callers wait on one id, a further one is turned away; once an attempt has been granted that is no refusal,
// which would say that nothing has run.
func TestGateTooManyWait(t *testing.T) {
	g, stop := runIngress(t, gateConfig(t, 1, func(c *Config) { c.Settings.Classes[2].RepeatWindow = time.Minute }))
	c := newCaller(t, g)
	var wg sync.WaitGroup
	statuses := make(chan int, 100)
	ask := func(id string, more ...string) {
		wg.Go(func() {
			if a, err := c.ask(id, more...); err == nil {
				statuses <- a.status
			}
		})
	}
	first := c.must("a", 200, "Class", "keyed")
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
