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
	killRounds        = 12                    // each kills at a different time
	killClients       = 60                    // per round, all connecting at the same time
	killDelayStep     = 4 * time.Millisecond  // the kill comes this much later in each round
	deliveryGrace     = 50 * time.Millisecond // time after the end of a process for its last writes to reach a backend
	backendLatency    = 3 * time.Millisecond  // time that a backend takes for one request
	termClients       = 360                   // connecting before and after the SIGTERM
	connectBeforeTerm = 100 * time.Millisecond
	connectAfterTerm  = 800 * time.Millisecond
	servedAfterTerm   = 500 * time.Millisecond // after SIGTERM, still answered; the listener closes at 600 ms
	firstKillID       = 1 << 24
	firstTermID       = 1 << 28
	clientTimeout     = 3 * time.Second
)

// arrivalLog records when the commands of each request ID arrived at a backend.
type arrivalLog struct {
	mu       sync.Mutex // guards arrivals
	arrivals map[string][]time.Time
}

// startBackend starts a backend that records its commands, and returns its address.
func (l *arrivalLog) startBackend(t *testing.T) (addr string) {
	t.Helper()
	l.arrivals = map[string][]time.Time{}
	return scripted.NewBackend(t, func(_ int, args []string, _ net.Conn) string {
		id := args[2]
		l.mu.Lock()
		l.arrivals[id] = append(l.arrivals[id], time.Now())
		l.mu.Unlock()
		time.Sleep(backendLatency)
		return scripted.Served
	}).Addr
}

// count returns how many commands of a request ID arrived.
func (l *arrivalLog) count(id int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.arrivals[fmt.Sprintf("%016x", id)])
}

// latest returns the arrival time and the request ID of the last command.
func (l *arrivalLog) latest() (last time.Time, lastID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, times := range l.arrivals {
		for _, at := range times {
			if at.After(last) {
				last = at
				lastID = id
			}
		}
	}
	return last, lastID
}

// clientRecord records what one client observed, from its dial to the end of its connection.
type clientRecord struct {
	id        int
	dialedAt  time.Time
	connected bool     // false: the connection was refused
	answers   []string // first line of each answer, in order of arrival
	truncated bool     // the last answer was incomplete
	err       error    // nil if the connection ended with EOF
}

// runClient connects, sends one request and reads until the connection ends.
func runClient(addr string, id int) (c clientRecord) {
	c.id = id
	c.dialedAt = time.Now()
	conn, err := net.DialTimeout("tcp", addr, clientTimeout)
	if err != nil {
		c.err = err
		return c
	}
	defer conn.Close()
	c.connected = true
	conn.SetDeadline(time.Now().Add(clientTimeout))
	if _, err := io.WriteString(conn, request(id)); err != nil {
		c.err = err
		return c
	}
	c.readAnswers(bufio.NewReader(conn))
	return c
}

// readAnswers reads until the connection ends or an answer is incomplete.
func (c *clientRecord) readAnswers(in *bufio.Reader) {
	for {
		head, err := in.ReadString('\n')
		if err != nil {
			c.truncated = head != ""
			if !errors.Is(err, io.EOF) {
				c.err = err
			}
			return
		}
		c.answers = append(c.answers, strings.TrimSpace(head))
		if !strings.HasPrefix(head, "$") {
			continue
		}
		if body, err := in.ReadString('\n'); err != nil || body != "value\r\n" {
			c.truncated = true
			return
		}
	}
}

// check fails the test if the client received more than one answer or an incomplete one, or if its connection did not
// end.
func (c *clientRecord) check(t *testing.T) {
	t.Helper()
	if len(c.answers) > 1 {
		t.Errorf("client %d: got answers %q, want one at most", c.id, c.answers)
	}
	if c.truncated {
		t.Errorf("client %d: got an incomplete answer: %q", c.id, c.answers)
	}
	if netErr := net.Error(nil); errors.As(c.err, &netErr) && netErr.Timeout() {
		t.Errorf("client %d: got no end within %v: %v", c.id, clientTimeout, c.err)
	}
}

// clientCounts counts clients by outcome: answered, connected but not answered, or refused.
type clientCounts struct{ answered, reset, refused int }

// add counts one client.
func (n *clientCounts) add(c *clientRecord) {
	switch {
	case len(c.answers) > 0:
		n.answered++
	case c.connected:
		n.reset++
	default:
		n.refused++
	}
}

// If a process is killed just after it has accepted connections, each client gets either one complete answer or the end
// of its connection. No command reaches a backend after the process has ended, and none reaches it twice. The rounds
// vary the delay of the kill from before the first accept to after the first answers.
func TestSIGKILLAfterAccept(t *testing.T) {
	var arrivals arrivalLog
	i := newInstance(t, 0)
	i.configure(t, 0, healthyPlatformConfig(t, servingList(1, arrivals.startBackend(t))))
	var counts clientCounts
	for round := range killRounds {
		i.startReady(t)
		clients, ended := killDuringConnects(i, firstKillID+round*killClients, time.Duration(round)*killDelayStep)
		time.Sleep(deliveryGrace)
		if last, id := arrivals.latest(); last.Sub(ended) > deliveryGrace {
			t.Errorf("round %d: request %s reached its backend %v after the process end", round, id, last.Sub(ended))
		}
		for n := range clients {
			c := &clients[n]
			c.check(t)
			counts.add(c)
			if sends := arrivals.count(c.id); sends > 1 {
				t.Errorf("client %d: got %d sends without a reset by the backend, want one at most", c.id, sends)
			}
		}
	}
	t.Logf("%d kills: %d clients answered, %d connected and reset, %d refused",
		killRounds, counts.answered, counts.reset, counts.refused)
	if counts.reset == 0 || counts.answered == 0 {
		t.Error("no kill came between an accept and its answer: the test did not exercise this case")
	}
}

// killDuringConnects starts all clients at the same time and kills the process after a delay. It returns the records of
// the clients and when the process had ended.
func killDuringConnects(i *instance, firstID int, delay time.Duration) (clients []clientRecord, ended time.Time) {
	clients = make([]clientRecord, killClients)
	var running sync.WaitGroup
	begin := make(chan struct{})
	for n := range clients {
		running.Go(func() {
			<-begin
			clients[n] = runClient(i.listen, firstID+n)
		})
	}
	close(begin)
	time.Sleep(delay)
	i.kill()
	ended = time.Now()
	running.Wait()
	return clients, ended
}

// Clients connect from before a SIGTERM until after the listener is closed. Each is answered once or its connection is
// refused or ended without an answer, and a request without an answer must not have reached a backend. The process ends
// by itself without an error.
func TestSIGTERMDuringConnects(t *testing.T) {
	var arrivals arrivalLog
	i := startInstance(t, healthyPlatformConfig(t, servingList(1, arrivals.startBackend(t))))
	clients := make([]clientRecord, termClients)
	var running sync.WaitGroup
	began := time.Now()
	for n := range clients {
		running.Go(func() {
			time.Sleep((connectBeforeTerm + connectAfterTerm) * time.Duration(n) / termClients)
			clients[n] = runClient(i.listen, firstTermID+n)
		})
	}
	time.Sleep(time.Until(began.Add(connectBeforeTerm)))
	i.process.signal(syscall.SIGTERM)
	term := time.Now()
	running.Wait()
	select {
	case <-i.process.ended:
	case <-time.After(clientTimeout):
		t.Fatal("the process does not end after SIGTERM")
	}
	if i.process.result != nil {
		t.Errorf("the process ended with %v: %s", i.process.result, &i.process.log)
	}
	var counts clientCounts
	for n := range clients {
		counts.add(&clients[n])
		clients[n].checkAroundSIGTERM(t, term, arrivals.count(clients[n].id))
	}
	t.Logf("%d clients answered, %d connected and ended with no answer, %d refused",
		counts.answered, counts.reset, counts.refused)
	if counts.answered == 0 || counts.refused == 0 {
		t.Error("want clients before and after the listener is closed: the test did not exercise the shutdown")
	}
}

// checkAroundSIGTERM fails the test if a client that connected early enough was not answered, or if its request reached
// a backend without an answer or more than once. sends is how often the request reached a backend.
func (c *clientRecord) checkAroundSIGTERM(t *testing.T, term time.Time, sends int) {
	t.Helper()
	c.check(t)
	unanswered := len(c.answers) == 0
	if after := c.dialedAt.Sub(term); unanswered && after < servedAfterTerm {
		t.Errorf("client %d connected %v after SIGTERM and was not answered: %v", c.id, after, c.err)
	}
	if unanswered && sends > 0 {
		t.Errorf("client %d: the request was forwarded and not answered: %v", c.id, c.err)
	}
	if sends > 1 {
		t.Errorf("client %d: got %d sends without a reset by the backend, want one at most", c.id, sends)
	}
}

// A SIGTERM while a starting process waits for discovery ends it at once, without an error and before it accepts
// clients.
func TestSIGTERMDuringStart(t *testing.T) {
	const endsWithin = 500 * time.Millisecond // a process that already serves takes longer to shut down
	i := newInstance(t, 0)
	i.configure(t, 0, platformConfig{
		discovery:     startDiscovery(t, discovery.List{}, silent),
		instances:     1,
		discoveryMode: "push",
	})
	// Both delays are shorter than the 300 ms that a starting process waits for discovery.
	startWait := []time.Duration{100 * time.Millisecond, 200 * time.Millisecond}
	for _, delay := range startWait {
		if err := i.start(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(delay)
		i.process.signal(syscall.SIGTERM)
		select {
		case <-i.process.ended:
		case <-time.After(endsWithin):
			t.Errorf("the process does not end within %v of a SIGTERM %v after its start", endsWithin, delay)
			i.kill()
		}
		if i.process.result != nil {
			t.Errorf("SIGTERM %v after the start: the process ended with %v: %s",
				delay, i.process.result, &i.process.log)
		}
	}
}
