package core

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"hitchspring/internal/backend"
	"hitchspring/policy"
)

// Guards against an instance that goes over its memory limit because each refused request is kept until the deadline
// that its client stated, however fast the client asks again.
func TestRefusedRequestsAreNotKept(t *testing.T) {
	const requests = 1000
	c := newIdleCore(t, testConfig(endpointsAt("127.0.0.1:1")))
	for id := range uint64(requests) {
		sink := &recordingSink{}
		r := submitRequest(c, id, sink)
		for _, attempt := range r.attempts { // no connection comes up, so that it never ran
			c.backends.Withdraw(attempt)
		}
		c.answerRequest(r, Answer{Kind: Rejected})
		if sink.answers != 1 {
			t.Fatalf("request %d has %d answers, want one", id, sink.answers)
		}
	}
	if len(c.clientIDs) != 0 || len(c.requests) != 0 {
		t.Errorf("%d ids and %d requests are kept, want none", len(c.clientIDs), len(c.requests))
	}
	// The timers of attempts end with the attempts' own times, which the settings bound.
	deadline := c.now + time.Minute + answerOverdueAfter
	if slices.ContainsFunc(c.timers, func(timer *timer) bool { return timer.at == deadline }) {
		t.Error("a timer for the deadline of a refused request is left")
	}
}

// The id of a request that may have run is kept until its deadline, so that it doesn't run twice.
func TestIDOfRequestThatMayHaveRunIsKept(t *testing.T) {
	c := newIdleCore(t, testConfig(newBackends(t, 1)))
	first := submitRequest(c, 1, &recordingSink{})
	if len(first.attempts) != 1 {
		t.Fatalf("%d attempts were started, want one", len(first.attempts))
	}
	c.attemptEnded(first.attempts[0], policy.Reset, backend.Reply{})
	c.flushEvents()
	c.answerRequest(first, Answer{Kind: Failed})
	second := &recordingSink{}
	submitRequest(c, 1, second)
	if second.answer.Kind != Duplicate || second.answers != 1 {
		t.Errorf("the second request has %d answers, the last %v; want Duplicate", second.answers, second.answer.Kind)
	}
}

// timerModel checks the timers of a core.
type timerModel struct {
	core    *Core
	pending []*timer
	fired   []time.Duration // times of the timers that fired in the latest call of advance
}

func (m *timerModel) schedule(t *rapid.T) {
	at := m.core.now + time.Duration(rapid.IntRange(0, 9).Draw(t, "after"))
	var added *timer
	added = m.core.scheduleAt(at, func() {
		i := slices.Index(m.pending, added)
		if i < 0 {
			t.Fatal("a timer fired that was canceled or had fired")
		}
		m.pending = slices.Delete(m.pending, i, i+1)
		m.fired = append(m.fired, at)
	})
	m.pending = append(m.pending, added)
}

func (m *timerModel) cancel(t *rapid.T) {
	if len(m.pending) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.pending)-1).Draw(t, "which")
	m.core.cancelTimer(m.pending[i])
	m.core.cancelTimer(m.pending[i]) // has no effect
	m.pending = slices.Delete(m.pending, i, i+1)
}

func (m *timerModel) advance(t *rapid.T) {
	m.core.now += time.Duration(rapid.IntRange(0, 5).Draw(t, "by"))
	m.fired = nil
	m.core.fireTimers()
	if !slices.IsSorted(m.fired) {
		t.Fatalf("timers fired in the order %v", m.fired)
	}
}

func (m *timerModel) check(t *rapid.T) {
	if len(m.core.timers) != len(m.pending) {
		t.Fatalf("%d timers are scheduled, want %d", len(m.core.timers), len(m.pending))
	}
	for _, p := range m.pending {
		if p.index < 0 || m.core.timers[p.index] != p {
			t.Fatal("a timer does not know its place")
		}
	}
}

// Timers fire once each in the order of their times, and not after they were canceled.
func TestTimersFireInOrderUnlessCanceled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &timerModel{core: &Core{metrics: newMetrics(nil)}}
		t.Repeat(map[string]func(*rapid.T){
			"schedule": model.schedule,
			"cancel":   model.cancel,
			"advance":  model.advance,
			"":         model.check,
		})
	})
}

// slowSink delays the loop when it is asked whether its client is there.
type slowSink struct {
	recordingSink
	asked chan struct{} // closed when the loop waits
	delay time.Duration
}

// Client implements ReplySink.
func (s *slowSink) Client() ClientState {
	close(s.asked)
	time.Sleep(s.delay)
	return Disconnected
}

// Guards against a backend that is told more time than the client has left: the time of an event must not be that of an
// earlier one, before which the process was held up.
func TestTimeOfAnEventIsNotBeforeIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCore(t, testConfig(endpointsAt()), discardLogger)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		c.now = c.Now()
		held := &slowSink{asked: make(chan struct{}), delay: 100 * time.Millisecond}
		first, second := newRequest(c, 1, held), newRequest(c, 2, &recordingSink{})
		go c.loop(ctx)
		c.Submit(first)
		<-held.asked
		time.Sleep(50 * time.Millisecond)
		c.Submit(second)
		time.Sleep(100 * time.Millisecond)
		stop()
		<-c.stopped
		if waited := second.loopWait(c); waited != 50*time.Millisecond {
			t.Errorf("the second request waited %v for the loop, want 50ms", waited)
		}
	})
}
