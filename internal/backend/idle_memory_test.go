package backend

import (
	"net"
	"runtime"
	"testing"
	"time"
	"weak"

	"hitchspring/internal/standin/scripted"
	"hitchspring/policy"
)

// longCommand is a command with a body.
type longCommand struct{ body []byte }

func (*longCommand) Encode(time.Duration) [][]byte { return [][]byte{[]byte("*1\r\n$4\r\nNONE\r\n")} }

// startLongCommand starts an attempt with a body of 4 MiB at backend s0.
func startLongCommand(owner *testOwner) (*Attempt, weak.Pointer[longCommand]) {
	command := &longCommand{make([]byte, 4<<20)}
	attempt := &Attempt{Command: command, Deadline: owner.now + time.Minute}
	owner.pool.Start(attempt, "s0")
	return attempt, weak.Make(command)
}

// Guards against an instance that goes over its memory limit because each idle connection keeps the body of its last
// request in memory.
func TestIdleConnectionKeepsNoCommand(t *testing.T) {
	server := scripted.NewBackend(t, func(int, []string, net.Conn) string { return served })
	owner := newOwner(t, server.Addr)
	attempt, command := startLongCommand(owner)
	for !attempt.Ended() {
		owner.pool.Handle(<-owner.events)
	}
	if idle := len(owner.pool.backends["s0"].idle); idle != 1 || owner.ends[0].outcome != policy.Succeeded {
		t.Fatalf("%d connections are idle after %v, want one after a reply", idle, owner.ends)
	}
	for range 100 { // the connection's writer may still be about to wait for its next command
		runtime.GC()
		if command.Value() == nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Error("the command of an attempt that has ended is still in memory, and its connection is idle")
}
