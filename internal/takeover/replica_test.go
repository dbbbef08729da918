package takeover

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// An intent with invalid fields gets no reply.
func TestInvalidIntentIsIgnored(t *testing.T) {
	tests := map[string]Intent{
		"empty":                       {},
		"command too large":           {Work: Work{Key: "k", Command: [][]byte{make([]byte, MaxCommandBytes+1)}}},
		"negative remaining time":     {Work: Work{Key: "k"}, Remaining: -1},
		"remaining time too long":     {Work: Work{Key: "k"}, Remaining: time.Hour},
		"negative idempotency window": {Work: Work{Key: "k", IdempotencyWindow: -1}},
	}
	for name, intent := range tests {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(3)
			c := f.coordinators["n1"]
			c.Receive(f.now, "n0", 1, Message{Intent: &intent})
			c.Receive(f.now, "n0", 1, Message{})
			if outbox, _ := c.Drain(); len(outbox) != 0 {
				t.Errorf("messages: got %v, want none", outbox)
			}
		})
	}
}

// A store doesn't exceed its limits, and removes all records after their expiry.
func TestStoreBounds(t *testing.T) {
	f := newTestFleet(3)
	c := f.coordinators["n1"]
	const excess = 10
	for i := range maxRecords + excess {
		work := testWork()
		work.Key = fmt.Sprint(i)
		c.Receive(f.now, "n0", 1, Message{Intent: &Intent{
			Work:      work,
			Attempt:   uint64(i),
			Remaining: time.Second,
			Clock:     f.now,
			Replicas:  []string{"n1"},
		}})
	}
	if _, records, bytes := c.Pending(); records > maxRecords || bytes > maxRecordBytes {
		t.Fatalf("got %d records of %d bytes, want %d of %d at the most", records, bytes, maxRecords, maxRecordBytes)
	}
	if got := c.Counts().Replica.Full; got != excess {
		t.Fatalf("intents refused for lack of capacity: got %d, want %d", got, excess)
	}
	f.now += 3 * time.Second
	c.Tick(f.now)
	f.now += 11 * time.Second
	c.Tick(f.now)
	if _, records, bytes := c.Pending(); records != 0 || bytes != 0 {
		t.Fatalf("got %d records of %d bytes in the end, want none", records, bytes)
	}
}

// heapInUse returns the bytes of live objects.
func heapInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// The bytes that a store counts towards its limit are close to the memory that its
// records use.
func TestRecordMemoryEstimate(t *testing.T) {
	const count = 1000
	before := heapInUse()
	store := newReplicaStore("a", 1)
	for i := range count {
		id := fmt.Sprintf("%016x", i)
		intent := &Intent{
			Work: Work{
				Key:               fmt.Sprintf("customer/%016x", i),
				Class:             "publish",
				Plan:              "p",
				Tenant:            "customer",
				Units:             1,
				IdempotencyWindow: time.Second,
				Command:           [][]byte{[]byte("Q.DO"), []byte(id), []byte(id), make([]byte, 300)},
			},
			Attempt:   uint64(i),
			Scope:     Scope{Rack: 1},
			Remaining: time.Second,
			Clock:     time.Minute,
			Replicas:  []string{"a", "b", "c"},
		}
		if reply := store.handleIntent(time.Minute, "b", 1, intent); reply.Kind != ReplyGranted {
			t.Fatalf("got %v, want %v", reply.Kind, ReplyGranted)
		}
	}
	used := float64(heapInUse()-before) / count
	counted := float64(store.bytes) / count
	t.Logf("%.0f bytes a record, of which the store counts %.0f", used, counted)
	if used > 2*counted || used < 0.4*counted {
		t.Errorf("got %.0f bytes a record, want 0.4 to 2 times the counted %.0f", used, counted)
	}
	runtime.KeepAlive(store)
}
