package tally

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"hitchspring/internal/standin/fault"
)

// unsupportedKinds lists the fault kinds that this stand-in rejects, because it replies to calls strictly in order.
var unsupportedKinds = []fault.Kind{fault.Late, fault.RepeatLate, fault.Swap}

// Do executes one line of the control port: stop DURATION, restart DURATION (which deletes all counters), silent
// DURATION (calls take no effect and get no reply), or a fault rule (see fault.Parse). It returns an error for an
// invalid line.
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
		return fmt.Errorf("fault %q: unsupported fault kind %q", line, rule.Kind)
	}
	s.Fault(rule)
	return nil
}

// interrupt executes stop and restart: it resets all connections and accepts new ones after a pause.
func (s *Server) interrupt(line, command, value string) error {
	pause, err := time.ParseDuration(value)
	if err != nil || pause < 0 {
		return fmt.Errorf("fault %q: invalid duration %q", line, value)
	}
	if command == "restart" {
		s.Restart(pause)
		return nil
	}
	s.Stop()
	s.listenAfter(pause)
	return nil
}
