package backend

import (
	"context"
	"io"
	"net"
	"reflect"
	"sync"
	"testing"
	"time"

	"hitchspring/internal/resp"
	"hitchspring/internal/standin/scripted"
	"hitchspring/policy"
)

const served = scripted.Served

type noCommand struct{}

func (noCommand) Encode(time.Duration) [][]byte { return [][]byte{[]byte("*1\r\n$4\r\nNONE\r\n")} }

// testOwner is an owner whose goroutine is that of the test, which handles events and advances the clock itself.
type testOwner struct {
	pool    *Pool
	now     time.Duration
	events  chan Event
	ctx     context.Context
	wg      sync.WaitGroup
	timers  []testTimer
	ends    []attemptEnd
	streams []*Stream
	// unwanted makes AttemptBegan report that the value is not wanted.
	unwanted bool
}

type testTimer struct {
	at time.Duration
	do func()
}

type attemptEnd struct {
	attempt *Attempt
	outcome policy.Outcome
	reply   Reply
}

func (o *testOwner) Now() time.Duration { return o.now }

func (o *testOwner) After(d time.Duration, do func()) {
	o.timers = append(o.timers, testTimer{o.now + d, do})
}

func (o *testOwner) Post(ev Event) {
	select {
	case o.events <- ev:
	case <-o.ctx.Done():
	}
}

func (o *testOwner) Spawn(run func(context.Context)) { o.wg.Go(func() { run(o.ctx) }) }

func (o *testOwner) AttemptEnded(attempt *Attempt, outcome policy.Outcome, reply Reply) {
	o.ends = append(o.ends, attemptEnd{attempt, outcome, reply})
}

func (o *testOwner) AttemptWanted(*Attempt) bool { return true }

func (o *testOwner) AttemptBegan(_ *Attempt, stream *Stream) bool {
	o.streams = append(o.streams, stream)
	return !o.unwanted
}

// fireTimers calls the timers that are due.
func (o *testOwner) fireTimers() {
	due := o.timers
	o.timers = nil
	for _, timer := range due {
		if timer.at <= o.now {
			timer.do()
		} else {
			o.timers = append(o.timers, timer)
		}
	}
}

// entries returns an endpoint list of serving backends s0, s1 and so on, with these addresses.
func entries(addrs ...string) (list []Endpoint) {
	for i, addr := range addrs {
		id := policy.BackendID("s" + string(rune('0'+i)))
		list = append(list, Endpoint{policy.Backend{ID: id, Zone: "a", State: policy.Running}, addr})
	}
	return list
}

func newOwner(t *testing.T, addrs ...string) *testOwner {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	owner := &testOwner{now: time.Minute, events: make(chan Event, 64), ctx: ctx}
	owner.pool = New(owner, Config{
		ConnectTimeout: 5 * time.Second,
		IdleTimeout:    15 * time.Second,
		MaxConnections: 96,
		FrameBudget:    resp.NewBudget(1 << 20),
	})
	owner.pool.Update(entries(addrs...), true)
	t.Cleanup(func() {
		cancel()
		owner.wg.Wait()
	})
	return owner
}

// A drain takes effect with the update: an attempt that waits for a connection then is never written.
func TestDrainCancelsWaitingAttempt(t *testing.T) {
	server := scripted.NewBackend(t, func(int, []string, net.Conn) string { return served })
	owner := newOwner(t, server.Addr)
	attempt := waitingAttempt(owner, "s0")
	owner.pool.assign(attempt)
	opened := (<-owner.events).(connectionOpened)
	list := entries(server.Addr)
	list[0].State = policy.Draining
	owner.pool.Update(list, false)
	owner.pool.handleConnectionOpened(opened)
	if ev := owner.ends[0]; ev.outcome != policy.NotSent || opened.conn.current != nil {
		t.Fatalf("got outcome %v, want %v and nothing on the connection", ev.outcome, policy.NotSent)
	}
}

// An attempt that is aborted while it waits for a connection ends as NotSent and is never written.
func TestAbortWhileWaiting(t *testing.T) {
	server := scripted.NewBackend(t, func(int, []string, net.Conn) string { return served })
	owner := newOwner(t, server.Addr)
	attempt := waitingAttempt(owner, "s0")
	owner.pool.assign(attempt)
	owner.pool.Abort(attempt, policy.Canceled)
	opened := (<-owner.events).(connectionOpened)
	owner.pool.handleConnectionOpened(opened)
	if ev := owner.ends[0]; ev.outcome != policy.NotSent || opened.conn.current != nil || len(owner.ends) != 1 {
		t.Fatalf("owner notified of ends %v, want one end as NotSent", owner.ends)
	}
}

// An idle connection is closed before the backend closes it: a command sent during the backend's close is reset.
func TestIdleConnectionIsRetired(t *testing.T) {
	server := scripted.NewBackend(t, func(int, []string, net.Conn) string { return served })
	owner := newOwner(t, server.Addr)
	b := owner.pool.backends["s0"]
	b.waiting = append(b.waiting, nil)
	owner.pool.dialForWaiting(b)
	b.waiting = nil
	owner.pool.handleConnectionOpened((<-owner.events).(connectionOpened))
	owner.pool.RetireIdle()
	if len(b.idle) != 1 {
		t.Fatal("a new connection was closed")
	}
	owner.now += owner.pool.cfg.IdleTimeout - time.Second
	owner.pool.RetireIdle()
	if closed := (<-owner.events).(connectionClosed); len(b.idle) != 0 || !closed.wasOpen {
		t.Fatal("a connection that was idle for too long was not closed")
	}
}

// A reply that arrives before an attempt's command was written belongs to another attempt; this one never ran.
func TestReplyBeforeCommandIsWritten(t *testing.T) {
	owner := newOwner(t, scripted.NewBackend(t, nil).Addr)
	attempt := waitingAttempt(owner, "s0")
	owner.pool.assign(attempt)
	opened := (<-owner.events).(connectionOpened)
	opened.conn.current = attempt
	owner.pool.Handle(replyReceived{
		opened.conn, nil, Reply{outcome: policy.Succeeded, Value: []byte("x"), reusable: true},
	})
	if attempt.ended {
		t.Fatal("the attempt was served with the reply to another command")
	}
	owner.pool.Handle(<-owner.events)
	if !attempt.ended || len(owner.ends) != 1 {
		t.Fatal("the attempt did not end once when its connection closed")
	}
}

func TestParseReply(t *testing.T) {
	load := policy.Load{"qps": 7}
	value := []byte("x")
	succeeded := Reply{outcome: policy.Succeeded, Value: value, reusable: true}
	reported := succeeded
	reported.Load = load
	for in, want := range map[string]Reply{
		"*3\r\n$1\r\nx\r\n$-1\r\n$5\r\nqps=7\r\n":         reported,
		"*3\r\n$1\r\nx\r\n$-1\r\n$7\r\nqps=NaN\r\n":       succeeded,
		"*3\r\n$1\r\nx\r\n$-1\r\n$12\r\nqps=7,a=+Inf\r\n": succeeded,
		"*3\r\n$1\r\nx\r\n:7\r\n+ok\r\n":                  succeeded,
		"*2\r\n$1\r\nx\r\n$-1\r\n":                        {outcome: policy.Failed},
		"*3\r\n:1\r\n$-1\r\n$-1\r\n":                      {outcome: policy.Failed},
		"-ERR failed\r\n":                                 {outcome: policy.Failed, reusable: true},
		"-ERR failed qps=7\r\n":                           {outcome: policy.Failed, Load: load, reusable: true},
		"-BUSY qps=7\r\n":                                 {outcome: policy.Rejected, Load: load, reusable: true},
		"-BUSYBODY\r\n":                                   {outcome: policy.Failed},
		"-SYNTAX\r\n":                                     {outcome: policy.Failed},
		"+PONG\r\n":                                       {outcome: policy.Succeeded, reusable: true},
		"+OK\r\n":                                         {outcome: policy.Failed},
		"$6\r\nqps=-1\r\n":                                {outcome: policy.Succeeded, reusable: true},
	} {
		if got := parseReply([]byte(in)); !reflect.DeepEqual(got, want) {
			t.Errorf("%q: %+v, want %+v", in, got, want)
		}
	}
}

// If all connections within the limit are in use by other backends, the next one that becomes idle is closed to make
// room for the waiting attempt.
func TestWaitingForConnectionLimit(t *testing.T) {
	a, b := scripted.NewBackend(t, nil), scripted.NewBackend(t, nil)
	owner := newOwner(t, a.Addr, b.Addr)
	owner.pool.cfg.MaxConnections = 1
	first, second := waitingAttempt(owner, "s0"), waitingAttempt(owner, "s1")
	owner.pool.assign(first)
	opened := (<-owner.events).(connectionOpened)
	owner.pool.Handle(opened)
	owner.pool.assign(second)
	owner.pool.Handle(replyReceived{opened.conn, first, Reply{outcome: policy.Succeeded, reusable: true}})
	owner.now += reuseDelay
	owner.fireTimers()
	for second.conn == nil {
		owner.pool.Handle(<-owner.events)
	}
}

// A backend that replies before the command was written must not block the owner's goroutine.
func TestFullConnectionDoesNotBlock(t *testing.T) {
	owner := newOwner(t, scripted.NewBackend(t, nil).Addr)
	near, far := net.Pipe()
	defer far.Close()
	c := &conn{backend: owner.pool.backends["s0"], nc: near, writes: make(chan pendingWrite, 1)}
	owner.pool.send(c, waitingAttempt(owner, "s0"))
	owner.pool.send(c, waitingAttempt(owner, "s0"))
	if _, err := near.Write(nil); err == nil {
		t.Fatal("the connection was not closed")
	}
}

// A command that was written only in part never ran; one that was written completely may have run.
func TestOnlyCompleteCommandsMayHaveRun(t *testing.T) {
	for name, c := range map[string]struct {
		read     int
		complete bool
	}{"cut off": {3, false}, "cut off before the last piece": {6, false}, "complete": {9, true}} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			a := &Attempt{}
			cn := &conn{nc: near, writes: make(chan pendingWrite, 1), readerDone: make(chan struct{})}
			cn.writes <- pendingWrite{attempt: a, command: [][]byte{[]byte("1234"), []byte("56"), []byte("789")}}
			written := make(chan struct{})
			go func() {
				defer close(written)
				cn.write()
			}()
			if _, err := io.ReadFull(far, make([]byte, c.read)); err != nil {
				t.Fatal(err)
			}
			if c.complete {
				close(cn.readerDone)
			} else {
				far.Close()
			}
			<-written
			if got := cn.lastWritten.Load(); (got == a) != c.complete {
				t.Fatalf("complete: %v, want %v", got == a, c.complete)
			}
		})
	}
}

func waitingAttempt(owner *testOwner, id policy.BackendID) *Attempt {
	return &Attempt{Ref: owner, Command: noCommand{}, backend: owner.pool.backends[id], Deadline: time.Hour}
}

// An attempt that has waited for a connection for ConnectTimeout ends and is not written later. A request with an
// idempotency key may be retried only while its group remembers the key, and the policy allows a tenth of that time
// between the decision and the write.
func TestWaitForConnectionEnds(t *testing.T) {
	owner := newOwner(t, scripted.NewBackend(t, nil).Addr)
	owner.pool.cfg.MaxConnections = 0
	attempt := waitingAttempt(owner, "s0")
	owner.pool.assign(attempt)
	owner.now += owner.pool.cfg.ConnectTimeout
	owner.fireTimers()
	if !attempt.ended || len(attempt.backend.waiting) != 0 {
		t.Fatal("the attempt still waits for a connection")
	}
}

// An attempt whose command is known to be written ends as soon as it is aborted, without waiting for its connection's
// connectionClosed event.
func TestWrittenAttemptEndsAtOnce(t *testing.T) {
	server := scripted.NewBackend(t, nil)
	owner := newOwner(t, server.Addr)
	attempt := waitingAttempt(owner, "s0")
	owner.pool.assign(attempt)
	owner.pool.Handle(<-owner.events)
	for len(server.Commands()) < 1 || attempt.conn.lastWritten.Load() != attempt {
		time.Sleep(time.Millisecond)
	}
	owner.pool.Abort(attempt, policy.TimedOut)
	if !attempt.ended || owner.ends[0].outcome != policy.TimedOut {
		t.Fatalf("attempt ended: %v, owner notified of ends %v", attempt.ended, owner.ends)
	}
}

// A removed backend is deleted from the pool when its last connection closes, even if a backend with another id has the
// same address by then. Otherwise the pool would grow, since new backends have new ids.
func TestRemovedBackendIsDeleted(t *testing.T) {
	server := scripted.NewBackend(t, func(int, []string, net.Conn) string { return served })
	owner := newOwner(t, server.Addr)
	attempt := waitingAttempt(owner, "s0")
	owner.pool.assign(attempt)
	opened := (<-owner.events).(connectionOpened)
	owner.pool.Handle(opened)
	list := entries(server.Addr, server.Addr)
	list[0].State = policy.Removed
	owner.pool.Update(list, false)
	if len(owner.pool.backends) != 2 {
		t.Fatalf("%d backends while an attempt is in flight, want 2", len(owner.pool.backends))
	}
	owner.pool.Handle(<-owner.events) // the reply
	owner.now += reuseDelay
	owner.fireTimers()
	owner.pool.Handle(<-owner.events) // the connection's end
	if owner.pool.connections != 0 || owner.pool.backends["s1"] == nil {
		t.Fatalf("%d connections, backends %v", owner.pool.connections, owner.pool.backends)
	}
}

// drainStream reads a stream to its end, and sends its final error to ended.
func drainStream(stream *Stream, ended chan<- error) {
	_, err := io.Copy(io.Discard, stream)
	ended <- err
}

// A large value that the owner doesn't want is no fault of its backend: the attempt ends as Canceled. A wanted value
// whose connection closes within it ends as Reset, however much has arrived.
func TestLargeValueUnwantedOrBroken(t *testing.T) {
	t.Run("unwanted", func(t *testing.T) {
		owner := startLargeValue(t, false)
		owner.unwanted = true
		for len(owner.ends) == 0 {
			owner.pool.Handle(<-owner.events)
		}
		if len(owner.ends) != 1 || owner.ends[0].outcome != policy.Canceled {
			t.Fatalf("ended as %v, want %v", owner.ends, policy.Canceled)
		}
	})
	t.Run("broken", func(t *testing.T) {
		owner := startLargeValue(t, true)
		ended := make(chan error, 1)
		for len(owner.ends) == 0 {
			owner.pool.Handle(<-owner.events)
			if len(owner.streams) == 1 {
				go drainStream(owner.streams[0], ended)
				owner.streams = append(owner.streams, nil)
			}
		}
		if len(owner.ends) != 1 || owner.ends[0].outcome != policy.Reset {
			t.Fatalf("ended as %v, want %v", owner.ends, policy.Reset)
		}
		if err := <-ended; err == nil {
			t.Fatal("an incomplete value was read without an error")
		}
	})
}

// startLargeValue starts an attempt at a backend that sends the header of a large value and a few of its bytes, and
// then closes the connection or sends nothing more.
func startLargeValue(t *testing.T, breaksOff bool) *testOwner {
	t.Helper()
	server := scripted.NewBackend(t, func(_ int, _ []string, nc net.Conn) string {
		io.WriteString(nc, "*3\r\n$1000000\r\nsome")
		if breaksOff {
			nc.Close()
		}
		return ""
	})
	owner := newOwner(t, server.Addr)
	owner.pool.assign(waitingAttempt(owner, "s0"))
	return owner
}

// Attempts don't wait for a backend that stops serving. A removed backend is deleted from the pool after its last
// waiting attempt and its last connection, which may still be dialing.
func TestWaitingEndsWhenBackendStopsServing(t *testing.T) {
	draining := policy.Backend{ID: "s0", Zone: "a", State: policy.Draining}
	for name, list := range map[string][]Endpoint{"gone": nil, "drains": {{draining, ""}}} {
		server := scripted.NewBackend(t, func(_ int, _ []string, nc net.Conn) string {
			io.WriteString(nc, served)
			nc.Close()
			return ""
		})
		owner := newOwner(t, server.Addr)
		first, second := waitingAttempt(owner, "s0"), waitingAttempt(owner, "s0")
		owner.pool.assign(first)
		for !first.ended || owner.pool.connections > 0 { // served, and its connection has ended
			owner.pool.Handle(<-owner.events)
		}
		owner.pool.assign(second)
		if second.ended || second.conn != nil { // its connection is still dialing
			t.Fatalf("%s: the second attempt does not wait", name)
		}
		owner.pool.Update(list, true)
		if !second.ended || owner.ends[1].outcome != policy.NotSent {
			t.Errorf("%s: the second attempt waits for a backend that does not serve", name)
		}
		for owner.pool.connections > 0 { // closes the connection dialed for the second attempt
			owner.pool.Handle(<-owner.events)
		}
		owner.now += reuseDelay
		owner.fireTimers()
		if _, known := owner.pool.backends["s0"]; known != (name == "drains") {
			t.Errorf("%s: the backend is in the pool: %v", name, known)
		}
	}
}

// A command is not written after its attempt's deadline. This can happen when the process was suspended: the connection
// opens after the deadline, before the owner has aborted the attempt.
func TestNothingIsWrittenAfterDeadline(t *testing.T) {
	server := scripted.NewBackend(t, func(int, []string, net.Conn) string { return served })
	owner := newOwner(t, server.Addr)
	attempt := waitingAttempt(owner, "s0")
	attempt.Deadline = owner.now + time.Second
	owner.pool.assign(attempt)
	opened := (<-owner.events).(connectionOpened)
	owner.now = attempt.Deadline
	owner.pool.handleConnectionOpened(opened)
	if len(owner.ends) != 1 || owner.ends[0].outcome != policy.NotSent || opened.conn.current != nil {
		t.Fatalf("owner notified of ends %v, want one end as NotSent and nothing on the connection", owner.ends)
	}
}
