package backend

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"hitchspring/internal/resp"
	"hitchspring/internal/standin/scripted"
	"hitchspring/policy"
)

// Guards against a long value that is cut off while its client still waits: after a pause of 250 ms past the end of the
// attempt's own time, which is shorter than the client's where another attempt may follow.
func TestLargeValueMayPauseWhileItsClientWaits(t *testing.T) {
	const (
		size  = resp.MaxValueBytes + 10_000
		pause = 2*overdueStallTimeout + 100*time.Millisecond
	)
	reply := fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", size, strings.Repeat("v", size))
	server := scripted.NewBackend(t, func(_ int, _ []string, nc net.Conn) string {
		io.WriteString(nc, reply[:size/2])
		time.Sleep(pause)
		return reply[size/2:]
	})
	owner := newOwner(t, server.Addr)
	attempt := &Attempt{
		Command:        noCommand{},
		Deadline:       owner.now + overdueStallTimeout/2,
		ClientDeadline: owner.now + 10*time.Second,
	}
	owner.pool.Start(attempt, "s0")
	read := make(chan error, 1)
	for len(owner.ends) == 0 {
		owner.pool.Handle(<-owner.events)
		if len(owner.streams) == 1 {
			go drainStream(owner.streams[0], read)
			owner.streams = append(owner.streams, nil)
		}
	}
	if owner.ends[0].outcome != policy.Succeeded {
		t.Errorf("the attempt ended as %v, want %v", owner.ends[0].outcome, policy.Succeeded)
	}
	if err := <-read; err != nil {
		t.Errorf("the value ended with %v", err)
	}
}

// The stall limit of a large value is streamStallTimeout, but never reaches further than overdueStallTimeout past the
// time of its client.
func TestStreamDeadline(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		clientDeadline time.Time
		want           time.Duration
	}{
		"no client":                {time.Time{}, streamStallTimeout},
		"the client waits long":    {now.Add(time.Minute), streamStallTimeout},
		"the client waits shortly": {now.Add(time.Second), time.Second + overdueStallTimeout},
		"its time is up":           {now.Add(-time.Second), overdueStallTimeout},
	} {
		if got := streamDeadline(now, c.clientDeadline).Sub(now); got != c.want {
			t.Errorf("%s: a stall may last %v, want %v", name, got, c.want)
		}
	}
}
