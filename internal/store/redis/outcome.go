package redis

import (
	"time"

	"hitchspring/internal/store"
)

// resendPause is how long pending sums are not resent after Redis has rejected a resent one.
const resendPause = 250 * time.Millisecond

// rejectUnsent reports a call that was never written as not added.
func (s *shard) rejectUnsent(call *store.Call) {
	if call.Claim() {
		s.mu.Lock()
		s.stats.Rejected++
		s.mu.Unlock()
		s.sink(call, store.Result{Certainty: store.NotAdded})
	}
}

// answerUnconfirmed reports the results of the writes in resendQueue when no connection can be opened. Writes that were
// never sent are rejected; those that may have been applied are reported as store.Maybe, and the ledger rewrites their
// sums later.
func (s *shard) answerUnconfirmed() {
	for _, pending := range s.resendQueue {
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
	s.resendQueue = s.resendQueue[:0]
}

// reject handles a write that Redis has rejected or, if replied is false, one that was never sent.
func (s *shard) reject(pending pendingWrite, replied bool) {
	pending.maybeSent = pending.maybeSent || replied
	rejected := pending.call != nil && pending.call.Reject()
	s.mu.Lock()
	if rejected {
		s.ledger.Reject(pending.write, pending.call.Amount, pending.maybeSent)
		s.stats.Rejected++
	} else { // the caller has counted it as added, or it is a resent sum: write the sum again
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
