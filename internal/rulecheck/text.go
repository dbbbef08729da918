package rulecheck

import (
	"fmt"
	"strings"
)

// maxListedViolations is the maximum number of violations that String lists for each rule.
const maxListedViolations = 3

// String returns a line for each rule, each followed by a line for each of the rule's first violations.
func (r Result) String() string {
	var text strings.Builder
	for _, rule := range RuleNames {
		violations := r.ForRule(rule)
		status := "kept"
		if len(violations) > 0 {
			status = fmt.Sprintf("BROKEN %d times", len(violations))
		}
		fmt.Fprintf(&text, "  %-26s %-18s by %d facts\n", rule, status, r.Checked[rule])
		for i, violation := range violations {
			if i == maxListedViolations {
				fmt.Fprintf(&text, "      and %d more\n", len(violations)-maxListedViolations)
				break
			}
			doubt := ""
			if violation.Doubtful {
				doubt = " (the lab was late then)"
			}
			fmt.Fprintf(&text, "      at %.3f s: %s%s\n", violation.At.Seconds(), violation.Detail, doubt)
		}
	}
	return text.String()
}
