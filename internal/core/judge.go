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
	Tell(kind, subject string, born time.Duration, data []byte)
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
	sight   *outlier.Sight
	teller  *outlier.Teller
	fader   *outlier.Fader
	trials  *outlier.Trials
	starts  map[policy.ServerID]time.Duration
	version uint64
	weighed time.Duration
	heard   map[policy.ServerID][]outlier.Heard
	force   map[policy.ServerID]float64 // slowness by others' word, as the module has it
	blamed  map[policy.ServerID]bool    // of which a line was written
	held    bool                        // blames are lifted, for there are too many
	strange int                         // words that no instance can have meant
	shown   atomic.Pointer[NodesStatus]
	showAt  time.Duration
}

// NodesStatus is what is believed of nodes, and from whom.
type NodesStatus struct {
	Lifted  bool         `json:"Lifted"`  // too many nodes are blamed at once: nobody's word counts
	Strange int          `json:"Strange"` // words that could not be read
	Nodes   []NodeStatus `json:"Nodes"`
}

// NodeStatus is one node of which something is known or told.
type NodeStatus struct {
	Node     policy.ServerID `json:"Node"`
	Good     float64         `json:"Good"`
	Bad      float64         `json:"Bad"`  // this instance's own evidence
	Own      string          `json:"Own"`  // what speaks against it here
	Told     float64         `json:"Told"` // times the usual latency that others' word makes it; 1: nothing
	Cause    string          `json:"Cause"`
	Accusers []string        `json:"Accusers"`
	Defence  []string        `json:"Defence"` // "" is this instance
	Why      string          `json:"Why"`
	AgeMS    int64           `json:"AgeMS"`
	Words    []Word          `json:"Words"`
}

// Word is what one other instance says.
type Word struct {
	Owner string  `json:"Owner"`
	Hall  string  `json:"Hall"`
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
		longest = max(longest, c.Aim)
	}
	return &judgements{peers: cfg.Peers, cfg: outlier.Config{Hall: cfg.Settings.Zone, Memory: longAims * longest}, sight: outlier.NewSight(), teller: outlier.NewTeller(),
		fader: outlier.NewFader(rand.New(rand.NewPCG(cfg.Seed, 41))), trials: outlier.NewTrials(rand.New(rand.NewPCG(cfg.Seed, 43)), cfg.Settings.Gateways),
		starts: map[policy.ServerID]time.Duration{}, blamed: map[policy.ServerID]bool{}}
}

// listJudged hands on which starts of nodes there are.
func (g *Core) listJudged() {
	j := g.judged
	clear(j.starts)
	g.ops.mu.Lock()
	for id, t := range g.ops.listed {
		if s := g.ops.book.Over(t.Server()); s.State != policy.Gone {
			j.starts[id] = s.Started
		}
	}
	g.ops.mu.Unlock()
	j.sight.Listed(j.starts)
	j.version = 0 // what others tell may be of a start that was not listed until now
}

// weighNow has others' word taken in before what comes after it.
type weighNow struct{}

// Weigh takes in what others have told so far, before any request that is submitted later.
func (g *Core) Weigh() { g.post(weighNow{}) }

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
	own := j.sight.Opinions(g.now, func(id policy.ServerID) bool { return len(j.heard[id]) > 0 || j.teller.Told(id) })
	accused := map[policy.ServerID]time.Duration{}
	for _, o := range own {
		for _, w := range j.heard[o.Node] {
			if w.Accuses() && w.Onset < o.LastGood {
				accused[o.Node] = max(accused[o.Node], w.Onset)
			}
		}
	}
	for _, o := range j.teller.Tell(g.now, own, accused) {
		j.peers.Tell(outlier.Kind, string(o.Node), o.Born(), o.Encode())
	}
	if g.now-j.weighed >= weighAgain || len(j.force) > 0 {
		j.weighed = g.now
		g.weigh(own)
	}
}

// read takes over what others tell.
func (j *judgements) read() {
	facts, halls := j.peers.Facts(outlier.Kind)
	j.heard = map[policy.ServerID][]outlier.Heard{}
	for _, f := range facts {
		if f.Owner == j.peers.Name() {
			continue
		}
		o, err := outlier.Decode(f.Subject, f.Born, f.Data)
		if err != nil {
			j.strange++
			continue
		}
		if start, there := j.starts[o.Node]; there && start.Milliseconds() == o.Started.Milliseconds() { // of this start of it
			j.heard[o.Node] = append(j.heard[o.Node], outlier.Heard{Owner: f.Owner, Hall: halls[f.Owner], Opinion: o})
		}
	}
}

// weigh comes to a verdict on each node that others speak of, and lets the module know.
func (g *Core) weigh(own []outlier.Opinion) {
	j := g.judged
	mine := map[policy.ServerID]outlier.Opinion{}
	for _, o := range own {
		mine[o.Node] = o
	}
	var verdicts []outlier.Verdict
	for id, words := range j.heard {
		o := mine[id]
		o.Node = id
		verdicts = append(verdicts, outlier.Judge(g.now, j.cfg, o, words))
	}
	lifted := outlier.Restrain(verdicts, len(j.starts))
	if lifted != j.held {
		j.held = lifted
		g.log.Warn("others' word on nodes", "counts", !lifted, "nodes", len(verdicts), "listed", len(j.starts))
	}
	before := len(j.force)
	j.force = j.fader.Hold(g.now, verdicts)
	if before > 0 || len(j.force) > 0 {
		heard := maps.Clone(j.force)
		for _, id := range j.trials.Open(g.now, j.force, verdicts, j.sight.LastSent) {
			heard[id] = policy.Try
		}
		g.mod.Hear(heard)
	}
	for _, v := range verdicts {
		if blamed := j.force[v.Node] >= blameLogged; blamed != j.blamed[v.Node] {
			j.blamed[v.Node] = blamed
			g.log.Info("a node by others' word", "node", v.Node, "slow", float64(int(10*j.force[v.Node]))/10, "cause", v.Cause.String(), "accusers", v.Accusers,
				"defence", v.Defence, "why", v.Why)
		}
	}
	if g.now-j.showAt >= nodesShown {
		j.showAt = g.now
		j.show(g.now, j.sight.Opinions(g.now, nil), verdicts)
	}
}

// show lets others see what is believed.
func (j *judgements) show(now time.Duration, own []outlier.Opinion, verdicts []outlier.Verdict) {
	s := &NodesStatus{Lifted: j.held, Strange: j.strange}
	by := map[policy.ServerID]outlier.Verdict{}
	for _, v := range verdicts {
		by[v.Node] = v
	}
	add := func(o outlier.Opinion) {
		v := by[o.Node]
		n := NodeStatus{Node: o.Node, Good: o.Good, Bad: o.Bad, Told: max(1, j.force[o.Node]), Cause: v.Cause.String(), Accusers: v.Accusers, Defence: v.Defence, Why: v.Why,
			AgeMS: v.Age.Milliseconds()}
		if o.Bad > 0.1 {
			n.Own = o.Cause.String()
		}
		for _, w := range j.heard[o.Node] {
			n.Words = append(n.Words, Word{w.Owner, w.Hall, w.Cause.String(), w.Good, w.Bad, (now - w.Born()).Milliseconds()})
		}
		s.Nodes = append(s.Nodes, n)
		delete(by, o.Node)
	}
	for _, o := range own {
		add(o)
	}
	for id := range by {
		add(outlier.Opinion{Node: id})
	}
	j.shown.Store(s)
}

// NodesStatus is what is believed of nodes, as of a moment ago; false where nobody tells of them. It may be called by many
// goroutines.
func (g *Core) NodesStatus() (NodesStatus, bool) {
	if g.judged == nil {
		return NodesStatus{}, false
	}
	if s := g.judged.shown.Load(); s != nil {
		return *s, true
	}
	return NodesStatus{}, true
}
