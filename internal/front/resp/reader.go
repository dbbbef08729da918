package resp

import (
	"errors"
	"os"
	"time"

	"github.com/tidwall/redcon"

	"hitchspring/internal/core"
	"hitchspring/internal/resp"
	"hitchspring/internal/socket"
)

// end says how reading came to its end.
type end uint8

const (
	left end = iota // the client has left, or the connection is broken
	lost            // the framing is lost, or the client's patience with nonsense ours
	over            // by us, between two requests: the last answer is on its way
)

// read takes commands until the connection ends.
func (c *connection) read() end {
	in := &c.in
	in.Budget, in.Most = c.f.requestMemory, resp.MaxLarge
	defer in.Close()
	paused := int32(0)
	var began time.Time // of a command that has not ended; since then c.partial holds
	cameBy := 0         // how much of it, by the last look at its progress
	for {
		f, err := in.Next()
		switch {
		case f != nil:
			began, cameBy = time.Time{}, 0
			c.take(f, time.Now())
			if n := c.faults.Load(); c.hungUp {
				return left
			} else if n >= mostFaults {
				return lost
			} else if n > paused { // of a fault that the gateway found
				paused = c.pause()
			}
			continue
		case err == nil:
			// Only the rest of a command has a time limit; setting one for each read would cost CPU.
			if partial := in.Partial(); !partial && c.partial.Load() {
				c.limit(time.Time{})
				c.partial.Store(false)
			} else if partial && (began.IsZero() || in.Came()-cameBy >= leastProgress) {
				now := time.Now()
				if began.IsZero() {
					began = now
				}
				cameBy = in.Came()
				c.partial.Store(true)
				c.limit(earlier(now.Add(firstCommand), began.Add(wholeCommand)))
			}
			if err = in.Fill(c.nc.Read); errors.Is(err, os.ErrDeadlineExceeded) {
				if asked, ended := c.over(); ended {
					return over
				} else if asked {
					continue
				}
			}
		}
		if errors.Is(err, resp.ErrMemory) { // no room for a large body now: it is read past, if its end is known
			var skipped bool
			c.nc.SetReadDeadline(time.Now().Add(wholeCommand))
			if skipped, err = in.Skip(c.nc.Read); skipped {
				c.reply(refusal(core.Answer{RetryAfter: core.FullRetry}))
				continue
			} else if err == nil {
				err = resp.ErrMemory
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, resp.ErrFraming) || errors.Is(err, resp.ErrTooLong) || errors.Is(err, resp.ErrMemory):
			c.fault(err.Error())
			return lost
		case errors.Is(err, os.ErrDeadlineExceeded) && c.partial.Load():
			c.fault("the command does not end")
			return lost
		default:
			return left
		}
	}
}

// limit sets when reading is to stop, unless the reader is asked to look up at once.
func (c *connection) limit(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.until = t; !c.asked {
		c.nc.SetReadDeadline(t)
	}
}

// stall lets the reader wait until done says so, which looks for so long (0: at once), and notices meanwhile when the client leaves: for
// what that has asked must not go out any more. It reads a bounded part of what comes next.
func (c *connection) stall(done func(time.Duration) bool) {
	if done(0) {
		return
	}
	defer c.limit(time.Time{})
	for ahead := true; !done(0); {
		c.mu.Lock()
		c.look() // what is in hand comes first
		c.mu.Unlock()
		if ahead = ahead && c.in.Came() < aheadBytes; !ahead {
			if done(aheadLook) {
				return
			}
			if c.hungUp = socket.HungUp(c.nc); c.hungUp {
				return
			}
			continue
		}
		c.limit(time.Now().Add(aheadLook))
		switch err := c.in.Fill(c.nc.Read); {
		case err == nil || errors.Is(err, os.ErrDeadlineExceeded):
		case errors.Is(err, resp.ErrMemory) || errors.Is(err, resp.ErrTooLong):
			ahead = false
		default:
			c.hungUp = true
			return
		}
	}
}

// wait waits until a channel closes, for so long at the most; it says whether that has closed.
func wait(closed <-chan struct{}, most time.Duration) bool {
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-closed:
		return true
	case <-t.C:
		return false
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// fault answers nonsense, after a pause: a client that repeats it as soon as it has been turned away takes no CPU from
// the others.
func (c *connection) fault(text string) {
	c.faults.Add(1)
	c.pause()
	c.reply(redcon.AppendError(nil, "ERR "+text))
}

// pause waits, longer with each fault, and returns their number.
func (c *connection) pause() int32 {
	n := c.faults.Load()
	end := time.Now().Add(time.Duration(n) * faultPause)
	c.stall(func(most time.Duration) bool {
		return wait(c.written, min(most, time.Until(end))) || !time.Now().Before(end)
	})
	return n
}

// take takes one whole command.
func (c *connection) take(f []byte, at time.Time) {
	whole, args, _, _, err := redcon.ReadNextCommand(f, nil)
	if err != nil || !whole || len(args) == 0 {
		c.fault("a command is an array of bulk strings")
		return
	}
	switch string(args[0]) {
	case "PING":
		if c.f.Leaving() {
			c.reply(redcon.AppendError(nil, "ERR draining"))
		} else {
			c.reply(redcon.AppendString(nil, "PONG"))
		}
	case "Q.ASK", "Q.DO":
		r, err := c.f.parse(args, at)
		if err != nil {
			c.fault(err.Error())
			return
		}
		if c.f.terminating.Load() && c.f.drainingFor() > drainRefuseAfter { // something else is owed on this connection
			c.reply(refusal(core.Answer{RetryAfter: core.FullRetry}))
			return
		}
		if s := c.open(r); s != nil {
			r.Place = s
			c.f.core.Submit(r)
		}
	default:
		c.fault("unknown command")
	}
}
