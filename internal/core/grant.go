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
const maxLeaseWaiters = 4

// handing is the books of attempts that were handed out, with those who wait. The core's goroutine owns it.
type leaseTable struct {
	registry    *lease.Registry
	byRequestID    map[string]*leasedRequest // by id
	byLease  map[string]*leasedRequest // by lease
	nextTimer time.Duration      // when the next alarm is set for; 0: none
}

// handed is a request whose attempts are handed out; it is the place of its final answer.
type leasedRequest struct {
	core       *Core
	request       *Request
	entry   *lease.Request
	waiters []ReplySink
	attempt *backend.Attempt // of the entry's lease, while that is out
}

func newLeaseTable(c Leases) *leaseTable {
	return &leaseTable{
		registry: lease.New(lease.Config{Timeout: c.Timeout, StartWithin: c.StartWithin, Retention: c.Retention, MaxRequests: c.MaxRequests}),
		byRequestID: map[string]*leasedRequest{}, byLease: map[string]*leasedRequest{},
	}
}

// The events of a front that hands attempts out.
type (
	leaseRequested struct {
		request     *Request
		id    string
		fingerprint uint64
		sink ReplySink
	}
	waitCanceled struct {
		id    string
		sink ReplySink
	}
	outcomeReported struct {
		lease string
		outcome   lease.Outcome
		notify  func(ReportResult)
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
func (c *Core) RequestLease(r *Request, id string, print uint64, place ReplySink) {
	c.post(leaseRequested{r, id, print, place})
}

// Leave tells that a caller waits no longer.
func (c *Core) CancelWait(id string, place ReplySink) { c.post(waitCanceled{id, place}) }

// Report tells how a lease's attempt went; tell is called once, on the core's goroutine, and must not block.
func (c *Core) ReportOutcome(name string, out lease.Outcome, tell func(ReportResult)) {
	c.post(outcomeReported{name, out, tell})
}

func (c *Core) handleLeaseRequest(ev leaseRequested) {
	h := c.leases
	c.expireLeases()
	entry, err := h.registry.Find(ev.id, ev.fingerprint)
	switch {
	case err != nil:
		ev.sink.Deliver(Answer{Kind: Mismatched})
		return
	case entry != nil:
		if a, ok := c.leaseAnswer(entry); ok {
			ev.sink.Deliver(a)
		} else if x := h.byRequestID[ev.id]; x != nil && len(x.waiters) >= maxLeaseWaiters && entry.Lease != nil {
			ev.sink.Deliver(Answer{Kind: Failed}) // an attempt was granted: a refusal would say that trying again is harmless
		} else if x == nil || len(x.waiters) >= maxLeaseWaiters {
			ev.sink.Deliver(Answer{Kind: Rejected, RetryAfter: OverloadRetryAfter})
		} else {
			x.waiters = append(x.waiters, ev.sink)
		}
		return
	}
	if ev.request.GiveUpAt <= c.now {
		ev.sink.Deliver(Answer{Kind: Rejected, RetryAfter: OverloadRetryAfter})
		return
	}
	if entry, err = h.registry.Open(ev.id, ev.fingerprint, ev.request.GiveUpAt); err != nil {
		ev.sink.Deliver(Answer{Kind: Rejected, RetryAfter: OverloadRetryAfter})
		return
	}
	x := &leasedRequest{core: c, request: ev.request, entry: entry, waiters: []ReplySink{ev.sink}}
	h.byRequestID[ev.id] = x
	ev.request.Delegated, ev.request.Sink = true, x
	c.scheduleLeaseExpiry()
	c.handleArrival(ev.request)
}

// stands is the answer as it stands; false while the decision is open.
func (c *Core) leaseAnswer(e *lease.Request) (Answer, bool) {
	switch e.State {
	case lease.Open:
		return Answer{}, false
	case lease.Granted:
		l := e.Lease
		return Answer{Kind: Granted, Grant: Grant{Lease: l.Name, Backend: l.Node, Addr: l.Addr, Attempt: l.Attempt, StartWithin: max(0, l.StartBy-c.now), EndsWithin: max(0, l.ExpiresAt-c.now)}}, true
	case lease.Rejected:
		return Answer{Kind: Rejected, RetryAfter: e.RetryAfter}, true
	case lease.Failed:
		return Answer{Kind: Failed}, true
	}
	return Answer{Kind: Concluded, State: e.State}, true
}

// Answer is the module's final word on a request that is handed out.
func (l *leasedRequest) Deliver(a Answer) {
	s := lease.Failed
	if a.Kind == Rejected {
		s = lease.Rejected
	}
	l.core.leases.registry.Decide(l.entry, s, a.RetryAfter)
	l.stopWaiting()
	l.notifyWaiters(a)
}

// tell answers all who wait.
func (l *leasedRequest) notifyWaiters(a Answer) {
	for _, p := range l.waiters {
		p.Deliver(a)
	}
	l.waiters = nil
}

func (l *leasedRequest) stopWaiting() { delete(l.core.leases.byRequestID, l.entry.ID) }

// Gone reports whether all who asked have hung up. Where nobody waits, a report's answer or a later call learns the decision.
func (l *leasedRequest) Disconnected() bool {
	for _, p := range l.waiters {
		if !p.Disconnected() {
			return false
		}
	}
	return len(l.waiters) > 0
}

// withdraw forgets a request that no backend was granted for, and that nobody waits for.
func (l *leasedRequest) forget() {
	l.stopWaiting()
	l.core.leases.registry.Forget(l.entry)
}

// grant gives an attempt to those who wait for it. false: nobody may send it.
func (c *Core) grantLease(r *Request, a *backend.Attempt, id policy.BackendID) bool {
	x, ok := r.Sink.(*leasedRequest)
	addr, serves := c.backends.Addr(id)
	if !ok || !serves || x.attempt != nil {
		return false
	}
	var b [16]byte
	rand.Read(b[:]) // never fails
	l := c.leases.registry.Grant(c.now, x.entry, hex.EncodeToString(b[:]), string(id), addr, a.Number, r.GiveUpAt, a.By)
	if l == nil {
		return false
	}
	x.attempt = a
	c.leases.byLease[l.Name] = x
	c.scheduleLeaseExpiry()
	ans, _ := c.leaseAnswer(x.entry)
	x.notifyWaiters(ans)
	return true
}

// left takes out one who waits. A request that nobody waits for and that no node was granted for is given up: it took nothing.
func (c *Core) cancelWait(ev waitCanceled) {
	x := c.leases.byRequestID[ev.id]
	if x == nil {
		return
	}
	kept := x.waiters[:0]
	for _, p := range x.waiters {
		if p != ev.sink {
			kept = append(kept, p)
		}
	}
	x.waiters = kept
	if len(kept) == 0 && x.entry.State == lease.Open && len(x.request.attempts) == 0 {
		x.forget()
		c.abandonRequest(x.request)
	}
}

// reported ends a lease. What was served, or never sent, is over; after anything else the module decides whether there is
// another attempt, and the report's answer says so where it has.
func (c *Core) handleOutcomeReport(ev outcomeReported) {
	h := c.leases
	c.expireLeases()
	entry, l, first, err := h.registry.Report(c.now, ev.lease, ev.outcome)
	if first {
		x := h.byLease[l.Name]
		delete(h.byLease, l.Name)
		switch ev.outcome {
		case lease.OutcomeServed:
			c.endLease(x, policy.Succeeded, true, false)
		case lease.OutcomeUnsent:
			c.endLease(x, policy.NotSent, true, true)
		case lease.OutcomeRejected:
			c.endLease(x, policy.Rejected, false, false)
		default:
			c.endLease(x, policy.Failed, false, false)
		}
		c.flushEvents()
	}
	out := ReportResult{Err: err, First: first}
	if entry != nil {
		out.State = entry.State
		out.Next, _ = c.leaseAnswer(entry)
	}
	ev.notify(out)
}

// endHanded tells the module how a lease's attempt ended; over: there is no other, whatever the module would have.
func (c *Core) endLease(x *leasedRequest, o policy.Outcome, over, unsent bool) {
	a := x.attempt
	x.attempt = nil
	x.request.inFlight--
	if over {
		x.request.finished = true
		c.metrics.RequestEnded(x.request.Class, requestEndOf(o))
		x.stopWaiting()
		x.notifyWaiters(Answer{Kind: Concluded, State: x.entry.State})
	}
	c.notifyAttemptEnded(x.request, policy.AttemptEnded{ID: x.request.ID, Attempt: a.Number, Backend: policy.BackendID(x.entry.Lease.Node), Outcome: o, Took: c.now - a.StartedAt, Finished: x.request.finished, Unsent: unsent})
}

// lapse ends the leases that have run out: their attempts may have run.
func (c *Core) expireLeases() {
	for _, e := range c.leases.registry.Expire(c.now) {
		if x := c.leases.byLease[e.Lease.Name]; x != nil {
			delete(c.leases.byLease, e.Lease.Name)
			c.endLease(x, policy.TimedOut, true, false)
		}
	}
}

// arm sets the alarm for what runs out next.
func (c *Core) scheduleLeaseExpiry() {
	h := c.leases
	next, any := h.registry.NextExpiry()
	if !any || h.nextTimer > c.now && h.nextTimer <= next {
		return
	}
	h.nextTimer = next
	c.scheduleAt(next, func() {
		if h.nextTimer == next {
			h.nextTimer = 0
		}
		c.expireLeases()
		c.scheduleLeaseExpiry()
	})
}
