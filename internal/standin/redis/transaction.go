package redis

// run executes a client's command, or queues it if a transaction is open.
func (c *client) run(name string, args []string) value {
	s := c.server
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if v, done := c.handleTransaction(name, args); done {
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

// handleTransaction handles MULTI, EXEC, DISCARD, WATCH and UNWATCH, and queues other commands while a transaction is
// open. If done is false, the caller must execute the command.
func (c *client) handleTransaction(name string, args []string) (v value, done bool) {
	switch name {
	case "MULTI":
		if c.transactionState != noTransaction {
			return errorReplyf("MULTI calls can not be nested"), true
		}
		c.transactionState, c.queue = queueing, nil
		return okReply, true
	case "DISCARD":
		if c.transactionState == noTransaction {
			return errorReplyf("DISCARD without MULTI"), true
		}
		c.endTransaction()
		return okReply, true
	case "WATCH":
		if c.transactionState != noTransaction {
			return errorReplyf("WATCH inside MULTI is not allowed"), true
		}
		c.watch(args[1:])
		return okReply, true
	case "UNWATCH":
		c.watched = nil
		return okReply, true
	case "EXEC":
		if c.transactionState == noTransaction {
			return errorReplyf("EXEC without MULTI"), true
		}
		return c.exec(), true
	}
	if c.transactionState == noTransaction || name == "QUIT" || name == "RESET" {
		return value{}, false
	}
	return c.enqueue(name, args), true
}

// newCall returns the context for executing a command of the client at the current time.
func (c *client) newCall() *call {
	return &call{server: c.server, client: c, db: c.db, now: c.server.options.Now()}
}

// watch copies the values of keys so that EXEC can detect changes.
func (c *client) watch(keys []string) {
	x := c.newCall()
	if c.watched == nil {
		c.watched = map[string]*entry{}
	}
	for _, key := range keys {
		c.watched[key] = cloneEntry(x.get(key))
	}
}

// exec ends the transaction and runs its commands, unless it was aborted or a watched key has changed.
func (c *client) exec() value {
	queue, aborted, watched := c.queue, c.transactionState == abortedTransaction, c.watched
	c.endTransaction()
	if aborted {
		return errorReply("EXECABORT Transaction discarded because of previous errors.")
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

// enqueue queues a command in the transaction. An invalid command aborts the transaction.
func (c *client) enqueue(name string, args []string) value {
	if v := c.server.validate(c.newCall(), name, args); v.kind != kindNone {
		c.transactionState = abortedTransaction
		return v
	}
	if len(c.queue) >= maxQueuedCommands {
		c.transactionState = abortedTransaction
		return errorReplyf("too many commands in a transaction")
	}
	c.queue = append(c.queue, args)
	return statusReply("QUEUED")
}

// endTransaction clears the transaction and the watched keys.
func (c *client) endTransaction() {
	c.transactionState, c.queue, c.watched = noTransaction, nil, nil
}

// cloneEntry returns a deep copy of an entry.
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

// equalEntries reports whether two entries hold the same value. It ignores their expiry.
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
