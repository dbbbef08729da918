package core

import (
	"crypto/rand"
	"encoding/hex"
	"time"

	"hitchspring/internal/backend"
	"hitchspring/internal/lease"
	"hitchspring/policy"
)

// Leases says how attempts are handed out to those who send them themselves.
type Leases struct {
	Timeout     time.Duration // an attempt that nobody reports on counts as out for so long, then as one that may have run
	StartWithin time.Duration // it must be sent within so long of its grant; well under the grace of a drain
	Retention   time.Duration // an answer is remembered for so long after its client's time
	MaxRequests int           // requests that are kept
}

// Grant is a node for one attempt.
type Grant struct {
	Lease       string
	Backend     string // its id
	Addr        string
	Attempt     int           // of its request, from 0
	StartWithin time.Duration // from now
	EndsWithin  time.Duration // from now: a report after that is late
}

// mostWaiting bounds how many callers wait for the decision on one id.
const mostWaiting = 4

// handing is the books of attempts that were handed out, with those who wait. The core's goroutine owns it.
type handing struct {
	book    *lease.Registry
	open    map[string]*handed // by id
	leases  map[string]*handed // by lease
	ringing time.Duration      // when the next alarm is set for; 0: none
}

// handed is a request whose attempts are handed out; it is the place of its final answer.
type handed struct {
	g       *Core
	r       *Request
	entry   *lease.Request
	waiting []ReplySink
	attempt *backend.Attempt // of the entry's lease, while that is out
}

func newHanding(c Leases) *handing {
	return &handing{
		book: lease.New(lease.Config{Timeout: c.Timeout, StartWithin: c.StartWithin, Retention: c.Retention, MaxRequests: c.MaxRequests}),
		open: map[string]*handed{}, leases: map[string]*handed{},
	}
}

// The events of a front that hands attempts out.
type (
	asked struct {
		r     *Request
		id    string
		print uint64
		place ReplySink
	}
	left struct {
		id    string
		place ReplySink
	}
	reported struct {
		lease string
		out   lease.Outcome
		tell  func(ReportResult)
	}
)

// ReportAnswer is what became of a report, and where its request stands after it.
type ReportResult struct {
	Err   error // lease.ErrUnknown, ErrLate or ErrConflict
	First bool  // it was news
	State lease.State
	Next  Answer // another grant, or the final answer
}

// Ask hands in a request whose attempts its caller sends itself. The same id, within its time, has the same answer, whoever
// asks; print tells whether it was asked with the same particulars. The place is answered once, unless Leave comes first.
func (g *Core) RequestLease(r *Request, id string, print uint64, place ReplySink) {
	g.post(asked{r, id, print, place})
}

// Leave tells that a caller waits no longer.
func (g *Core) CancelWait(id string, place ReplySink) { g.post(left{id, place}) }

// Report tells how a lease's attempt went; tell is called once, on the core's goroutine, and must not block.
func (g *Core) ReportOutcome(name string, out lease.Outcome, tell func(ReportResult)) {
	g.post(reported{name, out, tell})
}

func (g *Core) asked(ev asked) {
	h := g.handing
	g.lapse()
	entry, err := h.book.Find(ev.id, ev.print)
	switch {
	case err != nil:
		ev.place.Deliver(Answer{Kind: Mismatched})
		return
	case entry != nil:
		if a, ok := g.stands(entry); ok {
			ev.place.Deliver(a)
		} else if x := h.open[ev.id]; x != nil && len(x.waiting) >= mostWaiting && entry.Lease != nil {
			ev.place.Deliver(Answer{Kind: Failed}) // an attempt was granted: a refusal would say that trying again is harmless
		} else if x == nil || len(x.waiting) >= mostWaiting {
			ev.place.Deliver(Answer{Kind: Rejected, RetryAfter: OverloadRetryAfter})
		} else {
			x.waiting = append(x.waiting, ev.place)
		}
		return
	}
	if ev.r.GiveUpAt <= g.now {
		ev.place.Deliver(Answer{Kind: Rejected, RetryAfter: OverloadRetryAfter})
		return
	}
	if entry, err = h.book.Open(ev.id, ev.print, ev.r.GiveUpAt); err != nil {
		ev.place.Deliver(Answer{Kind: Rejected, RetryAfter: OverloadRetryAfter})
		return
	}
	x := &handed{g: g, r: ev.r, entry: entry, waiting: []ReplySink{ev.place}}
	h.open[ev.id] = x
	ev.r.Delegated, ev.r.Sink = true, x
	g.arm()
	g.arrived(ev.r)
}

// stands is the answer as it stands; false while the decision is open.
func (g *Core) stands(e *lease.Request) (Answer, bool) {
	switch e.State {
	case lease.Open:
		return Answer{}, false
	case lease.Granted:
		l := e.Lease
		return Answer{Kind: Granted, Grant: Grant{Lease: l.Name, Backend: l.Node, Addr: l.Addr, Attempt: l.Attempt, StartWithin: max(0, l.StartBy-g.now), EndsWithin: max(0, l.ExpiresAt-g.now)}}, true
	case lease.Rejected:
		return Answer{Kind: Rejected, RetryAfter: e.RetryAfter}, true
	case lease.Failed:
		return Answer{Kind: Failed}, true
	}
	return Answer{Kind: Concluded, State: e.State}, true
}

// Answer is the module's final word on a request that is handed out.
func (x *handed) Deliver(a Answer) {
	s := lease.Failed
	if a.Kind == Rejected {
		s = lease.Rejected
	}
	x.g.handing.book.Decide(x.entry, s, a.RetryAfter)
	x.close()
	x.tell(a)
}

// tell answers all who wait.
func (x *handed) tell(a Answer) {
	for _, p := range x.waiting {
		p.Deliver(a)
	}
	x.waiting = nil
}

func (x *handed) close() { delete(x.g.handing.open, x.entry.ID) }

// Gone reports whether all who asked have hung up. Where nobody waits, a report's answer or a later call learns the decision.
func (x *handed) Disconnected() bool {
	for _, p := range x.waiting {
		if !p.Disconnected() {
			return false
		}
	}
	return len(x.waiting) > 0
}

// withdraw forgets a request that no backend was granted for, and that nobody waits for.
func (x *handed) withdraw() {
	x.close()
	x.g.handing.book.Forget(x.entry)
}

// grant gives an attempt to those who wait for it. false: nobody may send it.
func (g *Core) grant(r *Request, a *backend.Attempt, id policy.BackendID) bool {
	x, ok := r.Sink.(*handed)
	addr, serves := g.nodes.Addr(id)
	if !ok || !serves || x.attempt != nil {
		return false
	}
	var b [16]byte
	rand.Read(b[:]) // never fails
	l := g.handing.book.Grant(g.now, x.entry, hex.EncodeToString(b[:]), string(id), addr, a.Number, r.GiveUpAt, a.By)
	if l == nil {
		return false
	}
	x.attempt = a
	g.handing.leases[l.Name] = x
	g.arm()
	ans, _ := g.stands(x.entry)
	x.tell(ans)
	return true
}

// left takes out one who waits. A request that nobody waits for and that no node was granted for is given up: it took nothing.
func (g *Core) left(ev left) {
	x := g.handing.open[ev.id]
	if x == nil {
		return
	}
	kept := x.waiting[:0]
	for _, p := range x.waiting {
		if p != ev.place {
			kept = append(kept, p)
		}
	}
	x.waiting = kept
	if len(kept) == 0 && x.entry.State == lease.Open && len(x.r.attempts) == 0 {
		x.withdraw()
		g.abandon(x.r)
	}
}

// reported ends a lease. What was served, or never sent, is over; after anything else the module decides whether there is
// another attempt, and the report's answer says so where it has.
func (g *Core) reported(ev reported) {
	h := g.handing
	g.lapse()
	entry, l, first, err := h.book.Report(g.now, ev.lease, ev.out)
	if first {
		x := h.leases[l.Name]
		delete(h.leases, l.Name)
		switch ev.out {
		case lease.OutcomeServed:
			g.endHanded(x, policy.Succeeded, true, false)
		case lease.OutcomeUnsent:
			g.endHanded(x, policy.NotSent, true, true)
		case lease.OutcomeRejected:
			g.endHanded(x, policy.Rejected, false, false)
		default:
			g.endHanded(x, policy.Failed, false, false)
		}
		g.flush()
	}
	out := ReportResult{Err: err, First: first}
	if entry != nil {
		out.State = entry.State
		out.Next, _ = g.stands(entry)
	}
	ev.tell(out)
}

// endHanded tells the module how a lease's attempt ended; over: there is no other, whatever the module would have.
func (g *Core) endHanded(x *handed, o policy.Outcome, over, unsent bool) {
	a := x.attempt
	x.attempt = nil
	x.r.out--
	if over {
		x.r.final = true
		g.fig.RequestEnded(x.r.Class, endOf(o))
		x.close()
		x.tell(Answer{Kind: Concluded, State: x.entry.State})
	}
	g.ended(x.r, policy.AttemptEnded{ID: x.r.ID, Attempt: a.Number, Backend: policy.BackendID(x.entry.Lease.Node), Outcome: o, Took: g.now - a.StartedAt, Finished: x.r.final, Unsent: unsent})
}

// lapse ends the leases that have run out: their attempts may have run.
func (g *Core) lapse() {
	for _, e := range g.handing.book.Expire(g.now) {
		if x := g.handing.leases[e.Lease.Name]; x != nil {
			delete(g.handing.leases, e.Lease.Name)
			g.endHanded(x, policy.TimedOut, true, false)
		}
	}
}

// arm sets the alarm for what runs out next.
func (g *Core) arm() {
	h := g.handing
	next, any := h.book.NextExpiry()
	if !any || h.ringing > g.now && h.ringing <= next {
		return
	}
	h.ringing = next
	g.at(next, func() {
		if h.ringing == next {
			h.ringing = 0
		}
		g.lapse()
		g.arm()
	})
}
