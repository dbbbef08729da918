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

func (noCommand) Encode(time.Duration) []byte { return []byte("*1\r\n$4\r\nNONE\r\n") }

// testOwner is an owner whose goroutine is the test: it hands the pool the events itself, and moves the clock.
type testOwner struct {
	pool    *Pool
	now     time.Duration
	events  chan Event
	ctx     context.Context
	wg      sync.WaitGroup
	timers  []testTimer
	ends    []attemptEnd
	streams []*Stream
	// unwanted says that no value is waited for.
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

func (o *testOwner) AttemptBegan(a *Attempt, s *Stream) bool {
	o.streams = append(o.streams, s)
	return !o.unwanted
}

// ring does what is due.
func (o *testOwner) fireTimers() {
	due := o.timers
	o.timers = nil
	for _, a := range due {
		if a.at <= o.now {
			a.do()
		} else {
			o.timers = append(o.timers, a)
		}
	}
}

func entries(addrs ...string) (out []Endpoint) {
	for i, a := range addrs {
		out = append(
			out,
			Endpoint{
				policy.Backend{ID: policy.BackendID("s" + string(rune('0'+i))), Zone: "a", State: policy.Running},
				a,
			},
		)
	}
	return out
}

func newOwner(t *testing.T, addrs ...string) *testOwner {
	ctx, cancel := context.WithCancel(context.Background())
	g := &testOwner{now: time.Minute, events: make(chan Event, 64), ctx: ctx}
	g.pool = New(
		g,
		Config{
			ConnectTimeout: 5 * time.Second,
			Idle:           15 * time.Second,
			MaxConnections: 96,
			Frames:         resp.NewBudget(1 << 20),
		},
	)
	g.pool.Update(entries(addrs...), true)
	t.Cleanup(func() {
		cancel()
		g.wg.Wait()
	})
	return g
}

// A drain counts from when it was told: what waited for a connection then is not written any more.
func TestDrainStopsWhatWaits(t *testing.T) {
	be := scripted.NewBackend(t, func(int, []string, net.Conn) string { return served })
	g := newOwner(t, be.Addr)
	a := waitingAttempt(g, "s0")
	g.pool.assign(a)
	up := (<-g.events).(connectionOpened)
	f := entries(be.Addr)
	f[0].State = policy.Draining
	g.pool.Update(f, false)
	g.pool.handleConnectionOpened(up)
	if ev := g.ends[0]; ev.outcome != policy.NotSent || up.conn.current != nil {
		t.Fatalf("outcome %v, want moot and nothing on the connection", ev.outcome)
	}
}

// A cancelled attempt that still waits for its connection is moot, and is not written later.
func TestCancelledWhileItWaits(t *testing.T) {
	be := scripted.NewBackend(t, func(int, []string, net.Conn) string { return served })
	g := newOwner(t, be.Addr)
	a := waitingAttempt(g, "s0")
	g.pool.assign(a)
	g.pool.Abort(a, policy.Cancelled)
	up := (<-g.events).(connectionOpened)
	g.pool.handleConnectionOpened(up)
	if ev := g.ends[0]; ev.outcome != policy.NotSent || up.conn.current != nil || len(g.ends) != 1 {
		t.Fatalf("told %v, want one moot end", g.ends)
	}
}

// An idle connection is closed before the node would: a command that crossed that would be a reset.
func TestIdleConnectionIsRetired(t *testing.T) {
	be := scripted.NewBackend(t, func(int, []string, net.Conn) string { return served })
	g := newOwner(t, be.Addr)
	b := g.pool.backends["s0"]
	b.waiting = append(b.waiting, nil)
	g.pool.dialForWaiting(b)
	b.waiting = nil
	g.pool.handleConnectionOpened((<-g.events).(connectionOpened))
	g.pool.RetireIdle()
	if len(b.idle) != 1 {
		t.Fatal("a fresh connection was retired")
	}
	g.now += g.pool.cfg.Idle - time.Second
	g.pool.RetireIdle()
	if down := (<-g.events).(connectionClosed); len(b.idle) != 0 || !down.wasOpen {
		t.Fatal("an old connection was kept")
	}
}

// An answer that was there before its command had been written belongs to another: the attempt never ran.
func TestAnswerBeforeItsCommand(t *testing.T) {
	g := newOwner(t, scripted.NewBackend(t, nil).Addr)
	a := waitingAttempt(g, "s0")
	g.pool.assign(a)
	up := (<-g.events).(connectionOpened)
	up.conn.current = a
	g.pool.Handle(replyReceived{up.conn, nil, Reply{outcome: policy.Succeeded, Value: []byte("x"), reusable: true}})
	if a.ended {
		t.Fatal("served with another's answer")
	}
	g.pool.Handle(<-g.events)
	if !a.ended || len(g.ends) != 1 {
		t.Fatal("not ended with its connection")
	}
}

func TestParseReply(t *testing.T) {
	load := policy.Load{"qps": 7}
	for in, want := range map[string]Reply{
		"*3\r\n$1\r\nx\r\n$-1\r\n$5\r\nqps=7\r\n":         {outcome: policy.Succeeded, Value: []byte("x"), Load: load, reusable: true},
		"*3\r\n$1\r\nx\r\n$-1\r\n$7\r\nqps=NaN\r\n":       {outcome: policy.Succeeded, Value: []byte("x"), reusable: true},
		"*3\r\n$1\r\nx\r\n$-1\r\n$12\r\nqps=7,a=+Inf\r\n": {outcome: policy.Succeeded, Value: []byte("x"), reusable: true},
		"*3\r\n$1\r\nx\r\n:7\r\n+ok\r\n":                  {outcome: policy.Succeeded, Value: []byte("x"), reusable: true},
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

// Where all connections that may be open are busy elsewhere, the next that is free makes room: an attempt
// at another node once waited for good.
func TestWaitingForTheCapOfAll(t *testing.T) {
	a, b := scripted.NewBackend(t, nil), scripted.NewBackend(t, nil)
	g := newOwner(t, a.Addr, b.Addr)
	g.pool.cfg.MaxConnections = 1
	first, second := waitingAttempt(g, "s0"), waitingAttempt(g, "s1")
	g.pool.assign(first)
	up := (<-g.events).(connectionOpened)
	g.pool.Handle(up)
	g.pool.assign(second)
	g.pool.Handle(replyReceived{up.conn, first, Reply{outcome: policy.Succeeded, reusable: true}})
	g.now += reuseDelay
	g.fireTimers()
	for second.conn == nil {
		g.pool.Handle(<-g.events)
	}
}

// A node that answers what was not yet written to it must not block the owner's goroutine.
func TestFullConnectionDoesNotBlock(t *testing.T) {
	g := newOwner(t, scripted.NewBackend(t, nil).Addr)
	near, far := net.Pipe()
	defer far.Close()
	c := &conn{backend: g.pool.backends["s0"], nc: near, writes: make(chan pendingWrite, 1)}
	g.pool.send(c, waitingAttempt(g, "s0"))
	g.pool.send(c, waitingAttempt(g, "s0"))
	if _, err := near.Write(nil); err == nil {
		t.Fatal("the connection was kept")
	}
}

// A command that was cut off before its last byte never ran; one that was written whole may have.
func TestOnlyWholeCommandsMayHaveRun(t *testing.T) {
	for name, c := range map[string]struct {
		read  int
		whole bool
	}{"cut off": {3, false}, "whole": {9, true}} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			a := &Attempt{}
			cn := &conn{nc: near, writes: make(chan pendingWrite, 1), readerDone: make(chan struct{})}
			cn.writes <- pendingWrite{attempt: a, command: []byte("123456789")}
			written := make(chan struct{})
			go func() {
				defer close(written)
				cn.write()
			}()
			io.ReadFull(far, make([]byte, c.read))
			if c.whole {
				close(cn.readerDone)
			} else {
				far.Close()
			}
			<-written
			if got := cn.lastWritten.Load(); (got == a) != c.whole {
				t.Fatalf("whole: %v, want %v", got == a, c.whole)
			}
		})
	}
}

func waitingAttempt(g *testOwner, id policy.BackendID) *Attempt {
	return &Attempt{Ref: g, Command: noCommand{}, backend: g.pool.backends[id], Deadline: time.Hour}
}

// A keyed request may be sent again only while its group remembers it, and the module leaves 10% of that time for
// the way. A copy that waits for a connection for longer must not be written any more: it never ran.
func TestWaitForConnectionEnds(t *testing.T) {
	g := newOwner(t, scripted.NewBackend(t, nil).Addr)
	g.pool.cfg.MaxConnections = 0
	a := waitingAttempt(g, "s0")
	g.pool.assign(a)
	g.now += g.pool.cfg.ConnectTimeout
	g.fireTimers()
	if !a.ended || len(a.backend.waiting) != 0 {
		t.Fatal("the attempt still waits for a connection")
	}
}

// An attempt that is known to be written whole ends the moment it is given up: a gateway that was busy once
// failed the request before the connection's own word came.
func TestWrittenAttemptEndsAtOnce(t *testing.T) {
	be := scripted.NewBackend(t, nil)
	g := newOwner(t, be.Addr)
	a := waitingAttempt(g, "s0")
	g.pool.assign(a)
	g.pool.Handle(<-g.events)
	for len(be.Seen()) < 1 || a.conn.lastWritten.Load() != a {
		time.Sleep(time.Millisecond)
	}
	g.pool.Abort(a, policy.TimedOut)
	if !a.ended || g.ends[0].outcome != policy.TimedOut {
		t.Fatalf("ended: %v, told %v", a.ended, g.ends)
	}
}

// Backends come under ever new ids: one that is gone is forgotten as soon as its last connection is, though another may
// have taken its address by then.
func TestGoneBackendIsForgotten(t *testing.T) {
	be := scripted.NewBackend(t, func(int, []string, net.Conn) string { return served })
	g := newOwner(t, be.Addr)
	a := waitingAttempt(g, "s0")
	g.pool.assign(a)
	up := (<-g.events).(connectionOpened)
	g.pool.Handle(up)
	f := entries(be.Addr, be.Addr)
	f[0].State = policy.Gone
	g.pool.Update(f, false)
	if len(g.pool.backends) != 2 {
		t.Fatalf("%d nodes while an attempt is out, want 2", len(g.pool.backends))
	}
	g.pool.Handle(<-g.events) // the answer
	g.now += reuseDelay
	g.fireTimers()
	g.pool.Handle(<-g.events) // the connection's end
	if g.pool.connections != 0 || g.pool.backends["s1"] == nil {
		t.Fatalf("%d connections, nodes %v", g.pool.connections, g.pool.backends)
	}
}

// A large value that nobody waits for any more is no fault of its node's: the attempt is cancelled, not reset. One
// that is wanted and breaks off is a reset, whatever had come.
func TestLargeValueUnwantedOrBroken(t *testing.T) {
	for name, c := range map[string]struct {
		unwanted bool
		want     policy.Outcome
	}{"unwanted": {true, policy.Cancelled}, "broken": {false, policy.Reset}} {
		t.Run(name, func(t *testing.T) {
			be := scripted.NewBackend(t, func(_ int, _ []string, nc net.Conn) string {
				io.WriteString(nc, "*3\r\n$1000000\r\nsome")
				if !c.unwanted {
					nc.Close()
				}
				return ""
			})
			g := newOwner(t, be.Addr)
			g.unwanted = c.unwanted
			a := waitingAttempt(g, "s0")
			g.pool.assign(a)
			read := make(chan error, 1)
			for len(g.ends) == 0 {
				g.pool.Handle(<-g.events)
				if len(g.streams) == 1 && !c.unwanted {
					s := g.streams[0]
					g.streams = append(g.streams, nil)
					go func() {
						_, err := io.Copy(io.Discard, s)
						read <- err
					}()
				}
			}
			if g.ends[0].outcome != c.want || len(g.ends) != 1 {
				t.Fatalf("ended as %v, want %v", g.ends, c.want)
			}
			if !c.unwanted {
				if err := <-read; err == nil {
					t.Fatal("a value that broke off was read to an end")
				}
			}
		})
	}
}

// What waits for a connection to a node is not kept waiting when the node stops serving, and a node that is gone is
// forgotten with the last that waited for it or was begun for them.
func TestNobodyWaitsForANodeThatStopsServing(t *testing.T) {
	for name, list := range map[string][]Endpoint{"gone": nil, "drains": {{policy.Backend{ID: "s0", Zone: "a", State: policy.Draining}, ""}}} {
		be := scripted.NewBackend(t, func(_ int, _ []string, nc net.Conn) string {
			io.WriteString(nc, served)
			nc.Close()
			return ""
		})
		g := newOwner(t, be.Addr)
		first, second := waitingAttempt(g, "s0"), waitingAttempt(g, "s0")
		g.pool.assign(first)
		for !first.ended || g.pool.connections > 0 { // served, and its connection has ended
			g.pool.Handle(<-g.events)
		}
		g.pool.assign(second)
		if second.ended || second.conn != nil { // its own is only begun
			t.Fatalf("%s: the second attempt does not wait", name)
		}
		g.pool.Update(list, true)
		if !second.ended || g.ends[1].outcome != policy.NotSent {
			t.Errorf("%s: the second attempt waits for a node that does not serve", name)
		}
		for g.pool.connections > 0 { // the end of what was begun for the second attempt
			g.pool.Handle(<-g.events)
		}
		g.now += reuseDelay
		g.fireTimers()
		if _, known := g.pool.backends["s0"]; known != (name == "drains") {
			t.Errorf("%s: the node is known: %v", name, known)
		}
	}
}

// TestNothingIsWrittenAfterItsTime has a connection come up when an attempt's time is over, before the owner has
// come to giving it up, as after a moment in which the process stood still. It is not written: its client waits no
// longer.
func TestNothingIsWrittenAfterItsTime(t *testing.T) {
	be := scripted.NewBackend(t, func(int, []string, net.Conn) string { return served })
	g := newOwner(t, be.Addr)
	a := waitingAttempt(g, "s0")
	a.Deadline = g.now + time.Second
	g.pool.assign(a)
	up := (<-g.events).(connectionOpened)
	g.now = a.Deadline
	g.pool.handleConnectionOpened(up)
	if len(g.ends) != 1 || g.ends[0].outcome != policy.NotSent || up.conn.current != nil {
		t.Fatalf("told %v, want one moot end and nothing on the connection", g.ends)
	}
}
