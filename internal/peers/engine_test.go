package peers

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hitchspring/internal/gossip"
	"hitchspring/internal/swim"
)

const key = "a key that all of them have"

// network is instances on a network in virtual time.
type network struct {
	t           testing.TB
	rng         *rand.Rand
	now         time.Duration
	engines     map[string]*Engine
	addrs       []string
	queue       map[int64][]inFlight // by millisecond
	partitioned func(from, to string) bool
	corrupt     func(data []byte) [][]byte
	errorCount  int
	packets     int
}

type inFlight struct {
	from, to string
	data     []byte
}

func newNetwork(t testing.TB, seed uint64) *network {
	return &network{t: t, rng: rand.New(rand.NewPCG(seed, 3)), engines: map[string]*Engine{}, queue: map[int64][]inFlight{}, partitioned: func(string, string) bool { return false }}
}

func (n *network) startInstance(name string, life uint64, keys ...string) *Engine {
	if len(keys) == 0 {
		keys = []string{key}
	}
	s, err := NewSealer(keys)
	if err != nil {
		n.t.Fatal(err)
	}
	addr := "at-" + name
	if n.engines[addr] == nil {
		n.addrs = append(n.addrs, addr)
	}
	e := NewEngine(swim.Config{Name: name, Addr: addr, Zone: "h", Incarnation: life, Seeds: []string{"at-i0000", "at-i0001"}}, s, n.now, rand.New(rand.NewPCG(life, uint64(len(n.addrs)))))
	n.engines[addr] = e
	return e
}

func (n *network) deliver(from string, out []Packet) {
	for _, p := range out {
		if n.partitioned(from, p.Addr) {
			continue
		}
		list := [][]byte{p.Data}
		if n.corrupt != nil {
			list = n.corrupt(p.Data)
		}
		for _, data := range list {
			at := n.now.Milliseconds() + 1 + n.rng.Int64N(2)
			n.queue[at] = append(n.queue[at], inFlight{from, p.Addr, data})
		}
	}
}

// turn is what one instance does in a millisecond.
type turn struct {
	inbox [][]byte
	out   []Packet
	errs  int
}

// run plays until a time, a millisecond at a time. What the instances do in one is played side by side, and carried in their order: the same seed
// gives the same run.
func (n *network) run(until time.Duration) {
	turns := make([]turn, len(n.addrs))
	index := map[string]int{}
	for i, a := range n.addrs {
		index[a] = i
	}
	var wg sync.WaitGroup
	workers := min(runtime.GOMAXPROCS(0), 1+len(n.addrs)/50)
	for ; n.now < until; n.now += time.Millisecond {
		at := n.now.Milliseconds()
		for _, f := range n.queue[at] {
			if i, known := index[f.to]; known && n.engines[f.to] != nil {
				turns[i].inbox = append(turns[i].inbox, f.data)
			}
		}
		delete(n.queue, at)
		play := func(from, to int) {
			for i := from; i < to; i++ {
				e, x := n.engines[n.addrs[i]], &turns[i]
				x.out, x.errs = x.out[:0], 0
				if e == nil {
					continue
				}
				for _, data := range x.inbox {
					out, err := e.Receive(n.now, data)
					if x.out = append(x.out, out...); err != nil {
						x.errs++
					}
				}
				if e.NextTick() <= n.now {
					x.out = append(x.out, e.Tick(n.now)...)
				}
			}
		}
		if workers == 1 {
			play(0, len(turns))
		} else {
			for w := range workers {
				wg.Go(func() { play(w*len(turns)/workers, (w+1)*len(turns)/workers) })
			}
			wg.Wait()
		}
		for i, a := range n.addrs {
			x := &turns[i]
			n.packets += len(x.inbox)
			n.errorCount += x.errs
			n.deliver(a, x.out)
			x.inbox = x.inbox[:0]
		}
	}
}

func (n *network) converged() bool {
	first := true
	var sum uint64
	for _, a := range n.addrs {
		e := n.engines[a]
		if e == nil {
			continue
		}
		if s := e.Store().Checksum(n.now); first {
			sum, first = s, false
		} else if s != sum {
			return false
		}
	}
	return true
}

func (n *network) runUntil(most time.Duration, done func() bool) (took time.Duration, ok bool) {
	from := n.now
	for n.now < from+most {
		if done() {
			return n.now - from, true
		}
		n.run(n.now + 10*time.Millisecond)
	}
	return most, done()
}

// What one has seen all know within a moment, and a starter knows it as soon as it is there; a cut that heals leaves nothing behind.
func TestFactsSpread(t *testing.T) {
	n := newNetwork(t, 1)
	for i := range 6 {
		n.startInstance(fmt.Sprintf("i%04d", i), uint64(100+i))
	}
	n.run(3 * time.Second)
	tell := func(i int, what string) {
		n.engines[n.addrs[i]].Publish("node", what, n.now, []byte(what))
	}
	tell(3, "x")
	if took, ok := n.runUntil(time.Second, func() bool { return n.converged() && n.engines["at-i0000"].Store().Len() == 1 }); !ok || took > 300*time.Millisecond {
		t.Errorf("news needs %v", took)
	}
	late := n.startInstance("i0006", 200)
	if took, ok := n.runUntil(2*time.Second, func() bool { return late.Store().Len() == 1 && late.Synced() }); !ok || took > 30*time.Millisecond {
		t.Errorf("a starter needs %v: clients come to it sooner", took)
	}
	west := func(a string) bool { return a < "at-i0003" }
	n.partitioned = func(from, to string) bool { return west(from) != west(to) }
	n.run(n.now + 5*time.Second)
	for i := range 7 {
		tell(i, fmt.Sprint("during the cut ", i))
	}
	n.run(n.now + time.Second)
	if n.converged() {
		t.Fatal("the cut does nothing")
	}
	n.partitioned = func(string, string) bool { return false }
	if took, ok := n.runUntil(4*time.Second, n.converged); !ok || took > 2*time.Second {
		t.Errorf("after the cut they need %v", took)
	}
	if late.Store().Len() != 8 {
		t.Fatal(late.Store().Len())
	}
}

// Datagrams that are torn, forged, repeated, old, of a later version or far too large: what can't be opened is counted and does
// nothing, and the instances go on.
func TestSpoiltDatagrams(t *testing.T) {
	n := newNetwork(t, 2)
	var kept [][]byte
	n.corrupt = func(data []byte) [][]byte {
		if len(kept) < 500 {
			kept = append(kept, slices.Clone(data))
		}
		switch n.rng.IntN(10) {
		case 0:
			return [][]byte{data[:n.rng.IntN(len(data))]}
		case 1:
			b := slices.Clone(data)
			b[n.rng.IntN(len(b))] ^= 1
			return [][]byte{b, data}
		case 2:
			return [][]byte{data, data, kept[n.rng.IntN(len(kept))]}
		case 3:
			return [][]byte{make([]byte, 60000), data}
		}
		return [][]byte{data}
	}
	for i := range 4 {
		n.startInstance(fmt.Sprintf("i%04d", i), uint64(100+i))
	}
	n.run(5 * time.Second)
	n.engines["at-i0002"].Publish("node", "x", n.now, []byte("x"))
	n.run(8 * time.Second)
	if !n.converged() || n.engines["at-i0000"].Store().Len() != 1 || n.errorCount < 50 {
		t.Fatal(n.engines["at-i0000"].Store().Len(), n.errorCount)
	}
	e := n.engines["at-i0000"]
	if e.Membership().AliveCount() != 3 || e.Counts().WrongKey == 0 {
		t.Fatal(e.Membership().AliveCount(), e.Counts())
	}
	s, _ := NewSealer([]string{key})
	before := e.Store().Checksum(n.now)
	for _, plain := range [][]byte{
		nil,
		{0xff},
		[]byte("nonsense"), mustMarshal(payload{Version: 9, MinVersion: 9, Announcement: []gossip.Watermark{{Owner: "x", Incarnation: 1, Seq: 1}}}), mustMarshal(payload{Version: 1, MinVersion: 1, Response: &factResponse{Nonce: 1}}),
		mustMarshal(payload{Version: 1, MinVersion: 1, Swim: &swim.Message{Self: swim.Update{Name: "i0001", Addr: "at-i0001", Incarnation: 1}}, Announcement: []gossip.Watermark{{Owner: "x", Incarnation: 1, Seq: 1}}}),
	} {
		if out, _ := e.Receive(n.now, s.Seal(plain)); len(out) > 1 || e.Store().Checksum(n.now) != before {
			t.Errorf("%q: %d answers", plain, len(out))
		}
	}
	if e.Counts().Newer != 1 || e.Membership().Counts().EndedIncarnation == 0 {
		t.Fatal(e.Counts(), e.Membership().Counts())
	}
}

func mustMarshal(p any) []byte {
	b, err := cbor.Marshal(p)
	if err != nil {
		panic(err)
	}
	return b
}

// Facts in an answer that nobody asked for, or that came from another than was asked, are not taken.
func TestUnasked(t *testing.T) {
	n := newNetwork(t, 3)
	a, b := n.startInstance("i0000", 1), n.startInstance("i0001", 2)
	n.run(2 * time.Second)
	b.Publish("node", "x", n.now, []byte("x"))
	shares := b.Store().DeltasFor(n.now, a.Store().NextDigest(), 1000)
	s, _ := NewSealer([]string{key})
	for nonce := range uint64(3) {
		if _, err := a.Receive(n.now, s.Seal(mustMarshal(payload{Version: 1, MinVersion: 1, Swim: &swim.Message{Self: b.Membership().Self()}, Response: &factResponse{Nonce: nonce, Deltas: shares}}))); err != nil {
			t.Fatal(err)
		}
	}
	if a.Store().Len() != 0 || a.Counts().Unsolicited != 3 {
		t.Fatal(a.Store().Len(), a.Counts())
	}
}

// A message of the next version, with fields that this one doesn't know, is read for what it knows.
func TestNextVersion(t *testing.T) {
	n := newNetwork(t, 4)
	a, b := n.startInstance("i0000", 1), n.startInstance("i0001", 2)
	n.run(2 * time.Second)
	next := map[int]any{1: 2, 2: 1, 3: map[int]any{1: 0, 2: map[int]any{1: "i0001", 2: "at-i0001", 3: "h", 4: b.Membership().Self().Incarnation, 5: 4, 77: "later"}, 88: []int{1}}, 99: "new"}
	s, _ := NewSealer([]string{key})
	if _, err := a.Receive(n.now, s.Seal(mustMarshal(next))); err != nil {
		t.Fatal(err)
	}
	if m, _ := a.Membership().Member("i0001"); m.Refutation != 4 {
		t.Fatal(m)
	}
}

// Keys change with no moment at which two instances don't understand each other; one with another key finds no member.
func TestKeys(t *testing.T) {
	n := newNetwork(t, 5)
	for i := range 3 {
		n.startInstance(fmt.Sprintf("i%04d", i), uint64(100+i))
	}
	stranger := n.startInstance("i0003", 103, "some other key, as long")
	n.run(3 * time.Second)
	if stranger.Membership().AliveCount() != 0 || n.engines["at-i0000"].Membership().AliveCount() != 2 || n.engines["at-i0000"].Counts().WrongKey == 0 {
		t.Fatal(stranger.Membership().AliveCount(), n.engines["at-i0000"].Counts())
	}
	n.engines["at-i0003"] = nil
	next := "the key that comes next"
	for _, keys := range [][]string{{key, next}, {next, key}, {next}} {
		for i := range 3 {
			n.run(n.now + 300*time.Millisecond) // one after the other
			if err := n.engines[n.addrs[i]].sealer.Set(keys); err != nil {
				t.Fatal(err)
			}
		}
		n.run(n.now + 4*time.Second)
		for i := range 3 {
			for _, m := range n.engines[n.addrs[i]].Membership().Members() {
				if m.State != swim.Alive || n.now-m.HeardAt > 3*time.Second {
					t.Errorf("with %q %s holds %s to be %v", keys, n.addrs[i], m.Name, m.State)
				}
			}
		}
	}
	file := t.TempDir() + "/keys"
	for text, want := range map[string]string{"": "0 keys", "short\n": "key 1 has 5 letters", key + "\n" + key + "\n" + key + "\n": "3 keys", "# old\n" + key + "\n": ""} {
		os.WriteFile(file, []byte(text), 0o600)
		if _, err := ReadKeys(file); (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
	if _, err := ReadKeys(file + "no"); !errors.Is(err, os.ErrNotExist) {
		t.Error(err)
	}
}

// A name that restarts with nothing is asked nothing of its former life, and hears what the others know.
func TestRestartedEmpty(t *testing.T) {
	n := newNetwork(t, 6)
	for i := range 4 {
		n.startInstance(fmt.Sprintf("i%04d", i), uint64(100+i))
	}
	n.run(2 * time.Second)
	for i := range 4 {
		n.engines[n.addrs[i]].Publish("node", "x", n.now, []byte{byte(i)})
	}
	n.run(4 * time.Second)
	again := n.startInstance("i0002", 900)
	n.run(7 * time.Second)
	if again.Store().Len() != 3 || n.engines["at-i0000"].Store().Len() != 3 || !n.converged() {
		t.Fatal(again.Store().Len(), n.engines["at-i0000"].Store().Len())
	}
}

// Half of thirty are killed in one second and all come back within ten: the rest hold together, and all know all.
func TestHalfKilled(t *testing.T) {
	n := newNetwork(t, 7)
	for i := range 30 {
		n.startInstance(fmt.Sprintf("i%04d", i), uint64(100+i))
	}
	n.run(5 * time.Second)
	for i := range 15 {
		n.engines[n.addrs[2*i]] = nil
		n.run(n.now + 60*time.Millisecond)
	}
	n.engines["at-i0001"].Publish("node", "x", n.now, nil)
	n.run(n.now + 5*time.Second)
	if alive := n.engines["at-i0001"].Membership().AliveCount(); alive != 14 {
		t.Fatalf("%d of 14 are left", alive)
	}
	for i := range 15 {
		n.startInstance(fmt.Sprintf("i%04d", 2*i), uint64(1000+i))
		n.run(n.now + 300*time.Millisecond)
	}
	if took, ok := n.runUntil(5*time.Second, func() bool {
		for _, a := range n.addrs {
			if n.engines[a].Membership().AliveCount() != 29 {
				return false
			}
		}
		return n.converged() && n.engines["at-i0028"].Store().Len() == 1
	}); !ok || took > 3*time.Second {
		t.Fatalf("%v", took)
	}
}

// Scale is what one instance costs among so many, in virtual time with the real deciders.
func TestScale(t *testing.T) {
	sizes := []int{3, 30}
	if most, _ := strconv.Atoi(os.Getenv("HITCHSPRING_SCALE")); most > 0 { // the table of docs/design/peers.md: minutes, at 3,000 many
		sizes = slices.DeleteFunc([]int{3, 30, 300, 3000}, func(n int) bool { return n > most })
	}
	var each []float64
	for _, size := range sizes {
		n := newNetwork(t, 8)
		began := time.Now()
		for i := range size {
			n.startInstance(fmt.Sprintf("i%04d", i), uint64(100+i))
		}
		joined, ok := n.runUntil(10*time.Minute, func() bool {
			for _, a := range n.addrs {
				if n.engines[a].Membership().AliveCount() != size-1 {
					return false
				}
			}
			return true
		})
		if !ok {
			t.Fatalf("%d: they have not found one another", size)
		}
		n.run(n.now + 5*time.Second + min(time.Duration(size)*100*time.Millisecond, time.Minute)) // the rumours of the start have ended
		bytes := 0
		for _, e := range n.engines {
			e.counts = Counts{}
		}
		n.run(n.now + 3*time.Second)
		for _, e := range n.engines {
			bytes += e.counts.BytesOut
		}
		n.engines["at-i0001"].Publish("node", "x", n.now, make([]byte, 40))
		news, _ := n.runUntil(20*time.Second, func() bool {
			for _, e := range n.engines {
				if e.Store().Len() == 0 {
					return false
				}
			}
			return true
		})
		n.engines["at-i0002"] = nil
		dead, _ := n.runUntil(60*time.Second, func() bool {
			for _, a := range n.addrs {
				if e := n.engines[a]; e != nil && e.Membership().AliveCount() != size-2 {
					return false
				}
			}
			return true
		})
		each = append(each, float64(bytes)/3/float64(size))
		t.Logf("%4d instances: joined after %v, %.0f bytes a second sent by each, news at all after %v, a death at all after %v (%v of real time)", size, joined, each[len(each)-1], news, dead,
			time.Since(began).Round(time.Second))
	}
	if each[1] > 2*each[0] {
		t.Errorf("%.0f bytes a second each among %d, %.0f among %d", each[0], sizes[0], each[1], sizes[1])
	}
}
