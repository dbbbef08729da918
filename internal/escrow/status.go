package escrow

import (
	"maps"
	"slices"
	"time"
)

// Status describes one account to operators. Shares are fractions of its quota.
type Status struct {
	Key         string   `json:"Key"`
	Home        float64  `json:"Home"`     // this instance's home share
	Share       float64  `json:"Share"`    // may be spent by this instance now
	Transferred float64  `json:"Lent"`     // transferred to the instances in To
	Received    float64  `json:"Borrowed"` // received from the instances in From
	Unreported  float64  `json:"Away"`     // may be spent by others without reporting it to the counter
	To          []string `json:"To"`
	From        []string `json:"From"`
}

// Status returns the status of each account, ordered by key.
func (a *Allocator) Status(now time.Duration) []Status {
	a.advance(now)
	var statuses []Status
	for _, key := range slices.Sorted(maps.Keys(a.accounts)) {
		statuses = append(statuses, a.accountStatus(a.accounts[key]))
	}
	return statuses
}

func (a *Allocator) accountStatus(acc *account) Status {
	status := Status{
		Key:        acc.key,
		Home:       a.homeShare(acc),
		Share:      a.currentShare(acc),
		Unreported: a.unreportedShare(acc),
	}
	for _, t := range acc.transferredOut {
		if !t.expired(a.now) {
			status.Transferred += t.share
			status.To = append(status.To, t.peer)
		}
	}
	for _, t := range acc.received {
		if t.granted && !t.expired(a.now) {
			status.Received += t.share
			status.From = append(status.From, t.peer)
		}
	}
	return status
}
