package policy

// Reason is why a request was rejected or failed: the condition that prevented it
// from being sent when this was last checked.
type Reason uint8

// Reasons. ReasonCount is their number.
const (
	NoReason             Reason = iota
	Quota                       // the leased units are spent, or the counter's total exceeds the quota
	QuotaKnownSpent             // as Quota, known from an earlier total: the counter was not called
	QuotaCounterFailed          // the leased units are spent, and the counter call failed
	WindowFull                  // no attempt could be sent in time because the window was full
	InFlightLimitReached        // this instance's share of the tenant's limit of attempts in flight was used
	Ceiling                     // this instance's share of the tenant's ceiling was spent
	NoBackend                   // every backend was missing, in slow start, lost or outside the idempotency scope
	CounterLate                 // the counter's reply did not arrive in time
	NoRetry                     // an attempt failed, and the class, remaining time or retry budget allows no other
	TenantLimit                 // the tenant is unknown, and as many are tracked as may be
	ReasonCount
)

var reasonNames = [ReasonCount]string{
	NoReason:             "none",
	Quota:                "quota",
	QuotaKnownSpent:      "quota-known",
	QuotaCounterFailed:   "quota-blind",
	WindowFull:           "window",
	InFlightLimitReached: "cap",
	Ceiling:              "ceiling",
	NoBackend:            "no-server",
	CounterLate:          "counting",
	NoRetry:              "no-retry",
	TenantLimit:          "tenants",
}

// String returns the name of the reason used in logs and metrics.
func (r Reason) String() string { return reasonNames[min(r, ReasonCount-1)] }
