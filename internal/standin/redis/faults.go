package redis

import (
	"strings"

	"hitchspring/internal/standin/fault"
)

// handle runs one command by the fault script; it reports whether the connection goes on.
func (c *client) handle(args []string) bool {
	s := c.server
	name := strings.ToUpper(args[0])
	for {
		s.group.mu.Lock()
		silent := s.silent
		s.group.mu.Unlock()
		if !silent {
			break
		}
		if !s.sleep(pollInterval) {
			return false
		}
	}
	r, left, hit := s.faults.Next(s.Since(), name, c.name)
	rec := Record{At: s.Since(), Conn: c.id, Caller: c.name, Args: args}
	if hit {
		rec.Fault = r.Kind
	}
	run := func() []byte {
		v := c.run(name, args)
		rec.Applied = true
		return v.append(nil, c.proto)
	}
	write := func(b []byte) {
		rec.Reply = string(b)
		c.out = append(c.out, b...)
		c.out = append(c.out, c.swapped...)
		c.swapped = nil
	}
	ok := true
	switch r.Kind {
	case fault.Delay, fault.Stall:
		c.flush()
		wait := r.By
		if r.Kind == fault.Stall {
			wait = left
		}
		if !s.sleep(wait) {
			return false
		}
		write(run())
	case fault.Hold:
		c.flush()
		b := run()
		if !s.sleep(r.By) {
			return false
		}
		write(b)
	case fault.Ignore:
	case fault.Swallow:
		run()
	case fault.Late:
		at := client{server: s, nc: c.nc, id: c.id, proto: c.proto, db: c.db, name: c.name, authed: c.authed} // it may be closed by then
		s.wg.Go(func() {
			if s.sleep(r.By) {
				at.run(name, args)
				rec.Applied, rec.At = true, s.Since()
				s.addRecord(rec)
			}
		})
		return true
	case fault.DropBefore:
		c.flush()
		reset(c.nc)
		ok = false
	case fault.DropAfter:
		run()
		c.flush()
		c.nc.Close() // what was answered before arrives
		ok = false
	case fault.Repeat:
		b := run()
		write(b)
		c.out = append(c.out, b...)
	case fault.Swap:
		b := run()
		rec.Reply = string(b)
		c.swapped = b
	case fault.Cut:
		b := run()
		write(b[:len(b)/2])
		c.flush()
		ok = false
	case fault.Fail:
		write(failure(r.Text).append(nil, c.proto))
	default:
		write(run())
	}
	s.addRecord(rec)
	return ok && name != "QUIT"
}

func (s *Server) addRecord(r Record) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if len(s.records) < maxRecords {
		s.records = append(s.records, r)
	}
}
