package core

import (
	"log/slog"
	"time"

	"hitchspring/policy"
)

// summaryField is one count of a summary line.
type summaryField uint8

// The counts, in the order of a line.
const (
	summaryArrived summaryField = iota
	summaryServed               // within the latency objective
	summaryLate                 // served after it
	summaryOverdue              // answered by the core, past their deadline
	summaryFirstAttempts
	summaryRetries
	summaryQueuedMillis // from arrival to the first attempt, summed
	summaryDials
	summaryLists
	summaryCounterCalls
	summaryCounterMillis // of the calls that were answered, summed
	summaryFieldCount
)

// summaryFieldNames are the keys of the counts in a line, which programs read.
var summaryFieldNames = [summaryFieldCount]string{
	summaryArrived:       "arrived",
	summaryServed:        "served",
	summaryLate:          "late",
	summaryOverdue:       "cut",
	summaryFirstAttempts: "first",
	summaryRetries:       "further",
	summaryQueuedMillis:  "hold_ms",
	summaryDials:         "dials",
	summaryLists:         "lists",
	summaryCounterCalls:  "calls",
	summaryCounterMillis: "call_ms",
}

// outcomeNames are the outcomes of attempts as log lines and metrics have them.
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

// summary counts what happens and writes the counts as one log line in each interval, so that the logs of many
// instances can be added up. A nil summary counts nothing. It belongs to the loop.
type summary struct {
	dialsBefore     int // up to the last line
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

// addAttempt counts an attempt that starts, by its number within the request.
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

// startSummary starts the lines if the configuration has an interval. The lines of all instances fall on the same
// multiples of it on the shared clock, so that they can be added up.
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

// writeLine writes the line, without the counts that are 0, and starts again from nothing.
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
