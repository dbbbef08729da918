package outlier

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"hitchspring/policy"
)

const (
	// Horizon is the age beyond which no evidence has any weight.
	Horizon     = 30 * time.Second
	quorum      = 2                      // owners that have to say the same, this instance's own evidence among them
	fullWeight  = 2.5                    // bad or good evidence with which an owner has its whole weight, which is 1
	lasting     = 200 * time.Millisecond // of the trouble: a moment's queue at a node passes
	leastWeight = 0.05                   // what is below says nothing
	mostBlamed  = 0.25                   // share of all nodes: where two speak against more than that, it is not the nodes
	tellAfter   = 50 * time.Millisecond  // of the same opinion, at the least
	fadeLeast   = 500 * time.Millisecond // of the time in which a blame goes, by each instance's own chance
	fadeSpread  = 1500 * time.Millisecond
)

// Heard is another instance's opinion, with who it is from.
type PeerObservation struct {
	Owner string
	Zone  string // of the owner; "": not known
	Observation
}

// Config is what the judgement depends on.
type Config struct {
	Zone     string        // of this instance
	HalfLife time.Duration // half of a node's slowness is forgotten in it, as in the decision module
}

// Verdict is what others' words come to for one node, and why.
type Assessment struct {
	Backend      policy.BackendID
	Slowness     float64 // times the usual latency that it is to be reckoned with; 1: nothing
	Cause        Cause
	Reporters    []string      // whose words count against it; "" is this instance
	Defenders    []string      // whose count for it
	AdverseCount int           // that speak against it, whether or not they count
	Reason       string        // what it came to
	Age          time.Duration // of the youngest accusation but one
	Since        time.Duration // when the first accuser's trouble began; 0: nobody is blamed
}

// Judge pools the evidence on one node. mine is this instance's own opinion, heard those of others on the same start of it.
//
//   - An owner's weight is 1 at the most, however much it has seen and however often it says so.
//   - A blame takes the weight of more than one owner, and at least two of them.
//   - An owner whose last attempt went well speaks against every accusation of trouble that began before; where this instance is that
//     owner, and was served after the last accuser's trouble began, nobody else's word counts.
//   - Trouble that began a moment ago may be a moment's queue.
//   - Words from another hall count only where they come from two halls: what is bad from one hall is bad there.
func Assess(now time.Duration, cfg Config, mine Observation, heard []PeerObservation) Assessment {
	v := Assessment{Backend: mine.Backend, Slowness: 1}
	type voice struct {
		PeerObservation
		weight float64
	}
	var accusers, others []voice
	for _, h := range heard {
		if h.IsAdverse() && now-h.LastBad <= Horizon {
			if w := min(1, h.Bad/fullWeight); w > leastWeight {
				accusers = append(accusers, voice{h, w})
			}
		} else if h.LastGood > 0 && now-h.LastGood <= Horizon {
			others = append(others, voice{h, min(1, h.Good/fullWeight)})
		}
	}
	near := slices.DeleteFunc(slices.Clone(accusers), func(a voice) bool { return a.Zone != cfg.Zone })
	halls := map[string]bool{}
	for _, a := range accusers {
		halls[a.Zone] = true
	}
	own := mine.IsAdverse() && now-mine.LastBad <= Horizon
	v.AdverseCount = len(accusers) + btoi(own)
	switch {
	case len(accusers) == 0:
		return v
	case len(near)+btoi(own) >= quorum:
		if !own || len(near) > 0 {
			accusers = near
		}
	case len(halls)+btoi(own && !halls[cfg.Zone]) < quorum:
		v.Reason = "only one hall speaks against it, and it is not this one"
		return v
	}
	var onset, oldest time.Duration // when the last accuser's trouble began; the first one's
	for _, a := range accusers {
		onset, v.Reporters = max(onset, a.Onset), append(v.Reporters, a.Owner)
		if oldest == 0 || a.Onset < oldest {
			oldest = a.Onset
		}
	}
	if mine.LastGood > onset && mine.LastGood > mine.LastBad {
		v.Defenders, v.Reason = append(v.Defenders, ""), "it serves this instance"
		return v
	}
	sum, bad, good := 0.0, 0.0, 0.0
	for _, a := range accusers { // each as far as nobody was served after its trouble began
		left := 1.0
		for _, o := range others {
			if o.LastGood > a.Onset {
				left = max(0, left-o.weight)
			}
		}
		sum += a.weight * left
		bad += min(a.Bad, fullWeight) * left
	}
	for _, o := range others {
		if o.LastGood > oldest {
			good += min(o.Good, fullWeight)
			v.Defenders = append(v.Defenders, o.Owner)
		}
	}
	if own {
		v.Reporters = append(v.Reporters, "")
		sum += min(1, mine.Bad/fullWeight)
		bad += min(mine.Bad, fullWeight)
		oldest = min(oldest, mine.Onset)
	}
	switch {
	case len(v.Reporters) < quorum:
		v.Reason = "one instance's word"
		return v
	case now-oldest < lasting:
		v.Reason = "it has not lasted"
		return v
	}
	share := min(1, max(0, sum-1))
	if share == 0 {
		v.Reason = "as many speak for it"
		return v
	}
	var ages []time.Duration
	for _, a := range accusers {
		ages = append(ages, now-a.LastBad)
		if v.Cause == NoCause || a.Cause < v.Cause {
			v.Cause = a.Cause
		}
	}
	if own {
		ages = append(ages, now-mine.LastBad)
	}
	slices.Sort(ages)
	v.Age = ages[min(1, len(ages)-1)]
	left := math.Exp2(-v.Age.Seconds() / max(cfg.HalfLife.Seconds(), 0.1))
	v.Slowness = 1 + (mostSlow-1)*bad/(bad+good+0.5)*share*left
	v.Reason, v.Since = "blamed", oldest
	return v
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Restrain lifts all blames where two or more speak against too many nodes for those to be the cause: all are slow at once, or a part's
// network is. It returns whether it did.
func LimitEjections(verdicts []Assessment, nodes int) bool {
	n := 0
	for _, v := range verdicts {
		if v.AdverseCount >= quorum {
			n++
		}
	}
	if n <= max(1, int(mostBlamed*float64(nodes))) {
		return false
	}
	for i := range verdicts {
		if verdicts[i].Slowness > 1 {
			verdicts[i].Slowness, verdicts[i].Reason = 1, "too many nodes are blamed at once"
		}
	}
	return true
}

// Fader lets blames go by this instance's own chance, so that those who left a node together do not come back together.
type Decay struct {
	rng  *rand.Rand
	now  time.Duration
	held map[policy.BackendID]fading
}

type fading struct {
	slow float64
	over time.Duration // the time in which it goes to a third
}

// NewFader returns one that holds nothing.
func NewDecay(rng *rand.Rand) *Decay { return &Decay{rng: rng, held: map[policy.BackendID]fading{}} }

// Hold takes the verdicts of a time and returns the slowness that is in force for each node that has any: a blame holds at once,
// and goes slowly unless this instance is served by the node itself.
func (f *Decay) Apply(now time.Duration, verdicts []Assessment) map[policy.BackendID]float64 {
	dt := (now - f.now).Seconds()
	f.now = now
	seen := map[policy.BackendID]Assessment{}
	for _, v := range verdicts {
		seen[v.Backend] = v
		if h, has := f.held[v.Backend]; v.Slowness > 1 && v.Slowness >= h.slow {
			if !has {
				h.over = fadeLeast + time.Duration(f.rng.Int64N(int64(fadeSpread)))
			}
			h.slow = v.Slowness
			f.held[v.Backend] = h
		}
	}
	out := map[policy.BackendID]float64{}
	for id, h := range f.held {
		v := seen[id]
		if slices.Contains(v.Defenders, "") {
			delete(f.held, id)
			continue
		}
		if goal := max(1, v.Slowness); h.slow > goal {
			h.slow = goal + (h.slow-goal)*math.Exp(-dt/h.over.Seconds())
		}
		if h.slow < 1.05 {
			delete(f.held, id)
			continue
		}
		f.held[id] = h
		out[id] = h.slow
	}
	return out
}

// Teller decides which own opinions are worth telling.
type Publisher struct{ told map[policy.BackendID]telling }

type telling struct {
	at, born time.Duration
	accuses  bool
	whole    bool // it had its whole weight
}

// NewTeller returns one that has told nothing.
func NewPublisher() *Publisher { return &Publisher{told: map[policy.BackendID]telling{}} }

// Told says whether something was told of a node: then its opinion goes on being looked at.
func (t *Publisher) HasPublished(node policy.BackendID) bool { _, told := t.told[node]; return told }

// Tell picks the opinions to tell now: those that speak against a node, and those of ends that went well after the trouble of one who
// accuses it began, or after this instance has accused it. accused has the last such beginning that the own end came after, by node.
func (t *Publisher) Select(now time.Duration, own []Observation, accused map[policy.BackendID]time.Duration) (out []Observation) {
	there := map[policy.BackendID]bool{}
	for _, o := range own {
		there[o.Backend] = true
		last, has := t.told[o.Backend]
		next := telling{now, o.ObservedAt(), o.IsAdverse(), max(o.Good, o.Bad) >= fullWeight}
		since, under := accused[o.Backend]
		news := next.accuses != last.accuses || under && o.LastGood > since && next.whole && !last.whole
		switch {
		case next.born <= last.born && !news:
			continue
		case !next.accuses && !last.accuses && !news && (!under || o.LastGood <= since || last.born > since):
			continue
		case has && !news && now-last.at < tellAfter:
			continue
		}
		t.told[o.Backend] = next
		out = append(out, o)
	}
	maps.DeleteFunc(t.told, func(id policy.BackendID, _ telling) bool { return !there[id] })
	return out
}

// Born is when the opinion was seen: its last bad end where it accuses, else its last good one.
func (o Observation) ObservedAt() time.Duration {
	if o.IsAdverse() {
		return o.LastBad
	}
	return o.LastGood
}
