package lease

import (
	"container/heap"
	"time"
)

// Config holds the limits of a Registry.
type Config struct {
	// Timeout is the time from the grant of a lease to its expiry.
	Timeout time.Duration
	// StartWithin is the maximum time from a grant to the sending of the attempt.
	StartWithin time.Duration
	// Retention is how long after the client's deadline a request is retained.
	Retention time.Duration
	// MaxRequests is the maximum number of requests, open or retained.
	MaxRequests int
}

// Registry holds the requests and their leases. It is not safe for concurrent
// use.
type Registry struct {
	cfg     Config
	byID    map[string]*Request
	byLease map[string]*Request // by the names of all their leases
	due     expiryQueue
	// outstanding is the number of leases without an outcome that have not expired.
	outstanding int
}

// New returns an empty Registry.
func New(cfg Config) *Registry {
	return &Registry{cfg: cfg, byID: map[string]*Request{}, byLease: map[string]*Request{}}
}

// Len returns the number of requests.
func (r *Registry) Len() int { return len(r.byID) }

// Outstanding returns the number of leases without an outcome that have not expired.
func (r *Registry) Outstanding() int { return r.outstanding }

// Find returns the request with an ID, or nil if there is none. It returns
// ErrMismatch if that request has another fingerprint.
func (r *Registry) Find(id string, fingerprint uint64) (*Request, error) {
	req := r.byID[id]
	if req != nil && req.Fingerprint != fingerprint {
		return nil, ErrMismatch
	}
	return req, nil
}

// Open adds a request whose ID is not in the registry. Its client waits until
// deadline. It returns ErrFull if there are MaxRequests requests already.
func (r *Registry) Open(id string, fingerprint uint64, deadline time.Duration) (*Request, error) {
	if len(r.byID) >= r.cfg.MaxRequests {
		return nil, ErrFull
	}
	req := &Request{ID: id, Fingerprint: fingerprint, retainedUntil: deadline + r.cfg.Retention}
	req.dueAt = req.retainedUntil
	r.byID[id] = req
	heap.Push(&r.due, req)
	return req, nil
}

// Forget removes a request that no client waits for. It does nothing if the
// request was granted a lease.
func (r *Registry) Forget(req *Request) {
	if r.byID[req.ID] == req && len(req.leases) == 0 {
		delete(r.byID, req.ID)
		heap.Remove(&r.due, req.heapIndex)
	}
}

// Grant grants an open request a lease, whose name must not be guessable. It
// returns nil if the request isn't open or startBy has passed. The lease expires
// at the client's deadline at the latest. startBy, unless it is 0, is the latest
// time at which the attempt may be sent: a retry is safe only while its
// idempotency scope still has the key of the first attempt.
func (r *Registry) Grant(
	now time.Duration, req *Request, name, backend, address string, attempt int, deadline, startBy time.Duration,
) *Lease {
	if r.byID[req.ID] != req || req.State != Open || r.byLease[name] != nil {
		return nil
	}
	if startBy > 0 && startBy <= now {
		return nil
	}
	lease := &Lease{
		Name:      name,
		Backend:   backend,
		Address:   address,
		Attempt:   attempt,
		ExpiresAt: min(now+r.cfg.Timeout, deadline),
	}
	lease.StartBy = min(now+r.cfg.StartWithin, lease.ExpiresAt)
	if startBy > 0 {
		lease.StartBy = min(lease.StartBy, startBy)
	}
	req.State = Granted
	req.Lease = lease
	req.leases = append(req.leases, lease)
	r.byLease[name] = req
	r.outstanding++
	r.setDue(req, lease.ExpiresAt)
	return lease
}

// Decide sets the final state of an open request.
func (r *Registry) Decide(req *Request, state State, retryAfter time.Duration) {
	if r.byID[req.ID] != req || req.State != Open || !state.Final() {
		return
	}
	req.State = state
	req.RetryAfter = retryAfter
	r.setDue(req, req.retainedUntil)
}

// Report records the outcome of the attempt under a lease. first is true for the
// first report; repeating the same report is not an error. Report returns
// ErrUnknown if there is no such lease, ErrConflict if another outcome was
// reported before, and ErrLate if the lease has expired.
func (r *Registry) Report(
	now time.Duration, name string, outcome Outcome,
) (req *Request, lease *Lease, first bool, err error) {
	req = r.byLease[name]
	if req == nil {
		return nil, nil, false, ErrUnknown
	}
	lease = req.leaseNamed(name)
	switch {
	case lease.outcome == outcome:
		return req, lease, false, nil
	case lease.outcome != 0:
		return req, lease, false, ErrConflict
	case lease.expired || now > lease.ExpiresAt:
		return req, lease, false, ErrLate
	}
	lease.outcome = outcome
	r.outstanding--
	req.applyOutcome(outcome)
	r.setDue(req, req.retainedUntil)
	return req, lease, true, nil
}
