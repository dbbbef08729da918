package core

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"hitchspring/internal/standin/scripted"
	"hitchspring/internal/wire"
	"hitchspring/logic"
)

var quiet = slog.New(slog.DiscardHandler)

const served = scripted.Served

// place keeps the answer that it is given.
type place struct{ got Answer }

func (p *place) Answer(a Answer) { p.got = a }

func (p *place) refused(after time.Duration) bool {
	return p.got.Kind == Refused && p.got.RetryAfter == after
}

type noCommand struct{}

func (noCommand) Encode(time.Duration) []byte { return []byte("*1\r\n$4\r\nNONE\r\n") }

func fleetOf(addrs ...string) Fleet {
	f := Fleet{Rev: 1, All: true}
	for i, a := range addrs {
		f.Targets = append(f.Targets, Target{UID: fmt.Sprint("s", i), Endpoint: a, Zone: "a", State: "SERVING"})
	}
	return f
}

func testConfig(disc string, known Fleet) Config {
	return Config{Discovery: disc, Sockets: 256, Known: known,
		Settings: logic.Settings{Gateways: 1, MaxAttempts: 1, MayCancel: true, MaxUnits: 4,
			Classes: []logic.Class{{Name: "read", Worth: 1, Aim: 20 * time.Second, Deadline: 60 * time.Second, Effect: logic.Safe}},
			Plans:   []logic.Plan{{Name: "p", Price: 1}}},
		Connections: wire.Connections{Idle: 15 * time.Second, ConnectTimeout: 5 * time.Second}}
}

// idleGateway is one whose goroutine does not run: the test hands it the events itself.
func idleGateway(t *testing.T, addr string) *Core {
	g, err := New(testConfig("", fleetOf(addr)), quiet)
	if err != nil {
		t.Fatal(err)
	}
	run(t, g)
	return g
}

// run prepares a gateway for events by hand.
func run(t *testing.T, g *Core) {
	ctx, cancel := context.WithCancel(context.Background())
	g.ctx = ctx
	t.Cleanup(func() {
		cancel()
		close(g.stopped)
		g.spawned.Wait()
	})
	g.known()
}

// A drain counts from when it was told: what waited for a connection then is not written any more.
func TestDrainStopsWhatWaits(t *testing.T) {
	be := scripted.NewNode(t, func(int, []string, net.Conn) string { return served })
	g := idleGateway(t, be.Addr)
	a := waitingAttempt(g, "s0")
	g.place(a)
	up := (<-g.events).(connUp)
	f := fleetOf(be.Addr)
	f.All, f.Targets[0].State = false, "DRAINING"
	g.handle(f)
	g.connUp(up)
	if ev := g.queue[0].(logic.AttemptEnded); ev.Outcome != logic.Moot || up.c.cur != nil {
		t.Fatalf("outcome %v, want moot and nothing on the connection", ev.Outcome)
	}
}

// A cancelled attempt that still waits for its connection is moot, and is not written later.
func TestCancelledWhileItWaits(t *testing.T) {
	be := scripted.NewNode(t, func(int, []string, net.Conn) string { return served })
	g := idleGateway(t, be.Addr)
	a := waitingAttempt(g, "s0")
	g.place(a)
	g.giveUp(a, logic.Cancelled)
	up := (<-g.events).(connUp)
	g.connUp(up)
	if ev := g.queue[0].(logic.AttemptEnded); ev.Outcome != logic.Moot || up.c.cur != nil || len(g.queue) != 1 {
		t.Fatalf("told %v, want one moot end", g.queue)
	}
}

// An idle connection is closed before the backend would: a command that crossed that would be a reset.
func TestIdleConnectionIsRetired(t *testing.T) {
	be := scripted.NewNode(t, func(int, []string, net.Conn) string { return served })
	g := idleGateway(t, be.Addr)
	b := g.backends["s0"]
	b.waiting = append(b.waiting, nil)
	g.dial(b)
	b.waiting = nil
	g.connUp((<-g.events).(connUp))
	g.retireIdle()
	if len(b.idle) != 1 {
		t.Fatal("a fresh connection was retired")
	}
	g.now += g.net.Idle - time.Second
	g.retireIdle()
	if down := (<-g.events).(connDown); len(b.idle) != 0 || !down.up {
		t.Fatal("an old connection was kept")
	}
}

// A watch that breaks is resumed: a change told on the next one still arrives.
func TestWatchResumes(t *testing.T) {
	since := make(chan string, 8)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("follow") == "" {
			io.WriteString(w, `{"rev":5,"all":true,"targets":[]}`)
			return
		}
		since <- r.URL.Query().Get("since")
		if len(since) == 1 {
			io.WriteString(w, "\n{\"rev\":6,\"all\":false,\"targets\":[]}\n") // then it breaks
		}
	}))
	defer s.Close()
	events := make(chan event, 64)
	d := newDiscovery(strings.TrimPrefix(s.URL, "http://"), 1, func(e event) { events <- e }, quiet)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.run(ctx)
	}()
	if a, b := (<-events).(Fleet), (<-events).(Fleet); a.Rev != 5 || b.Rev != 6 {
		t.Fatalf("told %d, %d", a.Rev, b.Rev)
	}
	if a, b := <-since, <-since; a != "5" || b != "6" {
		t.Fatalf("watched since %s, then %s; want 5, 6", a, b)
	}
	cancel()
	<-done
}

// An answer that was there before its command had been written belongs to another: the attempt never ran.
func TestAnswerBeforeItsCommand(t *testing.T) {
	g := idleGateway(t, scripted.NewNode(t, nil).Addr)
	a := waitingAttempt(g, "s0")
	g.place(a)
	up := (<-g.events).(connUp)
	up.c.cur = a
	g.handle(replied{up.c, nil, reply{outcome: logic.Done, value: []byte("x"), keep: true}})
	if a.ended {
		t.Fatal("served with another's answer")
	}
	g.handle(<-g.events)
	if !a.ended || a.req.out != 0 {
		t.Fatal("not ended with its connection")
	}
}

func TestParseReply(t *testing.T) {
	load := logic.Load{"qps": 7}
	for in, want := range map[string]reply{
		"*3\r\n$1\r\nx\r\n$-1\r\n$5\r\nqps=7\r\n":         {outcome: logic.Done, value: []byte("x"), load: load, keep: true},
		"*3\r\n$1\r\nx\r\n$-1\r\n$7\r\nqps=NaN\r\n":       {outcome: logic.Done, value: []byte("x"), keep: true},
		"*3\r\n$1\r\nx\r\n$-1\r\n$12\r\nqps=7,a=+Inf\r\n": {outcome: logic.Done, value: []byte("x"), keep: true},
		"*3\r\n$1\r\nx\r\n:7\r\n+ok\r\n":                  {outcome: logic.Done, value: []byte("x"), keep: true},
		"*2\r\n$1\r\nx\r\n$-1\r\n":                        {outcome: logic.Failed},
		"*3\r\n:1\r\n$-1\r\n$-1\r\n":                      {outcome: logic.Failed},
		"-ERR failed\r\n":                                 {outcome: logic.Failed, keep: true},
		"-ERR failed qps=7\r\n":                           {outcome: logic.Failed, load: load, keep: true},
		"-BUSY qps=7\r\n":                                 {outcome: logic.Full, load: load, keep: true},
		"-BUSYBODY\r\n":                                   {outcome: logic.Failed},
		"-SYNTAX\r\n":                                     {outcome: logic.Failed},
		"+PONG\r\n":                                       {outcome: logic.Done, keep: true},
		"+OK\r\n":                                         {outcome: logic.Failed},
		"$6\r\nqps=-1\r\n":                                {outcome: logic.Done, keep: true},
	} {
		if got := parseReply([]byte(in)); !reflect.DeepEqual(got, want) {
			t.Errorf("%q: %+v, want %+v", in, got, want)
		}
	}
}

// Where all connections that may be open are busy elsewhere, the next that is free makes room: an attempt
// at another backend once waited for good.
func TestWaitingForTheCapOfAll(t *testing.T) {
	a, b := scripted.NewNode(t, nil), scripted.NewNode(t, nil)
	g, err := New(testConfig("", fleetOf(a.Addr, b.Addr)), quiet)
	if err != nil {
		t.Fatal(err)
	}
	run(t, g)
	g.mostConns = 1
	first, second := waitingAttempt(g, "s0"), waitingAttempt(g, "s1")
	g.place(first)
	up := (<-g.events).(connUp)
	g.handle(up)
	g.place(second)
	g.handle(replied{up.c, first, reply{outcome: logic.Done, keep: true}})
	g.now += restTime
	g.ring()
	for second.conn == nil {
		g.handle(<-g.events)
	}
}

// A backend that answers what was not yet written to it must not block the gateway's goroutine.
func TestFullConnectionDoesNotBlock(t *testing.T) {
	g := idleGateway(t, scripted.NewNode(t, nil).Addr)
	near, far := net.Pipe()
	defer far.Close()
	c := &conn{be: g.backends["s0"], nc: near, work: make(chan job, 1)}
	g.write(c, waitingAttempt(g, "s0"))
	g.write(c, waitingAttempt(g, "s0"))
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
			a := &attempt{}
			cn := &conn{nc: near, work: make(chan job, 1), dead: make(chan struct{})}
			cn.work <- job{a, []byte("123456789")}
			written := make(chan struct{})
			go func() {
				defer close(written)
				cn.write()
			}()
			io.ReadFull(far, make([]byte, c.read))
			if c.whole {
				close(cn.dead)
			} else {
				far.Close()
			}
			<-written
			if got := cn.whole.Load(); (got == a) != c.whole {
				t.Fatalf("whole: %v, want %v", got == a, c.whole)
			}
		})
	}
}

// The same where the commands that are kept would fill the memory; what ends makes room again.
func TestMostHeld(t *testing.T) {
	g := idleGateway(t, scripted.NewNode(t, nil).Addr)
	arrive := func(key uint64) *Request {
		r := &Request{Key: key, Size: g.mostHeld - 1000, Place: &place{}}
		r.Class, r.Plan, r.Units, r.Spread, r.GiveUpAt = "read", "p", 1, 1, g.now+time.Minute
		g.handle(arrived{r})
		return r
	}
	first, second := arrive(1), arrive(2)
	if first.final || !second.Place.(*place).refused(250*time.Millisecond) {
		t.Fatalf("first final: %v; second answered %v", first.final, second.Place.(*place).got)
	}
	g.handle(abandoned{[]*Request{first}})
	if third := arrive(3); third.final {
		t.Fatalf("third answered %v after the first had ended", third.Place.(*place).got)
	}
}

func waitingAttempt(g *Core, id logic.ServerID) *attempt {
	return &attempt{req: &Request{Command: noCommand{}, Place: &place{}, out: 1}, be: g.backends[id], stop: time.Hour}
}

// A keyed request may be sent again only while its group remembers it, and the module leaves 10% of that time for
// the way. A copy that waits for a connection for longer must not be written any more: it never ran.
func TestWaitForConnectionEnds(t *testing.T) {
	g := idleGateway(t, scripted.NewNode(t, nil).Addr)
	g.mostConns = 0
	a := waitingAttempt(g, "s0")
	g.place(a)
	g.now += g.net.ConnectTimeout
	g.ring()
	if !a.ended || len(a.be.waiting) != 0 {
		t.Fatal("the attempt still waits for a connection")
	}
}

// An attempt that is known to be written whole ends the moment it is given up: a gateway that was busy once
// failed the request before the connection's own word came.
func TestWrittenAttemptEndsAtOnce(t *testing.T) {
	be := scripted.NewNode(t, nil)
	g := idleGateway(t, be.Addr)
	a := waitingAttempt(g, "s0")
	g.place(a)
	g.handle(<-g.events)
	for len(be.Seen()) < 1 || a.conn.whole.Load() != a {
		time.Sleep(time.Millisecond)
	}
	g.giveUp(a, logic.TimedOut)
	if !a.ended || g.queue[0].(logic.AttemptEnded).Outcome != logic.TimedOut {
		t.Fatalf("ended: %v, told %v", a.ended, g.queue)
	}
}

// Backends come under ever new ids: one that is gone is forgotten as soon as its last connection is, though another may
// have taken its address by then.
func TestGoneBackendIsForgotten(t *testing.T) {
	be := scripted.NewNode(t, func(int, []string, net.Conn) string { return served })
	g := idleGateway(t, be.Addr)
	a := waitingAttempt(g, "s0")
	a.req.final = true // answered: nothing goes to a client here
	g.place(a)
	up := (<-g.events).(connUp)
	g.handle(up)
	f := fleetOf(be.Addr, be.Addr)
	f.All, f.Targets[0].State = false, "DELETED"
	g.handle(f)
	if len(g.backends) != 2 {
		t.Fatalf("%d backends while an attempt is out, want 2", len(g.backends))
	}
	g.handle(<-g.events) // the answer
	g.now += restTime
	g.ring()
	g.handle(<-g.events) // the connection's end
	if g.conns != 0 || g.backends["s1"] == nil {
		t.Fatalf("%d connections, backends %v", g.conns, g.backends)
	}
}

// What discovery says is believed only where it can be: an older list would revive what is gone.
func TestOddLists(t *testing.T) {
	var told []Fleet
	d := newDiscovery("127.0.0.1:1", 7, func(e event) { told = append(told, e.(Fleet)) }, quiet)
	for _, c := range []struct {
		in    string
		ok    bool
		known int // entries told
	}{
		{`{"rev":8`, false, -1},
		{`[]`, false, -1},
		{`{"rev":"x","all":true,"targets":[]}`, false, -1},
		{`{"rev":6,"all":true,"targets":[{"uid":"a","endpoint":"127.0.0.1:1","state":"SERVING"}]}`, true, -1},
		{`{"rev":7,"all":true,"targets":[{"uid":"a","endpoint":"127.0.0.1:1","state":"SERVING"},
			{"endpoint":"127.0.0.1:1","state":"SERVING"},{"uid":"b","state":"SERVING"},{"uid":"c","state":"DELETED"},
			{"uid":"d","endpoint":"127.0.0.1","state":"SERVING"},{"uid":"e","endpoint":"127.0.0.1:1","boot_ms":-5}]}`, true, 2},
	} {
		told = nil
		if err := d.tell([]byte(c.in)); (err == nil) != c.ok {
			t.Errorf("%s: %v", c.in, err)
		}
		if c.known < 0 && len(told) > 0 || c.known >= 0 && (len(told) != 1 || len(told[0].Targets) != c.known) {
			t.Errorf("%s: told %v, want %d entries", c.in, told, c.known)
		}
	}
	if s := (Target{UID: "a", Endpoint: "127.0.0.1:1", State: "ODD"}).server(); s.State != logic.Draining {
		t.Errorf("an unknown state is %v, want draining", s.State)
	}
}
