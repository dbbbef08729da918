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
	killRounds         = 12                    // with another moment of the kill each
	killClients        = 60                    // that connect around the kill, of each round
	killDelayStep      = 4 * time.Millisecond  // by which the kill comes later in each round
	deliveryGrace      = 50 * time.Millisecond // after a process's end, by when what it wrote has reached its backend
	backendLatency     = 3 * time.Millisecond  // of a backend for one request
	termClients        = 360                   // that connect around a SIGTERM
	connectBeforeTerm  = 100 * time.Millisecond
	connectAfterTerm   = 800 * time.Millisecond
	servedAfterTerm    = 500 * time.Millisecond // after SIGTERM clients are still answered; the listener closes at 600 ms
	firstKillRequestID = 1 << 24
	firstTermRequestID = 1 << 28
	clientTimeout      = 3 * time.Second
)

// arrivalLog records when the command of each request ID arrived at a backend.
type arrivalLog struct {
	mu       sync.Mutex // guards arrivals
	arrivals map[string][]time.Time
}

// startBackend starts a backend that records what arrives, and returns its address.
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

// count returns how often the command of a request ID arrived.
func (l *arrivalLog) count(id int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.arrivals[fmt.Sprintf("%016x", id)])
}

// latest returns when the last command of all arrived, and its request ID.
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

// clientRecord is what one client saw, from its dial to the end of its connection.
type clientRecord struct {
	id        int
	dialedAt  time.Time
	connected bool     // false: the connection was refused
	answers   []string // first lines, in their order
	truncated bool     // the last answer was incomplete
	err       error    // other than a clean end
}

// runClient connects, sends one request, and reads to the end of the connection.
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

// readAnswers reads to the end of the connection, or to an answer that is incomplete.
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

// check reports what no client may see: more than one answer, one that is incomplete, or no end of the connection.
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

// clientCounts counts clients by how their connection ended.
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

// A process that is killed right after it accepted ends each of its clients by one answer or by a reset; nothing
// reaches a backend after it, and nothing reaches one twice. The moments of the kill are spread from before the first
// accept to after the first answers.
func TestSIGKILLAfterAccept(t *testing.T) {
	var arrivals arrivalLog
	i := newInstance(t, 0)
	i.configure(t, 0, healthyPlatformConfig(t, servingList(1, arrivals.startBackend(t))))
	var counts clientCounts
	for round := range killRounds {
		i.startReady(t)
		clients, ended := killDuringConnects(i, firstKillRequestID+round*killClients, time.Duration(round)*killDelayStep)
		time.Sleep(deliveryGrace)
		if last, id := arrivals.latest(); last.Sub(ended) > deliveryGrace {
			t.Errorf("round %d: %s reached its backend %v after the process had ended", round, id, last.Sub(ended))
		}
		for n := range clients {
			c := &clients[n]
			c.check(t)
			counts.add(c)
			if sends := arrivals.count(c.id); sends > 1 {
				t.Errorf("client %d: got %d sends to a backend that reset nothing, want one at most", c.id, sends)
			}
		}
	}
	t.Logf("%d kills: %d clients answered, %d connected and reset, %d refused",
		killRounds, counts.answered, counts.reset, counts.refused)
	if counts.reset == 0 || counts.answered == 0 {
		t.Error("no kill fell between an accept and its answer: the test forces nothing")
	}
}

// killDuringConnects has clients connect at once and kills the process after a delay. It returns what they saw, and when
// the process had ended.
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

// Clients that connect from before a SIGTERM to after the listener's close are each answered once, or not accepted: a
// request whose connection ends with no answer was never sent to a backend. The process ends by itself and cleanly.
func TestSIGTERMDuringConnects(t *testing.T) {
	var arrivals arrivalLog
	i := startInstance(t, healthyPlatformConfig(t, servingList(1, arrivals.startBackend(t))))
	clients := make([]clientRecord, termClients)
	var running sync.WaitGroup
	began := time.Now()
	for n := range clients {
		running.Go(func() {
			time.Sleep((connectBeforeTerm + connectAfterTerm) * time.Duration(n) / termClients)
			clients[n] = runClient(i.listen, firstTermRequestID+n)
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
		t.Error("the clients did not cross the shutdown: the test forces nothing")
	}
}

// checkAroundSIGTERM reports what a client must not see around a SIGTERM; sends is how often its request reached a
// backend.
func (c *clientRecord) checkAroundSIGTERM(t *testing.T, term time.Time, sends int) {
	t.Helper()
	c.check(t)
	unanswered := len(c.answers) == 0
	if after := c.dialedAt.Sub(term); unanswered && after < servedAfterTerm {
		t.Errorf("client %d, which came %v after SIGTERM, was not answered: %v", c.id, after, c.err)
	}
	if unanswered && sends > 0 {
		t.Errorf("client %d: the request was forwarded and not answered: %v", c.id, c.err)
	}
	if sends > 1 {
		t.Errorf("client %d: got %d sends to a backend that reset nothing, want one at most", c.id, sends)
	}
}

// A SIGTERM during a start, which waits for discovery, ends the process at once and cleanly, with no client accepted.
func TestSIGTERMDuringStart(t *testing.T) {
	const endsWithin = 500 * time.Millisecond // less than a process takes that has begun to serve
	i := newInstance(t, 0)
	i.configure(t, 0, platformConfig{discovery: startDiscovery(t, discovery.List{}, silent), instances: 1, discoveryMode: "push"})
	startWait := []time.Duration{100 * time.Millisecond, 200 * time.Millisecond} // a start waits for 300 ms
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
