package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"hitchspring/internal/discovery"
	"hitchspring/internal/standin/scripted"
)

const (
	killRounds   = 12                    // with another moment of the kill each
	killClients  = 60                    // that connect around the kill, of each round
	killStep     = 4 * time.Millisecond  // by which the kill comes later in each round
	sentAfter    = 50 * time.Millisecond // of a process's end: what was written before has surely come at its backend
	nodeWork     = 3 * time.Millisecond  // of a backend for one request
	termClients  = 360                   // that connect around a SIGTERM
	termBefore   = 100 * time.Millisecond
	termAfter    = 800 * time.Millisecond
	termServed   = 500 * time.Millisecond // after SIGTERM: who comes by then is answered; the listener closes at 600 ms
	firstKillID  = 1 << 24
	firstTermID  = 1 << 28
	answerWithin = 3 * time.Second
)

// sentLog is what a backend saw: when the command of each id came.
type sentLog struct {
	mu   sync.Mutex
	came map[string][]time.Time
}

// backend starts a backend that records what it sees, and returns its address.
func (l *sentLog) backend(t *testing.T) (addr string) {
	t.Helper()
	l.came = map[string][]time.Time{}
	return scripted.NewBackend(t, func(_ int, args []string, _ net.Conn) string {
		l.mu.Lock()
		l.came[args[2]] = append(l.came[args[2]], time.Now())
		l.mu.Unlock()
		time.Sleep(nodeWork)
		return scripted.Served
	}).Addr
}

// of returns when the command of an id came.
func (l *sentLog) of(id int) []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.came[fmt.Sprintf("%016x", id)]
}

// latest returns when the last command of all came, and its id.
func (l *sentLog) latest() (last time.Time, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, times := range l.came {
		for _, at := range times {
			if at.After(last) {
				last, id = at, name
			}
		}
	}
	return last, id
}

// ending is what one client saw, from its dial to the end of its connection.
type ending struct {
	id      int
	began   time.Time
	dialled time.Time // when it was connected; zero: it was refused
	answers []string  // first lines, in their order
	cut     bool      // the last answer was not whole
	err     error     // other than a clean end
}

// visit connects, asks once, and reads to the end of the connection.
func visit(addr string, id int) (e ending) {
	e.id, e.began = id, time.Now()
	nc, err := net.DialTimeout("tcp", addr, answerWithin)
	if err != nil {
		e.err = err
		return e
	}
	defer nc.Close()
	e.dialled = time.Now()
	nc.SetDeadline(time.Now().Add(answerWithin))
	if _, err := io.WriteString(nc, request(id)); err != nil {
		e.err = err
		return e
	}
	in := bufio.NewReader(nc)
	for {
		head, err := in.ReadString('\n')
		if err != nil {
			e.cut = e.cut || head != ""
			if !errors.Is(err, io.EOF) {
				e.err = err
			}
			return e
		}
		e.answers = append(e.answers, strings.TrimSpace(head))
		if !strings.HasPrefix(head, "$") {
			continue
		}
		if body, err := in.ReadString('\n'); err != nil || body != "value\r\n" {
			e.cut = true
			return e
		}
	}
}

// checkOnce reports what no client may see: more than one answer, one that is cut, or none for want of any end.
func (e ending) checkOnce(t *testing.T) {
	t.Helper()
	if len(e.answers) > 1 {
		t.Errorf("client %d was answered %q, want one answer at the most", e.id, e.answers)
	}
	if e.cut {
		t.Errorf("client %d was given a part of an answer: %q", e.id, e.answers)
	}
	if timeout := net.Error(nil); errors.As(e.err, &timeout) && timeout.Timeout() {
		t.Errorf("client %d saw no end within %v: %v", e.id, answerWithin, e.err)
	}
}

// A process that is killed right after it accepted ends each of its clients by one answer or by a reset; nothing reaches a backend after it,
// and nothing reaches one twice. The moments of the kill are spread from before the first accept to after the first answers.
func TestKillBehindAnAccept(t *testing.T) {
	var seen sentLog
	list := discovery.List{Rev: 1, Complete: true, Targets: []discovery.Target{{UID: "s0", Endpoint: seen.backend(t), Zone: "a", State: "SERVING"}}}
	i := newInstance(t, 0)
	i.configure(t, 0, platform{discovery: registry(t, list, healthy), known: list, instances: 1, mode: "push", attempts: 3})
	answered, reset, refused := 0, 0, 0
	for round := range killRounds {
		if err := i.start(); err != nil {
			t.Fatal(err)
		}
		if err := i.awaitReady(t.Context()); err != nil {
			t.Fatal(err)
		}
		ends := make([]ending, killClients)
		var clients sync.WaitGroup
		began := make(chan struct{})
		for n := range ends {
			clients.Go(func() {
				<-began
				ends[n] = visit(i.listen, firstKillID+round*killClients+n)
			})
		}
		close(began)
		time.Sleep(time.Duration(round) * killStep)
		i.kill()
		ended := time.Now()
		clients.Wait()
		time.Sleep(sentAfter)
		if last, id := seen.latest(); last.Sub(ended) > sentAfter {
			t.Errorf("round %d: %s came at its backend %v after the process had ended", round, id, last.Sub(ended))
		}
		for _, e := range ends {
			e.checkOnce(t)
			if n := len(seen.of(e.id)); n > 1 {
				t.Errorf("client %d: %d sends to a backend that reset nothing", e.id, n)
			}
			switch {
			case len(e.answers) > 0:
				answered++
			case !e.dialled.IsZero():
				reset++
			default:
				refused++
			}
		}
	}
	t.Logf("%d kills: %d clients answered, %d connected and reset, %d refused", killRounds, answered, reset, refused)
	if reset == 0 || answered == 0 {
		t.Error("no kill fell between an accept and its answer: the test forces nothing")
	}
}

// Clients that connect from before a SIGTERM to after the listener's close are each answered once, or not accepted: whose connection ends with
// no answer was never sent on. The process ends by itself and cleanly.
func TestTermBehindAnAccept(t *testing.T) {
	var seen sentLog
	list := discovery.List{Rev: 1, Complete: true, Targets: []discovery.Target{{UID: "s0", Endpoint: seen.backend(t), Zone: "a", State: "SERVING"}}}
	i := newInstance(t, 0)
	i.configure(t, 0, platform{discovery: registry(t, list, healthy), known: list, instances: 1, mode: "push", attempts: 3})
	if err := i.start(); err != nil {
		t.Fatal(err)
	}
	if err := i.awaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	ends := make([]ending, termClients)
	var clients sync.WaitGroup
	began := time.Now()
	for n := range ends {
		clients.Go(func() {
			time.Sleep((termBefore + termAfter) * time.Duration(n) / termClients)
			ends[n] = visit(i.listen, firstTermID+n)
		})
	}
	time.Sleep(time.Until(began.Add(termBefore)))
	i.cmd.Process.Signal(syscall.SIGTERM)
	term := time.Now()
	clients.Wait()
	select {
	case <-i.ended:
	case <-time.After(answerWithin):
		t.Fatal("the process does not end after SIGTERM")
	}
	if i.err != nil {
		t.Errorf("the process ended with %v: %s", i.err, &i.stderr)
	}
	answered, reset, refused := 0, 0, 0
	for _, e := range ends {
		e.checkOnce(t)
		sends := len(seen.of(e.id))
		switch {
		case len(e.answers) > 0:
			answered++
		case !e.dialled.IsZero():
			reset++
		default:
			refused++
		}
		if after := e.began.Sub(term); len(e.answers) == 0 && after < termServed {
			t.Errorf("client %d, which came %v after SIGTERM, was not answered: %v", e.id, after, e.err)
		}
		if len(e.answers) == 0 && sends > 0 {
			t.Errorf("client %d was sent on and not answered: %v", e.id, e.err)
		}
		if sends > 1 {
			t.Errorf("client %d: %d sends to a backend that reset nothing", e.id, sends)
		}
	}
	t.Logf("%d clients answered, %d connected and ended with no answer, %d refused", answered, reset, refused)
	if answered == 0 || refused == 0 {
		t.Error("the clients did not cross the shutdown: the test forces nothing")
	}
}

// A SIGTERM during a start, which waits for discovery, ends the process at once and cleanly, with no client taken.
func TestTermDuringAStart(t *testing.T) {
	const atOnce = 500 * time.Millisecond // less than a process takes that has begun to serve
	i := newInstance(t, 0)
	i.configure(t, 0, platform{discovery: registry(t, discovery.List{}, silent), instances: 1, mode: "push"})
	for _, after := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond} { // it waits for 300 ms
		if err := i.start(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(after)
		i.cmd.Process.Signal(syscall.SIGTERM)
		select {
		case <-i.ended:
		case <-time.After(atOnce):
			t.Errorf("the process does not end within %v of a SIGTERM %v after its start", atOnce, after)
			i.kill()
		}
		if i.err != nil {
			t.Errorf("SIGTERM %v after the start: the process ended with %v: %s", after, i.err, &i.stderr)
		}
	}
}
