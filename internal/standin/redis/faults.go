package redis

import (
	"strings"
	"time"

	"hitchspring/internal/standin/fault"
)

// faultedCommand is one client command and the record of it, which the fault that hits the command affects.
type faultedCommand struct {
	client *client
	name   string // in upper case
	args   []string
	record Record
}

// connState is the state of a connection after a command.
type connState uint8

const (
	connOpen     connState = iota // the connection stays open
	connClosing                   // the fault closes the connection
	serverClosed                  // the server was closed during the command, which is not recorded
)

// handle runs one command, applying the fault that hits it, if any. It reports whether the connection stays open.
func (c *client) handle(args []string) bool {
	s := c.server
	if !c.waitWhileSilent() {
		return false
	}
	name := strings.ToUpper(args[0])
	rule, left, hit := s.faults.Next(s.Since(), name, c.name)
	record := Record{At: s.Since(), Conn: c.id, Caller: c.name, Args: args}
	if hit {
		record.Fault = rule.Kind
	}
	e := &faultedCommand{client: c, name: name, args: args, record: record}
	if rule.Kind == fault.Late {
		e.runLate(rule.DelayTime)
		return true
	}
	state := e.applyFault(rule, left)
	if state == serverClosed {
		return false
	}
	s.addRecord(e.record)
	return state == connOpen && name != "QUIT"
}

// waitWhileSilent blocks while the server is silent. It reports false if the server is closed meanwhile.
func (c *client) waitWhileSilent() bool {
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

// applyFault runs the command, unless the fault prevents it, and buffers the part of the reply that the fault lets
// through.
func (e *faultedCommand) applyFault(rule fault.Rule, left time.Duration) connState {
	c := e.client
	switch rule.Kind {
	case fault.Ignore:
		return connOpen
	case fault.Fail:
		e.reply(errorReply(rule.Text).append(nil, c.proto))
		return connOpen
	case fault.DropBefore:
		c.flush()
		reset(c.nc)
		return connClosing
	case fault.Delay:
		if !c.flushAndSleep(rule.DelayTime) {
			return serverClosed
		}
	case fault.Stall:
		if !c.flushAndSleep(left) {
			return serverClosed
		}
	case fault.Hold:
		c.flush() // earlier replies are not delayed
	default: // the other kinds affect the reply only
	}
	return e.deliver(rule, e.run())
}

// deliver buffers the reply to a command that has run, as modified by the fault.
func (e *faultedCommand) deliver(rule fault.Rule, reply []byte) connState {
	c := e.client
	switch rule.Kind {
	case fault.Hold:
		if !c.server.sleep(rule.DelayTime) {
			return serverClosed
		}
		e.reply(reply)
	case fault.Swallow:
	case fault.DropAfter:
		c.flush()
		c.nc.Close() // no reset, so that earlier replies arrive
		return connClosing
	case fault.Repeat:
		e.reply(reply)
		c.out = append(c.out, reply...)
	case fault.Swap:
		e.record.Reply = string(reply)
		c.swappedReply = reply
	case fault.Cut:
		e.reply(reply[:len(reply)/2])
		c.flush()
		return connClosing
	default: // the other kinds took effect before the command ran
		e.reply(reply)
	}
	return connOpen
}

// run runs the command and returns its encoded reply.
func (e *faultedCommand) run() []byte {
	reply := e.client.run(e.name, e.args)
	e.record.Applied = true
	return reply.append(nil, e.client.proto)
}

// reply buffers a reply, followed by the earlier reply that a swap fault has held back, if any.
func (e *faultedCommand) reply(reply []byte) {
	c := e.client
	e.record.Reply = string(reply)
	c.out = append(c.out, reply...)
	c.out = append(c.out, c.swappedReply...)
	c.swappedReply = nil
}

// runLate runs and records the command after a delay, without sending a reply. The connection may be closed by then.
func (e *faultedCommand) runLate(delay time.Duration) {
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

// flushAndSleep writes the buffered replies and waits for d. It reports false if the server is closed before.
func (c *client) flushAndSleep(d time.Duration) bool {
	c.flush()
	return c.server.sleep(d)
}

// addRecord stores a record, up to maxRecords.
func (s *Server) addRecord(record Record) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if len(s.records) < maxRecords {
		s.records = append(s.records, record)
	}
}
