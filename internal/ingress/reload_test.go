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
	// maxStopDelay is the maximum time from when discovery is reachable and has a
	// drain or removal of a backend until the last command to that backend.
	maxStopDelay = 2 * time.Second
	// maxStopDelayAfterMove is the same after many instances change to one discovery
	// agent: they spread their first requests over 2 s.
	maxStopDelayAfterMove = 3 * time.Second
	// maxStopDelayAfterWatchEnd is the same after the watches of many instances end:
	// they reconnect within 4 s.
	maxStopDelayAfterWatchEnd = 5 * time.Second
	// maxStopDelayAfterFailure is the same for many polling instances after a failed
	// request.
	maxStopDelayAfterFailure = 6 * time.Second
	// observationTime is how long a backend is observed after that.
	observationTime = 500 * time.Millisecond

	loadClients    = 6
	loadPause      = 3 * time.Millisecond
	initialSilence = 700 * time.Millisecond
)

// scriptedDiscovery is a stand-in for discovery. A test provides the handlers: list
// answers polls, watch answers the nth watch, from 1.
type scriptedDiscovery struct {
	addr    string
	mu      sync.Mutex
	watches int
	list    func(w http.ResponseWriter, r *http.Request)
	watch   func(n int, w http.ResponseWriter, r *http.Request)
}

func newScriptedDiscovery(
	t testing.TB,
	list func(http.ResponseWriter, *http.Request),
	watch func(int, http.ResponseWriter, *http.Request),
) *scriptedDiscovery {
	t.Helper()
	a := &scriptedDiscovery{list: list, watch: watch}
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

// startDiscovery starts a discovery stand-in that always has the same list. Its watch
// stays open, and begins with the list if the caller has another revision.
func startDiscovery(t testing.TB, list discovery.List) (addr string) {
	t.Helper()
	return newScriptedDiscovery(t, serveList(list), func(_ int, w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("since") != fmt.Sprint(list.Rev) {
			serveList(list)(w, r)
		}
		keepWatchOpen(w, r)
	}).addr
}

// serveList returns a handler that answers with a list.
func serveList(list discovery.List) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(list)
		w.(http.Flusher).Flush()
	}
}

// keepWatchOpen sends an empty line as a keepalive every second until the caller
// disconnects.
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

// withFirstBackendState returns a copy of list with another revision and the given
// state of its first backend, or without that backend if state is empty.
func withFirstBackendState(list discovery.List, rev int64, state string) discovery.List {
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

// startLoad sends requests from several clients until the test ends. Each request
// must be served.
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

// A reload changes discovery's address while a backend is drained or removed, and the
// new list arrives in the most awkward ways that the platform allows. From 2 s after
// the change is available, the backend must get no commands although it still answers
// (later with many instances), its connections must be closed, and all requests,
// queued ones included, must be served by the other backend.
func TestReloadWhileBackendDrains(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		state   string // of the first backend in the new list; "" removes it
		to      func(t *testing.T, list discovery.List, state string) (addr string)
		reached time.Duration // from the change of address until the new one answers
		failed  bool          // a request fails or gets no answer, so that many instances spread the next ones
	}{
		"complete list with the drain":            {state: "DRAINING", to: changeOnEveryCall},
		"complete list without the backend":       {to: changeOnEveryCall},
		"complete list on the watch alone":        {to: changeOnWatchOnly},
		"complete list after the new watch ended": {failed: true, to: changeAfterEndedWatch},
		"complete list after a silence":           {failed: true, to: changeAfterSilence, reached: initialSilence},
	} {
		for _, many := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, many %v", name, many), func(t *testing.T) {
				t.Parallel()
				draining, other := newObservedBackend(t, nil), newObservedBackend(t, nil)
				list := endpointList(draining.addr, other.addr)
				list.Rev = 5
				addr, instance := startInstance(t, reloadConfig(startDiscovery(t, list), list, many))
				startLoad(t, addr)
				awaitCommands(t, draining)
				to := c.to(t, list, c.state)
				moved := time.Now()
				instance.SetAddresses(to, "")
				within := maxStopDelay
				switch {
				case many && c.failed:
					within = maxStopDelayAfterFailure
				case many:
					within = maxStopDelayAfterMove
				}
				requireNoNewCommands(t, draining, moved.Add(c.reached), within)
			})
		}
	}
}

// changeOnWatchOnly starts a discovery stand-in that sends the change on watches and
// answers polls with an error.
func changeOnWatchOnly(t *testing.T, list discovery.List, state string) string {
	t.Helper()
	return newScriptedDiscovery(t, unavailable, func(_ int, w http.ResponseWriter, r *http.Request) {
		serveList(withFirstBackendState(list, 6, state))(w, r)
		keepWatchOpen(w, r)
	}).addr
}

// changeAfterEndedWatch starts a discovery stand-in whose first watch ends without
// the change. Later watches have it, and polls are answered with an error.
func changeAfterEndedWatch(t *testing.T, list discovery.List, state string) string {
	t.Helper()
	return newScriptedDiscovery(t, unavailable, func(n int, w http.ResponseWriter, r *http.Request) {
		if n > 1 {
			serveList(withFirstBackendState(list, 6, state))(w, r)
			keepWatchOpen(w, r)
		}
	}).addr
}

// changeAfterSilence starts a discovery stand-in that does not answer requests during
// the first initialSilence, and answers later ones with the change.
func changeAfterSilence(t *testing.T, list discovery.List, state string) string {
	t.Helper()
	began := time.Now()
	hang := func(r *http.Request) bool {
		if time.Since(began) < initialSilence {
			<-r.Context().Done()
			return true
		}
		return false
	}
	return newScriptedDiscovery(t, func(w http.ResponseWriter, r *http.Request) {
		if !hang(r) {
			serveList(withFirstBackendState(list, 6, state))(w, r)
		}
	}, func(_ int, w http.ResponseWriter, r *http.Request) {
		if !hang(r) {
			serveList(withFirstBackendState(list, 6, state))(w, r)
			keepWatchOpen(w, r)
		}
	}).addr
}

// reloadConfig returns the configuration of a single instance, or if many is set, of
// one of 24 instances that poll one discovery agent.
func reloadConfig(discoveryAddr string, known discovery.List, many bool) Config {
	cfg := testConfig(discoveryAddr, known)
	cfg.Settings.MaxAttempts, cfg.Settings.MayProbe = 3, true
	if many {
		cfg.Settings.Instances, cfg.Settings.PollEndpoints = 24, true
	}
	return cfg
}

// After a watch ends, the next one begins with a complete list in which a backend is
// missing or drains. The time limit for the change counts from the end of the watch.
func TestCompleteListAfterEndedWatch(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ last, state string }{
		{"", ""},
		{"", "DRAINING"},
		{`{"rev":6,"all":true,"tar`, ""}, // the watch ends within a list
	} {
		for _, many := range []bool{false, true} { // whether many instances share one discovery agent
			t.Run(fmt.Sprintf("last bytes %q, state %q, many %v", c.last, c.state, many), func(t *testing.T) {
				t.Parallel()
				draining, other := newObservedBackend(t, nil), newObservedBackend(t, nil)
				list := endpointList(draining.addr, other.addr)
				list.Rev = 5
				end := make(chan struct{})
				a := newScriptedDiscovery(t, serveList(list), func(n int, w http.ResponseWriter, r *http.Request) {
					w.(http.Flusher).Flush()
					if n == 1 {
						io.WriteString(w, "\n")
						w.(http.Flusher).Flush()
						<-end
						io.WriteString(w, c.last)
						return
					}
					serveList(withFirstBackendState(list, 6, c.state))(w, r)
					keepWatchOpen(w, r)
				})
				addr, _ := startIngress(t, reloadConfig(a.addr, list, many))
				startLoad(t, addr)
				awaitCommands(t, draining)
				eventually(t, 5*time.Second, "the watch is open", func() bool {
					a.mu.Lock()
					defer a.mu.Unlock()
					return a.watches == 1
				})
				ended := time.Now()
				close(end)
				within := maxStopDelay
				if many {
					within = maxStopDelayAfterWatchEnd
				}
				requireNoNewCommands(t, draining, ended, within)
			})
		}
	}
}

// A known drain holds when discovery's address changes to an agent with an older
// revision: its list, although complete, does not put the backend back into use.
func TestReloadToOlderListKeepsDrain(t *testing.T) {
	t.Parallel()
	draining, other := newObservedBackend(t, nil), newObservedBackend(t, nil)
	list := endpointList(draining.addr, other.addr)
	list.Rev = 5
	from := newScriptedDiscovery(t, serveList(withFirstBackendState(list, 6, "DRAINING")),
		func(_ int, w http.ResponseWriter, r *http.Request) { keepWatchOpen(w, r) })
	addr, instance := startInstance(t, reloadConfig(from.addr, list, false))
	knownAt := time.Now()
	startLoad(t, addr)
	time.Sleep(observationTime)
	instance.SetAddresses(startDiscovery(t, list), "") // revision 5, in which it serves
	requireNoNewCommands(t, draining, knownAt, maxStopDelay)
}

// Attempts in flight at a backend that is missing from a complete list still end
// there, and clients get their answers; then the connections to it are closed. If the
// backend is listed again later, it is used again.
func TestUnlistedBackendCompletesItsRequests(t *testing.T) {
	t.Parallel()
	const running, firstID = 3, 1 << 30 // number and first id of the unsafe requests in flight
	unsafe := strings.Replace(readFields, "c=read", "c=write", 1)
	release := make(chan struct{})
	unlisted := newObservedBackend(t, func(n int) string {
		if n <= running {
			<-release
		}
		return servedReply
	})
	other := newObservedBackend(t, nil)
	list := endpointList(unlisted.addr)
	changes := make(chan discovery.List)
	a := newScriptedDiscovery(t, serveList(list), func(_ int, w http.ResponseWriter, r *http.Request) {
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
	eventually(t, 5*time.Second, "the backend has received them", func() bool {
		n, _ := unlisted.commands()
		return n == running
	})
	both := endpointList(unlisted.addr, other.addr)
	changes <- withFirstBackendState(both, 2, "")
	startLoad(t, addr)
	awaitCommands(t, other) // then the change has been applied
	before, _ := unlisted.commands()
	time.Sleep(observationTime)
	if n, _ := unlisted.commands(); n > before {
		t.Errorf("%d commands arrived at the unlisted backend", n-before)
	}
	close(release)
	for range running {
		requireValue(t, in)
	}
	eventually(t, 2*time.Second, "its connections are closed", func() bool {
		return unlisted.connections() == 0
	})
	if n := instance.core.Metrics().OpenRequests(); n > loadClients {
		t.Errorf("%d requests are open", n)
	}
	changes <- withFirstBackendState(both, 3, "SERVING")
	eventually(t, 5*time.Second, "the backend is used again", func() bool {
		n, _ := unlisted.commands()
		return n > before
	})
}

// changeOnEveryCall starts a discovery stand-in that answers polls and watches with
// the change.
func changeOnEveryCall(t *testing.T, list discovery.List, state string) (addr string) {
	return startDiscovery(t, withFirstBackendState(list, 6, state))
}

// unavailable is a handler that answers with status 503.
func unavailable(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusServiceUnavailable)
}

// awaitCommands waits until a backend has received more than 20 commands.
func awaitCommands(t *testing.T, backend *observedBackend) {
	t.Helper()
	eventually(t, 10*time.Second, "the backend is used", func() bool {
		number, _ := backend.commands()
		return number > 20
	})
}

// requireNoNewCommands waits for within and observationTime from reachable, the time
// from which the change was available. It fails the test if the backend got commands
// later than within, or if connections to it are still open.
func requireNoNewCommands(t *testing.T, backend *observedBackend, reachable time.Time, within time.Duration) {
	t.Helper()
	time.Sleep(time.Until(reachable.Add(within + observationTime)))
	_, last := backend.commands()
	if last.IsZero() {
		last = reachable
	}
	t.Logf("the last command arrived %v after the change was available", last.Sub(reachable).Round(time.Millisecond))
	if late := last.Sub(reachable); late > within {
		t.Errorf("a command arrived %v after the change was available, want %v at most", late, within)
	}
	if open := backend.connections(); open > 0 {
		t.Errorf("%d connections to the backend are still open", open)
	}
}
