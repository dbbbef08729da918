// Package scripted has the smallest stand-ins: a listener, a node whose answers a test words one by one, and a registry of
// one list. They end with their test.
package scripted

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
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
	return ln.Addr().String()
}

// Node answers commands by their order.
type Node struct {
	Addr     string
	Conns    atomic.Int32 // that were opened
	mu       sync.Mutex
	commands [][]string
}

// NewNode starts a node. What say returns goes out as it is, "" is silence; nil is silent always.
func NewNode(t testing.TB, say func(n int, args []string, nc net.Conn) string) *Node {
	t.Helper()
	b := &Node{}
	b.Addr = Listen(t, func(nc net.Conn) {
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
	})
	return b
}

// Seen returns the commands that came.
func (b *Node) Seen() [][]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.commands)
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
