package policy

import (
	"slices"
	"time"
)

// anchor is the first attempt that is out or may have run.
func (r *request) anchor() *attempt {
	if i := slices.IndexFunc(r.attempts, func(a *attempt) bool { return a.mayRun }); i >= 0 {
		return r.attempts[i]
	}
	return nil
}

// repeatable says whether another attempt may go out now.
func (g *Engine) repeatable(r *request) bool {
	if len(r.attempts) >= max(g.set.MaxAttempts, 1) || r.stream || r.final {
		return false
	}
	a := r.anchor()
	return a == nil || r.class.Effect == Safe || // the margin is for the way there
		r.class.Effect == Keyed && g.now-a.sent < r.class.RepeatWindow*9/10
}

func (g *Engine) send(r *request, s *server) {
	if !r.sent {
		r.sent = true
		g.retries = min(g.part(), g.retries+retryRatio)
		r.cust.ceiling -= r.Units
	}
	a := &attempt{n: len(r.attempts), s: s, zone: s.Zone, cell: s.Cell, sent: g.now, mayRun: true}
	r.attempts = append(r.attempts, a)
	r.outs, r.cust.open, g.busy = r.outs+1, r.cust.open+1, g.busy+1
	s.out = append(s.out, a)
	g.halls[s.Zone].spend()
	s.lastSent, g.lastSent, s.phase = g.now, g.now, 1
	if g.warmth(s) < 1 {
		g.cold--
	}
	var stop time.Duration
	if !g.set.Hedging && r.class.mean > 0 && r.class.Effect != Unsafe { // ends for another
		stop = g.now + max(r.class.takes(2*hedgeDevs), r.class.LatencyObjective/3)
	}
	g.do(SendAttempt{ID: r.ID, Backend: s.ID, StopAt: stop})
}

// watch looks after a request that is out: a copy goes to another server when the answer is overdue.
func (g *Engine) watch(r *request) {
	for _, a := range r.attempts {
		if !a.ended && !a.lost && g.now-a.sent > r.class.LatencyObjective {
			a.lost = true
			g.busy--
			g.judge(a, r.class, TimedOut, 0)
		}
	}
	if !g.set.Hedging || r.Delegated || r.held || r.outs != 1 || g.retries < 1 || r.beyond ||
		g.now > r.arrived+r.class.LatencyObjective || r.class.mean == 0 || g.pressed() || !g.repeatable(r) || !g.mayGo(r) {
		return
	}
	if last := r.attempts[len(r.attempts)-1]; g.now-last.sent < r.class.takes(hedgeDevs) {
		return
	}
	if s := g.choose(r); s != nil && !r.tried(s) {
		g.retries--
		g.send(r, s)
	}
}

func (g *Engine) attemptEnded(ev AttemptEnded) {
	r := g.requests[ev.ID]
	if r == nil || ev.Attempt >= len(r.attempts) || r.attempts[ev.Attempt].ended {
		return
	}
	a := r.attempts[ev.Attempt]
	a.ended, a.mayRun = true, !ev.Outcome.NeverRan()
	a.s.out = slices.DeleteFunc(a.s.out, func(b *attempt) bool { return a == b })
	r.outs, r.cust.open = r.outs-1, r.cust.open-1
	if !a.lost {
		g.busy--
		g.judge(a, r.class, ev.Outcome, ev.Took)
	}
	g.observe(a, r.class, ev.Outcome, ev.Took)
	if ev.Unsent && len(r.attempts) == 1 { // no node has seen it: it took nothing
		r.sent = false
		r.cust.ceiling += r.Units
	}
	switch {
	case r.final:
	case ev.Finished:
		if r.plan.SettledByReply && ev.SettledUnits > 0 && r.charged {
			r.cust.block -= ev.SettledUnits - r.Units
		}
		g.close(r)
	case r.outs > 0 || r.held: // held: since its hall was lost
	case !g.repeatable(r) || r.GiveUpAt-g.now < r.class.takes(0)+2*g.sweep ||
		g.retries < 1 && ev.Outcome != NotSent:
		r.why = NoRetry
		g.giveUp(r)
	default: // tried again where its class, its time and the budget allow; what was never sent cost nothing
		if ev.Outcome != NotSent {
			g.retries--
		}
		g.hold(r)
	}
}

// giveUp answers for good: refused where trying again is surely harmless, else failed.
func (g *Engine) giveUp(r *request) {
	if r.anchor() != nil && r.class.Effect != Safe && (r.class.Effect != Keyed || r.class.Group != GroupAll) {
		g.do(Fail{ID: r.ID, Reason: r.why})
		g.close(r)
		return
	}
	g.refuse(r, r.class.LatencyObjective)
}

func (g *Engine) refuse(r *request, after time.Duration) {
	g.do(Reject{ID: r.ID, RetryAfter: g.spread(min(max(after, g.pace), g.set.MaxRetryAfter)), Reason: r.why})
	g.close(r)
}

// close marks the request as finally answered and calls off what is still out for it.
func (g *Engine) close(r *request) {
	if r.held {
		g.unhold(r)
	}
	if r.charged && !r.sent {
		r.cust.block += r.Units
	}
	r.final = true
	for _, a := range r.attempts {
		if !a.ended && g.set.MayCancel && !r.stream {
			g.do(CancelAttempt{ID: r.ID, Attempt: a.n})
		}
	}
}
