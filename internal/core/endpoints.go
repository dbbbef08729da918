package core

import (
	"time"

	"hitchspring/internal/backend"
	"hitchspring/internal/discovery"
	"hitchspring/policy"
)

// backendCountInterval is the time between two updates of the metrics of the endpoint list.
const backendCountInterval = 100 * time.Millisecond

// endpointSet is the endpoint list as discovery has sent it, before operators' overrides are applied.
type endpointSet struct {
	targets  map[policy.BackendID]discovery.Target // nil: no list has arrived
	revision int64                                 // highest so far
	updates  int                                   // lists and changes that have arrived
}

// loadKnownEndpoints applies the endpoint list of the configuration. It runs before all other events.
func (c *Core) loadKnownEndpoints() {
	c.now = c.clock(time.Now())
	list := c.cfg.InitialEndpoints.Usable(c.log)
	list.Complete = true
	c.handle(list)
}

// endpointSnapshot returns the current endpoint list as an event for the engine.
func (c *Core) endpointSnapshot() policy.Event {
	return policy.EndpointsChanged{Complete: true, Backends: c.backends.Backends()}
}

// updateEndpoints applies an endpoint list from discovery, either complete or with changes only.
func (c *Core) updateEndpoints(list discovery.List) {
	c.summary.add(summaryEndpointUpdates, 1)
	set := &c.endpoints
	set.updates++
	set.revision = max(set.revision, list.Rev)
	if list.Complete || set.targets == nil {
		set.targets = make(map[policy.BackendID]discovery.Target, len(list.Targets))
	}
	list = set.withoutReplaced(list)
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
	c.overrides.active.RecordListed(ids)
	c.overrides.mu.Unlock()
	c.applyEndpoints(list)
}

// withoutReplaced returns a list or change in which each backend is deleted at whose address a later process serves:
// discovery may tell of a new backend before it tells of the end of the one before it. Of two processes at one address,
// the one that started later is there.
func (s *endpointSet) withoutReplaced(list discovery.List) discovery.List {
	started := map[string]int64{} // of the latest process at each address of the list
	named := make(map[policy.BackendID]bool, len(list.Targets))
	for _, target := range list.Targets {
		named[policy.BackendID(target.UID)] = true
		if target.Serves() {
			started[target.Endpoint] = max(started[target.Endpoint], target.BootMS)
		}
	}
	var others []discovery.Target // at the same addresses, as known before
	for id, target := range s.targets {
		if at, mentioned := started[target.Endpoint]; mentioned && !named[id] && target.Serves() {
			started[target.Endpoint] = max(at, target.BootMS)
			others = append(others, target)
		}
	}
	result := discovery.List{Rev: list.Rev, Complete: list.Complete}
	for _, target := range list.Targets {
		if target.Serves() && target.BootMS < started[target.Endpoint] {
			target.State = discovery.Deleted
		}
		result.Targets = append(result.Targets, target)
	}
	for _, target := range others {
		if target.BootMS < started[target.Endpoint] {
			target.State = discovery.Deleted
			result.Targets = append(result.Targets, target)
		}
	}
	return result
}

// reapplyOverrides applies the current endpoint list again after a change of the overrides.
func (c *Core) reapplyOverrides() {
	list := discovery.List{Targets: make([]discovery.Target, 0, len(c.endpoints.targets))}
	for _, target := range c.endpoints.targets {
		list.Targets = append(list.Targets, target)
	}
	c.applyEndpoints(list)
	c.flushEvents()
}

// applyEndpoints passes an endpoint list, with the operators' overrides applied, to the engine, the pool and the
// optional components.
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
	// The engine must know the list before the pool update ends attempts: otherwise it would retry on removed backends.
	c.notifyEngine(ev)
	c.backends.Update(entries, list.Complete)
	if c.outliers != nil {
		c.updateOutlierBackends()
	}
	if c.zones != nil {
		c.zones.setEndpoints(c.now, ev)
	}
}

// updateBackendCounts updates the metrics of how many backends are listed, and how many of them are suspended or
// avoided by the engine.
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
