// Package tally is the client of the platform's shared counter service: lines of text over TCP, answered in order.
package tally

import (
	"bufio"
	"bytes"
	"context"
	"hash/fnv"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"hitchspring/internal/store"
)

const (
	shardCount          = 4                     // connections; calls of one name share one, so that they stay in order
	shardQueueSize      = 512                   // calls that wait for a connection, or on it for an answer
	idleTimeout         = 3 * time.Second       // a connection without a call for so long is closed, before the counter does
	silentTimeouts      = 4                     // time-outs: one without an answer for so long is dead, its line of calls is no longer
	partialReplyTimeout = 20 * time.Millisecond // for the rest of an answer: a few bytes
	maxTotal            = 1e12                  // a total beyond is none
)

// Counter is the client of the shared counter service.
type Counter struct {
	shards [shardCount]*shard
}

// link is one connection of the counter, opened when there is something to say.
type shard struct {
	addr           string
	timeout        time.Duration
	calls          chan *store.Call
	addressChanges store.Latest[string]
	sink           store.Sink
}

// written is a call that is on its way; short says that its last byte was never written.
type pendingCall struct {
	*store.Call
	incomplete bool
}

// New returns a counter at addr that does not run yet. A connection that is not up after timeout has failed, and one on
// which calls wait four times as long for an answer is dead.
func New(addr string, timeout time.Duration, sink store.Sink) *Counter {
	c := &Counter{}
	for i := range c.shards {
		c.shards[i] = &shard{
			addr: addr, timeout: timeout, calls: make(chan *store.Call, shardQueueSize),
			addressChanges: store.NewLatest[string](), sink: sink,
		}
	}
	return c
}

// Run serves until ctx ends.
func (c *Counter) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, l := range c.shards {
		wg.Go(func() { l.run(ctx) })
	}
	wg.Wait()
}

// Move goes over to a counter at another address.
func (c *Counter) SetAddress(addr string) {
	for _, l := range c.shards {
		l.addressChanges.Set(addr)
	}
}

// Add queues a call; where the queue is full the call just times out unwritten, in its order.
func (c *Counter) Add(k *store.Call) {
	h := fnv.New32a()
	h.Write([]byte(k.Name))
	select {
	case c.shards[h.Sum32()%shardCount].calls <- k:
	default:
	}
}

// run serves the calls of one link until ctx ends.
func (s *shard) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s.addr = <-s.addressChanges:
		case k := <-s.calls:
			select {
			case s.addr = <-s.addressChanges:
			default:
			}
			if k.IsQueued() { // else it has timed out: no connection for its sake
				s.serve(ctx, k)
			}
		}
	}
}

// serve opens a connection for the first call and writes calls to it until it breaks, falls silent or the counter
// moves. On a move the calls that are out have their time for an answer before later ones go elsewhere: answers for
// one name come in the order of its calls.
func (s *shard) serve(ctx context.Context, first *store.Call) {
	d := net.Dialer{Timeout: s.timeout}
	nc, err := d.DialContext(ctx, "tcp", s.addr)
	if err != nil {
		s.sink(first, store.Result{Certainty: store.NotAdded})
		return
	}
	pending, broken, idle := make(chan *pendingCall, shardQueueSize), make(chan struct{}), make(chan struct{}, 1)
	go func() {
		defer close(broken)
		s.read(nc, pending, idle)
	}()
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	defer stop()
	var buf []byte
	var ends []int
	batch := []*store.Call{first}
	var sent []*pendingCall
	for open := true; open; {
		for more := true; more && len(batch) < shardQueueSize/2; {
			select {
			case k := <-s.calls:
				batch = append(batch, k)
			default:
				more = false
			}
		}
		if len(pending) == 0 {
			s.setReadDeadline(nc, true)
		}
		buf, ends = buf[:0], ends[:0]
		sent = sent[:0]
		for _, k := range batch {
			if len(pending) == cap(pending) || !k.Claim() {
				continue // times out unwritten, or has already
			}
			buf = appendCall(buf, k)
			ends = append(ends, len(buf))
			w := &pendingCall{Call: k}
			sent = append(sent, w)
			pending <- w
		}
		nc.SetWriteDeadline(time.Now().Add(s.timeout))
		n, err := nc.Write(buf)
		for i, w := range sent {
			w.incomplete = ends[i] > n
		}
		batch = batch[:0]
		if err != nil {
			break
		}
		select {
		case k := <-s.calls:
			batch = append(batch, k)
		case s.addr = <-s.addressChanges:
			open = false
			late := time.After(s.timeout)
			for waits := true; waits && len(pending) > 0; {
				select {
				case <-idle:
				case <-broken:
					waits = false
				case <-late:
					waits = false
				}
			}
		case <-broken:
			open = false
		}
	}
	nc.Close()
	<-broken
	for len(pending) > 0 {
		w := <-pending
		var r store.Result
		if w.incomplete {
			r.Certainty = store.NotAdded
		}
		s.sink(w.Call, r)
	}
	for _, k := range batch { // read from the queue, never written
		s.sink(k, store.Result{Certainty: store.NotAdded})
	}
}

// read hands the answers to the calls in their order, and tells idle when none is out any more; a late answer is for
// the gateway to drop. It ends at an answer that cannot be read: that call was added, and nothing more comes.
func (s *shard) read(nc net.Conn, pending <-chan *pendingCall, idle chan<- struct{}) {
	in := bufio.NewReaderSize(nc, 1<<10)
	for {
		line, err := readLine(nc, in)
		if len(pending) == 0 || err != nil && len(line) == 0 {
			return
		}
		k, r := (<-pending).Call, unreadable
		if err == nil {
			r = parseReply(string(line))
			s.setReadDeadline(nc, len(pending) > 0)
		}
		s.sink(k, r)
		if r == unreadable {
			return
		}
		if len(pending) == 0 {
			select {
			case idle <- struct{}{}:
			default:
			}
			if in.Buffered() > 0 { // an answer that nobody asked for
				return
			}
		}
	}
}

// readLine waits for an answer; once one has begun its end must come too, or the calls behind it would wait for
// nothing.
func readLine(nc net.Conn, in *bufio.Reader) ([]byte, error) {
	if _, err := in.Peek(1); err != nil {
		return nil, err
	}
	if begun, _ := in.Peek(in.Buffered()); bytes.IndexByte(begun, '\n') < 0 {
		nc.SetReadDeadline(time.Now().Add(partialReplyTimeout))
	}
	return in.ReadSlice('\n')
}

// limit sets how long the counter may say nothing.
func (s *shard) setReadDeadline(nc net.Conn, waits bool) {
	d := idleTimeout
	if waits {
		d = silentTimeouts * s.timeout
	}
	nc.SetReadDeadline(time.Now().Add(d))
}

// spoilt stands for an answer that cannot be read: the amount was added.
var unreadable = store.Result{Certainty: store.Added}

// parseAnswer reads one line of the counter.
func parseReply(s string) store.Result {
	s = strings.TrimSuffix(strings.TrimSuffix(s, "\n"), "\r")
	if s == "busy" || s == "error" { // turned away, no such call
		return store.Result{Certainty: store.NotAdded}
	}
	if total, ok := strings.CutPrefix(s, "ok "); ok {
		if t, err := strconv.ParseFloat(total, 64); err == nil && math.Abs(t) <= maxTotal {
			return store.Result{Certainty: store.Added, Seen: true, Total: t}
		}
	}
	return unreadable
}

func appendCall(b []byte, k *store.Call) []byte {
	b = append(append(b, "tally "...), k.Name...)
	b = strconv.AppendFloat(append(b, ' '), k.Amount, 'f', -1, 64)
	b = strconv.AppendInt(append(b, ' '), max(1, k.TTL.Milliseconds()), 10)
	return append(b, '\r', '\n')
}
