package tally

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hitchspring/internal/standin/scripted"
	"hitchspring/internal/store"
)

// told is an answer as the sink was told it.
type answer struct {
	call   *store.Call
	result store.Result
}

// startLink runs one link to a counter that serve plays, and returns it with the events that it posts.
func startShard(t *testing.T, serve func(nc net.Conn, lines *bufio.Reader)) (*shard, <-chan answer) {
	events := make(chan answer, 64)
	addr := scripted.Listen(t, func(nc net.Conn) { serve(nc, bufio.NewReader(nc)) })
	l := &shard{addr: addr, timeout: 5 * time.Second, calls: make(chan *store.Call, 16), addressChanges: store.NewLatest[string](), sink: func(k *store.Call, r store.Result) { events <- answer{k, r} }}
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
	l, events := startShard(t, func(nc net.Conn, in *bufio.Reader) {
		for _, answer := range []string{"ok 3.5\r\n", "busy\r\n", "error\r\n", ""} {
			if _, err := in.ReadString('\n'); err != nil {
				return
			}
			if io.WriteString(nc, answer); answer == "" {
				return // the last one breaks after its last byte: it may have been added
			}
		}
	})
	for i, want := range []store.Result{{Certainty: store.Added, Seen: true}, {Certainty: store.NotAdded}, {Certainty: store.NotAdded}, {}} {
		k := &store.Call{Name: "a", Amount: -2.5, TTL: 4 * time.Second}
		l.calls <- k
		ev := <-events
		if ev.call != k || ev.result.Certainty != want.Certainty || ev.result.Seen != want.Seen {
			t.Fatalf("call %d: outcome %v, want %v", i, ev.result, want)
		}
		if i == 0 && ev.result.Total != 3.5 {
			t.Fatalf("total %v", ev.result.Total)
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
		l, events := startShard(t, func(nc net.Conn, in *bufio.Reader) {
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
			l.calls <- &store.Call{Name: name}
		}
		for _, want := range []store.Result{{Certainty: store.Added}, {}} {
			if ev := <-events; ev.result != want {
				t.Fatalf("%.9q: outcome %v of %s, want %v", spoilt, ev.result, ev.call.Name, want)
			}
		}
		l.calls <- &store.Call{Name: "c"}
		if ev := <-events; !ev.result.Seen || ev.result.Total != 4 {
			t.Fatalf("%.9q: then outcome %v, total %v", spoilt, ev.result, ev.result.Total)
		}
	}
}

func TestCounterCallText(t *testing.T) {
	if got := string(appendCall(nil, &store.Call{Name: "n", Amount: -2.5, TTL: 4 * time.Second})); got != "tally n -2.5 4000\r\n" {
		t.Fatalf("%q", got)
	}
}

// A call that was taken back before it was written is never written: its time-out said that nothing was added.
func TestCounterDroppedCallIsNotWritten(t *testing.T) {
	seen := make(chan string, 16)
	l, events := startShard(t, func(nc net.Conn, in *bufio.Reader) {
		for {
			s, err := in.ReadString('\n')
			if err != nil {
				return
			}
			seen <- strings.Fields(s)[1]
			io.WriteString(nc, "ok 1\r\n")
		}
	})
	a, b, c := &store.Call{Name: "a"}, &store.Call{Name: "b"}, &store.Call{Name: "c"}
	b.Withdraw()
	for _, k := range []*store.Call{a, b, c} {
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
	events := make(chan answer, 1)
	l := &shard{addr: addr, timeout: 5 * time.Second, calls: make(chan *store.Call, 1), addressChanges: store.NewLatest[string](), sink: func(k *store.Call, r store.Result) { events <- answer{k, r} }}
	l.serve(context.Background(), &store.Call{Name: "a"})
	if ev := <-events; ev.result.Certainty != store.NotAdded {
		t.Fatalf("outcome %v", ev.result)
	}
}

// A move leaves nothing behind: the call that is out has its answer from the old counter, and only then does the next
// one of its name go to the new one.
func TestCounterMoves(t *testing.T) {
	asked, answer := make(chan struct{}), make(chan struct{})
	l, events := startShard(t, func(nc net.Conn, in *bufio.Reader) {
		in.ReadString('\n')
		close(asked)
		<-answer
		io.WriteString(nc, "ok 1\r\n")
		in.ReadString('\n') // until it is closed
	})
	next := scripted.Listen(t, func(nc net.Conn) {
		if _, err := bufio.NewReader(nc).ReadString('\n'); err == nil {
			io.WriteString(nc, "ok 2\r\n")
		}
	})
	l.calls <- &store.Call{Name: "a"}
	<-asked
	l.addressChanges.Set(next)
	for len(l.addressChanges) > 0 { // fetched
		time.Sleep(time.Millisecond)
	}
	l.calls <- &store.Call{Name: "a"}
	close(answer)
	for want := 1.0; want <= 2; want++ {
		if ev := <-events; !ev.result.Seen || ev.result.Total != want {
			t.Fatalf("outcome %v, total %v; want %v", ev.result, ev.result.Total, want)
		}
	}
}
