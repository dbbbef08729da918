package resp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"hitchspring/internal/core"
	"hitchspring/policy"
)

// arrivalCore puts the arrival time of each command, relative to start, into the
// request's GiveUpAt, so that a test can check it.
type arrivalCore struct {
	manualCore
	start time.Time
}

// GiveUpAt returns the time from which the deadline counts instead of the deadline.
func (c arrivalCore) GiveUpAt(_ policy.Class, at time.Time, _ time.Duration) time.Duration {
	return at.Sub(c.start)
}

// virtualClient is the only client of a front, connected by a pipe inside a synctest
// bubble.
type virtualClient struct {
	arrivalCore
	conn    net.Conn
	replies *bufio.Reader
}

func newVirtualClient(t *testing.T, memoryBytes int) *virtualClient {
	t.Helper()
	server, client := net.Pipe()
	v := &virtualClient{
		arrivalCore: arrivalCore{newManualCore(200), time.Now()},
		conn:        client,
		replies:     bufio.NewReader(client),
	}
	f := New(nil, v.arrivalCore, 4, memoryBytes)
	c := newConnection(f, server)
	f.slots <- struct{}{}
	f.connections[c] = true
	f.serving.Add(1)
	go c.serve()
	t.Cleanup(func() {
		client.Close()
		f.serving.Wait()
	})
	return v
}

// sendAsync writes text without waiting until it is read.
func (v *virtualClient) sendAsync(text string) {
	go io.WriteString(v.conn, text)
}

// More commands arrive at once than the pipeline window allows. The deadlines of those
// that wait must count from their arrival. Otherwise backends are given more time than
// the client has left.
func TestAgeOfCommandsBehindFullWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVirtualClient(t, 1<<20)
		const commands, waited = maxPipelined + 20, 700 * time.Millisecond
		var text strings.Builder
		for i := range commands {
			text.WriteString(encodeRequest(i))
		}
		v.sendAsync(text.String())
		time.Sleep(waited)
		synctest.Wait()
		go io.Copy(io.Discard, v.replies)
		for i := range commands {
			request := <-v.submitted
			if age := time.Since(v.start) - request.GiveUpAt; i >= maxPipelined && age < waited-peerClosedPollInterval {
				t.Fatalf("command %d arrived %v ago, but its deadline counts from %v ago", i, time.Since(v.start), age)
			}
			request.Sink.Deliver(core.Answer{Kind: core.Served, Value: []byte("v")})
		}
	})
}

// A command arrives behind protocol errors, whose replies are delayed. Its deadline
// must count from its arrival.
func TestAgeOfCommandsBehindProtocolErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVirtualClient(t, 1<<20)
		nonsense := strings.Repeat(encodeCommand("NONSENSE"), 6)
		v.sendAsync(nonsense + encodeRequest(1))
		go io.Copy(io.Discard, v.replies)
		request := <-v.submitted
		passed, age := time.Since(v.start), time.Since(v.start)-request.GiveUpAt
		pauses := (1 + 2 + 3 + 4 + 5 + 6) * protocolErrorPause
		if passed < pauses || passed > pauses+peerClosedPollInterval {
			t.Errorf("the command was submitted after %v, want %v: one pause per error", passed, pauses)
		}
		if age < passed-peerClosedPollInterval {
			t.Errorf("the command arrived %v ago, but its deadline counts from %v ago", passed, age)
		}
		request.Sink.Deliver(core.Answer{Kind: core.Served, Value: []byte("v")})
	})
}

// A client that stalls within a command that exceeds the memory budget must get an
// error or a closed connection as soon as one that stalls within any other command.
func TestStalledCommandWithoutMemory(t *testing.T) {
	const maxWait = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		v := newVirtualClient(t, 1)
		body := fmt.Sprintf(
			"*5\r\n$4\r\nQ.DO\r\n$16\r\n00000000b4d65521\r\n$16\r\n%016x\r\n$3\r\nc=x\r\n$50000\r\n%s",
			1,
			strings.Repeat("b", 30000),
		)
		v.sendAsync(body)
		if _, err := v.replies.ReadByte(); err != nil && err != io.EOF {
			t.Fatal(err)
		}
		if took := time.Since(v.start); took > maxWait {
			t.Errorf("the client got no reply for %v", took)
		}
	})
}

// Requests that were read together with the protocol error that ends a connection,
// but after it, must be answered.
func TestRequestsBehindLastProtocolErrorAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVirtualClient(t, 1<<20)
		v.sendAsync(strings.Repeat(encodeCommand("NONSENSE"), maxProtocolErrors) + encodeRequest(1) + encodeRequest(2))
		text, err := io.ReadAll(v.replies)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(strings.TrimSpace(string(text)), "\r\n")
		if len(lines) != maxProtocolErrors+2 {
			t.Fatalf("got %d answers: %q, want %d", len(lines), lines, maxProtocolErrors+2)
		}
		for _, line := range lines[maxProtocolErrors:] {
			if !strings.HasPrefix(line, "-BUSY") {
				t.Errorf("got answer %q, want -BUSY; all: %q", line, lines)
			}
		}
		if len(v.submitted) != 0 {
			t.Error("a request was submitted")
		}
	})
}
