package cost

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"hitchspring/internal/lab/measure"
)

const (
	requestClass    = "read"
	tenantPlan      = "paced"
	tenants         = 200
	requestDeadline = time.Second
	// answerTimeout is how long a phase waits for answers after its last request.
	answerTimeout = requestDeadline + 500*time.Millisecond
	// maxPending is the maximum number of unanswered requests on one connection.
	maxPending     = 4096
	maxAnswerBytes = 64 << 10

	ping = "*1\r\n$4\r\nPING\r\n"
	pong = "+PONG\r\n"
)

// schedule determines when each request of a phase is due, independently of how earlier requests fare.
type schedule struct {
	rate  int // requests per second
	count int
}

func newSchedule(rate int, length time.Duration) schedule {
	return schedule{rate, int(length.Seconds() * float64(rate))}
}

// due returns when request i is due, relative to the start of the phase.
func (s schedule) due(i int) time.Duration {
	return time.Duration(i) * time.Second / time.Duration(s.rate)
}

// clock is the source of time for pacing a phase.
type clock interface {
	Now() time.Duration
	SleepUntil(time.Duration)
}

// wallClock is the machine's clock. It sleeps with nanosleep(2), because the Go runtime's timers can be a
// millisecond late in an idle program.
type wallClock struct{ began time.Time }

// Now returns the time since began.
func (c wallClock) Now() time.Duration { return time.Since(c.began) }

// SleepUntil blocks until the clock reaches at.
func (c wallClock) SleepUntil(at time.Duration) {
	for left := at - c.Now(); left > 0; left = at - c.Now() {
		ts := unix.NsecToTimespec(int64(left))
		_ = unix.Nanosleep(&ts, nil) // the loop continues an interrupted sleep
	}
}

// pace calls send for each request when it is due. A late send does not shift the due times of later requests.
func pace(ctx context.Context, s schedule, c clock, send func(i int, due time.Duration)) {
	began := c.Now()
	for i := 0; i < s.count && ctx.Err() == nil; i++ {
		due := began + s.due(i)
		c.SleepUntil(due)
		send(i, due)
	}
}

// outcomes counts how the requests of a phase ended. Latencies are measured from when a request was due, not from
// when it was sent, so that a stall is charged to every request that was due during it (no coordinated omission). mu
// guards all other fields except done and count.
type outcomes struct {
	mu         sync.Mutex
	sent       int
	ended      int
	served     int
	rejected   int
	failed     int // errors, broken connections and requests without an answer
	mismatched int // served with the answer to another request
	latencies  *measure.Latencies
	sendDelays *measure.Latencies // from when requests were due to when they were sent
	done       chan struct{}      // closed when count requests have ended
	count      int
}

func newOutcomes(count int) *outcomes {
	o := &outcomes{
		latencies:  measure.NewLatencies(),
		sendDelays: measure.NewLatencies(),
		done:       make(chan struct{}),
		count:      count,
	}
	if count == 0 {
		close(o.done)
	}
	return o
}

func (o *outcomes) recordSend(due, now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent++
	o.sendDelays.Add(now - due)
}

// outcome is how one request ended.
type outcome int

const (
	served outcome = iota
	servedMismatched
	rejected
	failed
)

func (o *outcomes) recordEnd(result outcome, due, now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch result {
	case served, servedMismatched:
		o.served++
		o.latencies.Add(now - due)
		if result == servedMismatched {
			o.mismatched++
		}
	case rejected:
		o.rejected++
	case failed:
		o.failed++
	}
	if o.ended++; o.ended == o.count {
		close(o.done)
	}
}

// pending is a request that has not been answered yet.
type pending struct {
	id       string
	due      time.Duration
	outcomes *outcomes
}

// client is one pipelined connection. Requests are written when they are due, and answers arrive in the order of the
// requests. mu guards queue and closed.
type client struct {
	net.Conn
	clock  clock
	mu     sync.Mutex
	queue  []pending
	closed bool
}

// load is the open-loop load on one target. Each client connection has a goroutine that reads answers until close.
type load struct {
	clients []*client
	clock   clock
	lastID  atomic.Uint64
	wg      sync.WaitGroup
}

// dialLoad opens the clients' connections.
func dialLoad(addr string, connections int, c clock) (*load, error) {
	l := &load{clock: c}
	for range connections {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			l.close()
			return nil, fmt.Errorf("client: %w", err)
		}
		x := &client{Conn: nc, clock: c}
		l.clients = append(l.clients, x)
		l.wg.Go(x.read)
	}
	return l, nil
}

// close ends the connections and waits for their readers.
func (l *load) close() {
	for _, c := range l.clients {
		c.Close()
	}
	l.wg.Wait()
}

// runPhase sends the requests of a schedule and waits up to answerTimeout for the remaining answers.
func (l *load) runPhase(ctx context.Context, s schedule) (*outcomes, error) {
	o := newOutcomes(s.count)
	pace(ctx, s, l.clock, func(i int, due time.Duration) {
		id := fmt.Sprintf("%016x", l.lastID.Add(1))
		tenant := fmt.Sprintf("%016x", 1+i%tenants)
		l.clients[i%len(l.clients)].send(pending{id, due, o}, command(tenant, id))
	})
	limit := time.NewTimer(answerTimeout)
	defer limit.Stop()
	select {
	case <-o.done:
	case <-limit.C:
		for _, c := range l.clients {
			c.abort()
		}
	case <-ctx.Done():
	}
	return o, ctx.Err()
}

// command returns the RESP encoding of one request.
func command(tenant, id string) string {
	fields := fmt.Sprintf("c=%s,t=%s,d=%d,units=1,spread=1,first=0",
		requestClass, tenantPlan, requestDeadline.Milliseconds())
	var b strings.Builder
	b.WriteString("*4\r\n")
	for _, argument := range []string{"Q.ASK", tenant, id, fields} {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(argument), argument)
	}
	return b.String()
}

// send writes a request, or counts it as failed if the connection is closed or has too many pending requests.
func (c *client) send(p pending, text string) {
	now := c.clock.Now()
	p.outcomes.recordSend(p.due, now)
	c.mu.Lock()
	if c.closed || len(c.queue) >= maxPending {
		c.mu.Unlock()
		p.outcomes.recordEnd(failed, p.due, now)
		return
	}
	c.queue = append(c.queue, p)
	c.mu.Unlock()
	if _, err := io.WriteString(c, text); err != nil {
		c.abort()
	}
}

// abort closes the connection and counts its pending requests as failed.
func (c *client) abort() {
	c.Close()
	c.mu.Lock()
	c.closed = true
	left := c.queue
	c.queue = nil
	c.mu.Unlock()
	for _, p := range left {
		p.outcomes.recordEnd(failed, p.due, c.clock.Now())
	}
}

// read reads answers until the connection ends, and matches them with the pending requests.
func (c *client) read() {
	defer c.abort()
	in := bufio.NewReader(c)
	for {
		result, value, err := readAnswer(in)
		if err != nil {
			return
		}
		now := c.clock.Now()
		c.mu.Lock()
		if len(c.queue) == 0 { // an unsolicited answer: later answers can no longer be matched with requests
			c.mu.Unlock()
			return
		}
		p := c.queue[0]
		c.queue = c.queue[1:]
		c.mu.Unlock()
		if result == served && value != "value of "+p.id {
			result = servedMismatched
		}
		p.outcomes.recordEnd(result, p.due, now)
	}
}

// readAnswer reads one answer: a bulk string from an ingress, or an array whose first element is the value from a
// backend.
func readAnswer(in *bufio.Reader) (result outcome, value string, err error) {
	line, err := readLine(in)
	if err != nil {
		return failed, "", err
	}
	switch {
	case strings.HasPrefix(line, "$"):
		value, err = readBulk(in, line)
		return served, value, err
	case strings.HasPrefix(line, "*"):
		return readArray(in, line)
	case strings.HasPrefix(line, "-BUSY"):
		return rejected, "", nil
	}
	return failed, "", nil
}

func readArray(in *bufio.Reader, line string) (result outcome, value string, err error) {
	count, err := strconv.Atoi(line[1:])
	if err != nil || count < 1 || count > 16 {
		return failed, "", fmt.Errorf("answer has an invalid number of elements %q", line[1:])
	}
	for i := range count {
		if line, err = readLine(in); err != nil {
			return failed, "", err
		}
		element, err := readBulk(in, line)
		if err != nil {
			return failed, "", err
		}
		if i == 0 {
			value = element
		}
	}
	return served, value, nil
}

func readLine(in *bufio.Reader) (string, error) {
	line, err := in.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

// readBulk reads the rest of a bulk string whose first line was read before. A null bulk string is returned as "".
func readBulk(in *bufio.Reader, line string) (string, error) {
	if line == "$-1" {
		return "", nil
	}
	size, err := strconv.Atoi(strings.TrimPrefix(line, "$"))
	if err != nil || size < 0 || size > maxAnswerBytes {
		return "", fmt.Errorf("answer has an invalid length %q", line)
	}
	b := make([]byte, size+2)
	if _, err := io.ReadFull(in, b); err != nil {
		return "", err
	}
	return string(b[:size]), nil
}
