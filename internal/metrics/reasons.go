package metrics

import "time"

// RequestEnd is how a request ended.
type RequestEnd uint8

// The ends of a request.
const (
	Answered RequestEnd = iota // served
	Deferred                   // rejected, so that a retry is safe
	Errored                    // failed
	requestEndCount
)

var requestEndNames = [requestEndCount]string{"answered", "deferred", "errored"}

// Ends returns all values of RequestEnd in order.
func Ends() []RequestEnd { return []RequestEnd{Answered, Deferred, Errored} }

// String returns the name of the end in metrics.
func (e RequestEnd) String() string { return requestEndNames[min(e, requestEndCount-1)] }

// DisconnectStage is the stage that a request had reached when its client disconnected.
type DisconnectStage uint8

// The stages of a request.
const (
	// BeforeAdmission means that the command arrived together with the end of the connection, so that the request was
	// not passed to the policy module.
	BeforeAdmission DisconnectStage = iota
	BeforeAttempt                   // no attempt had been assigned to a connection
	BeforeRetry                     // all attempts had ended and a retry was to follow
	InFlight                        // an attempt was in flight; it was not followed by another
	disconnectStageCount
)

var disconnectStageNames = [disconnectStageCount]string{
	"before_admission",
	"before_attempt",
	"before_retry",
	"in_flight",
}

// Stages returns all values of DisconnectStage in order.
func Stages() []DisconnectStage {
	return []DisconnectStage{BeforeAdmission, BeforeAttempt, BeforeRetry, InFlight}
}

// String returns the name of the stage in metrics.
func (s DisconnectStage) String() string { return disconnectStageNames[min(s, disconnectStageCount-1)] }

// WithheldReason is the reason, found right before the write, for not sending an attempt.
type WithheldReason uint8

// The reasons for withholding an attempt.
const (
	DeadlinePassed WithheldReason = iota // the deadline of the request had passed
	ClientUnseen                         // the client had sent so much more that its close could not be seen
	withheldReasonCount
)

var withheldReasonNames = [withheldReasonCount]string{"time_over", "client_unseen"}

// CloseReason is the reason for the end of a client's connection.
type CloseReason uint8

// The reasons for the end of a connection.
const (
	ClosedByClient      CloseReason = iota // the client closed it, or it failed
	ClosedByProtocol                       // the client violated the protocol
	ClosedByServer                         // closed between requests: idle, evicted to free a slot, or draining
	ClosedSlowReader                       // the client did not read its replies
	ClosedShutdownLimit                    // aborted at the time limit of a graceful shutdown
	closeReasonCount
)

var closeReasonNames = [closeReasonCount]string{
	"by_client",
	"by_protocol",
	"by_server",
	"slow_reader",
	"shutdown_limit",
}

// String returns the name of the reason in metrics.
func (r CloseReason) String() string { return closeReasonNames[min(r, closeReasonCount-1)] }

// DelayReason is the reason for holding a client's command back before it is submitted.
type DelayReason uint8

// The reasons for holding a command back.
const (
	DelayedReplyMemory   DelayReason = iota // all memory for replies is taken by some that wait for earlier ones
	DelayedProcessorTime                    // the clients' share of the processor is used up
	DelayedStreamedValue                    // a streamed value is being relayed on the connection
	delayReasonCount
)

var delayReasonNames = [delayReasonCount]string{"reply_memory", "processor_time", "streamed_value"}

// delayBuckets are the upper bounds of the counters of delays, except the last one, which has none.
var delayBuckets = [...]time.Duration{time.Millisecond, 10 * time.Millisecond, 100 * time.Millisecond}

var delayBucketNames = [len(delayBuckets) + 1]string{"up_to_1_ms", "up_to_10_ms", "up_to_100_ms", "longer"}

// delayBucket returns the index of the counter for a delay.
func delayBucket(delay time.Duration) int {
	for i, bound := range delayBuckets {
		if delay <= bound {
			return i
		}
	}
	return len(delayBuckets)
}
