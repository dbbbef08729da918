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

// answer is a call and the result that the sink received for it.
type answer struct {
	call   *store.Call
	result store.Result
}

// testShard returns a shard for addr that is not running, and a channel with the results of its calls.
func testShard(addr string) (*shard, <-chan answer) {
	answers := make(chan answer, 64)
	sink := func(call *store.Call, result store.Result) { answers <- answer{call, result} }
	return newShard(addr, 5*time.Second, sink), answers
}

// startShard runs a shard until the test ends. serve implements the counter service for each connection.
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

// Each form of reply must give the result that the protocol defines, in the order of the calls.
func TestCounterReplies(t *testing.T) {
	s, answers := startShard(t, func(nc net.Conn, in *bufio.Reader) {
		for _, reply := range []string{"ok 3.5\r\n", "busy\r\n", "error\r\n", ""} {
			if _, err := in.ReadString('\n'); err != nil {
				return
			}
			if reply == "" {
				return // the last call was received completely: the service may have added it
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

// A reply that cannot be parsed must close its connection. Its call counts as added, the call behind it as maybe added,
// and the next call must be written on a new connection without delay.
func TestCounterUnreadableReply(t *testing.T) {
	startedAt := time.Now()
	defer func() {
		// The limit is half of the time after which a silent connection is closed here.
		if took := time.Since(startedAt); took > 10*time.Second {
			t.Fatalf("took %v, want less than 10 s", took)
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
			} else if strings.HasPrefix(line, "tally b") { // both calls have been written
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
		t.Fatalf("%.9q: next call: got %v, want total 4", reply, got.result)
	}
}

func TestCounterCallText(t *testing.T) {
	call := &store.Call{Name: "n", Amount: -2.5, TTL: 4 * time.Second}
	if got, want := string(appendCall(nil, call)), "tally n -2.5 4000\r\n"; got != want {
		t.Fatalf("got %q, want %q", got, want)
	}
}

// A call that is withdrawn before it is written must never be written.
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
		t.Fatalf("calls written: %s, %s; want a, c", x, y)
	}
}

// If the service refuses the connection, the call must be reported as not added.
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

// After a change of address, a pending call must still get its result from the old service before the next call of its
// name is sent to the new one.
func TestCounterChangesAddress(t *testing.T) {
	received, proceed := make(chan struct{}), make(chan struct{})
	s, answers := startShard(t, func(nc net.Conn, in *bufio.Reader) {
		if _, err := in.ReadString('\n'); err != nil {
			return
		}
		close(received)
		<-proceed
		io.WriteString(nc, "ok 1\r\n")
		_, _ = in.ReadString('\n') // until the connection is closed
	})
	next := scripted.Listen(t, func(nc net.Conn) {
		if _, err := bufio.NewReader(nc).ReadString('\n'); err == nil {
			io.WriteString(nc, "ok 2\r\n")
		}
	})
	s.calls <- &store.Call{Name: "a"}
	<-received
	s.addressChanges.Set(next)
	for len(s.addressChanges) > 0 { // until the shard has received the address
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
