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

// Late is a backend to which connections come up late. Until Hold it accepts all connections. From Hold on the kernel
// does not answer a SYN any more; a connection begun then comes up when the client's kernel sends its SYN again, a
// second later, if Open was called by then.
type Late struct {
	*Backend
	t       testing.TB
	ln      net.Listener
	holding atomic.Bool   // between Hold and Open
	caught  chan struct{} // receives when the first connection after Hold has been accepted
	open    chan struct{} // closed by Open
	once    sync.Once     // closes open
}

// NewLate starts such a backend; reply is as for NewBackend.
func NewLate(t testing.TB, reply Reply) *Late {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		err = syscall.Listen(fd, 0) // a queue of one connection
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
	l := &Late{
		Backend: &Backend{Addr: ln.Addr().String()},
		t:       t,
		ln:      ln,
		caught:  make(chan struct{}),
		open:    make(chan struct{}),
	}
	accept(t, l, func(nc net.Conn) { l.serve(nc, reply) })
	return l
}

// Accept implements net.Listener. A connection accepted between Hold and Open is returned only after Open.
func (l *Late) Accept() (net.Conn, error) {
	nc, err := l.ln.Accept()
	if err == nil && l.holding.Load() {
		l.caught <- struct{}{}
		<-l.open
	}
	return nc, err
}

// Close implements net.Listener.
func (l *Late) Close() error {
	l.Open()
	return l.ln.Close()
}

// Hold stops new connections from coming up, by filling the listen queue. It may be called once.
func (l *Late) Hold() {
	l.t.Helper()
	l.holding.Store(true)
	for i := range 2 { // one that Accept retains, one that fills the queue
		nc, err := net.Dial("tcp", l.Addr)
		if err != nil {
			l.t.Error(err)
			return
		}
		l.t.Cleanup(func() { nc.Close() })
		if i == 0 {
			<-l.caught
		}
	}
}

// Open lets connections come up again.
func (l *Late) Open() {
	l.once.Do(func() {
		l.holding.Store(false)
		close(l.open)
	})
}

// synSent is the state of a connection in /proc/net/tcp whose SYN is not answered yet.
const synSent = "02"

// Begun reports whether a connection to it has been begun and has not come up.
func (l *Late) Begun() bool {
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
