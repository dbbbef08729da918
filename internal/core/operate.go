package core

import (
	"sync"
	"time"

	"hitchspring/internal/backend"
	"hitchspring/internal/discovery"
	"hitchspring/internal/guard"
	"hitchspring/internal/metrics"
	"hitchspring/internal/override"
	"hitchspring/policy"
)

// clusterEvery is the time between two looks at how many nodes are avoided.
const clusterEvery = 100 * time.Millisecond

// WordStore keeps the operators' words on nodes where the next process of this ingress finds them. Both methods may be called
// by many goroutines, and may take the time of a disk.
type OverrideStore interface {
	// Save puts words into stable storage, beside those that another process has put there.
	Save([]override.Override) error
}

// operators is what operators have said, and the list that it lies over. Its lock is never held over a wait.
type operators struct {
	mu    sync.Mutex
	book  *override.Overrides
	store OverrideStore // nil: words end with the process
	spoke chan struct{} // room for one: the loop shall look at the book

	// The loop's alone: the list without the operators' word, its revision, and how often one has come.
	listed map[policy.BackendID]discovery.Target
	rev    int64
	lists  int
}

// Figures is what this process has done since its start.
func (g *Core) Metrics() *metrics.Set { return g.fig }

// Suspend takes a node out until Resume: the list has it as draining from now on, whatever discovery says. It returns
// suspend.ErrUnknown for a node that was never listed, and never waits for the core's goroutine.
func (g *Core) Suspend(id policy.BackendID) error { return g.say(id, true) }

// Resume puts a node back, as one that has just started.
func (g *Core) Resume(id policy.BackendID) error { return g.say(id, false) }

func (g *Core) say(id policy.BackendID, out bool) error {
	o := &g.ops
	o.mu.Lock()
	changed, err := o.book.Set(id, out, g.clock(time.Now()))
	words := o.book.All()
	o.mu.Unlock()
	if err != nil {
		return err
	}
	if changed {
		o.signal()
	}
	if o.store != nil { // also of a repeat: the first may have failed here
		return o.store.Save(words)
	}
	return nil
}

// Heard takes in words that another process of this ingress has recorded. It may be called at any time.
func (g *Core) MergeOverrides(words []override.Override) {
	o := &g.ops
	o.mu.Lock()
	changed := o.book.Merge(words)
	o.mu.Unlock()
	if len(changed) > 0 {
		g.log.Info("suspensions of another process", "nodes", changed)
		o.signal()
	}
}

// out reports whether operators have taken a node out.
func (g *Core) out(id policy.BackendID) bool {
	g.ops.mu.Lock()
	defer g.ops.mu.Unlock()
	return g.ops.book.IsSuspended(id)
}

func (o *operators) signal() {
	select {
	case o.spoke <- struct{}{}:
	default:
	}
}

// fleet takes a list or a change of discovery's.
func (g *Core) fleet(f discovery.List) {
	g.sum.add(lists, 1)
	g.ops.lists++
	g.ops.rev = max(g.ops.rev, f.Rev)
	if f.Complete || g.ops.listed == nil {
		g.ops.listed = make(map[policy.BackendID]discovery.Target, len(f.Targets))
	}
	ids := make([]policy.BackendID, 0, len(f.Targets))
	for _, t := range f.Targets {
		id := policy.BackendID(t.UID)
		ids = append(ids, id)
		if t.State == discovery.Deleted {
			delete(g.ops.listed, id)
		} else {
			g.ops.listed[id] = t
		}
	}
	g.ops.mu.Lock()
	g.ops.book.NoteListed(ids)
	g.ops.mu.Unlock()
	g.overlaid(f)
}

// relist hands the list over again, after the operators have spoken.
func (g *Core) relist() {
	f := discovery.List{Targets: make([]discovery.Target, 0, len(g.ops.listed))}
	for _, t := range g.ops.listed {
		f.Targets = append(f.Targets, t)
	}
	g.overlaid(f)
	g.flush()
}

// overlaid tells connections, halls and the module the list as it holds under the operators' word.
func (g *Core) overlaid(f discovery.List) {
	ev := policy.EndpointsChanged{Complete: f.Complete, Backends: make([]policy.Backend, 0, len(f.Targets))}
	entries := make([]backend.Endpoint, 0, len(f.Targets))
	g.ops.mu.Lock()
	for _, t := range f.Targets {
		s := g.ops.book.Apply(t.Server())
		entries = append(entries, backend.Endpoint{Backend: s, Addr: t.Endpoint})
		ev.Backends = append(ev.Backends, s)
	}
	g.ops.mu.Unlock()
	g.tell(ev) // before what ends by it, which would be sent to the same nodes again
	g.nodes.Update(entries, f.Complete)
	if g.judged != nil {
		g.listJudged()
	}
	if g.halls != nil {
		g.halls.list(g.now, ev)
	}
}

// lookAtCluster brings the figures of the cluster up to date.
func (g *Core) lookAtCluster() {
	g.after(clusterEvery, g.lookAtCluster)
	avoided := 0
	g.ops.mu.Lock()
	for id := range g.ops.listed {
		if g.ops.book.IsSuspended(id) || g.mod.IsAvoided(id) {
			avoided++
		}
	}
	g.ops.mu.Unlock()
	g.fig.SetBackends(len(g.ops.listed), avoided)
}

// newFigures are the figures of the settings' classes.
func newFigures(classes []policy.Class) *metrics.Set {
	names := make([]string, len(classes))
	for i, c := range classes {
		names[i] = c.Name
	}
	reasons := make([]string, policy.ReasonCount)
	for i := range reasons {
		reasons[i] = policy.Reason(i).String()
	}
	return metrics.New(names, reasons, outcomeNames[:])
}

// endOf is how a request counts that ended with an attempt.
func endOf(o policy.Outcome) metrics.RequestEnd {
	if o == policy.Succeeded {
		return metrics.Answered
	}
	return metrics.Errored
}

// final hands out the one final answer of a request, and counts it.
func (g *Core) final(r *Request, a Answer) {
	if r.final && !r.Delegated {
		g.guard.Violated(guard.AnsweredTwice, append(r.ids(), "second", a.Kind.String())...)
		return
	}
	r.final = true
	g.endCustody(r, a)
	end := metrics.Errored
	switch a.Kind {
	case Served, Granted, Concluded:
		end = metrics.Answered
	case Rejected:
		end = metrics.Deferred
	}
	g.fig.RequestEnded(r.Class, end)
	g.deliver(r, a)
}
