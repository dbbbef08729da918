package core

import (
	"log/slog"
	"time"

	"hitchspring/policy"
)

// figure is one count of what happened between two lines.
type figure uint8

// The figures, in the order in which a line has them.
const (
	arrivals figure = iota
	servedInTime
	servedLate
	cutOffs
	firstSends
	furtherSends
	holdMillis // from arrival to the first attempt, summed
	dials
	lists
	countCalls
	countMillis // of the calls that were answered, summed
	allFigures
)

var figureNames = [allFigures]string{"arrived", "served", "late", "cut", "first", "further", "hold_ms", "dials", "lists", "calls", "call_ms"}

var outcomeNames = [...]string{
	policy.Failed: "failed", policy.Succeeded: "done", policy.Rejected: "full", policy.TimedOut: "timeout",
	policy.NoConnect: "noconnect", policy.Reset: "reset", policy.Cancelled: "cancelled", policy.NotSent: "moot",
}

// summary counts what happens and writes a line of it at a time, so that the logs of many instances can be added up
// (lab fleet-logs). A nil one counts nothing. The core's goroutine owns it.
type summary struct {
	dialed  int // as of the last line
	counts  [allFigures]float64
	refuse  [policy.ReasonCount]int
	fail    [policy.ReasonCount]int
	ends    [len(outcomeNames)]int
	answers [len(outcomeNames)]int // of the counter
}

func (s *summary) add(f figure, n float64) {
	if s != nil {
		s.counts[f] += n
	}
}

func (s *summary) refused(why policy.Reason) {
	if s != nil {
		s.refuse[why]++
	}
}

func (s *summary) failed(why policy.Reason) {
	if s != nil {
		s.fail[why]++
	}
}

func (s *summary) sent(n int, held time.Duration) {
	if n > 0 {
		s.add(furtherSends, 1)
		return
	}
	s.add(firstSends, 1)
	s.add(holdMillis, held.Seconds()*1000)
}

func (s *summary) ended(o policy.Outcome) {
	if s != nil {
		s.ends[o]++
	}
}

func (s *summary) served(took, aim time.Duration) {
	if took <= aim {
		s.add(servedInTime, 1)
	} else {
		s.add(servedLate, 1)
	}
}

func (s *summary) counted(o policy.Outcome, took time.Duration) {
	if s == nil {
		return
	}
	s.answers[o]++
	s.counts[countCalls]++
	if o == policy.Succeeded {
		s.counts[countMillis] += took.Seconds() * 1000
	}
}

// summarize starts the lines, where they are wanted. Lines of all instances fall on the same seconds of the shared clock:
// they are for adding up, and cost the fleet a write each.
func (g *Core) summarize() {
	if g.cfg.Summary <= 0 {
		return
	}
	g.sum = &summary{}
	var line func()
	line = func() {
		g.sum.log(g)
		g.at(g.now.Truncate(g.cfg.Summary)+g.cfg.Summary, line)
	}
	g.at(g.now.Truncate(g.cfg.Summary)+g.cfg.Summary, line)
}

// log writes the line, figures that are 0 left out.
func (s *summary) log(g *Core) {
	dialed := g.nodes.Dials()
	s.counts[dials] = float64(dialed - s.dialed)
	args := make([]any, 0, 64)
	put := func(prefix, name string, n float64) {
		if n != 0 {
			args = append(args, prefix+name, float64(int64(n*100))/100)
		}
	}
	for f, n := range s.counts {
		put("", figureNames[f], n)
	}
	for why := range policy.ReasonCount {
		put("refused.", why.String(), float64(s.refuse[why]))
		put("failed.", why.String(), float64(s.fail[why]))
	}
	for o, name := range outcomeNames {
		put("end.", name, float64(s.ends[o]))
		put("count.", name, float64(s.answers[o]))
	}
	window, busy, held, servers := g.mod.Stats()
	put("", "window", window)
	put("", "busy", float64(busy))
	put("", "held", float64(held))
	put("", "nodes", float64(servers))
	g.log.LogAttrs(g.ctx, slog.LevelInfo, "second", slog.Group("", args...))
	*s = summary{dialed: dialed}
}
