package redis

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"hitchspring/internal/store"
	"hitchspring/internal/store/ledger"
)

const (
	laneQueue  = 512                    // calls that wait for the connection, or on it for an answer
	laneNames  = 1 << 14                // in a ledger
	mostBatch  = 256                    // commands of one write
	answerRest = 100 * time.Millisecond // for the rest of an answer that has begun
	silence    = 4                      // time-outs: a connection without an answer for so long is dead
	firstWait  = 20 * time.Millisecond  // before a further attempt to connect; doubled each time, and jittered
	longWait   = 2 * time.Second
	retellGap  = 10 * time.Millisecond // between two lots of figures that are told again
	retellLot  = 32
	retellRest = 250 * time.Millisecond // after one was refused
	sweepEvery = 5 * time.Second        // of the ledger
	sayEvery   = 30 * time.Second       // between two causes that are logged of one outage
)

// lane serves the names that are dealt to it, in order, over one connection at a time. Its goroutine run connects and
// writes; while a connection is up a second one reads.
type lane struct {
	opt      Options
	n        int
	key      string // before each name
	instance string
	log      *slog.Logger
	sink     store.Sink
	calls    chan *store.Call
	moves    store.Latest[string]
	start    time.Time

	addr   string // where the primary was last said to be
	again  []item // told before, to be told again at once: their connection broke, or the script was not there
	fails  int
	downAt time.Time // since when nothing is connected; zero: it is, or nothing was wanted
	said   string    // what was last logged of it
	saidAt time.Time

	mu         sync.Mutex // of all below
	books      *ledger.Ledger
	stats      Stats
	retry      []item    // what the reader hands back, in order
	byText     bool      // the server lacks the script
	complained bool      // of adds that were lost, on this connection
	refusedBy  string    // the error word that was last logged
	rested     time.Time // no figure is told again before
}

// item is a write on its way, for a call or, where that is nil, for the ledger's own sake.
type item struct {
	w    ledger.Write
	call *store.Call
	sent bool // it may have gone out whole, on this connection or one before
}

func newLane(opt Options, n int, key, instance string, log *slog.Logger, sink store.Sink) *lane {
	return &lane{
		opt: opt, n: n, key: key, instance: instance, log: log.With("store", "redis", "lane", n), sink: sink,
		calls: make(chan *store.Call, laneQueue), moves: store.NewLatest[string](), start: time.Now(), addr: opt.Address,
		books: ledger.New(laneNames),
	}
}

func (l *lane) now() time.Duration { return time.Since(l.start) }

// run connects when there is something to say, until ctx ends.
func (l *lane) run(ctx context.Context) {
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	var first *store.Call
	for ctx.Err() == nil {
		if first == nil && len(l.again) == 0 && !l.dirty() {
			select {
			case <-ctx.Done():
			case addr := <-l.moves:
				l.move(addr)
			case <-sweep.C:
				l.sweep()
			case first = <-l.calls:
			}
			continue
		}
		if first != nil && !first.IsQueued() { // it has timed out: no connection for its sake
			first = nil
			continue
		}
		c, err := l.connect(ctx)
		if err != nil {
			l.lapsed(err)
			l.unsure()
			if first != nil {
				l.refuse(first)
				first = nil
			}
			l.rest(ctx, sweep.C)
			continue
		}
		l.up()
		err = l.serve(ctx, c, first)
		first = nil
		if ctx.Err() == nil && err != nil {
			l.lapsed(err)
		}
		switch {
		case c.useful.Load():
			l.fails = 0
		case l.fails > 0: // a server that takes connections and nothing else: once more at once, then with pauses
			l.rest(ctx, sweep.C)
		default:
			l.fails++
		}
	}
}

// rest waits before the next attempt to connect. Calls that come meanwhile are surely not added, and told so at once.
func (l *lane) rest(ctx context.Context, sweep <-chan time.Time) {
	wait := min(longWait, firstWait<<min(l.fails, 10))
	l.fails++
	t := time.NewTimer(wait/2 + rand.N(wait))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			return
		case addr := <-l.moves:
			l.move(addr)
			return
		case <-sweep:
			l.sweep()
		case k := <-l.calls:
			l.refuse(k)
		}
	}
}

func (l *lane) move(addr string) {
	if addr == l.addr && len(l.opt.Sentinels) == 0 {
		return
	}
	l.log.Info("the store moves", "to", addr)
	l.opt.Address, l.addr, l.fails = addr, addr, 0
	l.doubt()
}

// doubt has all that lives told again, to whoever is connected next.
func (l *lane) doubt() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.books.Doubt(l.now())
}

func (l *lane) dirty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.books.Dirty()
}

func (l *lane) sweep() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.books.Expire(l.now())
}

// refuse answers a call of which nothing was written.
func (l *lane) refuse(k *store.Call) {
	if k.Claim() {
		l.mu.Lock()
		l.stats.Refused++
		l.mu.Unlock()
		l.sink(k, store.Result{Certainty: store.NotAdded})
	}
}

// unsure answers what was to be told again and cannot be. What may have landed the ledger tells later.
func (l *lane) unsure() {
	for _, it := range l.again {
		if !it.sent {
			l.refused(it, false)
			continue
		}
		l.mu.Lock()
		l.books.Unsure(it.w)
		if it.call != nil {
			l.stats.Unsure++
		}
		l.mu.Unlock()
		if it.call != nil {
			l.sink(it.call, store.Result{})
		}
	}
	l.again = l.again[:0]
}

// refused books a write that Redis has refused, which was heard from it, or else one that never went out.
func (l *lane) refused(it item, heard bool) {
	it.sent = it.sent || heard
	out := it.call != nil && it.call.Reject()
	l.mu.Lock()
	if out {
		l.books.Refused(it.w, it.call.Amount, it.sent)
		l.stats.Refused++
	} else { // its caller has counted it as added, so it is told until it is
		l.books.Unsure(it.w)
	}
	if it.call == nil {
		l.rested = time.Now().Add(retellRest)
	}
	l.mu.Unlock()
	if out {
		l.sink(it.call, store.Result{Certainty: store.NotAdded})
	}
}

// up and lapsed say once, for each time that the connection comes or goes, what holds from then on.
func (l *lane) up() {
	l.mu.Lock()
	l.stats.Connected = true
	l.stats.Connects++
	first := l.stats.Connects == 1
	names := l.books.Len()
	if !first {
		l.books.Doubt(l.now())
	}
	l.byText, l.complained, l.refusedBy = false, false, ""
	l.mu.Unlock()
	switch {
	case !l.downAt.IsZero():
		l.log.Info("back: quotas are shared again, and what was added meanwhile is told", "addr", l.addr,
			"after", time.Since(l.downAt).Round(time.Millisecond), "names", names)
	case first:
		l.log.Info("connected", "addr", l.addr)
	}
	l.downAt, l.said, l.saidAt = time.Time{}, "", time.Time{}
}

func (l *lane) lapsed(err error) {
	l.mu.Lock()
	l.stats.Connected = false
	l.stats.Lapses++
	l.mu.Unlock()
	if l.downAt.IsZero() {
		l.downAt = time.Now()
	}
	now := time.Now()
	if text := cause(err); text != l.said && now.Sub(l.saidAt) > sayEvery {
		l.said, l.saidAt = text, now
		l.log.Warn("no store: each instance keeps its fair share of every quota until it is back", "addr", l.addr, "err", err)
	}
}

// cause is what an error comes to, without the ports and times that differ from one to the next.
func cause(err error) string {
	var op *net.OpError
	if errors.As(err, &op) {
		return op.Op + ": " + op.Err.Error()
	}
	return err.Error()
}

// serve writes calls, and what is to be told again, until the connection breaks or falls silent, the store moves or ctx
// ends. It returns nil where nothing is amiss.
func (l *lane) serve(ctx context.Context, c *conn, first *store.Call) error {
	go func() {
		defer close(c.broken)
		c.err = l.read(c)
	}()
	stop := context.AfterFunc(ctx, func() { c.nc.Close() })
	defer stop()
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	retell := time.NewTimer(0) // runs while the ledger has something to tell again
	defer retell.Stop()
	armed := true
	batch := append([]item(nil), l.again...) // told on the connection before this one
	l.again = l.again[:0]
	if first != nil {
		batch = l.put(batch, first)
	}
	var buf []byte
	var ends []int
	var err error
	short := 0 // items that did not go out whole: the last of pending
	for open := true; open; {
		if n := min(len(batch), cap(c.pending)-len(c.pending), mostBatch); n > 0 {
			var whole int
			buf, ends, whole, err = l.write(c, batch[:n], buf[:0], ends[:0])
			batch = append(batch[:0], batch[n:]...)
			if err != nil {
				short = n - whole
				break
			}
		}
		var calls chan *store.Call
		var wait <-chan time.Time
		if len(batch) == 0 {
			calls = l.calls
		} else { // the server takes no more for now
			wait = time.After(time.Millisecond)
		}
		select {
		case k := <-calls:
			batch = l.put(batch, k)
		case <-wait:
		case <-c.kick:
			if e := c.leave.Load(); e != nil {
				err, open = *e, false
				break
			}
			l.mu.Lock()
			batch = append(batch, l.retry...)
			l.retry = l.retry[:0]
			if !armed && l.books.Dirty() {
				armed = true
				retell.Reset(retellGap)
			}
			l.mu.Unlock()
		case <-retell.C:
			batch = l.retold(c, batch)
			if armed = l.dirty(); armed {
				retell.Reset(retellGap)
			}
		case <-sweep.C:
			l.sweep()
		case addr := <-l.moves:
			l.move(addr)
			open = false
		case <-c.broken:
			open = false
		}
	}
	if err == nil || c.leave.Load() != nil { // what is out has its time for an answer
		l.drain(ctx, c)
	}
	c.nc.Close()
	<-c.broken
	l.collect(c, short, batch)
	if e := c.leave.Load(); e != nil && e.word() == "MOVED" {
		if f := strings.Fields(string(*e)); len(f) == 3 {
			l.addr = f[2]
		}
	}
	if err == nil {
		err = c.err
	}
	if errors.Is(err, errClosed) && ctx.Err() == nil { // with nothing out: whoever is there next may not hold what this one did
		l.doubt()
		err = nil
	}
	return err
}

// drain waits until nothing is out, for a time-out at most.
func (l *lane) drain(ctx context.Context, c *conn) {
	late := time.NewTimer(l.opt.Timeout)
	defer late.Stop()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for len(c.pending) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-c.broken:
			return
		case <-late.C:
			return
		case <-tick.C:
		}
	}
}

// collect gathers what was out on a connection that is over, to be told again on the next one in its order: what it was
// told of then, its answer will say.
func (l *lane) collect(c *conn, short int, batch []item) {
	l.mu.Lock()
	l.again = append(append(l.again, l.retry...), c.head...)
	l.retry = l.retry[:0]
	l.mu.Unlock()
	for len(c.pending) > 0 {
		it := <-c.pending
		it.sent = it.sent || len(c.pending) >= short
		l.again = append(l.again, it)
	}
	l.again = append(l.again, batch...)
}

// put takes a call, and those that wait behind it, into the ledger and the batch.
func (l *lane) put(batch []item, k *store.Call) []item {
	var none []*store.Call
	l.mu.Lock()
	now := l.now()
	for more := true; more; {
		if k.Claim() {
			if w, err := l.books.Put(now, k.Name, k.Amount, k.TTL); err == nil {
				batch = append(batch, item{w: w, call: k})
			} else {
				l.stats.Refused++
				none = append(none, k)
			}
		}
		more = false
		if len(batch) < mostBatch {
			select {
			case k = <-l.calls:
				more = true
			default:
			}
		}
	}
	l.mu.Unlock()
	for _, k := range none {
		l.sink(k, store.Result{Certainty: store.NotAdded})
	}
	return batch
}

// retold adds a lot of the figures that the server may not hold, where it is not busy.
func (l *lane) retold(c *conn, batch []item) []item {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(c.pending) > cap(c.pending)/2 || time.Now().Before(l.rested) {
		return batch
	}
	for _, w := range l.books.Again(l.now(), retellLot) {
		l.stats.Retold++
		batch = append(batch, item{w: w})
	}
	return batch
}

// write writes a lot of items; whole of them went out to their last byte.
func (l *lane) write(c *conn, lot []item, buf []byte, ends []int) (_ []byte, _ []int, whole int, err error) {
	l.mu.Lock()
	byText := l.byText
	l.mu.Unlock()
	for i, it := range lot {
		buf = appendAdd(buf, l.key, l.instance, it.w, byText && i == 0)
		ends = append(ends, len(buf))
	}
	idle := len(c.pending) == 0
	for _, it := range lot {
		c.pending <- it
	}
	now := time.Now()
	if idle {
		c.until(now, silence*l.opt.Timeout)
	}
	if most := silence * l.opt.Timeout; c.writeBy.Sub(now) < most {
		c.writeBy = now.Add(2 * most)
		c.nc.SetWriteDeadline(c.writeBy)
	}
	n, err := c.nc.Write(buf)
	for whole < len(ends) && ends[whole] <= n {
		whole++
	}
	return buf, ends, whole, err
}
