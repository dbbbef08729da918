package rulecheck

import (
	"slices"
	"time"
)

// tightMargin is how long before the client's timeout an answer counts as tight.
const tightMargin = 150 * time.Millisecond

// checkAnswers checks that each request has exactly one final answer, in time, and that nothing is sent after it.
func (r *Result) checkAnswers(rules Rules, idx *index) {
	for _, request := range idx.requests {
		r.Checked[NoRequestLost]++
		r.checkAnswerCount(rules, request)
		if len(request.Answers) == 0 {
			continue
		}
		first := request.Answers[0]
		if first.Kind == AnswerRejected {
			r.Margins.Refused++
		}
		if first.At > request.deadline()-tightMargin {
			r.Margins.Tight++
		}
		r.checkSentAfterAnswer(rules, request, first, idx.attemptsOf[request.ID])
	}
}

// checkAnswerCount records a violation unless the request has one answer of its own, in time.
func (r *Result) checkAnswerCount(rules Rules, request ClientRequest) {
	deadline := request.deadline()
	add := func(until time.Duration, format string, args ...any) {
		r.addViolation(NoRequestLost, request.SentAt, until, format, args...)
	}
	switch {
	case request.ForeignAnswer:
		add(deadline, "%s %s was answered with what no node made for it", request.Class, request.ID)
	case len(request.Answers) > 1:
		add(deadline, "%s %s has %d answers", request.Class, request.ID, len(request.Answers))
	case request.Excused:
	case len(request.Answers) == 0:
		add(deadline, "%s %s to %s has no answer", request.Class, request.ID, request.Instance)
	case request.Answers[0].At > deadline+rules.Tolerance:
		answeredAt := request.Answers[0].At
		add(answeredAt, "%s %s was answered %v after its time", request.Class, request.ID, answeredAt-deadline)
	}
}

// checkSentAfterAnswer records a violation for each attempt that arrived after the request's answer.
func (r *Result) checkSentAfterAnswer(rules Rules, request ClientRequest, answer Answer, attempts []BackendAttempt) {
	for _, attempt := range attempts {
		if attempt.Instance != request.Instance && rules.Classes[request.Class] == Keyed {
			// A successor that takes the request over may be cut off from the instance that answered. That it adds no
			// effect is checked by checkRepeats.
			continue
		}
		if attempt.ArrivedAt > answer.At+rules.Tolerance {
			r.addViolation(NoRequestLost, answer.At, attempt.ArrivedAt, "%s %s was sent to %s %v after its answer",
				request.Class, request.ID, attempt.Backend, attempt.ArrivedAt-answer.At)
		}
	}
}

const (
	// minLateRejections is how many late rejections of a class at an instance make a violation: fewer are chance.
	minLateRejections = 3
	// minLateRejectionFraction is the least fraction of all rejections of the class at the instance that must be late.
	minLateRejectionFraction = 0.1
)

// checkLateRejections checks that an instance rejects a request as soon as it gives up on it. A rejection that comes
// when no backend could have served the request in time, and while no attempt was running, was decided earlier and
// delayed.
func (r *Result) checkLateRejections(rules Rules, idx *index) {
	type group struct{ instance, class string }
	rejections := map[group]int{}
	late := map[group][]ClientRequest{}
	for _, request := range idx.requests {
		if len(request.Answers) != 1 || request.Answers[0].Kind != AnswerRejected || request.Excused {
			continue
		}
		key := group{request.Instance, request.Class}
		rejections[key]++
		if rejectedLate(rules, request, idx.attemptsOf[request.ID]) {
			late[key] = append(late[key], request)
		}
	}
	for key, requests := range late {
		tooFew := float64(len(requests)) < minLateRejectionFraction*float64(rejections[key])
		if len(requests) < minLateRejections || tooFew {
			continue
		}
		first := requests[0]
		rejectedAt := first.Answers[0].At
		r.addViolation(NoRequestLost, first.SentAt, rejectedAt,
			"%s held %d of %d refusals of %s until no node could have served them, %s until %v before its time",
			key.instance, len(requests), rejections[key], key.class, first.ID, first.deadline()-rejectedAt)
	}
}

// rejectedLate reports whether a rejection came after the last moment at which an attempt could have succeeded, and no
// attempt ended shortly before it.
func rejectedLate(rules Rules, request ClientRequest, attempts []BackendAttempt) bool {
	minAttempt := rules.MinAttempts[request.Class]
	rejectedAt := request.Answers[0].At
	if request.deadline()-rejectedAt >= minAttempt-rules.Tolerance {
		return false
	}
	return !slices.ContainsFunc(attempts, func(attempt BackendAttempt) bool {
		return attempt.EndedAt == 0 || attempt.EndedAt > rejectedAt-2*minAttempt
	})
}
