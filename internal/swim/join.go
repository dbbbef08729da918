package swim

import (
	"slices"
	"time"
)

const (
	reconnectInterval   = time.Second            // between two attempts, whomever they go to
	joinInterval        = 100 * time.Millisecond // the first such interval while no member is known
	maxJoinBackoffShift = 3                      // how often joinInterval is doubled
	reconnectsPerSeed   = 3                      // of the attempts, one in so many goes to a seed
)

// reconnect pings a dead member or a seed that no present member has as its
// address. By this a group that was partitioned joins again, from whichever side
// is heard first.
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
// nor that of a present member.
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
