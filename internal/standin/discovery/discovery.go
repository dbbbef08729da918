// Package discovery is a stand-in for the platform's registry: a list of nodes and a watch on it over HTTP, by an agent
// for each instance that learns of changes late. Its observer records when each agent wrote what to its instance.
package discovery

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Target is one node of the list.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"` // SERVING, DRAINING or, among changes, DELETED
	Capacity float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`

	Endpoints []string `json:"-"` // by agent, where each instance has an address of its own for the node
}

type list struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
}

// Told is one entry as it was written to an instance.
type Notification struct {
	At         time.Duration
	Agent      int
	UID, State string
}

// Asked is one request of an instance, whether or not it was answered.
type Poll struct {
	At    time.Duration
	Agent int
	Watch bool
	Since string
	Mute  bool // the agent was silent then
}

// Registry is the list, and the agents that tell it.
type Registry struct {
	clock       func() time.Duration
	least, most time.Duration // how late a change reaches an agent
	ctx         context.Context
	stop        context.CancelFunc
	wg          sync.WaitGroup

	mu     sync.Mutex // of all below
	rng    *rand.Rand
	rev    int64
	agents []*agent
	told   []Notification
	learnt []Notification // by agents, whether or not they have told it
	asked  []Poll
}

type agent struct {
	r     *Registry
	n     int
	addr  string
	srv   *http.Server
	rev   int64
	known map[string]Target
	by    map[string]int64 // revision of what it last learned of each
	news  chan struct{}    // closed and made anew with each change
	mute  bool             // says nothing, and answers nothing
	queue                  // of calls
}

const emptyLine = 2 * time.Second

// New returns a registry whose changes reach each agent between least and most late.
func New(seed uint64, clock func() time.Duration, least, most time.Duration) *Registry {
	ctx, stop := context.WithCancel(context.Background())
	return &Registry{clock: clock, least: least, most: most, ctx: ctx, stop: stop, rng: rand.New(rand.NewPCG(seed, 11)), rev: 1}
}

// Agent starts a further agent and returns its address; it knows nothing yet but what is told with Set from then on,
// and what the agents before it know.
func (r *Registry) Agent() (addr string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("discovery stand-in: %w", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	a := &agent{r: r, n: len(r.agents), addr: ln.Addr().String(), rev: r.rev, known: map[string]Target{}, by: map[string]int64{}, news: make(chan struct{})}
	if len(r.agents) > 0 {
		for k, t := range r.agents[0].known {
			if a.n < len(t.Endpoints) {
				t.Endpoint = t.Endpoints[a.n]
			}
			a.known[k] = t
		}
	}
	a.srv = &http.Server{
		Handler: http.HandlerFunc(a.serve), ReadHeaderTimeout: 5 * time.Second,
		BaseContext: func(net.Listener) context.Context { return r.ctx },
	}
	r.agents = append(r.agents, a)
	r.wg.Go(func() {
		if err := a.srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			panic(err) // the listener is ours alone
		}
	})
	return a.addr, nil
}

// Close ends all agents.
func (r *Registry) Close() {
	r.stop()
	r.mu.Lock()
	for _, a := range r.agents {
		a.srv.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

// Set changes an entry. Each agent learns of it late, all within a tenth of the span from least to most, or at once where
// now is set. What is older than what an agent knows of an entry changes nothing.
func (r *Registry) Set(t Target, now bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rev++
	rev := r.rev
	spread := (r.most - r.least) / 10
	base := r.least + time.Duration(r.rng.Float64()*float64(r.most-r.least-spread))
	for _, a := range r.agents {
		if now {
			a.learn(rev, t)
			continue
		}
		late := base + time.Duration(r.rng.Float64()*float64(spread))
		r.wg.Go(func() {
			timer := time.NewTimer(late)
			defer timer.Stop()
			select {
			case <-r.ctx.Done():
			case <-timer.C:
				r.mu.Lock()
				defer r.mu.Unlock()
				a.learn(rev, t)
			}
		})
	}
}

// Mute makes an agent silent, or ends that.
func (r *Registry) Mute(agent int, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.agents[agent].mute = on
}

// Asked returns what the instances asked so far.
func (r *Registry) Polls() []Poll {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.asked)
}

// Told returns what was written to the instances so far.
func (r *Registry) Notifications() []Notification {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.told)
}

// Learnt returns what the agents have learnt so far, whether or not they have told it.
func (r *Registry) Versions() []Notification {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.learnt)
}

func (a *agent) learn(rev int64, t Target) {
	if rev < a.by[t.UID] {
		return
	}
	a.rev, a.by[t.UID] = max(a.rev, rev), rev
	a.r.learnt = append(a.r.learnt, Notification{a.r.clock(), a.n, t.UID, t.State})
	if a.n < len(t.Endpoints) {
		t.Endpoint = t.Endpoints[a.n]
	}
	if t.State == "DELETED" {
		delete(a.known, t.UID)
	} else {
		a.known[t.UID] = t
	}
	close(a.news)
	a.news = make(chan struct{})
}

// look returns the whole list, and what closes when it changes.
func (a *agent) look() (l list, news chan struct{}, mute bool) {
	a.r.mu.Lock()
	defer a.r.mu.Unlock()
	l = list{Rev: a.rev, All: true, Targets: []Target{}}
	for _, t := range a.known {
		l.Targets = append(l.Targets, t)
	}
	slices.SortFunc(l.Targets, func(x, y Target) int { return cmp.Compare(x.UID, y.UID) })
	return l, a.news, a.mute
}

// note records what a list told that the one before had not. An instance cannot have known before the write began (from),
// and surely knows only when it has ended: that a node serves counts from the former, that it does not from the latter.
func (a *agent) note(before, l list, from time.Duration) {
	a.r.mu.Lock()
	defer a.r.mu.Unlock()
	at := a.r.clock()
	was := map[string]string{}
	for _, t := range before.Targets {
		was[t.UID] = t.State
	}
	for _, t := range l.Targets {
		if was[t.UID] != t.State {
			when := at
			if t.State == "SERVING" {
				when = from
			}
			a.r.told = append(a.r.told, Notification{when, a.n, t.UID, t.State})
		}
		delete(was, t.UID)
	}
	for uid := range was {
		a.r.told = append(a.r.told, Notification{at, a.n, uid, "DELETED"})
	}
}

func (a *agent) serve(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != "/registry/instances" {
		http.NotFound(w, req)
		return
	}
	out := json.NewEncoder(w)
	l, news, mute := a.look()
	a.r.mu.Lock()
	a.r.asked = append(a.r.asked, Poll{a.r.clock(), a.n, req.URL.Query().Get("follow") != "", req.URL.Query().Get("since"), mute})
	a.r.mu.Unlock()
	if mute {
		<-req.Context().Done()
		return
	}
	if !a.takeCall(req.Context(), w) {
		return
	}
	if req.URL.Query().Get("follow") == "" {
		if from := a.r.clock(); out.Encode(l) == nil {
			a.note(list{}, l, from)
		}
		return
	}
	since, _ := strconv.ParseInt(req.URL.Query().Get("since"), 10, 64)
	tick := time.NewTicker(emptyLine)
	defer tick.Stop()
	flush := http.NewResponseController(w).Flush
	var before list
	for first := true; ; first = false {
		if l.Rev != since || !first {
			from := a.r.clock()
			if out.Encode(l) != nil || flush() != nil {
				return
			}
			a.note(before, l, from)
			before = l
		} else if flush() != nil {
			return
		}
		for changed := false; !changed; {
			select {
			case <-req.Context().Done():
				return
			case <-tick.C:
				if a.muted() {
					continue
				}
				if _, err := w.Write([]byte("\n")); err != nil || flush() != nil {
					return
				}
			case <-news:
				changed = true
			}
		}
		l, news, mute = a.look()
		a.breakIfFailing()
		if mute { // a watch that fell silent stays so
			<-req.Context().Done()
			return
		}
	}
}
