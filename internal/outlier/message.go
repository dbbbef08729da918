package outlier

import (
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hitchspring/policy"
)

// FactKind is the kind of the gossip facts that carry observations. The subject of such a fact is the backend's id.
const FactKind = "node"

// maxOnsetAge is the maximum time from the onset of a fault to its last failure.
const maxOnsetAge = time.Hour

// message is an observation as it is sent to peers, in CBOR. Its times don't depend on the clock of the sender: the
// fact that carries it has an age, and the onset is relative to that.
type message struct {
	Started int64   `cbor:"1,keyasint,omitempty"` // start of the backend by the endpoint list, in milliseconds
	Success float32 `cbor:"2,keyasint,omitempty"`
	Failure float32 `cbor:"3,keyasint,omitempty"`
	Adverse bool    `cbor:"4,keyasint,omitempty"`
	OnsetMS int64   `cbor:"5,keyasint,omitempty"` // from the onset to the last failure, if Adverse
	Cause   Cause   `cbor:"6,keyasint,omitempty"`
}

// Encode returns the observation as a message for peers. Its times are relative to ObservedAt.
func (o Observation) Encode() []byte {
	m := message{
		Started: o.Started.Milliseconds(),
		Success: float32(o.SuccessEvidence),
		Failure: float32(o.FailureEvidence),
		Adverse: o.IsAdverse(),
		Cause:   o.Cause,
	}
	if m.Adverse {
		m.OnsetMS = (o.LastFailure - o.Onset).Milliseconds()
	}
	data, err := cbor.Marshal(m)
	if err != nil { // can't happen: the struct holds only numbers and a bool
		panic(err)
	}
	return data
}

// Decode decodes a peer's message on a backend. observedAt is the time of the observation on this instance's clock. A
// message with values that no instance sends is an error.
func Decode(backend string, observedAt time.Duration, data []byte) (Observation, error) {
	var m message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return Observation{}, fmt.Errorf("observation of %q: %w", backend, err)
	}
	if err := m.check(); err != nil {
		return Observation{}, fmt.Errorf("observation of %q: %w", backend, err)
	}
	o := Observation{
		Backend:         policy.BackendID(backend),
		Started:         time.Duration(m.Started) * time.Millisecond,
		SuccessEvidence: min(float64(m.Success), maxEvidence),
		FailureEvidence: min(float64(m.Failure), maxEvidence),
		Cause:           m.Cause,
	}
	if !m.Adverse {
		o.LastSuccess = observedAt
		return o, nil
	}
	o.LastFailure = observedAt
	o.Onset = observedAt - time.Duration(m.OnsetMS)*time.Millisecond
	if !o.IsAdverse() {
		return Observation{}, fmt.Errorf("observation of %q: adverse with failure evidence %v", backend, m.Failure)
	}
	return o, nil
}

// check returns an error for a field out of its range.
func (m message) check() error {
	switch {
	case !isValidEvidence(m.Success):
		return fmt.Errorf("success evidence %v is out of range", m.Success)
	case !isValidEvidence(m.Failure):
		return fmt.Errorf("failure evidence %v is out of range", m.Failure)
	case m.OnsetMS < 0 || m.OnsetMS > maxOnsetAge.Milliseconds():
		return fmt.Errorf("onset %d ms before the last failure is out of range", m.OnsetMS)
	case m.Started < 0 || m.Started > math.MaxInt64/int64(time.Millisecond):
		return fmt.Errorf("start at %d ms is out of range", m.Started)
	}
	return nil
}

// isValidEvidence reports whether f is a finite number of at least 0.
func isValidEvidence(f float32) bool { return f >= 0 && !math.IsInf(float64(f), 1) }
