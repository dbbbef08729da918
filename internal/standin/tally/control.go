package tally

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"hitchspring/internal/standin/fault"
)

// unknown are the kinds of rules that a counter has nothing to do for: its answers come in order.
var unknown = []fault.Kind{fault.Late, fault.RepeatLate, fault.Swap}

// Do carries out one line: stop DURATION, restart DURATION (which forgets everything), silent DURATION (it takes no effect and
// answers nothing), or a fault rule for calls.
func (s *Server) Do(line string) error {
	words := strings.Fields(line)
	if len(words) == 2 && words[0] == "silent" {
		line = "ignore " + words[1]
	}
	if len(words) == 2 && (words[0] == "stop" || words[0] == "restart") {
		d, err := time.ParseDuration(words[1])
		if err != nil || d < 0 {
			return fmt.Errorf("fault %q: %q is no duration", line, words[1])
		}
		if words[0] == "restart" {
			s.Restart(d)
			return nil
		}
		s.Stop()
		s.wg.Go(func() {
			if s.sleep(d) {
				s.Listen()
			}
		})
		return nil
	}
	r, err := fault.Parse(line)
	if err != nil {
		return err
	}
	if slices.Contains(unknown, r.Kind) {
		return fmt.Errorf("fault %q: this counter knows no %q", line, r.Kind)
	}
	s.Fault(r)
	return nil
}
