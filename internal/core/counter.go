package core

import (
	"hitchspring/internal/store"
	"hitchspring/policy"
)

// counterReplied is the event of a reply of the shared counter.
type counterReplied struct {
	call   *store.Call
	result store.Result
}

// addToCounter adds to the shared counter. The engine gets one reply, at the settings' timeout at the latest.
func (c *Core) addToCounter(a policy.AddToCounter) {
	call := &store.Call{Name: a.Name, Amount: a.Add, TTL: a.Keep, StartedAt: c.now}
	if c.counter == nil {
		c.handleCounterReply(counterReplied{call, store.Result{Certainty: store.NotAdded}})
		return
	}
	c.counter.Add(call)
	c.scheduleAfter(c.cfg.Settings.CounterTimeout, func() {
		switch {
		case call.Withdraw(): // never written, and never will be
			c.handleCounterReply(counterReplied{call, store.Result{Certainty: store.NotAdded}})
		case call.Lapse():
			c.handleCounterReply(counterReplied{call, store.Result{}})
		}
	})
}

// handleCounterReply notifies the engine of the first reply to a call; one after the timeout is dropped. If the store
// has let a call neither be withdrawn nor lapse at the timeout, its reply is under way and counts.
func (c *Core) handleCounterReply(ev counterReplied) {
	if !ev.call.FirstAnswer() {
		return
	}
	outcome := policy.TimedOut // may have been added
	switch {
	case ev.result.Certainty == store.NotAdded:
		outcome = policy.NoConnect
	case ev.result.Certainty == store.Added && ev.result.Seen:
		outcome = policy.Succeeded
	case ev.result.Certainty == store.Added:
		outcome = policy.Failed
	}
	c.summary.addCounterReply(outcome, c.now-ev.call.StartedAt)
	c.notifyEngine(policy.CounterReply{Name: ev.call.Name, Outcome: outcome, Total: ev.result.Total})
}
