package peers

import (
	"time"

	"hitchspring/internal/gossip"
	"hitchspring/internal/swim"
)

// boundReport decides when a line is due on a bound that was met: at once, and then at most once in lineSpan while it goes on.
// It is used by one goroutine at a time.
type boundReport struct {
	reported int // of the count, in lines so far
	last     time.Duration
}

// due says how often the bound was met since the last line, and whether there is to be one now.
func (r *boundReport) due(now time.Duration, count int) (since int, due bool) {
	since = count - r.reported
	if since <= 0 || r.reported > 0 && now-r.last < summaryInterval {
		return since, false
	}
	r.reported, r.last = count, now
	return since, true
}

// boundReports are those of a running instance's bounds. They belong to run's goroutine.
type boundReports struct {
	facts, members, queue, oversized, lines boundReport
}

// reportBounds logs which bounds were met since it was last called.
func (p *Peers) reportBounds(now time.Duration) {
	p.mu.Lock()
	facts, members, oversized := p.engine.facts.Counts().Full, p.engine.membership.Counts().Full, p.engine.counts.Oversized
	held, bytes := p.engine.facts.Len(), p.engine.facts.Bytes()
	p.mu.Unlock()
	if n, due := p.bounds.facts.due(now, facts); due {
		p.log.Warn("peers: no room for further facts: they are asked for again", "refused", n, "held", held, "bytes", bytes, "max_bytes", gossip.MaxBytes,
			"max_facts_per_owner", gossip.MaxFactsPerOwner)
	}
	if n, due := p.bounds.members.due(now, members); due {
		p.log.Warn("peers: no room for further members: they are not seen from here", "refused", n, "max_members", swim.MaxMembers)
	}
	if n, due := p.bounds.queue.due(now, int(p.unqueued.Load())); due {
		p.log.Warn("peers: messages are dropped before they are sent: the queue is full", "dropped", n, "max_queued", maxQueuedSends)
	}
	if n, due := p.bounds.oversized.due(now, oversized); due {
		p.log.Warn("peers: messages are dropped before they are sent: they are too large", "dropped", n, "max_bytes", MaxMessage)
	}
	if n, due := p.bounds.lines.due(now, p.logLimit.omittedCount("change")); due {
		p.log.Info("peers: lines on members are left out: they are in the status", "omitted", n, "max_a_second", maxLinesPerSecond)
	}
}
