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
type agedCore struct {
	deskCore
	start time.Time
}

// GiveUpAt returns the time from which a request's deadline counts, instead of its end.
func (c agedCore) GiveUpAt(_ policy.Class, at time.Time, _ time.Duration) time.Duration {
	return at.Sub(c.start)
}

// virtual is a front with one client on a pipe, in the bubble of a synctest.
type virtual struct {
	agedCore
	far net.Conn
	in  *bufio.Reader
}

func newVirtual(t *testing.T, memory int) *virtual {
	t.Helper()
	near, far := net.Pipe()
	v := &virtual{agedCore: agedCore{deskCore{make(chan *core.Request, 200), make(chan *core.Request, 200)}, time.Now()}, far: far, in: bufio.NewReader(far)}
	f := New(nil, v.agedCore, 4, memory)
	c := newConnection(f, near)
	f.places <- struct{}{}
	f.connections[c] = true
	f.serving.Add(1)
	go c.serve()
	t.Cleanup(func() {
		far.Close()
		f.serving.Wait()
	})
	return v
}

// sendLater writes text without waiting for its reader.
func (v *virtual) sendLater(text string) {
	go io.WriteString(v.far, text)
}

// TestAgeOfCommandsBehindAFullWindow has more commands come at once than may be open. The time of those that wait counts from when they
// came: before, it counted from when there was room, so that backends were told more time than the client had left.
func TestAgeOfCommandsBehindAFullWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVirtual(t, 1<<20)
		const commands, waited = mostPipelined + 20, 700 * time.Millisecond
		var text strings.Builder
		for i := range commands {
			text.WriteString(question(i))
		}
		v.sendLater(text.String())
		time.Sleep(waited)
		synctest.Wait()
		go io.Copy(io.Discard, v.in)
		for i := range commands {
			r := <-v.came
			if age := time.Since(v.start) - r.GiveUpAt; i >= mostPipelined && age < waited-peerClosedLook {
				t.Fatalf("command %d came %v ago, its time counts from %v ago", i, time.Since(v.start), age)
			}
			r.Sink.Deliver(core.Answer{Kind: core.Served, Value: []byte("v")})
		}
	})
}

// TestAgeOfCommandsBehindNonsense has commands stand behind others that are no requests, whose answers are held back for a while.
func TestAgeOfCommandsBehindNonsense(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVirtual(t, 1<<20)
		nonsense := strings.Repeat(words("NONSENSE"), 6)
		v.sendLater(nonsense + question(1))
		go io.Copy(io.Discard, v.in)
		r := <-v.came
		passed, age := time.Since(v.start), time.Since(v.start)-r.GiveUpAt
		if pauses := (1 + 2 + 3 + 4 + 5 + 6) * protocolErrorPause; passed < pauses || passed > pauses+peerClosedLook {
			t.Errorf("the command was taken after %v, want %v: a pause for each error", passed, pauses)
		}
		if age < passed-peerClosedLook {
			t.Errorf("the command came %v ago, its time counts from %v ago", passed, age)
		}
		r.Sink.Deliver(core.Answer{Kind: core.Served, Value: []byte("v")})
	})
}

// TestStalledCommandWithoutMemory has a client stop within a command for which there is no memory: it is owed an error, or the end of its
// connection, as soon as any other that stops within one.
func TestStalledCommandWithoutMemory(t *testing.T) {
	const owed = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		v := newVirtual(t, 1)
		body := fmt.Sprintf("*5\r\n$4\r\nQ.DO\r\n$16\r\n00000000b4d65521\r\n$16\r\n%016x\r\n$3\r\nc=x\r\n$50000\r\n%s", 1, strings.Repeat("b", 30000))
		v.sendLater(body)
		if _, err := v.in.ReadByte(); err != nil && err != io.EOF {
			t.Fatal(err)
		}
		if took := time.Since(v.start); took > owed {
			t.Errorf("the client was left without a word for %v", took)
		}
	})
}

// TestRequestsBehindTheLastErrorAreRefused has requests stand behind the protocol error that ends a connection, read with it: each has its answer.
func TestRequestsBehindTheLastErrorAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVirtual(t, 1<<20)
		v.sendLater(strings.Repeat(words("NONSENSE"), mostProtocolErrors) + question(1) + question(2))
		text, err := io.ReadAll(v.in)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(strings.TrimSpace(string(text)), "\r\n")
		if len(lines) != mostProtocolErrors+2 || !strings.HasPrefix(lines[mostProtocolErrors], "-BUSY") || !strings.HasPrefix(lines[mostProtocolErrors+1], "-BUSY") {
			t.Errorf("%d answers: %q", len(lines), lines)
		}
		if len(v.came) != 0 {
			t.Error("one was taken")
		}
	})
}
