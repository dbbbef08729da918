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
	stopsWithin             = 2 * time.Second        // of the moment in which discovery could be reached and had the change: nothing new is sent then
	stopsWithinAtMove       = 3 * time.Second        // the same for many instances that move to one discovery: they begin there within 2 s of one another
	stopsWithinAtReturn     = 5 * time.Second        // and where the watches of many end: they come back within 4 s
	stopsWithinAfterFailure = 6 * time.Second        // the same for many instances that ask, where a call failed before
	observationTime         = 500 * time.Millisecond // that is looked on after that
	loadClients             = 6
	loadPause               = 3 * time.Millisecond
	agentRevives            = 700 * time.Millisecond
)

// agent is a stand-in of discovery whose calls a test answers one by one: list is for a whole list, watch for the nth watch, from 1.
type discoveryAgent struct {
	addr    string
	mu      sync.Mutex
	watches int
	list    func(w http.ResponseWriter, r *http.Request)
	watch   func(n int, w http.ResponseWriter, r *http.Request)
}

func newDiscoveryAgent(t testing.TB, list func(http.ResponseWriter, *http.Request), watch func(int, http.ResponseWriter, *http.Request)) *discoveryAgent {
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

// registryOf is an agent of one list whose watch stays open, and begins with the list where the caller holds another revision.
func registryOf(t testing.TB, list discovery.List) (addr string) {
	t.Helper()
	return newDiscoveryAgent(t, serveList(list), func(_ int, w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("since") != fmt.Sprint(list.Rev) {
			serveList(list)(w, r)
		}
		keepWatchOpen(w, r)
	}).addr
}

// tell answers a call with a list.
func serveList(list discovery.List) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(list)
		w.(http.Flusher).Flush()
	}
}

// stay keeps a watch open, with an empty line now and then.
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

// with is a list with another revision and another state of its first node; "" leaves that out.
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

// load asks without a pause, from several clients, until the test ends; each request is to be served.
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

// SIGHUP moves discovery while a backend drains, and lists come in the worst ways that the platform allows. From 2 s after the change could be
// told nothing new reaches the backend that drains or is left out, though it still answers; its idle connections are closed; all clients are
// served by the others, and those that wait at it too.
func TestReloadWhileBackendDrains(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		state   string // of the first backend by the new list; "": left out
		to      func(t *testing.T, list discovery.List, state string) (addr string)
		reached time.Duration // after the move, when the new address answers first
		failed  bool          // a call failed or was silent: many instances pace their next ones
	}{
		"a whole list says that it drains": {state: "DRAINING", to: listed},
		"a whole list leaves it out":       {to: listed},
		"a whole list on the watch alone": {to: func(t *testing.T, list discovery.List, state string) string {
			return newDiscoveryAgent(t, unavailable, func(_ int, w http.ResponseWriter, r *http.Request) {
				serveList(withFirstBackend(list, 6, state))(w, r)
				keepWatchOpen(w, r)
			}).addr
		}},
		"the new watch ends, then a whole list": {failed: true, to: func(t *testing.T, list discovery.List, state string) string {
			return newDiscoveryAgent(t, unavailable, func(n int, w http.ResponseWriter, r *http.Request) {
				if n > 1 {
					serveList(withFirstBackend(list, 6, state))(w, r)
					keepWatchOpen(w, r)
				}
			}).addr
		}},
		"the new address takes calls and says nothing at first": {reached: agentRevives, failed: true, to: func(t *testing.T, list discovery.List, state string) string {
			began := time.Now()
			hang := func(r *http.Request) bool { // a call of before the revival is never answered
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
		}},
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

// reloadConfig is of an ingress alone, or of one of 24 that ask one discovery.
func reloadConfig(discoveryAddr string, known discovery.List, many bool) Config {
	cfg := testConfig(discoveryAddr, known)
	cfg.Settings.MaxAttempts, cfg.Settings.MayProbe = 3, true
	if many {
		cfg.Settings.Instances, cfg.Settings.PollEndpoints = 24, true
	}
	return cfg
}

// A watch that ends is followed by a whole list that leaves a backend out, or by one that has it drain: it counts as told by that.
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

// A drain that was told holds over a move to an agent that is behind: an older list, whole, revives nobody.
func TestReloadToOlderListRevivesNoBackend(t *testing.T) {
	t.Parallel()
	drains, stays := newObservedBackend(t, nil), newObservedBackend(t, nil)
	list := fleetOf(drains.addr, stays.addr)
	list.Rev = 5
	from := newDiscoveryAgent(t, serveList(withFirstBackend(list, 6, "DRAINING")), func(_ int, w http.ResponseWriter, r *http.Request) { keepWatchOpen(w, r) })
	addr, instance := startInstance(t, reloadConfig(from.addr, list, false))
	told := time.Now()
	startLoad(t, addr)
	time.Sleep(observationTime)
	instance.SetAddresses(registryOf(t, list), "") // revision 5, in which it serves
	nothingMoreAt(t, drains, told, stopsWithin)
}

// What runs at a backend that a whole list leaves out ends there, and reaches its client; then the connections to it are closed. One that is
// listed again later is used again.
func TestUnlistedBackendCompletesItsWork(t *testing.T) {
	t.Parallel()
	const held, firstHeld = 3, 1 << 30 // requests that it works on; nobody else may do that again
	unsafe := strings.Replace(readFields, "c=read", "c=write", 1)
	release := make(chan struct{})
	leaves := newObservedBackend(t, func(n int) string {
		if n <= held {
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
	for id := range held {
		io.WriteString(waiting, encodeCommand("Q.DO", "00000000b4d65521", fmt.Sprintf("%016x", firstHeld+id), unsafe))
	}
	eventually(t, 5*time.Second, "it works on them", func() bool {
		n, _ := leaves.commands()
		return n == held
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
	for range held {
		requireValue(t, in)
	}
	eventually(t, 2*time.Second, "its connections are closed", func() bool { return leaves.connections() == 0 })
	if n := instance.core.Metrics().Current(); n > loadClients {
		t.Errorf("%d requests are open", n)
	}
	changes <- withFirstBackend(both, 3, "SERVING")
	eventually(t, 5*time.Second, "it is used again", func() bool {
		n, _ := leaves.commands()
		return n > before
	})
}

// listed is an agent that has the change and tells it on each call.
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

// nothingMoreAt waits until a change counts as told and a while on, and reports what still came at a backend after it, and connections that are
// open there still.
func nothingMoreAt(t *testing.T, n *observedBackend, reachable time.Time, within time.Duration) {
	t.Helper()
	time.Sleep(time.Until(reachable.Add(within + observationTime)))
	_, last := n.commands()
	if last.IsZero() {
		last = reachable
	}
	t.Logf("the last command came %v after the change could be told", last.Sub(reachable).Round(time.Millisecond))
	if late := last.Sub(reachable); late > within {
		t.Errorf("a command came %v after the change could be told, want %v at the most", late, within)
	}
	if open := n.connections(); open > 0 {
		t.Errorf("%d connections to it are open still", open)
	}
}
