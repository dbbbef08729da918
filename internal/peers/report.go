package peers

import (
	"errors"
	"net/netip"
	"time"

	"hitchspring/internal/swim"
)

// summaryInterval is the least time between two log lines on the same cause,
// each of which says how often it occurred.
const summaryInterval = 10 * time.Second

// reportNewChanges reports the changes of the membership since it was last
// called, and whether there were any. Several goroutines find changes; one at a
// time reports those of all, so that a death doesn't overtake its refutation,
// and the others don't wait for it.
func (p *Peers) reportNewChanges() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	changes := p.engine.membership.Changes()
	p.unreported = append(p.unreported, changes...)
	if p.reporting {
		return len(changes) > 0
	}
	p.reporting = true
	for len(p.unreported) > 0 {
		batch := p.unreported
		p.unreported = nil
		p.mu.Unlock()
		p.reportChanges(batch)
		p.mu.Lock()
	}
	p.reporting = false
	return len(changes) > 0
}

// reportChanges logs changes of the membership and passes them on.
func (p *Peers) reportChanges(changes []swim.Change) {
	if len(changes) == 0 {
		return
	}
	for _, change := range changes {
		if p.logLimit.allow(changeLines) {
			p.logChange(change)
		}
	}
	if p.cfg.OnChange != nil {
		p.cfg.OnChange(changes)
	}
	p.mu.Lock()
	reason := p.engine.membership.LeftReason()
	p.mu.Unlock()
	if reason != "" && p.logLimit.once(leftLines) {
		p.log.Error("left the peer group", "member", p.cfg.Name, "reason", reason)
	}
}

func (p *Peers) logChange(change swim.Change) {
	switch {
	case change.Forgotten:
		p.log.Info("member forgotten", "member", change.Name, "incarnation", change.Incarnation)
	case change.State == swim.Alive && change.New:
		p.log.Info("member joined", "member", change.Name, "addr", change.Addr, "zone", change.Zone,
			"incarnation", change.Incarnation)
	case change.State == swim.Alive:
		p.log.Info("member alive again", "member", change.Name, "previous", change.Previous.String())
	case change.State == swim.Suspect:
		p.log.Warn("member suspected", "member", change.Name, "suspected_by", change.SuspectedBy)
	case change.State == swim.Dead:
		p.log.Warn("member declared dead", "member", change.Name, "suspected_by", change.SuspectedBy)
	case change.State == swim.Left:
		p.log.Info("member left", "member", change.Name)
	}
}

// rejectedDatagrams are those that were rejected since the last log line.
type rejectedDatagrams struct {
	count    int
	lastErr  error
	lastFrom netip.AddrPort
	loggedAt time.Duration // 0: never
}

func (r *rejectedDatagrams) add(err error, from netip.AddrPort) {
	r.count++
	r.lastErr = err
	r.lastFrom = from
}

// take returns what is to be logged now, and begins anew. It reports false if no
// line is due.
func (r *rejectedDatagrams) take(now time.Duration) (rejectedDatagrams, bool) {
	if r.count == 0 || r.loggedAt > 0 && now-r.loggedAt < summaryInterval {
		return rejectedDatagrams{}, false
	}
	taken := *r
	r.count = 0
	r.loggedAt = now
	return taken, true
}

// reportRejected logs that datagrams were rejected, one line for several.
func (p *Peers) reportRejected(now time.Duration) {
	p.mu.Lock()
	rejected, due := p.rejected.take(now)
	p.mu.Unlock()
	if !due {
		return
	}
	hint := ""
	if errors.Is(rejected.lastErr, ErrKey) {
		hint = "the key in its peers.key_file is another, or it is no peer"
	}
	p.log.Warn("datagram rejected", "count", rejected.count, "last", rejected.lastErr,
		"from", rejected.lastFrom.String(), "hint", hint)
}
