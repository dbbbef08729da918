// Package scripted has the smallest stand-ins: a listener, a node whose answers a test words one by one, and a registry of
// one list. They end with their test.
package scripted

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/tidwall/redcon"
)

// Served is a node's answer with a value and nothing else.
const Served = "*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"

// Listen opens an ephemeral port on the loopback address and hands every connection to serve.
func Listen(t testing.TB, serve func(net.Conn)) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accept(t, ln, serve)
	return ln.Addr().String()
}

// accept serves who comes until the test ends.
func accept(t testing.TB, ln interface {
	Accept() (net.Conn, error)
	Close() error
}, serve func(net.Conn),
) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var open []net.Conn
	wg.Go(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, nc)
			mu.Unlock()
			wg.Go(func() {
				defer nc.Close()
				serve(nc)
			})
		}
	})
	t.Cleanup(func() {
		ln.Close()
		mu.Lock()
		for _, nc := range open {
			nc.Close()
		}
		mu.Unlock()
		wg.Wait()
	})
}

// Node answers commands by their order.
type Backend struct {
	Addr     string
	Conns    atomic.Int32 // that were opened
	mu       sync.Mutex
	commands [][]string
}

// NewNode starts a node. What say returns goes out as it is, "" is silence; nil is silent always.
func NewBackend(t testing.TB, say func(n int, args []string, nc net.Conn) string) *Backend {
	t.Helper()
	b := &Backend{}
	b.Addr = Listen(t, func(nc net.Conn) { b.serve(nc, say) })
	return b
}

func (b *Backend) serve(nc net.Conn, say func(n int, args []string, nc net.Conn) string) {
	b.Conns.Add(1)
	in := redcon.NewReader(nc)
	for {
		cmd, err := in.ReadCommand()
		if err != nil {
			return
		}
		var args []string
		for _, a := range cmd.Args {
			args = append(args, string(a))
		}
		b.mu.Lock()
		b.commands = append(b.commands, args)
		n := len(b.commands)
		b.mu.Unlock()
		if say == nil {
			continue
		}
		if s := say(n, args, nc); s != "" {
			io.WriteString(nc, s)
		}
	}
}

// Seen returns the commands that came.
func (b *Backend) Seen() [][]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.commands)
}

// Late is a node to which a connection comes up late: from Hold on the kernel answers no further one, and the first that is begun then comes up when
// the kernel of who begins it asks again, a second later, if Open was called by then. All are taken until Hold.
type Late struct {
	*Backend
	t      testing.TB
	ln     net.Listener
	held   atomic.Bool
	caught chan struct{} // the first connection after Hold has been taken
	open   chan struct{}
	once   sync.Once
}

// NewLate starts such a node; say is as for NewNode.
func NewLate(t testing.TB, say func(n int, args []string, nc net.Conn) string) *Late {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		err = syscall.Listen(fd, 0) // one connection may wait to be accepted, and no more
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
	l := &Late{Backend: &Backend{Addr: ln.Addr().String()}, t: t, ln: ln, caught: make(chan struct{}), open: make(chan struct{})}
	accept(t, l, func(nc net.Conn) { l.serve(nc, say) })
	return l
}

// Accept is net.Listener's. From Hold to Open it keeps what it has taken to itself.
func (l *Late) Accept() (net.Conn, error) {
	nc, err := l.ln.Accept()
	if err == nil && l.held.Load() {
		l.caught <- struct{}{}
		<-l.open
	}
	return nc, err
}

// Close is net.Listener's.
func (l *Late) Close() error {
	l.Open()
	return l.ln.Close()
}

// Hold has the kernel answer no further connection. It is called once.
func (l *Late) Hold() {
	l.t.Helper()
	l.held.Store(true)
	for i := range 2 { // one that is taken and kept, one that waits to be taken: there is no room for a third
		nc, err := net.Dial("tcp", l.Backend.Addr)
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

// Open takes connections again.
func (l *Late) Open() {
	l.once.Do(func() {
		l.held.Store(false)
		close(l.open)
	})
}

// Begun says whether a connection to it has been begun and has not come up.
func (l *Late) Begun() bool {
	l.t.Helper()
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		l.t.Fatal(err)
	}
	port := fmt.Sprintf(":%04X", l.ln.Addr().(*net.TCPAddr).Port)
	for line := range strings.Lines(string(table)) {
		if f := strings.Fields(line); len(f) > 3 && strings.HasSuffix(f[2], port) && f[3] == "02" { // SYN_SENT
			return true
		}
	}
	return false
}

// Registry is discovery's agent: a list, and a watch that tells what is sent to changes.
func Registry[T any](t testing.TB, list T, changes <-chan T) (addr string) {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("follow") == "" {
			json.NewEncoder(w).Encode(list)
			return
		}
		for {
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				return
			case f := <-changes:
				json.NewEncoder(w).Encode(f)
			}
		}
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}
