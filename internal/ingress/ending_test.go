package ingress

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"hitchspring/internal/discovery"
	"hitchspring/internal/standin/scripted"
)

// leftFor is how long after a client has left nothing may go out for it any more.
const disconnectGrace = 100 * time.Millisecond

// What a client has asked that left while it waited is not sent when there is room again. The node holds what fills the window; the
// observer is the node's record of commands. The last request, of a client that stays, passes the same queue behind them.
func TestNothingIsSentForDisconnectedClients(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(t *testing.T, addr string, id func() int) (gone func()){
		"one client": func(t *testing.T, addr string, id func() int) func() {
			nc, _ := dial(t, addr)
			io.WriteString(nc, encodeRead(id(), readFields))
			return func() { nc.Close() }
		},
		"a burst of clients": func(t *testing.T, addr string, id func() int) func() {
			var conns []net.Conn
			for range 60 {
				nc, _ := dial(t, addr)
				io.WriteString(nc, encodeRead(id(), readFields))
				conns = append(conns, nc)
			}
			return func() {
				for _, nc := range conns {
					nc.Close()
				}
			}
		},
		"a burst of one client": func(t *testing.T, addr string, id func() int) func() {
			nc, _ := dial(t, addr)
			for range 100 {
				io.WriteString(nc, encodeRead(id(), readFields))
			}
			return func() { nc.Close() }
		},
		"nonsense and away": func(t *testing.T, addr string, id func() int) func() {
			nc, _ := dial(t, addr)
			io.WriteString(nc, encodeRead(id(), readFields)+encodeRead(id(), readFields)+strings.Repeat("nonsense\r\n", 2000))
			return func() { nc.Close() }
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			holds := make(chan struct{})
			release := sync.OnceFunc(func() { close(holds) })
			defer release()
			var mu sync.Mutex
			leftIDs := map[string]bool{}
			backend := scripted.NewBackend(t, func(int, []string, net.Conn) string {
				<-holds
				return servedReply
			})
			list := fleetOf(backend.Addr)
			addr, instance := startInstance(t, testConfig(scripted.Registry(t, list, nil), list))
			first, fin := dial(t, addr)
			const window = 4 // of one node at one instance
			for i := range window {
				io.WriteString(first, encodeRead(i+1, readFields))
			}
			eventually(t, 10*time.Second, "the window is full", func() bool { return len(backend.Seen()) == window })
			n := 100
			gone := leave(t, addr, func() int {
				n++
				mu.Lock()
				leftIDs[fmt.Sprintf("%016x", n)] = true
				mu.Unlock()
				return n
			})
			held := min(len(leftIDs), 64)
			eventually(t, 10*time.Second, "they wait", func() bool { return instance.core.Metrics().Current() >= int64(window+held) })
			stays, in := dial(t, addr)
			gone()
			<-time.After(disconnectGrace)
			io.WriteString(stays, encodeRead(99, readFields))
			eventually(t, 10*time.Second, "one more waits", func() bool { return instance.core.Metrics().Current() == window+1 })
			release()
			requireValue(t, in)
			for range window {
				requireValue(t, fin)
			}
			for _, args := range backend.Seen() {
				if leftIDs[args[2]] {
					t.Errorf("%s was sent %v or more after its client had left", args[2], disconnectGrace)
				}
			}
		})
	}
}

// At a restart with short deadlines the platform kills what has not ended 0.7 s and the longest deadline after SIGTERM. By then each request
// that was taken has its answer: what waited and never ran is refused, what may have run of a class that may not be repeated has failed, and
// what clients go on sending on connections that are open since an answer is owed there is refused.
func TestShutdownWithinShortDeadlines(t *testing.T) {
	t.Parallel()
	const deadline = 900 * time.Millisecond
	backend := scripted.NewBackend(t, nil) // takes everything, says nothing
	list := fleetOf(backend.Addr)
	cfg := testConfig(scripted.Registry(t, list, nil), list)
	cfg.Settings.MaxRetryAfter = 500 * time.Millisecond
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].LatencyObjective, cfg.Settings.Classes[i].Deadline = 850*time.Millisecond, deadline
	}
	addr, stop := startIngress(t, cfg)
	fields := strings.Replace(readFields, "d=50000", "d=900", 1)
	unsafe := strings.Replace(fields, "c=read", "c=write", 1)
	type end struct {
		out, late bool
		nc        net.Conn
		got       chan string
	}
	var ends []*end
	send := func(n int, out bool, text func(id int) string) {
		for range n {
			nc, in := dial(t, addr)
			e := &end{out: out, nc: nc, got: make(chan string, 8)}
			ends = append(ends, e)
			io.WriteString(nc, text(len(ends)))
			go func() {
				defer close(e.got)
				for {
					s, err := in.ReadString('\n')
					if err != nil {
						return
					}
					e.got <- s
				}
			}()
		}
	}
	write := func(id int) string {
		return encodeCommand("Q.DO", "00000000b4d65521", fmt.Sprintf("%016x", id), unsafe)
	}
	send(4, true, write) // fill the window
	eventually(t, 10*time.Second, "the window is full", func() bool { return len(backend.Seen()) == 4 })
	began := time.Now()
	ended := make(chan error, 1)
	go func() { ended <- stop() }()
	<-time.After(listenerGrace - 150*time.Millisecond) // as late as clients still come
	send(6, false, func(id int) string { return encodeRead(id, fields) })
	<-time.After(time.Until(began.Add(commandGrace + 60*time.Millisecond)))
	for i, e := range ends[4:] { // they are owed an answer still: their connections are open
		e.late = true
		io.WriteString(e.nc, encodeRead(500+i, fields))
	}
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took > deadline+commandGrace {
		t.Errorf("ended after %v, the platform kills after %v", took, deadline+commandGrace)
	}
	for i, e := range ends {
		var got []string
		for s := range e.got {
			got = append(got, s)
		}
		want := 1
		if e.late {
			want = 2
		}
		if len(got) != want {
			t.Errorf("client %d: answers %q, want %d", i, got, want)
		}
		for _, s := range got {
			if e.out && !strings.HasPrefix(s, "-ERR") || !e.out && !strings.HasPrefix(s, "-BUSY ") {
				t.Errorf("client %d: %q", i, s)
			}
		}
	}
	if n := len(backend.Seen()); n > 4+6 {
		t.Errorf("the node was sent %d commands", n)
	}
}

// A second copy of an answer may come some milliseconds late. It must not be taken for the answer to the next command, which waits on
// that connection: the node holds it back for longer than a command took to follow once.
func TestLateDuplicateAnswer(t *testing.T) {
	t.Parallel()
	value := func(args []string) string { return "*3\r\n$1\r\n" + args[2][15:] + "\r\n$-1\r\n$-1\r\n" }
	backend := scripted.NewBackend(t, func(_ int, args []string, nc net.Conn) string {
		go func() {
			<-time.After(8500 * time.Microsecond) // the latest that was seen
			io.WriteString(nc, value(args))
		}()
		io.WriteString(nc, value(args))
		<-time.After(12 * time.Millisecond) // a command that has followed is answered behind the copy
		return ""
	})
	list := fleetOf(backend.Addr)
	addr, _ := startIngress(t, testConfig(scripted.Registry(t, list, nil), list))
	nc, in := dial(t, addr)
	for id := 1; id <= 9; id++ {
		io.WriteString(nc, encodeRead(id, readFields))
		if a, b := readLine(t, in), readLine(t, in); a != "$1" || b != fmt.Sprint(id) {
			t.Fatalf("request %d was answered %q, %q", id, a, b)
		}
	}
}

// A large value whose node falls silent in the middle is owed an end when its client's time is over: it is cut, so that the client sees that
// it is not whole, and not seconds later.
func TestLargeValueIsCutAtDeadline(t *testing.T) {
	t.Parallel()
	backend := scripted.NewBackend(t, func(int, []string, net.Conn) string {
		return encodeValue(pattern(1, 200<<10))[:100<<10] // and no more
	})
	list := fleetOf(backend.Addr)
	addr, _ := startIngress(t, testConfig(scripted.Registry(t, list, nil), list))
	nc, in := dial(t, addr)
	const wait = time.Second
	began := time.Now()
	io.WriteString(nc, encodeRead(1, strings.Replace(readFields, "d=50000", "d=1000", 1)))
	n, err := io.Copy(io.Discard, in)
	if took := time.Since(began); took < wait || took > wait+500*time.Millisecond {
		t.Errorf("cut after %v (%d bytes, %v), its time is %v", took, n, err, wait)
	}
}

// A keyed request is sent again only while the nodes that would drop the repeat still know the first attempt. The repeat's connection comes up when
// they may have forgotten it: it is not written any more.
func TestRetryIsNotSentAfterRepeatWindow(t *testing.T) {
	t.Parallel()
	var backend *scripted.Late
	reset := make(chan struct{})
	backend = scripted.NewLate(t, func(n int, _ []string, nc net.Conn) string {
		if n > 1 {
			return servedReply
		}
		backend.Hold() // before the repeat can look for another connection
		close(reset)
		nc.Close()
		return ""
	})
	list := fleetOf(backend.Addr)
	cfg := testConfig(scripted.Registry(t, list, nil), list)
	cfg.Settings.MaxAttempts = 3
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].RepeatWindow = 700 * time.Millisecond // a connection that is begun now comes up after a second
	}
	addr, _ := startIngress(t, cfg)
	nc, in := dial(t, addr)
	io.WriteString(nc, encodeCommand("Q.DO", "00000000b4d65521", "9b1f03aa5c7e2d41", "c=keyed,t=p,d=50000,k=1,units=1,spread=1,first=0"))
	<-reset
	eventually(t, 10*time.Second, "the repeat's connection is begun", backend.Begun)
	backend.Open()
	if got := readLine(t, in); !strings.HasPrefix(got, "-ERR") { // it may have run
		t.Errorf("answered %q, want that it has failed", got)
	}
	io.WriteString(nc, encodeRead(7, readFields)) // waits for the same connection, or takes it
	requireValue(t, in)
	for _, args := range backend.Seen()[1:] {
		if args[0] == "Q.DO" {
			t.Errorf("repeated after its window: %q", args)
		}
	}
}

// Nothing goes out for a request that is over, also where the settings let nothing be called off: what still waits for a connection then is not
// written when that comes up.
func TestNothingIsSentForConcludedRequests(t *testing.T) {
	t.Parallel()
	later := encodeRead(9, readFields)
	t.Run("its client has left", func(t *testing.T) {
		t.Parallel()
		backend := scripted.NewLate(t, func(int, []string, net.Conn) string { return servedReply })
		backend.Hold()
		list := fleetOf(backend.Addr)
		cfg := testConfig(scripted.Registry(t, list, nil), list)
		cfg.Settings.MayCancel = false
		addr, instance := startInstance(t, cfg)
		nc, _ := dial(t, addr)
		io.WriteString(nc, encodeRead(1, readFields))
		eventually(t, 10*time.Second, "a connection to the node is begun", backend.Begun)
		nc.Close()
		eventually(t, 10*time.Second, "its leaving is known", func() bool { return instance.core.Metrics().Current() == 0 })
		backend.Open()
		nc, in := dial(t, addr)
		io.WriteString(nc, later)
		requireValue(t, in)
		if seen := backend.Seen(); len(seen) != 1 {
			t.Errorf("the node was sent %q", seen)
		}
	})
	t.Run("another copy was served", func(t *testing.T) {
		t.Parallel()
		late := scripted.NewLate(t, func(int, []string, net.Conn) string { return servedReply })
		late.Hold()
		backend := scripted.NewBackend(t, func(n int, _ []string, _ net.Conn) string {
			for n == 2 && !late.Begun() { // it holds its answer until the other copy waits for a connection
				runtime.Gosched()
			}
			return servedReply
		})
		changes := make(chan discovery.List)
		list := fleetOf(backend.Addr)
		cfg := testConfig(scripted.Registry(t, list, changes), list)
		cfg.Settings.MayCancel, cfg.Settings.Hedging, cfg.Settings.MaxAttempts = false, true, 2
		addr, _ := startIngress(t, cfg)
		nc, in := dial(t, addr)
		io.WriteString(nc, encodeRead(1, readFields)) // from now on it is known how long an answer takes
		requireValue(t, in)
		both := fleetOf(backend.Addr, late.Addr)
		both.Rev = 2
		changes <- both
		io.WriteString(nc, encodeRead(2, readFields))
		requireValue(t, in)
		both.Rev, both.Targets[0].State = 3, "DRAINING"
		changes <- both
		late.Open()
		eventually(t, 10*time.Second, "the connection is up", func() bool { return late.Conns.Load() == 3 })
		io.WriteString(nc, later)
		requireValue(t, in)
		if seen := late.Seen(); len(seen) != 1 || seen[0][2] != "0000000000000009" {
			t.Errorf("the node was sent %q", seen)
		}
	})
}

// A node is drained by an entry that says so and no more: nothing is sent to it after that.
func TestDrainWithoutAddress(t *testing.T) {
	t.Parallel()
	first := scripted.NewBackend(t, func(int, []string, net.Conn) string { return servedReply })
	second := scripted.NewBackend(t, func(int, []string, net.Conn) string { return servedReply })
	changes := make(chan discovery.List)
	list := fleetOf(first.Addr, second.Addr)
	cfg := testConfig(scripted.Registry(t, list, changes), list)
	cfg.Settings.MaxAttempts = 3 // an attempt that waits for a connection when its node is taken out is not written
	instance, _ := runIngress(t, cfg)
	changes <- discovery.List{Rev: 2, Targets: []discovery.Target{{UID: "s0", Zone: "a", State: "DRAINING"}}}
	changes <- discovery.List{Rev: 3} // has come when the one before was told
	nc, in := dial(t, instance.Addr().String())
	id := 0
	ask := func() {
		id++
		io.WriteString(nc, encodeRead(id, readFields))
		requireValue(t, in)
	}
	eventually(t, 10*time.Second, "the drain is known", func() bool {
		n := len(first.Seen())
		for range 8 { // all to the other, by chance, once in 256 times
			ask()
		}
		return len(first.Seen()) == n
	})
	n := len(first.Seen())
	for range 40 {
		ask()
	}
	if got := len(first.Seen()); got > n {
		t.Errorf("%d more were sent to the node that drains", got-n)
	}
}
