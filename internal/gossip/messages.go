package gossip

// Delta carries facts of one owner: all those that the sender stores whose
// sequence is above From and at most To.
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
	AgeUS   int64  `cbor:"4,keyasint,omitempty"` // when the response was made, in microseconds
	Data    []byte `cbor:"5,keyasint,omitempty"`
}

// Watermark says that all facts of an owner's incarnation up to a sequence are
// known.
type Watermark struct {
	Owner       string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Seq         uint64 `cbor:"3,keyasint,omitempty"`
}

// Digest requests what its sender lacks. It holds the watermarks of the owners
// whose hash is in [Lo, Hi); an owner of that range without a watermark is
// unknown to the sender.
type Digest struct {
	Lo         uint64      `cbor:"1,keyasint,omitempty"`
	Hi         uint64      `cbor:"2,keyasint"`
	Watermarks []Watermark `cbor:"3,keyasint,omitempty"`
	NamedOnly  bool        `cbor:"4,keyasint,omitempty"` // requests only owners that have a watermark here
}

// byOwner returns the watermarks of the digest by the names of their owners.
func (d Digest) byOwner() map[string]Watermark {
	watermarks := map[string]Watermark{}
	for _, w := range d.Watermarks {
		watermarks[w.Owner] = w
	}
	return watermarks
}

// requests reports whether the digest is about an owner. Named says whether the
// owner has a watermark in it.
func (d Digest) requests(owner *ownerRecord, named bool) bool {
	return (named || !d.NamedOnly) && owner.hash >= d.Lo && owner.hash < d.Hi
}
