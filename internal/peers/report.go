package peers

import (
	"errors"
	"net/netip"
	"time"

	"hitchspring/internal/swim"
)

// summaryInterval is the minimum time between two log lines about the same cause.
// Each line says how often it occurred.
const summaryInterval = 10 * time.Second

// reportNewChanges logs the membership changes since the previous call, passes them
// to OnChange, and returns whether there were any. Several goroutines call it, but
// only one at a time reports the changes found by all, so that a refutation is not
// reported before the death that it refutes. The others return without waiting.
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

// reportChanges logs membership changes and passes them to OnChange.
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

// rejectedDatagrams summarizes the datagrams rejected since the last log line.
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

// take returns the summary to log and resets the count. It reports false if no log
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

// reportRejected logs one line about all datagrams rejected since the previous one.
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
