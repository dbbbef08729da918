package outlier

import (
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hitchspring/policy"
)

// Kind is the kind of an opinion among the facts that instances tell one another; its subject is the node's id.
const FactKind = "node"

// word is an opinion on the wire. Times are before the opinion's own, in milliseconds, so that no clock is shared.
type word struct {
	Started int64   `cbor:"1,keyasint,omitempty"` // of the node, as the list has it, in milliseconds
	Good    float32 `cbor:"2,keyasint,omitempty"`
	Bad     float32 `cbor:"3,keyasint,omitempty"`
	Accuses bool    `cbor:"4,keyasint,omitempty"`
	OnsetMS int64   `cbor:"5,keyasint,omitempty"`
	Cause   Cause   `cbor:"6,keyasint,omitempty"`
}

// Encode words an opinion for others; what it says of times is relative to Born.
func (o Observation) Encode() []byte {
	w := word{Started: o.Started.Milliseconds(), Good: float32(o.Good), Bad: float32(o.Bad), Accuses: o.IsAdverse(), Cause: o.Cause}
	if w.Accuses {
		w.OnsetMS = (o.LastBad - o.Onset).Milliseconds()
	}
	b, err := cbor.Marshal(w)
	if err != nil { // of plain numbers
		panic(err)
	}
	return b
}

// Decode reads another's opinion on a node that was seen at a time. What no instance can have seen is an error.
func Decode(node string, born time.Duration, data []byte) (Observation, error) {
	var w word
	if err := cbor.Unmarshal(data, &w); err != nil {
		return Observation{}, fmt.Errorf("opinion on %q: %w", node, err)
	}
	for name, f := range map[string]float32{"good": w.Good, "bad": w.Bad} {
		if !(f >= 0 && float64(f) <= math.MaxFloat32) || math.IsInf(float64(f), 0) {
			return Observation{}, fmt.Errorf("opinion on %q: %s is %v", node, name, f)
		}
	}
	if w.OnsetMS < 0 || w.OnsetMS > time.Hour.Milliseconds() || w.Started < 0 || w.Started > math.MaxInt64/int64(time.Millisecond) {
		return Observation{}, fmt.Errorf("opinion on %q: onset %d ms before, started %d", node, w.OnsetMS, w.Started)
	}
	o := Observation{
		Backend: policy.BackendID(node), Started: time.Duration(w.Started) * time.Millisecond, Good: min(float64(w.Good), mostBad), Bad: min(float64(w.Bad), mostBad),
		Cause: w.Cause,
	}
	if w.Accuses {
		o.LastBad, o.Onset = born, born-time.Duration(w.OnsetMS)*time.Millisecond
		if !o.IsAdverse() {
			return Observation{}, fmt.Errorf("opinion on %q: it accuses with %v bad", node, w.Bad)
		}
	} else {
		o.LastGood = born
	}
	return o, nil
}
