package peers

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hitchspring/internal/gossip"
	"hitchspring/internal/swim"
)

func newTestSealer(t *testing.T) *Sealer {
	t.Helper()
	sealer, err := NewSealer([]string{testKey})
	if err != nil {
		t.Fatal(err)
	}
	return sealer
}

func mustMarshal(t *testing.T, v any) []byte {
	t.Helper()
	encoded, err := cbor.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// A fact of one instance reaches all others within 300 ms, and an instance that
// starts later has it within 30 ms. After a partition heals, all instances have
// the same facts.
func TestFactsSpread(t *testing.T) {
	n := newNetwork(t, 1)
	n.startMany(6)
	n.run(3 * time.Second)
	publish := func(i int, subject string) {
		n.engines[n.addrs[i]].Publish("node", subject, n.now, []byte(subject))
	}
	publish(3, "x")
	took, ok := n.runUntil(time.Second, func() bool {
		return n.converged() && n.engines["at-i0000"].Store().Len() == 1
	})
	if !ok || took > 300*time.Millisecond {
		t.Errorf("fact at all instances after %v, want 300ms at most", took)
	}
	late := n.startInstance("i0006", 200)
	took, ok = n.runUntil(2*time.Second, func() bool { return late.Store().Len() == 1 && late.Synced() })
	if !ok || took > 30*time.Millisecond {
		t.Errorf("new instance synced after %v, want 30ms at most, since clients connect soon", took)
	}
	west := func(addr string) bool { return addr < "at-i0003" }
	n.partitioned = func(from, to string) bool { return west(from) != west(to) }
	n.run(n.now + 5*time.Second)
	for i := range 7 {
		publish(i, fmt.Sprint("during the partition ", i))
	}
	n.run(n.now + time.Second)
	if n.converged() {
		t.Fatal("the partition has no effect")
	}
	n.partitioned = func(string, string) bool { return false }
	if took, ok := n.runUntil(4*time.Second, n.converged); !ok || took > 2*time.Second {
		t.Errorf("convergence after a partition: got %v, want 2s at most", took)
	}
	if got := late.Store().Len(); got != 8 {
		t.Fatalf("got %d facts, want 8", got)
	}
}

// corruptor returns a function that randomly truncates or damages a datagram,
// repeats it and replays an earlier one, or delivers an oversized one before it.
func corruptor(n *network) func(data []byte) [][]byte {
	var replayable [][]byte
	return func(data []byte) [][]byte {
		if len(replayable) < 500 {
			replayable = append(replayable, slices.Clone(data))
		}
		switch n.rng.IntN(10) {
		case 0:
			return [][]byte{data[:n.rng.IntN(len(data))]}
		case 1:
			damaged := slices.Clone(data)
			damaged[n.rng.IntN(len(damaged))] ^= 1
			return [][]byte{damaged, data}
		case 2:
			return [][]byte{data, data, replayable[n.rng.IntN(len(replayable))]}
		case 3:
			return [][]byte{make([]byte, 60000), data}
		}
		return [][]byte{data}
	}
}

// Corrupted datagrams and those of an incompatible later version are counted and
// have no effect on the state, and the instances continue to work.
func TestCorruptedDatagrams(t *testing.T) {
	n := newNetwork(t, 2)
	n.corrupt = corruptor(n)
	n.startMany(4)
	n.run(5 * time.Second)
	n.engines["at-i0002"].Publish("node", "x", n.now, []byte("x"))
	n.run(8 * time.Second)
	engine := n.engines["at-i0000"]
	if !n.converged() || engine.Store().Len() != 1 || n.errorCount < 50 {
		t.Fatalf("got %d facts and %d errors, want 1 and 50 or more", engine.Store().Len(), n.errorCount)
	}
	if engine.Membership().AliveCount() != 3 || engine.Counts().WrongKey == 0 {
		t.Fatalf("got %d members, %+v", engine.Membership().AliveCount(), engine.Counts())
	}
	sealer := newTestSealer(t)
	before := engine.Store().Checksum(n.now)
	announced := []gossip.Watermark{{Owner: "x", Incarnation: 1, Seq: 1}}
	ended := &swim.Message{Self: swim.Update{Name: "i0001", Addr: "at-i0001", Incarnation: 1}}
	for name, plain := range map[string][]byte{
		"empty":             nil,
		"truncated":         {0xff},
		"text":              []byte("nonsense"),
		"later version":     mustMarshal(t, payload{Version: 9, MinVersion: 9, Announcement: announced}),
		"no sender":         mustMarshal(t, payload{Version: 1, MinVersion: 1, Response: &factResponse{Nonce: 1}}),
		"ended incarnation": mustMarshal(t, payload{Version: 1, MinVersion: 1, Swim: ended, Announcement: announced}),
	} {
		t.Run(name, func(t *testing.T) {
			packets, _ := engine.Receive(n.now, sealer.Seal(plain))
			if len(packets) > 1 || engine.Store().Checksum(n.now) != before {
				t.Errorf("got %d packets, want 1 at most and no change", len(packets))
			}
		})
	}
	if engine.Counts().Newer != 1 || engine.Membership().Counts().EndedIncarnation == 0 {
		t.Fatalf("got %+v and %+v", engine.Counts(), engine.Membership().Counts())
	}
}

// Facts in a response without a pending request are not merged.
func TestUnsolicitedResponses(t *testing.T) {
	n := newNetwork(t, 3)
	a, b := n.startInstance("i0000", 1), n.startInstance("i0001", 2)
	n.run(2 * time.Second)
	b.Publish("node", "x", n.now, []byte("x"))
	deltas := b.Store().DeltasFor(n.now, a.Store().NextDigest(), 1000)
	sealer := newTestSealer(t)
	for nonce := range uint64(3) {
		plain := mustMarshal(t, payload{
			Version:    1,
			MinVersion: 1,
			Swim:       &swim.Message{Self: b.Membership().Self()},
			Response:   &factResponse{Nonce: nonce, Deltas: deltas},
		})
		if _, err := a.Receive(n.now, sealer.Seal(plain)); err != nil {
			t.Fatal(err)
		}
	}
	if a.Store().Len() != 0 || a.Counts().Unsolicited != 3 {
		t.Fatalf("got %d facts and %+v, want none and 3 unsolicited", a.Store().Len(), a.Counts())
	}
}

// The known fields of a datagram of the next version are read, and its unknown
// fields are ignored.
func TestNextVersion(t *testing.T) {
	n := newNetwork(t, 4)
	a, b := n.startInstance("i0000", 1), n.startInstance("i0001", 2)
	n.run(2 * time.Second)
	incarnation := b.Membership().Self().Incarnation
	self := map[int]any{1: "i0001", 2: "at-i0001", 3: "h", 4: incarnation, 5: 4, 77: "later"}
	next := map[int]any{1: 2, 2: 1, 3: map[int]any{1: 0, 2: self, 88: []int{1}}, 99: "new"}
	if _, err := a.Receive(n.now, newTestSealer(t).Seal(mustMarshal(t, next))); err != nil {
		t.Fatal(err)
	}
	if m, _ := a.Membership().Member("i0001"); m.Refutation != 4 {
		t.Fatalf("got %+v, want the refutation 4", m)
	}
}

// During a key rotation all instances can always read each other's datagrams. An
// instance with a different key finds no members.
func TestKeyRotation(t *testing.T) {
	n := newNetwork(t, 5)
	n.startMany(3)
	outsider := n.startInstance("i0003", 103, "some other key, as long")
	n.run(3 * time.Second)
	first := n.engines["at-i0000"]
	if outsider.Membership().AliveCount() != 0 || first.Membership().AliveCount() != 2 || first.Counts().WrongKey == 0 {
		t.Fatalf("got %d members with another key, %+v", outsider.Membership().AliveCount(), first.Counts())
	}
	n.engines["at-i0003"] = nil
	next := "the key that comes next"
	for _, keys := range [][]string{{testKey, next}, {next, testKey}, {next}} {
		for _, addr := range n.addrs[:3] {
			n.run(n.now + 300*time.Millisecond) // the instances change their keys one after another
			if err := n.engines[addr].sealer.Set(keys); err != nil {
				t.Fatal(err)
			}
		}
		n.run(n.now + 4*time.Second)
		for _, addr := range n.addrs[:3] {
			for _, m := range n.engines[addr].Membership().Members() {
				if m.State != swim.Alive || n.now-m.LastMessageAt > 3*time.Second {
					t.Errorf("keys %q, %s at %s: got %v, want alive", keys, m.Name, addr, m.State)
				}
			}
		}
	}
	requireKeyErrors(t)
}

// requireKeyErrors checks the errors for invalid key files.
func requireKeyErrors(t *testing.T) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "keys")
	for text, want := range map[string]string{
		"":                              "0 keys",
		"short\n":                       "key 1 has 5 bytes",
		strings.Repeat(testKey+"\n", 3): "3 keys",
		"# old\n" + testKey + "\n":      "",
	} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := ReadKeys(file)
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %q", text, err, want)
		}
	}
	if _, err := ReadKeys(file + "no"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("got %v, want %v", err, os.ErrNotExist)
	}
}

// The facts of an ended incarnation are dropped, and an instance that restarts
// without facts receives those of the others.
func TestRestartedEmpty(t *testing.T) {
	n := newNetwork(t, 6)
	n.startMany(4)
	n.run(2 * time.Second)
	for i, addr := range n.addrs {
		n.engines[addr].Publish("node", "x", n.now, []byte{byte(i)})
	}
	n.run(4 * time.Second)
	restarted := n.startInstance("i0002", 900)
	n.run(7 * time.Second)
	other := n.engines["at-i0000"]
	if restarted.Store().Len() != 3 || other.Store().Len() != 3 || !n.converged() {
		t.Fatalf("got %d facts after restart, %d elsewhere, want 3, 3", restarted.Store().Len(), other.Store().Len())
	}
}

// Half of 30 instances are killed within one second and restart during the
// following 10 s: the others remain one group, and all facts reach all instances.
func TestHalfKilled(t *testing.T) {
	n := newNetwork(t, 7)
	n.startMany(30)
	n.run(5 * time.Second)
	for i := range 15 {
		n.engines[n.addrs[2*i]] = nil
		n.run(n.now + 60*time.Millisecond)
	}
	survivor := n.engines["at-i0001"]
	survivor.Publish("node", "x", n.now, nil)
	n.run(n.now + 5*time.Second)
	if got := survivor.Membership().AliveCount(); got != 14 {
		t.Fatalf("got %d other members, want 14", got)
	}
	for i := range 15 {
		n.startInstance(fmt.Sprintf("i%04d", 2*i), uint64(1000+i))
		n.run(n.now + 300*time.Millisecond)
	}
	took, ok := n.runUntil(5*time.Second, func() bool {
		return n.allSee(29) && n.converged() && n.engines["at-i0028"].Store().Len() == 1
	})
	if !ok || took > 3*time.Second {
		t.Fatalf("group complete again after %v, want 3s at most", took)
	}
}

// The traffic that an instance sends hardly grows with the group size. The variable
// HITCHSPRING_SCALE sets the maximum group size, for the table in
// docs/design/peers.md.
func TestScale(t *testing.T) {
	sizes := []int{3, 30}
	if maxSize, _ := strconv.Atoi(os.Getenv("HITCHSPRING_SCALE")); maxSize > 0 { // 3,000 instances take minutes
		sizes = slices.DeleteFunc([]int{3, 30, 300, 3000}, func(n int) bool { return n > maxSize })
	}
	var bytesPerSecond []float64
	for _, size := range sizes {
		bytesPerSecond = append(bytesPerSecond, measureScale(t, size))
	}
	if bytesPerSecond[1] > 2*bytesPerSecond[0] {
		t.Errorf("got %.0f bytes/s sent by each of %d instances, want at most twice the %.0f of %d",
			bytesPerSecond[1], sizes[1], bytesPerSecond[0], sizes[0])
	}
}

// measureScale simulates a group of the given size, logs its join and propagation
// times, and returns the bytes per second that each instance sends.
func measureScale(t *testing.T, size int) float64 {
	t.Helper()
	n := newNetwork(t, 8)
	began := time.Now()
	n.startMany(size)
	joined, ok := n.runUntil(10*time.Minute, func() bool { return n.allSee(size - 1) })
	if !ok {
		t.Fatalf("%d instances have not joined one group", size)
	}
	// Wait until the rumors from the start are no longer sent.
	n.run(n.now + 5*time.Second + min(time.Duration(size)*100*time.Millisecond, time.Minute))
	for _, engine := range n.engines {
		engine.counts = Counts{}
	}
	n.run(n.now + 3*time.Second)
	bytes := 0
	for _, engine := range n.engines {
		bytes += engine.counts.BytesOut
	}
	n.engines["at-i0001"].Publish("node", "x", n.now, make([]byte, 40))
	spread, _ := n.runUntil(20*time.Second, func() bool {
		for _, engine := range n.engines {
			if engine.Store().Len() == 0 {
				return false
			}
		}
		return true
	})
	n.engines["at-i0002"] = nil
	dead, _ := n.runUntil(60*time.Second, func() bool { return n.allSee(size - 2) })
	perSecond := float64(bytes) / 3 / float64(size)
	t.Logf("%4d instances: joined after %v, %.0f bytes/s sent by each, fact at all instances after %v, "+
		"death known to all after %v (%v of real time)",
		size, joined, perSecond, spread, dead, time.Since(began).Round(time.Second))
	return perSecond
}
