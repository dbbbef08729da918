package policy

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// RequestID names one request; it is never used again.
type RequestID uint32

// Request is a client's request as it comes to an instance.
type Request struct {
	ID        RequestID
	Class     string
	Plan      string
	Tenant    string
	GiveUpAt  time.Duration // when the client gives up
	Units     float64
	Spread    int    // number of instances that the tenant's requests come through
	First     int    // index of the first of those instances
	Delegated bool   // the caller sends the attempts itself, one at a time
	Prior     *Prior // an attempt that another instance has begun; nil: none
	Charged   bool   // another instance has taken its units; always true with Prior
}

// Account names the quota that a request is counted in, here and at the shared
// counter: that of its tenant under its plan. It depends on nothing but the
// request, so that all instances use one name whatever each has seen before; a
// request that names a tenant with another plan is counted separately.
//
// The tag of the plan differs between tenants, since a counter that is
// partitioned by name answers fewer calls in time when many names share an
// ending.
func (r *Request) Account() string {
	return r.Tenant + "/" + strconv.FormatUint(hash64(r.Plan+"/"+r.Tenant)>>32, 36)
}

// Prior is an attempt that another instance has begun, that may have run and has
// ended. It is attempt 0 of the request here.
type Prior struct {
	Zone   string
	Cell   int
	SentAt time.Duration // when it was sent, at the earliest
}

// requestPhase is how far a request has come.
type requestPhase uint8

const (
	phaseAwaitingQuota requestPhase = iota // its tenant's quota has not been decided
	phaseQueued                            // in the queue, for a first attempt or a retry
	phaseInFlight                          // taken from the queue, to be sent or sent
	phaseFinished                          // answered for good; attempts may still be out
)

// request is a Request with what has become of it.
type request struct {
	Request

	class     *class
	plan      *Plan
	tenant    *tenant
	arrivedAt time.Duration
	phase     requestPhase
	reason    Reason // what keeps it from being sent

	queuedPriority    float64 // priority that it was queued with
	insideProbability float64 // estimate that it is inside its quota; 0: that is known
	excess            bool    // sent beyond the quota
	charged           bool    // its units were taken from the leased ones
	granted           bool    // its units were granted by the counter, within the ceiling
	counterName       string  // name at the counter that its units were added to
	counterUnits      float64 // how many were added

	attempts    []*attempt
	outstanding int  // attempts that have not ended
	sent        bool // the first attempt has been sent
	late        bool // the latency objective can no longer be met
	streaming   bool // the answer has begun
}

// handleArrival decides on the quota of a new request and queues or rejects it.
func (e *Engine) handleArrival(q Request) {
	r := &request{Request: q, class: e.classes[q.Class], plan: e.plans[q.Plan], arrivedAt: e.now}
	if r.class == nil { // unknown: unsafe to repeat
		objective := max(q.GiveUpAt-e.now, time.Millisecond)
		r.class = &class{Class: Class{Name: q.Class, LatencyObjective: objective}}
	}
	if r.plan == nil {
		r.plan = &Plan{Name: q.Plan, Price: 1}
	}
	r.Units = cmp.Or(max(r.Units, 0), 1)
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
		e.expire(r) // it may come with less time than a sweep takes
	}
}

// addPrior records the attempt that another instance has begun, so that the
// request is bound to its group as a retry is.
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

// currentPriority returns the priority weight of the class times the price of
// the plan, times what the request can still earn of it.
func (r *request) currentPriority() float64 {
	priority := r.class.PriorityWeight * r.plan.Price
	if r.excess {
		priority *= r.plan.ExcessWeight
	}
	if r.insideProbability > 0 { // the expected value, with the cost of being wrong
		priority *= max(0.01, r.insideProbability*(1+r.plan.ExcessCost)-r.plan.ExcessCost)
	}
	if r.late {
		priority *= r.class.LateShare
	}
	return priority
}

// bindingAttempt returns the first attempt that is out or may have run, which
// decides where and until when the request may be sent again; nil if none.
func (r *request) bindingAttempt() *attempt {
	if i := slices.IndexFunc(r.attempts, func(a *attempt) bool { return a.mayHaveRun }); i >= 0 {
		return r.attempts[i]
	}
	return nil
}

// hasTried reports whether an attempt of the request was sent to the backend.
func (r *request) hasTried(b *backend) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.backend == b })
}
