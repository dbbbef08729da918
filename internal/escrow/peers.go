package escrow

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// usageInterval is the minimum time between two usage messages to a peer; a
	// random jitter of up to half as much is added.
	usageInterval = 200 * time.Millisecond
	// helloInterval is the mean interval of hellos to a member whose number isn't
	// known, and the interval of messages to a peer without anything to report.
	helloInterval = 2 * time.Second
	// maxHellosPerTick limits the hellos to members whose number isn't known.
	maxHellosPerTick = 8
	// maxUsages limits the accounts in one message.
	maxUsages = 24
)

// peer is another instance whose number is known.
type peer struct {
	Member
	heardAt     time.Duration
	nextUsageAt time.Duration
	usages      map[string]Usage // its latest report, by account key
	// nonce identifies its incarnation.
	nonce uint64
	// confirmedNone is set if it has confirmed to this incarnation that it holds
	// no transfers from an earlier one.
	confirmedNone bool
	// ended is set by PeerEnded.
	ended bool
}

// newPeer returns a peer without any reports.
func newPeer(member Member) *peer {
	return &peer{Member: member, usages: map[string]Usage{}}
}

// reachable reports whether a message from a peer arrived within maxSilence, and
// it has not ended.
func (a *Allocator) reachable(p *peer) bool {
	return !p.ended && a.now-p.heardAt <= maxSilence
}

// earlierTransfersEnded reports whether all transfers made by earlier incarnations
// of this instance have certainly ended.
func (a *Allocator) earlierTransfersEnded() bool {
	if a.now >= a.startedAt+TransferTerm {
		return true
	}
	confirmed := 0
	for _, p := range a.peers {
		if p.confirmedNone {
			confirmed++
		}
	}
	return confirmed == a.instances-1
}

// PeerEnded reports that an incarnation of a member has certainly ended or has
// left, so that it spends nothing any more.
func (a *Allocator) PeerEnded(name string, incarnation uint64) {
	number, known := a.peerNumbers[name]
	if !known {
		return
	}
	if p := a.peers[number]; p.Incarnation <= incarnation {
		p.ended = true
	}
}

// forgetHellosToAbsent removes the hello times of members that have left. It
// doesn't mark peers as ended: a peer that is no longer a member may still be
// running, and only PeerEnded reports that it isn't.
func (a *Allocator) forgetHellosToAbsent(members []Member) {
	present := map[string]bool{}
	for _, m := range members {
		present[m.Name] = true
	}
	maps.DeleteFunc(a.nextHelloAt, func(name string, _ time.Duration) bool { return !present[name] })
}

// reportToPeers returns the messages with requests and usages that are due.
func (a *Allocator) reportToPeers(requests map[int][]TransferRequest) []Envelope {
	var envelopes []Envelope
	for _, number := range slices.Sorted(maps.Keys(a.peers)) {
		p := a.peers[number]
		requested := requests[number]
		if p.ended || len(requested) == 0 && a.now < p.nextUsageAt {
			continue
		}
		usages := a.usagesFor(number)
		if len(requested) == 0 && len(usages) == 0 && a.now-p.nextUsageAt < helloInterval {
			continue
		}
		p.nextUsageAt = a.now + usageInterval + time.Duration(a.rng.Int64N(int64(usageInterval/2)))
		envelopes = append(envelopes, a.envelopeTo(p, Message{Requests: requested, Usages: usages}))
	}
	return envelopes
}

// sendHellos returns the hellos that are due to members whose numbers aren't known.
func (a *Allocator) sendHellos(members []Member) []Envelope {
	var envelopes []Envelope
	for _, m := range members {
		if len(envelopes) >= maxHellosPerTick {
			break
		}
		if _, known := a.peerNumbers[m.Name]; known || a.now < a.nextHelloAt[m.Name] {
			continue
		}
		a.nextHelloAt[m.Name] = a.now + helloInterval/2 + time.Duration(a.rng.Int64N(int64(helloInterval)))
		hello := Message{Sender: a.number, Instances: a.instances, SenderNonce: a.nonce}
		envelopes = append(envelopes, Envelope{To: m.Name, Message: hello})
	}
	return envelopes
}

// envelopeTo addresses a message to a peer.
func (a *Allocator) envelopeTo(p *peer, m Message) Envelope {
	m.Sender, m.Instances = a.number, a.instances
	m.SenderNonce, m.ReceiverNonce = a.nonce, p.nonce
	for _, acc := range a.accounts {
		if slices.ContainsFunc(acc.received, func(t transfer) bool { return t.peer == p.Name }) {
			m.HoldsTransfers = true
			break
		}
	}
	return Envelope{To: p.Name, Message: m}
}

// usagesFor returns the usages to report to a peer: up to maxUsages accounts that
// have the peer in their spread, preferring the largest wanted shares.
func (a *Allocator) usagesFor(number int) []Usage {
	var usages []Usage
	for _, key := range slices.Sorted(maps.Keys(a.accounts)) {
		acc := a.accounts[key]
		if !a.recentlyNeeded(acc) || !inSpread(number, acc.spread, acc.first, a.instances) {
			continue
		}
		usages = append(usages, Usage{
			Key:            key,
			Share:          a.currentShare(acc),
			WantedShare:    acc.need.WantedShare,
			ForwardedShare: acc.need.ForwardedShare,
			CounterLost:    acc.need.CounterLost,
		})
	}
	if len(usages) > maxUsages {
		slices.SortStableFunc(usages, func(x, y Usage) int { return cmp.Compare(y.WantedShare, x.WantedShare) })
		usages = usages[:maxUsages]
	}
	return usages
}

// Receive handles a message from an incarnation of a member, and returns the
// messages to send in reply.
func (a *Allocator) Receive(now time.Duration, from Member, m Message) []Envelope {
	a.advance(now)
	if !a.validSender(from, m) {
		a.counts.Invalid++
		return nil
	}
	p, fresh := a.identifyPeer(from, m)
	if p == nil {
		return nil
	}
	p.heardAt = a.now
	p.ended = false
	if m.ReceiverNonce == a.nonce && !m.HoldsTransfers {
		p.confirmedNone = true
	}
	a.peerNumbers[from.Name] = m.Sender
	a.recordUsages(p, m.Usages)
	for _, grant := range m.Grants[:min(len(m.Grants), MaxAccounts)] {
		a.handleGrant(from, grant)
	}
	var grants []TransferGrant
	for _, request := range m.Requests[:min(len(m.Requests), MaxAccounts)] {
		if grant, ok := a.handleRequest(from, m.Sender, request); ok {
			grants = append(grants, grant)
		}
	}
	if len(grants) == 0 && !fresh {
		return nil
	}
	return []Envelope{a.envelopeTo(p, Message{Grants: grants, Usages: a.usagesFor(m.Sender)})}
}

// validSender reports whether the message is from another instance of this fleet.
func (a *Allocator) validSender(from Member, m Message) bool {
	return m.Instances == a.instances && m.Sender >= 0 && m.Sender < a.instances &&
		m.Sender != a.number && from.Name != ""
}

// identifyPeer returns the peer that sent a message, and whether its incarnation
// is new. It returns nil if a later incarnation of the sender is known, or if the
// sender uses the number of another peer that is reachable.
func (a *Allocator) identifyPeer(from Member, m Message) (p *peer, fresh bool) {
	p = a.peers[m.Sender]
	fresh = p == nil || p.nonce != m.SenderNonce
	switch {
	case p == nil:
		p = newPeer(from)
		a.peers[m.Sender] = p
	case p.Name != from.Name && a.reachable(p):
		a.counts.Conflicts++
		return nil, false
	case p.Name == from.Name && from.Incarnation < p.Incarnation:
		return nil, false
	case p.Name != from.Name || from.Incarnation > p.Incarnation:
		delete(a.peerNumbers, p.Name)
		*p = *newPeer(from)
	}
	if fresh { // a confirmation by the peer's earlier incarnation doesn't count for the new one
		p.nonce = m.SenderNonce
		p.confirmedNone = false
	}
	return p, fresh
}

// recordUsages replaces the usages reported by a peer.
func (a *Allocator) recordUsages(p *peer, usages []Usage) {
	if len(usages) == 0 && len(p.usages) == 0 {
		return
	}
	clear(p.usages)
	for _, usage := range usages[:min(len(usages), maxUsages)] {
		if !usage.valid() {
			a.counts.Invalid++
			continue
		}
		p.usages[usage.Key] = usage
	}
}
