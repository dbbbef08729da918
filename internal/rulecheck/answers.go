package rulecheck

import (
	"slices"
	"time"
)

// tightMargin is the time before the client's timeout within which an answer counts as tight.
const tightMargin = 150 * time.Millisecond

// checkAnswers checks that each request gets exactly one final answer before its timeout, and that no attempt is sent
// after that answer.
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
		r.checkAttemptsAfterAnswer(rules, request, first, idx.attemptsByRequest[request.ID])
	}
}

// checkAnswerCount records a violation unless the request has exactly one answer, made for it, before its timeout.
// Excused requests may have a late answer or none.
func (r *Result) checkAnswerCount(rules Rules, request ClientRequest) {
	deadline := request.deadline()
	report := func(until time.Duration, format string, args ...any) {
		r.addViolation(NoRequestLost, request.SentAt, until, format, args...)
	}
	switch {
	case request.ForeignAnswer:
		report(deadline, "%s %s was answered with what no node made for it", request.Class, request.ID)
	case len(request.Answers) > 1:
		report(deadline, "%s %s has %d answers", request.Class, request.ID, len(request.Answers))
	case request.Excused:
	case len(request.Answers) == 0:
		report(deadline, "%s %s to %s has no answer", request.Class, request.ID, request.Instance)
	case request.Answers[0].At > deadline+rules.Tolerance:
		answeredAt := request.Answers[0].At
		report(answeredAt, "%s %s was answered %v after its time", request.Class, request.ID, answeredAt-deadline)
	}
}

// checkAttemptsAfterAnswer records a violation for each attempt that arrived after the request's answer, beyond the
// tolerance.
func (r *Result) checkAttemptsAfterAnswer(
	rules Rules,
	request ClientRequest,
	answer Answer,
	attempts []BackendAttempt,
) {
	for _, attempt := range attempts {
		if attempt.Instance != request.Instance && rules.Classes[request.Class] == Keyed {
			// A network partition can keep a successor from learning that the first instance has answered, so its
			// attempt is allowed here. checkRepeats checks that the attempt has no second effect.
			continue
		}
		if attempt.ArrivedAt > answer.At+rules.Tolerance {
			r.addViolation(NoRequestLost, answer.At, attempt.ArrivedAt, "%s %s was sent to %s %v after its answer",
				request.Class, request.ID, attempt.Backend, attempt.ArrivedAt-answer.At)
		}
	}
}

const (
	// minLateRejections is the minimum number of late rejections of a class at an instance that is a violation.
	// Fewer can occur by chance.
	minLateRejections = 3
	// minLateRejectionFraction is the minimum fraction of late ones among the rejections of a class at an instance
	// that is a violation.
	minLateRejectionFraction = 0.1
)

// checkLateRejections checks that an instance rejects a request as soon as it gives up on it. A rejection was delayed
// if it came when no backend could serve the request before its timeout any more, and no attempt was running or had
// just ended.
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
		if rejectedLate(rules, request, idx.attemptsByRequest[request.ID]) {
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

// rejectedLate reports whether a request was rejected so shortly before its timeout that no attempt could have
// succeeded any more, although no attempt was running at the rejection or had ended shortly before it.
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
