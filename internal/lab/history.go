package lab

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"hitchspring/internal/rulecheck"
)

// RuleOnceByKey is the lab's own rule for work that several instances may act on: a key's history is that of one thing which happens at most once, and whose
// answers are all that one's.
const RuleOnceByKey = "a key's work happens once, and has one answer"

// historyCheckTimeout is what one key's history may take to be checked: they are short.
const historyCheckTimeout = 5 * time.Second

// Step is one operation of a key's history, by its observers: a client's try, or an effect at a node.
type Step struct {
	Key      string        `json:"Key"`
	From     time.Duration `json:"From"`
	Until    time.Duration `json:"Until"` // clientRequests and answered; of an effect, when its command had come and when its answer was about to leave. Until 0: never
	Effect   bool          `json:"Effect"`
	Served   bool          `json:"Served"`
	Value    string        `json:"Value"` // slowness a try that was served
	ClientID int           `json:"Who"`   // client or node, for a picture of it
}

// keyState is what a key has come to: an effect, and the answer that was given.
type keyState struct {
	applied bool
	value   string
}

// keyModel is the specification (Herlihy and Wing 1990, checked as by Lowe 2017): an effect may happen where none has; a try that is served has its answer from an effect that has
// happened, the same as every other's; any other end of a try says nothing.
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

// CheckOnce checks, by what backends saw and clients were answered, that the work of each key happened once and has
// one answer.
func (r *Report) CheckOnce() (out []rulecheck.Violation) {
	for _, request := range r.KeyedRequests {
		if request.Effects > 1 || request.Values > 1 {
			out = append(out, rulecheck.Violation{Rule: RuleOnceByKey, At: request.FirstSentAt, Until: request.FirstSentAt + request.ClientTimeout, Detail: fmt.Sprintf("key %s has %d effects in %d racks and %d answers", request.Key, request.Effects, request.Racks, request.Values)})
		}
	}
	return out
}

// CheckHistory looks for an order of each key's steps, within their times, that keyModel allows, and returns what there is none for.
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
