package core

import (
	"sync/atomic"
	"time"

	"hitchspring/internal/backend"
	"hitchspring/internal/takeover"
	"hitchspring/policy"
)

const takeoverTickInterval = 10 * time.Millisecond

// TakeoverConfig configures the takeover of this instance's work by other instances after its end, and of theirs by it.
type TakeoverConfig struct {
	Self        takeover.Member
	Incarnation uint64
	Transport   Transport
	Rebuild     func(args [][]byte) (*Request, error) // rebuilds a request from its command; nil: no front can do so
}

// takeoverState holds this instance's replicated work, and the records that it stores as a replica for others. It is
// confined to the loop's goroutine, except published.
type takeoverState struct {
	cfg         TakeoverConfig
	coordinator *takeover.Coordinator
	byAttempt   map[uint64]*Request        // requests with pending work, by ClientID
	published   atomic.Pointer[WorkStatus] // nil: not yet
	publishAt   time.Duration
}

// workPhase is the phase of a request's pending work.
type workPhase uint8

const (
	workActive     workPhase = iota // queued in the engine, waiting for replicas, or attempts have been sent
	workJoined                      // waiting for the outcome of another instance's attempt
	workQuerying                    // rejected by the engine; replicas are queried for another attempt's outcome
	workConfirming                  // rejected by the engine; its replicas are queried whether it was taken over
	workCompleted                   // the replicas are notified of the final answer
)

// pendingWork is the state of a request's replication.
type pendingWork struct {
	phase        workPhase
	scope        takeover.Scope   // idempotency scope of its attempts; ScopeNone: the engine has chosen no backend
	awaiting     *backend.Attempt // attempt to send once enough replicas have recorded it; nil: none waits
	backend      policy.BackendID // backend of awaiting
	mayHaveRun   int              // number of attempts that may have run
	sentAttempts uint64           // bit set of the attempts that were sent, see attemptBit
	retryAfter   time.Duration    // Retry-After of the rejection, in workQuerying and workConfirming
}

// isRejecting reports whether the engine has rejected the request but the replicas have not confirmed it yet.
func (w *pendingWork) isRejecting() bool { return w.phase == workQuerying || w.phase == workConfirming }

// canReject reports whether, as far as this instance knows, no attempt of the request has run or may still run. Only
// then are the replicas queried, before it is rejected.
func (w *pendingWork) canReject() bool {
	return w.phase == workActive && w.awaiting == nil && w.mayHaveRun <= 0
}

// mayBeTakenOver reports whether replicas may hold the request. Another instance may then have taken it over and sent
// it without this one's knowledge.
func (w *pendingWork) mayBeTakenOver() bool { return w != nil && w.phase != workQuerying }

// removeAwaiting removes and returns the attempt that waits for replicas, or nil if there is none.
func (w *pendingWork) removeAwaiting() *backend.Attempt {
	attempt := w.awaiting
	w.awaiting = nil
	return attempt
}

// attemptSent records that an attempt is sent and may run.
func (w *pendingWork) attemptSent(attempt *backend.Attempt) {
	w.mayHaveRun++
	w.sentAttempts |= attemptBit(attempt.Number)
}

// attemptEnded removes an attempt from the counts if its outcome shows that it never ran.
func (w *pendingWork) attemptEnded(ev policy.AttemptEnded) {
	if bit := attemptBit(ev.Attempt); ev.Outcome.NeverRan() && w.sentAttempts&bit != 0 {
		w.mayHaveRun--
		w.sentAttempts &^= bit
	}
}

// attemptBit returns the bit of an attempt in sentAttempts. Attempts with number 63 or higher share the last bit.
func attemptBit(number int) uint64 { return 1 << min(number, 63) }

func newTakeoverState(cfg TakeoverConfig) *takeoverState {
	return &takeoverState{
		cfg:         cfg,
		coordinator: takeover.NewCoordinator(cfg.Self, cfg.Incarnation, cfg.Transport.ClockReading),
		byAttempt:   map[uint64]*Request{},
	}
}

// tickTakeover lets the coordinator resend messages that have no reply and end waits that have timed out, and updates
// the published status.
func (c *Core) tickTakeover() {
	t := c.takeover
	t.coordinator.Tick(c.now)
	c.drainCoordinator()
	if c.now >= t.publishAt {
		t.publishAt = c.now + statusInterval
		status := &WorkStatus{Counts: t.coordinator.Counts(), Unreadable: c.unreadableMessages}
		status.Pending, status.Records, status.Bytes = t.coordinator.Pending()
		t.published.Store(status)
	}
}

// WorkStatus counts the work that an instance coordinates and the records that it stores, for operators and tests.
type WorkStatus struct {
	Pending    int `json:"InHand"`  // pending work of this instance's clients and work that it has taken over
	Records    int `json:"Records"` // records stored as a replica, for all instances
	Bytes      int `json:"Bytes"`   // size of the records
	Unreadable int `json:"Unread"`  // messages that could not be decoded
	takeover.Counts
}

// WorkStatus returns the status of this instance's work and records, at most statusInterval old. It returns false if
// takeover is off. It is safe for concurrent use.
func (c *Core) WorkStatus() (WorkStatus, bool) {
	if c.takeover == nil {
		return WorkStatus{}, false
	}
	if status := c.takeover.published.Load(); status != nil {
		return *status, true
	}
	return WorkStatus{}, true
}
