package core

import (
	"crypto/rand"
	"encoding/hex"
	"time"

	"hitchspring/internal/backend"
	"hitchspring/internal/lease"
	"hitchspring/policy"
)

// maxLeaseWaiters is the maximum number of callers that wait for the decision on one request.
const maxLeaseWaiters = 4

// LeaseConfig configures the leases of callers who send attempts themselves.
type LeaseConfig struct {
	Timeout     time.Duration // a lease without a report expires after this; its attempt may have run
	StartWithin time.Duration // max time from grant to send; must be well below the drain grace of backends
	Retention   time.Duration // how long after a request's deadline its answer is retained
	MaxRequests int           // max requests that are retained
}

// Grant permits a caller to send one attempt to a backend.
type Grant struct {
	Lease       string // name of the lease, under which the outcome is reported
	Backend     string // id of the backend
	Addr        string
	Attempt     int           // number of the attempt within its request, from 0
	StartWithin time.Duration // from now; the attempt must be sent by then
	EndsWithin  time.Duration // from now; a later report is an error
}

// ReportResult is the result of reporting an outcome.
type ReportResult struct {
	Err   error       // lease.ErrUnknown, lease.ErrLate or lease.ErrConflict; nil: the report is accepted
	First bool        // this is the first report on the lease
	State lease.State // of the request after the report
	Next  Answer      // another grant, or the final answer
}

// leaseTable holds the delegated requests, their leases and the callers that wait for a decision.
type leaseTable struct {
	registry        *lease.Registry
	byRequestID     map[string]*leasedRequest // requests without a final answer
	byLease         map[string]*leasedRequest // requests with an outstanding lease
	nextExpiryTimer time.Duration             // when the earliest expiry timer fires; 0: none is set
}

// leasedRequest is a delegated request. It is the reply sink for the engine's final answer.
type leasedRequest struct {
	core    *Core
	request *Request
	entry   *lease.Request
	waiters []ReplySink
	attempt *backend.Attempt // the attempt under the outstanding lease; nil: there is none
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

// RequestLease submits a delegated request, whose attempts the caller sends itself. All calls with the same id get the
// same answer until the retention ends, from any caller; a call whose fingerprint differs is answered Mismatched. The
// sink gets one answer, unless CancelWait is called first.
func (c *Core) RequestLease(r *Request, id string, fingerprint uint64, sink ReplySink) {
	c.post(leaseRequested{r, id, fingerprint, sink})
}

// CancelWait reports that a caller no longer waits for the answer to RequestLease.
func (c *Core) CancelWait(id string, sink ReplySink) { c.post(waitCanceled{id, sink}) }

// ReportOutcome reports the outcome of the attempt under a lease. The loop calls notify once; it must not block.
func (c *Core) ReportOutcome(name string, outcome lease.Outcome, notify func(ReportResult)) {
	c.post(outcomeReported{name, outcome, notify})
}

// handleLeaseRequest answers a call for a known request, and submits an unknown one to the engine.
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

// answerKnownRequest answers another call for a known request, or adds the caller to those that wait for the decision.
func (c *Core) answerKnownRequest(entry *lease.Request, sink ReplySink) {
	if a, decided := c.leaseAnswer(entry); decided {
		sink.Deliver(a)
		return
	}
	l := c.leases.byRequestID[entry.ID]
	full := l != nil && len(l.waiters) >= maxLeaseWaiters
	switch {
	case full && entry.Lease != nil: // an attempt may have run, so a rejection, which promises a safe retry, is wrong
		sink.Deliver(Answer{Kind: Failed})
	case l == nil || full:
		sink.Deliver(Answer{Kind: Rejected, RetryAfter: OverloadRetryAfter})
	default:
		l.waiters = append(l.waiters, sink)
	}
}

// leaseAnswer returns the answer to a delegated request in its current state, and false while it waits for a decision.
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

// Deliver receives the engine's final answer to a delegated request, which is a rejection or a failure.
func (l *leasedRequest) Deliver(a Answer) {
	state := lease.Failed
	if a.Kind == Rejected {
		state = lease.Rejected
	}
	l.core.leases.registry.Decide(l.entry, state, a.RetryAfter)
	l.stopWaiting()
	l.notifyWaiters(a)
}

// Client returns Disconnected if there are waiting callers and all of them have disconnected. Without waiting callers
// it returns Connected, since the decision is then returned to a report of an outcome or to a later call.
func (l *leasedRequest) Client() ClientState {
	for _, sink := range l.waiters {
		if sink.Client() != Disconnected {
			return Connected
		}
	}
	if len(l.waiters) > 0 {
		return Disconnected
	}
	return Connected
}

// notifyWaiters delivers an answer to all waiting callers.
func (l *leasedRequest) notifyWaiters(a Answer) {
	for _, sink := range l.waiters {
		sink.Deliver(a)
	}
	l.waiters = nil
}

// stopWaiting ends the wait for a decision: later calls are answered from the registry alone.
func (l *leasedRequest) stopWaiting() { delete(l.core.leases.byRequestID, l.entry.ID) }

// forget removes a request that was never granted a lease and has no waiting callers.
func (l *leasedRequest) forget() {
	l.stopWaiting()
	l.core.leases.registry.Forget(l.entry)
}

// grantLease grants a lease for an attempt to the waiting callers. It returns false if the attempt may not be sent.
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

// cancelWait removes a waiting caller. A request without waiting callers that was never granted a lease is abandoned.
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

// handleOutcomeReport ends a lease. An outcome of served or unsent concludes the request. After any other outcome the
// engine may decide on another attempt, whose grant is part of the result of the report.
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

// concludeLease ends a lease and its request: no further attempt is granted, even if the engine decides on one.
func (c *Core) concludeLease(l *leasedRequest, outcome policy.Outcome, unsent bool) {
	l.request.finished = true
	c.metrics.RequestEnded(l.request.Class, requestEndOf(outcome))
	l.stopWaiting()
	l.notifyWaiters(Answer{Kind: Concluded, State: l.entry.State})
	c.endLease(l, outcome, unsent)
}

// endLease notifies the engine of the outcome of the attempt under a lease.
func (c *Core) endLease(l *leasedRequest, outcome policy.Outcome, unsent bool) {
	attempt, r := l.attempt, l.request
	l.attempt = nil
	r.inFlight--
	c.notifyAttemptEnded(r, policy.AttemptEnded{
		ID:       r.ID,
		Attempt:  attempt.Number,
		Backend:  policy.BackendID(l.entry.Lease.Backend),
		Outcome:  outcome,
		Elapsed:  c.now - attempt.StartedAt,
		Finished: r.finished,
		Unsent:   unsent,
	})
}

// expireLeases ends the leases that have expired. Their attempts count as timed out, since they may have run.
func (c *Core) expireLeases() {
	for _, entry := range c.leases.registry.Expire(c.now) {
		if l := c.leases.byLease[entry.Lease.Name]; l != nil {
			delete(c.leases.byLease, entry.Lease.Name)
			c.concludeLease(l, policy.TimedOut, false)
		}
	}
}

// scheduleLeaseExpiry sets a timer for the next expiry, unless one that fires as early is set.
func (c *Core) scheduleLeaseExpiry() {
	table := c.leases
	next, pending := table.registry.NextExpiry()
	if !pending || table.nextExpiryTimer > c.now && table.nextExpiryTimer <= next {
		return
	}
	table.nextExpiryTimer = next
	c.scheduleAt(next, func() {
		if table.nextExpiryTimer == next {
			table.nextExpiryTimer = 0
		}
		c.expireLeases()
		c.scheduleLeaseExpiry()
	})
}
