package redis

// run executes a client's command, or queues it in its transaction.
func (c *client) run(name string, args []string) value {
	s := c.server
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if v, done := c.transaction(name, args); done {
		return v
	}
	x := c.newCall()
	s.group.catchUp(x.now)
	v := s.execute(x, args)
	c.db = x.db
	if name != "ASKING" {
		c.asking = false
	}
	return v
}

// transaction handles MULTI and its kin; done says that the command was one of them, or was queued.
func (c *client) transaction(name string, args []string) (v value, done bool) {
	switch name {
	case "MULTI":
		if c.transactionState != noTransaction {
			return errorf("MULTI calls can not be nested"), true
		}
		c.transactionState, c.queue = queueing, nil
		return okReply, true
	case "DISCARD":
		if c.transactionState == noTransaction {
			return errorf("DISCARD without MULTI"), true
		}
		c.endTransaction()
		return okReply, true
	case "WATCH":
		if c.transactionState != noTransaction {
			return errorf("WATCH inside MULTI is not allowed"), true
		}
		c.watch(args[1:])
		return okReply, true
	case "UNWATCH":
		c.watched = nil
		return okReply, true
	case "EXEC":
		if c.transactionState == noTransaction {
			return errorf("EXEC without MULTI"), true
		}
		return c.exec(), true
	}
	if c.transactionState == noTransaction || name == "QUIT" || name == "RESET" {
		return value{}, false
	}
	return c.enqueue(name, args), true
}

// newCall returns an execution by the client, now.
func (c *client) newCall() *call {
	return &call{server: c.server, client: c, db: c.db, now: c.server.options.Now()}
}

// watch remembers the values of keys, so that EXEC can tell whether they have changed.
func (c *client) watch(keys []string) {
	x := c.newCall()
	if c.watched == nil {
		c.watched = map[string]*entry{}
	}
	for _, key := range keys {
		c.watched[key] = cloneEntry(x.get(key))
	}
}

// exec ends the transaction, and runs its commands unless it was aborted or a watched key has changed.
func (c *client) exec() value {
	queue, aborted, watched := c.queue, c.transactionState == abortedTransaction, c.watched
	c.endTransaction()
	if aborted {
		return failure("EXECABORT Transaction discarded because of previous errors.")
	}
	x := c.newCall()
	c.server.group.catchUp(x.now)
	for key, before := range watched {
		if !equalEntries(before, x.get(key)) {
			return value{kind: kindNullArray}
		}
	}
	replies := array()
	for _, args := range queue {
		replies.list = append(replies.list, c.server.execute(x, args))
	}
	c.db = x.db
	return replies
}

// enqueue adds a command to the transaction, or aborts it if the command is wrong.
func (c *client) enqueue(name string, args []string) value {
	if v := c.server.check(c.newCall(), name, args); v.kind != kindNone {
		c.transactionState = abortedTransaction
		return v
	}
	if len(c.queue) >= maxQueuedCommands {
		c.transactionState = abortedTransaction
		return errorf("too many commands in a transaction")
	}
	c.queue = append(c.queue, args)
	return status("QUEUED")
}

// endTransaction forgets the transaction and the watched keys.
func (c *client) endTransaction() {
	c.transactionState, c.queue, c.watched = noTransaction, nil, nil
}

// cloneEntry returns a copy of an entry that shares nothing with it.
func cloneEntry(e *entry) *entry {
	if e == nil {
		return nil
	}
	out := *e
	if e.hash != nil {
		out.hash = map[string]string{}
		for k, v := range e.hash {
			out.hash[k] = v
		}
	}
	return &out
}

// equalEntries reports whether two entries hold the same value, whatever their expiry.
func equalEntries(a, b *entry) bool {
	if a == nil || b == nil {
		return a == b
	}
	if a.str != b.str || len(a.hash) != len(b.hash) || (a.hash == nil) != (b.hash == nil) {
		return false
	}
	for k, v := range a.hash {
		if w, ok := b.hash[k]; !ok || v != w {
			return false
		}
	}
	return true
}
