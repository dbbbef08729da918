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
	retriesAtMost = 2
	shiftEvery    = 5 * time.Second // of the ways by which a channel comes
	poolSize      = 100             // idle connections kept to an ingress
	answerSlack   = 100 * ms        // that a client waits beyond its time at the least, to see what comes late
)

// channel is one customer.
type channel struct {
	id            uint64
	plan          *plan
	demand        float64       // times its quota
	on, off       time.Duration // of its bursts; 0: it asks for as much all the time
	spread, first int
}

// between is what a channel asks for between its bursts, times its quota.
const between = 0.05

// mean is what it asks for over a long time.
func (c *channel) mean() float64 {
	if c.on == 0 {
		return c.demand
	}
	on, off := c.on.Seconds(), c.off.Seconds()
	return (c.demand*on + between*off) / (on + off)
}

// asks is the share of its demand that it has at a time; a burst comes after the first pause.
func (c *channel) asks(at time.Duration) float64 {
	if c.on == 0 || at%(c.on+c.off) >= c.off {
		return 1
	}
	return between / c.demand
}

// arrival is a first try as it was drawn before the run: nothing that happens in the run changes when it is due.
type arrival struct {
	due   time.Duration // from the load's beginning
	ch    *channel
	class *class
	at    int // instance
	http  bool
	seed  uint64
}

// load is the clients of a run.
type load struct {
	w        *Testbed
	channels []*channel
	arrivals []arrival
	pools    []*pool
	open     chan struct{}
	wg       sync.WaitGroup
	lastID   atomic.Uint64
	dropped  atomic.Int64 // tries that found no room here, which no ingress saw
	tries    atomic.Int64
	began    time.Duration

	mu    sync.Mutex
	tried []tried
}

// tried is a try with what the report needs beyond the audit.
type tried struct {
	rulecheck.ClientRequest
	due   time.Duration // of the first try
	wish  int
	ch    *channel
	class *class
	retry int
	http  bool
	key   string // of a keyed class
	value string // that it was served
}

// newLoad draws the channels, sets the plans' figures so that what is asked inside quotas is the day's share of what the
// fleet can do, and draws all first tries.
func newLoad(w *Testbed) *load {
	l := &load{w: w, open: make(chan struct{}, mostOpen)}
	l.lastID.Store(w.cfg.Seed<<40 | 1)
	id := uint64(1000)
	hot := map[string][]scenario.HotTenants{}
	for _, h := range w.day.HotTenants {
		for range h.Tenants {
			hot[h.Plan] = append(hot[h.Plan], h)
		}
	}
	n := w.day.Ingresses
	inside := 0.0 // units a second
	for _, p := range w.plans {
		for i := range p.channels {
			id++
			c := &channel{id: id, plan: p, spread: min(n, 2+w.rng.IntN(2)), first: w.rng.IntN(n)}
			switch x := w.rng.Float64(); {
			case x < 0.10:
				c.demand = 2 + 2.5*w.rng.Float64()
			case x < 0.28:
				c.demand = 0.95
			default:
				c.demand = 0.2 + 0.4*w.rng.Float64()
			}
			if i < len(hot[p.name]) {
				h := hot[p.name][i]
				c.demand, c.spread, c.on, c.off = h.QuotaFactor, n, time.Duration(h.On), time.Duration(h.Off)
			}
			inside += p.quota().Rate * min(1, c.mean())
			l.channels = append(l.channels, c)
		}
	}
	units, work := mean(w.classes)
	k := w.day.Load * w.cfg.Rate * w.capacity / (inside / units * work.Seconds())
	for _, p := range w.plans {
		p.rate *= k
	}
	for i, ch := range l.channels {
		l.draw(ch, ch.plan.rate*ch.demand/units, rand.New(rand.NewPCG(w.cfg.Seed, uint64(i)+100)))
	}
	slices.SortStableFunc(l.arrivals, func(a, b arrival) int { return cmp.Compare(a.due, b.due) })
	return l
}

// draw draws one channel's first tries.
func (l *load) draw(ch *channel, rate float64, rng *rand.Rand) {
	weights := make([]float64, ch.spread)
	shift := time.Duration(-1)
	for due := time.Duration(0); ; {
		due += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if due >= time.Duration(l.w.day.Length) {
			return
		}
		if p := ch.asks(due); p < 1 && rng.Float64() >= p { // thinned: the draw stays the same process
			continue
		}
		if shift < 0 || l.w.day.UnevenRouting && ch.on == 0 && due-shift > shiftEvery {
			shift = due
			for i := range weights {
				if weights[i] = 1; l.w.day.UnevenRouting && ch.on == 0 {
					weights[i] = 0.1 + rng.Float64()*rng.Float64()
				}
			}
		}
		c := &l.w.classes[0]
		x := rng.Float64()
		for i := range l.w.classes {
			if x < l.w.classes[i].share {
				c = &l.w.classes[i]
				break
			}
			x -= l.w.classes[i].share
		}
		l.arrivals = append(l.arrivals, arrival{due, ch, c, way(ch, weights, l.w.day.Ingresses, rng), l.w.cfg.HTTP > 0 && rng.Float64() < l.w.cfg.HTTP, rng.Uint64()})
	}
}

// way draws the instance that a try goes to.
func way(ch *channel, weights []float64, instances int, rng *rand.Rand) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := rng.Float64() * sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return (ch.first + i) % instances
		}
	}
	return ch.first
}

// begin sets the time from which the load, the timeline and all figures count. It comes before anything that reads it.
func (l *load) begin() { l.began = l.w.clock() }

// run plays the load until each try has ended.
func (l *load) run(ctx context.Context) {
	for _, g := range l.w.ingresses {
		l.pools = append(l.pools, &pool{addr: g.addr})
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i, a := range l.arrivals {
		timer.Reset(l.began + a.due - l.w.clock())
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		if ctx.Err() != nil {
			break
		}
		select {
		case l.open <- struct{}{}:
		default:
			l.dropped.Add(1)
			continue
		}
		l.wg.Go(func() {
			defer func() { <-l.open }()
			l.request(ctx, i, a)
		})
	}
	l.wg.Wait()
	for _, p := range l.pools {
		p.close()
	}
}

// request is one client's wish: a try, and up to two more where it was not served.
func (l *load) request(ctx context.Context, wish int, a arrival) {
	rng := rand.New(rand.NewPCG(a.seed, 1))
	at := a.at
	key := "" // each try has its own
	if l.w.cfg.SameKey {
		key = fmt.Sprintf("%016x", a.seed)
	}
	for retry := 0; ; retry++ {
		if l.tries.Add(1) > mostTries {
			l.dropped.Add(1)
			return
		}
		for i := 0; i < a.ch.spread && l.w.ingresses[at].left(l.w.clock()); i++ { // the front deals round a dead one
			n := len(l.pools)
			place := (at - a.ch.first + n) % n // within the channel's set
			at = (a.ch.first + (place+1)%a.ch.spread) % n
		}
		try := l.try
		if a.http {
			try = l.tryHTTP
		}
		t, after := try(a.ch, a.class, at, retry, key, rng)
		t.http = a.http
		t.due, t.wish = l.began+a.due, wish
		l.mu.Lock()
		l.tried = append(l.tried, t)
		l.mu.Unlock()
		if len(t.Answers) > 0 && t.Answers[0].Kind == "served" || retry == retriesAtMost || ctx.Err() != nil {
			return
		}
		if after == 0 || rng.Float64() > 0.6 { // many do not heed it
			after = 20*ms + time.Duration(rng.Int64N(int64(140*ms)))
		}
		time.Sleep(after)
		if l.w.clock() > l.began+time.Duration(l.w.day.Length) {
			return
		}
		at = (a.ch.first + rng.IntN(a.ch.spread)) % len(l.pools)
	}
}

// try sends one try and waits for its answer.
func (l *load) try(ch *channel, c *class, at, retry int, key string, rng *rand.Rand) (t tried, after time.Duration) {
	g := l.w.ingresses[at]
	id := l.lastID.Add(1)
	wait := time.Duration(float64(c.deadline) * (0.5 + 0.5*rng.Float64()))
	t = tried{ClientRequest: rulecheck.ClientRequest{ID: fmt.Sprintf("%016x", id), Instance: g.Name, Class: c.name, Timeout: wait}, ch: ch, class: c, retry: retry}
	fields := fmt.Sprintf("c=%s,t=%s,d=%d,units=%g,spread=%d,first=%d", c.name, ch.plan.name, wait.Milliseconds(), c.units, ch.spread, ch.first)
	name := "Q.DO"
	switch c.effect {
	case "read_like":
		name = "Q.ASK"
	case "idempotency_key":
		t.key = cmp.Or(key, fmt.Sprintf("%016x", id))
		fields += ",k=" + t.key
	}
	command := respclient.EncodeCommand(name, fmt.Sprintf("%016x", ch.id), t.ID, fields)
	for fresh := false; ; fresh = true {
		nc, err := l.pools[at].get(fresh)
		if err != nil {
			t.SentAt = l.w.clock()
			t.Excused = true // it was never taken
			return t, 0
		}
		t.SentAt = l.w.clock()
		ans, err := nc.ask(command, wait+max(answerSlack, l.w.rules().Tolerance)) // what nobody waits for can't be judged late
		if err == nil {
			t.Answers = append(t.Answers, rulecheck.Answer{At: l.w.clock(), Kind: ans.Kind})
			if ans.Kind == respclient.Served {
				t.value = ans.Value
			}
			if at := t.Answers[0].At; at-t.SentAt > wait { // one that was stopped answers when it wakes
				t.Excused = g.wasDown(t.SentAt, at)
			}
			// The first attempt of the same key may have made the value.
			ofSameKey := key != "" && t.key == key && strings.HasPrefix(ans.Value, "value of ")
			t.ForeignAnswer = ans.Kind == respclient.Served && ans.Value != "value of "+t.ID && !ofSameKey
			if nc.more() {
				t.Answers = append(t.Answers, rulecheck.Answer{At: l.w.clock(), Kind: "failed"})
				nc.Close()
			} else {
				l.pools[at].put(nc)
			}
			return t, ans.RetryAfter
		}
		nc.Close()
		if !fresh && nc.used && errors.Is(err, respclient.ErrClosed) { // it was closed between requests: the protocol has us send again
			continue
		}
		at := l.w.clock()
		if slices.Contains(l.w.cfg.Mortal, g.n) {
			time.Sleep(noticing) // its end may not be known yet
		}
		t.Excused = g.wasDown(t.SentAt, at)
		return t, 0
	}
}

// tryHTTP sends one try through the instance's gate.
func (l *load) tryHTTP(ch *channel, c *class, at, retry int, _ string, rng *rand.Rand) (t tried, after time.Duration) {
	g := l.w.ingresses[at]
	id := fmt.Sprintf("%016x", l.lastID.Add(1))
	wait := time.Duration(float64(c.deadline) * (0.5 + 0.5*rng.Float64()))
	t = tried{ClientRequest: rulecheck.ClientRequest{ID: id, Instance: g.Name, Class: c.name, Timeout: wait, SentAt: l.w.clock()}, ch: ch, class: c, retry: retry}
	wish := gate.Request{ID: id, Channel: fmt.Sprintf("%016x", ch.id), Class: c.name, Plan: ch.plan.name, Units: c.units, Spread: ch.spread, First: ch.first, Wait: wait}
	if c.effect == "idempotency_key" {
		wish.Key = id
	}
	res := l.w.gates[at].Do(context.Background(), wish)
	t.Answers = append(t.Answers, rulecheck.Answer{At: l.w.clock(), Kind: res.Kind})
	t.ForeignAnswer = res.Kind == "served" && res.Value != "value of "+id
	t.Excused = res.Kind != "served" && g.wasDown(t.SentAt, l.w.clock())
	return t, res.After
}

func (l *load) asked() []rulecheck.ClientRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]rulecheck.ClientRequest, len(l.tried))
	for i, t := range l.tried {
		out[i] = t.ClientRequest
	}
	return out
}

// pool is the connections to one ingress, each for one request at a time.
type pool struct {
	addr string
	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	in   *bufio.Reader
	used bool
}

func (p *pool) get(fresh bool) (*clientConn, error) {
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
	return &clientConn{Conn: nc, in: bufio.NewReaderSize(nc, 512)}, nil
}

func (p *pool) put(c *clientConn) {
	c.used = true
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= poolSize {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

// ask writes a command and reads its answer.
func (c *clientConn) ask(command string, wait time.Duration) (respclient.Answer, error) {
	c.SetDeadline(time.Now().Add(wait))
	if _, err := io.WriteString(c, command); err != nil {
		return respclient.Answer{}, respclient.ErrClosed
	}
	return respclient.ReadAnswer(c.in)
}

// more says whether something came that nobody asked for.
func (c *clientConn) more() bool { return c.in.Buffered() > 0 }
