package escrow

import (
	"slices"
	"time"
)

const (
	renewInterval   = 250 * time.Millisecond // between two requests for the same transfer
	requestInterval = 200 * time.Millisecond // between two rounds of requests for new transfers, plus up to 100% jitter
	requestTimeout  = 350 * time.Millisecond // after which a transfer that wasn't granted is dropped
)

// transfer is a share that one instance has transferred to another, or that was
// requested.
type transfer struct {
	// id is the number that the receiving incarnation gave the transfer.
	id uint64
	// peer is the name of the other instance. incarnation is the receiver's; it is
	// set only at the giver.
	peer        string
	incarnation uint64
	share       float64
	// expiresAt is the end of the transfer, by this instance's clock.
	expiresAt time.Duration

	// The following are set only at the receiver. sequence counts the requests;
	// requestedAt is the time of the latest.
	firstRequestedAt time.Duration
	requestedAt      time.Duration
	sequence         uint64
	granted          bool
}

// expired reports whether a granted transfer has ended.
func (t *transfer) expired(now time.Duration) bool { return t.expiresAt <= now }

// expireTransfers removes the transfers that have ended or were not granted in time.
func (acc *account) expireTransfers(now time.Duration) {
	acc.transferredOut = slices.DeleteFunc(acc.transferredOut, func(t transfer) bool { return t.expired(now) })
	acc.received = slices.DeleteFunc(acc.received, func(t transfer) bool {
		if t.granted {
			return t.expired(now)
		}
		return now-t.firstRequestedAt > requestTimeout
	})
}

// requestTransfers adds the requests that this instance makes for an account to
// requests, by peer number: renewals of the transfers that it uses, and new
// transfers for the share that it lacks.
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
				a.sendTransferRequest(acc, t, requests)
			}
			continue
		}
		if due && current < wanted {
			a.sendTransferRequest(acc, t, requests)
		}
		current += t.share
	}
	lacking := wanted - current - pending
	if lacking < minTransferShare || a.now < acc.nextRequestAt || !acc.sameSpread(acc.need.Spread, acc.need.First) {
		return
	}
	acc.nextRequestAt = a.now + requestInterval + time.Duration(a.rng.Int64N(int64(requestInterval)))
	a.requestNewTransfers(acc, lacking, requests)
}

// requestNewTransfers requests equal parts of the lacking share from all peers
// that have no open request for the account.
func (a *Allocator) requestNewTransfers(acc *account, lacking float64, requests map[int][]TransferRequest) {
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
		a.sendTransferRequest(acc, &acc.received[len(acc.received)-1], requests)
	}
}

// possibleGivers returns the numbers of the reachable peers in an account's spread
// to which no request for it is open.
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

// sendTransferRequest adds a request for a transfer to requests if the peer is
// reachable.
func (a *Allocator) sendTransferRequest(acc *account, t *transfer, requests map[int][]TransferRequest) {
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

// handleGrant records the grant of a requested transfer. A grant of any but the
// latest request is ignored, because the time at which an earlier one was sent is
// no longer known.
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
	if t.granted && t.expired(a.now) { // an ended transfer can't be renewed
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

// handleRequest decides on a request for a transfer. Transfers are granted and
// renewed as long as this instance doesn't need the share. It returns false if the
// request isn't granted.
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

// reservedShare returns the part of the home share that this instance doesn't
// transfer now.
func (a *Allocator) reservedShare(acc *account, maxInFlight int) float64 {
	home := a.homeShare(acc)
	reserve := minRetainedShare(home, max(acc.maxInFlight, maxInFlight))
	if a.recentlyNeeded(acc) {
		reserve = max(reserve, min(home, headroomFactor*acc.need.WantedShare))
	}
	return reserve
}

// renew extends a transfer that has not ended, unless this instance needs the share.
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

// transferOut transfers the requested share, as far as it isn't reserved.
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
	if a.now-acc.neededAt > retention { // without a need, the account is retained as long as its transfers
		acc.neededAt = a.now - retention
	}
	a.counts.Transferred++
	return request.grant(share), true
}

// grant returns the grant of a request.
func (r *TransferRequest) grant(share float64) TransferGrant {
	return TransferGrant{Key: r.Key, Transfer: r.Transfer, Sequence: r.Sequence, Share: share}
}
