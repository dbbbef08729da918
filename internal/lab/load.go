package lab

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hitchspring/internal/audit"
)

const (
	retriesAtMost = 2
	shiftEvery    = 5 * time.Second // of the ways by which a channel comes
	poolSize      = 100             // idle connections kept to an ingress
	answerSlack   = 60 * ms         // that a client waits beyond its time, to see what comes late
)

// channel is one customer.
type channel struct {
	id            uint64
	plan          *plan
	demand        float64 // times its quota
	spread, first int
}

// load is the clients of a run.
type load struct {
	w        *World
	channels []*channel
	pools    []*pool
	open     chan struct{}
	wg       sync.WaitGroup
	lastID   atomic.Uint64
	dropped  atomic.Int64 // tries that found no room here, which no ingress saw
	tries    atomic.Int64

	mu    sync.Mutex
	tried []tried
}

// tried is a try with what the report needs beyond the audit.
type tried struct {
	audit.Asked
	ch    *channel
	class *class
	retry int
}

func newLoad(w *World) *load {
	l := &load{w: w, open: make(chan struct{}, mostOpen)}
	l.lastID.Store(w.cfg.Seed<<40 | 1)
	for _, g := range w.ingresses {
		l.pools = append(l.pools, &pool{addr: g.addr})
	}
	hot := w.cfg.Hot
	id := uint64(1000)
	for i := range plans {
		p := &plans[i]
		for range p.channels {
			id++
			c := &channel{id: id, plan: p, spread: min(len(w.ingresses), 2+w.rng.IntN(2)), first: w.rng.IntN(len(w.ingresses))}
			switch x := w.rng.Float64(); {
			case x < 0.10:
				c.demand = 2 + 2.5*w.rng.Float64()
			case x < 0.28:
				c.demand = 0.95
			default:
				c.demand = 0.2 + 0.4*w.rng.Float64()
			}
			if p.name == "storby" && hot > 0 {
				c.demand, c.spread, hot = hot, len(w.ingresses), 0
			}
			l.channels = append(l.channels, c)
		}
	}
	return l
}

// run plays the load until the time is up and every try has ended.
func (l *load) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.w.cfg.For)
	defer cancel()
	meanUnits := 0.0
	for _, c := range classes {
		meanUnits += c.share * c.units
	}
	for i, ch := range l.channels {
		rng := rand.New(rand.NewPCG(l.w.cfg.Seed, uint64(i)+100))
		rate := ch.plan.rate * ch.demand / meanUnits * l.w.cfg.Rate
		l.wg.Go(func() { l.channel(ctx, ch, rate, rng) })
	}
	l.wg.Wait()
	for _, p := range l.pools {
		p.close()
	}
}

// channel sends the first tries of one customer, at random times.
func (l *load) channel(ctx context.Context, ch *channel, rate float64, rng *rand.Rand) {
	var weights []float64
	var shift time.Time
	for {
		t := time.NewTimer(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		if time.Since(shift) > shiftEvery {
			shift, weights = time.Now(), make([]float64, ch.spread)
			for i := range weights {
				weights[i] = 0.1 + rng.Float64()*rng.Float64()
			}
		}
		c := &classes[0]
		x := rng.Float64()
		for i := range classes {
			if x < classes[i].share {
				c = &classes[i]
				break
			}
			x -= classes[i].share
		}
		seed := rng.Uint64()
		at := l.way(ch, weights, rng)
		select {
		case l.open <- struct{}{}:
		default:
			l.dropped.Add(1)
			continue
		}
		l.wg.Go(func() {
			defer func() { <-l.open }()
			l.request(ch, c, at, rand.New(rand.NewPCG(seed, 1)))
		})
	}
}

// way draws the ingress that a try goes to.
func (l *load) way(ch *channel, weights []float64, rng *rand.Rand) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := rng.Float64() * sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return (ch.first + i) % len(l.pools)
		}
	}
	return ch.first
}

// request is one client's wish: a try, and up to two more where it was not served.
func (l *load) request(ch *channel, c *class, at int, rng *rand.Rand) {
	for retry := 0; ; retry++ {
		if l.tries.Add(1) > mostTries {
			l.dropped.Add(1)
			return
		}
		t, after := l.try(ch, c, at, retry, rng)
		l.mu.Lock()
		l.tried = append(l.tried, t)
		l.mu.Unlock()
		if len(t.Answers) > 0 && t.Answers[0].Kind == "served" || retry == retriesAtMost || l.w.clock() > l.w.cfg.For {
			return
		}
		if after == 0 || rng.Float64() > 0.6 { // many do not heed it
			after = 20*ms + time.Duration(rng.Int64N(int64(140*ms)))
		}
		time.Sleep(after)
		at = (ch.first + rng.IntN(ch.spread)) % len(l.pools)
	}
}

// try sends one try and waits for its answer.
func (l *load) try(ch *channel, c *class, at, retry int, rng *rand.Rand) (t tried, after time.Duration) {
	g := l.w.ingresses[at]
	id := l.lastID.Add(1)
	wait := time.Duration(float64(c.deadline) * (0.5 + 0.5*rng.Float64()))
	t = tried{Asked: audit.Asked{ID: fmt.Sprintf("%016x", id), Instance: g.name, Class: c.name, GiveUp: wait}, ch: ch, class: c, retry: retry}
	fields := fmt.Sprintf("c=%s,t=%s,d=%d,units=%g,spread=%d,first=%d", c.name, ch.plan.name, wait.Milliseconds(), c.units, ch.spread, ch.first)
	name := "Q.ASK"
	if c.keyed {
		name = "Q.DO"
		fields += fmt.Sprintf(",k=%016x", id)
	}
	command := encode(name, fmt.Sprintf("%016x", ch.id), t.ID, fields)
	for fresh := false; ; fresh = true {
		nc, err := l.pools[at].get(fresh)
		if err != nil {
			t.Sent = l.w.clock()
			t.Excused = true // it was never taken
			return t, 0
		}
		t.Sent = l.w.clock()
		ans, err := nc.ask(command, wait+answerSlack)
		if err == nil {
			t.Answers = append(t.Answers, audit.Answer{At: l.w.clock(), Kind: ans.kind})
			t.Spoilt = ans.kind == "served" && ans.value != "value of "+t.ID
			if nc.more() {
				t.Answers = append(t.Answers, audit.Answer{At: l.w.clock(), Kind: "failed"})
				nc.Close()
			} else {
				l.pools[at].put(nc)
			}
			return t, ans.after
		}
		nc.Close()
		if !fresh && nc.used && errors.Is(err, errEnded) { // it was closed between requests: the protocol has us send again
			continue
		}
		t.Excused = g.wasDown(t.Sent, l.w.clock())
		return t, 0
	}
}

func (l *load) asked() []audit.Asked {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]audit.Asked, len(l.tried))
	for i, t := range l.tried {
		out[i] = t.Asked
	}
	return out
}

func encode(args ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, a := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(a), a)
	}
	return b.String()
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

type answer struct {
	kind, value string
	after       time.Duration
}

// errEnded is a connection that ended before a byte of the answer.
var errEnded = errors.New("the connection has ended")

// ask writes a command and reads its answer.
func (c *clientConn) ask(command string, wait time.Duration) (answer, error) {
	c.SetDeadline(time.Now().Add(wait))
	if _, err := io.WriteString(c, command); err != nil {
		return answer{}, errEnded
	}
	line, err := c.in.ReadString('\n')
	if err != nil {
		var ne net.Error
		if line == "" && !(errors.As(err, &ne) && ne.Timeout()) {
			return answer{}, errEnded
		}
		return answer{}, err
	}
	line = strings.TrimRight(line, "\r\n")
	switch {
	case strings.HasPrefix(line, "$") && line != "$-1":
		n, err := strconv.Atoi(line[1:])
		if err != nil || n > 1<<16 {
			return answer{}, fmt.Errorf("an answer of length %q", line[1:])
		}
		b := make([]byte, n+2)
		if _, err := io.ReadFull(c.in, b); err != nil {
			return answer{}, err
		}
		return answer{kind: "served", value: string(b[:n])}, nil
	case strings.HasPrefix(line, "-BUSY"):
		after, _ := strconv.Atoi(strings.TrimSpace(line[5:]))
		return answer{kind: "refused", after: time.Duration(after) * ms}, nil
	}
	return answer{kind: "failed"}, nil
}

// more says whether something came that nobody asked for.
func (c *clientConn) more() bool { return c.in.Buffered() > 0 }
