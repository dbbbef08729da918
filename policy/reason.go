package policy

// Reason says why a request was rejected or failed: what prevented it from being
// sent when that was last checked.
type Reason uint8

// Reasons; ReasonCount is their number.
const (
	NoReason    Reason = iota
	Quota              // the leased units are spent, or the counter's total is over the quota
	QuotaKnown         // the same, known from an earlier total: the counter was not called
	QuotaBlind         // the leased units are spent, and the counter did not answer
	WindowFull         // no attempt could be sent in time: the window was full
	CapFull            // this instance's share of the tenant's cap on attempts in flight was used
	Ceiling            // this instance's share of the tenant's ceiling was spent
	NoBackend          // no backend could take it: none listed, in slow start, lost, or none of the group
	CounterLate        // the counter's answer came too late
	NoRetry            // an attempt failed, and the class, the time or the budget allows no other
	ReasonCount
)

var reasonNames = [ReasonCount]string{
	NoReason:    "none",
	Quota:       "quota",
	QuotaKnown:  "quota-known",
	QuotaBlind:  "quota-blind",
	WindowFull:  "window",
	CapFull:     "cap",
	Ceiling:     "ceiling",
	NoBackend:   "no-server",
	CounterLate: "counting",
	NoRetry:     "no-retry",
}

// String returns the reason's name in logs and metrics.
func (r Reason) String() string { return reasonNames[min(r, ReasonCount-1)] }
