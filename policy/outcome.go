package policy

// Outcome is how an attempt, a probe or a counter call ended.
type Outcome uint8

// Outcomes. An unknown value is treated like Failed: the attempt may have run.
const (
	Failed    Outcome = iota // the backend responded with an error
	Succeeded                // the backend served the request
	Rejected                 // the backend rejected it before processing: it never ran
	TimedOut                 // no response in time
	NoConnect                // the connection could not be established: it never ran
	Reset                    // the connection was dropped
	Canceled                 // canceled by this instance
	NotSent                  // the attempt was not sent: it never ran
)

// NeverRan reports whether the outcome proves that the attempt did not run.
func (o Outcome) NeverRan() bool {
	return o == Rejected || o == NoConnect || o == NotSent
}
