package lab

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hitchspring/internal/lab/respclient"
	"hitchspring/internal/lab/scenario"
	"hitchspring/internal/rulecheck"
	"hitchspring/internal/standin/gate"
)

const (
	maxRetries           = 2
	routingShiftInterval = 5 * time.Second // how often the routing weights of a tenant change
	maxIdleConnections   = 100             // per instance
	lateAnswerWait       = 100 * ms        // minimum time that a client waits beyond its timeout, to record late answers
)

// tenant is a tenant whose clients send requests.
type tenant struct {
	id                    uint64
	plan                  *plan
	demand                float64       // relative to its quota
	burstTime, pauseTime  time.Duration // length of its bursts and of the pauses between them; 0: constant demand
	spread, firstInstance int           // number of instances that it uses, and the first of them
}

// pauseDemand is the demand of a tenant between its bursts, relative to its quota.
const pauseDemand = 0.05

// mean returns the long-term mean of the demand, relative to the quota.
func (c *tenant) mean() float64 {
	if c.burstTime == 0 {
		return c.demand
	}
	burstTime, pauseTime := c.burstTime.Seconds(), c.pauseTime.Seconds()
	return (c.demand*burstTime + pauseDemand*pauseTime) / (burstTime + pauseTime)
}

// demandShare returns the demand at a time as a fraction of the demand in a burst. The first burst follows the first
// pause.
func (c *tenant) demandShare(at time.Duration) float64 {
	if c.burstTime == 0 || at%(c.burstTime+c.pauseTime) >= c.pauseTime {
		return 1
	}
	return pauseDemand / c.demand
}

// arrival is the first attempt of a request. All arrivals are drawn before the run, so that nothing in the run changes
// when they are due.
type arrival struct {
	due    time.Duration // from the start of the load
	sender *tenant
	class  *class
	target int // index of the instance
	http   bool
	seed   uint64
}

// load sends the requests of all clients of a run.
type load struct {
	tb           *Testbed
	tenants      []*tenant
	arrivals     []arrival
	pools        []*connPool
	inFlight     chan struct{}
	wg           sync.WaitGroup
	lastID       atomic.Uint64
	dropped      atomic.Int64 // attempts not sent because a limit of the testbed was reached
	attemptCount atomic.Int64
	startedAt    time.Duration

	mu   sync.Mutex
	sent []sent
}

// sent is an attempt that a client has sent, with the data that the report needs besides that of the rule checker.
type sent struct {
	rulecheck.ClientRequest
	due          time.Duration // time at which the first attempt was due
	requestIndex int
	sender       *tenant
	class        *class
	retry        int
	http         bool
	key          string // idempotency key, if the class is keyed
	value        string // value of the answer, if it was served
}

// newLoad draws the tenants, scales the quotas of the plans so that the demand within quotas is the scenario's fraction
// of the fleet's capacity, and draws all arrivals.
func newLoad(tb *Testbed) *load {
	l := &load{tb: tb, inFlight: make(chan struct{}, maxInFlight)}
	l.lastID.Store(tb.cfg.Seed<<40 | 1)
	id := uint64(1000)
	hot := map[string][]scenario.HotTenants{}
	for _, h := range tb.scenarioConfig.HotTenants {
		for range h.Tenants {
			hot[h.Plan] = append(hot[h.Plan], h)
		}
	}
	n := tb.scenarioConfig.Ingresses
	inside := 0.0 // units per second
	for _, p := range tb.plans {
		for i := range p.tenants {
			id++
			c := &tenant{id: id, plan: p, spread: min(n, 2+tb.rng.IntN(2)), firstInstance: tb.rng.IntN(n)}
			switch x := tb.rng.Float64(); {
			case x < 0.10:
				c.demand = 2 + 2.5*tb.rng.Float64()
			case x < 0.28:
				c.demand = 0.95
			default:
				c.demand = 0.2 + 0.4*tb.rng.Float64()
			}
			if i < len(hot[p.name]) {
				h := hot[p.name][i]
				c.demand, c.spread, c.burstTime, c.pauseTime = h.QuotaFactor, n, time.Duration(h.On), time.Duration(h.Off)
			}
			inside += p.quota().Rate * min(1, c.mean())
			l.tenants = append(l.tenants, c)
		}
	}
	units, work := mean(tb.classes)
	rateScale := tb.scenarioConfig.Load * tb.cfg.Rate * tb.capacity / (inside / units * work.Seconds())
	for _, p := range tb.plans {
		p.refillRate *= rateScale
	}
	for i, sender := range l.tenants {
		l.drawArrivals(sender, sender.plan.refillRate*sender.demand/units, rand.New(rand.NewPCG(tb.cfg.Seed, uint64(i)+100)))
	}
	slices.SortStableFunc(l.arrivals, func(a, b arrival) int { return cmp.Compare(a.due, b.due) })
	return l
}

// drawArrivals draws the arrivals of one tenant as a Poisson process.
func (l *load) drawArrivals(sender *tenant, rate float64, rng *rand.Rand) {
	weights := make([]float64, sender.spread)
	shift := time.Duration(-1)
	for due := time.Duration(0); ; {
		due += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if due >= time.Duration(l.tb.scenarioConfig.Length) {
			return
		}
		if p := sender.demandShare(due); p < 1 && rng.Float64() >= p { // thinning keeps the arrivals a Poisson process
			continue
		}
		if shift < 0 || l.tb.scenarioConfig.UnevenRouting && sender.burstTime == 0 && due-shift > routingShiftInterval {
			shift = due
			for i := range weights {
				if weights[i] = 1; l.tb.scenarioConfig.UnevenRouting && sender.burstTime == 0 {
					weights[i] = 0.1 + rng.Float64()*rng.Float64()
				}
			}
		}
		c := &l.tb.classes[0]
		x := rng.Float64()
		for i := range l.tb.classes {
			if x < l.tb.classes[i].share {
				c = &l.tb.classes[i]
				break
			}
			x -= l.tb.classes[i].share
		}
		l.arrivals = append(l.arrivals, arrival{due, sender, c, drawInstance(sender, weights, l.tb.scenarioConfig.Ingresses, rng), l.tb.cfg.HTTPShare > 0 && rng.Float64() < l.tb.cfg.HTTPShare, rng.Uint64()})
	}
}

// drawInstance draws the instance that receives an attempt.
func drawInstance(sender *tenant, weights []float64, instances int, rng *rand.Rand) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := rng.Float64() * sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return (sender.firstInstance + i) % instances
		}
	}
	return sender.firstInstance
}

// start sets the time that the load, the timeline and the metrics count from. It must be called before any of them
// starts.
func (l *load) start() { l.startedAt = l.tb.clock() }

// run sends all requests at their times, and returns when each attempt has ended.
func (l *load) run(ctx context.Context) {
	for _, inst := range l.tb.instances {
		l.pools = append(l.pools, &connPool{addr: inst.addr})
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i, arrival := range l.arrivals {
		timer.Reset(l.startedAt + arrival.due - l.tb.clock())
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		if ctx.Err() != nil {
			break
		}
		select {
		case l.inFlight <- struct{}{}:
		default:
			l.dropped.Add(1)
			continue
		}
		l.wg.Go(func() {
			defer func() { <-l.inFlight }()
			l.request(ctx, i, arrival)
		})
	}
	l.wg.Wait()
	for _, p := range l.pools {
		p.close()
	}
}

// request sends the attempts of one request: the first, and up to maxRetries retries until one is served.
func (l *load) request(ctx context.Context, requestIndex int, a arrival) {
	rng := rand.New(rand.NewPCG(a.seed, 1))
	target := a.target
	key := "" // each attempt gets its own key
	if l.tb.cfg.ReuseKey {
		key = fmt.Sprintf("%016x", a.seed)
	}
	for retry := 0; ; retry++ {
		if l.attemptCount.Add(1) > maxAttempts {
			l.dropped.Add(1)
			return
		}
		// The front end routes around a dead instance.
		for i := 0; i < a.sender.spread && l.tb.instances[target].routedAround(l.tb.clock()); i++ {
			n := len(l.pools)
			slot := (target - a.sender.firstInstance + n) % n // position within the tenant's set of instances
			target = (a.sender.firstInstance + (slot+1)%a.sender.spread) % n
		}
		sendAttempt := l.sendAttempt
		if a.http {
			sendAttempt = l.sendHTTPAttempt
		}
		t, after := sendAttempt(a.sender, a.class, target, retry, key, rng)
		t.http = a.http
		t.due, t.requestIndex = l.startedAt+a.due, requestIndex
		l.mu.Lock()
		l.sent = append(l.sent, t)
		l.mu.Unlock()
		if len(t.Answers) > 0 && t.Answers[0].Kind == "served" || retry == maxRetries || ctx.Err() != nil {
			return
		}
		if after == 0 || rng.Float64() > 0.6 { // some clients ignore Retry-After
			after = 20*ms + time.Duration(rng.Int64N(int64(140*ms)))
		}
		time.Sleep(after)
		if l.tb.clock() > l.startedAt+time.Duration(l.tb.scenarioConfig.Length) {
			return
		}
		target = (a.sender.firstInstance + rng.IntN(a.sender.spread)) % len(l.pools)
	}
}

// sendAttempt sends one attempt over RESP2 and waits for its answer.
func (l *load) sendAttempt(sender *tenant, c *class, at, retry int, key string, rng *rand.Rand) (t sent, after time.Duration) {
	inst := l.tb.instances[at]
	id := l.lastID.Add(1)
	wait := time.Duration(float64(c.deadline) * (0.5 + 0.5*rng.Float64()))
	t = sent{ClientRequest: rulecheck.ClientRequest{ID: fmt.Sprintf("%016x", id), Instance: inst.Name, Class: c.name, Timeout: wait}, sender: sender, class: c, retry: retry}
	fields := fmt.Sprintf("c=%s,t=%s,d=%d,units=%g,spread=%d,first=%d", c.name, sender.plan.name, wait.Milliseconds(), c.units, sender.spread, sender.firstInstance)
	name := "Q.DO"
	switch c.effect {
	case "read_like":
		name = "Q.ASK"
	case "idempotency_key":
		t.key = cmp.Or(key, fmt.Sprintf("%016x", id))
		fields += ",k=" + t.key
	}
	command := respclient.EncodeCommand(name, fmt.Sprintf("%016x", sender.id), t.ID, fields)
	for fresh := false; ; fresh = true {
		conn, err := l.pools[at].get(fresh)
		if err != nil {
			t.SentAt = l.tb.clock()
			t.Excused = true // the instance never received it
			return t, 0
		}
		t.SentAt = l.tb.clock()
		// A late answer can only be detected while the client waits for it.
		answer, err := conn.roundTrip(command, wait+max(lateAnswerWait, l.tb.rules().Tolerance))
		if err == nil {
			t.Answers = append(t.Answers, rulecheck.Answer{At: l.tb.clock(), Kind: answer.Kind})
			if answer.Kind == respclient.Served {
				t.value = answer.Value
			}
			if at := t.Answers[0].At; at-t.SentAt > wait { // a process that was stopped answers late, once it continues
				t.Excused = inst.wasDown(t.SentAt, at)
			}
			// The value may stem from an earlier attempt with the same key.
			ofSameKey := key != "" && t.key == key && strings.HasPrefix(answer.Value, "value of ")
			t.ForeignAnswer = answer.Kind == respclient.Served && answer.Value != "value of "+t.ID && !ofSameKey
			if conn.hasUnsolicited() {
				t.Answers = append(t.Answers, rulecheck.Answer{At: l.tb.clock(), Kind: "failed"})
				conn.Close()
			} else {
				l.pools[at].put(conn)
			}
			return t, answer.RetryAfter
		}
		conn.Close()
		// A connection that was closed between requests: the protocol requires a resend.
		if !fresh && conn.reused && errors.Is(err, respclient.ErrClosed) {
			continue
		}
		at := l.tb.clock()
		if slices.Contains(l.tb.cfg.MayExit, inst.index) {
			time.Sleep(exitDetectionDelay) // its exit may not have been detected yet
		}
		t.Excused = inst.wasDown(t.SentAt, at)
		return t, 0
	}
}

// sendHTTPAttempt sends one attempt through the instance's gate.
func (l *load) sendHTTPAttempt(sender *tenant, c *class, target, retry int, _ string, rng *rand.Rand) (t sent, after time.Duration) {
	inst := l.tb.instances[target]
	id := fmt.Sprintf("%016x", l.lastID.Add(1))
	wait := time.Duration(float64(c.deadline) * (0.5 + 0.5*rng.Float64()))
	t = sent{ClientRequest: rulecheck.ClientRequest{ID: id, Instance: inst.Name, Class: c.name, Timeout: wait, SentAt: l.tb.clock()}, sender: sender, class: c, retry: retry}
	gateRequest := gate.Request{ID: id, Channel: fmt.Sprintf("%016x", sender.id), Class: c.name, Plan: sender.plan.name, Units: c.units, Spread: sender.spread, First: sender.firstInstance, Wait: wait}
	if c.effect == "idempotency_key" {
		gateRequest.Key = id
	}
	res := l.tb.gates[target].Do(context.Background(), gateRequest)
	t.Answers = append(t.Answers, rulecheck.Answer{At: l.tb.clock(), Kind: res.Kind})
	t.ForeignAnswer = res.Kind == "served" && res.Value != "value of "+id
	t.Excused = res.Kind != "served" && inst.wasDown(t.SentAt, l.tb.clock())
	return t, res.RetryAfter
}

func (l *load) clientRequests() []rulecheck.ClientRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]rulecheck.ClientRequest, len(l.sent))
	for i, t := range l.sent {
		out[i] = t.ClientRequest
	}
	return out
}

// connPool holds the idle connections to one instance. A connection carries one request at a time.
type connPool struct {
	addr string
	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
	reused bool
}

func (p *connPool) get(fresh bool) (*clientConn, error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 && !fresh {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return c, nil
	}
	p.mu.Unlock()
	nc, err := net.DialTimeout("tcp", p.addr, 500*ms)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: nc, reader: bufio.NewReaderSize(nc, 512)}, nil
}

func (p *connPool) put(c *clientConn) {
	c.reused = true
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= maxIdleConnections {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

// roundTrip sends a command and reads its answer.
func (c *clientConn) roundTrip(command string, wait time.Duration) (respclient.Answer, error) {
	c.SetDeadline(time.Now().Add(wait))
	if _, err := io.WriteString(c, command); err != nil {
		return respclient.Answer{}, respclient.ErrClosed
	}
	return respclient.ReadAnswer(c.reader)
}

// hasUnsolicited reports whether unsolicited data follows the answer.
func (c *clientConn) hasUnsolicited() bool { return c.reader.Buffered() > 0 }
