package ingress

import (
	"bufio"
	"bytes"
	"context"
	"hash/fnv"
	"math"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"larchwick/logic"
)

const (
	counterLinks   = 4                     // connections; calls of one name share one, so that they stay in order
	counterQueue   = 512                   // calls that wait for a connection, or on it for an answer
	counterIdle    = 3 * time.Second       // a connection without a call for so long is closed, before the counter does
	counterSilence = 4                     // time-outs: one without an answer for so long is dead, its line of calls is no longer
	counterRest    = 20 * time.Millisecond // for the rest of an answer: a few bytes
	mostTotal      = 1e12                  // a total beyond is none
)

// call is one call of the shared counter. The gateway may take it back for as long as it is unwritten.
type call struct {
	name  string
	add   float64
	keep  time.Duration
	state atomic.Int32 // callQueued, then one of the others
	short bool         // its last byte was never written
	ended bool         // the gateway's: its reply has been given
}

const (
	callQueued int32 = iota
	callWritten
	callDropped
)

// counted is the event of a call's end.
type counted struct {
	call    *call
	outcome logic.Outcome
	total   float64
}

// counter is the client of the shared counter service.
type counter struct {
	links [counterLinks]*link
}

// link is one connection of the counter, opened when there is something to say.
type link struct {
	addr    string
	timeout time.Duration
	calls   chan *call
	moves   latest
	post    func(event)
}

func newCounter(addr string, timeout time.Duration, post func(event)) *counter {
	c := &counter{}
	for i := range c.links {
		c.links[i] = &link{addr: addr, timeout: timeout, calls: make(chan *call, counterQueue), moves: newLatest(),
			post: post}
	}
	return c
}

// add queues a call; where the queue is full the call just times out unwritten, in its order.
func (c *counter) add(k *call) {
	h := fnv.New32a()
	h.Write([]byte(k.name))
	select {
	case c.links[h.Sum32()%counterLinks].calls <- k:
	default:
	}
}

// run serves the calls of one link until ctx ends.
func (l *link) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case l.addr = <-l.moves:
		case k := <-l.calls:
			select {
			case l.addr = <-l.moves:
			default:
			}
			if k.state.Load() == callQueued { // else it has timed out: no connection for its sake
				l.serve(ctx, k)
			}
		}
	}
}

// serve opens a connection for the first call and writes calls to it until it breaks, falls silent or the counter
// moves. On a move the calls that are out have their time for an answer before later ones go elsewhere: answers for
// one name come in the order of its calls.
func (l *link) serve(ctx context.Context, first *call) {
	d := net.Dialer{Timeout: l.timeout}
	nc, err := d.DialContext(ctx, "tcp", l.addr)
	if err != nil {
		l.post(counted{call: first, outcome: logic.NoConnect})
		return
	}
	pending, broken, idle := make(chan *call, counterQueue), make(chan struct{}), make(chan struct{}, 1)
	go func() {
		defer close(broken)
		l.read(nc, pending, idle)
	}()
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	defer stop()
	var buf []byte
	var ends []int
	batch := []*call{first}
	for open := true; open; {
		for more := true; more && len(batch) < counterQueue/2; {
			select {
			case k := <-l.calls:
				batch = append(batch, k)
			default:
				more = false
			}
		}
		if len(pending) == 0 {
			l.limit(nc, true)
		}
		buf, ends = buf[:0], ends[:0]
		written := batch[:0]
		for _, k := range batch {
			if len(pending) == cap(pending) || !k.state.CompareAndSwap(callQueued, callWritten) {
				continue // times out unwritten, or has already
			}
			buf = appendCall(buf, k)
			ends = append(ends, len(buf))
			written = append(written, k)
			pending <- k
		}
		nc.SetWriteDeadline(time.Now().Add(l.timeout))
		n, err := nc.Write(buf)
		for i, k := range written {
			k.short = ends[i] > n
		}
		batch = batch[:0]
		if err != nil {
			break
		}
		select {
		case k := <-l.calls:
			batch = append(batch, k)
		case l.addr = <-l.moves:
			open = false
			late := time.After(l.timeout)
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
		k := <-pending
		o := logic.Reset
		if k.short {
			o = logic.NoConnect
		}
		l.post(counted{call: k, outcome: o})
	}
	for _, k := range batch { // read from the queue, never written
		l.post(counted{call: k, outcome: logic.NoConnect})
	}
}

// read hands the answers to the calls in their order, and tells idle when none is out any more; a late answer is for
// the gateway to drop. It ends at an answer that cannot be read: that call was added, and nothing more comes.
func (l *link) read(nc net.Conn, pending <-chan *call, idle chan<- struct{}) {
	in := bufio.NewReaderSize(nc, 1<<10)
	for {
		line, err := readLine(nc, in)
		if len(pending) == 0 || err != nil && len(line) == 0 {
			return
		}
		ev := counted{call: <-pending, outcome: logic.Failed}
		if err == nil {
			ev.outcome, ev.total = parseAnswer(string(line))
			l.limit(nc, len(pending) > 0)
		}
		l.post(ev)
		if ev.outcome == logic.Failed {
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
		nc.SetReadDeadline(time.Now().Add(counterRest))
	}
	return in.ReadSlice('\n')
}

// limit sets how long the counter may say nothing.
func (l *link) limit(nc net.Conn, waits bool) {
	d := counterIdle
	if waits {
		d = counterSilence * l.timeout
	}
	nc.SetReadDeadline(time.Now().Add(d))
}

// parseAnswer reads one line of the counter; Failed stands for one that cannot be read.
func parseAnswer(s string) (logic.Outcome, float64) {
	s = strings.TrimSuffix(strings.TrimSuffix(s, "\n"), "\r")
	switch total, ok := strings.CutPrefix(s, "ok "); {
	case s == "busy":
		return logic.Full, 0
	case s == "error": // no such call: nothing was added
		return logic.Moot, 0
	case ok:
		if t, err := strconv.ParseFloat(total, 64); err == nil && math.Abs(t) <= mostTotal {
			return logic.Done, t
		}
	}
	return logic.Failed, 0
}

func appendCall(b []byte, k *call) []byte {
	b = append(append(b, "tally "...), k.name...)
	b = strconv.AppendFloat(append(b, ' '), k.add, 'f', -1, 64)
	b = strconv.AppendInt(append(b, ' '), max(1, k.keep.Milliseconds()), 10)
	return append(b, '\r', '\n')
}
