// Package lease keeps the books of attempts that somebody else sends: who asked, which node was granted under which lease and
// until when, and what was reported. In: asks, grants, decisions and reports, with the time and the lease's name as
// arguments. Out: what to answer, and which leases have run out. It does no I/O, draws no chance, decides neither node nor
// quota, and must never know HTTP.
package lease

import (
	"container/heap"
	"errors"
	"time"
)

// State is where a request stands.
type State uint8

// The states. Open goes to Granted and to the final ones; Granted goes back to Open when its attempt has failed and the
// request may be tried again.
const (
	Open     State = iota // no decision yet, or none on another attempt
	Granted               // a lease is out
	Rejected              // final: trying again is harmless
	Failed                // final: promises nothing
	Served                // final: reported so
	Unsent                // final: reported as never sent
	Expired               // final: its lease ran out; it may have run
)

// String is the word for it in answers.
func (s State) String() string {
	return [...]string{"open", "granted", "refused", "failed", "served", "unsent", "lapsed"}[s]
}

// Final says whether it changes no more.
func (s State) Final() bool { return s >= Rejected }

// Outcome is what is reported of an attempt.
type Outcome uint8

// The outcomes.
const (
	OutcomeServed   Outcome = iota + 1 // answered by the node
	OutcomeRejected                    // turned away by the node: it never ran
	OutcomeFailed                      // anything else: it may have run
	OutcomeUnsent                      // it never left the caller
)

// ParseOutcome reads the word of a report.
func ParseOutcome(s string) (Outcome, bool) {
	o, ok := map[string]Outcome{"served": OutcomeServed, "refused": OutcomeRejected, "failed": OutcomeFailed, "unsent": OutcomeUnsent}[s]
	return o, ok
}

// Errors of asks and reports.
var (
	ErrFull     = errors.New("too many requests are open")
	ErrMismatch = errors.New("a request of this id was asked with other particulars")
	ErrUnknown  = errors.New("no such lease, or it is long over")
	ErrLate     = errors.New("the lease had run out before the report: the attempt counts as one that may have run")
	ErrConflict = errors.New("another outcome was reported before, and stands")
)

// Lease is one granted attempt.
type Lease struct {
	Name      string
	Node      string        // id
	Addr      string        // host:port
	Attempt   int           // the request's attempt
	StartBy   time.Duration // nothing is sent to the node after that
	ExpiresAt time.Duration // a report after that is late
	outcome   Outcome       // 0: none yet
	lapsed    bool
}

// Request is what is kept of one ask.
type Request struct {
	ID          string
	Fingerprint uint64 // of its particulars
	State       State
	Lease       *Lease        // the last
	RetryAfter  time.Duration // of Refused
	leases      []*Lease
	due         time.Duration // of what comes next: the lease's end, or the end of its memory
	until       time.Duration
	at          int // in the heap
}

// Config is the bounds of a book.
type Config struct {
	Timeout     time.Duration // of a lease
	StartWithin time.Duration // of a lease's beginning, for the sending
	Retention   time.Duration // a final answer is remembered for so long after its client's time
	MaxRequests int           // requests that are kept
}

// Book is the books. It is not safe for many goroutines.
type Registry struct {
	cfg     Config
	byID    map[string]*Request
	byLease map[string]*Request
	due     queue
	out     int
}

// New returns an empty book.
func New(cfg Config) *Registry {
	return &Registry{cfg: cfg, byID: map[string]*Request{}, byLease: map[string]*Request{}}
}

// Len is how many requests are kept, Out how many leases are out.
func (b *Registry) Len() int { return len(b.byID) }

// Out is how many leases are out.
func (b *Registry) Outstanding() int { return b.out }

// Find is the request of an id; nil where none is kept. ErrOther where its particulars differ.
func (b *Registry) Find(id string, print uint64) (*Request, error) {
	r := b.byID[id]
	if r != nil && r.Fingerprint != print {
		return nil, ErrMismatch
	}
	return r, nil
}

// Open begins a request that is not kept yet; its client gives up at a time.
func (b *Registry) Open(id string, print uint64, giveUp time.Duration) (*Request, error) {
	if len(b.byID) >= b.cfg.MaxRequests {
		return nil, ErrFull
	}
	r := &Request{ID: id, Fingerprint: print, until: giveUp + b.cfg.Retention}
	r.due = r.until
	b.byID[id] = r
	heap.Push(&b.due, r)
	return r, nil
}

// Forget drops a request that was never granted, because nobody waits for it.
func (b *Registry) Forget(r *Request) {
	if b.byID[r.ID] == r && len(r.leases) == 0 {
		delete(b.byID, r.ID)
		heap.Remove(&b.due, r.at)
	}
}

// Grant gives an open request a lease, under a name that nobody can guess; nil where it is not open. It ends with the client's
// time at the latest. Where by is set, the sending may not begin later than that: a repeat is good only while its rack
// remembers the first.
func (b *Registry) Grant(now time.Duration, r *Request, name, node, addr string, n int, giveUp, by time.Duration) *Lease {
	if b.byID[r.ID] != r || r.State != Open || b.byLease[name] != nil || by > 0 && by <= now {
		return nil
	}
	l := &Lease{Name: name, Node: node, Addr: addr, Attempt: n, ExpiresAt: min(now+b.cfg.Timeout, giveUp)}
	if l.StartBy = min(now+b.cfg.StartWithin, l.ExpiresAt); by > 0 {
		l.StartBy = min(l.StartBy, by)
	}
	r.State, r.Lease = Granted, l
	r.leases = append(r.leases, l)
	b.byLease[name] = r
	b.out++
	b.move(r, l.ExpiresAt)
	return l
}

// Decide gives an open request its final answer.
func (b *Registry) Decide(r *Request, s State, retryAfter time.Duration) {
	if b.byID[r.ID] == r && r.State == Open && s.Final() {
		r.State, r.RetryAfter = s, retryAfter
		b.move(r, r.until)
	}
}

// Report takes in how a lease's attempt went. first is set where that is news; the same report again is none, and no error.
func (b *Registry) Report(now time.Duration, name string, o Outcome) (r *Request, l *Lease, first bool, err error) {
	r = b.byLease[name]
	if r == nil {
		return nil, nil, false, ErrUnknown
	}
	for _, x := range r.leases {
		if x.Name == name {
			l = x
		}
	}
	switch {
	case l.outcome == o:
		return r, l, false, nil
	case l.outcome != 0:
		return r, l, false, ErrConflict
	case l.lapsed || now > l.ExpiresAt:
		return r, l, false, ErrLate
	}
	l.outcome = o
	b.out--
	switch o {
	case OutcomeServed:
		r.State = Served
	case OutcomeUnsent:
		r.State = Unsent
		for _, x := range r.leases {
			if x.outcome == OutcomeFailed { // an earlier one may have run: that this was not sent makes nothing harmless
				r.State = Failed
			}
		}
	default:
		r.State = Open
	}
	b.move(r, r.until)
	return r, l, true, nil
}

// Expire returns the requests whose leases have run out since, and forgets those whose memory is over.
func (b *Registry) Expire(now time.Duration) (lapsed []*Request) {
	for len(b.due) > 0 && b.due[0].due <= now {
		r := b.due[0]
		if r.State == Granted {
			r.State, r.Lease.lapsed = Expired, true
			b.out--
			b.move(r, max(r.until, now))
			lapsed = append(lapsed, r)
			if r.until > now {
				continue
			}
		}
		heap.Remove(&b.due, r.at) // it may have left the top
		delete(b.byID, r.ID)
		for _, l := range r.leases {
			delete(b.byLease, l.Name)
		}
	}
	return lapsed
}

// Next is when Expire has something to do; false where nothing is kept.
func (b *Registry) NextExpiry() (time.Duration, bool) {
	if len(b.due) == 0 {
		return 0, false
	}
	return b.due[0].due, true
}

func (b *Registry) move(r *Request, due time.Duration) {
	r.due = due
	heap.Fix(&b.due, r.at)
}

// queue is a heap of requests, earliest due first.
type queue []*Request

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].due < q[j].due }
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].at, q[j].at = i, j
}

// Push is for container/heap.
func (q *queue) Push(x any) {
	r := x.(*Request)
	r.at = len(*q)
	*q = append(*q, r)
}

// Pop is for container/heap.
func (q *queue) Pop() any {
	old := *q
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return r
}
