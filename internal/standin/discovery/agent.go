package discovery

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// keepAliveInterval is the pause between the empty lines that a watch without changes sends.
const keepAliveInterval = 2 * time.Second

// agent answers the requests of one instance. The registry's mutex guards its fields.
type agent struct {
	registry *Registry
	index    int // among the registry's agents
	server   *http.Server
	revision int64
	known    map[string]Target // the endpoint list, by UID
	// revisions holds the revision of the last change that the agent learned of each endpoint.
	revisions map[string]int64
	// changed is closed, and replaced, when the list changes or the agent's failure does.
	changed chan struct{}
	// mute says whether the agent neither answers requests nor writes changes.
	mute  bool
	limit callLimit
}

// localize returns a target with the address at which the agent's instance reaches it.
func (a *agent) localize(target Target) Target {
	if a.index < len(target.Endpoints) {
		target.Endpoint = target.Endpoints[a.index]
	}
	return target
}

// learn applies a change to the agent's list, unless it knows a later one of the endpoint. The registry's mutex is
// held.
func (a *agent) learn(revision int64, target Target) {
	if revision < a.revisions[target.UID] {
		return
	}
	a.revision = max(a.revision, revision)
	a.revisions[target.UID] = revision
	r := a.registry
	r.learned = append(r.learned, Notification{r.clock(), a.index, target.UID, target.State})
	if target.State == stateDeleted {
		delete(a.known, target.UID)
	} else {
		a.known[target.UID] = a.localize(target)
	}
	a.wakeWatches()
}

// wakeWatches wakes the open watches. The registry's mutex is held.
func (a *agent) wakeWatches() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// snapshot returns the complete list, a channel that is closed when it changes, and whether the agent is silent.
func (a *agent) snapshot() (l list, changed <-chan struct{}, mute bool) {
	a.registry.mu.Lock()
	defer a.registry.mu.Unlock()
	l = list{Rev: a.revision, All: true, Targets: []Target{}}
	for _, target := range a.known {
		l.Targets = append(l.Targets, target)
	}
	slices.SortFunc(l.Targets, func(x, y Target) int { return cmp.Compare(x.UID, y.UID) })
	return l, a.changed, a.mute
}

// recordPoll records a request.
func (a *agent) recordPoll(watch bool, since string, mute bool) {
	r := a.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	r.polls = append(r.polls, Poll{At: r.clock(), Agent: a.index, Watch: watch, Since: since, Mute: mute})
}

// recordWritten records the changes between two lists, the second of which has been written since began. The instance
// can't have known of it before the write began, and surely knows only when it has ended: that an endpoint serves
// counts from the former, that it doesn't from the latter.
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

// serve answers a request for the list or for a watch on it.
func (a *agent) serve(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != "/registry/instances" {
		http.NotFound(w, req)
		return
	}
	query := req.URL.Query()
	watching := query.Get("follow") != ""
	current, changed, mute := a.snapshot()
	a.recordPoll(watching, query.Get("since"), mute)
	if mute {
		<-req.Context().Done()
		return
	}
	if !a.takeCall(req.Context(), w) {
		return
	}
	if !watching {
		began := a.registry.clock()
		if json.NewEncoder(w).Encode(current) == nil {
			a.recordWritten(list{}, current, began)
		}
		return
	}
	since, _ := strconv.ParseInt(query.Get("since"), 10, 64) // 0 if it can't be read
	a.watch(w, req, watchState{current: current, changed: changed, since: since})
}

// watchState is what a watch starts from.
type watchState struct {
	current list
	changed <-chan struct{} // closed when current is out of date
	since   int64           // the revision that the instance knows
}

// watch writes the list, unless the instance knows it, and each later one, until the request ends.
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
		var mute bool
		state.current, state.changed, mute = a.snapshot()
		a.abortIfFailing()
		if mute { // and for good: a watch does not recover when the agent does
			<-req.Context().Done()
			return
		}
	}
}

// awaitChange waits for changed and writes an empty line now and then. It reports false if the request has ended.
func (a *agent) awaitChange(
	w http.ResponseWriter, req *http.Request, changed <-chan struct{}, keepAlive <-chan time.Time,
) bool {
	flush := http.NewResponseController(w).Flush
	for {
		select {
		case <-req.Context().Done():
			return false
		case <-keepAlive:
			if a.muted() {
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
