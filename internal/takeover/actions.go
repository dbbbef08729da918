package takeover

import "time"

// ActionKind tells the caller of a Coordinator what it may or must do.
type ActionKind uint8

// The kinds of actions.
const (
	ActionSend      ActionKind = iota + 1 // the attempt may be sent
	ActionJoin                            // wait: another attempt of the key decides the outcome
	ActionUseAnswer                       // Action.Answer is the final answer
	ActionAdopt                           // continue another attempt, which may have run, in Action.Scope
	ActionRestart                         // the joined attempt never ran: start over with RequestSend
	ActionTakeOver                        // complete Action.Taken, another instance's work
	ActionAbort                           // the attempt must not be sent; another instance may have sent it
	ActionUnknown                         // result of QueryOutcome: no other attempt of the key has an answer
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
	// Covered is set with ActionSend and ActionAdopt if the replicas have
	// acknowledged the intent, so that another instance can take the work over.
	Covered bool
	// Answer is set with ActionUseAnswer.
	Answer Answer
	// Scope and StartedAt are set with ActionAdopt. StartedAt is the earliest
	// time at which the key's first attempt can have been sent.
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
	// Scope is the scope in which the work must be completed; ScopeNone allows any.
	Scope Scope
	// StartedAt is the earliest time at which the first attempt can have been sent.
	StartedAt time.Duration
	// Deadline is when the client gives up.
	Deadline time.Duration
	// Owner is the instance from which the work was taken over.
	Owner string
}
