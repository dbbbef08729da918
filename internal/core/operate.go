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
const backendCountInterval = 100 * time.Millisecond

// WordStore keeps the operators' words on nodes where the next process of this ingress finds them. Both methods may be called
// by many goroutines, and may take the time of a disk.
type OverrideStore interface {
	// Save puts words into stable storage, beside those that another process has put there.
	Save([]override.Override) error
}

// operators is what operators have said, and the list that it lies over. Its lock is never held over a wait.
type operatorOverrides struct {
	mu    sync.Mutex
	active  *override.Overrides
	store OverrideStore // nil: words end with the process
	changed chan struct{} // room for one: the loop shall look at the book

	// The loop's alone: the list without the operators' word, its revision, and how often one has come.
	targets map[policy.BackendID]discovery.Target
	revision    int64
	updates  int
}

// Figures is what this process has done since its start.
func (c *Core) Metrics() *metrics.Set { return c.metrics }

// Suspend takes a node out until Resume: the list has it as draining from now on, whatever discovery says. It returns
// suspend.ErrUnknown for a node that was never listed, and never waits for the core's goroutine.
func (c *Core) Suspend(id policy.BackendID) error { return c.setSuspended(id, true) }

// Resume puts a node back, as one that has just started.
func (c *Core) Resume(id policy.BackendID) error { return c.setSuspended(id, false) }

func (c *Core) setSuspended(id policy.BackendID, out bool) error {
	o := &c.overrides
	o.mu.Lock()
	changed, err := o.active.Set(id, out, c.clock(time.Now()))
	words := o.active.All()
	o.mu.Unlock()
	if err != nil {
		return err
	}
	if changed {
		o.signalChange()
	}
	if o.store != nil { // also of a repeat: the first may have failed here
		return o.store.Save(words)
	}
	return nil
}

// Heard takes in words that another process of this ingress has recorded. It may be called at any time.
func (c *Core) MergeOverrides(words []override.Override) {
	o := &c.overrides
	o.mu.Lock()
	changed := o.active.Merge(words)
	o.mu.Unlock()
	if len(changed) > 0 {
		c.log.Info("suspensions of another process", "nodes", changed)
		o.signalChange()
	}
}

// out reports whether operators have taken a node out.
func (c *Core) isSuspended(id policy.BackendID) bool {
	c.overrides.mu.Lock()
	defer c.overrides.mu.Unlock()
	return c.overrides.active.IsSuspended(id)
}

func (o *operatorOverrides) signalChange() {
	select {
	case o.changed <- struct{}{}:
	default:
	}
}

// fleet takes a list or a change of discovery's.
func (c *Core) updateEndpoints(f discovery.List) {
	c.summary.add(summaryLists, 1)
	c.overrides.updates++
	c.overrides.revision = max(c.overrides.revision, f.Rev)
	if f.Complete || c.overrides.targets == nil {
		c.overrides.targets = make(map[policy.BackendID]discovery.Target, len(f.Targets))
	}
	ids := make([]policy.BackendID, 0, len(f.Targets))
	for _, t := range f.Targets {
		id := policy.BackendID(t.UID)
		ids = append(ids, id)
		if t.State == discovery.Deleted {
			delete(c.overrides.targets, id)
		} else {
			c.overrides.targets[id] = t
		}
	}
	c.overrides.mu.Lock()
	c.overrides.active.NoteListed(ids)
	c.overrides.mu.Unlock()
	c.applyEndpoints(f)
}

// relist hands the list over again, after the operators have spoken.
func (c *Core) reapplyOverrides() {
	f := discovery.List{Targets: make([]discovery.Target, 0, len(c.overrides.targets))}
	for _, t := range c.overrides.targets {
		f.Targets = append(f.Targets, t)
	}
	c.applyEndpoints(f)
	c.flushEvents()
}

// overlaid tells connections, halls and the module the list as it holds under the operators' word.
func (c *Core) applyEndpoints(f discovery.List) {
	ev := policy.EndpointsChanged{Complete: f.Complete, Backends: make([]policy.Backend, 0, len(f.Targets))}
	entries := make([]backend.Endpoint, 0, len(f.Targets))
	c.overrides.mu.Lock()
	for _, t := range f.Targets {
		s := c.overrides.active.Apply(t.Server())
		entries = append(entries, backend.Endpoint{Backend: s, Addr: t.Endpoint})
		ev.Backends = append(ev.Backends, s)
	}
	c.overrides.mu.Unlock()
	c.notifyEngine(ev) // before what ends by it, which would be sent to the same nodes again
	c.backends.Update(entries, f.Complete)
	if c.outliers != nil {
		c.updateOutlierBackends()
	}
	if c.zones != nil {
		c.zones.setEndpoints(c.now, ev)
	}
}

// lookAtCluster brings the figures of the cluster up to date.
func (c *Core) updateBackendCounts() {
	c.scheduleAfter(backendCountInterval, c.updateBackendCounts)
	avoided := 0
	c.overrides.mu.Lock()
	for id := range c.overrides.targets {
		if c.overrides.active.IsSuspended(id) || c.engine.IsAvoided(id) {
			avoided++
		}
	}
	c.overrides.mu.Unlock()
	c.metrics.SetBackends(len(c.overrides.targets), avoided)
}

// newFigures are the figures of the settings' classes.
func newMetrics(classes []policy.Class) *metrics.Set {
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
func requestEndOf(o policy.Outcome) metrics.RequestEnd {
	if o == policy.Succeeded {
		return metrics.Answered
	}
	return metrics.Errored
}

// final hands out the one final answer of a request, and counts it.
func (c *Core) finishRequest(r *Request, a Answer) {
	if r.finished && !r.Delegated {
		c.guard.Violated(guard.AnsweredTwice, append(r.logAttrs(), "second", a.Kind.String())...)
		return
	}
	r.finished = true
	c.completeWork(r, a)
	end := metrics.Errored
	switch a.Kind {
	case Served, Granted, Concluded:
		end = metrics.Answered
	case Rejected:
		end = metrics.Deferred
	}
	c.metrics.RequestEnded(r.Class, end)
	c.deliverAnswer(r, a)
}
