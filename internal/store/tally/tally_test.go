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

// answer is what the sink received.
type answer struct {
	call   *store.Call
	result store.Result
}

// testShard returns a shard at addr, with the answers to its calls.
func testShard(addr string) (*shard, <-chan answer) {
	answers := make(chan answer, 64)
	sink := func(call *store.Call, result store.Result) { answers <- answer{call, result} }
	return newShard(addr, 5*time.Second, sink), answers
}

// startShard runs a shard at a counter that serve plays until the test ends.
func startShard(t *testing.T, serve func(nc net.Conn, lines *bufio.Reader)) (*shard, <-chan answer) {
	t.Helper()
	addr := scripted.Listen(t, func(nc net.Conn) { serve(nc, bufio.NewReader(nc)) })
	s, answers := testShard(addr)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return s, answers
}

// Each form of reply means what the protocol says, in the order of the calls.
func TestCounterReplies(t *testing.T) {
	s, answers := startShard(t, func(nc net.Conn, in *bufio.Reader) {
		for _, reply := range []string{"ok 3.5\r\n", "busy\r\n", "error\r\n", ""} {
			if _, err := in.ReadString('\n'); err != nil {
				return
			}
			if reply == "" {
				return // the last call was written completely: it may have been added
			}
			io.WriteString(nc, reply)
		}
	})
	for i, want := range []store.Result{
		{Certainty: store.Added, Seen: true, Total: 3.5},
		{Certainty: store.NotAdded},
		{Certainty: store.NotAdded},
		{},
	} {
		call := &store.Call{Name: "a", Amount: -2.5, TTL: 4 * time.Second}
		s.calls <- call
		got := <-answers
		if got.call != call || got.result != want {
			t.Fatalf("call %d: got %v, want %v", i, got.result, want)
		}
	}
}

// After a reply that cannot be read its connection is given up: the call was added, the one behind it may have
// been, and the next is written on a new connection at once.
func TestCounterUnreadableReply(t *testing.T) {
	began := time.Now()
	defer func() {
		if took := time.Since(began); took > 10*time.Second { // half of the silence that ends a connection here
			t.Fatalf("took %v", took)
		}
	}()
	for _, reply := range []string{
		"ok NaN\r\n", "ok +Inf\r\n", "ok 1e99\r\n", "ok x\r\n", "ok\r\n", "ok 12", "\x00\x7f\r\n",
		strings.Repeat("x", 5000),
	} {
		testUnreadableReply(t, reply)
	}
}

func testUnreadableReply(t *testing.T, reply string) {
	t.Helper()
	var connections atomic.Int32
	s, answers := startShard(t, func(nc net.Conn, in *bufio.Reader) {
		connection := connections.Add(1)
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			if connection > 1 {
				io.WriteString(nc, "ok 4\r\n")
			} else if strings.HasPrefix(line, "tally b") { // both have been written
				io.WriteString(nc, reply)
			}
		}
	})
	for _, name := range []string{"a", "b"} {
		s.calls <- &store.Call{Name: name}
	}
	for _, want := range []store.Result{{Certainty: store.Added}, {}} {
		if got := <-answers; got.result != want {
			t.Fatalf("%.9q: got %v of %s, want %v", reply, got.result, got.call.Name, want)
		}
	}
	s.calls <- &store.Call{Name: "c"}
	if got := <-answers; !got.result.Seen || got.result.Total != 4 {
		t.Fatalf("%.9q: then got %v, want total 4", reply, got.result)
	}
}

func TestCounterCallText(t *testing.T) {
	call := &store.Call{Name: "n", Amount: -2.5, TTL: 4 * time.Second}
	if got, want := string(appendCall(nil, call)), "tally n -2.5 4000\r\n"; got != want {
		t.Fatalf("got %q, want %q", got, want)
	}
}

// A call that was withdrawn before it was written is never written.
func TestCounterWithdrawnCallIsNotWritten(t *testing.T) {
	seen := make(chan string, 16)
	s, answers := startShard(t, func(nc net.Conn, in *bufio.Reader) {
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			seen <- strings.Fields(line)[1]
			io.WriteString(nc, "ok 1\r\n")
		}
	})
	a, b, c := &store.Call{Name: "a"}, &store.Call{Name: "b"}, &store.Call{Name: "c"}
	b.Withdraw()
	for _, call := range []*store.Call{a, b, c} {
		s.calls <- call
	}
	<-answers
	<-answers
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
	s, answers := testShard(addr)
	s.serve(context.Background(), &store.Call{Name: "a"})
	if got := <-answers; got.result.Certainty != store.NotAdded {
		t.Fatalf("got %v", got.result)
	}
}

// A change of address leaves nothing behind: the pending call has its answer from the old counter, and only then
// does the next one of its name go to the new one.
func TestCounterChangesAddress(t *testing.T) {
	received, proceed := make(chan struct{}), make(chan struct{})
	s, answers := startShard(t, func(nc net.Conn, in *bufio.Reader) {
		if _, err := in.ReadString('\n'); err != nil {
			return
		}
		close(received)
		<-proceed
		io.WriteString(nc, "ok 1\r\n")
		_, _ = in.ReadString('\n') // until it is closed
	})
	next := scripted.Listen(t, func(nc net.Conn) {
		if _, err := bufio.NewReader(nc).ReadString('\n'); err == nil {
			io.WriteString(nc, "ok 2\r\n")
		}
	})
	s.calls <- &store.Call{Name: "a"}
	<-received
	s.addressChanges.Set(next)
	for len(s.addressChanges) > 0 { // until it is received
		time.Sleep(time.Millisecond)
	}
	s.calls <- &store.Call{Name: "a"}
	close(proceed)
	for want := 1.0; want <= 2; want++ {
		if got := <-answers; !got.result.Seen || got.result.Total != want {
			t.Fatalf("got %v, total %v; want %v", got.result, got.result.Total, want)
		}
	}
}
