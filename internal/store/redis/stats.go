package redis

// Stats are a counter's metrics since its start, summed over all shards.
type Stats struct {
	Connected      bool  // all shards are connected
	Added          int64 // confirmed adds
	AlreadyApplied int64 // confirmed adds that had been applied by an earlier copy of the write
	Rejected       int64 // adds that Redis rejected or that were never written
	Unconfirmed    int64 // adds reported as store.Maybe
	Resent         int64 // sums resent without a new add
	Lost           int64 // replies that showed that Redis had lost confirmed adds
	Unreadable     int64 // connections closed because of an invalid or unexpected reply
	Connects       int64 // established connections
	Disconnects    int64 // failed or timed-out connections, and failed attempts to connect
	Names          int   // names in the ledgers
}

// Stats returns the current metrics.
func (c *Counter) Stats() Stats {
	total := Stats{Connected: true}
	for _, s := range c.shards {
		s.mu.Lock()
		stats := s.stats
		stats.Names = s.ledger.Len()
		s.mu.Unlock()
		total.add(stats)
	}
	return total
}

func (t *Stats) add(stats Stats) {
	t.Connected = t.Connected && stats.Connected
	t.Added += stats.Added
	t.AlreadyApplied += stats.AlreadyApplied
	t.Rejected += stats.Rejected
	t.Unconfirmed += stats.Unconfirmed
	t.Resent += stats.Resent
	t.Lost += stats.Lost
	t.Unreadable += stats.Unreadable
	t.Connects += stats.Connects
	t.Disconnects += stats.Disconnects
	t.Names += stats.Names
}
