package backend

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"hitchspring/internal/standin/fault"
)

const (
	minArgs  = 4 // name, tenant, ID and fields
	maxArgs  = 5
	idLength = 16 // length of a tenant ID and of a command ID
)

// command executes one command and returns its reply when the reply is due. An empty reply is not written. If keepOpen
// is false, the caller must reset the connection.
func (c *conn) command(args [][]byte) (reply string, keepOpen bool) {
	switch name := string(args[0]); name {
	case "PING":
		return "+PONG\r\n", true
	case "INFO":
		text := c.backend.loadReport()
		return fmt.Sprintf("$%d\r\n%s\r\n", len(text), text), true
	case "CLIENT", "SELECT":
		return "+OK\r\n", true
	case "Q.ASK", "Q.DO":
		return c.request(args)
	default:
		return "-ERR unknown command\r\n", true
	}
}

// request parses, records and executes a request.
func (c *conn) request(args [][]byte) (reply string, keepOpen bool) {
	rec, valid := parseCommand(args)
	if !valid {
		return "-SYNTAX\r\n", true
	}
	rec.Instance, rec.Conn = c.instance, c.id
	index := c.backend.addRecord(rec) // before any fault takes effect
	reply, fate := c.execute(rec, index)
	c.backend.endRecord(index, fate)
	return reply, fate.keepsConn()
}

// keepsConn reports whether the connection stays open after a command with this fate.
func (f Outcome) keepsConn() bool {
	switch f {
	case CutOff, DroppedBefore, DroppedAfter, Died:
		return false
	default:
		return true
	}
}

// execute executes a recorded request, applying the fault that hits it, if any. It returns the reply when it is due.
func (c *conn) execute(rec Record, index int) (reply string, fate Outcome) {
	b := c.backend
	if c.awaitPartitionEnd() {
		return "", CutOff
	}
	rule, left, _ := b.faults.Next(b.fleet.clock(), rec.Class, fmt.Sprint("n", c.instance))
	switch rule.Kind {
	case fault.Delay:
		b.sleep(rule.DelayTime)
	case fault.Stall:
		b.sleep(left)
	case fault.DropBefore:
		return "", DroppedBefore
	case fault.Ignore:
		return "", Unanswered
	case fault.Fail:
		return "-ERR failed\r\n", Failed
	default: // the other kinds affect the reply only
	}
	if c.setup != nil {
		b.awaitJob(c.setup)
		c.setup = nil
	}
	work, fate := b.submit(index)
	switch fate {
	case Busy:
		return "-BUSY\r\n", Busy
	case Died:
		return "", Died
	default: // work is that of this command, or of an earlier one with the same key
	}
	b.awaitJob(work)
	b.release()
	if b.Down() {
		return "", Died
	}
	return c.deliver(rule, "value of "+rec.ID, fate)
}

// deliver returns the reply with a value and the fate of the command, both as modified by the fault.
func (c *conn) deliver(rule fault.Rule, value string, fate Outcome) (reply string, faultyFate Outcome) {
	reply = fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
	switch rule.Kind {
	case fault.DropAfter:
		return "", DroppedAfter
	case fault.Swallow:
		return "", Unanswered
	case fault.Cut:
		return "*3\r\n$20\r\nval", DroppedAfter
	case fault.Hold:
		c.backend.sleep(rule.DelayTime)
	case fault.Repeat:
		reply += reply
	case fault.RepeatLate:
		c.repeatAfter = rule.DelayTime
	default: // the other kinds took effect before the command ran, or are not supported
	}
	return reply, fate
}

// awaitJob waits until a job is done or the backend stops.
func (b *Backend) awaitJob(work *job) {
	select {
	case <-work.done:
	case <-b.stopSignal:
	}
}

// submit queues the work of a recorded command, unless the backend rejects it or the rack has already seen its key. The
// fate is Busy, Died, Ran, or Remembered with the job of the first command of the key.
func (b *Backend) submit(index int) (work *job, fate Outcome) {
	b.update(func(now time.Duration) {
		rec := &b.fleet.records[index]
		switch {
		case b.stopped:
			fate = Died
			return
		case b.draining || b.machine.inFlight >= b.QueueCapacity:
			fate = Busy
			return
		}
		b.machine.inFlight++
		rack := b.fleet.racks[b.Rack]
		if rack == nil {
			rack = map[string]*keyEntry{}
			b.fleet.racks[b.Rack] = rack
		}
		if entry := rack[rec.Key]; rec.Key != "" && entry != nil && now-entry.at < b.fleet.rules.KeyRetention {
			work, fate = entry.job, Remembered
			rec.Work = 0
			return
		}
		work, fate = b.machine.add(rec.Work), Ran
		rec.StartedAt = now
		if rec.Key != "" {
			rack[rec.Key] = &keyEntry{at: now, job: work}
		}
	})
	return work, fate
}

// release decrements the number of requests in flight.
func (b *Backend) release() {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	b.machine.inFlight--
}

// parseCommand parses a command into a record. It reports false if a required field is missing or invalid.
func parseCommand(args [][]byte) (rec Record, ok bool) {
	if len(args) < minArgs || len(args) > maxArgs || len(args[1]) != idLength || len(args[2]) != idLength {
		return Record{}, false
	}
	rec.Tenant, rec.ID = string(args[1]), string(args[2])
	var allowedMS int
	for pair := range strings.SplitSeq(string(args[3]), ",") {
		name, value, _ := strings.Cut(pair, "=")
		var err error
		switch name {
		case "c":
			rec.Class = value
		case "t":
			rec.Plan = value
		case "k":
			rec.Key = value
		case "d":
			allowedMS, err = strconv.Atoi(value)
		case "units":
			rec.Units, err = strconv.ParseFloat(value, 64)
		}
		if err != nil {
			return Record{}, false
		}
	}
	rec.Allowed = time.Duration(allowedMS) * time.Millisecond
	return rec, rec.Class != "" && rec.Plan != "" && allowedMS > 0 && rec.Units > 0
}
