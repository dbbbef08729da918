package core

import (
	"log/slog"
	"time"

	"hitchspring/policy"
)

// summaryField identifies a count in a summary line.
type summaryField uint8

// The counts, in the order in which a line has them.
const (
	summaryArrived summaryField = iota
	summaryServed               // within the latency objective
	summaryLate                 // served after the latency objective
	summaryOverdue              // past the deadline, answered by the core
	summaryFirstAttempts
	summaryRetries
	summaryQueuedMillis // sum of the times from arrival to first attempt
	summaryDials
	summaryEndpointUpdates // updates of the endpoint list
	summaryCounterCalls
	summaryCounterMillis // sum of the durations of successful counter calls
	summaryFieldCount
)

// summaryFieldNames are the keys of the counts in a line. Other programs parse them.
var summaryFieldNames = [summaryFieldCount]string{
	summaryArrived:         "arrived",
	summaryServed:          "served",
	summaryLate:            "late",
	summaryOverdue:         "cut",
	summaryFirstAttempts:   "first",
	summaryRetries:         "further",
	summaryQueuedMillis:    "hold_ms",
	summaryDials:           "dials",
	summaryEndpointUpdates: "lists",
	summaryCounterCalls:    "calls",
	summaryCounterMillis:   "call_ms",
}

// outcomeNames are the names of attempt outcomes in log lines and metrics.
var outcomeNames = [...]string{
	policy.Failed:    "failed",
	policy.Succeeded: "done",
	policy.Rejected:  "full",
	policy.TimedOut:  "timeout",
	policy.NoConnect: "noconnect",
	policy.Reset:     "reset",
	policy.Canceled:  "cancelled",
	policy.NotSent:   "moot",
}

// summary counts events and writes the counts as one log line per interval, so that the logs of many instances can be
// added up. A nil summary counts nothing. It is confined to the loop's goroutine.
type summary struct {
	dialsBefore     int // connections dialed up to the last line
	counts          [summaryFieldCount]float64
	rejections      [policy.ReasonCount]int
	failures        [policy.ReasonCount]int
	attemptOutcomes [len(outcomeNames)]int
	counterOutcomes [len(outcomeNames)]int
}

func (s *summary) add(field summaryField, n float64) {
	if s != nil {
		s.counts[field] += n
	}
}

func (s *summary) addRejection(reason policy.Reason) {
	if s != nil {
		s.rejections[reason]++
	}
}

func (s *summary) addFailure(reason policy.Reason) {
	if s != nil {
		s.failures[reason]++
	}
}

// addAttempt counts the start of an attempt, as a first attempt if its number within the request is 0 or as a retry.
func (s *summary) addAttempt(number int, queued time.Duration) {
	if number > 0 {
		s.add(summaryRetries, 1)
		return
	}
	s.add(summaryFirstAttempts, 1)
	s.add(summaryQueuedMillis, queued.Seconds()*1000)
}

func (s *summary) addAttemptEnd(outcome policy.Outcome) {
	if s != nil {
		s.attemptOutcomes[outcome]++
	}
}

func (s *summary) addServed(took, objective time.Duration) {
	if took <= objective {
		s.add(summaryServed, 1)
	} else {
		s.add(summaryLate, 1)
	}
}

func (s *summary) addCounterReply(outcome policy.Outcome, took time.Duration) {
	if s == nil {
		return
	}
	s.counterOutcomes[outcome]++
	s.counts[summaryCounterCalls]++
	if outcome == policy.Succeeded {
		s.counts[summaryCounterMillis] += took.Seconds() * 1000
	}
}

// startSummary starts writing summary lines if the configuration has an interval for them. Lines are written at
// multiples of the interval on the shared clock, so that those of all instances can be added up.
func (c *Core) startSummary() {
	interval := c.cfg.Summary
	if interval <= 0 {
		return
	}
	c.summary = &summary{}
	var writeLine func()
	writeLine = func() {
		c.summary.writeLine(c)
		c.scheduleAt(c.now.Truncate(interval)+interval, writeLine)
	}
	c.scheduleAt(c.now.Truncate(interval)+interval, writeLine)
}

// writeLine logs the counts that are not 0 and resets them all.
func (s *summary) writeLine(c *Core) {
	dialed := c.backends.Dials()
	s.counts[summaryDials] = float64(dialed - s.dialsBefore)
	attrs := make([]any, 0, 64)
	put := func(prefix, name string, n float64) {
		if n != 0 {
			attrs = append(attrs, prefix+name, float64(int64(n*100))/100)
		}
	}
	for field, n := range s.counts {
		put("", summaryFieldNames[field], n)
	}
	for reason := range policy.ReasonCount {
		put("refused.", reason.String(), float64(s.rejections[reason]))
		put("failed.", reason.String(), float64(s.failures[reason]))
	}
	for outcome, name := range outcomeNames {
		put("end.", name, float64(s.attemptOutcomes[outcome]))
		put("count.", name, float64(s.counterOutcomes[outcome]))
	}
	window, inFlight, queued, backends := c.engine.Stats()
	put("", "window", window)
	put("", "busy", float64(inFlight))
	put("", "held", float64(queued))
	put("", "nodes", float64(backends))
	c.log.LogAttrs(c.ctx, slog.LevelInfo, "second", slog.Group("", attrs...))
	*s = summary{dialsBefore: dialed}
}
