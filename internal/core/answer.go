package core

import (
	"time"

	"hitchspring/internal/backend"
	"hitchspring/internal/lease"
)

// OverloadRetryAfter is the Retry-After of a request that is rejected because this instance is at capacity.
const OverloadRetryAfter = 250 * time.Millisecond

// AnswerKind is the kind of a final answer.
type AnswerKind uint8

// The kinds of final answers.
const (
	Failed     AnswerKind = iota // the request may have run
	Served                       // carries a backend's value
	Rejected                     // the request never ran: a retry is safe
	Duplicate                    // not admitted: another request with the same client id is open
	Granted                      // carries a lease, under which the caller sends the attempt itself
	Concluded                    // delegated request: the outcome is known and no further lease is granted
	Mismatched                   // delegated request: its id is in use with another fingerprint
)

// answerKindNames are the names of the kinds in log lines.
var answerKindNames = [...]string{
	Failed:     "failed",
	Served:     "served",
	Rejected:   "refused",
	Duplicate:  "repeated",
	Granted:    "granted",
	Concluded:  "over",
	Mismatched: "other",
}

// String returns the kind's name in log lines.
func (k AnswerKind) String() string { return answerKindNames[k] }

// Answer is the final answer to a request. The front encodes it in its protocol.
type Answer struct {
	Kind       AnswerKind
	Value      []byte          // set if Served, unless Stream is
	Stream     *backend.Stream // replaces Value if Served: the front must read it to its end or close it
	Remaining  time.Duration   // set with Stream: how long the client still waits for the first bytes
	RetryAfter time.Duration   // set if Rejected; 0: the client may decide
	Grant      Grant           // set if Granted
	State      lease.State     // set if Concluded
}

// ClientState is what a front knows about the client of a request.
type ClientState uint8

// The states of a client.
const (
	Connected    ClientState = iota
	Disconnected             // it has closed its connection
	Unseen                   // it may have: more has arrived than was read, and its end may be behind that
)

// ReplySink receives the final answer to one request on behalf of a front.
type ReplySink interface {
	// Deliver passes the final answer to the front. It is called once and never blocks.
	Deliver(Answer)
	// Client returns the present state of the client. It may make system calls, since the front's reader may not have
	// seen the end of the connection yet. It never blocks.
	Client() ClientState
}
