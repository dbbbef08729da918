// Package escrow divides each tenant's quota among the instances that receive
// its requests, and estimates how much other instances spend without reporting
// it to the shared counter. Its inputs are the needs of this instance, messages
// from other instances, membership and the time; its outputs are messages and
// this instance's Allocations. It does no I/O, reads no clock, draws random
// numbers only from the source that it is given, and doesn't depend on requests,
// stores or policy.
//
// Each instance in an account's spread has an equal share of the quota, its home
// share. It transfers what it doesn't need to instances that need it, for
// TransferTerm at a time, but always retains a minimum that it can use at once
// when requests arrive. The protocol is based on leases (Gray and Cheriton, SOSP
// 1989) and the escrow method (O'Neil, TODS 1986). The shares of all instances
// never add up to more than one, even if messages are lost, delayed, duplicated
// or reordered, and instances fail, pause or restart, because
//
//   - a transfer is identified by its receiver's incarnation and a number, and is
//     made only once however often it is requested;
//   - the receiver measures its term from the sending of the request and
//     shortens it by a fifth, while the giver measures it from its reply. The
//     transfer therefore ends first at the receiver, as long as no clock rate is
//     off by more than a tenth;
//   - a share stays transferred until the end of its term even if the receiver
//     has failed or the grant was lost;
//   - a new incarnation doesn't know which transfers an earlier one has made. It
//     holds only the minimum that is never transferred until all those
//     transfers have ended, or until all other instances have confirmed that
//     they hold none. After confirming, they accept none from an earlier
//     incarnation.
//
// Clocks of different instances are never compared. After a pause, a process no
// longer counts a received share whose term has ended by its clock.
package escrow

import "time"

// MaxAccounts is the maximum number of accounts for which one instance transfers
// shares; other accounts stay equally divided. It limits the cost of the usage
// messages, for each of which all keys are sorted.
const MaxAccounts = 256

// TransferTerm is how long a share stays transferred, by the giver's clock.
const TransferTerm = time.Second

const (
	// receiverTermFraction is the fraction of TransferTerm for which a receiver
	// may use a share.
	receiverTermFraction = 0.8
	// minRetainedFraction is the fraction of its home share that an instance never
	// transfers.
	minRetainedFraction = 0.25
	// headroomFactor scales the wanted share to the share that is retained or
	// requested.
	headroomFactor = 1.2
	// minTransferShare is the smallest share that is transferred.
	minTransferShare = 0.02
	// minUsageAllowance is how much a peer is assumed to use above the wanted
	// share that it last reported.
	minUsageAllowance = 0.02
	// roundingTolerance is the rounding error allowed when shares are compared.
	roundingTolerance = 1e-9
	// maxTransfers limits the transfers of one account, in each direction.
	maxTransfers = 16
	// maxKeyBytes limits the length of an account's key.
	maxKeyBytes = 128
	// maxSilence is how long a peer counts as reachable after its last message,
	// and a need as current after it was recorded. A peer that is silent for
	// longer may be spending without reporting to the counter.
	maxSilence = time.Second
	// retention is how long an account without a need is retained, and how long
	// a silent peer's possible spending is accounted for.
	retention = time.Minute
)

// Member is another instance of the fleet.
type Member struct {
	Name        string
	Incarnation uint64
}

// Need is this instance's need of one account. Shares are fractions of the
// account's complete quota.
type Need struct {
	Key string
	// Spread is the number of instances that receive the account's requests,
	// First the number of the first of them.
	Spread, First int
	// WantedShare is the share that would suffice to admit all requests of this
	// instance.
	WantedShare float64
	// ForwardedShare is the share of the rate that this instance forwards.
	ForwardedShare float64
	// OthersShare is the share of the rate that all other instances use
	// according to the counter's totals.
	OthersShare float64
	// MaxInFlight is the limit of requests in flight, 0 for no limit. A share of
	// less than one request is useless.
	MaxInFlight int
	// CounterLost is set if the shared counter doesn't answer.
	CounterLost bool
}

// Allocation is this instance's part of an account.
type Allocation struct {
	// Share is the fraction of the quota that this instance may spend.
	Share float64
	// Unreported is the fraction that other instances may spend without
	// reporting it to the counter.
	Unreported float64
}

// Counts counts the transfers and the rejected messages of an Allocator.
type Counts struct {
	Transferred int `json:"Lent"`      // transfers made
	Received    int `json:"Borrowed"`  // transfers received
	Denied      int `json:"Denied"`    // requests for a transfer that were not granted
	Invalid     int `json:"Strange"`   // invalid messages and invalid entries of messages
	Conflicts   int `json:"Conflicts"` // messages from a member that uses another peer's number
	Full        int `json:"Full"`      // times that an account exceeded MaxAccounts and stayed equally divided
}

// inSpread reports whether an instance's number is within an account's spread.
func inSpread(number, spread, first, instances int) bool {
	return (number-first%instances+instances)%instances < min(spread, instances)
}

// minRetainedShare returns the part of its home share that an instance never
// transfers: a quarter, or one request of the in-flight limit if that is more.
func minRetainedShare(homeShare float64, maxInFlight int) float64 {
	share := minRetainedFraction * homeShare
	if maxInFlight > 0 {
		share = max(share, 1/float64(maxInFlight))
	}
	return min(share, homeShare)
}

// maxRatio is the largest valid ratio in a message.
const maxRatio = 1e6

// validRatio reports whether a ratio in a message is valid; NaN is not.
func validRatio(x float64) bool { return x >= 0 && x <= maxRatio }
