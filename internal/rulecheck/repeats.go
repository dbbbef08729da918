package rulecheck

import "slices"

// checkRepeats checks that after an attempt that may have run, by what the instance could know, the request is only
// sent again as its class allows, and is not rejected as if a retry were harmless.
func (r *Result) checkRepeats(rules Rules, idx *index) {
	for id, attempts := range idx.attemptsOf {
		effect := rules.Classes[attempts[0].Class]
		for i, attempt := range attempts {
			r.Checked[NoEffectTwice]++
			before := slices.IndexFunc(attempts[:i], func(earlier BackendAttempt) bool {
				return !earlier.neverRan(attempt.ArrivedAt)
			})
			if before >= 0 {
				r.checkRepeat(rules, effect, attempts[before], attempt)
			}
		}
		r.checkRejectionAfterSend(effect, idx.requestOf[id], attempts)
	}
}

// checkRepeat checks an attempt that followed one which may have run.
func (r *Result) checkRepeat(rules Rules, effect Effect, first, repeat BackendAttempt) {
	add := func(format string, args ...any) {
		r.addViolation(NoEffectTwice, first.ArrivedAt, repeat.ArrivedAt, format, args...)
	}
	elapsed := repeat.ArrivedAt - first.ArrivedAt
	switch {
	case effect == Safe:
		r.Margins.Repeats++
	case effect == Unsafe:
		add("%s %s, which may not be repeated, was sent to %s and %s",
			repeat.Class, repeat.ID, first.Backend, repeat.Backend)
	case repeat.Rack != first.Rack:
		add("%s %s went to rack %d and rack %d", repeat.Class, repeat.ID, first.Rack, repeat.Rack)
	case elapsed > rules.KeyMemory+rules.Tolerance:
		add("%s %s was repeated after %v", repeat.Class, repeat.ID, elapsed)
	default:
		r.Margins.Repeats++
	}
}

// checkRejectionAfterSend checks that a request whose repeat may have an effect is not rejected after an attempt
// that may have run: a rejection invites the client to try again.
func (r *Result) checkRejectionAfterSend(effect Effect, request *ClientRequest, attempts []BackendAttempt) {
	if effect == Safe || request == nil || len(request.Answers) == 0 || request.Answers[0].Kind == AnswerServed {
		return
	}
	answer := request.Answers[0]
	mayHaveRun := slices.IndexFunc(attempts, func(attempt BackendAttempt) bool {
		return attempt.ArrivedAt < answer.At && !attempt.neverRan(answer.At)
	})
	if mayHaveRun < 0 {
		return
	}
	r.Margins.Withheld++
	if answer.Kind == AnswerRejected {
		attempt := attempts[mayHaveRun]
		r.addViolation(NoEffectTwice, attempt.ArrivedAt, answer.At,
			"%s %s was refused, as if trying again were harmless, though %s may have run it",
			request.Class, request.ID, attempt.Backend)
	}
}
