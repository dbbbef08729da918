package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

type server struct {
	Backend
	out              []*attempt
	slow, heard      float64 // latency relative to the fleet's: by its answers, by others' word
	phase            float64 // part of the space to the next send
	slowAt, lastSent time.Duration
	banned           time.Duration // no work before, unless too many are
	fails, badRound  int           // failures in a row; last round with an untimely end
	draw             uint64        // of this gateway's round; who shares the round has other servers
	unproven         bool          // of a hall that was lost, and not known to be back itself
}

// learned is the relative latency as remembered, or as others say; slowness also what the longest wait shows.
func (g *Engine) learned(s *server) float64 { return max(1+(s.slow-1)*g.memory(s), s.heard) }

func (g *Engine) slowness(s *server) float64 {
	v := g.learned(s)
	if len(s.out) > 0 && g.lag > 0 {
		v = max(v, (g.now-s.out[0].sent).Seconds()/(3*g.lag))
	}
	return v
}

// memory is the part left of what was learned: half goes in some aims, or between two answers of a server.
func (g *Engine) memory(s *server) float64 {
	half := max(forgetAims*g.longAim.Seconds(), float64(len(g.fleet))/max(g.flow, 1e-3))
	return math.Exp2(-(g.now - s.slowAt).Seconds() / half)
}

// choose picks the server with the least expected wait among those that may take the request.
func (g *Engine) choose(r *request) *server {
	var best *server
	bestScore := math.Inf(1)
	anchor := r.anchor()
	for _, s := range g.fleet {
		bound := anchor != nil && r.class.Effect != Safe && !sameGroup(r.class.Group, anchor, s)
		h := g.halls[s.Zone]
		crawls := !g.thin && len(s.out) > 0 && g.learned(s) > crawling // more would crawl with it
		if bound || crawls || s.unproven || !g.coldRoom(s) || !h.hasRoom(g.now) {
			continue
		}
		score := g.slowness(s)
		if !g.thin && (g.now-max(s.lastSent, s.Started)).Seconds() < unused*s.phase { // of many: too little
			score = max(score, 1/g.warmth(s)) // its answers show the same
		}
		score *= (1 + float64(len(s.out))) * (1 + 0.1*g.rng.Float64())
		if !g.mine(s) {
			score *= strange
		}
		if h != nil {
			score *= h.Price
		} else if s.Zone != g.set.Zone && g.set.CrossZonePrice > 0 {
			score *= 1.3
		}
		if r.tried(s) || g.dark[s.Zone].until > g.now ||
			s.fails >= failsToBan && (s.banned > g.now || len(s.out) > 0) {
			score *= lastResort
		}
		if score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// sameGroup says whether a server shares the memory of keys with the one that an attempt was sent to, as
// that was then.
func sameGroup(of Group, a *attempt, s *server) bool {
	return of == GroupAll || of == GroupZone && a.zone == s.Zone || of == GroupCell && a.cell == s.Cell
}

func (r *request) tried(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.s == s })
}

// observe learns from an attempt's end.
func (g *Engine) observe(a *attempt, c *class, o Outcome, took time.Duration) {
	if o == Cancelled || o == NotSent {
		return
	}
	s, t := a.s, took.Seconds()
	seen := failPenalty
	if o == Succeeded {
		if c.mean == 0 {
			c.mean, c.dev, g.lag = t, t/2, max(g.lag, t)
		}
		seen = min(t/c.mean, failPenalty)
		clipped := min(t, c.mean*failPenalty)
		c.dev += 0.02 * (math.Abs(clipped-c.mean) - c.dev)
		c.mean += 0.02 * (clipped - c.mean)
		g.lag += 0.05 * (clipped - g.lag)
		s.fails, s.banned = 0, 0
		delete(g.dark, s.Zone)
		g.flow, g.flowAt = 1+g.flow*math.Exp(-(g.now-g.flowAt).Seconds()), g.now
	} else {
		s.fails++
		g.darken(s, o)
		if s.fails >= failsToBan {
			s.banned = g.now + g.longAim*time.Duration(uint(1)<<min(s.fails-failsToBan, 4))
		}
	}
	left := g.memory(s)
	s.slow = 1 + (s.slow-1)*left
	s.slow, s.slowAt = s.slow+(1-(1-slowGain)*left)*(seen-s.slow), g.now
}

func (g *Engine) fleetChanged(ev EndpointsChanged) {
	if ev.Failed {
		g.watching = false
		return
	}
	first := len(g.fleet) == 0
	if g.thin {
		g.coldTokens()
	}
	if ev.Complete {
		for _, s := range g.fleet {
			s.State = Gone
		}
	}
	for _, e := range ev.Backends {
		s := g.servers[e.ID]
		if s == nil {
			s = &server{}
			g.servers[e.ID] = s
		}
		if s.slow == 0 || s.Started != e.Started { // new or restarted: only what is still out stays
			*s = server{
				out: s.out, slow: 1, slowAt: g.now, badRound: -1, phase: g.rng.Float64(),
				unproven: s.unproven, draw: g.draw(e.ID),
			}
		}
		s.Backend = e
	}
	g.hosts, g.hostsAt, g.fleet = g.earners(), g.now, g.fleet[:0]
	for id, s := range g.servers {
		if s.State == Running {
			g.fleet = append(g.fleet, s)
		} else if s.State == Gone && len(s.out) == 0 { // ids are ever new: it would stay for good
			delete(g.servers, id)
		}
	}
	slices.SortFunc(g.fleet, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	if first {
		g.window, g.retries = g.part(), g.part()
	}
	for g.rounds = 1; g.thin && g.rounds < 4 && g.rounds*2*subset <= len(g.fleet); {
		g.rounds *= 2 // a power of two: a fleet that shrinks adds to a gateway's servers, and takes none
	}
}

// warmth is the share of its capacity that a server surely has: it grows evenly from the cold share.
func (g *Engine) warmth(s *server) float64 {
	age := g.now - s.Started
	if s.Started == 0 || age >= g.set.SlowStartWindow || g.set.SlowStartWindow <= 0 {
		return 1
	}
	cold := max(g.set.SlowStartShare, 0.01)
	return cold + (1-cold)*max(0, age.Seconds())/g.set.SlowStartWindow.Seconds()
}

// eachAnswers is the answers a second that a warm server gives here. Where most of the fleet has just gone,
// the few that are left have not earned its answers: both figures fade alike.
func (g *Engine) eachAnswers() float64 {
	if g.eachAt != g.now { // many servers are looked at in one moment
		g.eachAt = g.now
		g.each = g.flow * math.Exp(-(g.now - g.flowAt).Seconds()) / max(g.earners(), 0.1)
	}
	return g.each
}

// earners is the warm servers that the answers came from; a cold one counts by its warmth, else a fleet that
// is cold as a whole would take its own slowness for all that servers can do.
func (g *Engine) earners() float64 {
	n := 0.0
	for _, s := range g.fleet {
		w := g.warmth(s)
		if !g.thin { // a crawling one answers little, and that says nothing of the others
			w = min(w, 1/max(1, g.slowness(s)))
		}
		n += w
	}
	return n + max(0, g.hosts-n)*math.Exp(-(g.now-g.hostsAt).Seconds())
}

// coldRoom spaces sends to a cold server by what warm ones answer here, scaled to its warmth, so that the sum
// over all gateways stays within it; the first comes at a random part of the space.
func (g *Engine) coldRoom(s *server) bool {
	w := g.warmth(s)
	if w >= 1 {
		return true
	}
	if g.thin {
		return g.coldTokens() >= 1 && g.now-s.lastSent > time.Second
	}
	rate := coldRate * w * max(g.eachAnswers(), startPerHost/float64(g.set.Instances))
	return (g.now - max(s.lastSent, s.Started)).Seconds() >= s.phase/rate
}
