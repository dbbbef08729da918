package escrow

// Message is one message between two instances.
type Message struct {
	// Sender is the sender's number, Instances the size of its fleet.
	Sender    int               `cbor:"1,keyasint"`
	Instances int               `cbor:"2,keyasint"`
	Requests  []TransferRequest `cbor:"3,keyasint,omitempty"`
	Grants    []TransferGrant   `cbor:"4,keyasint,omitempty"`
	Usages    []Usage           `cbor:"5,keyasint,omitempty"`
	// SenderNonce is drawn by the sender's incarnation.
	SenderNonce uint64 `cbor:"6,keyasint"`
	// ReceiverNonce is the receiver's nonce as the sender last heard it; 0
	// means that it was not heard.
	ReceiverNonce uint64 `cbor:"7,keyasint,omitempty"`
	// HoldsTransfers says that the sender holds transfers of the receiver's,
	// or has requested some.
	HoldsTransfers bool `cbor:"8,keyasint,omitempty"`
}

// Envelope is a message and the member that it goes to.
type Envelope struct {
	To      string
	Message Message
}

// TransferRequest requests a transfer, or the renewal of one.
type TransferRequest struct {
	Key    string `cbor:"1,keyasint"`
	Spread int    `cbor:"2,keyasint"`
	First  int    `cbor:"3,keyasint,omitempty"`
	// Transfer is the requesting incarnation's number of the transfer.
	Transfer uint64 `cbor:"4,keyasint"`
	// Sequence counts the requests for this transfer.
	Sequence    uint64  `cbor:"5,keyasint"`
	Share       float64 `cbor:"6,keyasint"`
	MaxInFlight int     `cbor:"7,keyasint,omitempty"`
}

// valid reports whether an instance of this fleet with the sender's number can
// have meant the request.
func (r *TransferRequest) valid(sender, instances int) bool {
	return validRatio(r.Share) && r.Share > 0 && r.Share <= 1 &&
		r.Spread >= 2 && r.First >= 0 && r.MaxInFlight >= 0 &&
		inSpread(sender, r.Spread, r.First, instances)
}

// TransferGrant grants a TransferRequest, from the time that it was sent.
type TransferGrant struct {
	Key      string  `cbor:"1,keyasint"`
	Transfer uint64  `cbor:"2,keyasint"`
	Sequence uint64  `cbor:"3,keyasint"`
	Share    float64 `cbor:"4,keyasint"`
}

// Usage is what an instance holds, wants and forwards of an account.
type Usage struct {
	Key            string  `cbor:"1,keyasint"`
	Share          float64 `cbor:"2,keyasint"`
	WantedShare    float64 `cbor:"3,keyasint"`
	ForwardedShare float64 `cbor:"4,keyasint"`
	CounterLost    bool    `cbor:"5,keyasint,omitempty"`
}

// valid reports whether an instance can have meant the usage.
func (u *Usage) valid() bool {
	return validRatio(u.Share) && u.Share <= 1 &&
		validRatio(u.WantedShare) && validRatio(u.ForwardedShare) &&
		len(u.Key) <= maxKeyBytes
}
