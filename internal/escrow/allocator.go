package escrow

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Allocator divides the accounts for one instance. It starts no goroutine and
// takes no lock: one goroutine at a time may use it.
type Allocator struct {
	// number is this instance's number among instances.
	number    int
	instances int
	rng       *rand.Rand
	// now is the latest time that a caller has passed, startedAt that of New.
	now       time.Duration
	startedAt time.Duration
	// nonce identifies this incarnation to its peers.
	nonce    uint64
	accounts map[string]*account
	peers    map[int]*peer // by number
	// peerNumbers are the numbers of the peers, by name.
	peerNumbers map[string]int
	// nextHelloAt is when a member whose number isn't known is sent a hello
	// again, by name.
	nextHelloAt map[string]time.Duration
	// lastTransfer is the number of the last transfer that was requested. The
	// first is drawn, so no grant to an earlier incarnation fits.
	lastTransfer uint64
	counts       Counts
}

// account is what this instance knows of one account.
type account struct {
	key         string
	spread      int // instances that its requests come through
	first       int // number of the first of them
	maxInFlight int // 0: no limit
	// need is the latest need here, of neededAt.
	need     Need
	neededAt time.Duration
	// transferredOut are the transfers that this instance has made, received
	// those that it has received or requested.
	transferredOut []transfer
	received       []transfer
	// nextRequestAt is when further transfers may be requested.
	nextRequestAt time.Duration
}

// New returns the Allocator of an incarnation that starts now. It knows nothing
// of the transfers that an earlier one has made. number is the instance's own
// among instances.
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

// Counts returns what has happened so far.
func (a *Allocator) Counts() Counts { return a.counts }

// Tick takes in what is needed here and who is a member, and returns what is to
// be sent. It must be called about every 50 ms. If there are more needs than
// MaxAccounts, the largest must come first.
func (a *Allocator) Tick(now time.Duration, needs []Need, members []Member) []Envelope {
	a.advance(now)
	a.forgetAbsentMembers(members)
	for _, need := range needs {
		a.recordNeed(need)
	}
	requests := a.collectRequests()
	envelopes := a.reportToPeers(requests)
	return append(envelopes, a.greetMembers(members)...)
}

// DefaultShare returns the part of its home share that this instance holds of
// an account that isn't known yet.
func (a *Allocator) DefaultShare(now time.Duration) float64 {
	a.advance(now)
	if !a.earlierTransfersEnded() {
		return minRetainedFraction
	}
	return 1
}

// Allocations returns what this instance holds now, by the accounts' keys.
func (a *Allocator) Allocations(now time.Duration) map[string]Allocation {
	a.advance(now)
	allocations := make(map[string]Allocation, len(a.accounts))
	for key, acc := range a.accounts {
		allocations[key] = Allocation{Share: a.currentShare(acc), Unreported: a.unreportedShare(acc)}
	}
	return allocations
}

// advance moves the allocator's time forward, never back.
func (a *Allocator) advance(now time.Duration) { a.now = max(a.now, now) }

// openAccount returns the account of a key, which it adds if there is capacity;
// nil if there is none, or the arguments are those of no account.
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

// recordNeed takes in a need. An account's spread changes only while no share
// of it is transferred.
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

// collectRequests expires transfers and accounts, and returns the transfers
// that this instance requests, by the number of the peer.
func (a *Allocator) collectRequests() map[int][]TransferRequest {
	requests := map[int][]TransferRequest{}
	for _, key := range slices.Sorted(maps.Keys(a.accounts)) {
		acc := a.accounts[key]
		acc.expireTransfers(a.now)
		if a.now-acc.neededAt > retention && !acc.hasTransfers() {
			delete(a.accounts, key)
			continue
		}
		if a.needed(acc) {
			a.requestTransfers(acc, requests)
		}
	}
	return requests
}

// needed reports whether an account was needed here lately.
func (a *Allocator) needed(acc *account) bool { return a.now-acc.neededAt <= maxSilence }

// sameSpread reports whether the account has these instances.
func (acc *account) sameSpread(spread, first int) bool {
	return acc.spread == spread && acc.first == first
}

// hasTransfers reports whether a share is transferred, or requested.
func (acc *account) hasTransfers() bool {
	return len(acc.transferredOut)+len(acc.received) > 0
}

// homeShare returns this instance's own share of an account.
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

// retainedShare returns what is left of the home share.
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

// currentShare returns what this instance may spend of an account now.
func (a *Allocator) currentShare(acc *account) float64 {
	share := a.retainedShare(acc)
	for _, t := range acc.received {
		if t.granted && t.expiresAt > a.now {
			share += t.share
		}
	}
	return min(1, share)
}

// unreportedShare returns what peers spend of an account without the counter's
// knowledge. A peer that reports that the counter is lost to it spends what it
// holds and wants. A silent peer may do so too, less what the counter's totals
// show that no reporting peer accounts for.
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
