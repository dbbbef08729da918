package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"hitchspring/internal/lab/respclient"
	"hitchspring/internal/rulecheck"
)

const (
	lateAnswerGrace    = 500 * time.Millisecond                 // after the timeout, in which an answer is late but allowed
	answerReadGrace    = lateAnswerGrace + 350*time.Millisecond // after the timeout, in which a client still reads
	misbehaviorTimeout = 3 * time.Second                        // until a misbehaving client must be answered or cut off
	balancerDelay      = 300 * time.Millisecond                 // until the balancer in front avoids a draining instance
	bodyFraction       = 0.05                                   // of the requests that may change something
	maxBodyBytes       = 60 << 10
	meanSlowPieces     = 12   // in which a slow client sends a request
	maxUnknownCommands = 6    // on one connection; the instance closes it at the tenth
	requestsPerSecond  = 12.0 // of the steady client of each instance
)

// clientRequest is one request as its client saw it.
type clientRequest struct {
	id, class    string
	kind         string        // of the client that sends it
	in           *instance     // that it is sent to
	dialedAt     time.Duration // when its connection was opened, of a slow client; 0: of another
	sent         time.Duration // when it was sent
	timeout      time.Duration // that the request names
	answerDue    time.Duration // after sent; later than timeout if the answer before it on the connection was later
	answers      []rulecheck.Answer
	value        string        // of the answer
	firstOnConn  bool          // no request was sent on its connection before
	notConnected bool          // no instance took it: its client sends it to another
	connEndedAt  time.Duration // when its connection ended without an answer; 0: it did not
	left         time.Duration // when its client closed the connection without waiting; 0: it did not
	gaveUpAt     time.Duration // when its client stopped waiting for the answer; 0: it did not
}

// tenant is a tenant with its plan and the instances that it uses: spread of them, from first on.
type tenant struct {
	id            uint64
	plan          string
	spread, first int
}

// tenants returns the tenants that use an instance. The last is shared with neighboring instances and exceeds its
// ceiling.
func (r *run) tenants(n int) []tenant {
	var out []tenant
	for k := range 6 {
		out = append(out, tenant{id: uint64(1000 + n*10 + k), plan: "small", spread: min(1+k%3, r.cfg.Instances), first: n})
	}
	spread := min(3, r.cfg.Instances)
	return append(out, tenant{id: uint64(900000 + n/spread), plan: "large", spread: spread, first: n / spread * spread % r.cfg.Instances})
}

// request is a request before it is sent.
type request struct {
	clientRequest
	text string // the encoded command
}

// newRequest draws a request from a client of an instance.
func (r *run) newRequest(kind string, in *instance, rng *rand.Rand) request {
	c := r.deployment.drawClass(rng)
	choices := r.tenants(in.index)
	t := choices[len(choices)-1]
	if rng.Float64() < 0.6 {
		t = choices[rng.IntN(len(choices)-1)]
	}
	id := fmt.Sprintf("%016x", r.lastID.Add(1))
	timeout := time.Duration(float64(c.deadline) * (0.5 + 0.5*rng.Float64())).Truncate(time.Millisecond)
	fields := fmt.Sprintf("c=%s,t=%s,d=%d,units=%d,spread=%d,first=%d", c.name, t.plan, timeout.Milliseconds(), c.units, t.spread, t.first)
	name := "Q.DO"
	switch c.effect {
	case effectSafe:
		name = "Q.ASK"
	case effectKeyed:
		fields += ",k=" + id
	}
	args := []string{name, fmt.Sprintf("%016x", t.id), id, fields}
	if c.effect != effectSafe && rng.Float64() < bodyFraction {
		args = append(args, strings.Repeat("b", 1+rng.IntN(maxBodyBytes)))
	}
	text := respclient.EncodeCommand(args...)
	return request{clientRequest: clientRequest{id: id, class: c.name, kind: kind, in: in, timeout: timeout}, text: text}
}

// conn is a connection of a client.
type conn struct {
	net.Conn
	in        *bufio.Reader
	used      bool // it has answered a request
	idleSince time.Time
}

func (in *instance) dial() (*conn, error) {
	nc, err := net.DialTimeout("tcp", in.addr, 500*time.Millisecond)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, in: bufio.NewReader(nc)}, nil
}

// answer reads one answer until a deadline.
func (c *conn) answer(deadline time.Time) (respclient.Answer, error) {
	c.SetReadDeadline(deadline)
	return respclient.ReadAnswer(c.in)
}

// recordRequest adds a request to those that are checked.
func (r *run) recordRequest(req clientRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clientRequests = append(r.clientRequests, req)
}

// awaitAnswer reads the answer of a request and records its outcome. previousAnswerAt is when the answer before it on
// the connection arrived.
func (r *run) awaitAnswer(c *conn, req *clientRequest, previousAnswerAt time.Duration) error {
	req.answerDue = max(req.timeout, previousAnswerAt-req.sent)
	deadline := time.Now().Add(req.sent + req.answerDue + answerReadGrace - r.clock())
	answer, err := c.answer(deadline)
	now := r.clock()
	switch {
	case err == nil:
		req.answers = append(req.answers, rulecheck.Answer{At: now, Kind: answer.Kind})
		req.value = answer.Value
	case errors.Is(err, respclient.ErrClosed):
		req.connEndedAt = now
	default:
		req.gaveUpAt = now
	}
	return err
}

// send sends one request on a connection, or on a new one if c is nil, and reads its answer. If a reused connection
// ends before the answer, and the request was not forwarded, it is sent again on a new connection, as the protocol
// demands. It returns the connection if it can be reused.
func (r *run) send(c *conn, q request) (*conn, bool) {
	req := q.clientRequest
	for {
		if c == nil {
			var err error
			if !req.in.inRotation() { // the balancer sends the request to another instance
				err = respclient.ErrClosed
			} else {
				c, err = req.in.dial()
			}
			if err != nil {
				req.sent, req.notConnected = r.clock(), true
				r.recordRequest(req)
				return nil, false
			}
		}
		req.sent, req.firstOnConn, req.connEndedAt = r.clock(), !c.used, 0
		_, err := io.WriteString(c, q.text)
		if err == nil {
			err = r.awaitAnswer(c, &req, 0)
		} else {
			req.connEndedAt = r.clock()
		}
		if err == nil {
			c.used, c.idleSince = true, time.Now()
			r.recordRequest(req)
			return c, true
		}
		c.Close()
		c = nil
		if req.connEndedAt > 0 && !req.firstOnConn && !r.forwarded(req.id) {
			continue
		}
		r.recordRequest(req)
		return nil, false
	}
}

// forwarded reports whether a request has reached a backend.
func (r *run) forwarded(id string) bool {
	time.Sleep(20 * time.Millisecond) // the backend may not have recorded it yet
	for _, rec := range r.fleet.Records(0) {
		if rec.ID == id {
			return true
		}
	}
	return false
}

// inRotation reports whether the balancer in front still sends new connections to the instance.
func (in *instance) inRotation() bool {
	now := in.run.clock()
	return in.timeSinceShutdown(now) <= balancerDelay && !in.draining(now-balancerDelay)
}

// steadyClient sends requests at a steady mean rate, each on an idle connection or a new one.
func (r *run) steadyClient(ctx context.Context, in *instance, rng *rand.Rand) {
	var mu sync.Mutex
	var idle []*conn
	var wg sync.WaitGroup
	defer wg.Wait()
	for sleep(ctx, time.Duration(rng.ExpFloat64()/requestsPerSecond*float64(time.Second))) {
		mu.Lock()
		var c *conn
		if len(idle) > 0 { // a random one, so that some grow old
			i := rng.IntN(len(idle))
			c = idle[i]
			idle = append(idle[:i], idle[i+1:]...)
		}
		mu.Unlock()
		if c == nil && !in.inRotation() {
			continue
		}
		q := r.newRequest("steady", in, rng)
		wg.Go(func() {
			if c, ok := r.send(c, q); ok {
				mu.Lock()
				idle = append(idle, c)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	for _, c := range idle {
		c.Close()
	}
}

// idleClient sends requests on one connection with pauses about as long as the instance's idle timeout. It opens a new
// one when the instance closes it.
func (r *run) idleClient(ctx context.Context, in *instance, rng *rand.Rand) {
	var c *conn
	for {
		if c == nil && !in.inRotation() {
			if !sleep(ctx, 100*time.Millisecond) {
				return
			}
			continue
		}
		c, _ = r.send(c, r.newRequest("resting", in, rng))
		if !sleep(ctx, 1950*time.Millisecond+time.Duration(rng.Int64N(int64(450*time.Millisecond)))) {
			if c != nil {
				c.Close()
			}
			return
		}
	}
}

// pipeliningClient sends many commands at once on one connection, some of them unknown, and reads the answers in
// order.
func (r *run) pipeliningClient(ctx context.Context, in *instance, rng *rand.Rand) {
	for sleep(ctx, time.Duration(500+rng.IntN(2500))*time.Millisecond) {
		if !in.inRotation() {
			continue
		}
		c, err := in.dial()
		if err != nil {
			continue
		}
		requests := make([]request, 2+rng.IntN(120))
		var text strings.Builder
		unknownCommands := rng.IntN(maxUnknownCommands + 1)
		for i := range requests {
			requests[i] = r.newRequest("pipelining", in, rng)
			if unknownCommands > 0 && rng.IntN(12) == 0 {
				unknownCommands--
				text.WriteString(respclient.EncodeCommand("NONSENSE", "x"))
			}
			text.WriteString(requests[i].text)
		}
		sent := r.clock()
		_, err = io.WriteString(c, text.String())
		previousAnswerAt := time.Duration(0)
		for i := range requests {
			req := &requests[i].clientRequest
			req.sent, req.firstOnConn = sent, true
			for err == nil {
				if err = r.awaitAnswer(c, req, previousAnswerAt); err == nil && req.value != "" && strings.Contains(req.value, "unknown command") { // the answer of an unknown command
					req.answers, req.value, previousAnswerAt = nil, "", r.clock()
					continue
				}
				break
			}
			if err != nil && req.connEndedAt == 0 && req.gaveUpAt == 0 {
				req.connEndedAt = r.clock()
			}
			previousAnswerAt = r.clock()
			r.recordRequest(*req)
		}
		c.Close()
	}
}

// disconnectingClient sends some requests and closes the connection at once, half of the time with a reset.
func (r *run) disconnectingClient(ctx context.Context, in *instance, rng *rand.Rand) {
	for sleep(ctx, time.Duration(100+rng.IntN(600))*time.Millisecond) {
		if !in.inRotation() {
			continue
		}
		c, err := in.dial()
		if err != nil {
			continue
		}
		requests := make([]request, 1+rng.IntN(12))
		var text strings.Builder
		for i := range requests {
			requests[i] = r.newRequest("leaving", in, rng)
			text.WriteString(requests[i].text)
		}
		sent := r.clock()
		io.WriteString(c, text.String())
		if rng.IntN(3) == 0 { // followed by a part of another
			part := r.newRequest("leaving", in, rng).text
			io.WriteString(c, part[:rng.IntN(len(part))])
		}
		sleep(ctx, time.Duration(rng.IntN(80))*time.Millisecond)
		if rng.IntN(2) == 0 {
			c.Conn.(*net.TCPConn).SetLinger(0)
		}
		c.Close()
		left := r.clock()
		for _, q := range requests {
			q.sent, q.left, q.firstOnConn = sent, left, true
			r.recordRequest(q.clientRequest)
		}
	}
}

// The bounds of a connection on which requests are sent unpaced.
const (
	maxUnpacedGap      = 60 * time.Millisecond // between two requests
	maxUnpacedRequests = 400
)

// unpacedClient sends requests on one connection without waiting for their answers until the instance closes it. It
// goes on after SIGTERM, so that requests arrive during the whole shutdown.
func (r *run) unpacedClient(ctx context.Context, in *instance, rng *rand.Rand) {
	for sleep(ctx, time.Duration(100+rng.IntN(400))*time.Millisecond) {
		if !in.inRotation() {
			continue
		}
		c, err := in.dial()
		if err != nil {
			continue
		}
		r.sendUnpaced(ctx, c, in, rng)
		c.Close()
	}
}

// sendUnpaced sends requests on a connection and reads their answers until the connection or the load ends.
func (r *run) sendUnpaced(ctx context.Context, c *conn, in *instance, rng *rand.Rand) {
	sent := make(chan *clientRequest, maxUnpacedRequests)
	var reading sync.WaitGroup
	ended := make(chan struct{})
	reading.Go(func() {
		defer close(ended)
		r.readUnpaced(c, sent)
	})
	for n := range maxUnpacedRequests {
		q := r.newRequest("unpaced", in, rng)
		req := &q.clientRequest
		req.sent, req.firstOnConn = r.clock(), n == 0
		sent <- req
		if _, err := io.WriteString(c, q.text); err != nil {
			break
		}
		if !r.awaitNextUnpaced(ctx, ended, rng) {
			break
		}
	}
	close(sent)
	reading.Wait()
}

// awaitNextUnpaced waits until the next request is due. It returns false if the connection or the load ends before.
func (r *run) awaitNextUnpaced(ctx context.Context, ended <-chan struct{}, rng *rand.Rand) bool {
	timer := time.NewTimer(time.Duration(rng.Int64N(int64(maxUnpacedGap))))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-ended:
		return false
	case <-timer.C:
		return true
	}
}

// readUnpaced reads the answers of a connection in order. After the connection has ended, its client sends the
// requests that no backend has seen to another instance, as the protocol demands. The others are owed an answer.
func (r *run) readUnpaced(c *conn, sent <-chan *clientRequest) {
	var err error
	previousAnswerAt := time.Duration(0)
	for req := range sent {
		if err == nil {
			err = r.awaitAnswer(c, req, previousAnswerAt)
			previousAnswerAt = r.clock()
		} else {
			req.connEndedAt = r.clock()
		}
		if req.connEndedAt > 0 && !req.firstOnConn && !r.forwarded(req.id) {
			req.notConnected = true
		}
		r.recordRequest(*req)
		if err != nil {
			c.Close()
		}
	}
}

// slowClient sends requests in pieces with pauses between them.
func (r *run) slowClient(ctx context.Context, in *instance, rng *rand.Rand) {
	for sleep(ctx, time.Duration(300+rng.IntN(1500))*time.Millisecond) {
		if !in.inRotation() {
			continue
		}
		c, err := in.dial()
		if err != nil {
			continue
		}
		q := r.newRequest("slow", in, rng)
		req, rest := q.clientRequest, q.text
		req.firstOnConn, req.dialedAt = true, r.clock()
		for len(rest) > 0 && err == nil {
			n := min(len(rest), 1+rng.IntN(2*len(q.text)/meanSlowPieces))
			_, err = io.WriteString(c, rest[:n])
			if rest = rest[n:]; len(rest) > 0 {
				sleep(ctx, time.Duration(rng.IntN(250))*time.Millisecond)
			}
		}
		req.sent = r.clock()
		if err == nil {
			r.awaitAnswer(c, &req, 0)
			r.recordRequest(req)
		}
		c.Close()
	}
}

// stallingClient sends a part of a command and then nothing. The instance must send an error or close the connection
// within misbehaviorTimeout.
func (r *run) stallingClient(ctx context.Context, in *instance, rng *rand.Rand) {
	for sleep(ctx, time.Duration(300+rng.IntN(2000))*time.Millisecond) {
		if !in.inRotation() {
			continue
		}
		c, err := in.dial()
		if err != nil {
			continue
		}
		text := r.newRequest("stalling", in, rng).text
		io.WriteString(c, text[:1+rng.IntN(len(text)-1)])
		began := r.clock()
		c.SetReadDeadline(time.Now().Add(misbehaviorTimeout + time.Second))
		_, err = c.in.ReadByte()
		took := r.clock() - began
		c.Close()
		if took > misbehaviorTimeout+tolerance && !in.killedWithin(began, began+took) {
			r.addViolation(RuleMisbehavingClients, began+took, fmt.Sprintf("%s left a client that stopped within a command without a word for %v (%v)", in.Name, took.Round(time.Millisecond), err))
		}
	}
}
