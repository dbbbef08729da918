package core

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"hitchspring/internal/escrow"
	"hitchspring/internal/takeover"
)

// Transport carries messages between instances. None of its methods may wait for I/O.
type Transport interface {
	// Send sends bytes to a member; they may be lost.
	Send(to string, data []byte)
	// ClockReading returns the newest reading of a member's clock that has come.
	ClockReading(name string) time.Duration
}

// Incarnation is one incarnation of a member: a member that restarts has a higher number.
type Incarnation struct {
	Name   string
	Number uint64
}

// peerMessage is what one instance sends another: about pending work or about quota shares. The keys of its fields are
// fixed, since instances of different versions exchange it.
type peerMessage struct {
	takeover.Message
	Escrow *escrow.Message `cbor:"10,keyasint,omitempty"`
}

// The events of the group of instances.
type (
	messageReceived struct {
		from        string
		incarnation uint64
		data        []byte
	}
	membersChanged struct {
		members []takeover.Member // who is there, without this instance
		changes []MemberChange    // in the order in which they happened
	}
)

// MemberChange is news of one incarnation of a member: it is alive, or has ended as far as is known. A later change of
// the same member takes back an earlier one.
type MemberChange struct {
	Incarnation
	Ended  bool // else it is alive
	Surely bool // it is known to have ended, and not only suspected
}

// ReceiveMessage takes in a message of another instance's incarnation.
func (c *Core) ReceiveMessage(from string, incarnation uint64, data []byte) {
	c.post(messageReceived{from, incarnation, data})
}

// UpdateMembers reports which other members are there now, and what has changed since the last call, in the order in
// which it happened.
func (c *Core) UpdateMembers(members []takeover.Member, changes []MemberChange) {
	c.post(membersChanged{members, changes})
}

func (c *Core) handleMessage(ev messageReceived) {
	var m peerMessage
	if err := cbor.Unmarshal(ev.data, &m); err != nil {
		c.unreadable++
		if c.unreadable == 1 {
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

// encodePeerMessage encodes a message, whose fields are all plain.
func encodePeerMessage(m peerMessage) []byte {
	data, err := cbor.Marshal(m)
	if err != nil {
		panic(err)
	}
	return data
}
