package core

// SharedIDs tells the processes of one instance, two of which run during an upgrade, which requests with effects each
// of them has begun to send. The loop makes all calls.
type SharedIDs interface {
	// Append adds ids for the other processes.
	Append(ids ...uint64) error
	// ReadOthers calls add for each id that other processes have appended since the last call.
	ReadOthers(add func(id uint64)) error
}

// sharedIDState is the use of the SharedIDs of the configuration.
type sharedIDState struct {
	active bool // other processes of this instance run, or this one has handed over
	failed bool // an error has been logged
}

// shareIDs begins or ends the exchange of ids with other processes. When it begins, they are told of all ids that this
// process knows.
func (c *Core) shareIDs(active bool) {
	if c.cfg.SharedIDs == nil || active == c.sharedIDs.active {
		return
	}
	c.sharedIDs.active = active
	if !active {
		c.readSharedIDs()
		return
	}
	ids := make([]uint64, 0, len(c.clientIDs)+len(c.recentIDs.current)+len(c.recentIDs.previous))
	for id := range c.clientIDs {
		ids = append(ids, id)
	}
	for id := range c.recentIDs.current {
		ids = append(ids, id)
	}
	for id := range c.recentIDs.previous {
		ids = append(ids, id)
	}
	c.sharedIDFailure(c.cfg.SharedIDs.Append(ids...))
}

// shareID tells the other processes that the first attempt of a request is about to be sent.
func (c *Core) shareID(r *Request) {
	if c.sharedIDs.active && !r.Delegated && c.hasEffects(r) {
		c.sharedIDFailure(c.cfg.SharedIDs.Append(r.ClientID))
	}
}

// readSharedIDs remembers the ids of which other processes have told this one.
func (c *Core) readSharedIDs() {
	c.sharedIDFailure(c.cfg.SharedIDs.ReadOthers(func(id uint64) { c.recentIDs.add(c.now, id) }))
}

// sharedIDFailure logs the first failure of the exchange. Requests are served nevertheless.
func (c *Core) sharedIDFailure(err error) {
	if err != nil && !c.sharedIDs.failed {
		c.sharedIDs.failed = true
		c.log.Warn("request ids not shared with the other process of this instance", "err", err)
	}
}
