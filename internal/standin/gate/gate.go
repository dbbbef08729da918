// Package gate is a stand-in for an HTTP gate that asks the ingress about each request, sends it to the node that it is
// granted, and reports. It does what the operators' page asks of a gate, and by a fault script what it asks a gate not to.
package gate

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"hitchspring/internal/standin/fault"
)

// What a fault rule's kinds do here; calls are known by their class.
//
//	drop-before  hangs up before the answer to its first call, and asks again
//	drop-after   dies after the grant: sends nothing, reports nothing
//	ignore       the same, and answers its client as if refused
//	delay D      waits between grant and sending; past the time for it, it sends nothing and reports unsent
//	swallow      never reports
//	repeat       reports twice
//	late D       reports so much later
const header = "X-Hitch"

// Wish is one request of a client.
type Request struct {
	ID, Channel, Class, Plan, Key string
	Units                         float64
	Spread, First                 int
	Wait                          time.Duration
}

// Result is what the client is told.
type Result struct {
	Kind  string // served, refused or failed
	Value string
	After time.Duration // of a refusal
}

// Gate sends requests on by the word of one ingress. It is safe for many goroutines.
type Gate struct {
	base   string
	client *http.Client
	tr     *http.Transport
	faults *fault.Script
	start  time.Time
	wg     sync.WaitGroup
	ctx    context.Context
	stop   context.CancelFunc
	mu     sync.Mutex
	idle   map[string][]*nodeConn
}

const mostIdle = 64 // connections kept to a node

// New returns a gate that asks at host:port.
func New(addr string, seed uint64) *Gate {
	tr := &http.Transport{MaxIdleConnsPerHost: 256, MaxConnsPerHost: 512, IdleConnTimeout: 20 * time.Second, DisableCompression: true}
	ctx, stop := context.WithCancel(context.Background())
	return &Gate{
		base: "http://" + addr, tr: tr, client: &http.Client{Transport: tr}, faults: fault.New(seed), start: time.Now(), ctx: ctx, stop: stop,
		idle: map[string][]*nodeConn{},
	}
}

// Fault puts a rule in force from now on.
func (g *Gate) Fault(r fault.Rule) { g.faults.Add(time.Since(g.start), r) }

// Close ends what reports late, and all connections.
func (g *Gate) Close() {
	g.stop()
	g.wg.Wait()
	g.tr.CloseIdleConnections()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, list := range g.idle {
		for _, c := range list {
			c.Close()
		}
	}
	g.idle = map[string][]*nodeConn{}
}

// grant is a node that the ingress has named.
type grant struct {
	lease, addr string
	startBy     time.Time
}

func readGrant(get func(string) string, at time.Time) (grant, error) {
	ms := func(name string) time.Duration {
		n, _ := strconv.ParseInt(get(header+name), 10, 64)
		return time.Duration(n) * time.Millisecond
	}
	x := grant{lease: get(header + "-Lease"), addr: get(header + "-Node"), startBy: at.Add(ms("-Start-Within-Ms"))}
	if x.lease == "" || x.addr == "" {
		return x, errors.New("a grant without node or lease")
	}
	return x, nil
}

// Do carries one request through.
func (g *Gate) Do(ctx context.Context, w Request) (res Result) {
	ctx, cancel := context.WithTimeout(ctx, w.Wait)
	defer cancel()
	rule, _, _ := g.faults.Next(time.Since(g.start), w.Class, "")
	if rule.Kind == fault.DropBefore { // the first call times out here
		short, cancel := context.WithTimeout(ctx, 2*time.Millisecond)
		g.ask(short, w, &res)
		cancel()
	}
	x, done := g.ask(ctx, w, &res)
	mayRun := false // an earlier attempt
	for !done {
		switch rule.Kind {
		case fault.DropAfter:
			res.Kind = "failed"
			return res
		case fault.Ignore:
			res.Kind = "refused"
			return res
		case fault.Delay:
			sleep(ctx, rule.By)
		}
		if time.Now().After(x.startBy) {
			g.report(ctx, x.lease, "unsent", rule)
			if res.Kind = "refused"; mayRun { // this one was never sent
				res.Kind = "failed"
			}
			return res
		}
		value, outcome := g.send(ctx, x.addr, w)
		if outcome == "served" {
			g.report(ctx, x.lease, outcome, rule)
			res.Kind, res.Value = "served", value
			return res
		}
		mayRun = mayRun || outcome == "failed"
		if ctx.Err() != nil {
			g.report(g.ctx, x.lease, outcome, rule)
			res.Kind = "failed"
			return res
		}
		next, ok := g.report(ctx, x.lease, outcome, rule)
		if ok {
			x = next
			continue
		}
		x, done = g.ask(ctx, w, &res) // the decision may still be open
	}
	return res
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// ask calls the ingress; done says that the result is final.
func (g *Gate) ask(ctx context.Context, w Request, res *Result) (x grant, done bool) {
	res.Kind = "failed"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, g.base+"/check", nil)
	if err != nil {
		return x, true
	}
	left := w.Wait
	if end, ok := ctx.Deadline(); ok {
		left = time.Until(end)
	}
	h := req.Header
	h.Set("X-Forwarded-Method", "POST")
	h.Set("X-Forwarded-Uri", "/channels/"+w.Channel+"/"+w.Class)
	for name, v := range map[string]string{
		"Id": w.ID, "Channel": w.Channel, "Class": w.Class, "Plan": w.Plan, "Key": w.Key, "Units": strconv.FormatFloat(w.Units, 'g', -1, 64),
		"Set": fmt.Sprintf("%d/%d", w.Spread, w.First), "Deadline-Ms": strconv.FormatInt(max(1, left.Milliseconds()), 10),
	} {
		if v != "" {
			h.Set(header+"-"+name, v)
		}
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return x, true
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<16))
	switch resp.StatusCode {
	case http.StatusOK:
		if x, err = readGrant(resp.Header.Get, time.Now()); err != nil {
			return x, true
		}
		return x, false
	case http.StatusTooManyRequests:
		res.Kind = "refused"
		ms, _ := strconv.ParseInt(resp.Header.Get(header+"-Retry-After-Ms"), 10, 64)
		res.After = time.Duration(ms) * time.Millisecond
	}
	return x, true
}

// report tells how an attempt went; a further grant may come back.
func (g *Gate) report(ctx context.Context, lease, outcome string, rule fault.Rule) (next grant, ok bool) {
	post := func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		body, _ := json.Marshal(map[string]any{"outcome": outcome})
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, g.base+"/v1/attempts/"+lease, bytes.NewReader(body))
		if err != nil {
			return
		}
		resp, err := g.client.Do(req)
		if err != nil {
			return
		}
		defer resp.Body.Close()
		var out struct{ Next map[string]string }
		at := time.Now()
		if json.NewDecoder(io.LimitReader(resp.Body, 1<<16)).Decode(&out) == nil && len(out.Next) > 0 {
			if x, err := readGrant(func(name string) string { return out.Next[http.CanonicalHeaderKey(name)] }, at); err == nil {
				next, ok = x, true
			}
		}
	}
	switch rule.Kind {
	case fault.Swallow:
		return grant{}, false
	case fault.Late:
		g.wg.Go(func() {
			sleep(g.ctx, rule.By)
			if g.ctx.Err() == nil {
				post(g.ctx)
			}
		})
		return grant{}, false
	case fault.Repeat:
		post(ctx)
		was, had := next, ok
		post(ctx)
		return was, had
	}
	post(context.WithoutCancel(ctx))
	return next, ok
}

// nodeConn is a connection to a node, for one command at a time.
type nodeConn struct {
	net.Conn
	in *bufio.Reader
}

// send carries a command to a node, and says how it went in the words of a report.
func (g *Gate) send(ctx context.Context, addr string, w Request) (value, outcome string) {
	c := g.take(addr)
	if c == nil {
		d := net.Dialer{Timeout: 250 * time.Millisecond}
		nc, err := d.DialContext(ctx, "tcp", addr)
		if err != nil {
			return "", "refused" // it never came up: it never ran
		}
		c = &nodeConn{nc, bufio.NewReaderSize(nc, 512)}
	}
	end, _ := ctx.Deadline()
	c.SetDeadline(end)
	fields := fmt.Sprintf("c=%s,t=%s,d=%d,units=%g,spread=%d,first=%d", w.Class, w.Plan, max(1, time.Until(end).Milliseconds()), w.Units, w.Spread, w.First)
	name := "Q.ASK"
	if w.Key != "" {
		name, fields = "Q.DO", fields+",k="+w.Key
	}
	var b strings.Builder
	args := []string{name, w.Channel, w.ID, fields}
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, a := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(a), a)
	}
	if _, err := io.WriteString(c, b.String()); err != nil {
		c.Close()
		return "", "failed"
	}
	value, outcome, err := c.read()
	if err != nil {
		c.Close()
		return "", "failed"
	}
	g.put(addr, c)
	return value, outcome
}

func (c *nodeConn) read() (value, outcome string, err error) {
	line, err := c.in.ReadString('\n')
	if err != nil {
		return "", "", err
	}
	switch line = strings.TrimRight(line, "\r\n"); {
	case strings.HasPrefix(line, "-BUSY"):
		return "", "refused", nil
	case line != "*3":
		return "", "failed", nil
	}
	for i := range 3 {
		if line, err = c.in.ReadString('\n'); err != nil {
			return "", "", err
		}
		n, err := strconv.Atoi(strings.TrimRight(strings.TrimPrefix(line, "$"), "\r\n"))
		if err != nil || n > 1<<16 {
			return "", "", fmt.Errorf("a value of length %q", line)
		}
		if n < 0 {
			continue
		}
		buf := make([]byte, n+2)
		if _, err := io.ReadFull(c.in, buf); err != nil {
			return "", "", err
		}
		if i == 0 {
			value = string(buf[:n])
		}
	}
	return value, "served", nil
}

func (g *Gate) take(addr string) *nodeConn {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := g.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	g.idle[addr] = list[:len(list)-1]
	return c
}

func (g *Gate) put(addr string, c *nodeConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ctx.Err() != nil || len(g.idle[addr]) >= mostIdle {
		c.Close()
		return
	}
	g.idle[addr] = append(g.idle[addr], c)
}

// ServeHTTP takes a client's plain request: /CHANNEL/CLASS?plan=...&id=...&key=...&units=..., answered with the node's value,
// 429 or 503.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	channel, class, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	q := r.URL.Query()
	units, err := strconv.ParseFloat(q.Get("units"), 64)
	if err != nil {
		units = 1
	}
	n, err := strconv.ParseUint(channel, 16, 64)
	id := q.Get("id")
	if id == "" {
		id = fmt.Sprintf("%016x", time.Since(g.start).Nanoseconds())
	}
	if err != nil || class == "" || len(id) != 16 {
		http.Error(w, "want /CHANNEL/CLASS?plan=PLAN, the channel in hex, and an id of 16 characters if any", http.StatusBadRequest)
		return
	}
	res := g.Do(r.Context(), Request{ID: id, Channel: fmt.Sprintf("%016x", n), Class: class, Plan: q.Get("plan"), Key: q.Get("key"), Units: units, Spread: 1, Wait: 5 * time.Second})
	switch res.Kind {
	case "served":
		fmt.Fprintln(w, res.Value)
	case "refused":
		w.Header().Set("Retry-After", strconv.Itoa(int(res.After.Seconds())+1))
		http.Error(w, "refused", http.StatusTooManyRequests)
	default:
		http.Error(w, "failed", http.StatusServiceUnavailable)
	}
}
