package scripted

import (
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/tidwall/redcon"
)

// Served is the reply of a backend that has served a request: an array of a value and two nulls.
const Served = "*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"

// Reply returns the raw reply to the nth command that a backend received, counted from 1. An empty reply is not
// written. The function may also act on the connection nc, for example close it.
type Reply func(n int, args []string, nc net.Conn) string

// Backend is a stand-in backend whose replies come from a Reply function.
type Backend struct {
	// Addr is the listen address, a host and port.
	Addr string
	// Conns is the number of connections accepted so far.
	Conns atomic.Int32

	mu       sync.Mutex // guards commands
	commands [][]string
}

// NewBackend starts a backend. If reply is nil, it never replies.
func NewBackend(t testing.TB, reply Reply) *Backend {
	t.Helper()
	b := &Backend{}
	b.Addr = Listen(t, func(nc net.Conn) { b.serve(nc, reply) })
	return b
}

// serve reads commands from a connection and replies to them until the connection is closed.
func (b *Backend) serve(nc net.Conn, reply Reply) {
	b.Conns.Add(1)
	in := redcon.NewReader(nc)
	for {
		cmd, err := in.ReadCommand()
		if err != nil {
			return
		}
		var args []string
		for _, arg := range cmd.Args {
			args = append(args, string(arg))
		}
		b.mu.Lock()
		b.commands = append(b.commands, args)
		n := len(b.commands)
		b.mu.Unlock()
		if reply == nil {
			continue
		}
		if text := reply(n, args, nc); text != "" {
			_, _ = io.WriteString(nc, text) // if the connection is closed, the next read fails
		}
	}
}

// Commands returns the commands that the backend has received so far.
func (b *Backend) Commands() [][]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.commands)
}
