package tally

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"hitchspring/internal/standin/fault"
)

// unsupportedKinds lists the kinds of fault that a counter cannot carry out, because it replies in order.
var unsupportedKinds = []fault.Kind{fault.Late, fault.RepeatLate, fault.Swap}

// Do carries out one line of the control port: stop DURATION, restart DURATION (which loses all counts), silent
// DURATION (calls take no effect and get no reply), or a fault rule. It returns an error for a line that it cannot
// read.
func (s *Server) Do(line string) error {
	args := strings.Fields(line)
	if len(args) == 2 {
		switch args[0] {
		case "stop", "restart":
			return s.interrupt(line, args[0], args[1])
		case "silent":
			line = "ignore " + args[1]
		}
	}
	rule, err := fault.Parse(line)
	if err != nil {
		return err
	}
	if slices.Contains(unsupportedKinds, rule.Kind) {
		return fmt.Errorf("fault %q: this counter knows no %q", line, rule.Kind)
	}
	s.Fault(rule)
	return nil
}

// interrupt carries out stop and restart: it ends all connections and takes new ones after a pause.
func (s *Server) interrupt(line, command, value string) error {
	pause, err := time.ParseDuration(value)
	if err != nil || pause < 0 {
		return fmt.Errorf("fault %q: %q is no duration", line, value)
	}
	if command == "restart" {
		s.Restart(pause)
		return nil
	}
	s.Stop()
	s.listenAfter(pause)
	return nil
}
