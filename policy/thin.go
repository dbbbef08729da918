package policy

// Many gateways: what each sees of a customer, a server or a hall is little, and what each does is done as
// often as there are gateways. Constants here are for the fleet, and are divided by their number when used.

import (
	"hash/fnv"
	"math"
	"slices"
	"time"
)

const (
	typicalUse           = 0.7              // share of its rate that a customer uses, before anything is known
	useHalfLife          = 20 * time.Second // half of what is known of a customer's use is old
	estimateTolerance    = 1.3              // what a customer may seem to use, in its rate, with no guess against it
	totalFreshness       = 30 * time.Second // what a total has shown of a customer's use is good for so long
	maxSmallFleet        = 20               // more than so many: each sees little of any customer and any server
	slowStartExponent    = 1.4              // of warmth: a small server is sooner pushed over by chance
	largeFleetRateFactor = 1.2              // the same as coldRate, where many gateways send each a little
	fullGrowthWindow     = 16.0             // a part of the fleet's window that widens by one in a round trip
	minSubset            = 12               // servers at least that one of many gateways prefers
	outsideSubsetFactor  = 1.5              // factor on the others
	unreachableBackends  = 3                // servers of one hall that cannot be reached, and none of it answers
	unreachableBackoff   = 2 * time.Second  // until one there is tried again, at first
)

// grant is what the window of a sparse customer's name may hold.
func (c *tenant) windowGrant() float64 {
	if c.plan.CeilingRate > 0 { // the ends of two windows may meet in one moment
		return min(c.plan.Burst, c.plan.CeilingBurst/2)
	}
	return c.plan.Burst
}

// evidence ages what is known of a sparse customer's use up to now, and counts the time at this gateway.
func (e *Engine) ageObservations(c *tenant) {
	dt := (e.now - c.observedAt).Seconds()
	left := math.Exp2(-dt / useHalfLife.Seconds())
	c.observedUnits, c.observedFor, c.observedAt = c.observedUnits*left, c.observedFor*left+dt/float64(c.spread), e.now
}

// excess is the units a second that a sparse customer asks for at all gateways, in its rate: what has come
// here and what totals have shown, against what is usual before anything is known.
func (e *Engine) estimateUse(c *tenant) float64 {
	usual := max(1, e.settings.MaxUnits/2)
	return (usual + c.observedUnits) / (usual/(typicalUse*c.plan.Rate) + c.observedFor) / c.plan.Rate
}

// guess says whether a request that the counter is not asked for, or has not answered for, is sent on: of a
// customer that asks for more than its rate, so many that the gateways together send its rate.
func (e *Engine) admitByEstimate(r *request) bool {
	x := e.estimateUse(r.tenant)
	r.insideProbability = 1 / max(1, x)
	return e.rng.Float64() < estimateTolerance/x
}

// look learns from a total of the window; of what it holds a part was counted, and stands for the rest.
func (e *Engine) learnFromTotal(c *tenant, r *request, total float64) {
	if r.counterName != c.counterName() {
		return
	}
	from, had := time.Duration(c.epoch)*c.grantWindow-c.windowOffset, 0.0
	if c.totalAt > from {
		from, had = c.totalAt, c.total
	}
	part := e.counterCallShare * (1 + e.counterCallShare) / 2
	c.observedUnits += max(0, total-had-r.counterUnits) * part
	c.observedFor += (e.now - from).Seconds() * part
	c.total, c.totalAt = total, e.now
}

// coldTokens is what this gateway may send to cold servers taken together: each is worth a send as often as
// all gateways together may send to it, divided by their number. A space kept for each server would be longer
// than the time that it is cold.
func (e *Engine) refillSlowStartTokens() float64 {
	if e.slowStartTokensAt == e.now {
		return e.slowStartTokens
	}
	rate := 0.0
	for _, s := range e.running {
		if w := e.capacityShare(s); w < 1 {
			rate += math.Pow(w, slowStartExponent)
		}
	}
	if rate == 0 {
		e.slowStartTokens = -1
	} else if e.slowStartTokens < 0 { // the first after none: each gateway begins at a part of a send of its own
		e.slowStartTokens = e.rng.Float64()
	}
	rate *= largeFleetRateFactor * max(e.answersPerBackend(), initialAttemptsPerBackend/float64(e.settings.Instances))
	e.slowStartTokens, e.slowStartTokensAt = min(1+rate*0.1, e.slowStartTokens+rate*(e.now-e.slowStartTokensAt).Seconds()), e.now
	return e.slowStartTokens
}

// draw is a server's number in this gateway's round of four: these have each server among them equally.
func (e *Engine) hashForSubset(id BackendID) uint64 {
	return hash64(string([]byte{byte(e.settings.Index >> 2), byte(e.settings.Index >> 10)})+string(id)) >> 7
}

func hash64(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

// mine says whether the server is one of those that this gateway prefers. Each gateway of many uses a few
// often instead of all of them seldom: it learns who is slow from a few answers, and keeps connections warm.
func (e *Engine) inSubset(s *backend) bool {
	return s.subsetHash%uint64(e.subsetCount) == uint64(e.settings.Index%e.subsetCount)
}

// dark is what speaks against a hall: servers that could not be reached since one there has answered.
type unreachableZone struct {
	backends   []*backend
	until      time.Duration // taken only where there is no other
	extensions int           // how often that was put off
}

// darken takes failures to connect to several servers of one hall for the hall's: to learn it of each of them
// would take as many failures as it has servers, times the gateways.
func (e *Engine) recordUnreachable(s *backend, o Outcome) {
	d := e.unreachable[s.Zone]
	if o != NoConnect || d.until > e.now {
		return
	}
	if !slices.Contains(d.backends, s) {
		d.backends = append(d.backends, s)
	}
	if len(d.backends) >= unreachableBackends {
		d.until = e.now + time.Duration(float64(unreachableBackoff<<min(d.extensions, 3))*(0.5+e.rng.Float64()))
		if d.extensions++; d.extensions == 1 {
			e.writeOffZone(s.Zone)
		}
	}
	e.unreachable[s.Zone] = d
}
