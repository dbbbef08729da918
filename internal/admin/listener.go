package admin

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// MaxConnections is the number of file descriptors that the admin server may use,
// including that of the listener.
const MaxConnections = 14

const (
	// One descriptor is for the listener, one for an accepted connection that waits for
	// a slot.
	maxOpen = MaxConnections - 2

	minOpenTime      = 50 * time.Millisecond  // age from which a connection may be evicted for a new one
	maxProtectedTime = 500 * time.Millisecond // the same for a connection that waits for this process
	slotPollPeriod   = 5 * time.Millisecond   // maximum pause between two searches for a slot
)

// boundedListener is a listener with a fixed number of connection slots. If all slots
// are taken, the connection that has been open longest is closed in favor of a new
// one, as soon as it has been open for minOpenTime, which is enough for a call. A
// connection that waits for this process is protected until maxProtectedTime, since on a
// busy machine it is this process that is slow: one whose bytes have not been read
// yet, or one whose complete call is about to be answered.
type boundedListener struct {
	net.Listener
	mu       sync.Mutex // guards openedAt
	openedAt map[*boundedConn]time.Time
}

// boundedConn is a connection of a boundedListener.
type boundedConn struct {
	net.Conn
	listener  *boundedListener
	closing   sync.Once
	hasRead   atomic.Bool // some bytes have been read from it
	hasCalled atomic.Bool // a complete call has been read from it
}

// Accept implements net.Listener. It waits for a slot for the accepted connection and
// evicts an old connection if necessary.
func (b *boundedListener) Accept() (net.Conn, error) {
	nc, err := b.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for {
		oldest, openTime, free := b.findOldest(time.Now())
		switch {
		case free:
			c := &boundedConn{Conn: nc, listener: b}
			b.mu.Lock()
			b.openedAt[c] = time.Now()
			b.mu.Unlock()
			return c, nil
		case openTime >= minOpenTime:
			oldest.Close()
		default:
			time.Sleep(min(minOpenTime-openTime, slotPollPeriod))
		}
	}
}

// findOldest returns the connection that has been open longest, without those that are
// protected because they wait for this process, and how long it has been open. free
// reports whether a slot is free, so that no connection has to be closed.
func (b *boundedListener) findOldest(now time.Time) (oldest *boundedConn, openTime time.Duration, free bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c, openedAt := range b.openedAt {
		open := now.Sub(openedAt)
		if oldest != nil && open <= openTime {
			continue
		}
		if open >= minOpenTime && open < maxProtectedTime && (c.hasCalled.Load() || c.hasUnreadBytes()) {
			continue
		}
		oldest, openTime = c, open
	}
	return oldest, openTime, len(b.openedAt) < maxOpen
}

// hasUnreadBytes reports whether bytes have arrived and none have been read yet.
func (c *boundedConn) hasUnreadBytes() bool {
	if c.hasRead.Load() {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, _ = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// Read implements net.Conn.
func (c *boundedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.hasRead.Store(true)
	}
	return n, err
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	c.closing.Do(func() {
		c.listener.mu.Lock()
		delete(c.listener.openedAt, c)
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}
