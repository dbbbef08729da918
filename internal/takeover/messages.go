package takeover

import "time"

// Limits on the fields of a valid intent.
const (
	maxKeyBytes  = 512
	maxNameBytes = 128 // of a class, plan or tenant
	maxArguments = 16
	maxRemaining = time.Minute
	maxAge       = time.Hour
	maxWindow    = time.Hour
)

// Message is one message between instances. Exactly one of its fields is set.
type Message struct {
	Intent     *Intent     `cbor:"1,keyasint,omitempty"`
	Reply      *Reply      `cbor:"2,keyasint,omitempty"`
	Completion *Completion `cbor:"3,keyasint,omitempty"`
	// CompletionAck acknowledges a Completion; only its key and attempt are set.
	CompletionAck *Completion   `cbor:"4,keyasint,omitempty"`
	Notification  *Notification `cbor:"5,keyasint,omitempty"`
}

// Envelope is a message with its receiver.
type Envelope struct {
	To      string
	Message Message
}

// Intent asks a replica to record an attempt before it is sent.
type Intent struct {
	Work
	// Attempt is the number that the client gave the attempt; a retry has another.
	Attempt uint64 `cbor:"20,keyasint"`
	// Epoch is the record's epoch as known to the sender; each takeover increases it.
	Epoch uint64 `cbor:"21,keyasint"`
	// Relocation counts the attempt's changes of scope.
	Relocation int   `cbor:"22,keyasint,omitempty"`
	Scope      Scope `cbor:"23,keyasint"`
	// Remaining is the time from the sending of the intent until the client gives up.
	Remaining time.Duration `cbor:"24,keyasint"`
	// Age is the time from the first attempt to the sending of the intent.
	Age time.Duration `cbor:"25,keyasint,omitempty"`
	// Clock is the latest reading of the receiver's clock that the sender has received.
	Clock time.Duration `cbor:"26,keyasint,omitempty"`
	// Replicas are the key's replicas in the sender's view, the primary first.
	Replicas []string `cbor:"27,keyasint"`
	// QueryOnly is set if no attempt is to be sent: the sender only queries
	// whether another attempt of the key has an answer or will have one.
	QueryOnly bool `cbor:"28,keyasint,omitempty"`
}

// valid reports whether an intent from the network is within all limits.
func (i *Intent) valid() bool {
	size := 0
	for _, argument := range i.Command {
		size += len(argument)
	}
	return i.Key != "" && len(i.Key) <= maxKeyBytes &&
		size <= MaxCommandBytes && len(i.Command) <= maxArguments &&
		i.Remaining >= 0 && i.Remaining <= maxRemaining &&
		i.Age >= 0 && i.Age <= maxAge &&
		i.IdempotencyWindow >= 0 && i.IdempotencyWindow <= maxWindow &&
		len(i.Class) <= maxNameBytes && len(i.Plan) <= maxNameBytes && len(i.Tenant) <= maxNameBytes
}

// ReplyKind is a replica's decision on an intent.
type ReplyKind uint8

// The decisions.
const (
	ReplyGranted      ReplyKind = iota + 1 // the intent is recorded
	ReplyStaleClock                        // the intent must be sent again with a newer clock reading
	ReplyOtherAttempt                      // another attempt decides: Answer is set, or a notification follows
	ReplyAdopt                             // another attempt may have run: continue it in its scope
	ReplyTakenOver                         // another instance has taken the work over
	ReplyFull                              // the replica has no capacity
	ReplyNone                              // reply to a query: there is no answer to wait for
)

// String returns the decision's name.
func (k ReplyKind) String() string {
	switch k {
	case ReplyGranted:
		return "granted"
	case ReplyStaleClock:
		return "stale clock"
	case ReplyOtherAttempt:
		return "other attempt"
	case ReplyAdopt:
		return "adopt"
	case ReplyTakenOver:
		return "taken over"
	case ReplyFull:
		return "full"
	case ReplyNone:
		return "none"
	}
	return "unknown"
}

// Reply answers an Intent.
type Reply struct {
	Key        string    `cbor:"1,keyasint"`
	Attempt    uint64    `cbor:"2,keyasint"`
	Relocation int       `cbor:"3,keyasint,omitempty"`
	Kind       ReplyKind `cbor:"4,keyasint"`
	Epoch      uint64    `cbor:"5,keyasint,omitempty"`
	// Scope is the scope in which an adopted attempt continues.
	Scope Scope `cbor:"6,keyasint"`
	// Age is an upper bound of the time since the first attempt of adopted work.
	Age    time.Duration `cbor:"7,keyasint,omitempty"`
	Answer *Answer       `cbor:"8,keyasint,omitempty"`
	// Clock is the current reading of the replica's clock.
	Clock time.Duration `cbor:"9,keyasint"`
	// Primary is the key's primary in the view of the other attempt's owner. It
	// is set with ReplyOtherAttempt and ReplyTakenOver.
	Primary string `cbor:"10,keyasint,omitempty"`
	// Owner is the instance that took the work over, in epoch Epoch. It is set
	// with ReplyTakenOver.
	Owner string `cbor:"11,keyasint,omitempty"`
}

// namesOther reports whether another attempt or another owner decides the
// outcome, according to the reply.
func (r *Reply) namesOther() bool {
	return r.Kind == ReplyOtherAttempt || r.Kind == ReplyTakenOver
}

// Completion reports the outcome of an attempt to a replica.
type Completion struct {
	Key     string `cbor:"1,keyasint"`
	Attempt uint64 `cbor:"2,keyasint"`
	Epoch   uint64 `cbor:"3,keyasint"`
	Answer  Answer `cbor:"4,keyasint"`
}

// Notification carries the answer to an instance that waits for it.
// AnswerNeverRan means that the key is free again.
type Notification struct {
	Key string `cbor:"1,keyasint"`
	// Attempt is the waiting attempt.
	Attempt uint64 `cbor:"2,keyasint"`
	Answer  Answer `cbor:"3,keyasint"`
}
