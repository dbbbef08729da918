package core

import (
	"crypto/rand"
	"encoding/hex"
	"time"

	"hitchspring/internal/backend"
	"hitchspring/internal/lease"
	"hitchspring/policy"
)

// maxLeaseWaiters bounds how many callers wait for the decision on one request.
const maxLeaseWaiters = 4

// LeaseConfig is how attempts are granted to callers who send them themselves.
type LeaseConfig struct {
	Timeout     time.Duration // an attempt that nobody reports on is in flight for so long, and may have run after that
	StartWithin time.Duration // an attempt must be sent within so long of its grant; well below the grace of a drain
	Retention   time.Duration // an answer is kept for so long after its request's deadline
	MaxRequests int           // requests that are kept
}

// Grant is the right to send one attempt to a backend.
type Grant struct {
	Lease       string // its name, by which the outcome is reported
	Backend     string // its id
	Addr        string
	Attempt     int           // number of the attempt within its request, from 0
	StartWithin time.Duration // from now
	EndsWithin  time.Duration // from now; a report after that is late
}

// ReportResult is what became of a reported outcome, and where its request stands after it.
type ReportResult struct {
	Err   error // lease.ErrUnknown, lease.ErrLate or lease.ErrConflict
	First bool  // the lease had not been reported on
	State lease.State
	Next  Answer // another grant, or the final answer
}

// leaseTable is the delegated requests, with their leases and the callers who wait.
type leaseTable struct {
	registry    *lease.Registry
	byRequestID map[string]*leasedRequest // without a decision
	byLease     map[string]*leasedRequest // with a lease that is out
	nextTimer   time.Duration             // when the next timer for expiries is set; 0: none
}

// leasedRequest is a delegated request. It is the sink of the engine's final answer.
type leasedRequest struct {
	core    *Core
	request *Request
	entry   *lease.Request
	waiters []ReplySink
	attempt *backend.Attempt // of the entry's lease, while that is out
}

func newLeaseTable(cfg LeaseConfig) *leaseTable {
	return &leaseTable{
		registry: lease.New(lease.Config{
			Timeout:     cfg.Timeout,
			StartWithin: cfg.StartWithin,
			Retention:   cfg.Retention,
			MaxRequests: cfg.MaxRequests,
		}),
		byRequestID: map[string]*leasedRequest{},
		byLease:     map[string]*leasedRequest{},
	}
}

// The events of a front that grants leases.
type (
	leaseRequested struct {
		request     *Request
		id          string
		fingerprint uint64
		sink        ReplySink
	}
	waitCanceled struct {
		id   string
		sink ReplySink
	}
	outcomeReported struct {
		lease   string
		outcome lease.Outcome
		notify  func(ReportResult)
	}
)

// RequestLease submits a request whose attempts its caller sends itself. Each call with the same id, within the
// retention, gets the same answer, whoever calls; the fingerprint tells whether it is for the same request. The sink
// gets one answer, unless CancelWait comes first.
func (c *Core) RequestLease(r *Request, id string, fingerprint uint64, sink ReplySink) {
	c.post(leaseRequested{r, id, fingerprint, sink})
}

// CancelWait reports that a caller no longer waits for the answer of RequestLease.
func (c *Core) CancelWait(id string, sink ReplySink) { c.post(waitCanceled{id, sink}) }

// ReportOutcome reports the outcome of a lease's attempt. The loop calls notify once, which must not block.
func (c *Core) ReportOutcome(name string, outcome lease.Outcome, notify func(ReportResult)) {
	c.post(outcomeReported{name, outcome, notify})
}

// handleLeaseRequest answers a call for a request that is known, and hands the engine one that is not.
func (c *Core) handleLeaseRequest(ev leaseRequested) {
	table := c.leases
	c.expireLeases()
	entry, err := table.registry.Find(ev.id, ev.fingerprint)
	switch {
	case err != nil:
		ev.sink.Deliver(Answer{Kind: Mismatched})
		return
	case entry != nil:
		c.answerKnownRequest(entry, ev.sink)
		return
	}
	rejection := Answer{Kind: Rejected, RetryAfter: OverloadRetryAfter}
	if ev.request.GiveUpAt <= c.now {
		ev.sink.Deliver(rejection)
		return
	}
	if entry, err = table.registry.Open(ev.id, ev.fingerprint, ev.request.GiveUpAt); err != nil {
		ev.sink.Deliver(rejection)
		return
	}
	l := &leasedRequest{core: c, request: ev.request, entry: entry, waiters: []ReplySink{ev.sink}}
	table.byRequestID[ev.id] = l
	ev.request.Delegated, ev.request.Sink = true, l
	c.scheduleLeaseExpiry()
	c.handleArrival(ev.request)
}

// answerKnownRequest answers a further call for a request, or lets the caller wait for the decision.
func (c *Core) answerKnownRequest(entry *lease.Request, sink ReplySink) {
	if a, decided := c.leaseAnswer(entry); decided {
		sink.Deliver(a)
		return
	}
	l := c.leases.byRequestID[entry.ID]
	full := l != nil && len(l.waiters) >= maxLeaseWaiters
	switch {
	case full && entry.Lease != nil: // an attempt was granted: a rejection would say that a retry is harmless
		sink.Deliver(Answer{Kind: Failed})
	case l == nil || full:
		sink.Deliver(Answer{Kind: Rejected, RetryAfter: OverloadRetryAfter})
	default:
		l.waiters = append(l.waiters, sink)
	}
}

// leaseAnswer returns the answer of a delegated request as it stands, and false while the decision is open.
func (c *Core) leaseAnswer(entry *lease.Request) (a Answer, decided bool) {
	switch entry.State {
	case lease.Open:
		return Answer{}, false
	case lease.Granted:
		l := entry.Lease
		return Answer{Kind: Granted, Grant: Grant{
			Lease:       l.Name,
			Backend:     l.Backend,
			Addr:        l.Address,
			Attempt:     l.Attempt,
			StartWithin: max(0, l.StartBy-c.now),
			EndsWithin:  max(0, l.ExpiresAt-c.now),
		}}, true
	case lease.Rejected:
		return Answer{Kind: Rejected, RetryAfter: entry.RetryAfter}, true
	case lease.Failed:
		return Answer{Kind: Failed}, true
	default:
		return Answer{Kind: Concluded, State: entry.State}, true
	}
}

// Deliver takes the engine's final answer to a delegated request, which is a rejection or a failure.
func (l *leasedRequest) Deliver(a Answer) {
	state := lease.Failed
	if a.Kind == Rejected {
		state = lease.Rejected
	}
	l.core.leases.registry.Decide(l.entry, state, a.RetryAfter)
	l.stopWaiting()
	l.notifyWaiters(a)
}

// Disconnected reports whether all callers have disconnected. If none waits, the caller that reports an outcome or a
// later call learns the decision.
func (l *leasedRequest) Disconnected() bool {
	for _, sink := range l.waiters {
		if !sink.Disconnected() {
			return false
		}
	}
	return len(l.waiters) > 0
}

// notifyWaiters answers all callers who wait.
func (l *leasedRequest) notifyWaiters(a Answer) {
	for _, sink := range l.waiters {
		sink.Deliver(a)
	}
	l.waiters = nil
}

// stopWaiting takes the request out of those without a decision: later calls find it in the registry alone.
func (l *leasedRequest) stopWaiting() { delete(l.core.leases.byRequestID, l.entry.ID) }

// forget removes a request that nobody waits for and that was never granted a lease.
func (l *leasedRequest) forget() {
	l.stopWaiting()
	l.core.leases.registry.Forget(l.entry)
}

// grantLease grants an attempt to the callers who wait. It reports false if nobody may send it.
func (c *Core) grantLease(r *Request, attempt *backend.Attempt, id policy.BackendID) bool {
	l, ok := r.Sink.(*leasedRequest)
	addr, serves := c.backends.Addr(id)
	if !ok || !serves || l.attempt != nil {
		return false
	}
	var name [16]byte
	rand.Read(name[:]) // never fails
	granted := c.leases.registry.Grant(
		c.now, l.entry, hex.EncodeToString(name[:]), string(id), addr, attempt.Number, r.GiveUpAt, attempt.WriteBy)
	if granted == nil {
		return false
	}
	l.attempt = attempt
	c.leases.byLease[granted.Name] = l
	c.scheduleLeaseExpiry()
	a, _ := c.leaseAnswer(l.entry)
	l.notifyWaiters(a)
	return true
}

// cancelWait removes a caller who waited. A request that nobody waits for and that was granted no lease is abandoned.
func (c *Core) cancelWait(ev waitCanceled) {
	l := c.leases.byRequestID[ev.id]
	if l == nil {
		return
	}
	remaining := l.waiters[:0]
	for _, sink := range l.waiters {
		if sink != ev.sink {
			remaining = append(remaining, sink)
		}
	}
	l.waiters = remaining
	if len(remaining) == 0 && l.entry.State == lease.Open && len(l.request.attempts) == 0 {
		l.forget()
		c.abandonRequest(l.request)
	}
}

// handleOutcomeReport ends a lease. A request that was served, or whose attempt was never sent, is over; after any
// other outcome the engine decides on another attempt, and the result of the report says so if it has.
func (c *Core) handleOutcomeReport(ev outcomeReported) {
	c.expireLeases()
	entry, reported, first, err := c.leases.registry.Report(c.now, ev.lease, ev.outcome)
	if first {
		l := c.leases.byLease[reported.Name]
		delete(c.leases.byLease, reported.Name)
		switch ev.outcome {
		case lease.OutcomeServed:
			c.concludeLease(l, policy.Succeeded, false)
		case lease.OutcomeUnsent:
			c.concludeLease(l, policy.NotSent, true)
		case lease.OutcomeRejected:
			c.endLease(l, policy.Rejected, false)
		default:
			c.endLease(l, policy.Failed, false)
		}
		c.flushEvents()
	}
	result := ReportResult{Err: err, First: first}
	if entry != nil {
		result.State = entry.State
		result.Next, _ = c.leaseAnswer(entry)
	}
	ev.notify(result)
}

// concludeLease ends a lease and its request: no other attempt is granted, whatever the engine decides.
func (c *Core) concludeLease(l *leasedRequest, outcome policy.Outcome, unsent bool) {
	l.request.finished = true
	c.metrics.RequestEnded(l.request.Class, requestEndOf(outcome))
	l.stopWaiting()
	l.notifyWaiters(Answer{Kind: Concluded, State: l.entry.State})
	c.endLease(l, outcome, unsent)
}

// endLease notifies the engine of the outcome of a lease's attempt.
func (c *Core) endLease(l *leasedRequest, outcome policy.Outcome, unsent bool) {
	attempt, r := l.attempt, l.request
	l.attempt = nil
	r.inFlight--
	c.notifyAttemptEnded(r, policy.AttemptEnded{
		ID:       r.ID,
		Attempt:  attempt.Number,
		Backend:  policy.BackendID(l.entry.Lease.Backend),
		Outcome:  outcome,
		Took:     c.now - attempt.StartedAt,
		Finished: r.finished,
		Unsent:   unsent,
	})
}

// expireLeases ends the leases that have expired: their attempts may have run.
func (c *Core) expireLeases() {
	for _, entry := range c.leases.registry.Expire(c.now) {
		if l := c.leases.byLease[entry.Lease.Name]; l != nil {
			delete(c.leases.byLease, entry.Lease.Name)
			c.concludeLease(l, policy.TimedOut, false)
		}
	}
}

// scheduleLeaseExpiry sets a timer for the next expiry, unless one as early is set.
func (c *Core) scheduleLeaseExpiry() {
	table := c.leases
	next, pending := table.registry.NextExpiry()
	if !pending || table.nextTimer > c.now && table.nextTimer <= next {
		return
	}
	table.nextTimer = next
	c.scheduleAt(next, func() {
		if table.nextTimer == next {
			table.nextTimer = 0
		}
		c.expireLeases()
		c.scheduleLeaseExpiry()
	})
}
