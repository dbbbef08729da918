package backend

import (
	"context"
	"fmt"
	"net"
	"slices"
	"time"

	"hitchspring/internal/resp"
	"hitchspring/policy"
)

// The mutations are defects of the simulated side, planted to show that the exploration finds them.
const (
	mutationUnreportedWrite = "a connection does not report that it wrote a whole command"
	mutationEndsTwice       = "a connection reports its end twice"
	mutationTrustedEarly    = "an unknown backend is trusted to send no duplicates, and has one connection"
	mutationOwnerNotAsked   = "the owner is not asked whether an attempt is still wanted"

	// trustedAndScarce is no defect, but a setting in which connections are used again at once.
	trustedAndScarce = "a backend is trusted to send no duplicates, and has one connection"
)

const (
	firstAddr = "127.0.0.1:1"
	movedAddr = "127.0.0.1:2"
)

// simulatedConn plays the goroutines of a connection and its peer.
type simulatedConn struct {
	conn         *conn
	up           bool     // it has come up
	ended        bool     // its last event was posted
	events       []Event  // posted and not yet handled by the pool
	duplicates   int      // further replies to the same command
	repliedTo    *Attempt // the attempt of the last reply
	socket       closableConn
	replyHandled bool          // the pool has handled a reply
	repliedAt    time.Duration // when it handled the last one
}

// end posts the connection's last event.
func (s *simulatedConn) end(mutation string) {
	s.ended = true
	if s.up {
		close(s.conn.readerDone)
	}
	s.events = append(s.events, connectionClosed{conn: s.conn, wasOpen: s.up})
	if s.up && mutation == mutationEndsTwice {
		s.events = append(s.events, connectionClosed{conn: s.conn, wasOpen: true})
	}
}

// takeEvent removes and returns the first event.
func (s *simulatedConn) takeEvent() Event {
	event := s.events[0]
	s.events = s.events[1:]
	return event
}

// closableConn is a socket of which only matters whether the pool has closed it.
type closableConn struct {
	net.Conn
	closed bool
}

func (c *closableConn) Close() error {
	c.closed = true
	return nil
}

// exploration is one order of steps, as far as it has been played; it is the pool's owner. Its attempts go to one
// backend.
type exploration struct {
	pool      *Pool
	now       time.Duration
	timers    []testTimer
	attempts  []*Attempt
	ends      map[*Attempt]policy.Outcome
	written   map[*Attempt]bool // the backend has the whole command
	conns     []*simulatedConn
	violation string // the first one found
	// unassignedAtDisconnect is nil until the client of all attempts has left, then has those without a connection.
	unassignedAtDisconnect map[*Attempt]bool
	mutation               string
}

func newExploration() *exploration {
	e := &exploration{now: time.Minute, ends: map[*Attempt]policy.Outcome{}, written: map[*Attempt]bool{}}
	e.pool = New(e, Config{
		ConnectTimeout: 250 * time.Millisecond,
		IdleTimeout:    15 * time.Second,
		MaxConnections: 2,
		FrameBudget:    resp.NewBudget(1 << 20),
	})
	e.pool.startConn = func(c *conn) { e.conns = append(e.conns, &simulatedConn{conn: c}) }
	e.pool.Update(entries(firstAddr), true)
	for number := range 2 {
		attempt := &Attempt{Number: number, Command: noCommand{}, Deadline: e.now + time.Second}
		e.attempts = append(e.attempts, attempt)
	}
	return e
}

func (e *exploration) Now() time.Duration { return e.now }
func (e *exploration) After(d time.Duration, do func()) {
	e.timers = append(e.timers, testTimer{e.now + d, do})
}
func (e *exploration) Post(Event)                          {}
func (e *exploration) Spawn(func(context.Context))         {}
func (e *exploration) AttemptBegan(*Attempt, *Stream) bool { return false }

// AttemptWanted withdraws the other attempts too, as the core does when it finds that a request's client has left.
func (e *exploration) AttemptWanted(*Attempt) bool {
	if e.unassignedAtDisconnect == nil || e.mutation == mutationOwnerNotAsked {
		return true
	}
	for _, attempt := range e.attempts {
		e.pool.Withdraw(attempt)
	}
	return false
}

func (e *exploration) AttemptEnded(attempt *Attempt, outcome policy.Outcome, _ Reply) {
	if before, twice := e.ends[attempt]; twice {
		e.violate("attempt %d ended twice: %d, then %d", attempt.Number, before, outcome)
	}
	e.ends[attempt] = outcome
	if outcome.NeverRan() && outcome != policy.Rejected && e.written[attempt] {
		e.violate("attempt %d has come to the backend, and ended as one that never ran", attempt.Number)
	}
	if outcome == policy.Succeeded && !e.written[attempt] {
		e.violate("attempt %d was never sent, and is served", attempt.Number)
	}
}

func (e *exploration) violate(format string, args ...any) {
	if e.violation == "" {
		e.violation = fmt.Sprintf(format, args...)
	}
}

// step is something that can happen now. Its format takes the number of an attempt or a connection, unless that is
// negative.
type step struct {
	format string
	number int
	do     func()
}

func (s step) String() string {
	if s.number < 0 {
		return s.format
	}
	return fmt.Sprintf(s.format, s.number)
}

// exploredReplies are what a backend may reply to a command. Only the first comes as a duplicate.
var exploredReplies = []struct {
	reply  Reply
	format string
}{
	{Reply{Value: []byte("v"), outcome: policy.Succeeded, reusable: true}, "conn %d brings an answer"},
	{Reply{outcome: policy.Failed}, "conn %d brings nonsense"},
	{Reply{outcome: policy.Rejected, reusable: true}, "conn %d brings that it is full"},
}

// possibleSteps returns all that can happen now, always in the same order.
func (e *exploration) possibleSteps() (steps []step) {
	for i := range e.attempts {
		steps = append(steps, e.attemptSteps(i)...)
	}
	for i := range e.conns {
		steps = append(steps, e.connSteps(i)...)
	}
	steps = append(steps, e.backendSteps()...)
	if len(e.timers) > 0 {
		steps = append(steps, step{"time passes", -1, e.fireNextTimer})
	}
	if e.unassignedAtDisconnect == nil {
		steps = append(steps, step{"the client leaves", -1, e.disconnectClient})
	}
	return steps
}

// attemptSteps returns what the owner can do with an attempt.
func (e *exploration) attemptSteps(i int) (steps []step) {
	attempt := e.attempts[i]
	if _, ended := e.ends[attempt]; ended {
		return nil
	}
	if attempt.backend == nil {
		if i == 0 || e.attempts[i-1].backend != nil { // they are alike, so that one order of starts will do
			steps = append(steps, step{"start %d", i, func() { e.pool.Start(attempt, "s0") }})
		}
		return steps
	}
	if attempt.abortedAs == notAborted {
		steps = append(steps, step{"time out %d", i, func() { e.pool.Abort(attempt, policy.TimedOut) }})
	}
	if attempt.conn == nil {
		steps = append(steps, step{"withdraw %d", i, func() { e.pool.Withdraw(attempt) }})
	}
	return steps
}

// connSteps returns what can happen on a connection.
func (e *exploration) connSteps(i int) (steps []step) {
	s := e.conns[i]
	if len(s.events) > 0 {
		steps = append(steps, step{"conn %d is heard", i, func() { e.handleEvent(s) }})
	}
	if s.ended {
		return steps
	}
	end := func() { s.end(e.mutation) }
	if !s.up {
		return append(steps,
			step{"conn %d comes up", i, func() {
				s.up = true
				s.conn.nc = &s.socket
				s.events = append(s.events, connectionOpened{s.conn})
			}},
			step{"conn %d never comes up", i, end},
		)
	}
	steps = append(steps, step{"conn %d ends", i, end})
	if len(s.conn.writes) > 0 {
		if !s.socket.closed {
			steps = append(steps, step{"conn %d writes", i, func() { e.write(s) }})
		}
		steps = append(steps, step{"conn %d breaks off while it writes", i, func() {
			<-s.conn.writes
			end()
		}})
	}
	return append(steps, e.replySteps(i)...)
}

// handleEvent gives the pool the next event of a connection.
func (e *exploration) handleEvent(s *simulatedConn) {
	event := s.takeEvent()
	if _, isReply := event.(replyReceived); isReply {
		s.replyHandled = true
		s.repliedAt = e.now
	}
	e.pool.Handle(event)
}

// replySteps returns the replies that the backend can send on a connection.
func (e *exploration) replySteps(i int) (steps []step) {
	s := e.conns[i]
	attempt := s.conn.lastWritten.Load()
	isDuplicate := s.repliedTo == attempt
	if attempt == nil || isDuplicate && s.duplicates > 0 {
		return nil
	}
	for n, explored := range exploredReplies {
		if isDuplicate && n > 0 {
			break
		}
		steps = append(steps, step{explored.format, i, func() {
			if s.repliedTo == attempt {
				s.duplicates++
			}
			s.repliedTo = attempt
			s.events = append(s.events, replyReceived{s.conn, attempt, explored.reply})
			if !explored.reply.reusable { // its reader ends here
				s.end(e.mutation)
			}
		}})
	}
	return steps
}

// backendSteps returns the changes of the endpoint list.
func (e *exploration) backendSteps() (steps []step) {
	backend := e.pool.backends["s0"]
	if backend == nil || backend.State != policy.Running {
		return nil
	}
	list := entries(firstAddr)
	list[0].State = policy.Draining
	steps = append(steps,
		step{"the backend drains", -1, func() { e.pool.Update(list, false) }},
		step{"the backend is gone", -1, func() { e.pool.Update(nil, true) }},
	)
	if backend.addr == firstAddr {
		steps = append(steps, step{"the backend moves", -1, func() { e.pool.Update(entries(movedAddr), true) }})
	}
	return steps
}

// disconnectClient is the client's leaving, of which nobody has notified the pool's owner.
func (e *exploration) disconnectClient() {
	e.unassignedAtDisconnect = map[*Attempt]bool{}
	for _, attempt := range e.attempts {
		e.unassignedAtDisconnect[attempt] = attempt.conn == nil
	}
}

// write plays the writer of a connection: the backend receives the whole command.
func (e *exploration) write(s *simulatedConn) {
	pending := <-s.conn.writes
	attempt := pending.attempt
	if outcome, ended := e.ends[attempt]; ended {
		e.violate("attempt %d ended with %d, and is sent", attempt.Number, outcome)
	}
	if e.written[attempt] {
		e.violate("attempt %d is sent twice", attempt.Number)
	}
	e.written[attempt] = true
	if e.mutation != mutationUnreportedWrite {
		s.conn.lastWritten.Store(attempt)
	}
}

// fireNextTimer lets time pass up to the next timer.
func (e *exploration) fireNextTimer() {
	next := slices.MinFunc(e.timers, func(a, b testTimer) int { return int(a.at - b.at) })
	e.now = next.at
	e.timers = slices.DeleteFunc(e.timers, func(timer testTimer) bool { return timer.at == next.at })
	next.do()
}

// checkInvariants looks for what must not be at any moment.
func (e *exploration) checkInvariants() {
	for i := range e.conns {
		e.checkConn(i)
	}
	for _, attempt := range e.attempts {
		if e.unassignedAtDisconnect[attempt] && attempt.conn != nil {
			e.violate("attempt %d was handed to a connection after its client had gone", attempt.Number)
		}
	}
	open := 0
	closing := map[*backendPool]int{} // closed by the pool, which serves again when it hears of the end
	for _, s := range e.conns {
		if s.conn.disconnected {
			continue
		}
		open++
		if s.conn.closed {
			closing[s.conn.backend]++
		}
	}
	if open != e.pool.connections {
		e.violate("%d connections are there, the pool counts %d", open, e.pool.connections)
	}
	for _, backend := range e.pool.backends {
		e.checkWaiting(backend, closing[backend])
		e.checkIdle(backend)
	}
}

func (e *exploration) checkConn(i int) {
	s := e.conns[i]
	if len(s.conn.writes) > 0 && !s.socket.closed && s.conn.current == nil && !s.conn.disconnected {
		e.violate("conn %d is to write, and the pool knows of nothing on it", i)
	}
	attempt := s.conn.current
	if attempt == nil || !s.replyHandled || e.mutation == trustedAndScarce {
		return
	}
	if attempt.assignedAt-s.repliedAt < reuseDelay {
		e.violate("conn %d is given attempt %d before its reuse delay is over", i, attempt.Number)
	}
}

// checkWaiting looks at the attempts that wait for a backend; closing is how many connections will end and be replaced.
func (e *exploration) checkWaiting(backend *backendPool, closing int) {
	for _, attempt := range backend.waiting {
		if _, ended := e.ends[attempt]; ended {
			e.violate("attempt %d has ended and waits", attempt.Number)
		}
	}
	waiting := len(backend.waiting)
	if waiting > 0 && len(backend.idle) > 0 && !backend.wakeScheduled {
		e.violate("%d attempts wait for idle connections, and nothing will serve them", waiting)
	}
	belowLimits := backend.connections < maxConnectionsPerBackend && e.pool.connections < e.pool.cfg.MaxConnections
	if waiting > backend.dialing+len(backend.idle)+closing && belowLimits {
		e.violate("%d attempts wait, with %d connections begun and %d idle",
			waiting, backend.dialing, len(backend.idle))
	}
}

func (e *exploration) checkIdle(backend *backendPool) {
	for _, c := range backend.idle {
		if c.current != nil {
			e.violate("a connection is idle with attempt %d on it", c.current.Number)
		}
		if backend.State != policy.Running && len(c.writes) > 0 {
			e.violate("a backend that drains is to be sent something on an idle connection")
		}
	}
}

// settleAll ends what is open as the owner would: all events are handled, each attempt is aborted at its time,
// connections that the pool has closed end, time passes. Nothing may be left then.
func (e *exploration) settleAll() {
	const maxRounds = 100
	for round := 0; round < maxRounds && e.isOpen(); round++ {
		for _, attempt := range e.attempts {
			if attempt.backend != nil {
				e.pool.Abort(attempt, policy.TimedOut)
			}
		}
		for _, s := range e.conns {
			if !s.ended {
				s.end("")
			}
			for len(s.events) > 0 {
				e.pool.Handle(s.takeEvent())
			}
		}
		if len(e.timers) > 0 {
			e.fireNextTimer()
		}
	}
	e.checkSettled()
}

// isOpen reports whether anything can still happen.
func (e *exploration) isOpen() bool {
	unfinished := func(s *simulatedConn) bool { return !s.ended || len(s.events) > 0 }
	return len(e.timers) > 0 || slices.ContainsFunc(e.conns, unfinished)
}

func (e *exploration) checkSettled() {
	for _, attempt := range e.attempts {
		if _, ended := e.ends[attempt]; attempt.backend != nil && !ended {
			e.violate("attempt %d never ends", attempt.Number)
		}
	}
	if e.pool.connections != 0 {
		e.violate("the pool counts %d connections where there are none", e.pool.connections)
	}
	for id, b := range e.pool.backends {
		if b.connections != 0 || b.dialing != 0 || b.wakeScheduled || len(b.waiting) != 0 || len(b.idle) != 0 {
			e.violate("%s: %d connections, %d begun, wake scheduled %v, %d wait, %d idle, and all is over",
				id, b.connections, b.dialing, b.wakeScheduled, len(b.waiting), len(b.idle))
		}
		if b.State == policy.Gone {
			e.violate("%s is gone and is not forgotten", id)
		}
	}
}
