package outlier

import (
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hitchspring/policy"
)

// FactKind is the kind of an observation among the facts that instances gossip; the fact's subject is the backend's id.
const FactKind = "node"

// maxOnsetAge bounds how long before its last failure a fault can have begun.
const maxOnsetAge = time.Hour

// message is an observation as peers receive it, in CBOR. It holds no time of a clock that the peers would have to
// share: the fact that carries it has an age, and the onset is relative to that.
type message struct {
	Started int64   `cbor:"1,keyasint,omitempty"` // start of the backend as the endpoint list has it, milliseconds
	Good    float32 `cbor:"2,keyasint,omitempty"`
	Bad     float32 `cbor:"3,keyasint,omitempty"`
	Adverse bool    `cbor:"4,keyasint,omitempty"`
	OnsetMS int64   `cbor:"5,keyasint,omitempty"` // from the onset to the last failure, if Adverse
	Cause   Cause   `cbor:"6,keyasint,omitempty"`
}

// Encode returns the observation as a message for peers. Its times are relative to ObservedAt.
func (o Observation) Encode() []byte {
	m := message{
		Started: o.Started.Milliseconds(),
		Good:    float32(o.SuccessEvidence),
		Bad:     float32(o.FailureEvidence),
		Adverse: o.IsAdverse(),
		Cause:   o.Cause,
	}
	if m.Adverse {
		m.OnsetMS = (o.LastFailure - o.Onset).Milliseconds()
	}
	data, err := cbor.Marshal(m)
	if err != nil { // can't happen: a struct of numbers
		panic(err)
	}
	return data
}

// Decode reads a peer's message on a backend, observed at observedAt on this instance's clock. A message that no
// instance can have meant is an error.
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
		SuccessEvidence: min(float64(m.Good), maxEvidence),
		FailureEvidence: min(float64(m.Bad), maxEvidence),
		Cause:           m.Cause,
	}
	if !m.Adverse {
		o.LastSuccess = observedAt
		return o, nil
	}
	o.LastFailure = observedAt
	o.Onset = observedAt - time.Duration(m.OnsetMS)*time.Millisecond
	if !o.IsAdverse() {
		return Observation{}, fmt.Errorf("observation of %q: adverse with bad %v", backend, m.Bad)
	}
	return o, nil
}

// check returns an error for a field out of its range.
func (m message) check() error {
	switch {
	case !isEvidence(m.Good):
		return fmt.Errorf("good is %v", m.Good)
	case !isEvidence(m.Bad):
		return fmt.Errorf("bad is %v", m.Bad)
	case m.OnsetMS < 0 || m.OnsetMS > maxOnsetAge.Milliseconds():
		return fmt.Errorf("onset is %d ms before", m.OnsetMS)
	case m.Started < 0 || m.Started > math.MaxInt64/int64(time.Millisecond):
		return fmt.Errorf("start is %d ms", m.Started)
	}
	return nil
}

// isEvidence reports whether f is a finite number of at least 0.
func isEvidence(f float32) bool { return f >= 0 && !math.IsInf(float64(f), 1) }
