package escrow

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// world is instances with clocks of their own, and messages on their way.
type cluster struct {
	now          time.Duration
	rates        []float64 // of their clocks
	startedAt    []time.Duration
	allocators   []*Allocator // nil: it is down
	incarnations []uint64
	wanted       []float64
	counterLost  []bool
	network      []packet
	peak         float64
}

type packet struct {
	from    Member
	to      string
	message Message
}

const instances = 3

func newCluster(rates ...float64) *cluster {
	w := &cluster{now: time.Hour, rates: rates, wanted: make([]float64, instances), counterLost: make([]bool, instances), allocators: make([]*Allocator, instances), incarnations: make([]uint64, instances), startedAt: make([]time.Duration, instances)}
	for i := range instances {
		w.start(i)
	}
	return w
}

// clock is an instance's own time: as many hours as others', and running wrong.
func (w *cluster) clock(i int) time.Duration {
	return time.Duration(i)*time.Hour + time.Duration(float64(w.now)*w.rates[i])
}

func (w *cluster) start(i int) {
	w.incarnations[i]++
	w.allocators[i] = New(i, instances, w.clock(i), rand.New(rand.NewPCG(uint64(i), w.incarnations[i])))
}

func (w *cluster) name(i int) string { return string(rune('a' + i)) }

func (w *cluster) tick(i int) {
	if w.allocators[i] == nil {
		return
	}
	var members []Member
	for j := range instances {
		if j != i {
			members = append(members, Member{w.name(j), w.incarnations[j]})
		}
	}
	needs := []Need{{Key: "k", Spread: instances, WantedShare: w.wanted[i], CounterLost: w.counterLost[i]}}
	for _, s := range w.allocators[i].Tick(w.clock(i), needs, members) {
		w.network = append(w.network, packet{Member{w.name(i), w.incarnations[i]}, s.To, s.Message})
	}
}

// deliver brings a message; it stays on its way where it is to come twice.
func (w *cluster) deliver(n int, again bool) {
	f := w.network[n]
	if !again {
		w.network = append(w.network[:n:n], w.network[n+1:]...)
	}
	i := int(f.to[0] - 'a')
	if w.allocators[i] == nil {
		return
	}
	for _, s := range w.allocators[i].Receive(w.clock(i), f.from, f.message) {
		w.network = append(w.network, packet{Member{w.name(i), w.incarnations[i]}, s.To, s.Message})
	}
}

func (w *cluster) deliverAll() {
	for n := 0; len(w.network) > 0 && n < 1000; n++ {
		w.deliver(0, false)
	}
}

// sum is what all hold together of the budget.
func (w *cluster) totalShare() (sum float64) {
	for i, b := range w.allocators {
		if b == nil {
			continue
		}
		p, known := b.Allocations(w.clock(i))["k"]
		if !known {
			p.Share = b.DefaultShare(w.clock(i)) / instances
		}
		sum += p.Share
	}
	w.peak = max(w.peak, sum)
	return sum
}

func (w *cluster) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += 50 * ms {
		for i := range w.allocators {
			w.tick(i)
		}
		w.deliverAll()
	}
}

func (w *cluster) share(i int) float64 { return w.allocators[i].Allocations(w.clock(i))["k"].Share }

// What is asked for at one way comes there within a second, and goes back when the others need it; a way that wakes up has a floor at once.
func TestSharesFollowNeed(t *testing.T) {
	w := newCluster(1, 1, 1)
	w.run(1500 * ms)
	w.wanted = []float64{1, 0, 0}
	w.run(time.Second)
	if got := w.share(0); got < 0.8 {
		t.Errorf("the only one that needs it holds %.2f after a second", got)
	}
	if got := w.share(1); got < 0.08 || got > 0.1 {
		t.Errorf("one that sleeps holds %.2f, a quarter of a third is its floor", got)
	}
	w.wanted = []float64{1, 1, 1}
	w.run(1200 * ms)
	for i := range instances {
		if got := w.share(i); math.Abs(got-1.0/3) > 0.01 {
			t.Errorf("all need it, and %d holds %.2f", i, got)
		}
	}
	w.wanted = []float64{0.2, 0.9, 0.05}
	w.run(1500 * ms)
	if got := w.share(1); got < 0.6 {
		t.Errorf("it moved, and 1 holds %.2f", got)
	}
	if w.totalShare() > 1+1e-9 {
		t.Error(w.totalShare())
	}
}

// Instances that start together, or one beside others that hold nothing of it, need not wait for loans that there are not.
func TestStartWithoutEarlierTransfers(t *testing.T) {
	w := newCluster(1, 1, 1)
	w.run(200 * ms)
	for i := range instances {
		if got := w.share(i); math.Abs(got-1.0/3) > 1e-9 {
			t.Errorf("%d holds %.2f, 200 ms after all began", i, got)
		}
	}
	w.run(2 * time.Second)
	w.start(1)
	w.run(200 * ms)
	if got := w.share(1); math.Abs(got-1.0/3) > 1e-9 {
		t.Errorf("a starter of whom nobody holds anything holds %.2f after 200 ms", got)
	}
	w.wanted = []float64{1, 0, 0}
	w.run(time.Second)
	w.start(1)
	w.run(200 * ms)
	if got := w.share(1); got > 0.1 {
		t.Errorf("a starter that has lent most of its part holds %.2f after 200 ms", got)
	}
}

// A holder of half of the rights that is killed, stopped for long or started anew: nothing is held twice, and its part is back with its lender
// within a lease.
func TestHolderIsLost(t *testing.T) {
	for name, lose := range map[string]func(w *cluster){
		"killed":            func(w *cluster) { w.allocators[0] = nil },
		"restarted":         func(w *cluster) { w.start(0) },
		"restarted twice":   func(w *cluster) { w.start(0); w.run(400 * ms); w.start(0) },
		"the lender starts": func(w *cluster) { w.start(1) },
		"both start":        func(w *cluster) { w.start(0); w.start(1) },
		"stopped and woken": func(w *cluster) {
			b := w.allocators[0]
			w.allocators[0] = nil
			w.run(5 * time.Second)
			w.allocators[0] = b
		},
		"the lender stopped": func(w *cluster) {
			b := w.allocators[1]
			w.allocators[1] = nil
			w.run(5 * time.Second)
			w.allocators[1] = b
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newCluster(1, 1, 1)
			w.run(1500 * ms)
			w.wanted = []float64{1, 0, 0}
			w.run(time.Second)
			w.wanted = []float64{1, 1, 1}
			lose(w)
			for range 60 {
				if got := w.totalShare(); got > 1+1e-9 {
					t.Fatalf("they hold %.3f together", got)
				}
				w.run(50 * ms)
			}
			for i := range instances {
				if w.allocators[i] != nil && w.share(i) < 1.0/3-1e-9 {
					t.Errorf("%d holds %.2f after three seconds", i, w.share(i))
				}
			}
		})
	}
}

// Whatever is lost, late, doubled or out of order, whoever dies, stops or starts anew, with clocks that are hours apart and run up to a tenth
// wrong: all hold no more than the budget.
func TestSharesNeverExceedBudget(t *testing.T) {
	moved := 0
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.91, 1.09)
		w := newCluster(rate.Draw(t, "a"), rate.Draw(t, "b"), rate.Draw(t, "c"))
		if rapid.Bool().Draw(t, "warm") {
			w.run(1500 * ms)
		}
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			i := rapid.IntRange(0, instances-1).Draw(t, "who")
			switch what := rapid.IntRange(0, 11).Draw(t, "what"); {
			case what < 3:
				w.tick(i)
			case what < 7 && len(w.network) > 0:
				w.deliver(rapid.IntRange(0, len(w.network)-1).Draw(t, "message"), rapid.IntRange(0, 4).Draw(t, "twice") == 0)
			case what == 7 && len(w.network) > 0:
				n := rapid.IntRange(0, len(w.network)-1).Draw(t, "lost")
				w.network = append(w.network[:n:n], w.network[n+1:]...)
			case what == 8:
				w.wanted[i] = []float64{0, 0.1, 0.5, 1}[rapid.IntRange(0, 3).Draw(t, "want")]
			case what == 9 && rapid.IntRange(0, 3).Draw(t, "die") == 0:
				w.start(i)
			default:
				w.now += time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * ms
			}
			if got := w.totalShare(); got > 1+1e-9 {
				t.Fatalf("they hold %.4f together", got)
			}
		}
		for i, b := range w.allocators {
			if b.Counts().Received > 0 && w.incarnations[i] > 0 {
				moved++
				break
			}
		}
	})
	if moved == 0 {
		t.Error("nothing was lent in any run")
	}
}

// copied is the world as it stands, to be gone on with in another way.
func (w *cluster) clone() *cluster {
	c := *w
	c.allocators, c.incarnations, c.wanted, c.network = slices.Clone(w.allocators), slices.Clone(w.incarnations), slices.Clone(w.wanted), slices.Clone(w.network)
	for i, b := range w.allocators {
		x := *b
		x.rng = rand.New(rand.NewPCG(uint64(i), uint64(w.now)))
		x.accounts, x.peers, x.peerNumbers, x.nextHelloAt = map[string]*account{}, map[int]*peer{}, maps.Clone(b.peerNumbers), maps.Clone(b.nextHelloAt)
		for k, e := range b.accounts {
			y := *e
			y.transferredOut, y.received = slices.Clone(e.transferredOut), slices.Clone(e.received)
			x.accounts[k] = &y
		}
		for k, f := range b.peers {
			y := *f
			y.usages = maps.Clone(f.usages)
			x.peers[k] = &y
		}
		c.allocators[i] = &x
	}
	return &c
}

// Explored whole to a depth: two ways that want and one that lends, every order of ticks, of messages that come, come twice or are lost, of time,
// and of starts anew. HITCHSPRING_EXPLORE goes deeper.
func TestExploreOrders(t *testing.T) {
	deep, _ := strconv.Atoi(os.Getenv("HITCHSPRING_EXPLORE"))
	deep = min(max(deep, 5), 8)
	states, lent := 0, 0
	var walk func(w *cluster, path []int)
	walk = func(w *cluster, path []int) {
		states++
		if got := w.totalShare(); got > 1+1e-9 {
			t.Fatalf("%v: they hold %.4f together", path, got)
		}
		for _, b := range w.allocators {
			if b.Counts().Received > 0 {
				lent++
				break
			}
		}
		if len(path) == deep {
			return
		}
		for p := range 6 + 2*len(w.network) {
			x, n := w.clone(), len(w.network)
			switch {
			case p < 2:
				x.tick(p)
			case p == 2:
				x.now += 300 * ms
			case p == 3:
				x.now += 900 * ms
			case p == 4:
				x.start(2)
			case p == 5:
				x.start(0)
			case p-6 < n:
				x.deliver(p-6, false)
			default:
				x.deliver(p-6-n, true)
			}
			if len(x.network) > 3 { // few at a time, the oldest are lost
				x.network = x.network[len(x.network)-3:]
			}
			walk(x, append(path[:len(path):len(path)], p))
		}
	}
	w := newCluster(1, 1.09, 0.91)
	w.run(1100 * ms)
	w.wanted = []float64{1, 0.9, 0}
	w.network = nil
	walk(w, nil)
	t.Logf("%d orders of up to %d steps, with a loan in %d", states, deep, lent)
	if lent == 0 {
		t.Error("no loan in any order")
	}
}

// What is spent unheard: as much as one says that is alone; of one that is not heard itself what it wanted, but for what the totals show.
func TestUnreportedShare(t *testing.T) {
	for name, c := range map[string]struct {
		alone  bool
		quiet  time.Duration
		others float64
		gone   bool
		want   float64
	}{
		"it hears the counter":                 {false, 0, 0.3, false, 0},
		"it is alone":                          {true, 0, 0, false, 1.0 / 3},
		"it is not heard, and nothing shows":   {false, 2 * time.Second, 0, false, 1.0 / 3},
		"it is not heard, and its adds show":   {false, 2 * time.Second, 0.4, false, 0},
		"it is not heard for very long":        {false, 2 * time.Minute, 0, false, 0},
		"it has ended":                         {true, 2 * time.Second, 0, true, 0},
		"it was alone and is not heard anyway": {true, 2 * time.Second, 0, false, 1.0 / 3},
	} {
		b := New(0, instances, time.Hour, rand.New(rand.NewPCG(1, 1)))
		now := time.Hour + 2*time.Second
		use := Usage{Key: "k", Share: 1.0 / 3, WantedShare: 1, ForwardedShare: 0.3, CounterLost: c.alone}
		b.Receive(now, Member{"b", 1}, Message{Sender: 1, Instances: instances, Usages: []Usage{use}})
		now += c.quiet
		if c.gone {
			b.PeerEnded("b", 1)
		}
		b.Tick(now, []Need{{Key: "k", Spread: instances, WantedShare: 1, OthersShare: c.others}}, []Member{{"b", 1}})
		if got := b.Allocations(now)["k"].Unreported; math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: %.3f, want %.3f", name, got, c.want)
		}
	}
}

// What no instance of the fleet can mean changes nothing.
func TestInvalidMessagesAreIgnored(t *testing.T) {
	w := newCluster(1, 1, 1)
	w.run(1500 * ms)
	b := w.allocators[0]
	book := w.allocators[1].nonce
	from := Member{"b", w.incarnations[1]}
	before := fmt.Sprint(b.Allocations(w.clock(0)))
	ask := func(a TransferRequest) Message {
		return Message{Sender: 1, Instances: instances, Requests: []TransferRequest{a}}
	}
	for i, m := range []Message{
		{Sender: 0, Instances: instances},
		{Sender: 7, Instances: instances},
		{Sender: -1, Instances: instances},
		{Sender: 1, Instances: 4},
		{Sender: 1, Instances: instances, Usages: []Usage{{Key: "k", Share: math.NaN()}, {Key: "k", Share: -1}, {Key: "k", WantedShare: 1e300}}},
		ask(TransferRequest{Key: "k", Spread: instances, Transfer: 1, Sequence: 1, Share: math.NaN()}), ask(TransferRequest{Key: "k", Spread: instances, Transfer: 1, Sequence: 1, Share: -1}), ask(TransferRequest{Key: "k", Spread: instances, Transfer: 1, Sequence: 1, Share: 2}),
		ask(TransferRequest{Key: "k", Spread: -3, Transfer: 1, Sequence: 1, Share: 0.1}), ask(TransferRequest{Key: "k", Spread: 2, First: -1, Transfer: 1, Sequence: 1, Share: 0.1}),
		ask(TransferRequest{Key: "k", Spread: 2, First: 0, Transfer: 1, Sequence: 1, Share: 0.1}), // another set of ways
		ask(TransferRequest{Key: "", Spread: instances, Transfer: 1, Sequence: 1, Share: 0.1}),
		{Sender: 1, Instances: instances, Grants: []TransferGrant{{Key: "k", Transfer: 99, Sequence: 1, Share: 0.3}, {Key: "none", Transfer: 1, Sequence: 1, Share: 0.3}, {Key: "k", Transfer: 1, Sequence: 1, Share: math.Inf(1)}}},
	} {
		m.SenderNonce = book
		b.Receive(w.clock(0), from, m)
		if got := fmt.Sprint(b.Allocations(w.clock(0))); got != before {
			t.Errorf("message %d: %s, before %s", i, got, before)
		}
	}
	if b.Receive(w.clock(0), Member{"z", 1}, Message{Sender: 1, Instances: instances}); b.Counts().Conflicts != 1 {
		t.Errorf("another with the number of one that is heard: %+v", b.Counts())
	}
	if b.Receive(w.clock(0), Member{"b", 0}, ask(TransferRequest{Key: "k", Spread: instances, Transfer: 5, Sequence: 1, Share: 0.1})); fmt.Sprint(b.Allocations(w.clock(0))) != before {
		t.Error("an ended life has borrowed")
	}
}
