// Package escrow divides each tenant's quota among the instances that its
// requests come through, and estimates what other instances spend of which the
// shared counter hears nothing. It takes in what is needed here, messages of
// other instances, membership and the time; it returns messages and this
// instance's Allocations. It does no I/O, reads no clock, draws random numbers
// only from its argument, and knows nothing of requests, stores or policy.
//
// Each instance of an account's spread has an equal share of it, its home
// share. What it doesn't need it transfers to an instance that does, for
// TransferTerm at a time, but never all of it: an instance that wakes up has a
// minimum. After leases (Gray and Cheriton, SOSP 1989) and the escrow method
// (O'Neil, TODS 1986), the shares of all instances together are one at the
// most, whatever is lost, late, duplicated or out of order, and whoever fails,
// pauses or restarts, because
//
//   - a transfer is identified by its receiver's incarnation and number, and is
//     made once for these however often it is requested;
//   - the receiver counts its end from when it sent the request, less a fifth,
//     and the giver from when it answered, so the receiver's end comes first as
//     long as no clock runs wrong by more than a tenth;
//   - a share stays transferred until that end even if the receiver has failed
//     or the grant was lost;
//   - a new incarnation knows nothing of the transfers that an earlier one has
//     made. It holds only what is never transferred until all those have ended,
//     or all other instances have confirmed to it that they hold none; they
//     accept none of an earlier incarnation from then on.
//
// No two clocks are compared. A process that was paused holds nothing that it
// had received once it reads its clock.
package escrow

import "time"

// MaxAccounts bounds the accounts of which one instance transfers shares; the
// others stay equally divided. It limits the cost of the usage messages, for
// each of which all keys are sorted.
const MaxAccounts = 256

// TransferTerm is how long a transferred share stays transferred, by its giver's clock.
const TransferTerm = time.Second

const (
	// receiverTermFraction is the part of TransferTerm for which a receiver
	// uses a share.
	receiverTermFraction = 0.8
	// minRetainedFraction is the part of its home share that an instance never
	// transfers.
	minRetainedFraction = 0.25
	// headroomFactor is how much more than the wanted share is retained or requested.
	headroomFactor = 1.2
	// minTransferShare is the smallest share that is transferred.
	minTransferShare = 0.02
	// minUsageAllowance is what a peer may use above the wanted share that it
	// has reported.
	minUsageAllowance = 0.02
	// roundingTolerance allows for rounding where shares are compared.
	roundingTolerance = 1e-9
	// maxTransfers bounds the transfers of one account, in each direction.
	maxTransfers = 16
	// maxKeyBytes bounds an account's key.
	maxKeyBytes = 128
	// maxSilence is how long a peer or a need may go unheard before it no
	// longer counts as present. Such a peer may be spending without the counter.
	maxSilence = time.Second
	// retention is how long an account without a need is retained, and how long
	// what a silent peer may spend is left to it.
	retention = time.Minute
)

// Member is another instance that is a member of the fleet.
type Member struct {
	Name        string
	Incarnation uint64
}

// Need is what this instance needs of one account. Shares are fractions of the
// account's whole quota.
type Need struct {
	Key string
	// Spread is the number of instances that the account's requests come
	// through, First the number of the first of them.
	Spread, First int
	// WantedShare is the share with which all requests here would be admitted.
	WantedShare float64
	// ForwardedShare is the share of the rate that is forwarded here.
	ForwardedShare float64
	// OthersShare is the share of the rate that the counter's totals show of
	// all other instances.
	OthersShare float64
	// MaxInFlight is the limit of requests in flight; a share smaller than one
	// request is useless. 0 means no limit.
	MaxInFlight int
	// CounterLost says that the shared counter doesn't answer.
	CounterLost bool
}

// Allocation is what this instance holds of an account.
type Allocation struct {
	// Share is the part of the quota that this instance may spend.
	Share float64
	// Unreported is the part that other instances may spend without the
	// counter's knowledge.
	Unreported float64
}

// Counts counts what an Allocator has done.
type Counts struct {
	Transferred int `json:"Lent"`      // transfers made
	Received    int `json:"Borrowed"`  // transfers received
	Denied      int `json:"Denied"`    // requests for a transfer that were not granted
	Invalid     int `json:"Strange"`   // messages and parts of them that no instance of this fleet can mean
	Conflicts   int `json:"Conflicts"` // messages of a member with the number of another
	Full        int `json:"Full"`      // times that an account found no capacity and stayed equally divided
}

// inSpread reports whether an instance's number is within an account's spread.
func inSpread(number, spread, first, instances int) bool {
	return (number-first%instances+instances)%instances < min(spread, instances)
}

// minRetainedShare returns what an instance never transfers of its home share:
// a quarter, and at least one request of the limit in flight.
func minRetainedShare(homeShare float64, maxInFlight int) float64 {
	share := minRetainedFraction * homeShare
	if maxInFlight > 0 {
		share = max(share, 1/float64(maxInFlight))
	}
	return min(share, homeShare)
}

// maxRatio bounds the ratios in messages.
const maxRatio = 1e6

// validRatio reports whether a ratio in a message is usable; NaN isn't.
func validRatio(x float64) bool { return x >= 0 && x <= maxRatio }
