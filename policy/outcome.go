package policy

// Outcome is how an attempt, a probe or a counter call ended.
type Outcome uint8

// Outcomes; an unknown one counts as Failed, which may have run.
const (
	Failed    Outcome = iota // the backend answered with an error
	Succeeded                // served
	Rejected                 // rejected before it was processed: it never ran
	TimedOut                 // no answer in time
	NoConnect                // no connection: it never ran
	Reset                    // the connection was dropped
	Canceled                 // canceled by this instance
	NotSent                  // never sent: it never ran
)

// NeverRan reports whether the outcome proves that the attempt did not run.
func (o Outcome) NeverRan() bool {
	return o == Rejected || o == NoConnect || o == NotSent
}
