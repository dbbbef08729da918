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

// addToCounter adds to the shared counter. The engine gets exactly one reply; without one from the store, the call ends
// at the counter timeout of the settings.
func (c *Core) addToCounter(a policy.AddToCounter) {
	call := &store.Call{Name: a.Name, Amount: a.Add, TTL: a.Retention, StartedAt: c.now}
	if c.counter == nil {
		c.handleCounterReply(counterReplied{call, store.Result{Certainty: store.NotAdded}})
		return
	}
	c.counter.Add(call)
	c.scheduleAfter(c.cfg.Settings.CounterTimeout, func() {
		switch {
		case call.Withdraw(): // it will never be written
			c.handleCounterReply(counterReplied{call, store.Result{Certainty: store.NotAdded}})
		case call.AssumeAdded():
			c.handleCounterReply(counterReplied{call, store.Result{}})
		}
	})
}

// handleCounterReply notifies the engine of the first reply to a call and drops later ones. A call that can neither be
// withdrawn nor lapse at its timeout was rejected by the store, whose reply follows and counts.
func (c *Core) handleCounterReply(ev counterReplied) {
	if !ev.call.MarkAnswered() {
		return
	}
	outcome := policy.TimedOut // the store may have added the amount
	switch {
	case ev.result.Certainty == store.NotAdded:
		outcome = policy.NoConnect
	case ev.result.Certainty == store.Added && ev.result.HasTotal:
		outcome = policy.Succeeded
	case ev.result.Certainty == store.Added:
		outcome = policy.Failed
	}
	c.summary.addCounterReply(outcome, c.now-ev.call.StartedAt)
	c.notifyEngine(policy.CounterReply{Name: ev.call.Name, Outcome: outcome, Total: ev.result.Total})
}
