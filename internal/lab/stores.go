package lab

import (
	"strings"

	"hitchspring/internal/lab/scenario"
	"hitchspring/internal/standin/redis"
	"hitchspring/internal/standin/tally"
)

// store is a stand-in for a shared counter store, with the operations that the timeline and the report need.
type store interface {
	Addr() string
	Do(line string) error
	Calls() int
}

func (tb *Testbed) openStore() error {
	switch tb.scenarioConfig.Store {
	case scenario.StoreTally:
		s, err := tally.Start(tb.network+".1:0", tb.cfg.Seed)
		if err != nil {
			return err
		}
		tb.onClose(s.Close)
		tb.store = tallyStore{s}
	default:
		s, err := redis.Start(redis.Options{Seed: tb.cfg.Seed, Listen: tb.network + ".1:0"})
		if err != nil {
			return err
		}
		tb.onClose(s.Close)
		replica, err := s.Group().AddReplica(redis.Options{Seed: tb.cfg.Seed, Listen: tb.network + ".1:0"})
		if err != nil {
			return err
		}
		tb.onClose(replica.Close)
		tb.store = redisStore{s}
	}
	return nil
}

type tallyStore struct{ *tally.Server }

// Calls returns the number of calls received.
func (s tallyStore) Calls() int { return len(s.Records()) }

// redisStore applies fault commands to the current primary of a replication group.
type redisStore struct{ *redis.Server }

// Do applies a fault command to the current primary.
func (s redisStore) Do(line string) error { return s.Group().Primary().Do(line) }

// Calls returns the number of scripts run, each of which adds to counters.
func (s redisStore) Calls() int {
	n := 0
	for _, r := range s.Records() {
		if len(r.Args) > 0 && strings.HasPrefix(strings.ToUpper(r.Args[0]), "EVAL") {
			n++
		}
	}
	return n
}
