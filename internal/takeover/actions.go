package takeover

import "time"

// ActionKind is what the caller of a Coordinator may or must do.
type ActionKind uint8

// The kinds of actions.
const (
	ActionSend      ActionKind = iota + 1 // the attempt may go out
	ActionJoin                            // wait: another attempt of the key decides the outcome
	ActionUseAnswer                       // Action.Answer is the final answer
	ActionAdopt                           // continue another attempt, which may have run, in Action.Scope
	ActionRestart                         // the attempt that was waited for surely never ran: begin again
	ActionTakeOver                        // complete Action.Taken, another instance's work
	ActionAbort                           // the attempt may not go out; another instance may have sent it
	ActionUnknown                         // to QueryOutcome: no other attempt of the key has an answer
)

// String returns the kind's name.
func (k ActionKind) String() string {
	switch k {
	case ActionSend:
		return "send"
	case ActionJoin:
		return "join"
	case ActionUseAnswer:
		return "use answer"
	case ActionAdopt:
		return "adopt"
	case ActionRestart:
		return "restart"
	case ActionTakeOver:
		return "take over"
	case ActionAbort:
		return "abort"
	case ActionUnknown:
		return "unknown outcome"
	}
	return "unknown"
}

// Action is a decision on one attempt of this instance, or on work that it
// takes over.
type Action struct {
	Kind       ActionKind
	Attempt    uint64
	Relocation int
	// Covered says that the replicas have acknowledged the intent, so that
	// another instance can take the work over; set with ActionSend and
	// ActionAdopt.
	Covered bool
	// Answer is set with ActionUseAnswer.
	Answer Answer
	// Scope and StartedAt, the earliest time at which the key's first attempt
	// can have been sent, are set with ActionAdopt.
	Scope     Scope
	StartedAt time.Duration
	// Taken is set with ActionTakeOver.
	Taken *TakenWork
}

// TakenWork is work of another instance that this one must complete.
type TakenWork struct {
	Work
	Attempt uint64
	Epoch   uint64
	// Relocation counts the attempt's changes of scope.
	Relocation int
	// Scope is where it must be completed; ScopeNone leaves it open.
	Scope Scope
	// StartedAt is the earliest time at which its first attempt went out.
	StartedAt time.Duration
	// Deadline is when its client gives up.
	Deadline time.Duration
	// Owner is the instance that it was taken over from.
	Owner string
}
