package ingress

import (
	"bufio"
	"container/heap"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"larchwick/logic"
)

// startLink runs one link to a counter that serve plays, and returns it with the events that it posts.
func startLink(t *testing.T, serve func(nc net.Conn, lines *bufio.Reader)) (*link, <-chan event) {
	events := make(chan event, 64)
	addr := listen(t, func(nc net.Conn) { serve(nc, bufio.NewReader(nc)) })
	l := &link{addr: addr, timeout: 5 * time.Second, calls: make(chan *call, 16), moves: newLatest(), post: func(e event) { events <- e }}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return l, events
}

// Each form of answer means what the protocol says, in the order of the calls.
func TestCounterAnswers(t *testing.T) {
	l, events := startLink(t, func(nc net.Conn, in *bufio.Reader) {
		for _, answer := range []string{"ok 3.5\r\n", "busy\r\n", "error\r\n", ""} {
			if _, err := in.ReadString('\n'); err != nil {
				return
			}
			if io.WriteString(nc, answer); answer == "" {
				return // the last one breaks after its last byte: it may have been added
			}
		}
	})
	for i, want := range []logic.Outcome{logic.Done, logic.Full, logic.Moot, logic.Reset} {
		k := &call{name: "a", add: -2.5, keep: 4 * time.Second}
		l.calls <- k
		ev := (<-events).(counted)
		if ev.call != k || ev.outcome != want {
			t.Fatalf("call %d: outcome %v, want %v", i, ev.outcome, want)
		}
		if i == 0 && ev.total != 3.5 {
			t.Fatalf("total %v", ev.total)
		}
	}
}

// After an answer that cannot be read its connection is of no use: the call was added, the one behind it may have been,
// and the next goes out on a new connection at once. Once the calls of such a connection timed out for 3 s.
func TestCounterSpoiltAnswer(t *testing.T) {
	began := time.Now()
	defer func() {
		if took := time.Since(began); took > 10*time.Second { // half of the silence that ends a connection here
			t.Fatalf("took %v", took)
		}
	}()
	for _, spoilt := range []string{"ok NaN\r\n", "ok +Inf\r\n", "ok 1e99\r\n", "ok x\r\n", "ok\r\n", "ok 12", "\x00\x7f\r\n", strings.Repeat("x", 5000)} {
		var conns atomic.Int32
		l, events := startLink(t, func(nc net.Conn, in *bufio.Reader) {
			n := conns.Add(1)
			for {
				s, err := in.ReadString('\n')
				if err != nil {
					return
				}
				if n > 1 {
					io.WriteString(nc, "ok 4\r\n")
				} else if strings.HasPrefix(s, "tally b") { // both have been written
					io.WriteString(nc, spoilt)
				}
			}
		})
		for _, name := range []string{"a", "b"} {
			l.calls <- &call{name: name}
		}
		for _, want := range []logic.Outcome{logic.Failed, logic.Reset} {
			if ev := (<-events).(counted); ev.outcome != want {
				t.Fatalf("%.9q: outcome %v of %s, want %v", spoilt, ev.outcome, ev.call.name, want)
			}
		}
		l.calls <- &call{name: "c"}
		if ev := (<-events).(counted); ev.outcome != logic.Done || ev.total != 4 {
			t.Fatalf("%.9q: then outcome %v, total %v", spoilt, ev.outcome, ev.total)
		}
	}
}

func TestCounterCallText(t *testing.T) {
	if got := string(appendCall(nil, &call{name: "n", add: -2.5, keep: 4 * time.Second})); got != "tally n -2.5 4000\r\n" {
		t.Fatalf("%q", got)
	}
}

// A call that was taken back before it was written is never written: its time-out said that nothing was added.
func TestCounterDroppedCallIsNotWritten(t *testing.T) {
	seen := make(chan string, 16)
	l, events := startLink(t, func(nc net.Conn, in *bufio.Reader) {
		for {
			s, err := in.ReadString('\n')
			if err != nil {
				return
			}
			seen <- strings.Fields(s)[1]
			io.WriteString(nc, "ok 1\r\n")
		}
	})
	a, b, c := &call{name: "a"}, &call{name: "b"}, &call{name: "c"}
	b.state.Store(callDropped)
	for _, k := range []*call{a, b, c} {
		l.calls <- k
	}
	<-events
	<-events
	if x, y := <-seen, <-seen; x != "a" || y != "c" {
		t.Fatalf("written: %s, %s; want a, c", x, y)
	}
}

// A counter that nobody listens at has added nothing.
func TestCounterRefused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	events := make(chan event, 1)
	l := &link{addr: addr, timeout: 5 * time.Second, calls: make(chan *call, 1), moves: newLatest(), post: func(e event) { events <- e }}
	l.serve(context.Background(), &call{name: "a"})
	if ev := (<-events).(counted); ev.outcome != logic.NoConnect {
		t.Fatalf("outcome %v", ev.outcome)
	}
}

// The module hears of each call once: an answer after the time-out is dropped.
func TestCounterLateAnswerIsDropped(t *testing.T) {
	g, err := New(testConfig("", Fleet{}), quiet)
	if err != nil {
		t.Fatal(err)
	}
	k := &call{name: "a"}
	g.counted(counted{call: k, outcome: logic.TimedOut})
	g.counted(counted{call: k, outcome: logic.Done, total: 7})
	if len(g.queue) != 1 || g.queue[0].(logic.CountReply).Outcome != logic.TimedOut {
		t.Fatalf("told: %v", g.queue)
	}
}

// A counter that says nothing is given up in time; a call that was never written has added nothing.
func TestSilentCounterTimesOut(t *testing.T) {
	for name, c := range map[string]struct {
		state int32
		want  logic.Outcome
	}{"unwritten": {callQueued, logic.NoConnect}, "written": {callWritten, logic.TimedOut}} {
		t.Run(name, func(t *testing.T) {
			g := idleGateway(t, "127.0.0.1:1")
			g.count(logic.Count{Name: "a", Add: 1})
			for _, l := range g.counter.links {
				for len(l.calls) > 0 {
					(<-l.calls).state.Store(c.state)
				}
			}
			g.now += g.cfg.Settings.CounterTimeout
			for len(g.queue) == 0 && len(g.alarms) > 0 && g.alarms[0].at <= g.now {
				heap.Pop(&g.alarms).(alarm).ring()
			}
			if ev, ok := g.queue[len(g.queue)-1].(logic.CountReply); !ok || ev.Outcome != c.want {
				t.Fatalf("told %v, want outcome %v", g.queue, c.want)
			}
		})
	}
}

// A move leaves nothing behind: the call that is out has its answer from the old counter, and only then does the next
// one of its name go to the new one.
func TestCounterMoves(t *testing.T) {
	asked, answer := make(chan struct{}), make(chan struct{})
	l, events := startLink(t, func(nc net.Conn, in *bufio.Reader) {
		in.ReadString('\n')
		close(asked)
		<-answer
		io.WriteString(nc, "ok 1\r\n")
		in.ReadString('\n') // until it is closed
	})
	next := listen(t, func(nc net.Conn) {
		if _, err := bufio.NewReader(nc).ReadString('\n'); err == nil {
			io.WriteString(nc, "ok 2\r\n")
		}
	})
	l.calls <- &call{name: "a"}
	<-asked
	l.moves.set(next)
	for len(l.moves) > 0 { // fetched
		time.Sleep(time.Millisecond)
	}
	l.calls <- &call{name: "a"}
	close(answer)
	for want := 1.0; want <= 2; want++ {
		if ev := (<-events).(counted); ev.outcome != logic.Done || ev.total != want {
			t.Fatalf("outcome %v, total %v; want %v", ev.outcome, ev.total, want)
		}
	}
}
