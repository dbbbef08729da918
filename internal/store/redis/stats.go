package redis

// Stats count what a counter did since its start.
type Stats struct {
	Connected      bool  // all shards are
	Added          int64 // adds that were confirmed
	AlreadyApplied int64 // of them, those that had been applied before the copy that was confirmed
	Rejected       int64 // adds that Redis rejected, or that were never written
	Unconfirmed    int64 // adds answered as store.Maybe
	Resent         int64 // sums sent again without an add
	Lost           int64 // replies that showed that Redis had lost what it had confirmed
	Unreadable     int64 // replies that could not be read or belonged to another call
	Connects       int64 // connections that came up
	Disconnects    int64 // connections that broke or fell silent, and attempts to connect that failed
	Names          int   // in the ledgers
}

// Stats returns the counts so far, over all shards.
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
