package redis

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"

	"hitchspring/internal/resp"
	"hitchspring/internal/store"
)

const idleRead = 15 * time.Second // between two looks at a connection on which nothing is out

// conn is a connection that is up: logged in, at a primary.
type conn struct {
	nc      net.Conn
	in      resp.Inbox
	pending chan item
	broken  chan struct{}              // closed when the reader has ended
	kick    chan struct{}              // the reader has something for the writer
	leave   atomic.Pointer[redisError] // the error that says that this is not the server to ask
	useful  atomic.Bool                // an add was confirmed
	readBy  atomic.Int64               // the read deadline, Unix time in ns
	writeBy time.Time                  // the write deadline; the writer's
	err     error                      // why the reader ended; to be read after broken
	head    []item                     // the write whose answer was none; the same
}

// redisError is an error line of Redis.
type redisError string

func (e redisError) Error() string { return string(e) }

func (e redisError) word() string {
	w, _, _ := strings.Cut(string(e), " ")
	return w
}

// elsewhere says that the server is not the one to ask, or not now: the connection is given up.
func (e redisError) elsewhere() bool {
	switch e.word() {
	case "LOADING", "MASTERDOWN", "CLUSTERDOWN", "READONLY", "MOVED", "NOAUTH", "NOPERM", "WRONGPASS", "UNBLOCKED":
		return true
	}
	return false
}

var (
	errOrder    = errors.New("an answer that belongs to no call, or to another one")
	errSilent   = errors.New("no answer in time")
	errClosed   = errors.New("closed by the server")
	errReplica  = errors.New("not a primary")
	errNoMaster = errors.New("no Sentinel knows the primary")
)

// connect dials, logs in and makes sure that it has found a primary.
func (l *lane) connect(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, l.opt.ConnectTimeout)
	defer cancel()
	if len(l.opt.Sentinels) > 0 {
		addr, err := l.askSentinels(ctx)
		if err != nil {
			return nil, err
		}
		l.addr = addr
	}
	c, err := l.dial(ctx, l.addr)
	if err != nil {
		l.addr = l.opt.Address // a node that another one named may be gone
		return nil, err
	}
	if err := l.greet(c); err != nil {
		c.nc.Close()
		return nil, err
	}
	return c, nil
}

func (l *lane) dial(ctx context.Context, addr string) (*conn, error) {
	nc, err := l.opt.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	until, _ := ctx.Deadline()
	nc.SetDeadline(until)
	if l.opt.TLS != nil {
		cfg, err := l.opt.TLS()
		if err != nil {
			nc.Close()
			return nil, err
		}
		if cfg.ServerName == "" {
			cfg = cfg.Clone()
			cfg.ServerName, _, _ = net.SplitHostPort(addr)
		}
		t := tls.Client(nc, cfg)
		if err := t.HandshakeContext(ctx); err != nil {
			nc.Close()
			return nil, fmt.Errorf("TLS: %w", err)
		}
		nc = t
	}
	return &conn{nc: nc, pending: make(chan item, laneQueue), broken: make(chan struct{}), kick: make(chan struct{}, 1)}, nil
}

// greet logs in, names the connection, asks for the server's role and brings the script, in one round trip.
func (l *lane) greet(c *conn) error {
	var b []byte
	var does []string
	send := func(what string, args ...string) {
		b = redcon.AppendArray(b, len(args))
		for _, a := range args {
			b = redcon.AppendBulkString(b, a)
		}
		does = append(does, what)
	}
	if l.opt.Password != nil {
		password, err := l.opt.Password()
		if err != nil {
			return fmt.Errorf("password: %w", err)
		}
		if l.opt.Username != "" {
			send("log-in", "AUTH", l.opt.Username, password)
		} else {
			send("log-in", "AUTH", password)
		}
	}
	if l.opt.Database > 0 {
		send("database", "SELECT", strconv.Itoa(l.opt.Database))
	}
	send("name", "CLIENT", "SETNAME", "hitchspring-"+l.instance+"-"+strconv.Itoa(l.n))
	send("role", "ROLE")
	send("script", "SCRIPT", "LOAD", addScript)
	if _, err := c.nc.Write(b); err != nil {
		return err
	}
	for _, what := range does {
		f, err := c.frame()
		if err != nil {
			return fmt.Errorf("%s: %w", what, err)
		}
		var refusal error
		if f[0] == '-' {
			refusal = fmt.Errorf("%s: %w", what, redisError(bytes.TrimSpace(f[1:])))
		}
		switch {
		case refusal != nil && (what == "log-in" || what == "database" || strings.Contains(refusal.Error(), "max number of clients") ||
			redisError(bytes.TrimSpace(f[1:])).elsewhere()):
			return refusal
		case what == "role" && refusal == nil && !bytes.HasPrefix(f, []byte("*3\r\n$6\r\nmaster\r\n")):
			return errReplica
		}
	}
	c.nc.SetDeadline(time.Time{})
	return nil
}

// frame reads one whole answer.
func (c *conn) frame() ([]byte, error) {
	for {
		f, err := c.in.Next()
		if f != nil || err != nil {
			return f, err
		}
		if err := c.in.Fill(c.nc.Read); err != nil {
			return nil, err
		}
	}
}

// askSentinels asks one after the other for the primary's address.
func (l *lane) askSentinels(ctx context.Context) (string, error) {
	last := errNoMaster
	for _, addr := range l.opt.Sentinels {
		part, cancel := context.WithTimeout(ctx, l.opt.ConnectTimeout/time.Duration(len(l.opt.Sentinels)+1))
		found, err := l.askSentinel(part, addr)
		cancel()
		if err == nil {
			return found, nil
		}
		last = fmt.Errorf("Sentinel %s: %w", addr, err)
	}
	return "", last
}

func (l *lane) askSentinel(ctx context.Context, addr string) (string, error) {
	c, err := l.dial(ctx, addr)
	if err != nil {
		return "", err
	}
	defer c.nc.Close()
	b := redcon.AppendArray(nil, 3)
	for _, a := range []string{"SENTINEL", "get-master-addr-by-name", l.opt.Master} {
		b = redcon.AppendBulkString(b, a)
	}
	if _, err := c.nc.Write(b); err != nil {
		return "", err
	}
	f, err := c.frame()
	if err != nil {
		return "", err
	}
	_, r := redcon.ReadNextRESP(f)
	var parts []string
	if r.Type == redcon.Array {
		r.ForEach(func(e redcon.RESP) bool {
			parts = append(parts, string(e.Data))
			return true
		})
	}
	if len(parts) != 2 {
		return "", fmt.Errorf("%w as %q", errNoMaster, l.opt.Master)
	}
	return net.JoinHostPort(parts[0], parts[1]), nil
}

// told is a confirmed add.
type told struct {
	call  *store.Call
	total float64
}

// read hands answers to the writes in their order until the connection ends or its order is lost.
func (l *lane) read(c *conn) error {
	defer c.in.Close()
	done := make([]told, 0, mostBatch)
	for {
		var rest []byte
		var err error
		done, rest, err = l.confirmed(c, done[:0])
		for _, t := range done {
			l.sink(t.call, store.Result{Certainty: store.Added, Seen: true, Total: t.total})
		}
		if err == nil && rest != nil {
			err = l.refusal(c, rest)
		}
		if err != nil {
			l.spoilt()
			return err
		}
		if rest == nil && len(done) < cap(done) {
			if err := l.fill(c); err != nil {
				return err
			}
		}
	}
}

// confirmed books the answers that have come, up to one that confirms nothing, which is returned.
func (l *lane) confirmed(c *conn, done []told) (_ []told, rest []byte, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lost := ""
	for len(done) < cap(done) {
		f, err := c.in.Next()
		if f == nil || err != nil || f[0] == '-' {
			rest = f
			if err != nil {
				return done, nil, err
			}
			break
		}
		it, ok := c.next()
		if !ok {
			return done, nil, errOrder
		}
		seq, a, ok := parseAdd(f)
		if !ok || seq != it.w.Seq { // its fate is open
			it.sent = true
			c.head = append(c.head, it)
			return done, nil, errOrder
		}
		v := l.books.Answered(l.now(), it.w, a)
		if v.Lost {
			l.stats.Lost++
			lost = it.w.Name
		}
		if it.call == nil {
			continue
		}
		l.stats.Added++
		if v.Landed {
			l.stats.Landed++
		}
		done = append(done, told{it.call, v.Total})
	}
	if len(done) > 0 {
		l.byText = false
		c.useful.Store(true)
	}
	if lost != "" && !l.complained {
		l.complained = true
		l.log.Warn("Redis has lost adds that it had confirmed: they are told again", "name", lost)
	}
	if l.books.Dirty() {
		c.wake()
	}
	return done, rest, nil
}

// next takes the write whose answer is due.
func (c *conn) next() (item, bool) {
	select {
	case it := <-c.pending:
		return it, true
	default:
		return item{}, false
	}
}

func (l *lane) spoilt() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.Spoilt++
}

// until gives the reader about d more. Setting a deadline costs as much as reading a short answer does, so one that is
// near enough stays: it comes out up to a quarter shorter or longer.
func (c *conn) until(now time.Time, d time.Duration) {
	want := now.Add(d).UnixNano()
	if off := want - c.readBy.Load(); off > int64(d)/4 || off < -int64(d)/4 {
		c.readBy.Store(want)
		c.nc.SetReadDeadline(time.Unix(0, want))
	}
}

// fill reads once. A connection is given silence while something is out on it, and the rest of an answer that has begun
// must come at once.
func (l *lane) fill(c *conn) error {
	switch now := time.Now(); {
	case c.in.Partial():
		c.until(now, answerRest)
	case len(c.pending) > 0:
		c.until(now, silence*l.opt.Timeout)
	case c.readBy.Load() <= now.UnixNano(): // else the last answer's limit stands: it runs out in vain
		c.until(now, idleRead)
		if len(c.pending) > 0 { // the writer has begun since
			c.until(now, silence*l.opt.Timeout)
		}
	}
	err := c.in.Fill(c.nc.Read)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded) && len(c.pending) == 0 && !c.in.Partial():
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errSilent
	case errors.Is(err, net.ErrClosed): // by us
		return errClosed
	case len(c.pending) == 0 && !c.in.Partial():
		return errClosed
	}
	return err
}

// refusal gives a write its error line.
func (l *lane) refusal(c *conn, f []byte) error {
	it, ok := c.next()
	if !ok {
		return errOrder
	}
	e := redisError(bytes.TrimSpace(f[1:]))
	switch {
	case e.word() == "NOSCRIPT":
		it.sent = true
		l.mu.Lock()
		l.byText = true
		l.retry = append(l.retry, it)
		l.mu.Unlock()
		c.wake()
		return nil
	case e.elsewhere():
		c.leave.CompareAndSwap(nil, &e)
		c.wake()
	default:
		l.complain(e)
	}
	l.refused(it, true)
	return nil
}

// complain logs a refusal of Redis, each kind once until another one comes or the connection is a new one.
func (l *lane) complain(e redisError) {
	l.mu.Lock()
	known := l.refusedBy == e.word()
	l.refusedBy = e.word()
	l.mu.Unlock()
	if !known {
		l.log.Warn("Redis refuses adds: each instance keeps its fair share of every quota until it takes them", "err", e)
	}
}

func (c *conn) wake() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}
