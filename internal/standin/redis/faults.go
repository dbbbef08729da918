package redis

import (
	"strings"
	"time"

	"hitchspring/internal/standin/fault"
)

// execution is one command of a client under the fault that hits it.
type execution struct {
	client *client
	name   string // in upper case
	args   []string
	record Record
}

// connState is what becomes of a connection after a command.
type connState uint8

const (
	connOpen   connState = iota // it goes on
	connEnds                    // it ends by the fault
	serverDown                  // the server was closed meanwhile, and the command leaves no record
)

// handle runs one command by the fault script. It reports whether the connection goes on.
func (c *client) handle(args []string) bool {
	s := c.server
	if !c.awaitNotSilent() {
		return false
	}
	name := strings.ToUpper(args[0])
	rule, left, hit := s.faults.Next(s.Since(), name, c.name)
	record := Record{At: s.Since(), Conn: c.id, Caller: c.name, Args: args}
	if hit {
		record.Fault = rule.Kind
	}
	e := &execution{client: c, name: name, args: args, record: record}
	if rule.Kind == fault.Late {
		e.runLate(rule.By)
		return true
	}
	state := e.carryOut(rule, left)
	if state == serverDown {
		return false
	}
	s.addRecord(e.record)
	return state == connOpen && name != "QUIT"
}

// awaitNotSilent waits while the server is silent. It reports false when the server is closed.
func (c *client) awaitNotSilent() bool {
	s := c.server
	for {
		s.group.mu.Lock()
		silent := s.silent
		s.group.mu.Unlock()
		if !silent {
			return true
		}
		if !s.sleep(pollInterval) {
			return false
		}
	}
}

// carryOut runs the command as the fault lets it, and appends what is sent of the reply.
func (e *execution) carryOut(rule fault.Rule, left time.Duration) connState {
	c := e.client
	switch rule.Kind {
	case fault.Ignore:
		return connOpen
	case fault.Fail:
		e.reply(failure(rule.Text).append(nil, c.proto))
		return connOpen
	case fault.DropBefore:
		c.flush()
		reset(c.nc)
		return connEnds
	case fault.Delay:
		if !c.flushAndSleep(rule.By) {
			return serverDown
		}
	case fault.Stall:
		if !c.flushAndSleep(left) {
			return serverDown
		}
	case fault.Hold:
		c.flush() // the replies before this command do not wait for it
	default: // the other kinds act on the reply
	}
	return e.deliver(rule, e.run())
}

// deliver appends what is sent of the reply to a command that has run.
func (e *execution) deliver(rule fault.Rule, reply []byte) connState {
	c := e.client
	switch rule.Kind {
	case fault.Hold:
		if !c.server.sleep(rule.By) {
			return serverDown
		}
		e.reply(reply)
	case fault.Swallow:
	case fault.DropAfter:
		c.flush()
		c.nc.Close() // without a reset, so that the replies before arrive
		return connEnds
	case fault.Repeat:
		e.reply(reply)
		c.out = append(c.out, reply...)
	case fault.Swap:
		e.record.Reply = string(reply)
		c.swapped = reply
	case fault.Cut:
		e.reply(reply[:len(reply)/2])
		c.flush()
		return connEnds
	default: // the other kinds have acted before the command ran
		e.reply(reply)
	}
	return connOpen
}

// run runs the command and returns its reply.
func (e *execution) run() []byte {
	reply := e.client.run(e.name, e.args)
	e.record.Applied = true
	return reply.append(nil, e.client.proto)
}

// reply appends a reply to the client's output, and after it one that was to come later.
func (e *execution) reply(reply []byte) {
	c := e.client
	e.record.Reply = string(reply)
	c.out = append(c.out, reply...)
	c.out = append(c.out, c.swapped...)
	c.swapped = nil
}

// runLate runs and records the command after a delay, without a reply. The connection may have ended by then.
func (e *execution) runLate(delay time.Duration) {
	c, s := e.client, e.client.server
	late := client{server: s, nc: c.nc, id: c.id, proto: c.proto, db: c.db, name: c.name, authed: c.authed}
	s.wg.Go(func() {
		if s.sleep(delay) {
			late.run(e.name, e.args)
			e.record.Applied, e.record.At = true, s.Since()
			s.addRecord(e.record)
		}
	})
}

// flushAndSleep writes the replies so far and waits. It reports false when the server is closed.
func (c *client) flushAndSleep(d time.Duration) bool {
	c.flush()
	return c.server.sleep(d)
}

// addRecord keeps the record of a command.
func (s *Server) addRecord(record Record) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if len(s.records) < maxRecords {
		s.records = append(s.records, record)
	}
}
