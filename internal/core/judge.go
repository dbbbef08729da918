package core

import (
	"maps"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"hitchspring/internal/gossip"
	"hitchspring/internal/outlier"
	"hitchspring/policy"
)

const (
	judgeEvery  = 50 * time.Millisecond  // own evidence is looked at, told, and others' is weighed
	weighAgain  = 500 * time.Millisecond // where nothing new came: evidence ages
	nodesShown  = 250 * time.Millisecond
	blameLogged = 2.0 // slowness by others' word from which on a line says so
)

// Peers is other instances, as the core needs them. None of its methods may wait for I/O.
type Peers interface {
	// Tell states a fact of this instance's own, seen at a time of the core's clock.
	Publish(kind, subject string, born time.Duration, data []byte)
	// Facts are all that are held of a kind, with the halls of their owners.
	Facts(kind string) (facts []gossip.Fact, halls map[string]string)
	// Version changes when the facts have.
	Version() uint64
	// Name is this instance's, as an owner of facts.
	Name() string
}

// judgements is what is believed of nodes by this instance's own evidence and by others' word. The loop's alone, but for shown.
type judgements struct {
	peers   Peers
	cfg     outlier.Config
	sight   *outlier.LocalDetector
	teller  *outlier.Publisher
	fader   *outlier.Decay
	trials  *outlier.Probation
	starts  map[policy.BackendID]time.Duration
	version uint64
	weighed time.Duration
	heard   map[policy.BackendID][]outlier.PeerObservation
	force   map[policy.BackendID]float64 // slowness by others' word, as the module has it
	blamed  map[policy.BackendID]bool    // of which a line was written
	held    bool                         // blames are lifted, for there are too many
	strange int                          // words that no instance can have meant
	shown   atomic.Pointer[BackendsStatus]
	showAt  time.Duration
}

// NodesStatus is what is believed of nodes, and from whom.
type BackendsStatus struct {
	EjectionsLifted bool            `json:"Lifted"`  // too many nodes are blamed at once: nobody's word counts
	Unreadable      int             `json:"Strange"` // words that could not be read
	Backends        []BackendStatus `json:"Nodes"`
}

// NodeStatus is one node of which something is known or told.
type BackendStatus struct {
	Backend      policy.BackendID `json:"Node"`
	Good         float64          `json:"Good"`
	Bad          float64          `json:"Bad"`  // this instance's own evidence
	OwnCause     string           `json:"Own"`  // what speaks against it here
	PeerSlowness float64          `json:"Told"` // times the usual latency that others' word makes it; 1: nothing
	Cause        string           `json:"Cause"`
	Reporters    []string         `json:"Accusers"`
	Defenders    []string         `json:"Defence"` // "" is this instance
	Reason       string           `json:"Why"`
	AgeMS        int64            `json:"AgeMS"`
	Reports      []PeerReport     `json:"Words"`
}

// Word is what one other instance says.
type PeerReport struct {
	Owner string  `json:"Owner"`
	Zone  string  `json:"Hall"`
	Cause string  `json:"Cause"`
	Good  float64 `json:"Good"`
	Bad   float64 `json:"Bad"`
	AgeMS int64   `json:"AgeMS"`
}

// longAims is as in the module: half of a server's slowness is forgotten in so many longest aims.
const longAims = 8

func newJudgements(cfg Config) *judgements {
	longest := time.Duration(0)
	for _, c := range cfg.Settings.Classes {
		longest = max(longest, c.LatencyObjective)
	}
	return &judgements{
		peers: cfg.Peers, cfg: outlier.Config{Zone: cfg.Settings.Zone, HalfLife: longAims * longest}, sight: outlier.NewLocalDetector(), teller: outlier.NewPublisher(),
		fader: outlier.NewDecay(rand.New(rand.NewPCG(cfg.Seed, 41))), trials: outlier.NewProbation(rand.New(rand.NewPCG(cfg.Seed, 43)), cfg.Settings.Instances),
		starts: map[policy.BackendID]time.Duration{}, blamed: map[policy.BackendID]bool{},
	}
}

// listJudged hands on which starts of nodes there are.
func (g *Core) listJudged() {
	j := g.judged
	clear(j.starts)
	g.ops.mu.Lock()
	for id, t := range g.ops.listed {
		if s := g.ops.book.Apply(t.Server()); s.State != policy.Gone {
			j.starts[id] = s.Started
		}
	}
	g.ops.mu.Unlock()
	j.sight.SetBackends(j.starts)
	j.version = 0 // what others tell may be of a start that was not listed until now
}

// weighNow has others' word taken in before what comes after it.
type weighNow struct{}

// Weigh takes in what others have told so far, before any request that is submitted later.
func (g *Core) AssessBackends() { g.post(weighNow{}) }

// judge looks at nodes, and does so again and again.
func (g *Core) judge() {
	g.after(judgeEvery, g.judge)
	g.lookAtNodes()
}

func (g *Core) lookAtNodes() {
	j := g.judged
	j.sight.Tick(g.now)
	if v := j.peers.Version(); v != j.version {
		j.version = v
		j.read()
		j.weighed = 0
	}
	// Most nodes are fine, and nobody speaks of them: looking at all was half of what judging took (a profile of 36 processes).
	own := j.sight.Observations(g.now, func(id policy.BackendID) bool { return len(j.heard[id]) > 0 || j.teller.HasPublished(id) })
	accused := map[policy.BackendID]time.Duration{}
	for _, o := range own {
		for _, w := range j.heard[o.Backend] {
			if w.IsAdverse() && w.Onset < o.LastGood {
				accused[o.Backend] = max(accused[o.Backend], w.Onset)
			}
		}
	}
	for _, o := range j.teller.Select(g.now, own, accused) {
		j.peers.Publish(outlier.FactKind, string(o.Backend), o.ObservedAt(), o.Encode())
	}
	if g.now-j.weighed >= weighAgain || len(j.force) > 0 {
		j.weighed = g.now
		g.weigh(own)
	}
}

// read takes over what others tell.
func (j *judgements) read() {
	facts, halls := j.peers.Facts(outlier.FactKind)
	j.heard = map[policy.BackendID][]outlier.PeerObservation{}
	for _, f := range facts {
		if f.Owner == j.peers.Name() {
			continue
		}
		o, err := outlier.Decode(f.Subject, f.ObservedAt, f.Data)
		if err != nil {
			j.strange++
			continue
		}
		if start, there := j.starts[o.Backend]; there && start.Milliseconds() == o.Started.Milliseconds() { // of this start of it
			j.heard[o.Backend] = append(j.heard[o.Backend], outlier.PeerObservation{Owner: f.Owner, Zone: halls[f.Owner], Observation: o})
		}
	}
}

// weigh comes to a verdict on each node that others speak of, and lets the module know.
func (g *Core) weigh(own []outlier.Observation) {
	j := g.judged
	mine := map[policy.BackendID]outlier.Observation{}
	for _, o := range own {
		mine[o.Backend] = o
	}
	var verdicts []outlier.Assessment
	for id, words := range j.heard {
		o := mine[id]
		o.Backend = id
		verdicts = append(verdicts, outlier.Assess(g.now, j.cfg, o, words))
	}
	lifted := outlier.LimitEjections(verdicts, len(j.starts))
	if lifted != j.held {
		j.held = lifted
		g.log.Warn("others' word on nodes", "counts", !lifted, "nodes", len(verdicts), "listed", len(j.starts))
	}
	before := len(j.force)
	j.force = j.fader.Apply(g.now, verdicts)
	if before > 0 || len(j.force) > 0 {
		heard := maps.Clone(j.force)
		for _, id := range j.trials.Open(g.now, j.force, verdicts, j.sight.LastSent) {
			heard[id] = policy.ProbationSlowness
		}
		g.mod.SetPeerSlowness(heard)
	}
	for _, v := range verdicts {
		if blamed := j.force[v.Backend] >= blameLogged; blamed != j.blamed[v.Backend] {
			j.blamed[v.Backend] = blamed
			g.log.Info("a node by others' word", "node", v.Backend, "slow", float64(int(10*j.force[v.Backend]))/10, "cause", v.Cause.String(), "accusers", v.Reporters,
				"defence", v.Defenders, "why", v.Reason)
		}
	}
	if g.now-j.showAt >= nodesShown {
		j.showAt = g.now
		j.show(g.now, j.sight.Observations(g.now, nil), verdicts)
	}
}

// show lets others see what is believed.
func (j *judgements) show(now time.Duration, own []outlier.Observation, verdicts []outlier.Assessment) {
	s := &BackendsStatus{EjectionsLifted: j.held, Unreadable: j.strange}
	by := map[policy.BackendID]outlier.Assessment{}
	for _, v := range verdicts {
		by[v.Backend] = v
	}
	add := func(o outlier.Observation) {
		v := by[o.Backend]
		n := BackendStatus{
			Backend: o.Backend, Good: o.Good, Bad: o.Bad, PeerSlowness: max(1, j.force[o.Backend]), Cause: v.Cause.String(), Reporters: v.Reporters, Defenders: v.Defenders, Reason: v.Reason,
			AgeMS: v.Age.Milliseconds(),
		}
		if o.Bad > 0.1 {
			n.OwnCause = o.Cause.String()
		}
		for _, w := range j.heard[o.Backend] {
			n.Reports = append(n.Reports, PeerReport{w.Owner, w.Zone, w.Cause.String(), w.Good, w.Bad, (now - w.ObservedAt()).Milliseconds()})
		}
		s.Backends = append(s.Backends, n)
		delete(by, o.Backend)
	}
	for _, o := range own {
		add(o)
	}
	for id := range by {
		add(outlier.Observation{Backend: id})
	}
	j.shown.Store(s)
}

// NodesStatus is what is believed of nodes, as of a moment ago; false where nobody tells of them. It may be called by many
// goroutines.
func (g *Core) BackendsStatus() (BackendsStatus, bool) {
	if g.judged == nil {
		return BackendsStatus{}, false
	}
	if s := g.judged.shown.Load(); s != nil {
		return *s, true
	}
	return BackendsStatus{}, true
}
