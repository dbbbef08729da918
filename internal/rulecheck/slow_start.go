package rulecheck

// checkSlowStart checks that no backend in slow start failed under the load of all instances together.
func (r *Result) checkSlowStart(idx *index, overloads []Overload) {
	for _, attempt := range idx.attempts {
		if attempt.WarmingUp {
			r.Margins.SlowStartSends++
		}
	}
	r.Checked[SlowStart] = r.Margins.SlowStartSends
	for _, overload := range overloads {
		r.Margins.SlowStartPush = max(r.Margins.SlowStartPush, overload.MaxLoad)
		if overload.FailedAt > 0 {
			r.addViolation(SlowStart, overload.FailedAt, overload.FailedAt,
				"node %s fell over: %s", overload.Backend, overload.Reason)
		}
	}
}
