package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"hitchspring/internal/standin/scripted"
	"hitchspring/policy"
)

// runCounter counts the commands that backends have received, by request id.
type runCounter struct {
	mu   sync.Mutex // guards runs
	runs map[string]int
}

func (c *runCounter) add(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
}

func (c *runCounter) count(id int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[fmt.Sprintf("%016x", id)]
}

// Guards against a request with effects that runs twice because its client leaves and
// sends it once more, with the same id: while an attempt is out, at its deadline, and
// after it.
func TestRequestOfClientThatLeftRunsOnce(t *testing.T) {
	t.Parallel()
	for _, class := range []string{"write", "keyed"} {
		for _, returnsAfter := range []time.Duration{50, 250, 310, 600, 1500} {
			t.Run(fmt.Sprintf("%s, back after %d ms", class, returnsAfter), func(t *testing.T) {
				t.Parallel()
				runs := &runCounter{runs: map[string]int{}}
				backend := scripted.NewBackend(t, func(_ int, args []string, _ net.Conn) string {
					runs.add(args[2])
					time.Sleep(100 * time.Millisecond)
					return scripted.Served
				})
				list := endpointList(backend.Addr, backend.Addr)
				cfg := testConfig(scripted.Registry(t, list, nil), list)
				addr, _ := startInstance(t, cfg)
				fields := strings.Replace(readFields, "c=read", "c="+class, 1)
				fields = strings.Replace(fields, "d=50000", "d=300,k=key", 1)
				command := encodeCommand("Q.DO", "00000000b4d65521", fmt.Sprintf("%016x", 7), fields)
				first, _ := dial(t, addr)
				io.WriteString(first, command)
				eventually(t, 5*time.Second, "the request runs", func() bool { return runs.count(7) == 1 })
				first.Close()
				time.Sleep(returnsAfter * time.Millisecond)
				second, in := dial(t, addr)
				io.WriteString(second, command)
				if answer := readLine(t, in); !strings.HasPrefix(answer, "-ERR") {
					t.Errorf("the second request was answered %q, want a failure", answer)
				}
				if got := runs.count(7); got != 1 {
					t.Errorf("the request ran %d times, want once", got)
				}
			})
		}
	}
}

// An id may be used again if its request never ran: the client may send once more what
// crossed the end of its connection.
func TestRequestThatNeverRanMayComeAgain(t *testing.T) {
	t.Parallel()
	backend := scripted.NewBackend(t, func(int, []string, net.Conn) string { return "-BUSY\r\n" })
	list := endpointList(backend.Addr)
	cfg := testConfig(scripted.Registry(t, list, nil), list)
	cfg.Settings.Classes = append(cfg.Settings.Classes, testClass("short", policy.Unsafe))
	addr, _ := startInstance(t, cfg)
	nc, in := dial(t, addr)
	fields := strings.Replace(readFields, "c=read", "c=short", 1)
	fields = strings.Replace(fields, "d=50000", "d=200", 1)
	for range 3 {
		io.WriteString(nc, encodeCommand("Q.DO", "00000000b4d65521", fmt.Sprintf("%016x", 7), fields))
		if answer := readLine(t, in); !strings.HasPrefix(answer, "-BUSY") {
			t.Errorf("the request was answered %q, want a rejection", answer)
		}
	}
}

// replacement is an instance whose process is being replaced, and a client of either
// process.
type replacement struct {
	t    *testing.T
	runs *runCounter
	ln   sharedListener
	cfg  Config
}

func newReplacement(t *testing.T) *replacement {
	t.Helper()
	r := &replacement{t: t, runs: &runCounter{runs: map[string]int{}}, ln: newSharedListener(t)}
	backend := scripted.NewBackend(t, func(_ int, args []string, _ net.Conn) string {
		r.runs.add(args[2])
		time.Sleep(300 * time.Millisecond)
		return scripted.Served
	})
	list := endpointList(backend.Addr, backend.Addr)
	r.cfg = adminConfig(scripted.Registry(t, list, nil), list)
	return r
}

func (r *replacement) start() (stop func() error) {
	instance, stop := r.ln.start(r.t, r.cfg)
	requireReady(r.t, instance)
	return stop
}

// send sends the request with the id on a connection.
func (r *replacement) send(nc net.Conn, id int) {
	fields := strings.Replace(readFields, "c=read", "c=write", 1)
	fields = strings.Replace(fields, "d=50000", "d=2000", 1)
	io.WriteString(nc, encodeCommand("Q.DO", "00000000b4d65521", fmt.Sprintf("%016x", id), fields))
}

// sendAndLeave sends a request and closes the connection once it runs.
func (r *replacement) sendAndLeave(nc net.Conn, id int) {
	r.send(nc, id)
	eventually(r.t, 5*time.Second, "the request runs", func() bool { return r.runs.count(id) == 1 })
	nc.Close()
}

// requireKnown sends a request once more, which must fail and not run again.
func (r *replacement) requireKnown(nc net.Conn, id int) {
	r.t.Helper()
	r.send(nc, id)
	if answer := readLine(r.t, bufio.NewReader(nc)); !strings.HasPrefix(answer, "-ERR") {
		r.t.Errorf("request %d was answered %q when it came again, want a failure", id, answer)
	}
	if got := r.runs.count(id); got != 1 {
		r.t.Errorf("request %d ran %d times, want once", id, got)
	}
}

func (r *replacement) dial() net.Conn {
	nc, _ := dial(r.t, r.ln.Addr().String())
	return nc
}

// Guards against a request with effects that runs at both processes of an upgrade: its
// client leaves one while it runs and sends it once more to the other.
func TestRequestRunsOnceAcrossReplacement(t *testing.T) {
	t.Parallel()
	r := newReplacement(t)
	stopOld := r.start()
	early, late, returning := r.dial(), r.dial(), r.dial()
	for _, nc := range []net.Conn{late, returning} { // the old process has accepted them
		io.WriteString(nc, encodeCommand("PING"))
		readLine(t, bufio.NewReader(nc))
	}
	r.sendAndLeave(early, 1)
	stopNew := r.start()
	stopped := make(chan error, 1)
	go func() { stopped <- stopOld() }()
	time.Sleep(150 * time.Millisecond) // the old process has handed over, and serves the connections that it has
	r.sendAndLeave(late, 2)
	atNew := r.dial()
	r.sendAndLeave(atNew, 3)
	r.requireKnown(r.dial(), 1)
	r.requireKnown(r.dial(), 2)
	r.requireKnown(returning, 3)
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	r.requireKnown(r.dial(), 1)
	r.requireKnown(r.dial(), 2)
	requireStop(t, stopNew)
}
