package ingress

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"hitchspring/internal/discovery"
)

const (
	// Commands to a backend stop this soon after discovery can be reached and has
	// the change.
	stopsWithin = 2 * time.Second
	// The same for many instances that move to one discovery: they begin there
	// within 2 s of one another.
	stopsWithinAtMove = 3 * time.Second
	// The same if the watches of many end: they come back within 4 s.
	stopsWithinAtReturn = 5 * time.Second
	// The same for many instances that poll, after a call that failed.
	stopsWithinAfterFailure = 6 * time.Second
	// A backend is observed for this long after that.
	observationTime = 500 * time.Millisecond

	loadClients  = 6
	loadPause    = 3 * time.Millisecond
	agentRevives = 700 * time.Millisecond
)

// discoveryAgent is a stand-in of discovery whose calls a test answers one by
// one: list is for a poll, watch for the nth watch, from 1.
type discoveryAgent struct {
	addr    string
	mu      sync.Mutex
	watches int
	list    func(w http.ResponseWriter, r *http.Request)
	watch   func(n int, w http.ResponseWriter, r *http.Request)
}

func newDiscoveryAgent(
	t testing.TB,
	list func(http.ResponseWriter, *http.Request),
	watch func(int, http.ResponseWriter, *http.Request),
) *discoveryAgent {
	t.Helper()
	a := &discoveryAgent{list: list, watch: watch}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("follow") == "" {
			a.list(w, r)
			return
		}
		a.mu.Lock()
		a.watches++
		n := a.watches
		a.mu.Unlock()
		a.watch(n, w, r)
	}))
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	a.addr = s.Listener.Addr().String()
	return a
}

// registryOf is an agent of one list whose watch stays open, and begins with
// the list if the caller holds another revision.
func registryOf(t testing.TB, list discovery.List) (addr string) {
	t.Helper()
	return newDiscoveryAgent(t, serveList(list), func(_ int, w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("since") != fmt.Sprint(list.Rev) {
			serveList(list)(w, r)
		}
		keepWatchOpen(w, r)
	}).addr
}

// serveList answers a call with a list.
func serveList(list discovery.List) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(list)
		w.(http.Flusher).Flush()
	}
}

// keepWatchOpen keeps a watch open, with an empty line now and then.
func keepWatchOpen(w http.ResponseWriter, r *http.Request) {
	w.(http.Flusher).Flush()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(time.Second):
			io.WriteString(w, "\n")
			w.(http.Flusher).Flush()
		}
	}
}

// withFirstBackend returns a list with another revision and another state of
// its first backend, or without it if state is empty.
func withFirstBackend(list discovery.List, rev int64, state string) discovery.List {
	out := discovery.List{Rev: rev, Complete: true}
	for n, target := range list.Targets {
		if n == 0 {
			target.State = state
		}
		if target.State != "" {
			out.Targets = append(out.Targets, target)
		}
	}
	return out
}

// startLoad sends requests without a pause, from several clients, until the
// test ends. Each is to be served.
func startLoad(t *testing.T, addr string) {
	t.Helper()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range loadClients {
		nc, in := dial(t, addr)
		clients.Go(func() {
			for id := 1 + n<<20; ; id++ {
				select {
				case <-stop:
					return
				case <-time.After(loadPause):
				}
				io.WriteString(nc, encodeRead(id, readFields))
				head, err := in.ReadString('\n')
				if err == nil && strings.HasPrefix(head, "$") {
					_, err = in.ReadString('\n')
				}
				if err != nil || !strings.HasPrefix(head, "$") {
					t.Errorf("a client was answered %q, %v", head, err)
					return
				}
			}
		})
	}
	t.Cleanup(func() {
		close(stop)
		clients.Wait()
	})
}

// SIGHUP moves discovery while a backend drains, and lists come in the worst
// ways that the platform allows. From 2 s after the change could be known,
// nothing new reaches the backend that drains or is unlisted, though it still
// answers; its idle connections are closed; all clients are served by the
// others, queued ones too.
func TestReloadWhileBackendDrains(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		state   string // of the first backend by the new list; "": left out
		to      func(t *testing.T, list discovery.List, state string) (addr string)
		reached time.Duration // after the move, when the new address answers first
		failed  bool          // a call failed or was silent: many instances pace their next ones
	}{
		"complete list with the drain":            {state: "DRAINING", to: listed},
		"complete list without the backend":       {to: listed},
		"complete list on the watch alone":        {to: listedOnWatch},
		"complete list after the new watch ended": {failed: true, to: listedAfterEndedWatch},
		"complete list after a silence":           {failed: true, to: listedAfterSilence, reached: agentRevives},
	} {
		for _, many := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, many %v", name, many), func(t *testing.T) {
				t.Parallel()
				drains, stays := newObservedBackend(t, nil), newObservedBackend(t, nil)
				list := fleetOf(drains.addr, stays.addr)
				list.Rev = 5
				addr, instance := startInstance(t, reloadConfig(registryOf(t, list), list, many))
				startLoad(t, addr)
				awaitLoad(t, drains)
				to := c.to(t, list, c.state)
				moved := time.Now()
				instance.SetAddresses(to, "")
				within := stopsWithin
				switch {
				case many && c.failed:
					within = stopsWithinAfterFailure
				case many:
					within = stopsWithinAtMove
				}
				nothingMoreAt(t, drains, moved.Add(c.reached), within)
			})
		}
	}
}

// listedOnWatch is an agent that has the change on its watch, and answers no poll.
func listedOnWatch(t *testing.T, list discovery.List, state string) string {
	t.Helper()
	return newDiscoveryAgent(t, unavailable, func(_ int, w http.ResponseWriter, r *http.Request) {
		serveList(withFirstBackend(list, 6, state))(w, r)
		keepWatchOpen(w, r)
	}).addr
}

// listedAfterEndedWatch is one whose first watch ends without the change.
func listedAfterEndedWatch(t *testing.T, list discovery.List, state string) string {
	t.Helper()
	return newDiscoveryAgent(t, unavailable, func(n int, w http.ResponseWriter, r *http.Request) {
		if n > 1 {
			serveList(withFirstBackend(list, 6, state))(w, r)
			keepWatchOpen(w, r)
		}
	}).addr
}

// listedAfterSilence is one that accepts calls, and answers those that come from
// agentRevives on.
func listedAfterSilence(t *testing.T, list discovery.List, state string) string {
	t.Helper()
	began := time.Now()
	hang := func(r *http.Request) bool {
		if time.Since(began) < agentRevives {
			<-r.Context().Done()
			return true
		}
		return false
	}
	return newDiscoveryAgent(t, func(w http.ResponseWriter, r *http.Request) {
		if !hang(r) {
			serveList(withFirstBackend(list, 6, state))(w, r)
		}
	}, func(_ int, w http.ResponseWriter, r *http.Request) {
		if !hang(r) {
			serveList(withFirstBackend(list, 6, state))(w, r)
			keepWatchOpen(w, r)
		}
	}).addr
}

// reloadConfig is of an ingress alone, or of one of 24 instances that poll one
// discovery.
func reloadConfig(discoveryAddr string, known discovery.List, many bool) Config {
	cfg := testConfig(discoveryAddr, known)
	cfg.Settings.MaxAttempts, cfg.Settings.MayProbe = 3, true
	if many {
		cfg.Settings.Instances, cfg.Settings.PollEndpoints = 24, true
	}
	return cfg
}

// A watch that ends is followed by a complete list without a backend, or in
// which it drains. The change counts as known from then on.
func TestCompleteListAfterEndedWatch(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ last, state string }{
		{"", ""},
		{"", "DRAINING"},
		{`{"rev":6,"all":true,"tar`, ""}, // the watch ends within a list
	} {
		for _, many := range []bool{false, true} { // instances that share what discovery can do
			t.Run(fmt.Sprintf("last word %q, state %q, many %v", c.last, c.state, many), func(t *testing.T) {
				t.Parallel()
				drains, stays := newObservedBackend(t, nil), newObservedBackend(t, nil)
				list := fleetOf(drains.addr, stays.addr)
				list.Rev = 5
				end := make(chan struct{})
				a := newDiscoveryAgent(t, serveList(list), func(n int, w http.ResponseWriter, r *http.Request) {
					w.(http.Flusher).Flush()
					if n == 1 {
						io.WriteString(w, "\n")
						w.(http.Flusher).Flush()
						<-end
						io.WriteString(w, c.last)
						return
					}
					serveList(withFirstBackend(list, 6, c.state))(w, r)
					keepWatchOpen(w, r)
				})
				addr, _ := startIngress(t, reloadConfig(a.addr, list, many))
				startLoad(t, addr)
				awaitLoad(t, drains)
				eventually(t, 5*time.Second, "the watch is open", func() bool {
					a.mu.Lock()
					defer a.mu.Unlock()
					return a.watches == 1
				})
				ended := time.Now()
				close(end)
				within := stopsWithin
				if many {
					within = stopsWithinAtReturn
				}
				nothingMoreAt(t, drains, ended, within)
			})
		}
	}
}

// A drain that is known holds over a move to an agent that is behind: an older
// list, although complete, revives no backend.
func TestReloadToOlderListRevivesNoBackend(t *testing.T) {
	t.Parallel()
	drains, stays := newObservedBackend(t, nil), newObservedBackend(t, nil)
	list := fleetOf(drains.addr, stays.addr)
	list.Rev = 5
	from := newDiscoveryAgent(t, serveList(withFirstBackend(list, 6, "DRAINING")),
		func(_ int, w http.ResponseWriter, r *http.Request) { keepWatchOpen(w, r) })
	addr, instance := startInstance(t, reloadConfig(from.addr, list, false))
	knownAt := time.Now()
	startLoad(t, addr)
	time.Sleep(observationTime)
	instance.SetAddresses(registryOf(t, list), "") // revision 5, in which it serves
	nothingMoreAt(t, drains, knownAt, stopsWithin)
}

// Attempts at a backend that a complete list leaves out complete there, and
// their answers reach the clients; then the connections to it are closed. If it
// is listed again later, it is used again.
func TestUnlistedBackendCompletesItsWork(t *testing.T) {
	t.Parallel()
	const running, firstID = 3, 1 << 30 // requests that it works on; they are unsafe
	unsafe := strings.Replace(readFields, "c=read", "c=write", 1)
	release := make(chan struct{})
	leaves := newObservedBackend(t, func(n int) string {
		if n <= running {
			<-release
		}
		return servedReply
	})
	stays := newObservedBackend(t, nil)
	list := fleetOf(leaves.addr)
	changes := make(chan discovery.List)
	a := newDiscoveryAgent(t, serveList(list), func(_ int, w http.ResponseWriter, r *http.Request) {
		w.(http.Flusher).Flush()
		for {
			select {
			case <-r.Context().Done():
				return
			case l := <-changes:
				serveList(l)(w, r)
			}
		}
	})
	addr, instance := startInstance(t, reloadConfig(a.addr, list, false))
	waiting, in := dial(t, addr)
	for id := range running {
		io.WriteString(waiting, encodeCommand("Q.DO", "00000000b4d65521", fmt.Sprintf("%016x", firstID+id), unsafe))
	}
	eventually(t, 5*time.Second, "it works on them", func() bool {
		n, _ := leaves.commands()
		return n == running
	})
	both := fleetOf(leaves.addr, stays.addr)
	changes <- withFirstBackend(both, 2, "")
	startLoad(t, addr)
	awaitLoad(t, stays) // the change is known
	before, _ := leaves.commands()
	time.Sleep(observationTime)
	if n, _ := leaves.commands(); n > before {
		t.Errorf("%d commands came after the list", n-before)
	}
	close(release)
	for range running {
		requireValue(t, in)
	}
	eventually(t, 2*time.Second, "its connections are closed", func() bool {
		return leaves.connections() == 0
	})
	if n := instance.core.Metrics().OpenRequests(); n > loadClients {
		t.Errorf("%d requests are open", n)
	}
	changes <- withFirstBackend(both, 3, "SERVING")
	eventually(t, 5*time.Second, "it is used again", func() bool {
		n, _ := leaves.commands()
		return n > before
	})
}

// listed is an agent that has the change and answers each call with it.
func listed(t *testing.T, list discovery.List, state string) (addr string) {
	return registryOf(t, withFirstBackend(list, 6, state))
}

// unavailable answers 503.
func unavailable(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusServiceUnavailable)
}

// awaitLoad waits until a backend is busy.
func awaitLoad(t *testing.T, n *observedBackend) {
	t.Helper()
	eventually(t, 10*time.Second, "the backend is used", func() bool {
		number, _ := n.commands()
		return number > 20
	})
}

// nothingMoreAt waits until a change counts as known and then for
// observationTime, and reports commands that a backend got after that, and
// connections to it that are still open.
func nothingMoreAt(t *testing.T, n *observedBackend, reachable time.Time, within time.Duration) {
	t.Helper()
	time.Sleep(time.Until(reachable.Add(within + observationTime)))
	_, last := n.commands()
	if last.IsZero() {
		last = reachable
	}
	t.Logf("the last command came %v after the change could be known", last.Sub(reachable).Round(time.Millisecond))
	if late := last.Sub(reachable); late > within {
		t.Errorf("a command came %v after the change could be known, want %v at the most", late, within)
	}
	if open := n.connections(); open > 0 {
		t.Errorf("%d connections to it are open still", open)
	}
}
