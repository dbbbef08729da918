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
	outlierTickInterval  = 50 * time.Millisecond  // own evidence is looked at, told, and others' is weighed
	assessmentInterval  = 500 * time.Millisecond // where nothing new came: evidence ages
	backendStatusInterval  = 250 * time.Millisecond
	slownessLogThreshold = 2.0 // slowness by others' word from which on a line says so
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
type outlierTracker struct {
	peers   Peers
	cfg     outlier.Config
	detector   *outlier.LocalDetector
	publisher  *outlier.Publisher
	decay   *outlier.Decay
	probation  *outlier.Probation
	startTimes  map[policy.BackendID]time.Duration
	factsVersion uint64
	assessedAt time.Duration
	peerObservations   map[policy.BackendID][]outlier.PeerObservation
	peerSlowness   map[policy.BackendID]float64 // slowness by others' word, as the module has it
	loggedSlow  map[policy.BackendID]bool    // of which a line was written
	ejectionsLifted    bool                         // blames are lifted, for there are too many
	unreadable int                          // words that no instance can have meant
	published   atomic.Pointer[BackendsStatus]
	publishAt  time.Duration
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
const halfLifeObjectives = 8

func newOutlierTracker(cfg Config) *outlierTracker {
	longest := time.Duration(0)
	for _, c := range cfg.Settings.Classes {
		longest = max(longest, c.LatencyObjective)
	}
	return &outlierTracker{
		peers: cfg.Peers, cfg: outlier.Config{Zone: cfg.Settings.Zone, HalfLife: halfLifeObjectives * longest}, detector: outlier.NewLocalDetector(), publisher: outlier.NewPublisher(),
		decay: outlier.NewDecay(rand.New(rand.NewPCG(cfg.Seed, 41))), probation: outlier.NewProbation(rand.New(rand.NewPCG(cfg.Seed, 43)), cfg.Settings.Instances),
		startTimes: map[policy.BackendID]time.Duration{}, loggedSlow: map[policy.BackendID]bool{},
	}
}

// listJudged hands on which starts of nodes there are.
func (c *Core) updateOutlierBackends() {
	t := c.outliers
	clear(t.startTimes)
	c.overrides.mu.Lock()
	for id, target := range c.overrides.targets {
		if s := c.overrides.active.Apply(target.Server()); s.State != policy.Gone {
			t.startTimes[id] = s.Started
		}
	}
	c.overrides.mu.Unlock()
	t.detector.SetBackends(t.startTimes)
	t.factsVersion = 0 // what others tell may be of a start that was not listed until now
}

// weighNow has others' word taken in before what comes after it.
type assessmentRequested struct{}

// Weigh takes in what others have told so far, before any request that is submitted later.
func (c *Core) AssessBackends() { c.post(assessmentRequested{}) }

// judge looks at nodes, and does so again and again.
func (c *Core) tickOutliers() {
	c.scheduleAfter(outlierTickInterval, c.tickOutliers)
	c.checkOutliers()
}

func (c *Core) checkOutliers() {
	t := c.outliers
	t.detector.Tick(c.now)
	if v := t.peers.Version(); v != t.factsVersion {
		t.factsVersion = v
		t.readFacts()
		t.assessedAt = 0
	}
	// Most nodes are fine, and nobody speaks of them: looking at all was half of what judging took (a profile of 36 processes).
	own := t.detector.Observations(c.now, func(id policy.BackendID) bool { return len(t.peerObservations[id]) > 0 || t.publisher.HasPublished(id) })
	accused := map[policy.BackendID]time.Duration{}
	for _, o := range own {
		for _, w := range t.peerObservations[o.Backend] {
			if w.IsAdverse() && w.Onset < o.LastGood {
				accused[o.Backend] = max(accused[o.Backend], w.Onset)
			}
		}
	}
	for _, o := range t.publisher.Select(c.now, own, accused) {
		t.peers.Publish(outlier.FactKind, string(o.Backend), o.ObservedAt(), o.Encode())
	}
	if c.now-t.assessedAt >= assessmentInterval || len(t.peerSlowness) > 0 {
		t.assessedAt = c.now
		c.assessBackends(own)
	}
}

// read takes over what others tell.
func (t *outlierTracker) readFacts() {
	facts, halls := t.peers.Facts(outlier.FactKind)
	t.peerObservations = map[policy.BackendID][]outlier.PeerObservation{}
	for _, f := range facts {
		if f.Owner == t.peers.Name() {
			continue
		}
		o, err := outlier.Decode(f.Subject, f.ObservedAt, f.Data)
		if err != nil {
			t.unreadable++
			continue
		}
		if start, there := t.startTimes[o.Backend]; there && start.Milliseconds() == o.Started.Milliseconds() { // of this start of it
			t.peerObservations[o.Backend] = append(t.peerObservations[o.Backend], outlier.PeerObservation{Owner: f.Owner, Zone: halls[f.Owner], Observation: o})
		}
	}
}

// weigh comes to a verdict on each node that others speak of, and lets the module know.
func (c *Core) assessBackends(own []outlier.Observation) {
	t := c.outliers
	mine := map[policy.BackendID]outlier.Observation{}
	for _, o := range own {
		mine[o.Backend] = o
	}
	var verdicts []outlier.Assessment
	for id, words := range t.peerObservations {
		o := mine[id]
		o.Backend = id
		verdicts = append(verdicts, outlier.Assess(c.now, t.cfg, o, words))
	}
	lifted := outlier.LimitEjections(verdicts, len(t.startTimes))
	if lifted != t.ejectionsLifted {
		t.ejectionsLifted = lifted
		c.log.Warn("others' word on nodes", "counts", !lifted, "nodes", len(verdicts), "listed", len(t.startTimes))
	}
	before := len(t.peerSlowness)
	t.peerSlowness = t.decay.Apply(c.now, verdicts)
	if before > 0 || len(t.peerSlowness) > 0 {
		heard := maps.Clone(t.peerSlowness)
		for _, id := range t.probation.Open(c.now, t.peerSlowness, verdicts, t.detector.LastSent) {
			heard[id] = policy.ProbationSlowness
		}
		c.engine.SetPeerSlowness(heard)
	}
	for _, v := range verdicts {
		if blamed := t.peerSlowness[v.Backend] >= slownessLogThreshold; blamed != t.loggedSlow[v.Backend] {
			t.loggedSlow[v.Backend] = blamed
			c.log.Info("a node by others' word", "node", v.Backend, "slow", float64(int(10*t.peerSlowness[v.Backend]))/10, "cause", v.Cause.String(), "accusers", v.Reporters,
				"defence", v.Defenders, "why", v.Reason)
		}
	}
	if c.now-t.publishAt >= backendStatusInterval {
		t.publishAt = c.now
		t.publishStatus(c.now, t.detector.Observations(c.now, nil), verdicts)
	}
}

// show lets others see what is believed.
func (t *outlierTracker) publishStatus(now time.Duration, own []outlier.Observation, verdicts []outlier.Assessment) {
	s := &BackendsStatus{EjectionsLifted: t.ejectionsLifted, Unreadable: t.unreadable}
	by := map[policy.BackendID]outlier.Assessment{}
	for _, v := range verdicts {
		by[v.Backend] = v
	}
	add := func(o outlier.Observation) {
		v := by[o.Backend]
		n := BackendStatus{
			Backend: o.Backend, Good: o.Good, Bad: o.Bad, PeerSlowness: max(1, t.peerSlowness[o.Backend]), Cause: v.Cause.String(), Reporters: v.Reporters, Defenders: v.Defenders, Reason: v.Reason,
			AgeMS: v.Age.Milliseconds(),
		}
		if o.Bad > 0.1 {
			n.OwnCause = o.Cause.String()
		}
		for _, w := range t.peerObservations[o.Backend] {
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
	t.published.Store(s)
}

// NodesStatus is what is believed of nodes, as of a moment ago; false where nobody tells of them. It may be called by many
// goroutines.
func (c *Core) BackendsStatus() (BackendsStatus, bool) {
	if c.outliers == nil {
		return BackendsStatus{}, false
	}
	if s := c.outliers.published.Load(); s != nil {
		return *s, true
	}
	return BackendsStatus{}, true
}
