package sim

import (
	"time"

	"hitchspring/internal/slowstart"
	"hitchspring/policy"
)

// coldRule is the slow start as all gateways are told of it.
var coldRule = slowstart.Rule{InitialShare: coldFrom, Window: warmTime, OverloadMultiple: fallOver, Span: time.Second}

// ColdStart is what one start of a node got while it was cold, from all gateways together, at its nearest to the limit.
type ColdStart struct {
	Node  policy.BackendID
	Calls int            // attempts that came while it was cold
	Mean  slowstart.Peak // each attempt as the mean work of its class
	Drawn slowstart.Peak // each attempt as its own work, which no gateway knows
}

// coldStart records what comes to a node from a cold start on.
type coldStart struct {
	node        policy.BackendID
	backend     slowstart.Backend
	mean, drawn []slowstart.Arrival
}

// begin opens the account of a cold start.
func (w *world) begin(n *node) {
	n.cold = &coldStart{node: n.ID, backend: slowstart.Backend{
		Started: w.now, Capacity: float64(n.cores) * n.speed,
		MeanWork: meanWork * w.work(),
	}}
	w.colds = append(w.colds, n.cold)
}

// enter records an attempt that has come.
func (c *coldStart) enter(now time.Duration, a *attempt, meanWork float64) {
	came := slowstart.Arrival{At: now, Work: meanWork, Instance: a.r.g.me, Notified: a.r.g.knows[c.node] == epoch+c.backend.Started}
	c.mean = append(c.mean, came)
	came.Work = a.work
	c.drawn = append(c.drawn, came)
}

// close judges all cold starts, in the order in which they began.
func (w *world) close() error {
	for _, c := range w.colds {
		mean, err := coldRule.Peak(c.backend, c.mean)
		if err != nil {
			return err
		}
		drawn, err := coldRule.Peak(c.backend, c.drawn)
		if err != nil {
			return err
		}
		w.rep.Cold = append(w.rep.Cold, ColdStart{c.node, len(c.mean), mean, drawn})
	}
	return nil
}

// Burst multiplies the arrivals for a time.
func Burst(at time.Duration, times float64, length time.Duration) Fault {
	return Fault{at, func(w *world) {
		w.burst = times
		w.after(length, func() { w.burst = 1 })
	}}
}

// Return takes a node away and starts it anew, cold.
func Return(at time.Duration, i int, down time.Duration) Fault {
	return Fault{at, func(w *world) {
		n := w.nodes[i]
		w.stop(n)
		w.list(n)
		w.after(down, func() {
			w.boot(n)
			w.list(n)
		})
	}}
}

// Join adds new nodes, spread over a time, each like one that is there.
func Join(at time.Duration, nodes int, within time.Duration) Fault {
	return Fault{at, func(w *world) {
		for k := range nodes {
			w.after(within*time.Duration(k)/time.Duration(nodes), func() {
				like := w.nodes[k]
				fresh := &node{Backend: like.Backend, cores: like.cores, speed: like.speed, crawl: 1}
				fresh.ID += "-more"
				w.boot(fresh)
				w.nodes = append(w.nodes, fresh)
				w.list(fresh)
			})
		}
	}}
}
