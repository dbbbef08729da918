package core

import (
	"log/slog"
	"time"

	"hitchspring/policy"
)

// figure is one count of what happened between two lines.
type summaryField uint8

// The figures, in the order in which a line has them.
const (
	summaryArrived summaryField = iota
	summaryServed
	summaryLate
	summaryOverdue
	summaryFirstAttempts
	summaryRetries
	summaryQueuedMillis // from arrival to the first attempt, summed
	summaryDials
	summaryLists
	summaryCounterCalls
	summaryCounterMillis // of the calls that were answered, summed
	summaryFieldCount
)

var summaryFieldNames = [summaryFieldCount]string{"arrived", "served", "late", "cut", "first", "further", "hold_ms", "dials", "lists", "calls", "call_ms"}

var outcomeNames = [...]string{
	policy.Failed: "failed", policy.Succeeded: "done", policy.Rejected: "full", policy.TimedOut: "timeout",
	policy.NoConnect: "noconnect", policy.Reset: "reset", policy.Cancelled: "cancelled", policy.NotSent: "moot",
}

// summary counts what happens and writes a line of it at a time, so that the logs of many instances can be added up
// (lab fleet-logs). A nil one counts nothing. The core's goroutine owns it.
type summary struct {
	dialsBefore  int // as of the last line
	counts  [summaryFieldCount]float64
	rejections  [policy.ReasonCount]int
	failures    [policy.ReasonCount]int
	attemptOutcomes    [len(outcomeNames)]int
	counterOutcomes [len(outcomeNames)]int // of the counter
}

func (s *summary) add(f summaryField, n float64) {
	if s != nil {
		s.counts[f] += n
	}
}

func (s *summary) addRejection(why policy.Reason) {
	if s != nil {
		s.rejections[why]++
	}
}

func (s *summary) addFailure(why policy.Reason) {
	if s != nil {
		s.failures[why]++
	}
}

func (s *summary) addAttempt(n int, held time.Duration) {
	if n > 0 {
		s.add(summaryRetries, 1)
		return
	}
	s.add(summaryFirstAttempts, 1)
	s.add(summaryQueuedMillis, held.Seconds()*1000)
}

func (s *summary) addAttemptEnd(o policy.Outcome) {
	if s != nil {
		s.attemptOutcomes[o]++
	}
}

func (s *summary) addServed(took, aim time.Duration) {
	if took <= aim {
		s.add(summaryServed, 1)
	} else {
		s.add(summaryLate, 1)
	}
}

func (s *summary) addCounterReply(o policy.Outcome, took time.Duration) {
	if s == nil {
		return
	}
	s.counterOutcomes[o]++
	s.counts[summaryCounterCalls]++
	if o == policy.Succeeded {
		s.counts[summaryCounterMillis] += took.Seconds() * 1000
	}
}

// summarize starts the lines, where they are wanted. Lines of all instances fall on the same seconds of the shared clock:
// they are for adding up, and cost the fleet a write each.
func (c *Core) startSummary() {
	if c.cfg.Summary <= 0 {
		return
	}
	c.summary = &summary{}
	var line func()
	line = func() {
		c.summary.writeLine(c)
		c.scheduleAt(c.now.Truncate(c.cfg.Summary)+c.cfg.Summary, line)
	}
	c.scheduleAt(c.now.Truncate(c.cfg.Summary)+c.cfg.Summary, line)
}

// log writes the line, figures that are 0 left out.
func (s *summary) writeLine(g *Core) {
	dialed := g.backends.Dials()
	s.counts[summaryDials] = float64(dialed - s.dialsBefore)
	args := make([]any, 0, 64)
	put := func(prefix, name string, n float64) {
		if n != 0 {
			args = append(args, prefix+name, float64(int64(n*100))/100)
		}
	}
	for f, n := range s.counts {
		put("", summaryFieldNames[f], n)
	}
	for why := range policy.ReasonCount {
		put("refused.", why.String(), float64(s.rejections[why]))
		put("failed.", why.String(), float64(s.failures[why]))
	}
	for o, name := range outcomeNames {
		put("end.", name, float64(s.attemptOutcomes[o]))
		put("count.", name, float64(s.counterOutcomes[o]))
	}
	window, busy, held, servers := g.engine.Stats()
	put("", "window", window)
	put("", "busy", float64(busy))
	put("", "held", float64(held))
	put("", "nodes", float64(servers))
	g.log.LogAttrs(g.ctx, slog.LevelInfo, "second", slog.Group("", args...))
	*s = summary{dialsBefore: dialed}
}
