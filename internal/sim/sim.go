// Package sim plays a fleet of gateways in virtual time from a seed: the real decision module, nodes as queues, a counter and a
// list that can be late or silent. In: a Fleet with its faults; out: a Report of what nodes and clients saw. It knows the module
// by its events and actions alone, never a socket or a real clock, so that 3 and 80 gateways can be compared at one load.
package sim

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"hitchspring/policy"
)

// Fleet is what is played. Times are from the start of the run.
type Fleet struct {
	Seed     uint64
	Gateways int
	Nodes    int // spread over three halls; a third of them have three slow cores, the others two
	Rate     float64
	Channels int
	Length   time.Duration // of arrivals; the run goes on until all is answered
	Calls    float64       // calls a second that the counter takes; 0: any number
	Busy     float64       // share of the calls that it turns away
	ListLate time.Duration // from a change to the gateways' hearing of it
	Faults   []Fault
	// Shares has channels ask by their quotas, as on a quiet day: seven in ten for a third of the rate, some for all of it, 15% for three
	// times as much. Rate counts for nothing then.
	Shares bool
	Work   float64 // times the usual work of a request; 0: once
	// toldGateways is how many gateways each is told that there are; 0: the truth. It plants a defect for tests of the books.
	toldGateways int
}

// Fault is something that happens at a time; the constructors below make them.
type Fault struct {
	at time.Duration
	do func(*world)
}

// Report is what nodes and clients saw.
type Report struct {
	Asked, Served float64 // worth asked for, inside quotas and beyond, and answered within the aim
	Requests      int
	Answers       int // final answers of gateways that lived on; with Lost they make up Requests
	Lost          int // requests of gateways that were killed
	Twice         int // requests with more than one final answer
	Late          int // final answers after the client's time
	Fallen        []policy.BackendID
	Drained       int     // sends to a node more than the grace after its gateway was told
	Over          float64 // the most that a channel with a ceiling went over it, units
	Inside        float64 // worth that one gateway would have let in that saw all first tries
	Beyond        float64 // what tries cost that were sent on beyond the rate or the cap of their channel's quota, of all gateways together
	Cold          []ColdStart
}

const (
	way      = 300 * time.Microsecond // one way, between any two
	grace    = 2 * time.Second
	warmTime = 18 * time.Second
	coldFrom = 0.25
	fallOver = 4.0 // times what it can do, for a second
	queueCap = 40  // requests that wait at a node
	dialTime = 250 * time.Millisecond
	callTime = 80 * time.Millisecond
	ceilRate = 30.0
	ceilMost = 60.0
)

// node is a queue with cores; a cold one does a part of its work.
type node struct {
	policy.Backend
	cores         int
	speed         float64
	crawl         float64 // its work takes so many times as long
	gone, refuses bool
	silent        bool
	queue         []*attempt
	running       int
	sent          []work // of the last second, while cold
	cold          *coldStart
	boots         int
}

type work struct {
	at     time.Duration
	amount float64
}

// gateway is one module with its timers; boots tells events of an earlier life apart.
type gateway struct {
	mod   *policy.Engine
	me    int
	boots int
	up    bool
	late  time.Duration
	told  map[policy.BackendID]time.Duration // when it heard that a node drains or is gone
	knows map[policy.BackendID]time.Duration // the start of each node that it has heard of
}

type request struct {
	policy.Request
	class   policy.Class
	g       *gateway
	came    time.Duration
	answers int
	tries   []*attempt
	counted bool
}

type attempt struct {
	r      *request
	n      int
	node   *node
	work   float64
	sent   time.Duration
	ended  bool
	counts *channel // as one that is out; nil: it has not come
}

type event struct {
	at time.Duration
	n  int
	do func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].n < h[j].n
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is for container/heap.
func (h *events) Push(x any) { *h = append(*h, x.(event)) }

// Pop is for container/heap.
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

type world struct {
	Fleet
	rng      *rand.Rand
	now      time.Duration
	queue    events
	n        int
	nodes    []*node
	gateways []*gateway
	totals   map[string]float64
	callEnds time.Duration // when the counter is through with what it has
	channels []*channel
	requests map[policy.RequestID]*request
	lastID   policy.RequestID
	rep      Report
	burst    float64 // times the usual arrivals
	colds    []*coldStart
}

type channel struct {
	id            string
	plan          policy.Plan
	spread, first int
	store         float64 // of its ceiling
	at            time.Duration
	weight        float64 // where channels ask by their quotas: units a second
	out           int     // attempts that are out
	quota         level   // as all gateways together use it
	once          level   // as one gateway would have used it that saw all
}

// level is a quota's store.
type level struct {
	units float64
	at    time.Duration
}

// fill brings a store up to now.
func (l *level) fill(p policy.Plan, now time.Duration) {
	l.units = min(p.Burst, l.units+p.Rate*(now-l.at).Seconds())
	l.at = now
}

// take takes units that a store holds; false: it doesn't.
func (l *level) take(p policy.Plan, now time.Duration, units float64) bool {
	if l.fill(p, now); l.units < units {
		return false
	}
	l.units -= units
	return true
}

// offer books a first try's worth as one gateway would let it in that saw all, whatever becomes of it here.
func (w *world) offer(c *channel, r *request) {
	if c.once.take(c.plan, w.now, r.Units) {
		w.rep.Inside += r.worth(c.plan)
	}
}

func (r *request) worth(p policy.Plan) float64 { return r.class.PriorityWeight * p.Price * r.Units }

// epoch is the clock at the start: a module's clock is the same at all gateways, and never near 0.
const epoch = time.Hour

func plans() []policy.Plan {
	return []policy.Plan{
		{Name: "small", Price: 0.5, Rate: 1, Burst: 8, ExcessCost: 1},
		{Name: "large", Price: 1.5, Rate: 15, Burst: 30, MaxInFlight: 8, ExcessCost: 0.6, CeilingRate: ceilRate, CeilingBurst: ceilMost, CeilingSlack: 6},
	}
}

func classes() []policy.Class {
	return []policy.Class{
		{Name: "read", PriorityWeight: 2, LatencyObjective: 1200 * time.Millisecond, Deadline: 3 * time.Second, Effect: policy.Safe, Group: policy.GroupAll},
		{Name: "publish", PriorityWeight: 5, LatencyObjective: 4 * time.Second, Deadline: 10 * time.Second, Effect: policy.Keyed, RepeatWindow: 6 * time.Second},
	}
}

// Play runs a fleet to its end.
func Play(f Fleet) (*Report, error) {
	if f.Gateways < 1 || f.Nodes < 3 || f.Channels < 1 || !(f.Rate > 0) || f.Length <= 0 {
		return nil, fmt.Errorf("sim: %d gateways, %d nodes, %d channels, rate %v, length %v: each is wanted, three nodes at least",
			f.Gateways, f.Nodes, f.Channels, f.Rate, f.Length)
	}
	if !(f.Work >= 0) {
		return nil, fmt.Errorf("sim: work %v is below 0", f.Work)
	}
	w := &world{Fleet: f, rng: rand.New(rand.NewPCG(f.Seed, 1)), totals: map[string]float64{}, requests: map[policy.RequestID]*request{}, burst: 1}
	for i := range f.Nodes {
		n := &node{Backend: policy.Backend{
			ID: policy.BackendID(fmt.Sprintf("n-%08x", uint32(i*2654435761))), Zone: string(rune('a' + i%3)),
			Cell: i / 4, State: policy.Running,
		}, cores: 2, speed: 0.95, crawl: 1}
		if i%3 == i/3%3 {
			n.cores, n.speed = 3, 0.6
		}
		w.nodes = append(w.nodes, n)
	}
	all := plans()
	for i := range f.Channels {
		p := all[min(1, max(0, 1-i%8))] // one in eight is large
		c := &channel{id: fmt.Sprint("c", i), plan: p, spread: max(1, f.Gateways*2/3), store: ceilMost}
		if p.CeilingRate > 0 {
			c.spread = min(f.Gateways, 10)
		}
		c.first = w.rng.IntN(f.Gateways)
		c.quota.units, c.once.units = p.Burst, p.Burst
		w.channels = append(w.channels, c)
	}
	if f.Shares {
		w.share()
	}
	for i := range f.Gateways {
		w.gateways = append(w.gateways, &gateway{me: i})
		if err := w.start(w.gateways[i]); err != nil {
			return nil, err
		}
	}
	for _, ft := range f.Faults {
		w.at(ft.at, func() { ft.do(w) })
	}
	w.arrive()
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		if e.at > f.Length+15*time.Second {
			break
		}
		w.now = e.at
		e.do()
	}
	return &w.rep, w.close()
}

func (w *world) at(t time.Duration, do func()) {
	w.n++
	heap.Push(&w.queue, event{max(t, w.now), w.n, do})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now+d, do) }

// start gives a gateway a new module, which knows the nodes as they are at that moment.
func (w *world) start(g *gateway) error {
	gateways := cmp.Or(w.toldGateways, w.Gateways)
	mod, err := policy.New(policy.Settings{
		Index: g.me % gateways, Instances: gateways, Zone: string(rune('a' + g.me%3)), Classes: classes(), Plans: plans(),
		MaxUnits: 3, MaxAttempts: 4, MaxRetryAfter: 500 * time.Millisecond, MayCancel: true, Hedging: true, Counter: true,
		CounterTimeout: callTime, SlowStartShare: coldFrom, SlowStartWindow: warmTime, OverloadMultiple: fallOver, OverloadSpan: time.Second, DrainGrace: grace,
		CrossZonePrice: 0.01,
	}, w.Seed*1000+uint64(g.me)+uint64(g.boots)<<32)
	if err != nil {
		return fmt.Errorf("sim: %w", err)
	}
	g.mod, g.up, g.told, g.knows = mod, true, map[policy.BackendID]time.Duration{}, map[policy.BackendID]time.Duration{}
	g.boots++
	ev := policy.EndpointsChanged{Complete: true}
	for _, n := range w.nodes {
		if n.State == policy.Running {
			ev.Backends = append(ev.Backends, n.Backend)
			g.knows[n.ID] = n.Started
		}
	}
	w.tell(g, ev)
	return nil
}

// tell hands an event to a gateway's module and carries out what it wants.
func (w *world) tell(g *gateway, ev policy.Event) {
	for _, a := range g.mod.Handle(epoch+w.now, ev, nil) {
		w.act(g, a)
	}
}

// later tells a gateway after a while, if it still lives the same life.
func (w *world) later(g *gateway, d time.Duration, ev func() policy.Event) {
	boots := g.boots
	w.after(d, func() {
		if g.up && g.boots == boots {
			if e := ev(); e != nil {
				w.tell(g, e)
			}
		}
	})
}

func (w *world) act(g *gateway, a policy.Action) {
	switch a := a.(type) {
	case policy.SetTimer:
		w.later(g, a.After, func() policy.Event { return policy.TimerFired{} })
	case policy.Reject:
		w.answer(g, a.ID, false)
	case policy.Fail:
		w.answer(g, a.ID, false)
	case policy.SendAttempt:
		w.send(g, a)
	case policy.CancelAttempt:
		r := w.requests[a.ID]
		if r != nil && a.Attempt < len(r.tries) {
			w.end(r.tries[a.Attempt], policy.Cancelled)
		}
	case policy.AddToCounter:
		w.count(g, a)
	case policy.WatchEndpoints:
	}
}

func (w *world) count(g *gateway, a policy.AddToCounter) {
	reply := policy.CounterReply{Name: a.Name}
	took := 2 * way
	switch {
	case w.rng.Float64() < w.Busy:
		reply.Outcome = policy.NoConnect
	default:
		if w.Calls > 0 {
			w.callEnds = max(w.callEnds, w.now) + time.Duration(float64(time.Second)/w.Calls)
			took += w.callEnds - w.now
		}
		w.totals[a.Name] += a.Add
		reply.Outcome, reply.Total = policy.Succeeded, w.totals[a.Name]
		if took > callTime {
			took, reply.Outcome = callTime, policy.TimedOut
		}
	}
	w.later(g, took, func() policy.Event { return reply })
}

// arrive draws the next request; channels differ in what they ask for, the first ask for the most.
func (w *world) arrive() {
	if w.now > w.Length {
		return
	}
	w.after(time.Duration(w.rng.ExpFloat64()/(w.Rate*w.burst)*float64(time.Second)), func() {
		c := w.draw()
		cls := classes()[0]
		if w.rng.Float64() < publishShare {
			cls = classes()[1]
		}
		g := w.gateways[(c.first+w.rng.IntN(c.spread))%w.Gateways]
		w.lastID++
		wait := time.Duration((0.5 + w.rng.Float64()/2) * float64(cls.Deadline))
		r := &request{class: cls, g: g, came: w.now, Request: policy.Request{
			ID: w.lastID, Class: cls.Name, Plan: c.plan.Name, Tenant: c.id,
			GiveUpAt: epoch + w.now + wait, Units: float64(1 + w.rng.IntN(2)), Spread: c.spread, First: c.first,
		}}
		w.rep.Requests++
		w.rep.Asked += r.worth(c.plan)
		w.offer(c, r)
		w.requests[r.ID] = r
		if !g.up {
			w.rep.Lost++
			r.answers = -1
		} else {
			w.tell(g, policy.Arrival{Request: r.Request})
		}
		w.arrive()
	})
}

// share says what each channel asks for by its quota, and so how much there is to do in all.
func (w *world) share() {
	w.Rate = 0
	for i, c := range w.channels {
		use := 0.35
		switch i / 8 % 20 { // alike among small and large ones
		case 1, 7, 13:
			use = 0.95
		case 4, 10, 16:
			use = 3
		}
		c.weight = c.plan.Rate * use
		w.Rate += c.weight / meanUnits
	}
}

// meanUnits is what a request takes on the mean.
const meanUnits = 1.5

// draw is the channel of the next request.
func (w *world) draw() *channel {
	if !w.Shares {
		return w.channels[int(float64(len(w.channels))*math.Pow(w.rng.Float64(), 1.3))]
	}
	x := w.rng.Float64() * w.Rate * meanUnits
	for _, c := range w.channels {
		if x -= c.weight; x < 0 {
			return c
		}
	}
	return w.channels[len(w.channels)-1]
}

// answer counts a final answer; the first is the client's.
func (w *world) answer(g *gateway, id policy.RequestID, served bool) {
	r := w.requests[id]
	if r == nil || r.answers < 0 {
		return
	}
	if r.answers++; r.answers > 1 {
		w.rep.Twice++
		return
	}
	w.rep.Answers++
	if epoch+w.now > r.GiveUpAt {
		w.rep.Late++
	}
	if served && w.now-r.came <= r.class.LatencyObjective {
		for _, p := range plans() {
			if p.Name == r.Plan {
				w.rep.Served += r.class.PriorityWeight * p.Price * r.Units
			}
		}
	}
}

// lose leaves what a gateway holds as it ends to the clients.
func (w *world) lose(g *gateway) {
	for _, r := range w.requests {
		if r.g == g && r.answers == 0 {
			r.answers = -1
			w.rep.Lost++
		}
	}
}

func (w *world) find(id policy.BackendID) *node {
	i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.ID == id })
	if i < 0 {
		return nil
	}
	return w.nodes[i]
}

func (w *world) send(g *gateway, s policy.SendAttempt) {
	r := w.requests[s.ID]
	n := w.find(s.Backend)
	a := &attempt{r: r, n: len(r.tries), node: n, sent: w.now}
	r.tries = append(r.tries, a)
	if n == nil { // a machine that was replaced
		w.later(g, way, func() policy.Event { w.end(a, policy.NoConnect); return nil })
		return
	}
	if at, ok := g.told[s.Backend]; ok && w.now > at+grace {
		w.rep.Drained++
	}
	a.work = w.rng.ExpFloat64() * w.workOf(r.class)
	w.after(way, func() { w.come(a) })
	w.later(g, r.GiveUpAt-epoch-w.now, func() policy.Event { w.end(a, policy.TimedOut); return nil })
}

// Seconds of work of the classes, and of a request of the usual mix.
const (
	readWork     = 0.08
	publishWork  = 0.25
	publishShare = 0.2
	meanWork     = (1-publishShare)*readWork + publishShare*publishWork
)

// workOf is the mean work of a class.
func (w *world) workOf(c policy.Class) float64 {
	if c.Name == "publish" {
		return publishWork * w.work()
	}
	return readWork * w.work()
}

// work is by how much requests are heavier than usual.
func (w *world) work() float64 { return cmp.Or(w.Work, 1) }

// come is an attempt at its node.
func (w *world) come(a *attempt) {
	n := a.node
	switch {
	case n.gone:
		w.after(dialTime, func() { w.end(a, policy.NoConnect) })
		return
	case n.refuses:
		w.after(way, func() { w.end(a, policy.NoConnect) })
		return
	case n.silent:
		return
	}
	if w.warmth(n) < 1 {
		n.cold.enter(w.now, a, w.workOf(a.r.class))
	}
	w.judge(a)
	if len(n.queue) >= queueCap {
		w.after(way, func() { w.end(a, policy.Rejected) })
		return
	}
	n.queue = append(n.queue, a)
	w.serve(n)
}

// judge keeps the books of the rules: a cold node's last second, a ceiling's store.
func (w *world) judge(a *attempt) {
	n := a.node
	if warm := w.warmth(n); warm < 1 {
		n.sent = slices.DeleteFunc(append(n.sent, work{w.now, a.work / n.speed}), func(x work) bool { return w.now-x.at > time.Second })
		sum := 0.0
		for _, x := range n.sent {
			sum += x.amount
		}
		if sum > fallOver*warm*float64(n.cores) && len(n.sent) > 2 && !slices.Contains(w.rep.Fallen, n.ID) {
			w.rep.Fallen = append(w.rep.Fallen, n.ID)
		}
	}
	r := a.r
	c := w.channels[slices.IndexFunc(w.channels, func(c *channel) bool { return c.id == r.Tenant })]
	full := c.plan.MaxInFlight > 0 && c.out >= c.plan.MaxInFlight
	c.out++
	a.counts = c
	if r.counted {
		return
	}
	r.counted = true
	if full || !c.quota.take(c.plan, w.now, r.Units) {
		w.rep.Beyond += r.worth(c.plan) * c.plan.ExcessCost
	}
	if c.plan.CeilingRate > 0 {
		c.store = min(ceilMost, c.store+ceilRate*(w.now-c.at).Seconds()) - r.Units
		c.at = w.now
		w.rep.Over = max(w.rep.Over, -c.store)
	}
}

func (w *world) warmth(n *node) float64 {
	age := epoch + w.now - n.Started
	if n.Started == 0 || age >= warmTime {
		return 1
	}
	return coldFrom + (1-coldFrom)*max(0, age.Seconds())/warmTime.Seconds()
}

// serve begins what the cores have room for.
func (w *world) serve(n *node) {
	for n.running < n.cores && len(n.queue) > 0 {
		a := n.queue[0]
		n.queue = n.queue[1:]
		n.running++
		boots := n.boots
		took := time.Duration(a.work * n.crawl / (n.speed * w.warmth(n)) * float64(time.Second))
		w.after(took, func() {
			if n.boots != boots {
				return
			}
			n.running--
			if !n.gone && !n.silent {
				w.after(way, func() { w.end(a, policy.Succeeded) })
			}
			w.serve(n)
		})
	}
}

// end is an attempt's end as its gateway sees it.
func (w *world) end(a *attempt, o policy.Outcome) {
	if a.counts != nil {
		a.counts.out--
		a.counts = nil
	}
	g := a.r.g
	if a.ended || !g.up {
		return
	}
	a.ended = true
	if o == policy.Succeeded && a.r.answers == 0 {
		w.answer(g, a.r.ID, true)
	}
	ev := policy.AttemptEnded{ID: a.r.ID, Attempt: a.n, Outcome: o, Took: w.now - a.sent, Finished: a.r.answers > 0}
	if a.node != nil {
		ev.Backend = a.node.ID
	}
	w.later(g, 0, func() policy.Event { return ev })
}

// list tells all gateways of nodes, each when it hears of them.
func (w *world) list(nodes ...*node) {
	var ev policy.EndpointsChanged
	for _, n := range nodes {
		ev.Backends = append(ev.Backends, n.Backend)
	}
	for _, g := range w.gateways {
		w.later(g, w.ListLate+g.late+time.Duration(w.rng.Float64()*float64(300*time.Millisecond)), func() policy.Event {
			for _, s := range ev.Backends {
				g.knows[s.ID] = s.Started
				if delete(g.told, s.ID); s.State != policy.Running {
					g.told[s.ID] = w.now
				}
			}
			return ev
		})
	}
}
