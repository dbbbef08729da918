package redis

// run executes a client's command, or queues it in its transaction.
func (c *client) run(name string, args []string) value {
	s := c.server
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if v, done := c.transaction(name, args); done {
		return v
	}
	x := &call{server: s, client: c, db: c.db, now: s.options.Now()}
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
		if c.inTransaction {
			return errorf("MULTI calls can not be nested"), true
		}
		c.inTransaction, c.aborted, c.queue = true, false, nil
		return okReply, true
	case "DISCARD":
		if !c.inTransaction {
			return errorf("DISCARD without MULTI"), true
		}
		c.endTransaction()
		return okReply, true
	case "WATCH":
		if c.inTransaction {
			return errorf("WATCH inside MULTI is not allowed"), true
		}
		x := &call{server: c.server, client: c, db: c.db, now: c.server.options.Now()}
		if c.watched == nil {
			c.watched = map[string]*entry{}
		}
		for _, k := range args[1:] {
			c.watched[k] = cloneEntry(x.get(k))
		}
		return okReply, true
	case "UNWATCH":
		c.watched = nil
		return okReply, true
	case "EXEC":
		if !c.inTransaction {
			return errorf("EXEC without MULTI"), true
		}
		queue, spoilt, watched := c.queue, c.aborted, c.watched
		c.endTransaction()
		if spoilt {
			return failure("EXECABORT Transaction discarded because of previous errors."), true
		}
		x := &call{server: c.server, client: c, db: c.db, now: c.server.options.Now()}
		c.server.group.catchUp(x.now)
		for k, was := range watched {
			if !equalEntries(was, x.get(k)) {
				return value{kind: kindNullArray}, true
			}
		}
		out := array()
		for _, a := range queue {
			out.list = append(out.list, c.server.execute(x, a))
		}
		c.db = x.db
		return out, true
	}
	if !c.inTransaction || name == "QUIT" || name == "RESET" {
		return value{}, false
	}
	x := &call{server: c.server, client: c, db: c.db, now: c.server.options.Now()}
	if v := c.server.check(x, name, args); v.kind != kindNone {
		c.aborted = true
		return v, true
	}
	if len(c.queue) >= maxQueuedCommands {
		c.aborted = true
		return errorf("too many commands in a transaction"), true
	}
	c.queue = append(c.queue, args)
	return status("QUEUED"), true
}

func (c *client) endTransaction() {
	c.inTransaction, c.aborted, c.queue, c.watched = false, false, nil, nil
}

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
