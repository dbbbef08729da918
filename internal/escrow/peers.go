package escrow

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// usageInterval is the shortest time between two usage messages to a peer;
	// up to half as much is added at random.
	usageInterval = 200 * time.Millisecond
	// helloInterval is the same for a member whose number isn't known, and for
	// a peer to which there is nothing to report.
	helloInterval = 2 * time.Second
	// maxHellosPerTick bounds the messages to members whose number isn't known.
	maxHellosPerTick = 8
	// maxUsages bounds the accounts in one message.
	maxUsages = 24
)

// peer is another instance whose number is known.
type peer struct {
	Member
	heardAt     time.Duration
	nextUsageAt time.Duration
	usages      map[string]Usage // what it has last reported, by the accounts' keys
	// nonce identifies its incarnation.
	nonce uint64
	// confirmedNone says that it has confirmed to this incarnation that it has no
	// transfers of an earlier one.
	confirmedNone bool
	// ended says that it has surely ended, or has left.
	ended bool
}

// newPeer returns a peer of which nothing was heard.
func newPeer(member Member) *peer {
	return &peer{Member: member, usages: map[string]Usage{}}
}

// reachable reports whether a peer was heard lately.
func (a *Allocator) reachable(p *peer) bool {
	return !p.ended && a.now-p.heardAt <= maxSilence
}

// earlierTransfersEnded reports whether no instance can hold a transfer that an
// earlier incarnation of this one has made.
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

// PeerEnded reports that an incarnation of a member has surely ended, or has
// left: it spends nothing.
func (a *Allocator) PeerEnded(name string, incarnation uint64) {
	number, known := a.peerNumbers[name]
	if !known {
		return
	}
	if p := a.peers[number]; p.Incarnation <= incarnation {
		p.ended = true
	}
}

// forgetAbsentMembers forgets when members were greeted that have left. A peer
// that isn't a member any more has not ended for that reason: PeerEnded
// reports it.
func (a *Allocator) forgetAbsentMembers(members []Member) {
	present := map[string]bool{}
	for _, m := range members {
		present[m.Name] = true
	}
	maps.DeleteFunc(a.nextHelloAt, func(name string, _ time.Duration) bool { return !present[name] })
}

// reportToPeers returns the messages with the requests and usages that are due.
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

// greetMembers returns messages to members whose numbers aren't known.
func (a *Allocator) greetMembers(members []Member) []Envelope {
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

// usagesFor returns the usages that a peer is sent: of the accounts in whose
// spread it is, those with the largest wanted shares.
func (a *Allocator) usagesFor(number int) []Usage {
	var usages []Usage
	for _, key := range slices.Sorted(maps.Keys(a.accounts)) {
		acc := a.accounts[key]
		if !a.needed(acc) || !inSpread(number, acc.spread, acc.first, a.instances) {
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

// Receive takes in a message that an incarnation of a member has sent, and
// returns what is to be answered.
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

// validSender reports whether another instance of this fleet can have sent the
// message.
func (a *Allocator) validSender(from Member, m Message) bool {
	return m.Instances == a.instances && m.Sender >= 0 && m.Sender < a.instances &&
		m.Sender != a.number && from.Name != ""
}

// identifyPeer returns the peer that has sent a message, and whether its
// incarnation is new. It returns nil for an ended incarnation, and for a
// member with the number of a peer that is heard: that one is believed.
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
	if fresh { // the transfers of its earlier incarnation are no more, and none is accepted
		p.nonce = m.SenderNonce
		p.confirmedNone = false
	}
	return p, fresh
}

// recordUsages replaces what a peer has reported.
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
