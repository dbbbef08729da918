package admin

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// MaxConnections is the number of descriptors that the admin server may use, that
// of the listener among them.
const MaxConnections = 14

const (
	// One descriptor is for the listener, one for a newcomer that waits for a slot.
	maxOpen = MaxConnections - 2

	minOpenTime    = 50 * time.Millisecond  // before a connection is closed for a newcomer
	maxUnreadTime  = 500 * time.Millisecond // the same for a connection that waits for this process
	slotPollPeriod = 5 * time.Millisecond   // between searches for a free slot
)

// boundedListener is a listener with few connections. If all slots are taken, a
// newcomer gets that of the connection which has been open for the longest, as soon
// as this has had the time that a call needs. The time of a connection whose bytes
// nobody has read yet is longer: on a busy machine this process is the one that is
// late. The same holds after a complete call, which is answered at once.
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
	hasRead   atomic.Bool // some of its bytes were read
	hasCalled atomic.Bool // it has brought a complete call
}

// Accept implements net.Listener. It waits until the connection has a slot.
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

// findOldest returns the connection that has been open for the longest, except for
// those that wait for this process, and whether a slot is free anyway.
func (b *boundedListener) findOldest(now time.Time) (oldest *boundedConn, openTime time.Duration, free bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c, openedAt := range b.openedAt {
		open := now.Sub(openedAt)
		if oldest != nil && open <= openTime {
			continue
		}
		if open >= minOpenTime && open < maxUnreadTime && (c.hasCalled.Load() || c.hasUnreadBytes()) {
			continue
		}
		oldest, openTime = c, open
	}
	return oldest, openTime, len(b.openedAt) < maxOpen
}

// hasUnreadBytes reports whether bytes have arrived and none of them was read.
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
