package peers

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"hitchspring/internal/gossip"
	"hitchspring/internal/swim"
)

// Versions of the datagrams. Each datagram says of which version it is, and
// which version can read it at least; new fields alone do not raise the latter.
const (
	Version          = 1
	minReaderVersion = 1
)

const (
	maxDatagramBytes = 16 << 10 // larger ones are rejected

	// MaxMessage bounds the bytes that one instance sends another in one message.
	MaxMessage = 12 << 10
)

// Errors of datagrams that are rejected.
var (
	// ErrKey says that no key opens a datagram: it was sealed with another key,
	// damaged, or not sent by a peer at all.
	ErrKey = errors.New("no key opens it")

	errTooLarge = fmt.Errorf("larger than %d bytes", maxDatagramBytes)
	errNewer    = errors.New("only a later version can read it")
	errNoSender = errors.New("it names no sender")
)

// Packet is a sealed datagram and the advertised address that it is to be sent
// to.
type Packet struct {
	Addr string
	Data []byte
}

// payload is the content of a datagram. Unknown fields are ignored.
type payload struct {
	Version    int `cbor:"1,keyasint"`
	MinVersion int `cbor:"2,keyasint"` // that can read it
	// Swim names the sender and is a message of the membership protocol.
	Swim     *swim.Message `cbor:"3,keyasint,omitempty"`
	Request  *factRequest  `cbor:"4,keyasint,omitempty"`
	Response *factResponse `cbor:"5,keyasint,omitempty"`
	// Announcement says of which owners the sender has new facts, for the
	// receiver to request them.
	Announcement []gossip.Watermark `cbor:"6,keyasint,omitempty"`
	// Message is bytes of another part of the sender, opaque to this package.
	Message []byte `cbor:"7,keyasint,omitempty"`
	// Clock is the sender's monotonic clock, in microseconds.
	Clock int64 `cbor:"8,keyasint,omitempty"`
}

// factRequest requests the facts that the sender lacks.
type factRequest struct {
	Nonce  uint64        `cbor:"1,keyasint"`
	Digest gossip.Digest `cbor:"2,keyasint"`
}

// factResponse answers the request with the same nonce.
type factResponse struct {
	Nonce  uint64         `cbor:"1,keyasint"`
	Deltas []gossip.Delta `cbor:"2,keyasint,omitempty"`
	More   bool           `cbor:"3,keyasint,omitempty"` // not all facts fitted
}

// Message is bytes that an incarnation of another instance has sent to this one.
type Message struct {
	From        string
	Incarnation uint64
	Data        []byte
}

// send seals a payload and adds the datagram to those of the present call.
func (e *Engine) send(addr string, p *payload) {
	p.Version = Version
	p.MinVersion = minReaderVersion
	p.Clock = e.now.Microseconds()
	plain, err := cbor.Marshal(p)
	if err != nil { // impossible: all fields are plain
		panic(err)
	}
	data := e.sealer.Seal(plain)
	e.counts.Out++
	e.counts.BytesOut += len(data)
	e.outbox = append(e.outbox, Packet{addr, data})
}

// open reads a datagram, and counts it if it is rejected.
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
		return nil, errNewer
	case p.Swim == nil:
		e.counts.Malformed++
		return nil, errNoSender
	}
	return &p, nil
}
