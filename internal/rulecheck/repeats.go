package rulecheck

import "slices"

// checkRepeats checks what follows an attempt that may have run as far as the instance could know: the request may be
// sent again only as its class allows, and must not be rejected if a repeat could have a second effect.
func (r *Result) checkRepeats(rules Rules, idx *index) {
	for id, attempts := range idx.attemptsByRequest {
		effect := rules.Classes[attempts[0].Class]
		for i, attempt := range attempts {
			r.Checked[NoEffectTwice]++
			earlierRun := slices.IndexFunc(attempts[:i], func(earlier BackendAttempt) bool {
				return !earlier.knownNeverRan(attempt.ArrivedAt)
			})
			if earlierRun >= 0 {
				r.checkRepeat(rules, effect, attempts[earlierRun], attempt)
			}
		}
		r.checkRejectionAfterAttempt(effect, idx.requestByID[id], attempts)
	}
}

// checkRepeat checks a repeat: an attempt of a request whose first attempt may have run.
func (r *Result) checkRepeat(rules Rules, effect Effect, first, repeat BackendAttempt) {
	report := func(format string, args ...any) {
		r.addViolation(NoEffectTwice, first.ArrivedAt, repeat.ArrivedAt, format, args...)
	}
	elapsed := repeat.ArrivedAt - first.ArrivedAt
	switch {
	case effect == Safe:
		r.Margins.Repeats++
	case effect == Unsafe:
		report("%s %s, which may not be repeated, was sent to %s and %s",
			repeat.Class, repeat.ID, first.Backend, repeat.Backend)
	case repeat.Rack != first.Rack:
		report("%s %s went to rack %d and rack %d", repeat.Class, repeat.ID, first.Rack, repeat.Rack)
	case elapsed > rules.KeyRetention+rules.Tolerance:
		report("%s %s was repeated after %v", repeat.Class, repeat.ID, elapsed)
	default:
		r.Margins.Repeats++
	}
}

// checkRejectionAfterAttempt checks that a request which is not safe to repeat is not rejected after an attempt that
// may have run: a rejection tells the client that it may retry.
func (r *Result) checkRejectionAfterAttempt(effect Effect, request *ClientRequest, attempts []BackendAttempt) {
	if effect == Safe || request == nil || len(request.Answers) == 0 || request.Answers[0].Kind == AnswerServed {
		return
	}
	answer := request.Answers[0]
	mayHaveRun := slices.IndexFunc(attempts, func(attempt BackendAttempt) bool {
		return attempt.ArrivedAt < answer.At && !attempt.knownNeverRan(answer.At)
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
