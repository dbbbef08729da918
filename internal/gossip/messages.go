package gossip

// Delta carries the facts of one owner in the sender's store whose sequence is in
// (From, To].
type Delta struct {
	Owner       string      `cbor:"1,keyasint"`
	Incarnation uint64      `cbor:"2,keyasint"` // of the owner
	From        uint64      `cbor:"3,keyasint,omitempty"`
	To          uint64      `cbor:"4,keyasint,omitempty"`
	Facts       []DeltaFact `cbor:"5,keyasint,omitempty"` // by ascending sequence
}

// DeltaFact is one fact of a delta.
type DeltaFact struct {
	Kind    string `cbor:"1,keyasint"`
	Subject string `cbor:"2,keyasint"`
	Seq     uint64 `cbor:"3,keyasint"`
	AgeUS   int64  `cbor:"4,keyasint,omitempty"` // age at the time of the response, in microseconds
	Data    []byte `cbor:"5,keyasint,omitempty"`
}

// Watermark states that all facts of an owner's incarnation up to the sequence Seq
// are known.
type Watermark struct {
	Owner       string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Seq         uint64 `cbor:"3,keyasint,omitempty"`
}

// Digest requests the facts that its sender lacks. It holds the watermarks of the
// owners whose hash is in [Lo, Hi). An owner in that range without a watermark is
// unknown to the sender.
type Digest struct {
	Lo         uint64      `cbor:"1,keyasint,omitempty"`
	Hi         uint64      `cbor:"2,keyasint"`
	Watermarks []Watermark `cbor:"3,keyasint,omitempty"`
	NamedOnly  bool        `cbor:"4,keyasint,omitempty"` // requests only owners that have a watermark here
}

// byOwner returns the watermarks of the digest by owner name.
func (d Digest) byOwner() map[string]Watermark {
	watermarks := map[string]Watermark{}
	for _, w := range d.Watermarks {
		watermarks[w.Owner] = w
	}
	return watermarks
}

// requests reports whether the digest requests facts of an owner. named says
// whether the digest has a watermark of that owner.
func (d Digest) requests(owner *ownerRecord, named bool) bool {
	return (named || !d.NamedOnly) && owner.hash >= d.Lo && owner.hash < d.Hi
}
