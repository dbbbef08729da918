package core

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"hitchspring/internal/escrow"
	"hitchspring/internal/takeover"
)

// Transport carries messages between instances. None of its methods may wait for I/O.
type Transport interface {
	// Send sends a message to a member, without a guarantee of delivery.
	Send(to string, data []byte)
	// ClockReading returns the latest reading of a member's clock that this instance has received.
	ClockReading(name string) time.Duration
}

// Incarnation identifies one run of a member: after each restart the member has a higher number.
type Incarnation struct {
	Name   string
	Number uint64
}

// peerMessage is a message between instances, about pending work or quota shares. The integer keys of its fields must
// not change, since instances of different versions exchange it.
type peerMessage struct {
	takeover.Message
	Escrow *escrow.Message `cbor:"10,keyasint,omitempty"`
}

// The events from the other instances of the group.
type (
	messageReceived struct {
		from        string
		incarnation uint64
		data        []byte
	}
	membersChanged struct {
		members []takeover.Member // current members except this instance
		changes []MemberChange    // in the order in which they happened
	}
)

// MemberChange reports that one incarnation of a member is alive or has ended. A later change replaces an earlier one
// of the same incarnation.
type MemberChange struct {
	Incarnation
	Ended     bool // false: it is alive
	Confirmed bool // the end is confirmed, and not only concluded from a suspicion
}

// ReceiveMessage handles a message from an incarnation of another instance.
func (c *Core) ReceiveMessage(from string, incarnation uint64, data []byte) {
	c.post(messageReceived{from, incarnation, data})
}

// UpdateMembers sets the current members other than this instance, with the changes since the last call in the order in
// which they happened.
func (c *Core) UpdateMembers(members []takeover.Member, changes []MemberChange) {
	c.post(membersChanged{members, changes})
}

func (c *Core) handleMessage(ev messageReceived) {
	var m peerMessage
	if err := cbor.Unmarshal(ev.data, &m); err != nil {
		c.unreadableMessages++
		if c.unreadableMessages == 1 {
			c.log.Warn("unreadable message from another instance", "from", ev.from, "err", err)
		}
		return
	}
	if m.Escrow != nil && c.escrow != nil {
		c.receiveEscrow(ev.from, ev.incarnation, *m.Escrow)
	}
	if c.takeover == nil || m.Message == (takeover.Message{}) {
		return
	}
	c.takeover.coordinator.Receive(c.now, ev.from, ev.incarnation, m.Message)
	c.drainCoordinator()
}

func (c *Core) updateMembers(ev membersChanged) {
	if c.escrow != nil {
		c.escrow.updateMembers(ev)
	}
	t := c.takeover
	if t == nil {
		return
	}
	for _, change := range ev.changes {
		if change.Ended {
			t.coordinator.MemberLeft(c.now, change.Name, change.Number)
		} else {
			t.coordinator.MemberReturned(change.Name, change.Number)
		}
	}
	t.coordinator.SetMembers(append([]takeover.Member{t.cfg.Self}, ev.members...))
	c.drainCoordinator()
}

// encodePeerMessage encodes a message. It panics on an error, which the plain field types of a message rule out.
func encodePeerMessage(m peerMessage) []byte {
	data, err := cbor.Marshal(m)
	if err != nil {
		panic(err)
	}
	return data
}
