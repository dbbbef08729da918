package swim

import (
	"slices"
	"time"
)

const (
	reconnectInterval   = time.Second            // between two reconnect attempts to any address
	joinInterval        = 100 * time.Millisecond // initial reconnect interval while no other member is present
	maxJoinBackoffShift = 3                      // joinInterval is doubled up to this many times
	reconnectsPerSeed   = 3                      // every n-th attempt goes to a seed, the others to dead members
)

// reconnect pings a dead member, or a seed whose address belongs to no present
// member. This lets the sides of a healed partition join again: the first ping
// that arrives in either direction suffices.
func (m *Machine) reconnect() {
	interval := reconnectInterval
	if m.aliveCount == 0 {
		interval = joinInterval << min(m.reconnectAttempts, maxJoinBackoffShift)
	}
	m.nextReconnect = m.now + m.jitter(interval)
	m.reconnectAttempts++
	if m.aliveCount > 0 && m.reconnectAttempts%reconnectsPerSeed != 0 {
		for _, dead := range m.sampleMembers(1, isDead) {
			m.send(dead.Addr, &Message{Kind: Ping, To: dead.Name, Nonce: m.newNonce()}, dead)
			return
		}
	}
	seeds := m.unconnectedSeeds()
	if len(seeds) > 0 {
		seed := seeds[m.rng.IntN(len(seeds))]
		m.send(seed, &Message{Kind: Ping, Nonce: m.newNonce()}, nil)
	}
}

// unconnectedSeeds returns the seeds that are neither this member's own address
// nor the address of a present member.
func (m *Machine) unconnectedSeeds() []string {
	var seeds []string
	for _, seed := range m.cfg.Seeds {
		connected := slices.ContainsFunc(m.names, func(name string) bool {
			return m.members[name].Addr == seed && m.members[name].State.present()
		})
		if seed != m.cfg.Addr && !connected {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}
