package core

import (
	"time"

	"hitchspring/internal/backend"
	"hitchspring/internal/lease"
)

// OverloadRetryAfter is how long a client should wait that was rejected because this instance is full.
const OverloadRetryAfter = 250 * time.Millisecond

// AnswerKind is the kind of a final answer.
type AnswerKind uint8

// The kinds of final answers.
const (
	Failed     AnswerKind = iota // nothing is known about the effect of the request
	Served                       // with a backend's value
	Rejected                     // a retry is harmless
	Duplicate                    // a request with the same client id is open, and this one was not taken
	Granted                      // the caller sends the attempt itself, under a lease
	Concluded                    // of a leased request: its outcome is known and no further lease is granted
	Mismatched                   // of a leased request: its id is in use with another fingerprint
)

// answerKindNames are the kinds as logs have them.
var answerKindNames = [...]string{
	Failed:     "failed",
	Served:     "served",
	Rejected:   "refused",
	Duplicate:  "repeated",
	Granted:    "granted",
	Concluded:  "over",
	Mismatched: "other",
}

// String returns the kind as logs have it.
func (k AnswerKind) String() string { return answerKindNames[k] }

// Answer is the final answer to a request, which a front encodes in its protocol.
type Answer struct {
	Kind       AnswerKind
	Value      []byte
	Stream     *backend.Stream // of Served, in place of Value: the front must read it to its end or close it
	RetryAfter time.Duration   // of Rejected; 0: the client may decide
	Grant      Grant           // of Granted
	State      lease.State     // of Concluded
}

// ReplySink is where a front waits for the final answer to one request.
type ReplySink interface {
	// Deliver hands over the final answer, once. It never blocks.
	Deliver(Answer)
	// Disconnected reports whether nobody waits for the answer any more, as far as can be known now. The front may not
	// have been notified yet when a request is about to be sent, so it may make a system call. It never blocks.
	Disconnected() bool
}
