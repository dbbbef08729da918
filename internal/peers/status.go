package peers

import (
	"hitchspring/internal/gossip"
	"hitchspring/internal/swim"
)

// Status is a snapshot of an instance and its peers, for operators and tests.
type Status struct {
	Name            string         `json:"Name"`
	Addr            string         `json:"Addr"`
	Zone            string         `json:"Hall"`
	Incarnation     uint64         `json:"Life"`
	Refutation      uint32         `json:"Inc"`
	LeftReason      string         `json:"Over,omitempty"` // why the instance gave up its name; empty if it did not
	Version         uint64         `json:"Version"`        // of the membership view
	Alive           int            `json:"Alive"`          // other members that are alive or suspected
	Members         []MemberStatus `json:"Members"`
	Facts           int            `json:"Facts"`
	Bytes           int            `json:"Bytes"`    // estimated memory of the facts
	FactsSum        uint64         `json:"FactsSum"` // checksum of the facts; equal for instances with equal facts
	Counts          Counts         `json:"Counts"`
	FailedWrites    int            `json:"Unsent"`   // datagrams whose write to the socket failed
	DroppedMessages int            `json:"Unqueued"` // messages that were dropped because the send queue was full
	Swim            swim.Counts    `json:"Swim"`
	Gossip          gossip.Counts  `json:"Shared"`
}

// MemberStatus is a snapshot of one other member.
type MemberStatus struct {
	Name          string `json:"Name"`
	Addr          string `json:"Addr"`
	Zone          string `json:"Hall"`
	State         string `json:"State"`
	SuspectedBy   string `json:"By"`
	Incarnation   uint64 `json:"Life"`
	Refutation    uint32 `json:"Inc"`
	SinceMS       int64  `json:"SinceMS"` // milliseconds since its state began
	LastMessageMS int64  `json:"HeardMS"` // milliseconds since its latest message; -1 if there was none
}

// Status returns a snapshot of the instance and its peers.
func (p *Peers) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock()
	membership, facts := p.engine.membership, p.engine.facts
	self := membership.Self()
	status := Status{
		Name:            self.Name,
		Addr:            self.Addr,
		Zone:            self.Zone,
		Incarnation:     self.Incarnation,
		Refutation:      self.Refutation,
		LeftReason:      membership.LeftReason(),
		Version:         membership.Version(),
		Alive:           membership.AliveCount(),
		Facts:           facts.Len(),
		Bytes:           facts.Bytes(),
		FactsSum:        facts.Checksum(now),
		Counts:          p.engine.counts,
		FailedWrites:    p.failedWrites,
		DroppedMessages: int(p.droppedSends.Load()),
		Swim:            membership.Counts(),
		Gossip:          facts.Counts(),
	}
	for _, m := range membership.Members() {
		heardMS := int64(-1)
		if m.LastMessageAt > 0 {
			heardMS = (now - m.LastMessageAt).Milliseconds()
		}
		status.Members = append(status.Members, MemberStatus{
			Name:          m.Name,
			Addr:          m.Addr,
			Zone:          m.Zone,
			State:         m.State.String(),
			SuspectedBy:   m.SuspectedBy,
			Incarnation:   m.Incarnation,
			Refutation:    m.Refutation,
			SinceMS:       (now - m.StateSince).Milliseconds(),
			LastMessageMS: heardMS,
		})
	}
	return status
}
