package metrics

// RequestEnd is how a request ended.
type RequestEnd uint8

// The ends of a request.
const (
	Answered RequestEnd = iota // served
	Deferred                   // rejected: a retry is harmless
	Errored                    // failed
	requestEndCount
)

var requestEndNames = [requestEndCount]string{"answered", "deferred", "errored"}

// Ends returns all ends, in their order.
func Ends() []RequestEnd { return []RequestEnd{Answered, Deferred, Errored} }

// String returns the end's name, as metrics have it.
func (e RequestEnd) String() string { return requestEndNames[min(e, requestEndCount-1)] }

// DisconnectStage is how far a request has come when its client disconnects.
type DisconnectStage uint8

// The stages of a request.
const (
	// BeforeAdmission: its command and the end of its connection were read together, so that the policy module never
	// saw it.
	BeforeAdmission DisconnectStage = iota
	BeforeAttempt                   // no attempt was handed to a connection
	BeforeRetry                     // all attempts had ended, and there was to be another
	InFlight                        // an attempt was in flight; none followed it
	disconnectStageCount
)

var disconnectStageNames = [disconnectStageCount]string{
	"before_admission",
	"before_attempt",
	"before_retry",
	"in_flight",
}

// Stages returns all stages, in their order.
func Stages() []DisconnectStage {
	return []DisconnectStage{BeforeAdmission, BeforeAttempt, BeforeRetry, InFlight}
}

// String returns the stage's name, as metrics have it.
func (s DisconnectStage) String() string { return disconnectStageNames[min(s, disconnectStageCount-1)] }

// WithheldReason is why an attempt was withheld right before it would have been written.
type WithheldReason uint8

// The reasons to withhold an attempt.
const (
	DeadlinePassed WithheldReason = iota // its request's deadline had passed
	withheldReasonCount
)

var withheldReasonNames = [withheldReasonCount]string{"time_over"}

// CloseReason is why a client's connection ended.
type CloseReason uint8

// The reasons of the end of a connection.
const (
	ClosedByClient      CloseReason = iota // the client closed it, or it broke
	ClosedByProtocol                       // the client violated the protocol
	ClosedByServer                         // between two requests: idle, for want of capacity, or while draining
	ClosedSlowReader                       // the client read nothing of its answers for too long
	ClosedShutdownLimit                    // at the time limit of a graceful shutdown
	closeReasonCount
)

var closeReasonNames = [closeReasonCount]string{
	"by_client",
	"by_protocol",
	"by_server",
	"slow_reader",
	"shutdown_limit",
}

// String returns the reason's name, as metrics have it.
func (r CloseReason) String() string { return closeReasonNames[min(r, closeReasonCount-1)] }
