package takeover

import (
	"slices"
	"time"
)

const (
	completionResendInterval = 100 * time.Millisecond
	// maxCompletionSends is how often a completion is sent, the first time included.
	maxCompletionSends = 4
	// completionGrace is how long after the client's deadline an owner may
	// still report the outcome of its attempt.
	completionGrace = time.Second
)

// Complete reports the outcome of an attempt of this instance. The completion is
// sent to each replica until it acknowledges it, at most maxCompletionSends times.
func (c *Coordinator) Complete(now time.Duration, attempt uint64, answer Answer) {
	c.advance(now)
	work := c.pending[attempt]
	if work == nil || work.state == stateCompleted {
		return
	}
	if work.sendsNothing() {
		if work.state == stateQuerying {
			c.openQueries--
		}
		delete(c.pending, attempt)
		return
	}
	if answer.Kind == AnswerNeverRan && work.startedAt > 0 && work.epoch == 0 {
		answer.Kind = AnswerFailed
	}
	if len(answer.Value) > maxAnswerBytes {
		answer.truncate()
	}
	work.complete(&Completion{work.Key, work.attempt, work.epoch, answer})
	c.store.handleCompletion(now, c.self.Name, work.completion)
	c.collectFromStore()
	c.sendCompletion(now, work)
}

// sendCompletion sends the completion to the recipients that have not
// acknowledged it, and removes the work after the last acknowledgement or send.
func (c *Coordinator) sendCompletion(now time.Duration, work *pendingWork) {
	work.completionSends++
	work.completionSentAt = now
	for _, recipient := range work.recipients {
		if !work.acknowledged[recipient] {
			c.send(recipient, Message{Completion: work.completion})
		}
	}
	if work.allAcknowledged() || work.completionSends >= maxCompletionSends {
		delete(c.pending, work.attempt)
	}
}

// receiveCompletionAck handles a replica's acknowledgement of a completion.
func (c *Coordinator) receiveCompletionAck(from string, ack *Completion) {
	work := c.pending[ack.Attempt]
	if work == nil || work.state != stateCompleted {
		return
	}
	if slices.Contains(work.recipients, from) {
		work.acknowledged[from] = true
	}
	if work.allAcknowledged() {
		delete(c.pending, work.attempt)
	}
}

// allAcknowledged reports whether all recipients have acknowledged the completion.
func (w *pendingWork) allAcknowledged() bool {
	return len(w.acknowledged) == len(w.recipients)
}
