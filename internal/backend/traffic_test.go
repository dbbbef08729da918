package backend

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"hitchspring/internal/resp"
	"hitchspring/policy"
)

// This file runs traffic through the real pool in simulated time; requests, backends and connections are simulated. The
// results don't depend on the load of the machine, and 100,000 requests take a second or two.

const (
	ms               = time.Millisecond
	closeNoticeDelay = 50 * time.Microsecond // from when the pool closes a connection until its connectionClosed event
	sweepEvery       = time.Second           // interval of RetireIdle calls, as in the core
)

// scenario describes the requests that arrive and the behavior of the backends.
type scenario struct {
	name               string
	rate               float64 // requests a second, to all backends
	backends           int
	requests           int
	prefersLeastLoaded bool          // the router picks the first of the backends with the fewest attempts in flight
	burst              int           // requests that arrive at once; 0: one
	serviceTime        time.Duration // of a command
	connectTime        time.Duration // until a connection is open
	slowConnect        time.Duration // connectTime after the first tenth of the requests; 0: unchanged
	maxConnections     int           // connections that a backend accepts; further ones are refused. 0: unlimited
	closesAfterReply   bool          // a backend closes a connection right after its reply
	quietRequests      int           // replies to this many requests are sent once, before any duplicate
	duplicateShare     float64       // share of the later replies that are sent twice
	duplicateDelay     time.Duration // from a reply to its duplicate
	maxDuplicateDelay  time.Duration // if above duplicateDelay: the delay is uniform between them
	seed               uint64
	idleFor            time.Duration // pause without requests, after the first half of them
	connectTimeout     time.Duration // ConnectTimeout of the pool; 0: 250 ms
}

// measurement is the result of a scenario.
type measurement struct {
	waits           []time.Duration // from an attempt's start until it was assigned to a connection
	took            []time.Duration // from its start to its reply
	misattributed   int             // attempts that were served with the reply to another command
	ends            map[policy.Outcome]int
	dials           int
	maxOpen         int // max connections open at the same time
	duplicates      int // duplicate replies that were sent
	requestsStarted int
}

// quantile returns the q-quantile of durations, q from 0 to 1.
func quantile(durations []time.Duration, q float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// countLonger returns the number of durations above a bound.
func countLonger(durations []time.Duration, bound time.Duration) (count int) {
	for _, duration := range durations {
		if duration > bound {
			count++
		}
	}
	return count
}

func (m measurement) String() string {
	return fmt.Sprintf("wait p50 %v p99 %v max %v, %d over 1 ms; took p50 %v p99 %v; "+
		"%d dials, at most %d open; %d duplicates, %d misattributed; ends %v",
		quantile(m.waits, 0.5), quantile(m.waits, 0.99), quantile(m.waits, 1), countLonger(m.waits, ms),
		quantile(m.took, 0.5), quantile(m.took, 0.99), m.dials, m.maxOpen, m.duplicates, m.misattributed, m.ends)
}

// scheduledEvent is an event at a point of simulated time.
type scheduledEvent struct {
	at  time.Duration
	seq int
	do  func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// traffic is a running scenario; it is the pool's owner.
type traffic struct {
	scenario
	pool     *Pool
	now      time.Duration
	queue    eventQueue
	seq      int
	rng      *rand.Rand
	conns    map[*conn]*socket
	open     map[policy.BackendID]int
	inFlight []int // attempts at each backend that have not ended
	started  int   // requests so far
	measurement
}

// socket is a simulated connection to a backend.
type socket struct {
	net.Conn
	traffic *traffic
	conn    *conn
	closed  bool
}

func (s *socket) Close() error {
	if !s.closed {
		s.closed = true
		s.traffic.schedule(closeNoticeDelay, func() { s.traffic.closeConn(s) })
	}
	return nil
}

func (t *traffic) Now() time.Duration                  { return t.now }
func (t *traffic) After(d time.Duration, do func())    { t.schedule(d, do) }
func (t *traffic) Post(Event)                          {}
func (t *traffic) Spawn(func(context.Context))         {}
func (t *traffic) AttemptBegan(*Attempt, *Stream) bool { return false }
func (t *traffic) AttemptWanted(*Attempt) bool         { return true }

func (t *traffic) AttemptEnded(attempt *Attempt, outcome policy.Outcome, reply Reply) {
	t.inFlight[attempt.Ref.(int)]--
	t.ends[outcome]++
	if outcome != policy.Succeeded {
		return
	}
	t.waits = append(t.waits, attempt.assignedAt-attempt.StartedAt)
	t.took = append(t.took, t.now-attempt.StartedAt)
	if string(reply.Value) != strconv.Itoa(attempt.Number) {
		t.misattributed++
	}
}

func (t *traffic) schedule(d time.Duration, do func()) {
	t.seq++
	heap.Push(&t.queue, scheduledEvent{t.now + max(d, 0), t.seq, do})
}

// play runs a scenario to its end.
func (s scenario) play() measurement {
	t := &traffic{
		scenario: s,
		now:      time.Minute,
		rng:      rand.New(rand.NewPCG(s.seed+1, 7)),
		conns:    map[*conn]*socket{},
		open:     map[policy.BackendID]int{},
		inFlight: make([]int, s.backends),
	}
	t.ends = map[policy.Outcome]int{}
	if t.connectTimeout == 0 {
		t.connectTimeout = 250 * ms
	}
	t.pool = New(t, Config{
		ConnectTimeout: t.connectTimeout,
		IdleTimeout:    15 * time.Second,
		MaxConnections: 384,
		FrameBudget:    resp.NewBudget(1 << 20),
	})
	t.pool.startConn = t.openConn
	list := make([]Endpoint, s.backends)
	for i := range list {
		list[i] = Endpoint{policy.Backend{ID: backendID(i), Zone: "a", State: policy.Running}, "127.0.0.1:1"}
	}
	t.pool.Update(list, true)
	t.arrive()
	t.sweep()
	for len(t.queue) > 0 {
		event := heap.Pop(&t.queue).(scheduledEvent)
		t.now = event.at
		event.do()
		t.deliverWrites()
	}
	t.dials = t.pool.Dials()
	t.requestsStarted = t.started
	return t.measurement
}

func backendID(i int) policy.BackendID { return policy.BackendID("s" + strconv.Itoa(i)) }

// arrive starts the next burst of requests and schedules the one after it.
func (t *traffic) arrive() {
	burst := max(t.burst, 1)
	for range burst {
		attempt := &Attempt{Number: t.started, Command: noCommand{}, StartedAt: t.now, Deadline: t.now + time.Second}
		t.started++
		to := t.choose()
		attempt.Ref = to
		t.inFlight[to]++
		t.pool.Start(attempt, backendID(to))
		t.schedule(time.Second, func() { t.pool.Abort(attempt, policy.TimedOut) })
	}
	gap := time.Duration(t.rng.ExpFloat64() * float64(burst) / t.rate * float64(time.Second))
	if t.idleFor > 0 && t.started >= t.requests/2 && t.started < t.requests/2+burst {
		gap = t.idleFor
	}
	if t.started < t.requests {
		t.schedule(gap, t.arrive)
	}
}

// choose routes a request to a random backend, or to the first of those with the fewest attempts in flight.
func (t *traffic) choose() int {
	if t.prefersLeastLoaded {
		return slices.Index(t.inFlight, slices.Min(t.inFlight))
	}
	return t.rng.IntN(t.backends)
}

func (t *traffic) sweep() {
	t.pool.RetireIdle()
	if t.started < t.requests {
		t.schedule(sweepEvery, t.sweep)
	}
}

// openConn simulates a connection that the pool opens.
func (t *traffic) openConn(c *conn) {
	took := t.connectTime
	if t.slowConnect > 0 && t.started > t.requests/10 {
		took = t.slowConnect
	}
	fails := took > t.connectTimeout
	t.schedule(min(took, t.connectTimeout), func() {
		if fails || t.maxConnections > 0 && t.open[c.backend.ID] >= t.maxConnections {
			t.pool.Handle(connectionClosed{conn: c})
			return
		}
		s := &socket{traffic: t, conn: c}
		c.nc = s
		t.conns[c] = s
		t.open[c.backend.ID]++
		t.maxOpen = max(t.maxOpen, len(t.conns))
		t.pool.Handle(connectionOpened{c})
	})
}

func (t *traffic) closeConn(s *socket) {
	delete(t.conns, s.conn)
	t.open[s.conn.backend.ID]--
	t.pool.Handle(connectionClosed{conn: s.conn, wasOpen: true})
}

// deliverWrites delivers the commands that wait on connections to their backends.
func (t *traffic) deliverWrites() {
	for c, s := range t.conns {
		if s.closed || len(c.writes) == 0 {
			continue
		}
		pending := <-c.writes
		c.lastWritten.Store(pending.attempt)
		t.schedule(t.serviceTime, func() { t.reply(s, pending.attempt) })
	}
}

// reply delivers the reply to an attempt, and schedules its duplicate if there is one.
func (t *traffic) reply(s *socket, attempt *Attempt) {
	duplicated := t.rng.Float64() < t.duplicateShare && t.started > t.quietRequests
	delay := t.duplicateDelay
	if t.maxDuplicateDelay > delay {
		delay += time.Duration(t.rng.Int64N(int64(t.maxDuplicateDelay - delay)))
	}
	if s.closed {
		return
	}
	reply := Reply{Value: []byte(strconv.Itoa(attempt.Number)), outcome: policy.Succeeded, reusable: true}
	if duplicated {
		t.duplicates++
		t.schedule(delay, func() {
			if !s.closed {
				t.pool.Handle(replyReceived{s.conn, s.conn.lastWritten.Load(), reply})
			}
		})
	}
	t.pool.Handle(replyReceived{s.conn, s.conn.lastWritten.Load(), reply})
	if t.closesAfterReply {
		s.Close()
	}
}

// usualScenario returns ordinary traffic: 12 backends with a service time of 2 ms, and connections that open in 0.3 ms.
// It has a tenth of the requests, or all of them with HITCHSPRING_TRIALS=1.
func usualScenario(name string, rate float64, requests int) scenario {
	if os.Getenv("HITCHSPRING_TRIALS") == "" {
		requests /= 10
	}
	return scenario{
		name:        name,
		rate:        rate,
		backends:    12,
		requests:    requests,
		serviceTime: 2 * ms,
		connectTime: 300 * time.Microsecond,
	}
}

// maxAddedDelay bounds the delay that the pool may add to a request at the 99th percentile.
const maxAddedDelay = 3600 * time.Microsecond

// Requests don't wait for the reuse delay of connections, even with a router that prefers idle backends and thus would
// use the same connection of each again and again.
func TestRequestsDoNotWaitForReuseDelay(t *testing.T) {
	t.Parallel()
	with := func(s scenario, name string, change func(*scenario)) scenario {
		s.name = name
		change(&s)
		return s
	}
	few, many := usualScenario("190/s", 190, 40000), usualScenario("3,000/s", 3000, 100000)
	for _, s := range []scenario{
		few, many,
		with(few, "190/s, some preferred", func(s *scenario) { s.prefersLeastLoaded = true }),
		with(many, "3,000/s, some preferred", func(s *scenario) { s.prefersLeastLoaded = true }),
		with(few, "3 backends", func(s *scenario) { s.backends = 3 }),
		with(few, "300 backends", func(s *scenario) { s.backends = 300 }),
		with(few, "bursts after idleness", func(s *scenario) { s.burst, s.idleFor = 64, 30*time.Second }),
		with(few, "connections come up in 1 s from some moment on", func(s *scenario) {
			s.slowConnect = time.Second
			s.connectTimeout = 5 * time.Second
		}),
		with(few, "one connection a backend", func(s *scenario) {
			s.maxConnections = 1
			s.prefersLeastLoaded = true
		}),
		with(many, "connections cost 3 ms", func(s *scenario) { s.connectTime = 3 * ms }),
	} {
		m := s.play()
		t.Logf("%s: %v", s.name, m)
		p50, p99 := quantile(m.waits, 0.5), quantile(m.waits, 0.99)
		if s.maxConnections == 0 && (p50 > ms/2 || p99 > maxAddedDelay) {
			t.Errorf("%s: requests wait %v at the median and %v at the 99th percentile, want at most %v and %v",
				s.name, p50, p99, ms/2, maxAddedDelay)
		}
		// Where there can be no other connection, safety goes first: a request waits until the only one is reusable.
		if longest := quantile(m.waits, 1); s.maxConnections > 0 && longest > reuseDelay {
			t.Errorf("%s: a request waits %v, want at most %v", s.name, longest, reuseDelay)
		}
		if lost := max(s.requests, m.requestsStarted) - m.ends[policy.Succeeded]; lost > s.requests/1000+s.burst/64 {
			t.Errorf("%s: %d of %d requests were not served: %v", s.name, lost, s.requests, m.ends)
		}
	}
}

// safeDuplicateDelay is the delay below which a duplicate must never be taken for another command's reply, whatever
// reuseDelay is.
const safeDuplicateDelay = 15 * ms

// With 1 duplicate in 100 replies, a duplicate that arrives within safeDuplicateDelay is never taken for another
// command's reply. For later ones the number is only logged.
func TestDuplicatesAreNotTakenForOthers(t *testing.T) {
	t.Parallel()
	for _, rate := range []float64{190, 3000} {
		for _, late := range []time.Duration{0, 5 * ms, 10 * ms, 15*ms - time.Microsecond, 20 * ms, 30 * ms, 50 * ms} {
			s := usualScenario("", rate, 100000)
			s.prefersLeastLoaded, s.duplicateShare, s.duplicateDelay, s.seed = true, 0.01, late, uint64(rate)
			m := s.play()
			t.Logf("%v/s, %v late: %v", rate, late, m)
			if m.duplicates < s.requests/200 {
				t.Errorf("%v/s, %v late: only %d duplicates were sent", rate, late, m.duplicates)
			}
			if late < safeDuplicateDelay && m.misattributed > 0 {
				t.Errorf("%v/s: %d of %d duplicates %v late were taken for another command's",
					rate, m.misattributed, m.duplicates, late)
			}
		}
	}
}

// Duplicates are not misattributed either if each backend accepts one connection only, which may then be reused before
// its reuse delay is over.
func TestDuplicatesWhereConnectionsAreScarce(t *testing.T) {
	t.Parallel()
	for _, late := range []time.Duration{ms, 8 * ms, 15*ms - time.Microsecond} {
		s := usualScenario("", 190, 100000)
		s.prefersLeastLoaded, s.maxConnections, s.duplicateShare, s.duplicateDelay = true, 1, 0.01, late
		m := s.play()
		t.Logf("%v late: %v", late, m)
		if m.misattributed > 0 {
			t.Errorf("%d of %d duplicates %v late were taken for another command's",
				m.misattributed, m.duplicates, late)
		}
	}
}

// Guards against values of other requests being served after a quiet time: where connections are scarce, a backend that
// had sent no duplicate for long had its connections reused at once, and its first duplicates were taken for others.
func TestDuplicatesAfterQuietTime(t *testing.T) {
	t.Parallel()
	for _, late := range []time.Duration{ms, 8 * ms, 15*ms - time.Microsecond} {
		s := usualScenario("", 1000, 400000)
		s.backends, s.maxConnections, s.duplicateShare, s.duplicateDelay = 4, 2, 0.05, late
		s.quietRequests = s.requests * 3 / 4
		m := s.play()
		t.Logf("%v late: %v", late, m)
		if m.duplicates == 0 {
			t.Errorf("%v late: no duplicates were sent", late)
		}
		if m.misattributed > 0 {
			t.Errorf("%d of %d duplicates %v late were taken for another command's",
				m.misattributed, m.duplicates, late)
		}
	}
}

// If all backends send each reply twice under load, with the duplicate 8.5 ms late, no duplicate is taken for another
// command's reply, and requests wait no longer than it takes to open another connection.
func TestEveryBackendRepliesTwice(t *testing.T) {
	t.Parallel()
	s := usualScenario("", 1000, 30000)
	s.duplicateShare, s.duplicateDelay = 1, 8500*time.Microsecond
	m := s.play()
	t.Log(m)
	if m.misattributed > 0 {
		t.Errorf("%d duplicates were taken for another command's", m.misattributed)
	}
	if p99 := quantile(m.waits, 0.99); p99 > maxAddedDelay {
		t.Errorf("requests wait %v at the 99th percentile, want at most %v", p99, maxAddedDelay)
	}
}

// A backend that closes each connection right after a reply is dialed for each command, and all commands are served.
func TestBackendClosesAfterReply(t *testing.T) {
	t.Parallel()
	s := usualScenario("", 190, 10000)
	s.closesAfterReply = true
	m := s.play()
	t.Log(m)
	if p99 := quantile(m.waits, 0.99); p99 > maxAddedDelay || m.ends[policy.Succeeded] != s.requests {
		t.Errorf("requests wait %v at the 99th percentile, ends %v", p99, m.ends)
	}
}
