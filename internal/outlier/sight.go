// Package judge decides what is believed of nodes, from what this instance has seen itself (sight.go) and from what others
// tell of what they have seen (verdict.go). In: starts and ends of attempts, facts with their owners, halls and times. Out:
// opinions worth telling, and for each node a slowness to reckon with that others' words justify. It does no I/O, reads no
// clock, and must never know a connection, a message or a request's content. No single instance's word changes anything.
package outlier

import (
	"math"
	"slices"
	"strings"
	"time"

	"hitchspring/policy"
)

const (
	sightHalf   = 6 * time.Second // half of an instance's own evidence is old
	badForgets  = 0.25            // what is left of the good after a bad end
	goodForgets = 0.4             // what is left of the bad after a good end
	accuse      = 0.25            // bad evidence from which on there is an opinion: one end, until it is two half-lives old
	slowTimes   = 6.0             // times its class's mean: an attempt that takes longer speaks against its node
	meanGain    = 0.04            // weight of one answer in a class's mean
	meansWanted = 8               // answers before a class's mean says anything
	traceOfBad  = accuse / 16     // bad evidence that is as good as none
	mostBad     = 8.0             // evidence counts no further
	mostSlow    = 8.0             // what a bad node counts for, in mean latencies
	leastOver   = 20 * time.Millisecond
	moodLasts   = 2 * time.Second // an end says how all are for so long
	moodNodes   = 3               // nodes of which something has to be known for that
	beatenFrom  = 1.5             // times the class's mean: who is beaten by a later copy sooner was not slow
)

// Cause is what speaks against a node, the worst first.
type Cause uint8

// The causes.
const (
	NoCause Cause = iota
	Unreachable
	Failing
	Slow
)

var causeNames = [...]string{"", "unreachable", "failing", "slow"}

func (c Cause) String() string {
	if int(c) < len(causeNames) {
		return causeNames[c]
	}
	return "unknown"
}

// Try names one attempt.
type AttemptID struct {
	Request policy.RequestID
	Number  int
}

// Opinion is what one instance has seen of a node's start.
type Observation struct {
	Backend   policy.BackendID
	Started   time.Duration // the start that it speaks of, as the list has it
	Good, Bad float64       // evidence, aged
	LastGood  time.Duration // when a good end came; 0: never
	LastBad   time.Duration // the same of a bad one
	Onset     time.Duration // the first bad one since the last good one
	Cause     Cause
}

// Accuses says whether it speaks against the node: what was seen last was bad. A node that was fine until then is no less slow
// for it.
func (o Observation) IsAdverse() bool { return o.Bad >= accuse && o.LastBad > o.LastGood }

type sight struct {
	Observation
	at    time.Duration // of the evidence
	out   []*open
	pace  float64       // of its last end: times its class's mean
	paced time.Duration // when that was; 0: never
	sent  time.Duration // the last attempt; 0: never
}

type open struct {
	try   AttemptID
	class string
	sent  time.Duration
	over  bool // it has spoken against its node already, by taking long
}

type class struct {
	mean float64 // seconds
	seen int
}

// Sight is what this instance sees of nodes itself. It is used by one goroutine at a time.
type LocalDetector struct {
	nodes   map[policy.BackendID]*sight
	classes map[string]*class
	tries   map[AttemptID]*sight
	won     AttemptID // that was served last
}

// NewSight returns one that has seen nothing.
func NewLocalDetector() *LocalDetector {
	return &LocalDetector{nodes: map[policy.BackendID]*sight{}, classes: map[string]*class{}, tries: map[AttemptID]*sight{}}
}

// Listed tells which starts of nodes there are; what is known of others is forgotten.
func (s *LocalDetector) SetBackends(starts map[policy.BackendID]time.Duration) {
	for id, x := range s.nodes {
		if at, there := starts[id]; !there || at != x.Started {
			for _, o := range x.out {
				delete(s.tries, o.try)
			}
			delete(s.nodes, id)
		}
	}
	for id, at := range starts {
		if s.nodes[id] == nil {
			s.nodes[id] = &sight{Observation: Observation{Backend: id, Started: at}}
		}
	}
}

// Sent tells of an attempt that goes out.
func (s *LocalDetector) AttemptSent(now time.Duration, node policy.BackendID, try AttemptID, of string) {
	if x := s.nodes[node]; x != nil {
		x.sent = now
		x.out = append(x.out, &open{try: try, class: of, sent: now})
		s.tries[try] = x
	}
}

// LastSent is when an attempt last went out to a node; 0: never.
func (s *LocalDetector) LastSent(node policy.BackendID) time.Duration {
	if x := s.nodes[node]; x != nil {
		return x.sent
	}
	return 0
}

// Ended tells how an attempt ended.
func (s *LocalDetector) AttemptEnded(now time.Duration, try AttemptID, o policy.Outcome) {
	x := s.tries[try]
	if x == nil { // its node's start is no more
		return
	}
	delete(s.tries, try)
	i := slices.IndexFunc(x.out, func(o *open) bool { return o.try == try })
	a := x.out[i]
	x.out = slices.Delete(x.out, i, i+1)
	took := (now - a.sent).Seconds()
	if c := s.class(a.class); c.seen >= meansWanted && (o == policy.Succeeded || (o == policy.Cancelled || o == policy.TimedOut) && took > c.mean) { // at least so slow
		x.pace, x.paced = took/c.mean, now
	}
	switch o {
	case policy.Cancelled: // the usual fate of an attempt at a slow node: a copy that began later was served first
		if won := s.won; won.Request == try.Request && won.Number > try.Number && !a.over && took > beatenFrom*s.class(a.class).mean*s.mood(now, x) {
			x.bad(now, Slow)
		}
	case policy.Succeeded:
		s.won = try
		c := s.class(a.class)
		over := took > c.limit() && took > c.limit()*s.mood(now, x)
		c.learn(took)
		if !over {
			x.good(now)
		} else if !a.over {
			x.bad(now, Slow)
		}
	case policy.TimedOut:
		if mood := s.mood(now, x); !a.over && (mood < beatenFrom || took > s.class(a.class).limit()*mood) {
			x.bad(now, Slow)
		}
	case policy.NoConnect:
		x.bad(now, Unreachable)
	case policy.Failed, policy.Reset:
		x.bad(now, Failing)
	}
}

// Tick looks at what is out: an attempt that takes too long speaks against its node before it ends.
func (s *LocalDetector) Tick(now time.Duration) {
	for _, x := range s.nodes {
		for _, a := range x.out {
			took := (now - a.sent).Seconds()
			if c := s.class(a.class); !a.over && took > c.limit() && took > c.limit()*s.mood(now, x) {
				a.over = true
				x.bad(now, Slow)
			}
		}
	}
}

// mood is how slow all the other nodes are at the moment: the middle one of their last ends and of what they have not answered yet, in times of
// the usual; 1 where too little is known. A node is judged beside the others: where all are slow at once, none of them is to blame.
func (s *LocalDetector) mood(now time.Duration, but *sight) float64 {
	paces := make([]float64, 0, len(s.nodes))
	for _, x := range s.nodes {
		if x == but {
			continue
		}
		pace := 0.0
		if x.paced > 0 && now-x.paced <= moodLasts {
			pace = x.pace
		}
		for _, a := range x.out {
			if c := s.class(a.class); c.seen >= meansWanted {
				if took := (now - a.sent).Seconds() / c.mean; took > 1 || pace == 0 && took > 0.5 {
					pace = max(pace, took)
				}
			}
		}
		if pace > 0 {
			paces = append(paces, pace)
		}
	}
	if len(paces) < moodNodes {
		return 1
	}
	slices.Sort(paces)
	return max(1, paces[len(paces)/2])
}

func (s *LocalDetector) class(name string) *class {
	c := s.classes[name]
	if c == nil {
		c = &class{}
		s.classes[name] = c
	}
	return c
}

// limit is the time, in seconds, after which an attempt speaks against its node.
func (c *class) limit() float64 {
	if c.seen < meansWanted {
		return math.Inf(1)
	}
	return max(slowTimes*c.mean, leastOver.Seconds())
}

func (c *class) learn(took float64) {
	gain := max(meanGain, 1/float64(c.seen+1))
	if c.seen >= meansWanted {
		took = min(took, slowTimes*c.mean)
	}
	c.mean += gain * (took - c.mean)
	c.seen++
}

// age brings the evidence up to a time.
func (x *sight) age(now time.Duration) {
	left := math.Exp2(-(now - x.at).Seconds() / sightHalf.Seconds())
	x.Good, x.Bad, x.at = x.Good*left, x.Bad*left, now
}

func (x *sight) good(now time.Duration) {
	x.age(now)
	x.Good, x.Bad = min(mostBad, x.Good+1), x.Bad*goodForgets
	x.LastGood, x.Onset = now, 0
}

func (x *sight) bad(now time.Duration, why Cause) {
	x.age(now)
	x.Bad, x.Good = min(mostBad, x.Bad+1), x.Good*badForgets
	x.LastBad, x.Cause = now, why
	if x.Onset == 0 {
		x.Onset = now
	}
}

// Opinion is what has been seen of a node.
func (s *LocalDetector) Observation(now time.Duration, node policy.BackendID) (Observation, bool) {
	x := s.nodes[node]
	if x == nil {
		return Observation{}, false
	}
	x.age(now)
	return x.Observation, true
}

// Opinions are those of the nodes that are wanted and of which something was seen, by id. Nodes of which nothing bad is remembered are
// asked for through wanted; nil wants all.
func (s *LocalDetector) Observations(now time.Duration, wanted func(policy.BackendID) bool) (out []Observation) {
	for id, x := range s.nodes {
		if x.LastGood == 0 && x.LastBad == 0 || wanted != nil && x.Bad < traceOfBad && !wanted(id) {
			continue
		}
		o, _ := s.Observation(now, id)
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b Observation) int { return strings.Compare(string(a.Backend), string(b.Backend)) })
	return out
}
