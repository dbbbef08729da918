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
	lateBy       = 500 * time.Millisecond // beyond a request's time, up to which its answer only earns nothing
	answerWait   = lateBy + 350*time.Millisecond
	badClient    = 3 * time.Second // within which a client that misbehaves is owed an error or the end of its connection
	frontNotice  = 300 * time.Millisecond
	bodyShare    = 0.05
	mostBody     = 60 << 10
	slowPieces   = 12   // of a request that comes slowly, on the mean
	mostNonsense = 6    // commands of one connection that are no requests: the tenth ends it
	ratePerSec   = 12.0 // first requests a second at each instance
)

// asked is one request as its client saw it.
type clientRequest struct {
	id, class string
	kind      string // of the client
	in        *instance
	since     time.Duration // when its connection was dialled, where that was long before
	sent      time.Duration
	wait      time.Duration // that it said it waits
	owed      time.Duration // after sent: by when the answer is, where it counts from the answer before it on the connection
	answers   []rulecheck.Answer
	value     string
	fresh     bool          // the first on its connection
	noConnect bool          // its connection was not taken
	ended     time.Duration // when its connection ended without an answer; 0: it has not
	left      time.Duration // when the client had closed its connection; 0: it stayed
	waited    time.Duration // until when the client waited without an answer; 0: it has one, or none is owed
}

// channel is a customer with its plan and set of instances.
type channel struct {
	id            uint64
	plan          string
	spread, first int
}

// channels are the customers that come through an instance: the last is shared by neighbours and presses against its ceiling.
func (r *run) channels(n int) []channel {
	var out []channel
	for k := range 6 {
		out = append(out, channel{id: uint64(1000 + n*10 + k), plan: "small", spread: min(1+k%3, r.cfg.Instances), first: n})
	}
	spread := min(3, r.cfg.Instances)
	return append(out, channel{id: uint64(900000 + n/spread), plan: "large", spread: spread, first: n / spread * spread % r.cfg.Instances})
}

// request is a request that is about to be sent.
type request struct {
	clientRequest
	text string
}

// newRequest words a request of a class for a customer.
func (r *run) newRequest(kind string, in *instance, rng *rand.Rand) request {
	c := r.deployment.draw(rng)
	list := r.channels(in.n)
	ch := list[len(list)-1]
	if rng.Float64() < 0.6 {
		ch = list[rng.IntN(len(list)-1)]
	}
	id := fmt.Sprintf("%016x", r.lastID.Add(1))
	wait := time.Duration(float64(c.deadline) * (0.5 + 0.5*rng.Float64())).Truncate(time.Millisecond)
	fields := fmt.Sprintf("c=%s,t=%s,d=%d,units=%d,spread=%d,first=%d", c.name, ch.plan, wait.Milliseconds(), c.units, ch.spread, ch.first)
	name := "Q.DO"
	switch c.effect {
	case safe:
		name = "Q.ASK"
	case keyed:
		fields += ",k=" + id
	}
	words := []string{name, fmt.Sprintf("%016x", ch.id), id, fields}
	if c.effect != safe && rng.Float64() < bodyShare {
		words = append(words, strings.Repeat("b", 1+rng.IntN(mostBody)))
	}
	text := respclient.EncodeCommand(words...)
	return request{clientRequest: clientRequest{id: id, class: c.name, kind: kind, in: in, wait: wait}, text: text}
}

// conn is a client's connection.
type conn struct {
	net.Conn
	in   *bufio.Reader
	used bool
	rest time.Time // since when nothing is open on it
}

func (in *instance) dial() (*conn, error) {
	nc, err := net.DialTimeout("tcp", in.addr, 500*time.Millisecond)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, in: bufio.NewReader(nc)}, nil
}

// answer reads one answer.
func (c *conn) answer(until time.Time) (respclient.Answer, error) {
	c.SetReadDeadline(until)
	return respclient.ReadAnswer(c.in)
}

// note records a request as it went.
func (r *run) note(a clientRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clientRequests = append(r.clientRequests, a)
}

// reads awaits the answer of a request that was sent on a connection; before is when the answer ahead of it came.
func (r *run) reads(c *conn, a *clientRequest, before time.Duration) error {
	a.owed = max(a.wait, before-a.sent)
	until := time.Now().Add(a.sent + a.owed + answerWait - r.clock())
	answer, err := c.answer(until)
	now := r.clock()
	switch {
	case err == nil:
		a.answers = append(a.answers, rulecheck.Answer{At: now, Kind: answer.Kind})
		a.value = answer.Value
	case errors.Is(err, respclient.ErrClosed):
		a.ended = now
	default:
		a.waited = now
	}
	return err
}

// once sends one request on a connection and reads its answer. Where a connection that was used before ends under it and the request
// was not forwarded, it is sent once more on a new one, as the protocol has it.
func (r *run) once(c *conn, q request) (*conn, bool) {
	a := q.clientRequest
	for {
		if c == nil {
			var err error
			if !a.in.open() { // the front sends it to another
				err = respclient.ErrClosed
			} else {
				c, err = a.in.dial()
			}
			if err != nil {
				a.sent, a.noConnect = r.clock(), true
				r.note(a)
				return nil, false
			}
		}
		a.sent, a.fresh, a.ended = r.clock(), !c.used, 0
		_, err := io.WriteString(c, q.text)
		if err == nil {
			err = r.reads(c, &a, 0)
		} else {
			a.ended = r.clock()
		}
		if err == nil {
			c.used, c.rest = true, time.Now()
			r.note(a)
			return c, true
		}
		c.Close()
		c = nil
		if a.ended > 0 && !a.fresh && !r.forwarded(a.id) {
			continue
		}
		r.note(a)
		return nil, false
	}
}

// forwarded reports whether a request has come to a backend.
func (r *run) forwarded(id string) bool {
	time.Sleep(20 * time.Millisecond) // the backend's record may be on its way
	for _, rec := range r.fleet.Records(0) {
		if rec.ID == id {
			return true
		}
	}
	return false
}

// open reports whether the front before the instances still sends new connections to one.
func (in *instance) open() bool {
	now := in.run.clock()
	return in.leavingFor(now) <= frontNotice && !in.draining(now-frontNotice)
}

// steady sends requests at a rate, each on a connection that rests or a new one.
func (r *run) steady(ctx context.Context, in *instance, rng *rand.Rand) {
	var mu sync.Mutex
	var idle []*conn
	var wg sync.WaitGroup
	defer wg.Wait()
	for sleep(ctx, time.Duration(rng.ExpFloat64()/ratePerSec*float64(time.Second))) {
		mu.Lock()
		var c *conn
		if len(idle) > 0 { // any of them, so that some get old
			i := rng.IntN(len(idle))
			c = idle[i]
			idle = append(idle[:i], idle[i+1:]...)
		}
		mu.Unlock()
		if c == nil && !in.open() {
			continue
		}
		q := r.newRequest("steady", in, rng)
		wg.Go(func() {
			if c, ok := r.once(c, q); ok {
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

// resting sends a request on a connection that has rested for nearly as long as the instance lets it, or until the instance ends it.
func (r *run) resting(ctx context.Context, in *instance, rng *rand.Rand) {
	var c *conn
	for {
		if c == nil && !in.open() {
			if !sleep(ctx, 100*time.Millisecond) {
				return
			}
			continue
		}
		c, _ = r.once(c, r.newRequest("resting", in, rng))
		if !sleep(ctx, 1950*time.Millisecond+time.Duration(rng.Int64N(int64(450*time.Millisecond)))) {
			if c != nil {
				c.Close()
			}
			return
		}
	}
}

// pipelining sends many commands at once on one connection, and reads the answers in their order.
func (r *run) pipelining(ctx context.Context, in *instance, rng *rand.Rand) {
	for sleep(ctx, time.Duration(500+rng.IntN(2500))*time.Millisecond) {
		if !in.open() {
			continue
		}
		c, err := in.dial()
		if err != nil {
			continue
		}
		list := make([]request, 2+rng.IntN(120))
		var text strings.Builder
		nonsense := rng.IntN(mostNonsense + 1)
		for i := range list {
			list[i] = r.newRequest("pipelining", in, rng)
			if nonsense > 0 && rng.IntN(12) == 0 {
				nonsense--
				text.WriteString(respclient.EncodeCommand("NONSENSE", "x"))
			}
			text.WriteString(list[i].text)
		}
		sent := r.clock()
		_, err = io.WriteString(c, text.String())
		before := time.Duration(0)
		for i := range list {
			a := &list[i].clientRequest
			a.sent, a.fresh = sent, true
			for err == nil {
				if err = r.reads(c, a, before); err == nil && a.value != "" && strings.Contains(a.value, "unknown command") { // the nonsense's
					a.answers, a.value, before = nil, "", r.clock()
					continue
				}
				break
			}
			if err != nil && a.ended == 0 && a.waited == 0 {
				a.ended = r.clock()
			}
			before = r.clock()
			r.note(*a)
		}
		c.Close()
	}
}

// leaving sends some requests and closes the connection, without or with a reset.
func (r *run) leaving(ctx context.Context, in *instance, rng *rand.Rand) {
	for sleep(ctx, time.Duration(100+rng.IntN(600))*time.Millisecond) {
		if !in.open() {
			continue
		}
		c, err := in.dial()
		if err != nil {
			continue
		}
		list := make([]request, 1+rng.IntN(12))
		var text strings.Builder
		for i := range list {
			list[i] = r.newRequest("leaving", in, rng)
			text.WriteString(list[i].text)
		}
		sent := r.clock()
		io.WriteString(c, text.String())
		if rng.IntN(3) == 0 { // with half of another behind
			part := r.newRequest("leaving", in, rng).text
			io.WriteString(c, part[:rng.IntN(len(part))])
		}
		sleep(ctx, time.Duration(rng.IntN(80))*time.Millisecond)
		if rng.IntN(2) == 0 {
			c.Conn.(*net.TCPConn).SetLinger(0)
		}
		c.Close()
		left := r.clock()
		for _, q := range list {
			q.sent, q.left, q.fresh = sent, left, true
			r.note(q.clientRequest)
		}
	}
}

// Bounds of a connection on which requests are sent unpaced.
const (
	maxUnpacedGap      = 60 * time.Millisecond // the longest between two requests
	maxUnpacedRequests = 400                   // requests on one connection
)

// unpaced sends request after request on one connection, without waiting for the answers, until the instance ends the
// connection: also after a SIGTERM, up to the SIGKILL.
func (r *run) unpaced(ctx context.Context, in *instance, rng *rand.Rand) {
	for sleep(ctx, time.Duration(100+rng.IntN(400))*time.Millisecond) {
		if !in.open() {
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

// sendUnpaced sends requests on a connection and reads their answers, until it ends or the load does.
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
		a := &q.clientRequest
		a.sent, a.fresh = r.clock(), n == 0
		sent <- a
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

// awaitNextUnpaced waits until the next request is due. It reports false if the connection has ended or the load has.
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

// readUnpaced reads the answers of a connection in their order. Once it has ended, a request that no backend has seen is
// sent to another instance, as the protocol has it; the others are owed their answers.
func (r *run) readUnpaced(c *conn, sent <-chan *clientRequest) {
	var err error
	before := time.Duration(0)
	for a := range sent {
		if err == nil {
			err = r.reads(c, a, before)
			before = r.clock()
		} else {
			a.ended = r.clock()
		}
		if a.ended > 0 && !a.fresh && !r.forwarded(a.id) {
			a.noConnect = true
		}
		r.note(*a)
		if err != nil {
			c.Close()
		}
	}
}

// slow sends a request in pieces.
func (r *run) slow(ctx context.Context, in *instance, rng *rand.Rand) {
	for sleep(ctx, time.Duration(300+rng.IntN(1500))*time.Millisecond) {
		if !in.open() {
			continue
		}
		c, err := in.dial()
		if err != nil {
			continue
		}
		q := r.newRequest("slow", in, rng)
		a, rest := q.clientRequest, q.text
		a.fresh, a.since = true, r.clock()
		for len(rest) > 0 && err == nil {
			n := min(len(rest), 1+rng.IntN(2*len(q.text)/slowPieces))
			_, err = io.WriteString(c, rest[:n])
			if rest = rest[n:]; len(rest) > 0 {
				sleep(ctx, time.Duration(rng.IntN(250))*time.Millisecond)
			}
		}
		a.sent = r.clock()
		if err == nil {
			r.reads(c, &a, 0)
			r.note(a)
		}
		c.Close()
	}
}

// stalling sends a part of a command and stays; it is owed an error or the end of its connection.
func (r *run) stalling(ctx context.Context, in *instance, rng *rand.Rand) {
	for sleep(ctx, time.Duration(300+rng.IntN(2000))*time.Millisecond) {
		if !in.open() {
			continue
		}
		c, err := in.dial()
		if err != nil {
			continue
		}
		text := r.newRequest("stalling", in, rng).text
		io.WriteString(c, text[:1+rng.IntN(len(text)-1)])
		began := r.clock()
		c.SetReadDeadline(time.Now().Add(badClient + time.Second))
		_, err = c.in.ReadByte()
		took := r.clock() - began
		c.Close()
		if took > badClient+tolerance && !in.killedWithin(began, began+took) {
			r.found(RuleBadClients, began+took, fmt.Sprintf("%s left a client that stopped within a command without a word for %v (%v)", in.Name, took.Round(time.Millisecond), err))
		}
	}
}
