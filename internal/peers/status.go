package peers

import (
	"hitchspring/internal/gossip"
	"hitchspring/internal/swim"
)

// Status is what this instance believes of its peers, for people and tests.
type Status struct {
	Name        string         `json:"Name"`
	Addr        string         `json:"Addr"`
	Zone        string         `json:"Hall"`
	Incarnation uint64         `json:"Life"`
	Refutation  uint32         `json:"Inc"`
	LeftReason  string         `json:"Over,omitempty"` // why it takes part no longer
	Version     uint64         `json:"Version"`        // of the view
	Alive       int            `json:"Alive"`          // others that are held to be there
	Members     []MemberStatus `json:"Members"`
	Facts       int            `json:"Facts"`
	Bytes       int            `json:"Bytes"`    // that they take
	FactsSum    uint64         `json:"FactsSum"` // of what is held; alike where two hold the same
	Counts      Counts         `json:"Counts"`
	Unsent      int            `json:"Unsent"`
	Unqueued    int            `json:"Unqueued"` // messages that were dropped because the queue was full
	Swim        swim.Counts    `json:"Swim"`
	Gossip      gossip.Counts  `json:"Shared"`
}

// MemberStatus is one member.
type MemberStatus struct {
	Name        string `json:"Name"`
	Addr        string `json:"Addr"`
	Zone        string `json:"Hall"`
	State       string `json:"State"`
	SuspectedBy string `json:"By"`
	Incarnation uint64 `json:"Life"`
	Refutation  uint32 `json:"Inc"`
	SinceMS     int64  `json:"SinceMS"` // its state holds for so long
	HeardMS     int64  `json:"HeardMS"` // it was last heard itself so long ago; -1: never
}

// Status is what is believed now.
func (p *Peers) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock()
	e := p.engine
	self := e.membership.Self()
	s := Status{
		Name: self.Name, Addr: self.Addr, Zone: self.Zone, Incarnation: self.Incarnation, Refutation: self.Refutation, LeftReason: e.membership.LeftReason(), Version: e.membership.Version(),
		Alive: e.membership.AliveCount(), Bytes: e.facts.Bytes(), FactsSum: e.facts.Checksum(now), Counts: e.counts, Unsent: p.unsent, Unqueued: int(p.unqueued.Load()), Swim: e.membership.Counts(), Gossip: e.facts.Counts(),
	}
	s.Facts = e.facts.Len()
	for _, m := range e.membership.Members() {
		heard := int64(-1)
		if m.HeardAt > 0 {
			heard = (now - m.HeardAt).Milliseconds()
		}
		s.Members = append(s.Members, MemberStatus{
			Name: m.Name, Addr: m.Addr, Zone: m.Zone, State: m.State.String(), SuspectedBy: m.SuspectedBy, Incarnation: m.Incarnation, Refutation: m.Refutation,
			SinceMS: (now - m.Since).Milliseconds(), HeardMS: heard,
		})
	}
	return s
}
