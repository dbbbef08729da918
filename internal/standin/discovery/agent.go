package discovery

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// keepAliveInterval is the interval at which an idle watch sends empty lines.
const keepAliveInterval = 2 * time.Second

// agent serves the endpoint list to one instance. The registry's mutex guards its fields.
type agent struct {
	registry *Registry
	index    int // index in the registry's agents
	server   *http.Server
	revision int64
	targets  map[string]Target // the endpoint list, by UID
	// revisions holds the revision of the last change of each endpoint that the agent has applied, by UID.
	revisions map[string]int64
	// changed is closed and replaced when the list or the agent's failure mode changes.
	changed chan struct{}
	// silent reports whether the agent is silent: it neither answers requests nor writes changes.
	silent bool
	limit  callLimit
}

// localize returns a target with Endpoint set to the address that the agent's instance uses.
func (a *agent) localize(target Target) Target {
	if a.index < len(target.Endpoints) {
		target.Endpoint = target.Endpoints[a.index]
	}
	return target
}

// applyChange applies a change to the agent's list, unless it has already applied a later change of the endpoint. The
// caller must hold the registry's mutex.
func (a *agent) applyChange(revision int64, target Target) {
	if revision < a.revisions[target.UID] {
		return
	}
	a.revision = max(a.revision, revision)
	a.revisions[target.UID] = revision
	r := a.registry
	r.appliedChanges = append(r.appliedChanges, Notification{r.clock(), a.index, target.UID, target.State})
	if target.State == stateDeleted {
		delete(a.targets, target.UID)
	} else {
		a.targets[target.UID] = a.localize(target)
	}
	a.wakeWatches()
}

// wakeWatches wakes the agent's open watches. The caller must hold the registry's mutex.
func (a *agent) wakeWatches() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// snapshot returns the current list, a channel that is closed when the list changes, and whether the agent is silent.
func (a *agent) snapshot() (l list, changed <-chan struct{}, silent bool) {
	a.registry.mu.Lock()
	defer a.registry.mu.Unlock()
	l = list{Rev: a.revision, All: true, Targets: []Target{}}
	for _, target := range a.targets {
		l.Targets = append(l.Targets, target)
	}
	slices.SortFunc(l.Targets, func(x, y Target) int { return cmp.Compare(x.UID, y.UID) })
	return l, a.changed, a.silent
}

// recordPoll records a request.
func (a *agent) recordPoll(watch bool, since string, silent bool) {
	r := a.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	r.polls = append(r.polls, Poll{At: r.clock(), Agent: a.index, Watch: watch, Since: since, Silent: silent})
}

// recordWritten records the changes between two lists after the second was written in a write that started at began.
// The instance may learn a change at any time between the start and the end of the write. So that checks don't blame it
// unfairly, a change to SERVING is recorded with the start time, and other changes with the end time.
func (a *agent) recordWritten(previous, written list, began time.Duration) {
	r := a.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	ended := r.clock()
	states := map[string]string{}
	for _, target := range previous.Targets {
		states[target.UID] = target.State
	}
	for _, target := range written.Targets {
		if states[target.UID] != target.State {
			at := ended
			if target.State == stateServing {
				at = began
			}
			r.notifications = append(r.notifications, Notification{at, a.index, target.UID, target.State})
		}
		delete(states, target.UID)
	}
	for uid := range states {
		r.notifications = append(r.notifications, Notification{ended, a.index, uid, stateDeleted})
	}
}

// serve answers a request for the list or for a watch.
func (a *agent) serve(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != "/registry/instances" {
		http.NotFound(w, req)
		return
	}
	query := req.URL.Query()
	watching := query.Get("follow") != ""
	current, changed, silent := a.snapshot()
	a.recordPoll(watching, query.Get("since"), silent)
	if silent {
		<-req.Context().Done()
		return
	}
	if !a.awaitTurn(req.Context(), w) {
		return
	}
	if !watching {
		began := a.registry.clock()
		if json.NewEncoder(w).Encode(current) == nil {
			a.recordWritten(list{}, current, began)
		}
		return
	}
	since, _ := strconv.ParseInt(query.Get("since"), 10, 64) // 0 if invalid or missing
	a.watch(w, req, watchState{current: current, changed: changed, since: since})
}

// watchState is the state of a watch.
type watchState struct {
	current list
	changed <-chan struct{} // closed when current is outdated
	since   int64           // the revision that the instance already has
}

// watch writes the current list, unless the instance already has it, and then every later list until the request ends.
func (a *agent) watch(w http.ResponseWriter, req *http.Request, state watchState) {
	out := json.NewEncoder(w)
	flush := http.NewResponseController(w).Flush
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	var written list
	for first := true; ; first = false {
		if state.current.Rev != state.since || !first {
			began := a.registry.clock()
			if out.Encode(state.current) != nil || flush() != nil {
				return
			}
			a.recordWritten(written, state.current, began)
			written = state.current
		} else if flush() != nil {
			return
		}
		if !a.awaitChange(w, req, state.changed, keepAlive.C) {
			return
		}
		var silent bool
		state.current, state.changed, silent = a.snapshot()
		a.abortIfFailing()
		if silent { // the watch stays silent even if the agent recovers
			<-req.Context().Done()
			return
		}
	}
}

// awaitChange waits until changed is closed, and writes an empty line at each keepAlive tick. It reports false if the
// request has ended.
func (a *agent) awaitChange(
	w http.ResponseWriter, req *http.Request, changed <-chan struct{}, keepAlive <-chan time.Time,
) bool {
	flush := http.NewResponseController(w).Flush
	for {
		select {
		case <-req.Context().Done():
			return false
		case <-keepAlive:
			if a.isSilent() {
				continue
			}
			if _, err := w.Write([]byte("\n")); err != nil || flush() != nil {
				return false
			}
		case <-changed:
			return true
		}
	}
}
