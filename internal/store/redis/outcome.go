package redis

import (
	"time"

	"hitchspring/internal/store"
)

// resendPause is how long no sum is sent again without an add after Redis has rejected one.
const resendPause = 250 * time.Millisecond

// rejectUnsent answers a call of which nothing was written.
func (s *shard) rejectUnsent(call *store.Call) {
	if call.Claim() {
		s.mu.Lock()
		s.stats.Rejected++
		s.mu.Unlock()
		s.sink(call, store.Result{Certainty: store.NotAdded})
	}
}

// answerUnconfirmed answers the writes that were to be sent again and cannot be. Those that may have been applied
// stay in the ledger, which writes their sums later.
func (s *shard) answerUnconfirmed() {
	for _, pending := range s.resend {
		if !pending.maybeSent {
			s.reject(pending, false)
			continue
		}
		s.mu.Lock()
		s.ledger.MarkUnconfirmed(pending.write)
		if pending.call != nil {
			s.stats.Unconfirmed++
		}
		s.mu.Unlock()
		if pending.call != nil {
			s.sink(pending.call, store.Result{})
		}
	}
	s.resend = s.resend[:0]
}

// reject settles a write that Redis has rejected, or, if replied is false, one that was never sent.
func (s *shard) reject(pending pendingWrite, replied bool) {
	pending.maybeSent = pending.maybeSent || replied
	rejected := pending.call != nil && pending.call.Reject()
	s.mu.Lock()
	if rejected {
		s.ledger.Reject(pending.write, pending.call.Amount, pending.maybeSent)
		s.stats.Rejected++
	} else { // its caller has counted it as added, so it is written until it is
		s.ledger.MarkUnconfirmed(pending.write)
	}
	if pending.call == nil {
		s.resendPausedUntil = time.Now().Add(resendPause)
	}
	s.mu.Unlock()
	if rejected {
		s.sink(pending.call, store.Result{Certainty: store.NotAdded})
	}
}
