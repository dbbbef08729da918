// Package storetest is the suite that every shared counter must pass against its stand-in, with the harness that
// its tests use. A stand-in's owner gives hooks that cause what may go wrong on the way.
package storetest

import (
	"context"
	"io"
	"log/slog"
	"math"
	"testing"
	"time"

	"hitchspring/internal/store"
)

// DiscardLogger is a logger that writes nothing.
var DiscardLogger = slog.New(slog.NewTextHandler(io.Discard, nil))

// Timeout is how long a test waits for what must come; no test passes by waiting.
const Timeout = 20 * time.Second

// Server is a stand-in as the suite needs it.
type Server struct {
	Addr   string
	New    func(store.Sink) store.Counter // a further instance's client; its time-out is a second or more
	Total  func(name string) float64      // what the stand-in holds, 0 for a name that it does not know
	Stop   func()                         // makes the stand-in refuse connections and end those that it has
	Listen func() error                   // makes it accept them again
}

// listen makes the stand-in accept connections again.
func (s Server) listen(t testing.TB) {
	t.Helper()
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
}

// Answer is what a sink received.
type Answer struct {
	Call   *store.Call
	Result store.Result
	At     time.Time
}

// Instance is a counter that runs, with the answers to its calls.
type Instance struct {
	store.Counter
	answers chan Answer
}

// Start runs a counter until the test ends, and fails the test if it does not end then.
func Start(t testing.TB, newCounter func(store.Sink) store.Counter) *Instance {
	t.Helper()
	i := &Instance{answers: make(chan Answer, 1<<16)}
	i.Counter = newCounter(func(call *store.Call, result store.Result) {
		i.answers <- Answer{call, result, time.Now()}
	})
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
			t.Error("the counter does not end")
		}
	})
	return i
}

// NextAnswer waits for an answer.
func (i *Instance) NextAnswer(t testing.TB) Answer {
	t.Helper()
	select {
	case answer := <-i.answers:
		return answer
	case <-time.After(Timeout):
		t.Fatal("no answer")
		return Answer{}
	}
}

// NoAnswer fails the test if there is an answer.
func (i *Instance) NoAnswer(t testing.TB) {
	t.Helper()
	select {
	case answer := <-i.answers:
		t.Fatalf("an answer that no call waits for: %s %+v", answer.Call.Name, answer.Result)
	default:
	}
}

// AddAndWait adds and waits for the answer, which must be the next one.
func (i *Instance) AddAndWait(t testing.TB, name string, amount float64) store.Result {
	t.Helper()
	call := &store.Call{Name: name, Amount: amount, TTL: time.Minute}
	i.Add(call)
	answer := i.NextAnswer(t)
	if answer.Call != call {
		t.Fatalf("the answer is to %s %v", answer.Call.Name, answer.Call.Amount)
	}
	return answer.Result
}

// AddAndSkipEarlier adds and waits for the answer; earlier calls may be answered before.
func (i *Instance) AddAndSkipEarlier(t testing.TB, name string, amount float64) store.Result {
	t.Helper()
	call := &store.Call{Name: name, Amount: amount, TTL: time.Minute}
	i.Add(call)
	for {
		if answer := i.NextAnswer(t); answer.Call == call {
			return answer.Result
		}
	}
}

// Eventually waits until ok returns true; what names that for the failure.
func Eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(Timeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("in vain: ", what)
		}
	}
}

// ApproxEqual compares totals to six digits.
func ApproxEqual(a, b float64) bool { return math.Abs(a-b) <= 1e-6*max(1, math.Abs(a), math.Abs(b)) }
