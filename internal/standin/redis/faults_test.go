package redis

import (
	"io"
	"net"
	"testing"
	"time"

	goredis "github.com/redis/go-redis/v9"

	"hitchspring/internal/standin/fault"
)

// faultCase is the expected effect of a fault: whether the client sees an error, and whether the command is applied.
type faultCase struct{ fails, applied bool }

// Each fault kind has its documented effect on a third-party client.
func TestFaults(t *testing.T) {
	for kind, c := range map[fault.Kind]faultCase{
		fault.Delay:      {false, true},
		fault.Hold:       {false, true},
		fault.Ignore:     {true, false},
		fault.Swallow:    {true, true},
		fault.Late:       {true, true},
		fault.DropBefore: {true, false},
		fault.DropAfter:  {true, true},
		fault.Cut:        {true, true},
		fault.Fail:       {true, false},
		fault.Repeat:     {false, true},
	} {
		t.Run(string(kind), func(t *testing.T) { checkFault(t, kind, c) })
	}
}

// checkFault checks the effect of a fault on one INCR.
func checkFault(t *testing.T, kind fault.Kind, c faultCase) {
	t.Helper()
	s := startServer(t, Options{})
	client := goredis.NewClient(&goredis.Options{
		Addr: s.Addr(), MaxRetries: -1, ReadTimeout: 500 * time.Millisecond,
	})
	defer client.Close()
	s.Fault(fault.Rule{Kind: kind, CallName: "INCR", MaxHits: 1, DelayTime: 50 * time.Millisecond, Text: "ERR no"})
	if err := client.Incr(t.Context(), "n").Err(); (err != nil) != c.fails {
		t.Fatalf("INCR: got error %v, want one: %v", err, c.fails)
	}
	if rec := awaitFaultRecord(s); rec.Fault != kind || rec.Applied != c.applied {
		t.Fatalf("record: got %+v, want applied %v", rec, c.applied)
	}
	if n, _ := client.Get(t.Context(), "n").Int(); (n == 1) != c.applied {
		t.Fatalf("n: got %d, want it applied: %v", n, c.applied)
	}
}

// awaitFaultRecord waits up to 10 seconds for a record with a fault and returns the last one, or the zero Record.
func awaitFaultRecord(s *Server) (found Record) {
	for end := time.Now().Add(10 * time.Second); found.Fault == "" && time.Now().Before(end); {
		for _, rec := range s.Records() {
			if rec.Fault != "" {
				found = rec
			}
		}
	}
	return found
}

// The server's states (out of memory, read-only, loading, connection limit, idle timeout, restart) have their
// documented effect on go-redis.
func TestStates(t *testing.T) {
	ctx := t.Context()
	s := startServer(t, Options{IdleTimeout: 300 * time.Millisecond})
	c := goredis.NewClient(&goredis.Options{Addr: s.Addr(), MaxRetries: -1, PoolSize: 1})
	defer c.Close()
	checkSet(t, "at first", c, "")
	s.SetOutOfMemory(true)
	checkSet(t, "full", c, "OOM")
	s.SetOutOfMemory(false)
	s.SetReadOnly(true)
	checkSet(t, "read only", c, "READONLY")
	s.SetReadOnly(false)
	s.SetLoading(time.Hour)
	checkSet(t, "loading", c, "LOADING")
	s.SetLoading(0)
	checkSet(t, "again", c, "")
	s.MaxClients(1)
	nc, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(20 * time.Second))
	if text, err := io.ReadAll(nc); string(text) != "-ERR max number of clients reached\r\n" {
		t.Fatal(string(text), err)
	}
	for end := time.Now().Add(10 * time.Second); s.Clients() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("idle connection was not closed")
		}
	}
	s.Restart(0)
	if n := goredis.NewClient(&goredis.Options{Addr: s.Addr()}).DBSize(ctx).Val(); n != 0 {
		t.Fatalf("%d keys after a restart", n)
	}
}
