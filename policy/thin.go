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
	usualUse    = 0.7              // share of its rate that a customer uses, before anything is known
	useHalf     = 20 * time.Second // half of what is known of a customer's use is old
	guessFree   = 1.3              // what a customer may seem to use, in its rate, with no guess against it
	lookKept    = 30 * time.Second // what a total has shown of a customer's use is good for so long
	fewGateways = 20               // more than so many: each sees little of any customer and any server
	coldPower   = 1.4              // of warmth: a small server is sooner pushed over by chance
	coldThin    = 1.2              // the same as coldRate, where many gateways send each a little
	widenPart   = 16.0             // a part of the fleet's window that widens by one in a round trip
	subset      = 12               // servers at least that one of many gateways prefers
	strange     = 1.5              // factor on the others
	darkServers = 3                // servers of one hall that cannot be reached, and none of it answers
	darkFor     = 2 * time.Second  // until one there is tried again, at first
)

// grant is what the window of a sparse customer's name may hold.
func (c *customer) grant() float64 {
	if c.plan.CeilingRate > 0 { // the ends of two windows may meet in one moment
		return min(c.plan.Burst, c.plan.CeilingBurst/2)
	}
	return c.plan.Burst
}

// evidence ages what is known of a sparse customer's use up to now, and counts the time at this gateway.
func (g *Engine) evidence(c *customer) {
	dt := (g.now - c.seenAt).Seconds()
	left := math.Exp2(-dt / useHalf.Seconds())
	c.seenUnits, c.seenFor, c.seenAt = c.seenUnits*left, c.seenFor*left+dt/float64(c.spread), g.now
}

// excess is the units a second that a sparse customer asks for at all gateways, in its rate: what has come
// here and what totals have shown, against what is usual before anything is known.
func (g *Engine) excess(c *customer) float64 {
	usual := max(1, g.set.MaxUnits/2)
	return (usual + c.seenUnits) / (usual/(usualUse*c.plan.Rate) + c.seenFor) / c.plan.Rate
}

// guess says whether a request that the counter is not asked for, or has not answered for, is sent on: of a
// customer that asks for more than its rate, so many that the gateways together send its rate.
func (g *Engine) guess(r *request) bool {
	x := g.excess(r.cust)
	r.odds = 1 / max(1, x)
	return g.rng.Float64() < guessFree/x
}

// look learns from a total of the window; of what it holds a part was counted, and stands for the rest.
func (g *Engine) look(c *customer, r *request, total float64) {
	if r.lease != c.name() {
		return
	}
	from, had := time.Duration(c.epoch)*c.span-c.offset, 0.0
	if c.looked > from {
		from, had = c.looked, c.total
	}
	part := g.askShare * (1 + g.askShare) / 2
	c.seenUnits += max(0, total-had-r.asked) * part
	c.seenFor += (g.now - from).Seconds() * part
	c.total, c.looked = total, g.now
}

// coldTokens is what this gateway may send to cold servers taken together: each is worth a send as often as
// all gateways together may send to it, divided by their number. A space kept for each server would be longer
// than the time that it is cold.
func (g *Engine) coldTokens() float64 {
	if g.coldAt == g.now {
		return g.cold
	}
	rate := 0.0
	for _, s := range g.fleet {
		if w := g.warmth(s); w < 1 {
			rate += math.Pow(w, coldPower)
		}
	}
	if rate == 0 {
		g.cold = -1
	} else if g.cold < 0 { // the first after none: each gateway begins at a part of a send of its own
		g.cold = g.rng.Float64()
	}
	rate *= coldThin * max(g.eachAnswers(), startPerHost/float64(g.set.Instances))
	g.cold, g.coldAt = min(1+rate*0.1, g.cold+rate*(g.now-g.coldAt).Seconds()), g.now
	return g.cold
}

// draw is a server's number in this gateway's round of four: these have each server among them equally.
func (g *Engine) draw(id BackendID) uint64 {
	return hashed(string([]byte{byte(g.set.Index >> 2), byte(g.set.Index >> 10)})+string(id)) >> 7
}

func hashed(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

// mine says whether the server is one of those that this gateway prefers. Each gateway of many uses a few
// often instead of all of them seldom: it learns who is slow from a few answers, and keeps connections warm.
func (g *Engine) mine(s *server) bool { return s.draw%uint64(g.rounds) == uint64(g.set.Index%g.rounds) }

// dark is what speaks against a hall: servers that could not be reached since one there has answered.
type dark struct {
	servers []*server
	until   time.Duration // taken only where there is no other
	again   int           // how often that was put off
}

// darken takes failures to connect to several servers of one hall for the hall's: to learn it of each of them
// would take as many failures as it has servers, times the gateways.
func (g *Engine) darken(s *server, o Outcome) {
	d := g.dark[s.Zone]
	if o != NoConnect || d.until > g.now {
		return
	}
	if !slices.Contains(d.servers, s) {
		d.servers = append(d.servers, s)
	}
	if len(d.servers) >= darkServers {
		d.until = g.now + time.Duration(float64(darkFor<<min(d.again, 3))*(0.5+g.rng.Float64()))
		if d.again++; d.again == 1 {
			g.strand(s.Zone)
		}
	}
	g.dark[s.Zone] = d
}
