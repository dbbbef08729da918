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

// Served is a backend's reply with a value and nothing else.
const Served = "*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"

// Reply returns the reply to the nth command of a backend, counted from 1, as the bytes to write; an empty reply writes
// nothing. It may do something to the connection.
type Reply func(n int, args []string, nc net.Conn) string

// Backend replies to commands by their order.
type Backend struct {
	// Addr is the host and port where it listens.
	Addr string
	// Conns is the number of connections that were opened.
	Conns atomic.Int32

	mu       sync.Mutex // guards commands
	commands [][]string
}

// NewBackend starts a backend. With a nil reply it never replies.
func NewBackend(t testing.TB, reply Reply) *Backend {
	t.Helper()
	b := &Backend{}
	b.Addr = Listen(t, func(nc net.Conn) { b.serve(nc, reply) })
	return b
}

// serve reads commands from a connection, and replies to them, until it ends.
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
			_, _ = io.WriteString(nc, text) // the next read tells if the connection has ended
		}
	}
}

// Seen returns the commands received so far.
func (b *Backend) Seen() [][]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.commands)
}
