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

const idleReadTimeout = 15 * time.Second // between two looks at a connection on which nothing is out

// conn is a connection that is up: logged in, at a primary.
type conn struct {
	nc            net.Conn
	in            resp.Inbox
	pending       chan pendingWrite
	readerDone    chan struct{}              // closed when the reader has ended
	wakeWriter    chan struct{}              // the reader has something for the writer
	leaveReason   atomic.Pointer[redisError] // the error that says that this is not the server to ask
	confirmedAny  atomic.Bool                // an add was confirmed
	readDeadline  atomic.Int64               // the read deadline, Unix time in ns
	writeDeadline time.Time                  // the write deadline; the writer's
	readErr       error                      // why the reader ended; to be read after broken
	unreadable    []pendingWrite             // the write whose answer was none; the same
}

// redisError is an error line of Redis.
type redisError string

func (e redisError) Error() string { return string(e) }

func (e redisError) code() string {
	w, _, _ := strings.Cut(string(e), " ")
	return w
}

// elsewhere says that the server is not the one to ask, or not now: the connection is given up.
func (e redisError) unavailable() bool {
	switch e.code() {
	case "LOADING", "MASTERDOWN", "CLUSTERDOWN", "READONLY", "MOVED", "NOAUTH", "NOPERM", "WRONGPASS", "UNBLOCKED":
		return true
	}
	return false
}

var (
	errUnexpectedReply = errors.New("an answer that belongs to no call, or to another one")
	errNoReply         = errors.New("no answer in time")
	errClosed          = errors.New("closed by the server")
	errNotPrimary      = errors.New("not a primary")
	errPrimaryUnknown  = errors.New("no Sentinel knows the primary")
)

// connect dials, logs in and makes sure that it has found a primary.
func (s *shard) connect(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.ConnectTimeout)
	defer cancel()
	if len(s.options.Sentinels) > 0 {
		addr, err := s.querySentinels(ctx)
		if err != nil {
			return nil, err
		}
		s.addr = addr
	}
	c, err := s.dial(ctx, s.addr)
	if err != nil {
		s.addr = s.options.Address // a node that another one named may be gone
		return nil, err
	}
	if err := s.handshake(c); err != nil {
		c.nc.Close()
		return nil, err
	}
	return c, nil
}

func (s *shard) dial(ctx context.Context, addr string) (*conn, error) {
	nc, err := s.options.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	until, _ := ctx.Deadline()
	nc.SetDeadline(until)
	if s.options.TLS != nil {
		cfg, err := s.options.TLS()
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
	return &conn{nc: nc, pending: make(chan pendingWrite, shardQueueSize), readerDone: make(chan struct{}), wakeWriter: make(chan struct{}, 1)}, nil
}

// greet logs in, names the connection, asks for the server's role and brings the script, in one round trip.
func (s *shard) handshake(c *conn) error {
	var b []byte
	var does []string
	send := func(what string, args ...string) {
		b = redcon.AppendArray(b, len(args))
		for _, a := range args {
			b = redcon.AppendBulkString(b, a)
		}
		does = append(does, what)
	}
	if s.options.Password != nil {
		password, err := s.options.Password()
		if err != nil {
			return fmt.Errorf("password: %w", err)
		}
		if s.options.Username != "" {
			send("log-in", "AUTH", s.options.Username, password)
		} else {
			send("log-in", "AUTH", password)
		}
	}
	if s.options.Database > 0 {
		send("database", "SELECT", strconv.Itoa(s.options.Database))
	}
	send("name", "CLIENT", "SETNAME", "hitchspring-"+s.instanceID+"-"+strconv.Itoa(s.index))
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
			redisError(bytes.TrimSpace(f[1:])).unavailable()):
			return refusal
		case what == "role" && refusal == nil && !bytes.HasPrefix(f, []byte("*3\r\n$6\r\nmaster\r\n")):
			return errNotPrimary
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
func (s *shard) querySentinels(ctx context.Context) (string, error) {
	last := errPrimaryUnknown
	for _, addr := range s.options.Sentinels {
		part, cancel := context.WithTimeout(ctx, s.options.ConnectTimeout/time.Duration(len(s.options.Sentinels)+1))
		found, err := s.querySentinel(part, addr)
		cancel()
		if err == nil {
			return found, nil
		}
		last = fmt.Errorf("Sentinel %s: %w", addr, err)
	}
	return "", last
}

func (s *shard) querySentinel(ctx context.Context, addr string) (string, error) {
	c, err := s.dial(ctx, addr)
	if err != nil {
		return "", err
	}
	defer c.nc.Close()
	b := redcon.AppendArray(nil, 3)
	for _, a := range []string{"SENTINEL", "get-master-addr-by-name", s.options.Master} {
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
		return "", fmt.Errorf("%w as %q", errPrimaryUnknown, s.options.Master)
	}
	return net.JoinHostPort(parts[0], parts[1]), nil
}

// told is a confirmed add.
type confirmedAdd struct {
	call  *store.Call
	total float64
}

// read hands answers to the writes in their order until the connection ends or its order is lost.
func (s *shard) read(c *conn) error {
	defer c.in.Close()
	done := make([]confirmedAdd, 0, maxBatch)
	for {
		var rest []byte
		var err error
		done, rest, err = s.readConfirmations(c, done[:0])
		for _, t := range done {
			s.sink(t.call, store.Result{Certainty: store.Added, Seen: true, Total: t.total})
		}
		if err == nil && rest != nil {
			err = s.handleErrorReply(c, rest)
		}
		if err != nil {
			s.countUnreadable()
			return err
		}
		if rest == nil && len(done) < cap(done) {
			if err := s.fill(c); err != nil {
				return err
			}
		}
	}
}

// confirmed books the answers that have come, up to one that confirms nothing, which is returned.
func (s *shard) readConfirmations(c *conn, done []confirmedAdd) (_ []confirmedAdd, rest []byte, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
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
		it, ok := c.takePending()
		if !ok {
			return done, nil, errUnexpectedReply
		}
		seq, a, ok := parseAdd(f)
		if !ok || seq != it.write.Seq { // its fate is open
			it.maybeSent = true
			c.unreadable = append(c.unreadable, it)
			return done, nil, errUnexpectedReply
		}
		v := s.ledger.Confirm(s.now(), it.write, a)
		if v.Lost {
			s.stats.Lost++
			lost = it.write.Name
		}
		if it.call == nil {
			continue
		}
		s.stats.Added++
		if v.AlreadyApplied {
			s.stats.AlreadyApplied++
		}
		done = append(done, confirmedAdd{it.call, v.Total})
	}
	if len(done) > 0 {
		s.sendScript = false
		c.confirmedAny.Store(true)
	}
	if lost != "" && !s.lossLogged {
		s.lossLogged = true
		s.log.Warn("Redis has lost adds that it had confirmed: they are told again", "name", lost)
	}
	if s.ledger.HasPending() {
		c.wake()
	}
	return done, rest, nil
}

// next takes the write whose answer is due.
func (c *conn) takePending() (pendingWrite, bool) {
	select {
	case it := <-c.pending:
		return it, true
	default:
		return pendingWrite{}, false
	}
}

func (s *shard) countUnreadable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Unreadable++
}

// until gives the reader about d more. Setting a deadline costs as much as reading a short answer does, so one that is
// near enough stays: it comes out up to a quarter shorter or longer.
func (c *conn) extendReadDeadline(now time.Time, d time.Duration) {
	want := now.Add(d).UnixNano()
	if off := want - c.readDeadline.Load(); off > int64(d)/4 || off < -int64(d)/4 {
		c.readDeadline.Store(want)
		c.nc.SetReadDeadline(time.Unix(0, want))
	}
}

// fill reads once. A connection is given silence while something is out on it, and the rest of an answer that has begun
// must come at once.
func (s *shard) fill(c *conn) error {
	switch now := time.Now(); {
	case c.in.Partial():
		c.extendReadDeadline(now, partialReplyTimeout)
	case len(c.pending) > 0:
		c.extendReadDeadline(now, silentTimeouts*s.options.Timeout)
	case c.readDeadline.Load() <= now.UnixNano(): // else the last answer's limit stands: it runs out in vain
		c.extendReadDeadline(now, idleReadTimeout)
		if len(c.pending) > 0 { // the writer has begun since
			c.extendReadDeadline(now, silentTimeouts*s.options.Timeout)
		}
	}
	err := c.in.Fill(c.nc.Read)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded) && len(c.pending) == 0 && !c.in.Partial():
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errNoReply
	case errors.Is(err, net.ErrClosed): // by us
		return errClosed
	case len(c.pending) == 0 && !c.in.Partial():
		return errClosed
	}
	return err
}

// refusal gives a write its error line.
func (s *shard) handleErrorReply(c *conn, f []byte) error {
	it, ok := c.takePending()
	if !ok {
		return errUnexpectedReply
	}
	e := redisError(bytes.TrimSpace(f[1:]))
	switch {
	case e.code() == "NOSCRIPT":
		it.maybeSent = true
		s.mu.Lock()
		s.sendScript = true
		s.retry = append(s.retry, it)
		s.mu.Unlock()
		c.wake()
		return nil
	case e.unavailable():
		c.leaveReason.CompareAndSwap(nil, &e)
		c.wake()
	default:
		s.logRejection(e)
	}
	s.reject(it, true)
	return nil
}

// complain logs a refusal of Redis, each kind once until another one comes or the connection is a new one.
func (s *shard) logRejection(e redisError) {
	s.mu.Lock()
	known := s.loggedRejection == e.code()
	s.loggedRejection = e.code()
	s.mu.Unlock()
	if !known {
		s.log.Warn("Redis refuses adds: each instance keeps its fair share of every quota until it takes them", "err", e)
	}
}

func (c *conn) wake() {
	select {
	case c.wakeWriter <- struct{}{}:
	default:
	}
}
