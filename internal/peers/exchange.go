package peers

import (
	"math/bits"
	"time"

	"hitchspring/internal/gossip"
)

const (
	requestInterval     = 150 * time.Millisecond // between two fact requests while facts change
	idleRequestInterval = time.Second            // between two fact requests after activeTime without a change
	activeTime          = 2 * time.Second

	maxResponseBytes   = 1000 // approximate size of the facts in one response
	maxPendingRequests = 16
	joinRequests       = 3  // members that are sent a request when the first member is found
	maxContinuations   = 64 // consecutive requests that continue an incomplete response

	announcementInterval           = 50 * time.Millisecond // between two announcements in a small group
	membersPerAnnouncementInterval = 100                   // every 100 members add another announcementInterval
	announcementFanout             = 2                     // members that are sent each announcement
)

// pendingRequest is a request for facts that was sent.
type pendingRequest struct {
	sentAt time.Duration
	addr   string
	digest gossip.Digest
}

// requestPeriodically sends a request to one random member and schedules the next one.
func (e *Engine) requestPeriodically() {
	interval := requestInterval
	if e.now-e.changedAt > activeTime {
		interval = idleRequestInterval
	}
	e.nextRequest = e.now + interval/2 + time.Duration(e.rng.Int64N(int64(interval)))
	e.continuations = 0
	e.requestFromRandom(1)
}

// requestFromRandom requests facts from n randomly chosen members. The first time
// that any member is present, it requests them from joinRequests members instead.
func (e *Engine) requestFromRandom(n int) {
	if !e.joined && e.membership.AliveCount() > 0 {
		e.joined = true
		n = joinRequests
	}
	for _, m := range e.membership.RandomMembers(n) {
		e.request(m.Addr, e.facts.NextDigest())
	}
}

// request sends a request for facts, unless maxPendingRequests are unanswered.
func (e *Engine) request(addr string, digest gossip.Digest) {
	if len(e.pending) >= maxPendingRequests {
		return
	}
	nonce := e.rng.Uint64()
	e.pending[nonce] = pendingRequest{sentAt: e.now, addr: addr, digest: digest}
	e.send(addr, &payload{Swim: e.identityMessage(), Request: &factRequest{nonce, digest}})
}

// respond answers a request for facts.
func (e *Engine) respond(addr string, request *factRequest) {
	deltas := e.facts.DeltasFor(e.now, request.Digest, maxResponseBytes)
	more := e.facts.HasMore(request.Digest, deltas)
	e.send(addr, &payload{Swim: e.identityMessage(), Response: &factResponse{request.Nonce, deltas, more}})
}

// handleResponse merges the response to a pending request. If the response was
// incomplete, it requests the remaining facts.
func (e *Engine) handleResponse(from string, response *factResponse) {
	request, pending := e.pending[response.Nonce]
	if !pending || request.addr != from {
		e.counts.Unsolicited++
		return
	}
	delete(e.pending, response.Nonce)
	before := e.facts.Version()
	e.facts.Merge(e.now, request.sentAt, response.Deltas)
	changed := e.facts.Version() != before
	if changed {
		e.announcementsLeft = e.announcementRounds()
		e.changedAt = e.now
	}
	if response.More && changed && e.continuations < maxContinuations {
		e.continuations++
		e.request(from, e.facts.ContinueDigest(request.digest))
		return
	}
	e.synced = true
}

// expireRequests drops pending requests whose response would be too late to merge.
func (e *Engine) expireRequests() {
	for nonce, request := range e.pending {
		if e.now-request.sentAt > gossip.MaxRoundTrip {
			delete(e.pending, nonce)
		}
	}
}

// handleAnnouncement requests the announced facts that this instance does not have.
func (e *Engine) handleAnnouncement(from string, watermarks []gossip.Watermark) {
	digest, missing := e.facts.DigestFor(watermarks)
	if !missing {
		return
	}
	e.changedAt = e.now
	e.request(from, digest)
}

// announce notifies a few members of the owners that have new facts.
func (e *Engine) announce() {
	e.announcementsLeft--
	stretch := time.Duration(1 + e.membership.AliveCount()/membersPerAnnouncementInterval)
	e.nextAnnouncement = e.now + announcementInterval*stretch
	for _, m := range e.membership.RandomMembers(announcementFanout) {
		e.send(m.Addr, &payload{Announcement: e.facts.RecentWatermarks(), Swim: e.identityMessage()})
	}
}

// announcementRounds returns how often a change is announced. It grows with the
// logarithm of the group size, so that random selection misses few members.
func (e *Engine) announcementRounds() int {
	return 1 + bits.Len(uint(e.membership.AliveCount()))/2
}
