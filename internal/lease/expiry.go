package lease

import (
	"container/heap"
	"time"
)

// Expire returns the requests whose leases have expired since the last call. It
// removes the requests whose retention has ended.
func (r *Registry) Expire(now time.Duration) []*Request {
	var expired []*Request
	for len(r.due) > 0 && r.due[0].dueAt <= now {
		req := r.due[0]
		if req.State == Granted {
			r.expireLease(now, req)
			expired = append(expired, req)
			if req.retainedUntil > now {
				continue
			}
		}
		r.remove(req)
	}
	return expired
}

// expireLease expires a request's lease, which ends the request.
func (r *Registry) expireLease(now time.Duration, req *Request) {
	req.State = Expired
	req.Lease.expired = true
	r.outstanding--
	r.setDue(req, max(req.retainedUntil, now))
}

// remove deletes a request and its leases from the registry.
func (r *Registry) remove(req *Request) {
	heap.Remove(&r.due, req.heapIndex)
	delete(r.byID, req.ID)
	for _, lease := range req.leases {
		delete(r.byLease, lease.Name)
	}
}

// NextExpiry returns when the next lease expires or retention ends, and false if
// there are no requests.
func (r *Registry) NextExpiry() (time.Duration, bool) {
	if len(r.due) == 0 {
		return 0, false
	}
	return r.due[0].dueAt, true
}

// setDue sets when a request's lease expires or the request is removed.
func (r *Registry) setDue(req *Request, dueAt time.Duration) {
	req.dueAt = dueAt
	heap.Fix(&r.due, req.heapIndex)
}

// expiryQueue is a min-heap of requests by dueAt.
type expiryQueue []*Request

// Len implements heap.Interface.
func (q expiryQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q expiryQueue) Less(i, j int) bool { return q[i].dueAt < q[j].dueAt }

// Swap implements heap.Interface.
func (q expiryQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex = i
	q[j].heapIndex = j
}

// Push implements heap.Interface.
func (q *expiryQueue) Push(x any) {
	req := x.(*Request)
	req.heapIndex = len(*q)
	*q = append(*q, req)
}

// Pop implements heap.Interface.
func (q *expiryQueue) Pop() any {
	old := *q
	last := len(old) - 1
	req := old[last]
	old[last] = nil
	*q = old[:last]
	return req
}
