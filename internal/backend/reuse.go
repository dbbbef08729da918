package backend

import "time"

// reuseDelay is how long a connection stays idle after a reply, so that a duplicate of the reply arrives while no other
// command is in flight on it. It applies to every backend at all times: that a backend has sent no duplicate so far
// says nothing about its next reply, and a duplicate that is taken for the reply to the next command is served to
// another client.
const reuseDelay = 15 * time.Millisecond

// reusable reports whether the reuse delay is over: a duplicate of an earlier reply would have arrived by now.
func (c *conn) reusable(now time.Duration) bool { return !c.used || now-c.idleSince >= reuseDelay }
