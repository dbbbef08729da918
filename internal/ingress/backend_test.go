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

// sight is one command as a backend saw it.
type sight struct {
	at   time.Time
	args []string
}

// observedNode is a backend that answers as a test says, and records when commands came and how many connections are open.
type observedNode struct {
	addr   string
	answer func(n int) string // to the nth command, from 1; "" is silence
	mu     sync.Mutex
	seen   []sight
	open   int
}

// newObservedNode starts a backend; nil answers each command with a value.
func newObservedNode(t testing.TB, answer func(n int) string) *observedNode {
	t.Helper()
	if answer == nil {
		answer = func(int) string { return served }
	}
	n := &observedNode{answer: answer}
	n.addr = scripted.Listen(t, n.serve)
	return n
}

func (n *observedNode) serve(nc net.Conn) {
	n.count(1)
	defer n.count(-1)
	for in := redcon.NewReader(nc); ; {
		cmd, err := in.ReadCommand()
		if err != nil {
			return
		}
		args := make([]string, 0, len(cmd.Args))
		for _, a := range cmd.Args {
			args = append(args, string(a))
		}
		n.mu.Lock()
		n.seen = append(n.seen, sight{time.Now(), args})
		number := len(n.seen)
		n.mu.Unlock()
		io.WriteString(nc, n.answer(number))
	}
}

func (n *observedNode) count(by int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open += by
}

// connections is how many are open now.
func (n *observedNode) connections() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.open
}

// commands is how many came so far, and when the last one did.
func (n *observedNode) commands() (number int, last time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.seen) > 0 {
		last = n.seen[len(n.seen)-1].at
	}
	return len(n.seen), last
}
