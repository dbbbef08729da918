package scripted

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
)

// DelayedBackend is a backend that can delay the establishment of connections. It accepts all connections until Hold is
// called. After that its listen queue is full and the kernel drops every SYN. Such a connection is established when the
// client's kernel retransmits its SYN, one second later, if Open has been called by then.
type DelayedBackend struct {
	*Backend
	t           testing.TB
	ln          net.Listener
	blocking    atomic.Bool   // true between Hold and Open
	accepted    chan struct{} // signals that the first connection after Hold has been accepted
	unblocked   chan struct{} // closed by Open
	unblockOnce sync.Once     // closes unblocked
}

// NewDelayedBackend starts a Late backend. reply has the same meaning as for NewBackend.
func NewDelayedBackend(t testing.TB, reply Reply) *DelayedBackend {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		err = syscall.Listen(fd, 0) // with a backlog of 0, the queue holds one connection
	}
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "late")
	ln, err := net.FileListener(file)
	file.Close()
	if err != nil {
		t.Fatal(err)
	}
	l := &DelayedBackend{
		Backend:   &Backend{Addr: ln.Addr().String()},
		t:         t,
		ln:        ln,
		accepted:  make(chan struct{}),
		unblocked: make(chan struct{}),
	}
	accept(t, l, func(nc net.Conn) { l.serve(nc, reply) })
	return l
}

// Accept implements net.Listener. It withholds a connection accepted between Hold and Open until Open is called.
func (l *DelayedBackend) Accept() (net.Conn, error) {
	nc, err := l.ln.Accept()
	if err == nil && l.blocking.Load() {
		l.accepted <- struct{}{}
		<-l.unblocked
	}
	return nc, err
}

// Close implements net.Listener.
func (l *DelayedBackend) Close() error {
	l.UnblockConnections()
	return l.ln.Close()
}

// BlockConnections prevents new connections from being established, by filling the listen queue. It may be called only
// once.
func (l *DelayedBackend) BlockConnections() {
	l.t.Helper()
	l.blocking.Store(true)
	for i := range 2 { // the first is withheld by Accept, the second fills the listen queue
		nc, err := net.Dial("tcp", l.Addr)
		if err != nil {
			l.t.Error(err)
			return
		}
		l.t.Cleanup(func() { nc.Close() })
		if i == 0 {
			<-l.accepted
		}
	}
}

// UnblockConnections lets connections be established again.
func (l *DelayedBackend) UnblockConnections() {
	l.unblockOnce.Do(func() {
		l.blocking.Store(false)
		close(l.unblocked)
	})
}

// synSent is the TCP state SYN_SENT in /proc/net/tcp: the SYN has not been answered yet.
const synSent = "02"

// HasPendingConnection reports whether a client has started to connect to the backend and the connection is not
// established yet.
func (l *DelayedBackend) HasPendingConnection() bool {
	l.t.Helper()
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		l.t.Fatal(err)
	}
	port := fmt.Sprintf(":%04X", l.ln.Addr().(*net.TCPAddr).Port)
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line) // sl, local_address, rem_address, st, ...
		if len(fields) > 3 && strings.HasSuffix(fields[2], port) && fields[3] == synSent {
			return true
		}
	}
	return false
}
