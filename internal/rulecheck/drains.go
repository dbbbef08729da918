package rulecheck

import (
	"cmp"
	"slices"
	"time"
)

// route identifies an instance and one of its backends.
type route struct{ instance, backend string }

// checkDrains checks that an instance sends no attempt to a draining backend once the grace period after the drain's
// notification is over. It also checks that each attempt belongs to a client's request.
func (r *Result) checkDrains(rules Rules, idx *index, notifications []Notification) {
	history := notificationsByRoute(notifications)
	r.countDrainsPastGrace(rules, idx, history)
	for _, attempt := range idx.attempts {
		if idx.requestByID[attempt.ID] == nil {
			r.addViolation(NoRequestLost, attempt.ArrivedAt, attempt.ArrivedAt,
				"node %s was sent %s, which no client asked", attempt.Backend, attempt.ID)
			continue
		}
		r.Checked[Drains]++
		since, draining := drainingSince(history[route{attempt.Instance, attempt.Backend}], attempt.ArrivedAt)
		elapsed := attempt.ArrivedAt - since
		if draining && elapsed > rules.DrainGrace+rules.Tolerance {
			r.addViolation(Drains, since, attempt.ArrivedAt, "%s sent to %s %v after it was told that this one drains",
				attempt.Instance, attempt.Backend, elapsed)
		}
	}
}

// notificationsByRoute groups notifications by the instance notified and the backend, each group in order of time.
func notificationsByRoute(notifications []Notification) map[route][]Notification {
	sorted := slices.Clone(notifications)
	slices.SortStableFunc(sorted, func(a, b Notification) int { return cmp.Compare(a.At, b.At) })
	history := map[route][]Notification{}
	for _, notification := range sorted {
		key := route{notification.Instance, notification.Backend}
		history[key] = append(history[key], notification)
	}
	return history
}

// countDrainsPastGrace counts the routes on which the backend drained and the instance sent to other backends after
// the grace period. Only these show that the instance avoided the draining backend.
func (r *Result) countDrainsPastGrace(rules Rules, idx *index, history map[route][]Notification) {
	for key, notifications := range history {
		drain := slices.IndexFunc(notifications, func(n Notification) bool { return !n.Serving })
		if drain < 0 {
			continue
		}
		graceEnd := notifications[drain].At + rules.DrainGrace
		sentElsewhere := slices.ContainsFunc(idx.attempts, func(attempt BackendAttempt) bool {
			return attempt.ArrivedAt > graceEnd && attempt.Instance == key.instance &&
				attempt.Backend != key.backend && idx.requestByID[attempt.ID] != nil
		})
		if sentElsewhere {
			r.Margins.Drains++
		}
	}
}

// drainingSince returns whether a backend is draining and since when, according to the notifications that the instance
// received up to the given time.
func drainingSince(notifications []Notification, at time.Duration) (since time.Duration, draining bool) {
	for _, notification := range notifications {
		if notification.At > at {
			break
		}
		if notification.Serving {
			draining = false
		} else if !draining {
			draining, since = true, notification.At
		}
	}
	return since, draining
}
