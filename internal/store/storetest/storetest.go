// Package storetest provides the conformance suite that every store.Counter must pass against its stand-in, and helpers
// for the counters' own tests. The caller provides a stand-in server with hooks to stop and restart it.
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

// Timeout is how long a test waits for an expected event before it fails. No test passes because it has elapsed.
const Timeout = 20 * time.Second

// Server is a stand-in with the hooks that the suite needs.
type Server struct {
	Addr   string
	New    func(store.Sink) store.Counter // returns the client of a further instance, with a timeout of at least 1 s
	Total  func(name string) float64      // total on the stand-in; 0 for an unknown name
	Stop   func()                         // makes the stand-in close all connections and refuse new ones
	Listen func() error                   // makes the stand-in accept connections again
}

// listen makes the stand-in accept connections again.
func (s Server) listen(t testing.TB) {
	t.Helper()
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
}

// Answer is a call, its result, and the time at which the sink received it.
type Answer struct {
	Call   *store.Call
	Result store.Result
	At     time.Time
}

// Instance is a running counter with a queue of the results of its calls.
type Instance struct {
	store.Counter
	answers chan Answer
}

// Start runs a counter until the test ends, and fails the test if Run does not return then.
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
			t.Error("Run did not return")
		}
	})
	return i
}

// NextAnswer waits for the next result and fails the test if there is none within Timeout.
func (i *Instance) NextAnswer(t testing.TB) Answer {
	t.Helper()
	select {
	case answer := <-i.answers:
		return answer
	case <-time.After(Timeout):
		t.Fatal("no result within the timeout")
		return Answer{}
	}
}

// RequireNoAnswer fails the test if a result is queued.
func (i *Instance) RequireNoAnswer(t testing.TB) {
	t.Helper()
	select {
	case answer := <-i.answers:
		t.Fatalf("unexpected result of %s: %+v", answer.Call.Name, answer.Result)
	default:
	}
}

// AddAndWait adds and returns the result. It fails the test if the result of another call arrives first.
func (i *Instance) AddAndWait(t testing.TB, name string, amount float64) store.Result {
	t.Helper()
	call := &store.Call{Name: name, Amount: amount, TTL: time.Minute}
	i.Add(call)
	answer := i.NextAnswer(t)
	if answer.Call != call {
		t.Fatalf("got the result of another call: name %s, amount %v", answer.Call.Name, answer.Call.Amount)
	}
	return answer.Result
}

// AddAndSkipEarlier adds and returns the result. It discards the results of other calls that arrive first.
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

// Eventually waits until ok returns true, and fails the test with a description of the condition after Timeout.
func Eventually(t testing.TB, condition string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(Timeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for ", condition)
		}
	}
}

// ApproxEqual reports whether two totals differ by at most 1e-6, relative to the larger one if that exceeds 1.
func ApproxEqual(a, b float64) bool { return math.Abs(a-b) <= 1e-6*max(1, math.Abs(a), math.Abs(b)) }
