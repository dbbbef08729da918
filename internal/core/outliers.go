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
	outlierTickInterval      = 50 * time.Millisecond
	assessmentInterval       = 500 * time.Millisecond // max time between assessments, since observations age
	backendStatusInterval    = 250 * time.Millisecond
	slownessLogThreshold     = 2.0 // times the usual latency
	halfLifeObjectives       = 8   // half-life of an observation, in latency objectives; the engine has the same
	statusMinFailureEvidence = 0.1 // min evidence against a backend with which the status names its cause
	decaySeedStream          = 41  // random streams of the seed for this component
	probationSeedStream      = 43
)

// Peers is the group of instances that exchange facts by gossip. None of its methods may wait for I/O.
type Peers interface {
	// Publish publishes a fact of this instance, observed at a time on the shared clock.
	Publish(kind, subject string, observedAt time.Duration, data []byte)
	// Facts returns all facts of a kind, and the zones of their owners by name.
	Facts(kind string) (facts []gossip.Fact, zones map[string]string)
	// Version returns a number that changes whenever the facts change.
	Version() uint64
	// Name returns the name under which this instance owns facts.
	Name() string
}

// outlierTracker combines the observations of backends by this instance and by others. It is confined to the loop's
// goroutine, except published.
type outlierTracker struct {
	peers     Peers
	cfg       outlier.Config
	detector  *outlier.LocalDetector
	publisher *outlier.Publisher
	decay     *outlier.Decay
	probation *outlier.Probation

	startTimes       map[policy.BackendID]time.Duration // of the listed backends
	factsVersion     uint64                             // version of the facts in peerObservations; 0: read again
	assessedAt       time.Duration
	peerObservations map[policy.BackendID][]outlier.PeerObservation
	peerSlowness     map[policy.BackendID]float64 // from others' observations, in multiples of the usual latency
	loggedSlow       map[policy.BackendID]bool    // whether the last log line about a backend called it slow
	ejectionsLifted  bool                         // too many backends would be ejected at once, so none is
	unreadableFacts  int                          // facts that could not be decoded

	published   atomic.Pointer[BackendsStatus] // nil: not yet
	publishedAt time.Duration                  // when published was last set
}

// BackendsStatus is the assessment of all observed backends, for operators and tests.
type BackendsStatus struct {
	EjectionsLifted bool            `json:"Lifted"`  // too many backends would be ejected at once, so none is
	Unreadable      int             `json:"Strange"` // facts that could not be decoded
	Backends        []BackendStatus `json:"Nodes"`
}

// BackendStatus is the assessment of one backend that this or another instance has observed.
type BackendStatus struct {
	Backend         policy.BackendID `json:"Node"`
	SuccessEvidence float64          `json:"Good"` // this instance's evidence of successes
	FailureEvidence float64          `json:"Bad"`  // this instance's evidence of failures
	OwnCause        string           `json:"Own"`  // cause of this instance's evidence of failures
	PeerSlowness    float64          `json:"Told"` // multiple of the usual latency, as observed by others; 1: not slow
	Cause           string           `json:"Cause"`
	Reporters       []string         `json:"Accusers"`
	Defenders       []string         `json:"Defence"` // "" stands for this instance
	Reason          string           `json:"Why"`
	AgeMS           int64            `json:"AgeMS"`
	Reports         []PeerReport     `json:"Words"`
}

// PeerReport is one other instance's observation of a backend.
type PeerReport struct {
	Owner           string  `json:"Owner"`
	Zone            string  `json:"Hall"`
	Cause           string  `json:"Cause"`
	SuccessEvidence float64 `json:"Good"`
	FailureEvidence float64 `json:"Bad"`
	AgeMS           int64   `json:"AgeMS"`
}

// assessmentRequested is the event of AssessBackends.
type assessmentRequested struct{}

func newOutlierTracker(cfg Config) *outlierTracker {
	longest := time.Duration(0)
	for _, class := range cfg.Settings.Classes {
		longest = max(longest, class.LatencyObjective)
	}
	decayRandom := rand.New(rand.NewPCG(cfg.Seed, decaySeedStream))
	probationRandom := rand.New(rand.NewPCG(cfg.Seed, probationSeedStream))
	return &outlierTracker{
		peers:      cfg.Peers,
		cfg:        outlier.Config{Zone: cfg.Settings.Zone, HalfLife: halfLifeObjectives * longest},
		detector:   outlier.NewLocalDetector(),
		publisher:  outlier.NewPublisher(),
		decay:      outlier.NewDecay(decayRandom),
		probation:  outlier.NewProbation(probationRandom, cfg.Settings.Instances),
		startTimes: map[policy.BackendID]time.Duration{},
		loggedSlow: map[policy.BackendID]bool{},
	}
}

// AssessBackends assesses backends by the observations that have arrived from others so far. Requests submitted after
// the call are handled after the assessment.
func (c *Core) AssessBackends() { c.post(assessmentRequested{}) }

// updateOutlierBackends updates which backends are listed, and when each of them has started.
func (c *Core) updateOutlierBackends() {
	t := c.outliers
	clear(t.startTimes)
	c.overrides.mu.Lock()
	for id, target := range c.endpoints.targets {
		if listed := c.overrides.active.Apply(target.Backend()); listed.State != policy.Removed {
			t.startTimes[id] = listed.Started
		}
	}
	c.overrides.mu.Unlock()
	t.detector.SetBackends(t.startTimes)
	t.factsVersion = 0 // facts that were ignored before may match the new list
}

// tickOutliers publishes this instance's observations, and assesses backends by these and those of other instances.
func (c *Core) tickOutliers() {
	t := c.outliers
	t.detector.Tick(c.now)
	if version := t.peers.Version(); version != t.factsVersion {
		t.factsVersion = version
		t.readFacts()
		t.assessedAt = 0
	}
	// Most backends are healthy and nobody reports on them, so only the others are examined.
	own := t.detector.Observations(c.now, func(id policy.BackendID) bool {
		return len(t.peerObservations[id]) > 0 || t.publisher.HasPublished(id)
	})
	for _, o := range t.publisher.Select(c.now, own, t.contradicted(own)) {
		t.peers.Publish(outlier.FactKind, string(o.Backend), o.ObservedAt(), o.Encode())
	}
	if c.now-t.assessedAt >= assessmentInterval || len(t.peerSlowness) > 0 {
		t.assessedAt = c.now
		c.assessBackends(own)
	}
}

// contradicted returns the backends of which another instance reports a fault although this one has seen a success
// after its onset. The value is the latest such onset.
func (t *outlierTracker) contradicted(own []outlier.Observation) map[policy.BackendID]time.Duration {
	onsets := map[policy.BackendID]time.Duration{}
	for _, o := range own {
		for _, peer := range t.peerObservations[o.Backend] {
			if peer.IsAdverse() && peer.Onset < o.LastSuccess {
				onsets[o.Backend] = max(onsets[o.Backend], peer.Onset)
			}
		}
	}
	return onsets
}

// readFacts reads the observations of other instances. It ignores those of backends that are not listed, and those from
// before a backend's last start.
func (t *outlierTracker) readFacts() {
	facts, zones := t.peers.Facts(outlier.FactKind)
	t.peerObservations = map[policy.BackendID][]outlier.PeerObservation{}
	for _, f := range facts {
		if f.Owner == t.peers.Name() {
			continue
		}
		o, err := outlier.Decode(f.Subject, f.ObservedAt, f.Data)
		if err != nil {
			t.unreadableFacts++
			continue
		}
		started, listed := t.startTimes[o.Backend]
		if !listed || started.Milliseconds() != o.Started.Milliseconds() {
			continue
		}
		peer := outlier.PeerObservation{Owner: f.Owner, Zone: zones[f.Owner], Observation: o}
		t.peerObservations[o.Backend] = append(t.peerObservations[o.Backend], peer)
	}
}

// assessBackends assesses each backend that others have observed, and passes the resulting slowness to the engine.
func (c *Core) assessBackends(own []outlier.Observation) {
	t := c.outliers
	assessments := t.assess(c.now, own)
	lifted := outlier.LimitEjections(assessments, len(t.startTimes))
	if lifted != t.ejectionsLifted {
		t.ejectionsLifted = lifted
		c.log.Warn("limit of ejections by gossip changed state",
			"lifted", lifted, "suspects", len(assessments), "listed", len(t.startTimes))
	}
	before := len(t.peerSlowness)
	t.peerSlowness = t.decay.Apply(c.now, assessments)
	if before > 0 || len(t.peerSlowness) > 0 {
		slowness := maps.Clone(t.peerSlowness)
		for _, id := range t.probation.Open(c.now, t.peerSlowness, assessments, t.detector.LastSent) {
			slowness[id] = policy.ProbationSlowness
		}
		c.engine.SetPeerSlowness(slowness)
	}
	c.logSlowBackends(assessments)
	if c.now-t.publishedAt >= backendStatusInterval {
		t.publishedAt = c.now
		t.publishStatus(c.now, t.detector.Observations(c.now, nil), assessments)
	}
}

// assess returns an assessment of each backend that other instances have observed.
func (t *outlierTracker) assess(now time.Duration, own []outlier.Observation) []outlier.Assessment {
	ownByBackend := map[policy.BackendID]outlier.Observation{}
	for _, o := range own {
		ownByBackend[o.Backend] = o
	}
	var assessments []outlier.Assessment
	for id, observations := range t.peerObservations {
		o := ownByBackend[id]
		o.Backend = id
		assessments = append(assessments, outlier.Assess(now, t.cfg, o, observations))
	}
	return assessments
}

// logSlowBackends logs each backend that has become slow, or is no longer slow, by others' observations.
func (c *Core) logSlowBackends(assessments []outlier.Assessment) {
	t := c.outliers
	for _, a := range assessments {
		slowness := t.peerSlowness[a.Backend]
		slow := slowness >= slownessLogThreshold
		if slow == t.loggedSlow[a.Backend] {
			continue
		}
		t.loggedSlow[a.Backend] = slow
		c.log.Info("backend slowness by gossip changed",
			"backend", a.Backend,
			"slow", slow,
			"slowness", float64(int(10*slowness))/10,
			"cause", a.Cause.String(),
			"reporters", a.Reporters,
			"defenders", a.Defenders,
			"reason", a.Reason)
	}
}

// publishStatus publishes the status of all observed backends.
func (t *outlierTracker) publishStatus(now time.Duration, own []outlier.Observation, assessments []outlier.Assessment) {
	s := &BackendsStatus{EjectionsLifted: t.ejectionsLifted, Unreadable: t.unreadableFacts}
	byBackend := map[policy.BackendID]outlier.Assessment{}
	for _, a := range assessments {
		byBackend[a.Backend] = a
	}
	for _, o := range own {
		s.Backends = append(s.Backends, t.backendStatus(now, o, byBackend[o.Backend]))
		delete(byBackend, o.Backend)
	}
	for id, a := range byBackend {
		s.Backends = append(s.Backends, t.backendStatus(now, outlier.Observation{Backend: id}, a))
	}
	t.published.Store(s)
}

// backendStatus returns the status of one backend from this instance's observation and the assessment.
func (t *outlierTracker) backendStatus(now time.Duration, o outlier.Observation, a outlier.Assessment) BackendStatus {
	status := BackendStatus{
		Backend:         o.Backend,
		SuccessEvidence: o.SuccessEvidence,
		FailureEvidence: o.FailureEvidence,
		PeerSlowness:    max(1, t.peerSlowness[o.Backend]),
		Cause:           a.Cause.String(),
		Reporters:       a.Reporters,
		Defenders:       a.Defenders,
		Reason:          a.Reason,
		AgeMS:           a.Age.Milliseconds(),
	}
	if o.FailureEvidence > statusMinFailureEvidence {
		status.OwnCause = o.Cause.String()
	}
	for _, peer := range t.peerObservations[o.Backend] {
		status.Reports = append(status.Reports, PeerReport{
			Owner:           peer.Owner,
			Zone:            peer.Zone,
			Cause:           peer.Cause.String(),
			SuccessEvidence: peer.SuccessEvidence,
			FailureEvidence: peer.FailureEvidence,
			AgeMS:           (now - peer.ObservedAt()).Milliseconds(),
		})
	}
	return status
}

// BackendsStatus returns the assessment of all observed backends, updated about every backendStatusInterval. It returns
// false if instances don't share observations. It is safe for concurrent use.
func (c *Core) BackendsStatus() (BackendsStatus, bool) {
	if c.outliers == nil {
		return BackendsStatus{}, false
	}
	if status := c.outliers.published.Load(); status != nil {
		return *status, true
	}
	return BackendsStatus{}, true
}
