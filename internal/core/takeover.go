package core

import (
	"sync/atomic"
	"time"

	"hitchspring/internal/backend"
	"hitchspring/internal/takeover"
	"hitchspring/policy"
)

const takeoverTickInterval = 10 * time.Millisecond

// TakeoverConfig is what the core needs so that other instances can complete the work of this one after its end.
type TakeoverConfig struct {
	Self        takeover.Member
	Incarnation uint64
	Transport   Transport
	Rebuild     func(args [][]byte) (*Request, error) // of another instance's command; nil: no front can
}

// takeoverState is the work that replicas know of, and the records that this instance stores for others. It belongs to
// the loop, except published.
type takeoverState struct {
	cfg         TakeoverConfig
	coordinator *takeover.Coordinator
	byAttempt   map[uint64]*Request        // by ClientID: the requests with pending work
	published   atomic.Pointer[WorkStatus] // nil: not yet
	publishAt   time.Duration
}

// workPhase is the phase of a request's pending work.
type workPhase uint8

const (
	workActive     workPhase = iota // it waits in the engine's queue or for replicas, or attempts have gone out
	workJoined                      // the outcome of another instance's attempt decides
	workQuerying                    // rejected by the engine, replicas are queried for another attempt's outcome
	workConfirming                  // the same of a request that replicas hold: another instance may have taken it over
	workCompleted                   // the replicas have its end
)

// pendingWork is what replicas know of a request.
type pendingWork struct {
	phase        workPhase
	scope        takeover.Scope   // where a repeat has no further effect; ScopeNone: the engine has chosen no backend
	awaiting     *backend.Attempt // goes out when enough replicas hold it; nil: none waits
	backend      policy.BackendID // of awaiting
	mayHaveRun   int              // attempts that may have run
	sentAttempts uint64           // a bit for each attempt that has gone out, by its number
	retryAfter   time.Duration    // of the rejection, in workQuerying and workConfirming
}

// isRejecting reports whether the engine has rejected the request and the replicas have not confirmed that yet.
func (w *pendingWork) isRejecting() bool { return w.phase == workQuerying || w.phase == workConfirming }

// canReject reports whether nothing of the request may run any more, as far as this instance knows, so that the
// replicas can be queried before it is rejected.
func (w *pendingWork) canReject() bool {
	return w.phase == workActive && w.awaiting == nil && w.mayHaveRun <= 0
}

// mayBeTakenOver reports whether replicas may hold the request, so that another instance may have sent it, for all that
// this one knows without asking them.
func (w *pendingWork) mayBeTakenOver() bool { return w != nil && w.phase != workQuerying }

// takeAwaiting returns the attempt that waits for replicas, if any, and no longer holds it.
func (w *pendingWork) takeAwaiting() *backend.Attempt {
	attempt := w.awaiting
	w.awaiting = nil
	return attempt
}

// attemptSent counts an attempt that goes out: it may run.
func (w *pendingWork) attemptSent(attempt *backend.Attempt) {
	w.mayHaveRun++
	w.sentAttempts |= attemptBit(attempt.Number)
}

// attemptEnded no longer counts an attempt that surely never ran.
func (w *pendingWork) attemptEnded(ev policy.AttemptEnded) {
	if bit := attemptBit(ev.Attempt); ev.Outcome.NeverRan() && w.sentAttempts&bit != 0 {
		w.mayHaveRun--
		w.sentAttempts &^= bit
	}
}

// attemptBit returns the bit of an attempt in sentAttempts. All from the 64th on have one bit.
func attemptBit(number int) uint64 { return 1 << min(number, 63) }

func newTakeoverState(cfg TakeoverConfig) *takeoverState {
	return &takeoverState{
		cfg:         cfg,
		coordinator: takeover.NewCoordinator(cfg.Self, cfg.Incarnation, cfg.Transport.ClockReading),
		byAttempt:   map[uint64]*Request{},
	}
}

// tickTakeover lets the coordinator send again what has no reply and give up what has waited long enough.
func (c *Core) tickTakeover() {
	t := c.takeover
	t.coordinator.Tick(c.now)
	c.drainCoordinator()
	if c.now >= t.publishAt {
		t.publishAt = c.now + statusInterval
		status := &WorkStatus{Counts: t.coordinator.Counts(), Unreadable: c.unreadable}
		status.Pending, status.Records, status.Bytes = t.coordinator.Pending()
		t.published.Store(status)
	}
}

// WorkStatus is the work that an instance coordinates and stores for others, for people and tests.
type WorkStatus struct {
	Pending    int `json:"InHand"`  // of this instance's clients, and taken over
	Records    int `json:"Records"` // stored for all instances
	Bytes      int `json:"Bytes"`   // of the records
	Unreadable int `json:"Unread"`  // messages that could not be decoded
	takeover.Counts
}

// WorkStatus returns the work that this instance coordinates and holds, at most statusInterval old. It reports false if
// takeover is off. Any goroutine may call it.
func (c *Core) WorkStatus() (WorkStatus, bool) {
	if c.takeover == nil {
		return WorkStatus{}, false
	}
	if status := c.takeover.published.Load(); status != nil {
		return *status, true
	}
	return WorkStatus{}, true
}
