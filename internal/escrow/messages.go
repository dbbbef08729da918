package escrow

// Message is one message between two instances.
type Message struct {
	// Sender is the sender's number, Instances the size of its fleet.
	Sender    int               `cbor:"1,keyasint"`
	Instances int               `cbor:"2,keyasint"`
	Requests  []TransferRequest `cbor:"3,keyasint,omitempty"`
	Grants    []TransferGrant   `cbor:"4,keyasint,omitempty"`
	Usages    []Usage           `cbor:"5,keyasint,omitempty"`
	// SenderNonce is a random number that identifies the sender's incarnation.
	SenderNonce uint64 `cbor:"6,keyasint"`
	// ReceiverNonce is the latest nonce that the sender has received from the
	// receiver, 0 if it has received none.
	ReceiverNonce uint64 `cbor:"7,keyasint,omitempty"`
	// HoldsTransfers is set if the sender holds transfers from the receiver, or
	// has requested some.
	HoldsTransfers bool `cbor:"8,keyasint,omitempty"`
}

// Envelope is a message with its receiver.
type Envelope struct {
	To      string
	Message Message
}

// TransferRequest requests a transfer, or the renewal of one.
type TransferRequest struct {
	Key    string `cbor:"1,keyasint"`
	Spread int    `cbor:"2,keyasint"`
	First  int    `cbor:"3,keyasint,omitempty"`
	// Transfer is the number that the requesting incarnation gave the transfer.
	Transfer uint64 `cbor:"4,keyasint"`
	// Sequence counts the requests for this transfer.
	Sequence    uint64  `cbor:"5,keyasint"`
	Share       float64 `cbor:"6,keyasint"`
	MaxInFlight int     `cbor:"7,keyasint,omitempty"`
}

// valid reports whether the request is valid in this fleet, and its sender is in
// the account's spread.
func (r *TransferRequest) valid(sender, instances int) bool {
	return validRatio(r.Share) && r.Share > 0 && r.Share <= 1 &&
		r.Spread >= 2 && r.First >= 0 && r.MaxInFlight >= 0 &&
		inSpread(sender, r.Spread, r.First, instances)
}

// TransferGrant grants a TransferRequest. The receiver measures the transfer's term
// from when it sent the request.
type TransferGrant struct {
	Key      string  `cbor:"1,keyasint"`
	Transfer uint64  `cbor:"2,keyasint"`
	Sequence uint64  `cbor:"3,keyasint"`
	Share    float64 `cbor:"4,keyasint"`
}

// Usage reports how much of an account an instance holds, wants and forwards.
type Usage struct {
	Key            string  `cbor:"1,keyasint"`
	Share          float64 `cbor:"2,keyasint"`
	WantedShare    float64 `cbor:"3,keyasint"`
	ForwardedShare float64 `cbor:"4,keyasint"`
	CounterLost    bool    `cbor:"5,keyasint,omitempty"`
}

// valid reports whether all fields are within their limits.
func (u *Usage) valid() bool {
	return validRatio(u.Share) && u.Share <= 1 &&
		validRatio(u.WantedShare) && validRatio(u.ForwardedShare) &&
		len(u.Key) <= maxKeyBytes
}
