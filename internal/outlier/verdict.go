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
type Heard struct {
	Owner string
	Hall  string // of the owner; "": not known
	Opinion
}

// Config is what the judgement depends on.
type Config struct {
	Hall   string        // of this instance
	Memory time.Duration // half of a node's slowness is forgotten in it, as in the decision module
}

// Verdict is what others' words come to for one node, and why.
type Verdict struct {
	Node     policy.ServerID
	Slow     float64 // times the usual latency that it is to be reckoned with; 1: nothing
	Cause    Cause
	Accusers []string      // whose words count against it; "" is this instance
	Defence  []string      // whose count for it
	Voices   int           // that speak against it, whether or not they count
	Why      string        // what it came to
	Age      time.Duration // of the youngest accusation but one
	Since    time.Duration // when the first accuser's trouble began; 0: nobody is blamed
}

// Judge pools the evidence on one node. mine is this instance's own opinion, heard those of others on the same start of it.
//
//   - An owner's weight is 1 at the most, however much it has seen and however often it says so.
//   - A blame takes the weight of more than one owner, and at least two of them.
//   - An owner whose last attempt went well speaks against every accusation of trouble that began before; where this instance is that
//     owner, and was served after the last accuser's trouble began, nobody else's word counts.
//   - Trouble that began a moment ago may be a moment's queue.
//   - Words from another hall count only where they come from two halls: what is bad from one hall is bad there.
func Judge(now time.Duration, cfg Config, mine Opinion, heard []Heard) Verdict {
	v := Verdict{Node: mine.Node, Slow: 1}
	type voice struct {
		Heard
		weight float64
	}
	var accusers, others []voice
	for _, h := range heard {
		if h.Accuses() && now-h.LastBad <= Horizon {
			if w := min(1, h.Bad/fullWeight); w > leastWeight {
				accusers = append(accusers, voice{h, w})
			}
		} else if h.LastGood > 0 && now-h.LastGood <= Horizon {
			others = append(others, voice{h, min(1, h.Good/fullWeight)})
		}
	}
	near := slices.DeleteFunc(slices.Clone(accusers), func(a voice) bool { return a.Hall != cfg.Hall })
	halls := map[string]bool{}
	for _, a := range accusers {
		halls[a.Hall] = true
	}
	own := mine.Accuses() && now-mine.LastBad <= Horizon
	v.Voices = len(accusers) + btoi(own)
	switch {
	case len(accusers) == 0:
		return v
	case len(near)+btoi(own) >= quorum:
		if !own || len(near) > 0 {
			accusers = near
		}
	case len(halls)+btoi(own && !halls[cfg.Hall]) < quorum:
		v.Why = "only one hall speaks against it, and it is not this one"
		return v
	}
	var onset, oldest time.Duration // when the last accuser's trouble began; the first one's
	for _, a := range accusers {
		onset, v.Accusers = max(onset, a.Onset), append(v.Accusers, a.Owner)
		if oldest == 0 || a.Onset < oldest {
			oldest = a.Onset
		}
	}
	if mine.LastGood > onset && mine.LastGood > mine.LastBad {
		v.Defence, v.Why = append(v.Defence, ""), "it serves this instance"
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
			v.Defence = append(v.Defence, o.Owner)
		}
	}
	if own {
		v.Accusers = append(v.Accusers, "")
		sum += min(1, mine.Bad/fullWeight)
		bad += min(mine.Bad, fullWeight)
		oldest = min(oldest, mine.Onset)
	}
	switch {
	case len(v.Accusers) < quorum:
		v.Why = "one instance's word"
		return v
	case now-oldest < lasting:
		v.Why = "it has not lasted"
		return v
	}
	share := min(1, max(0, sum-1))
	if share == 0 {
		v.Why = "as many speak for it"
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
	left := math.Exp2(-v.Age.Seconds() / max(cfg.Memory.Seconds(), 0.1))
	v.Slow = 1 + (mostSlow-1)*bad/(bad+good+0.5)*share*left
	v.Why, v.Since = "blamed", oldest
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
func Restrain(verdicts []Verdict, nodes int) bool {
	n := 0
	for _, v := range verdicts {
		if v.Voices >= quorum {
			n++
		}
	}
	if n <= max(1, int(mostBlamed*float64(nodes))) {
		return false
	}
	for i := range verdicts {
		if verdicts[i].Slow > 1 {
			verdicts[i].Slow, verdicts[i].Why = 1, "too many nodes are blamed at once"
		}
	}
	return true
}

// Fader lets blames go by this instance's own chance, so that those who left a node together do not come back together.
type Fader struct {
	rng  *rand.Rand
	now  time.Duration
	held map[policy.ServerID]fading
}

type fading struct {
	slow float64
	over time.Duration // the time in which it goes to a third
}

// NewFader returns one that holds nothing.
func NewFader(rng *rand.Rand) *Fader { return &Fader{rng: rng, held: map[policy.ServerID]fading{}} }

// Hold takes the verdicts of a time and returns the slowness that is in force for each node that has any: a blame holds at once,
// and goes slowly unless this instance is served by the node itself.
func (f *Fader) Hold(now time.Duration, verdicts []Verdict) map[policy.ServerID]float64 {
	dt := (now - f.now).Seconds()
	f.now = now
	seen := map[policy.ServerID]Verdict{}
	for _, v := range verdicts {
		seen[v.Node] = v
		if h, has := f.held[v.Node]; v.Slow > 1 && v.Slow >= h.slow {
			if !has {
				h.over = fadeLeast + time.Duration(f.rng.Int64N(int64(fadeSpread)))
			}
			h.slow = v.Slow
			f.held[v.Node] = h
		}
	}
	out := map[policy.ServerID]float64{}
	for id, h := range f.held {
		v := seen[id]
		if slices.Contains(v.Defence, "") {
			delete(f.held, id)
			continue
		}
		if goal := max(1, v.Slow); h.slow > goal {
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
type Teller struct{ told map[policy.ServerID]telling }

type telling struct {
	at, born time.Duration
	accuses  bool
	whole    bool // it had its whole weight
}

// NewTeller returns one that has told nothing.
func NewTeller() *Teller { return &Teller{told: map[policy.ServerID]telling{}} }

// Told says whether something was told of a node: then its opinion goes on being looked at.
func (t *Teller) Told(node policy.ServerID) bool { _, told := t.told[node]; return told }

// Tell picks the opinions to tell now: those that speak against a node, and those of ends that went well after the trouble of one who
// accuses it began, or after this instance has accused it. accused has the last such beginning that the own end came after, by node.
func (t *Teller) Tell(now time.Duration, own []Opinion, accused map[policy.ServerID]time.Duration) (out []Opinion) {
	there := map[policy.ServerID]bool{}
	for _, o := range own {
		there[o.Node] = true
		last, has := t.told[o.Node]
		next := telling{now, o.Born(), o.Accuses(), max(o.Good, o.Bad) >= fullWeight}
		since, under := accused[o.Node]
		news := next.accuses != last.accuses || under && o.LastGood > since && next.whole && !last.whole
		switch {
		case next.born <= last.born && !news:
			continue
		case !next.accuses && !last.accuses && !news && (!under || o.LastGood <= since || last.born > since):
			continue
		case has && !news && now-last.at < tellAfter:
			continue
		}
		t.told[o.Node] = next
		out = append(out, o)
	}
	maps.DeleteFunc(t.told, func(id policy.ServerID, _ telling) bool { return !there[id] })
	return out
}

// Born is when the opinion was seen: its last bad end where it accuses, else its last good one.
func (o Opinion) Born() time.Duration {
	if o.Accuses() {
		return o.LastBad
	}
	return o.LastGood
}
