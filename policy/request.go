package policy

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// RequestID identifies a request. IDs are never reused.
type RequestID uint32

// Request is a client's request as it arrives at an instance.
type Request struct {
	ID        RequestID
	Class     string
	Plan      string
	Tenant    string
	GiveUpAt  time.Duration // when the client gives up
	Units     float64
	Spread    int    // number of instances that receive the tenant's requests
	First     int    // index of the first of those instances
	Delegated bool   // the caller sends the attempts itself, one at a time
	Prior     *Prior // an attempt that another instance started; nil: none
	Charged   bool   // another instance has already charged its units; always true with Prior
}

// Account returns the name of the quota that the request is counted in, at this
// instance and at the shared counter. There is one quota for each tenant and plan,
// so requests of one tenant under different plans are counted separately. The name
// depends only on the request, so that all instances use the same one regardless
// of the requests they have seen before.
//
// The suffix hashes the tenant along with the plan, so that it differs between
// tenants: a counter that is partitioned by name answers fewer calls in time when
// many names share a suffix.
func (r *Request) Account() string {
	return r.Tenant + "/" + strconv.FormatUint(hash64(r.Plan+"/"+r.Tenant)>>32, 36)
}

// Prior is an attempt that another instance started. It has ended and may have
// run. It counts as attempt 0 of the request at this instance.
type Prior struct {
	Zone   string
	Cell   int
	SentAt time.Duration // earliest time at which it may have been sent
}

// requestPhase is the stage of a request in its life cycle.
type requestPhase uint8

const (
	phaseAwaitingQuota requestPhase = iota // waiting for the decision on its tenant's quota
	phaseQueued                            // in the queue, for a first attempt or a retry
	phaseInFlight                          // taken from the queue; being sent or already sent
	phaseFinished                          // final answer given; attempts may still be in flight
)

// request is a Request with its current state.
type request struct {
	Request

	class     *class
	plan      *Plan
	tenant    *tenant
	arrivedAt time.Duration
	phase     requestPhase
	reason    Reason // why it has not been sent

	queuedPriority         float64 // its priority in the queue
	withinQuotaProbability float64 // estimated probability that it is within its quota; 0: known exactly
	overQuota              bool    // admitted beyond the quota
	charged                bool    // its units were deducted from the leased units
	granted                bool    // the counter granted its units, within the ceiling
	counterName            string  // counter name to which its units were added
	counterUnits           float64 // units added under counterName

	attempts    []*attempt
	outstanding int  // number of attempts that have not ended
	sent        bool // the first attempt has been sent
	late        bool // the latency objective can no longer be met
	streaming   bool // the response is being streamed to the client
}

// handleArrival checks a new request against its tenant's quota and queues or
// rejects it. The decision on a sparse tenant's request may wait for the counter.
func (e *Engine) handleArrival(q Request) {
	r := &request{Request: q, class: e.classes[q.Class], plan: e.plans[q.Plan], arrivedAt: e.now}
	if r.class == nil { // unknown class: treat as unsafe to repeat
		objective := max(q.GiveUpAt-e.now, time.Millisecond)
		r.class = &class{Class: Class{Name: q.Class, LatencyObjective: objective}}
	}
	if r.plan == nil {
		r.plan = &Plan{Name: q.Plan, Price: 1}
	}
	r.Units = cmp.Or(max(r.Units, 0), 1)
	if !e.admitTenant(r) {
		r.tenant, r.reason = &tenant{plan: r.plan}, TenantLimit
		e.reject(r, r.class.LatencyObjective)
		return
	}
	r.tenant = e.tenantFor(r)
	e.requests[q.ID] = r
	e.openRequests = append(e.openRequests, r)
	if q.Prior != nil {
		r.addPrior(q.Prior)
	}
	if q.Charged {
		e.enqueue(r)
	} else {
		e.decideQuota(r)
	}
	if !r.sent && r.phase != phaseFinished {
		e.expire(r) // it may expire before the next sweep
	}
}

// addPrior records the attempt that another instance started, so that the request
// is restricted to the idempotency scope of that attempt, like a retry.
func (r *request) addPrior(p *Prior) {
	first := &attempt{
		backend:    &backend{Backend: Backend{Zone: p.Zone, Cell: p.Cell}},
		zone:       p.Zone,
		cell:       p.Cell,
		sentAt:     p.SentAt,
		ended:      true,
		mayHaveRun: true,
	}
	r.attempts = []*attempt{first}
	r.sent = true
}

// currentPriority returns the priority weight of the class times the price of the
// plan, reduced for requests that are late or over their quota.
func (r *request) currentPriority() float64 {
	priority := r.class.PriorityWeight * r.plan.Price
	if r.overQuota {
		priority *= r.plan.ExcessWeight
	}
	if r.withinQuotaProbability > 0 { // expected value, including ExcessCost if it is over the quota
		priority *= max(0.01, r.withinQuotaProbability*(1+r.plan.ExcessCost)-r.plan.ExcessCost)
	}
	if r.late {
		priority *= r.class.LateShare
	}
	return priority
}

// bindingAttempt returns the first attempt that is in flight or may have run, or
// nil if there is none. Its group of backends and its time limit where and until
// when the request may be sent again.
func (r *request) bindingAttempt() *attempt {
	if i := slices.IndexFunc(r.attempts, func(a *attempt) bool { return a.mayHaveRun }); i >= 0 {
		return r.attempts[i]
	}
	return nil
}

// hasLostConnection reports whether an attempt of the request at the backend may have
// run and lost its connection. The process at the address may be another one now,
// which does not know the idempotency key, until the endpoint list says so.
func (r *request) hasLostConnection(b *backend) bool {
	lostAtBackend := func(a *attempt) bool { return a.connectionLost && a.backend == b }
	return slices.ContainsFunc(r.attempts, lostAtBackend)
}

// hasTried reports whether an attempt of the request has been sent to the backend.
func (r *request) hasTried(b *backend) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.backend == b })
}
