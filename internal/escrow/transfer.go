package escrow

import (
	"slices"
	"time"
)

const (
	renewInterval   = 250 * time.Millisecond // between two requests for one transfer
	requestInterval = 200 * time.Millisecond // between two rounds of requests for further ones, and up to twice that
	requestTimeout  = 350 * time.Millisecond // after which a transfer that isn't granted is given up
)

// transfer is a share that one instance has transferred to another, or that was
// requested.
type transfer struct {
	// id is the receiving incarnation's number of the transfer.
	id uint64
	// peer is the other instance, incarnation the receiver's.
	peer        string
	incarnation uint64
	share       float64
	// expiresAt is its end, by this instance's clock.
	expiresAt time.Duration

	// The following are set at the receiver. sequence counts the requests, of
	// which requestedAt is the latest.
	firstRequestedAt time.Duration
	requestedAt      time.Duration
	sequence         uint64
	granted          bool
}

// expired reports whether a granted transfer has ended.
func (t *transfer) expired(now time.Duration) bool { return t.expiresAt <= now }

// expireTransfers forgets the transfers that have ended or were not granted.
func (acc *account) expireTransfers(now time.Duration) {
	acc.transferredOut = slices.DeleteFunc(acc.transferredOut, func(t transfer) bool { return t.expired(now) })
	acc.received = slices.DeleteFunc(acc.received, func(t transfer) bool {
		if t.granted {
			return t.expired(now)
		}
		return now-t.firstRequestedAt > requestTimeout
	})
}

// requestTransfers adds the requests for what an account lacks here, and for
// the renewal of what it uses, to those by the peers' numbers.
func (a *Allocator) requestTransfers(acc *account, requests map[int][]TransferRequest) {
	wanted := min(1, headroomFactor*acc.need.WantedShare)
	current := a.retainedShare(acc)
	pending := 0.0
	for i := range acc.received {
		t := &acc.received[i]
		due := a.now-t.requestedAt >= renewInterval
		if !t.granted {
			pending += t.share
			if due {
				a.requestTransfer(acc, t, requests)
			}
			continue
		}
		if due && current < wanted {
			a.requestTransfer(acc, t, requests)
		}
		current += t.share
	}
	lacking := wanted - current - pending
	if lacking < minTransferShare || a.now < acc.nextRequestAt || !acc.sameSpread(acc.need.Spread, acc.need.First) {
		return
	}
	acc.nextRequestAt = a.now + requestInterval + time.Duration(a.rng.Int64N(int64(requestInterval)))
	a.requestFurther(acc, lacking, requests)
}

// requestFurther requests equal parts of what an account lacks of all peers
// that have none of it to answer already.
func (a *Allocator) requestFurther(acc *account, lacking float64, requests map[int][]TransferRequest) {
	givers := a.possibleGivers(acc)
	for _, number := range givers {
		if len(acc.received) >= maxTransfers {
			return
		}
		a.lastTransfer++
		acc.received = append(acc.received, transfer{
			id:               a.lastTransfer,
			peer:             a.peers[number].Name,
			share:            max(minTransferShare, lacking/float64(len(givers))),
			firstRequestedAt: a.now,
		})
		a.requestTransfer(acc, &acc.received[len(acc.received)-1], requests)
	}
}

// possibleGivers returns the numbers of the peers that may transfer a share of
// an account.
func (a *Allocator) possibleGivers(acc *account) []int {
	var numbers []int
	for number, p := range a.peers {
		if !inSpread(number, acc.spread, acc.first, a.instances) || !a.reachable(p) {
			continue
		}
		requested := slices.ContainsFunc(acc.received, func(t transfer) bool { return !t.granted && t.peer == p.Name })
		if !requested {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers
}

// requestTransfer adds a request for a transfer, if the peer can be reached.
func (a *Allocator) requestTransfer(acc *account, t *transfer, requests map[int][]TransferRequest) {
	number, known := a.peerNumbers[t.peer]
	if !known || !a.reachable(a.peers[number]) {
		return
	}
	t.sequence++
	t.requestedAt = a.now
	requests[number] = append(requests[number], TransferRequest{
		Key:         acc.key,
		Spread:      acc.spread,
		First:       acc.first,
		Transfer:    t.id,
		Sequence:    t.sequence,
		Share:       t.share,
		MaxInFlight: acc.maxInFlight,
	})
}

// handleGrant takes in a transfer that was requested. A grant of an earlier
// request doesn't count, since it isn't known any more when that was sent.
func (a *Allocator) handleGrant(from Member, grant TransferGrant) {
	acc := a.accounts[grant.Key]
	if acc == nil {
		return
	}
	i := slices.IndexFunc(acc.received, func(t transfer) bool { return t.id == grant.Transfer && t.peer == from.Name })
	if i < 0 {
		return
	}
	t := &acc.received[i]
	if t.granted && t.expired(a.now) { // what is granted now is another transfer
		return
	}
	validShare := grant.Share > 0 && grant.Share <= t.share+roundingTolerance
	if grant.Sequence != t.sequence || !validShare {
		return
	}
	if !t.granted {
		t.granted = true
		t.share = grant.Share
		a.counts.Received++
	}
	t.expiresAt = max(t.expiresAt, t.requestedAt+time.Duration(receiverTermFraction*float64(TransferTerm)))
}

// handleRequest decides on a request for a transfer: a share is transferred,
// and renewed, for as long as it isn't needed here. It reports false if it
// doesn't grant it.
func (a *Allocator) handleRequest(from Member, number int, request TransferRequest) (TransferGrant, bool) {
	if !request.valid(number, a.instances) {
		a.counts.Invalid++
		return TransferGrant{}, false
	}
	acc := a.openAccount(request.Key, request.Spread, request.First, request.MaxInFlight)
	if acc == nil || !acc.sameSpread(request.Spread, request.First) || !a.earlierTransfersEnded() {
		return TransferGrant{}, false
	}
	reserve := a.reservedShare(acc, request.MaxInFlight)
	i := slices.IndexFunc(acc.transferredOut, func(t transfer) bool {
		return t.id == request.Transfer && t.peer == from.Name && t.incarnation == from.Incarnation
	})
	if i >= 0 {
		return a.renew(acc, &acc.transferredOut[i], request, reserve)
	}
	return a.transferOut(acc, from, request, reserve)
}

// reservedShare returns what this instance doesn't transfer of an account.
func (a *Allocator) reservedShare(acc *account, maxInFlight int) float64 {
	home := a.homeShare(acc)
	reserve := minRetainedShare(home, max(acc.maxInFlight, maxInFlight))
	if a.needed(acc) {
		reserve = max(reserve, min(home, headroomFactor*acc.need.WantedShare))
	}
	return reserve
}

// renew extends a transfer that has not ended, unless its share is needed here.
func (a *Allocator) renew(
	acc *account, t *transfer, request TransferRequest, reserve float64,
) (TransferGrant, bool) {
	if t.expired(a.now) {
		return TransferGrant{}, false
	}
	if a.retainedShare(acc) < reserve-roundingTolerance {
		a.counts.Denied++
		return TransferGrant{}, false
	}
	t.expiresAt = a.now + TransferTerm
	return request.grant(t.share), true
}

// transferOut makes a transfer of what isn't needed here.
func (a *Allocator) transferOut(
	acc *account, to Member, request TransferRequest, reserve float64,
) (TransferGrant, bool) {
	share := min(request.Share, a.retainedShare(acc)-reserve)
	if share < minTransferShare || len(acc.transferredOut) >= maxTransfers {
		a.counts.Denied++
		return TransferGrant{}, false
	}
	acc.transferredOut = append(acc.transferredOut, transfer{
		id:          request.Transfer,
		peer:        to.Name,
		incarnation: to.Incarnation,
		share:       share,
		expiresAt:   a.now + TransferTerm,
	})
	if a.now-acc.neededAt > retention { // without a need here it is retained as long as its transfers
		acc.neededAt = a.now - retention
	}
	a.counts.Transferred++
	return request.grant(share), true
}

// grant returns the grant of a request.
func (r *TransferRequest) grant(share float64) TransferGrant {
	return TransferGrant{Key: r.Key, Transfer: r.Transfer, Sequence: r.Sequence, Share: share}
}
