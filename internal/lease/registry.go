package lease

import (
	"container/heap"
	"time"
)

// Config holds the bounds of a Registry.
type Config struct {
	// Timeout is how long after its grant a lease expires.
	Timeout time.Duration
	// StartWithin is how long after its grant an attempt may be sent.
	StartWithin time.Duration
	// Retention is how long after its client's deadline a request is retained.
	Retention time.Duration
	// MaxRequests is the number of requests that are retained.
	MaxRequests int
}

// Registry holds the requests and their leases. It starts no goroutine and
// takes no lock: one goroutine at a time may use it.
type Registry struct {
	cfg     Config
	byID    map[string]*Request
	byLease map[string]*Request // by the name of any lease
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

// Find returns the request of an ID, or nil if there is none. It returns
// ErrMismatch if the request has another fingerprint.
func (r *Registry) Find(id string, fingerprint uint64) (*Request, error) {
	req := r.byID[id]
	if req != nil && req.Fingerprint != fingerprint {
		return nil, ErrMismatch
	}
	return req, nil
}

// Open adds a request that Find doesn't know. Its client gives up at deadline.
// It returns ErrFull if there is no capacity.
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

// Forget removes a request that was never granted, since no client waits for it.
func (r *Registry) Forget(req *Request) {
	if r.byID[req.ID] == req && len(req.leases) == 0 {
		delete(r.byID, req.ID)
		heap.Remove(&r.due, req.heapIndex)
	}
}

// Grant grants an open request a lease, under a name that can't be guessed. It
// returns nil if the request isn't open. The lease expires at the client's
// deadline at the latest. startBy, unless it is 0, bounds when the attempt may
// be sent: a repeat is harmless only while its scope remembers the first.
func (r *Registry) Grant(
	now time.Duration, req *Request, name, node, addr string, attempt int, deadline, startBy time.Duration,
) *Lease {
	if r.byID[req.ID] != req || req.State != Open || r.byLease[name] != nil {
		return nil
	}
	if startBy > 0 && startBy <= now {
		return nil
	}
	lease := &Lease{
		Name:      name,
		Backend:   node,
		Address:   addr,
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

// Decide gives an open request its final state.
func (r *Registry) Decide(req *Request, state State, retryAfter time.Duration) {
	if r.byID[req.ID] != req || req.State != Open || !state.Final() {
		return
	}
	req.State = state
	req.RetryAfter = retryAfter
	r.setDue(req, req.retainedUntil)
}

// Report takes in the outcome of a lease's attempt. first is true if it is the
// first report; the same report again is no error. It returns ErrUnknown if
// there is no such lease, ErrConflict if another outcome was reported, and
// ErrLate if the lease has expired.
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
