package peers

import (
	"time"

	"hitchspring/internal/gossip"
	"hitchspring/internal/swim"
)

// boundReport decides when to log that a bound was reached: immediately the first
// time, then at most once per summaryInterval while it continues.
type boundReport struct {
	reported   int // part of the count that was logged
	reportedAt time.Duration
}

// due returns how often the bound was reached since the last log line, and whether
// a line should be logged now. count is how often it was reached since the start.
func (r *boundReport) due(now time.Duration, count int) (int, bool) {
	unreported := count - r.reported
	if unreported <= 0 || r.reported > 0 && now-r.reportedAt < summaryInterval {
		return unreported, false
	}
	r.reported = count
	r.reportedAt = now
	return unreported, true
}

// boundReports holds a report for each bound of a running instance. It is not
// safe for concurrent use.
type boundReports struct {
	facts     boundReport
	members   boundReport
	sendQueue boundReport
	oversized boundReport
	logLines  boundReport
}

// reportBounds logs which bounds were reached since the previous call.
func (p *Peers) reportBounds(now time.Duration) {
	p.mu.Lock()
	facts, members := p.engine.facts.Counts().Full, p.engine.membership.Counts().Full
	oversized := p.engine.counts.Oversized
	stored, bytes := p.engine.facts.Len(), p.engine.facts.Bytes()
	p.mu.Unlock()
	reports := &p.boundReports
	if n, due := reports.facts.due(now, facts); due {
		p.log.Warn("facts rejected, store is full", "rejected", n, "stored", stored, "bytes", bytes,
			"max_bytes", gossip.MaxBytes, "max_facts_per_owner", gossip.MaxFactsPerOwner)
	}
	if n, due := reports.members.due(now, members); due {
		p.log.Warn("members rejected, member list is full", "rejected", n, "max_members", swim.MaxMembers)
	}
	if n, due := reports.sendQueue.due(now, int(p.droppedSends.Load())); due {
		p.log.Warn("outgoing messages dropped, send queue is full", "dropped", n, "max_queued", maxQueuedSends)
	}
	if n, due := reports.oversized.due(now, oversized); due {
		p.log.Warn("outgoing messages dropped, too large", "dropped", n, "max_bytes", MaxMessage)
	}
	if n, due := reports.logLines.due(now, p.logLimit.omittedCount(changeLines)); due {
		p.log.Info("log lines on members omitted", "omitted", n, "max_per_second", maxLinesPerSecond)
	}
}
