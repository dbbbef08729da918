package peers

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"hitchspring/internal/gossip"
	"hitchspring/internal/swim"
)

// Versions of the datagram format. Each datagram carries its own version and the
// lowest version that can read it. Adding fields does not raise the latter.
const (
	Version          = 1
	minReaderVersion = 1
)

const (
	maxDatagramBytes = 16 << 10 // larger ones are rejected

	// MaxMessage is the largest size of one message between instances, in bytes.
	MaxMessage = 12 << 10
)

// Reasons for which a datagram is rejected.
var (
	// ErrKey is returned if no key opens a datagram: it was sealed with another
	// key, damaged, or not sent by a peer at all.
	ErrKey = errors.New("no configured key decrypts the datagram")

	errTooLarge     = fmt.Errorf("datagram is larger than %d bytes", maxDatagramBytes)
	errNewerVersion = errors.New("datagram requires a later version to be read")
	errNoSender     = errors.New("datagram names no sender")
)

// Packet is a sealed datagram with the advertised address of its receiver.
type Packet struct {
	Addr string
	Data []byte
}

// payload is the content of a datagram. Unknown fields are ignored.
type payload struct {
	Version    int `cbor:"1,keyasint"`
	MinVersion int `cbor:"2,keyasint"` // lowest version that can read it
	// Swim is a message of the membership protocol. It names the sender.
	Swim     *swim.Message `cbor:"3,keyasint,omitempty"`
	Request  *factRequest  `cbor:"4,keyasint,omitempty"`
	Response *factResponse `cbor:"5,keyasint,omitempty"`
	// Announcement lists the owners of whom the sender has new facts, so that the
	// receiver can request them.
	Announcement []gossip.Watermark `cbor:"6,keyasint,omitempty"`
	// Message is data from another component of the sender, opaque to this package.
	Message []byte `cbor:"7,keyasint,omitempty"`
	// Clock is the sender's monotonic clock, in microseconds.
	Clock int64 `cbor:"8,keyasint,omitempty"`
}

// factRequest requests facts that the sender does not have.
type factRequest struct {
	Nonce  uint64        `cbor:"1,keyasint"`
	Digest gossip.Digest `cbor:"2,keyasint"`
}

// factResponse answers the request with the same nonce.
type factResponse struct {
	Nonce  uint64         `cbor:"1,keyasint"`
	Deltas []gossip.Delta `cbor:"2,keyasint,omitempty"`
	More   bool           `cbor:"3,keyasint,omitempty"` // the response does not hold all requested facts
}

// Message is opaque data received from an incarnation of another instance.
type Message struct {
	From        string
	Incarnation uint64
	Data        []byte
}

// send seals a payload and adds the datagram to the outbox.
func (e *Engine) send(addr string, p *payload) {
	p.Version = Version
	p.MinVersion = minReaderVersion
	p.Clock = e.now.Microseconds()
	plain, err := cbor.Marshal(p)
	if err != nil { // unreachable: all fields are of types that CBOR can encode
		panic(err)
	}
	data := e.sealer.Seal(plain)
	e.counts.Out++
	e.counts.BytesOut += len(data)
	e.outbox = append(e.outbox, Packet{addr, data})
}

// open decrypts and decodes a datagram, and counts it if it is rejected.
func (e *Engine) open(data []byte) (*payload, error) {
	if len(data) > maxDatagramBytes {
		e.counts.Malformed++
		return nil, errTooLarge
	}
	plain, err := e.sealer.Open(data)
	if err != nil {
		e.counts.WrongKey++
		return nil, err
	}
	var p payload
	if err := cbor.Unmarshal(plain, &p); err != nil {
		e.counts.Malformed++
		return nil, err
	}
	switch {
	case p.MinVersion > Version:
		e.counts.Newer++
		return nil, errNewerVersion
	case p.Swim == nil:
		e.counts.Malformed++
		return nil, errNoSender
	}
	return &p, nil
}
