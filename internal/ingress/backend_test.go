package ingress

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"hitchspring/internal/standin/scripted"
)

// receivedCommand is one command as a backend received it.
type receivedCommand struct {
	receivedAt time.Time
	args       []string
}

// observedBackend is a backend with scripted answers. It records the commands with
// their arrival times, and the number of open connections.
type observedBackend struct {
	addr            string
	answer          func(n int) string // returns the answer to the nth command, from 1; "" sends none
	mu              sync.Mutex
	received        []receivedCommand
	openConnections int
}

// newObservedBackend starts a backend. If answer is nil, it answers each command
// with servedReply.
func newObservedBackend(t testing.TB, answer func(backend int) string) *observedBackend {
	t.Helper()
	if answer == nil {
		answer = func(int) string { return servedReply }
	}
	backend := &observedBackend{answer: answer}
	backend.addr = scripted.Listen(t, backend.serve)
	return backend
}

func (b *observedBackend) serve(nc net.Conn) {
	b.count(1)
	defer b.count(-1)
	for in := redcon.NewReader(nc); ; {
		cmd, err := in.ReadCommand()
		if err != nil {
			return
		}
		args := make([]string, 0, len(cmd.Args))
		for _, a := range cmd.Args {
			args = append(args, string(a))
		}
		b.mu.Lock()
		b.received = append(b.received, receivedCommand{time.Now(), args})
		number := len(b.received)
		b.mu.Unlock()
		io.WriteString(nc, b.answer(number))
	}
}

func (b *observedBackend) count(by int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.openConnections += by
}

// connections returns the number of open connections.
func (b *observedBackend) connections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.openConnections
}

// commands returns the number of commands so far and when the last one arrived.
func (b *observedBackend) commands() (number int, last time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.received) > 0 {
		last = b.received[len(b.received)-1].receivedAt
	}
	return len(b.received), last
}
