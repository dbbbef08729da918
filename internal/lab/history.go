package lab

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"hitchspring/internal/rulecheck"
)

// RuleOnceByKey is the testbed's own rule for keyed work that several instances may act on: the work of a key takes
// effect at most once, and all answers hold the result of that effect.
const RuleOnceByKey = "a key's work happens once, and has one answer"

// historyCheckTimeout bounds the check of the history of one key; histories are short.
const historyCheckTimeout = 5 * time.Second

// Step is one operation in the history of a key, as its observer recorded it: a client's attempt, or an effect at a
// backend. An attempt lasts from its request to its answer, an effect from the arrival of its command until just before
// its answer is sent.
type Step struct {
	Key      string        `json:"Key"`
	From     time.Duration `json:"From"`
	Until    time.Duration `json:"Until"` // 0: no end
	Effect   bool          `json:"Effect"`
	Served   bool          `json:"Served"`
	Value    string        `json:"Value"` // answer of an attempt that was served
	ClientID int           `json:"Who"`   // unique number of the operation: each has a porcupine client of its own
}

// keyState is the state of a key in the model: whether its effect has happened, and the answer that clients got.
type keyState struct {
	applied bool
	value   string
}

// keyModel is the sequential specification of a key for the linearizability checker (Herlihy and Wing 1990, checked as
// by Lowe 2017): an effect may happen only once; an attempt may be served only after the effect, with the same value as
// all others; any other result of an attempt is allowed in every state.
var keyModel = porcupine.Model{
	Init: func() any { return keyState{} },
	Step: func(state, input, _ any) (bool, any) {
		s, x := state.(keyState), input.(Step)
		switch {
		case x.Effect:
			return !s.applied, keyState{true, s.value}
		case x.Served:
			return s.applied && (s.value == "" || s.value == x.Value), keyState{s.applied, x.Value}
		}
		return true, s
	},
	Equal:             func(a, b any) bool { return a == b },
	DescribeOperation: func(in, _ any) string { return fmt.Sprintf("%+v", in) },
}

// CheckOnce returns a violation for each key with several effects at backends or with different answers to clients.
func (r *Report) CheckOnce() (out []rulecheck.Violation) {
	for _, request := range r.KeyedRequests {
		if request.Effects > 1 || request.Values > 1 {
			out = append(out, rulecheck.Violation{Rule: RuleOnceByKey, At: request.FirstSentAt, Until: request.FirstSentAt + request.ClientTimeout, Detail: fmt.Sprintf("key %s has %d effects in %d racks and %d answers", request.Key, request.Effects, request.Racks, request.Values)})
		}
	}
	return out
}

// CheckHistory checks that the steps of each key are linearizable under keyModel, and returns a description of each key
// for which they are not.
func CheckHistory(steps []Step) (violations []string) {
	byKey := map[string][]porcupine.Operation{}
	for _, x := range steps {
		end := int64(x.Until)
		if x.Until == 0 {
			end = math.MaxInt64
		}
		byKey[x.Key] = append(byKey[x.Key], porcupine.Operation{ClientId: x.ClientID, Input: x, Call: int64(x.From), Return: end})
	}
	for key, ops := range byKey {
		if res := porcupine.CheckOperationsTimeout(keyModel, ops, historyCheckTimeout); res != porcupine.Ok {
			violations = append(violations, fmt.Sprintf("%s: key %s: %d steps: %s", RuleOnceByKey, key, len(ops), res))
		}
	}
	slices.Sort(violations)
	return violations
}
