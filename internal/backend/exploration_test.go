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

// The mutations are defects planted in the simulation, to show that the exploration finds them.
const (
	mutationUnreportedWrite  = "a connection does not report that it wrote a complete command"
	mutationEndsTwice        = "a connection reports its close twice"
	mutationReusedEarly      = "a connection counts as reusable right after a reply, and its backend has no other"
	mutationWantedNotChecked = "the owner is not called to check whether an attempt is still wanted"

	// singleConnection is no defect but a setup in which attempts wait for the only connection.
	singleConnection = "a backend has one connection"
)

const (
	firstAddr = "127.0.0.1:1"
	movedAddr = "127.0.0.1:2"
)

// simulatedConn simulates the goroutines of a connection and its peer.
type simulatedConn struct {
	conn         *conn
	opened       bool     // the dial has succeeded
	ended        bool     // connectionClosed was posted
	events       []Event  // posted, not yet handled by the pool
	duplicates   int      // further replies to the same command
	repliedTo    *Attempt // the attempt of the last reply
	socket       closableConn
	replyHandled bool          // the pool has handled a reply
	repliedAt    time.Duration // when it handled the last one
}

// end posts the connection's last event.
func (s *simulatedConn) end(mutation string) {
	s.ended = true
	if s.opened {
		close(s.conn.readerDone)
	}
	s.events = append(s.events, connectionClosed{conn: s.conn, wasOpen: s.opened})
	if s.opened && mutation == mutationEndsTwice {
		s.events = append(s.events, connectionClosed{conn: s.conn, wasOpen: true})
	}
}

// takeEvent removes and returns the first event.
func (s *simulatedConn) takeEvent() Event {
	event := s.events[0]
	s.events = s.events[1:]
	return event
}

// closableConn is a socket that only records whether the pool has closed it.
type closableConn struct {
	net.Conn
	closed bool
}

func (c *closableConn) Close() error {
	c.closed = true
	return nil
}

// exploration is the state after a sequence of steps. It is the pool's owner. All its attempts are sent to one backend.
type exploration struct {
	pool      *Pool
	now       time.Duration
	timers    []testTimer
	attempts  []*Attempt
	ends      map[*Attempt]policy.Outcome
	written   map[*Attempt]bool // the backend has received the complete command
	conns     []*simulatedConn
	violation string // the first one found
	// unassignedAtDisconnect is nil until the client of all attempts has disconnected. Then it says of each attempt
	// whether it had no connection at that moment.
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

// AttemptWanted withdraws the other attempts too, as the core does when it finds that a request's client has
// disconnected.
func (e *exploration) AttemptWanted(*Attempt) bool {
	if e.unassignedAtDisconnect == nil || e.mutation == mutationWantedNotChecked {
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
		e.violate("attempt %d was received by the backend, and ended as one that never ran", attempt.Number)
	}
	if outcome == policy.Succeeded && !e.written[attempt] {
		e.violate("attempt %d was never sent, and ended as served", attempt.Number)
	}
}

func (e *exploration) violate(format string, args ...any) {
	if e.violation == "" {
		e.violation = fmt.Sprintf(format, args...)
	}
}

// step is an event that is possible in the current state. Its format takes the number of an attempt or a connection,
// unless number is negative.
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

// exploredReplies are the replies that a backend may send to a command. Only the first is also sent as a duplicate.
var exploredReplies = []struct {
	reply  Reply
	format string
}{
	{Reply{Value: []byte("v"), outcome: policy.Succeeded, reusable: true}, "conn %d receives a value"},
	{Reply{outcome: policy.Failed}, "conn %d receives an invalid reply"},
	{Reply{outcome: policy.Rejected, reusable: true}, "conn %d receives a rejection"},
}

// possibleSteps returns all steps that are possible now, in a deterministic order.
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
		steps = append(steps, step{"the client disconnects", -1, e.disconnectClient})
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
		if i == 0 || e.attempts[i-1].backend != nil { // the attempts are alike, so one order of starts is enough
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

// connSteps returns the events that are possible on a connection.
func (e *exploration) connSteps(i int) (steps []step) {
	s := e.conns[i]
	if len(s.events) > 0 {
		steps = append(steps, step{"the pool handles an event of conn %d", i, func() { e.handleEvent(s) }})
	}
	if s.ended {
		return steps
	}
	end := func() { s.end(e.mutation) }
	if !s.opened {
		return append(steps,
			step{"conn %d opens", i, func() {
				s.opened = true
				s.conn.nc = &s.socket
				s.events = append(s.events, connectionOpened{s.conn})
			}},
			step{"conn %d fails to open", i, end},
		)
	}
	steps = append(steps, step{"conn %d closes", i, end})
	if len(s.conn.writes) > 0 {
		if !s.socket.closed {
			steps = append(steps, step{"conn %d writes", i, func() { e.write(s) }})
		}
		steps = append(steps, step{"conn %d closes during a write", i, func() {
			<-s.conn.writes
			end()
		}})
	}
	return append(steps, e.replySteps(i)...)
}

// handleEvent passes the next event of a connection to the pool.
func (e *exploration) handleEvent(s *simulatedConn) {
	event := s.takeEvent()
	_, isReply := event.(replyReceived)
	if isReply {
		s.replyHandled = true
		s.repliedAt = e.now
	}
	e.pool.Handle(event)
	if isReply && e.mutation == mutationReusedEarly {
		s.conn.idleSince -= reuseDelay
	}
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
			if !explored.reply.reusable { // its reader closes the connection
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
		step{"the backend is removed", -1, func() { e.pool.Update(nil, true) }},
	)
	if backend.addr == firstAddr {
		steps = append(steps, step{"the address changes", -1, func() { e.pool.Update(entries(movedAddr), true) }})
	}
	return steps
}

// disconnectClient disconnects the client. The pool's owner notices it only in AttemptWanted.
func (e *exploration) disconnectClient() {
	e.unassignedAtDisconnect = map[*Attempt]bool{}
	for _, attempt := range e.attempts {
		e.unassignedAtDisconnect[attempt] = attempt.conn == nil
	}
}

// write simulates the writer of a connection: the backend receives the complete command.
func (e *exploration) write(s *simulatedConn) {
	pending := <-s.conn.writes
	attempt := pending.attempt
	if outcome, ended := e.ends[attempt]; ended {
		e.violate("attempt %d is sent after it ended with %d", attempt.Number, outcome)
	}
	if e.written[attempt] {
		e.violate("attempt %d is sent twice", attempt.Number)
	}
	e.written[attempt] = true
	if e.mutation != mutationUnreportedWrite {
		s.conn.lastWritten.Store(attempt)
	}
}

// fireNextTimer advances the clock to the next timer and calls it.
func (e *exploration) fireNextTimer() {
	next := slices.MinFunc(e.timers, func(a, b testTimer) int { return int(a.at - b.at) })
	e.now = next.at
	e.timers = slices.DeleteFunc(e.timers, func(timer testTimer) bool { return timer.at == next.at })
	next.do()
}

// checkInvariants checks what must hold in every state.
func (e *exploration) checkInvariants() {
	for i := range e.conns {
		e.checkConn(i)
	}
	for _, attempt := range e.attempts {
		if e.unassignedAtDisconnect[attempt] && attempt.conn != nil {
			e.violate("attempt %d was assigned to a connection after its client had disconnected", attempt.Number)
		}
	}
	open := 0
	closing := map[*backendPool]int{} // closed by the pool, which serves the queue again at connectionClosed
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
		e.violate("%d connections exist, the pool counts %d", open, e.pool.connections)
	}
	for _, backend := range e.pool.backends {
		e.checkWaiting(backend, closing[backend])
		e.checkIdle(backend)
	}
}

func (e *exploration) checkConn(i int) {
	s := e.conns[i]
	if len(s.conn.writes) > 0 && !s.socket.closed && s.conn.current == nil && !s.conn.disconnected {
		e.violate("conn %d has a command to write, and the pool has no attempt in flight on it", i)
	}
	attempt := s.conn.current
	if attempt == nil || !s.replyHandled {
		return
	}
	if attempt.assignedAt-s.repliedAt < reuseDelay {
		e.violate("conn %d is assigned attempt %d within its reuse delay", i, attempt.Number)
	}
}

// checkWaiting checks the queue of a backend; closing is the number of connections that will close and be replaced.
func (e *exploration) checkWaiting(backend *backendPool, closing int) {
	for _, attempt := range backend.waiting {
		if _, ended := e.ends[attempt]; ended {
			e.violate("attempt %d has ended and is still queued", attempt.Number)
		}
	}
	waiting := len(backend.waiting)
	if waiting > 0 && len(backend.idle) > 0 && !backend.wakeScheduled {
		e.violate("%d attempts wait for idle connections, and no wake-up is scheduled", waiting)
	}
	belowLimits := backend.connections < maxConnectionsPerBackend && e.pool.connections < e.pool.cfg.MaxConnections
	if waiting > backend.dialing+len(backend.idle)+closing && belowLimits {
		e.violate("%d attempts wait, with %d connections dialing and %d idle",
			waiting, backend.dialing, len(backend.idle))
	}
}

func (e *exploration) checkIdle(backend *backendPool) {
	for _, c := range backend.idle {
		if c.current != nil {
			e.violate("a connection is idle with attempt %d in flight on it", c.current.Number)
		}
		if backend.State != policy.Running && len(c.writes) > 0 {
			e.violate("an idle connection to a draining backend has a command to write")
		}
	}
}

// settleAll ends everything that is in progress: it aborts all attempts, closes all connections, handles all events and
// fires all timers. Then it checks that nothing is left.
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

// isOpen reports whether a connection, an event or a timer is pending.
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
		e.violate("the pool counts %d connections, want none", e.pool.connections)
	}
	for id, b := range e.pool.backends {
		if b.connections != 0 || b.dialing != 0 || b.wakeScheduled || len(b.waiting) != 0 || len(b.idle) != 0 {
			e.violate("%s after all was settled: %d connections, %d dialing, wake scheduled %v, %d waiting, %d idle",
				id, b.connections, b.dialing, b.wakeScheduled, len(b.waiting), len(b.idle))
		}
		if b.State == policy.Removed {
			e.violate("%s was removed and is still in the pool", id)
		}
	}
}
