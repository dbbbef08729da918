package core

import (
	"time"

	"hitchspring/internal/backend"
	"hitchspring/internal/discovery"
	"hitchspring/policy"
)

// backendCountInterval is the time between two updates of the metrics of the endpoint list.
const backendCountInterval = 100 * time.Millisecond

// endpointSet is discovery's endpoint list without the operators' overrides.
type endpointSet struct {
	targets  map[policy.BackendID]discovery.Target // nil: no list has come
	revision int64                                 // the newest
	updates  int                                   // lists and changes that have come
}

// loadKnownEndpoints hands the engine the configuration's list, before anything else.
func (c *Core) loadKnownEndpoints() {
	c.now = c.clock(time.Now())
	list := c.cfg.Known.Usable(c.log)
	list.Complete = true
	c.handle(list)
}

// endpointSnapshot returns the present list as an event for the engine.
func (c *Core) endpointSnapshot() policy.Event {
	return policy.EndpointsChanged{Complete: true, Backends: c.backends.Backends()}
}

// updateEndpoints takes over a complete list or a change from discovery.
func (c *Core) updateEndpoints(list discovery.List) {
	c.summary.add(summaryLists, 1)
	set := &c.endpoints
	set.updates++
	set.revision = max(set.revision, list.Rev)
	if list.Complete || set.targets == nil {
		set.targets = make(map[policy.BackendID]discovery.Target, len(list.Targets))
	}
	ids := make([]policy.BackendID, 0, len(list.Targets))
	for _, target := range list.Targets {
		id := policy.BackendID(target.UID)
		ids = append(ids, id)
		if target.State == discovery.Deleted {
			delete(set.targets, id)
		} else {
			set.targets[id] = target
		}
	}
	c.overrides.mu.Lock()
	c.overrides.active.NoteListed(ids)
	c.overrides.mu.Unlock()
	c.applyEndpoints(list)
}

// reapplyOverrides applies the present list again, after the overrides have changed.
func (c *Core) reapplyOverrides() {
	list := discovery.List{Targets: make([]discovery.Target, 0, len(c.endpoints.targets))}
	for _, target := range c.endpoints.targets {
		list.Targets = append(list.Targets, target)
	}
	c.applyEndpoints(list)
	c.flushEvents()
}

// applyEndpoints notifies the engine, the pool and the optional components of a list under the operators' overrides.
func (c *Core) applyEndpoints(list discovery.List) {
	ev := policy.EndpointsChanged{Complete: list.Complete, Backends: make([]policy.Backend, 0, len(list.Targets))}
	entries := make([]backend.Endpoint, 0, len(list.Targets))
	c.overrides.mu.Lock()
	for _, target := range list.Targets {
		listed := c.overrides.active.Apply(target.Backend())
		entries = append(entries, backend.Endpoint{Backend: listed, Addr: target.Endpoint})
		ev.Backends = append(ev.Backends, listed)
	}
	c.overrides.mu.Unlock()
	// Before the attempts that the update ends: the engine would send them to the same backends again.
	c.notifyEngine(ev)
	c.backends.Update(entries, list.Complete)
	if c.outliers != nil {
		c.updateOutlierBackends()
	}
	if c.zones != nil {
		c.zones.setEndpoints(c.now, ev)
	}
}

// updateBackendCounts brings the metrics of the endpoint list up to date.
func (c *Core) updateBackendCounts() {
	avoided := 0
	c.overrides.mu.Lock()
	for id := range c.endpoints.targets {
		if c.overrides.active.IsSuspended(id) || c.engine.IsAvoided(id) {
			avoided++
		}
	}
	c.overrides.mu.Unlock()
	c.metrics.SetBackends(len(c.endpoints.targets), avoided)
}
