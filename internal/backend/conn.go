package backend

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hitchspring/internal/resp"
)

const answerTime = 200 * time.Millisecond // for the rest of an answer that has begun: one that never ends is spoilt

// conn is a connection to a node, owned by its goroutine run; the fields from begun on are the pool's.
type conn struct {
	node     *node
	addr     string
	nc       net.Conn // set before connUp is posted
	raw      syscall.RawConn
	frames   *resp.Budget
	sent     func()
	work     chan job
	dead     chan struct{}
	writing  sync.Mutex              // held from before a command's first byte until whole tells of it
	whole    atomic.Pointer[Attempt] // the last one that was written to its last byte: it may have run
	passing  atomic.Pointer[Stream]  // the last value that it began to pass on
	until    atomic.Int64            // when its client gives that up, in nanoseconds of Unix time; 0: nobody does
	begun    time.Duration           // when it was dialled
	cur      *Attempt
	since    time.Duration // idle since
	used     bool          // it was given a command
	answered bool          // it has brought an answer to one
	closed   bool          // by the pool
	down     bool
}

type job struct {
	a     *Attempt
	buf   []byte
	until time.Time // when its owner gives it up
	by    time.Time // when its last byte is out at the latest
}

// run dials, then reads answers until the connection ends; it posts connDown last.
func (c *conn) run(ctx context.Context, timeout time.Duration, post func(Event)) {
	d := net.Dialer{Timeout: timeout}
	nc, err := d.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		post(connDown{c: c})
		return
	}
	c.nc = nc
	if t, ok := nc.(*net.TCPConn); ok {
		c.raw, _ = t.SyscallConn()
	}
	stop := context.AfterFunc(ctx, func() {
		nc.Close()
		if s := c.passing.Load(); s != nil {
			s.Close()
		}
	})
	defer stop()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write()
	}()
	post(connUp{c})
	c.read(ctx, post)
	nc.Close()
	close(c.dead)
	<-written
	post(connDown{c: c, up: true})
}

// read posts answers until the connection ends or is of no further use: bytes behind an answer may be a second copy of
// it, which must never be taken for the answer to the next command.
func (c *conn) read(ctx context.Context, post func(Event)) {
	in := resp.Inbox{Budget: c.frames}
	defer in.Close()
	limited := false
	for {
		head, size, err := resp.Large(in.Begun())
		if size > 0 {
			in.Drop(head)
			rep, err := c.pass(ctx, &in, size, post)
			if err != nil {
				return
			}
			rep.extra = in.Partial()
			rep.keep = !rep.extra
			post(replied{c, c.whole.Load(), rep})
			if !rep.keep {
				return
			}
			limited = false
			continue
		}
		var f []byte
		if err == nil {
			f, err = in.Next()
		}
		switch {
		case err != nil:
			return
		case f != nil:
			rep := parseReply(f)
			rep.extra = in.Partial()
			rep.keep = rep.keep && !rep.extra
			c.writing.Lock()
			to := c.whole.Load()
			c.writing.Unlock()
			post(replied{c, to, rep})
			if !rep.keep {
				return
			}
			continue
		case in.Partial() && !limited:
			c.nc.SetReadDeadline(time.Now().Add(answerTime))
			limited = true
		case limited && !in.Partial():
			c.nc.SetReadDeadline(time.Time{})
			limited = false
		}
		if in.Fill(c.nc.Read) != nil {
			return
		}
	}
}

// look is what a look at a connection's socket shows.
type look int

const (
	quiet look = iota // open, and nothing has come that was not read
	spoke             // something has come that was not read
	over              // it has ended
)

// look looks at the socket and takes nothing from it.
func (c *conn) look() look {
	if c.raw == nil {
		return quiet
	}
	var b [1]byte
	var count int
	var peeked error
	err := c.raw.Control(func(fd uintptr) {
		count, _, peeked = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return over
	case errors.Is(peeked, syscall.EAGAIN):
		return quiet
	case peeked == nil && count > 0:
		return spoke
	}
	return over
}

// write writes what it is given until the connection is dead or broken.
func (c *conn) write() {
	for {
		select {
		case <-c.dead:
			return
		case j := <-c.work:
			c.nc.SetWriteDeadline(j.by) // also of one that comes too late to be begun
			if !j.until.IsZero() {
				c.until.Store(j.until.UnixNano())
			}
			c.writing.Lock()
			n, err := c.nc.Write(j.buf)
			if n == len(j.buf) {
				c.whole.Store(j.a)
				if j.a.Command != nil {
					c.sent()
				}
			}
			c.writing.Unlock()
			if err != nil {
				c.nc.Close()
				return
			}
		}
	}
}
