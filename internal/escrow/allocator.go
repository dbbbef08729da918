package escrow

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Allocator manages one instance's shares of all accounts. It is not safe for
// concurrent use.
type Allocator struct {
	// number is this instance's number, from 0 to instances-1.
	number    int
	instances int
	rng       *rand.Rand
	// now is the latest time passed by a caller, startedAt the time passed to New.
	now       time.Duration
	startedAt time.Duration
	// nonce identifies this incarnation to its peers.
	nonce    uint64
	accounts map[string]*account
	peers    map[int]*peer // by number
	// peerNumbers holds the numbers of the peers, by name.
	peerNumbers map[string]int
	// nextHelloAt is when to send the next hello to a member whose number isn't
	// known, by name.
	nextHelloAt map[string]time.Duration
	// lastTransfer is the number of the last requested transfer. The initial
	// value is random, so that grants to an earlier incarnation don't match.
	lastTransfer uint64
	counts       Counts
}

// account is this instance's state of one account.
type account struct {
	key         string
	spread      int // number of instances that receive its requests
	first       int // number of the first of them
	maxInFlight int // 0: no limit
	// need is the latest need of this instance, recorded at neededAt.
	need     Need
	neededAt time.Duration
	// transferredOut holds the transfers that this instance has made, received
	// those that it has received or requested.
	transferredOut []transfer
	received       []transfer
	// nextRequestAt is when new transfers may be requested.
	nextRequestAt time.Duration
}

// New returns the Allocator of an incarnation that starts at now. It has no
// knowledge of transfers made by an earlier incarnation. number is the instance's
// own number, from 0 to instances-1.
func New(number, instances int, now time.Duration, rng *rand.Rand) *Allocator {
	return &Allocator{
		number:       number,
		instances:    max(1, instances),
		rng:          rng,
		now:          now,
		startedAt:    now,
		nonce:        rng.Uint64() | 1,
		accounts:     map[string]*account{},
		peers:        map[int]*peer{},
		peerNumbers:  map[string]int{},
		nextHelloAt:  map[string]time.Duration{},
		lastTransfer: rng.Uint64() >> 1,
	}
}

// Counts returns the current counts.
func (a *Allocator) Counts() Counts { return a.counts }

// Tick records this instance's needs and the current members, and returns the
// messages to send. It must be called about every 50 ms. If there are more than
// MaxAccounts needs, the largest must come first.
func (a *Allocator) Tick(now time.Duration, needs []Need, members []Member) []Envelope {
	a.advance(now)
	a.forgetHellosToAbsent(members)
	for _, need := range needs {
		a.recordNeed(need)
	}
	requests := a.collectRequests()
	envelopes := a.reportToPeers(requests)
	return append(envelopes, a.sendHellos(members)...)
}

// DefaultShare returns the fraction of its home share that this instance may spend
// of an account that it has no state of.
func (a *Allocator) DefaultShare(now time.Duration) float64 {
	a.advance(now)
	if !a.earlierTransfersEnded() {
		return minRetainedFraction
	}
	return 1
}

// Allocations returns this instance's current allocations, by account key.
func (a *Allocator) Allocations(now time.Duration) map[string]Allocation {
	a.advance(now)
	allocations := make(map[string]Allocation, len(a.accounts))
	for key, acc := range a.accounts {
		allocations[key] = Allocation{Share: a.currentShare(acc), Unreported: a.unreportedShare(acc)}
	}
	return allocations
}

// advance sets the allocator's time, which never goes back.
func (a *Allocator) advance(now time.Duration) { a.now = max(a.now, now) }

// openAccount returns the account of a key, which it adds if needed. It returns nil
// if there is no capacity or the arguments are invalid.
func (a *Allocator) openAccount(key string, spread, first, maxInFlight int) *account {
	if acc := a.accounts[key]; acc != nil {
		return acc
	}
	if key == "" || len(key) > maxKeyBytes || spread < 2 || first < 0 {
		return nil
	}
	if len(a.accounts) >= MaxAccounts {
		a.counts.Full++
		return nil
	}
	acc := &account{key: key, spread: spread, first: first, maxInFlight: maxInFlight}
	a.accounts[key] = acc
	return acc
}

// recordNeed records a need. An account's spread changes only while it has no
// transfers.
func (a *Allocator) recordNeed(need Need) {
	acc := a.openAccount(need.Key, need.Spread, need.First, need.MaxInFlight)
	if acc == nil {
		return
	}
	if !acc.sameSpread(need.Spread, need.First) && !acc.hasTransfers() {
		acc.spread, acc.first = need.Spread, need.First
	}
	acc.need = need
	acc.neededAt = a.now
	acc.maxInFlight = need.MaxInFlight
}

// collectRequests expires transfers and accounts, and returns this instance's
// requests for transfers, by peer number.
func (a *Allocator) collectRequests() map[int][]TransferRequest {
	requests := map[int][]TransferRequest{}
	for _, key := range slices.Sorted(maps.Keys(a.accounts)) {
		acc := a.accounts[key]
		acc.expireTransfers(a.now)
		if a.now-acc.neededAt > retention && !acc.hasTransfers() {
			delete(a.accounts, key)
			continue
		}
		if a.recentlyNeeded(acc) {
			a.requestTransfers(acc, requests)
		}
	}
	return requests
}

// recentlyNeeded reports whether this instance has had a need of an account within
// maxSilence.
func (a *Allocator) recentlyNeeded(acc *account) bool { return a.now-acc.neededAt <= maxSilence }

// sameSpread reports whether the account has this spread.
func (acc *account) sameSpread(spread, first int) bool {
	return acc.spread == spread && acc.first == first
}

// hasTransfers reports whether the account has transfers in either direction,
// including requested ones.
func (acc *account) hasTransfers() bool {
	return len(acc.transferredOut)+len(acc.received) > 0
}

// homeShare returns this instance's home share of an account, 0 if it isn't in the
// account's spread.
func (a *Allocator) homeShare(acc *account) float64 {
	if !inSpread(a.number, acc.spread, acc.first, a.instances) {
		return 0
	}
	return a.equalShare(acc)
}

// equalShare returns the home share of each instance of an account's spread.
func (a *Allocator) equalShare(acc *account) float64 {
	return 1 / float64(min(acc.spread, a.instances))
}

// retainedShare returns the part of the home share that is not transferred.
func (a *Allocator) retainedShare(acc *account) float64 {
	share := a.homeShare(acc)
	if !a.earlierTransfersEnded() { // an earlier incarnation may have transferred the rest
		return minRetainedFraction * share
	}
	for _, t := range acc.transferredOut {
		if t.expiresAt > a.now {
			share -= t.share
		}
	}
	return max(0, share)
}

// currentShare returns the share that this instance may spend now: what it retains
// and what it has received.
func (a *Allocator) currentShare(acc *account) float64 {
	share := a.retainedShare(acc)
	for _, t := range acc.received {
		if t.granted && t.expiresAt > a.now {
			share += t.share
		}
	}
	return min(1, share)
}

// unreportedShare estimates how much peers spend of an account without reporting
// it to the counter. A peer that has reported the loss of the counter spends up to
// the smaller of its share and its wanted share. A silent peer may do the same;
// usage in the counter's totals that no reporting peer explains is subtracted,
// since it must come from the silent ones.
func (a *Allocator) unreportedShare(acc *account) float64 {
	var reported, silent, accounted float64
	for number, p := range a.peers {
		if !inSpread(number, acc.spread, acc.first, a.instances) {
			continue
		}
		usage, hasUsage := p.usages[acc.key]
		silence := a.now - p.heardAt
		switch {
		case p.ended, silence > retention:
		case silence <= maxSilence && usage.CounterLost:
			reported += min(usage.Share, usage.WantedShare+minUsageAllowance)
		case silence <= maxSilence:
			accounted += usage.ForwardedShare
		case hasUsage:
			silent += min(max(a.equalShare(acc), usage.Share), usage.WantedShare+minUsageAllowance)
		default:
			silent += minUsageAllowance
		}
	}
	if silent > 0 {
		silent = max(0, silent-max(0, acc.need.OthersShare-accounted))
	}
	return min(1, reported+silent)
}
