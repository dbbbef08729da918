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

// agedCore notes how old each command was when its deadline was reckoned, by the test's clock.
type arrivalCore struct {
	manualCore
	start time.Time
}

// GiveUpAt returns the time from which a request's deadline counts, instead of its end.
func (c arrivalCore) GiveUpAt(_ policy.Class, at time.Time, _ time.Duration) time.Duration {
	return at.Sub(c.start)
}

// virtual is a front with one client on a pipe, in the bubble of a synctest.
type virtualClient struct {
	arrivalCore
	conn    net.Conn
	replies *bufio.Reader
}

func newVirtualClient(t *testing.T, memoryBytes int) *virtualClient {
	t.Helper()
	server, client := net.Pipe()
	v := &virtualClient{arrivalCore: arrivalCore{newManualCore(200), time.Now()}, conn: client, replies: bufio.NewReader(client)}
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

// sendLater writes text without waiting for its reader.
func (v *virtualClient) sendAsync(text string) {
	go io.WriteString(v.conn, text)
}

// TestAgeOfCommandsBehindAFullWindow has more commands come at once than may be open. The time of those that wait counts from when they
// came: before, it counted from when there was room, so that backends were told more time than the client had left.
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
				t.Fatalf("command %d came %v ago, its time counts from %v ago", i, time.Since(v.start), age)
			}
			request.Sink.Deliver(core.Answer{Kind: core.Served, Value: []byte("v")})
		}
	})
}

// TestAgeOfCommandsBehindNonsense has commands stand behind others that are no requests, whose answers are held back for a while.
func TestAgeOfCommandsBehindProtocolErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVirtualClient(t, 1<<20)
		nonsense := strings.Repeat(encodeCommand("NONSENSE"), 6)
		v.sendAsync(nonsense + encodeRequest(1))
		go io.Copy(io.Discard, v.replies)
		request := <-v.submitted
		passed, age := time.Since(v.start), time.Since(v.start)-request.GiveUpAt
		if pauses := (1 + 2 + 3 + 4 + 5 + 6) * protocolErrorPause; passed < pauses || passed > pauses+peerClosedPollInterval {
			t.Errorf("the command was taken after %v, want %v: a pause for each error", passed, pauses)
		}
		if age < passed-peerClosedPollInterval {
			t.Errorf("the command came %v ago, its time counts from %v ago", passed, age)
		}
		request.Sink.Deliver(core.Answer{Kind: core.Served, Value: []byte("v")})
	})
}

// TestStalledCommandWithoutMemory has a client stop within a command for which there is no memory: it is owed an error, or the end of its
// connection, as soon as any other that stops within one.
func TestStalledCommandWithoutMemory(t *testing.T) {
	const owed = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		v := newVirtualClient(t, 1)
		body := fmt.Sprintf("*5\r\n$4\r\nQ.DO\r\n$16\r\n00000000b4d65521\r\n$16\r\n%016x\r\n$3\r\nc=x\r\n$50000\r\n%s", 1, strings.Repeat("b", 30000))
		v.sendAsync(body)
		if _, err := v.replies.ReadByte(); err != nil && err != io.EOF {
			t.Fatal(err)
		}
		if took := time.Since(v.start); took > owed {
			t.Errorf("the client was left without a word for %v", took)
		}
	})
}

// TestRequestsBehindTheLastErrorAreRefused has requests stand behind the protocol error that ends a connection, read with it: each has its answer.
func TestRequestsBehindLastProtocolErrorAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVirtualClient(t, 1<<20)
		v.sendAsync(strings.Repeat(encodeCommand("NONSENSE"), maxProtocolErrors) + encodeRequest(1) + encodeRequest(2))
		text, err := io.ReadAll(v.replies)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(strings.TrimSpace(string(text)), "\r\n")
		if len(lines) != maxProtocolErrors+2 || !strings.HasPrefix(lines[maxProtocolErrors], "-BUSY") || !strings.HasPrefix(lines[maxProtocolErrors+1], "-BUSY") {
			t.Errorf("%d answers: %q", len(lines), lines)
		}
		if len(v.submitted) != 0 {
			t.Error("one was taken")
		}
	})
}
