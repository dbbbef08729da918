// Package storetest is the suite that every shared counter must pass against its stand-in. What may go wrong on the way
// is caused by hooks that the stand-in's owner gives.
package storetest

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"hitchspring/internal/store"
)

// Quiet is a logger that says nothing.
var DiscardLogger = slog.New(slog.NewTextHandler(io.Discard, nil))

// Patience is how long a test waits for what must come; no test passes by waiting.
const Timeout = 20 * time.Second

// Backend is a stand-in as the suite needs it.
type Server struct {
	Addr   string
	New    func(store.Sink) store.Counter // a further instance of the store; its time-out is a second or more
	Total  func(name string) float64      // what the stand-in holds, 0 for a name that it does not know
	Stop   func()                         // the stand-in refuses connections and ends those that it has
	Listen func()                         // and takes them again
}

// Told is an answer as the sink was told it.
type Answer struct {
	Call   *store.Call
	Result store.Result
	At     time.Time
}

// Instance is a store that runs, with what it tells.
type Instance struct {
	store.Counter
	answers chan Answer
}

// Start runs a store until the test ends.
func Start(t testing.TB, newCounter func(store.Sink) store.Counter) *Instance {
	t.Helper()
	i := &Instance{answers: make(chan Answer, 1<<16)}
	i.Counter = newCounter(func(k *store.Call, r store.Result) { i.answers <- Answer{k, r, time.Now()} })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		i.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		select {
		case <-done:
		case <-time.After(Timeout):
			t.Error("the store does not end")
		}
	})
	return i
}

// Next waits for an answer.
func (i *Instance) NextAnswer(t testing.TB) Answer {
	t.Helper()
	select {
	case a := <-i.answers:
		return a
	case <-time.After(Timeout):
		t.Fatal("no answer")
		return Answer{}
	}
}

// None fails where an answer is there.
func (i *Instance) NoAnswer(t testing.TB) {
	t.Helper()
	select {
	case a := <-i.answers:
		t.Fatalf("an answer that nobody is owed: %s %+v", a.Call.Name, a.Result)
	default:
	}
}

// Do adds and waits for the answer to just that.
func (i *Instance) AddAndWait(t testing.TB, name string, amount float64) store.Result {
	t.Helper()
	k := &store.Call{Name: name, Amount: amount, TTL: time.Minute}
	i.Add(k)
	a := i.NextAnswer(t)
	if a.Call != k {
		t.Fatalf("the answer is to %s %v", a.Call.Name, a.Call.Amount)
	}
	return a.Result
}

// DoLast is Do where earlier calls may be answered first.
func (i *Instance) AddAndSkipEarlier(t testing.TB, name string, amount float64) store.Result {
	t.Helper()
	k := &store.Call{Name: name, Amount: amount, TTL: time.Minute}
	i.Add(k)
	for {
		if a := i.NextAnswer(t); a.Call == k {
			return a.Result
		}
	}
}

// Until waits until ok.
func Eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(Timeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("in vain: ", what)
		}
	}
}

// Near compares totals to what seven digits hold.
func ApproxEqual(a, b float64) bool { return math.Abs(a-b) <= 1e-6*max(1, math.Abs(a), math.Abs(b)) }

// Run runs the suite; open starts a stand-in for one test.
func Run(t *testing.T, open func(*testing.T) Server) {
	run := func(name string, f func(*testing.T, Server)) {
		t.Run(name, func(t *testing.T) {
			leaks := goleak.IgnoreCurrent()
			t.Cleanup(func() { goleak.VerifyNone(t, leaks) })
			f(t, open(t))
		})
	}
	run("totals", func(t *testing.T, b Server) {
		i := Start(t, b.New)
		want := 0.0
		for _, n := range []float64{1, 2.5, -0.75, 0, 1e-6, 123456.5, -3} {
			want += n
			if r := i.AddAndWait(t, "a", n); r.Certainty != store.Added || !r.Seen || !ApproxEqual(r.Total, want) {
				t.Fatalf("after %v: %+v, want %v", n, r, want)
			}
		}
		if r := i.AddAndWait(t, "b", 1); !ApproxEqual(r.Total, 1) {
			t.Fatalf("another name: %+v", r)
		}
		if got := b.Total("a"); !ApproxEqual(got, want) {
			t.Fatalf("the stand-in holds %v, want %v", got, want)
		}
	})
	run("instances share", func(t *testing.T, b Server) {
		x, y := Start(t, b.New), Start(t, b.New)
		x.AddAndWait(t, "a", 2)
		if r := y.AddAndWait(t, "a", 3); !ApproxEqual(r.Total, 5) {
			t.Fatalf("%+v", r)
		}
		if r := x.AddAndWait(t, "a", -1); !ApproxEqual(r.Total, 4) {
			t.Fatalf("%+v", r)
		}
	})
	run("order of a name", func(t *testing.T, b Server) {
		i := Start(t, b.New)
		const n = 300
		calls := make([]*store.Call, n)
		for j := range calls {
			calls[j] = &store.Call{Name: "a", Amount: 1, TTL: time.Minute}
			i.Add(calls[j])
		}
		for j := range calls {
			if a := i.NextAnswer(t); a.Call != calls[j] || !ApproxEqual(a.Result.Total, float64(j+1)) {
				t.Fatalf("answer %d: total %v", j, a.Result.Total)
			}
		}
	})
	run("many names at once", func(t *testing.T, b Server) {
		i := Start(t, b.New)
		const names, each = 40, 10
		for range each {
			for j := range names {
				i.Add(&store.Call{Name: fmt.Sprint("n", j), Amount: float64(j), TTL: time.Minute})
			}
		}
		last := map[string]float64{}
		for range names * each {
			a := i.NextAnswer(t)
			if !a.Result.Seen {
				t.Fatalf("%s: %+v", a.Call.Name, a.Result)
			}
			last[a.Call.Name] = a.Result.Total
		}
		for j := range names {
			if got := last[fmt.Sprint("n", j)]; !ApproxEqual(got, float64(each*j)) {
				t.Fatalf("n%d: %v, want %v", j, got, each*j)
			}
		}
	})
	run("a name's life", func(t *testing.T, b Server) {
		i := Start(t, b.New)
		i.Add(&store.Call{Name: "a", Amount: 5, TTL: 200 * time.Millisecond})
		began := i.NextAnswer(t).At
		Eventually(t, "the name's end", func() bool { return b.Total("a") == 0 })
		if lived := time.Since(began); lived < 100*time.Millisecond {
			t.Fatalf("it lived %v of 200 ms", lived)
		}
		if r := i.AddAndWait(t, "a", 2); !ApproxEqual(r.Total, 2) {
			t.Fatalf("after its end: %+v", r)
		}
	})
	run("withdrawn", func(t *testing.T, b Server) {
		i := Start(t, b.New)
		k := &store.Call{Name: "a", Amount: 7, TTL: time.Minute}
		if !k.Withdraw() {
			t.Fatal("a call that nobody has")
		}
		i.Add(k)
		if r := i.AddAndWait(t, "a", 1); !ApproxEqual(r.Total, 1) {
			t.Fatalf("%+v", r)
		}
		i.NoAnswer(t)
	})
	run("nobody listens", func(t *testing.T, b Server) {
		b.Stop()
		i := Start(t, b.New)
		for range 3 {
			if r := i.AddAndWait(t, "a", 1); r.Certainty != store.NotAdded {
				t.Fatalf("%+v", r)
			}
		}
		b.Listen()
		Eventually(t, "the store's return", func() bool { return i.AddAndWait(t, "a", 1).Certainty == store.Added })
		if got := b.Total("a"); !ApproxEqual(got, 1) {
			t.Fatalf("the stand-in holds %v, want the one that was added", got)
		}
	})
	run("comes and goes", func(t *testing.T, b Server) {
		i := Start(t, b.New)
		var mu sync.Mutex
		least, most := 0.0, 0.0
		for range 3 {
			for range 50 {
				i.Add(&store.Call{Name: "a", Amount: 1, TTL: time.Minute})
			}
			b.Stop()
			b.Listen()
			for range 50 {
				a := i.NextAnswer(t)
				mu.Lock()
				if a.Result.Certainty != store.NotAdded {
					most++
				}
				if a.Result.Certainty == store.Added {
					least++
				}
				mu.Unlock()
			}
			Eventually(t, "the store's return", func() bool {
				r := i.AddAndWait(t, "b", 0)
				return r.Certainty == store.Added
			})
		}
		if got := b.Total("a"); got < least-1e-6 || got > most+1e-6 {
			t.Fatalf("the stand-in holds %v; %v were added and %v may have been", got, least, most)
		}
	})
	run("full queue", func(t *testing.T, b Server) {
		b.Stop()
		i := Start(t, b.New)
		calls := make([]*store.Call, 5000)
		for j := range calls {
			calls[j] = &store.Call{Name: "a", Amount: 1, TTL: time.Minute}
			i.Add(calls[j]) // must not block
		}
		answered := 0
		for _, k := range calls {
			if !k.Withdraw() {
				answered++
			}
		}
		for range answered {
			if a := i.NextAnswer(t); a.Result.Certainty != store.NotAdded {
				t.Fatalf("%+v", a.Result)
			}
		}
	})
	run("moves", func(t *testing.T, b Server) {
		i := Start(t, b.New)
		i.AddAndWait(t, "a", 1)
		other := open(t)
		i.SetAddress(other.Addr)
		Eventually(t, "the move", func() bool {
			i.AddAndWait(t, "a", 1)
			return other.Total("a") > 0
		})
	})
}
