package ingress

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// bytePause lies between two bytes of a command that comes in pieces.
const bytePause = time.Millisecond

// Commands that come byte by byte are served like others, in order and once
// each.
func TestCommandsInSingleBytes(t *testing.T) {
	t.Parallel()
	backend := newObservedBackend(t, nil)
	list := fleetOf(backend.addr)
	addr, _ := startIngress(t, testConfig(registryOf(t, list), list))
	nc, in := dial(t, addr)
	text := encodeRead(1, readFields) + encodeCommand("PING") + encodeRead(2, readFields) +
		encodeCommand("HELLO") + encodeRead(3, readFields)
	for i := range len(text) {
		if _, err := io.WriteString(nc, text[i:i+1]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(bytePause)
	}
	for _, want := range []string{"$5", "value", "+PONG", "$5", "value", "-ERR unknown command", "$5", "value"} {
		if got := readLine(t, in); got != want {
			t.Fatalf("answer %q, want %q", got, want)
		}
	}
	if n, _ := backend.commands(); n != 3 {
		t.Errorf("%d commands were forwarded, want 3", n)
	}
}

// A connection that ends within a command, at whatever byte, ends with nothing
// forwarded, no answer to the partial command, and its slot free. Earlier
// commands are answered.
func TestConnectionEndsWithinCommand(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(*net.TCPConn) error{
		"closed":      (*net.TCPConn).Close,
		"half closed": (*net.TCPConn).CloseWrite,
		"reset": func(nc *net.TCPConn) error {
			if err := nc.SetLinger(0); err != nil {
				return err
			}
			return nc.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend := newObservedBackend(t, nil)
			list := fleetOf(backend.addr)
			addr, instance := startInstance(t, testConfig(registryOf(t, list), list))
			text := encodeRead(1<<20, readFields)
			for cut := 1; cut < len(text); cut++ {
				endWithinCommand(t, addr, text, cut, name == "half closed", end)
			}
			eventually(t, 5*time.Second, "no connection is kept", func() bool {
				return instance.front.Load().OpenConnections() == 0
			})
			if n, _ := backend.commands(); n != (len(text)-1)/5 {
				t.Errorf("%d commands were forwarded, want the %d complete ones", n, (len(text)-1)/5)
			}
			if n := instance.core.Metrics().OpenRequests(); n != 0 {
				t.Errorf("%d requests are open", n)
			}
		})
	}
}

// endWithinCommand sends the first bytes of a command and ends the connection. On
// every fifth connection a complete command comes first; on every third the bytes
// are read before the end comes. A half-closed connection must end without an
// answer.
func endWithinCommand(t *testing.T, addr, text string, cut int, halfClosed bool, end func(*net.TCPConn) error) {
	t.Helper()
	nc, in := dial(t, addr)
	if cut%5 == 0 {
		io.WriteString(nc, encodeRead(cut, readFields))
		requireValue(t, in)
	}
	io.WriteString(nc, text[:cut])
	if cut%3 == 0 {
		time.Sleep(bytePause)
	}
	if err := end(nc.(*net.TCPConn)); err != nil {
		t.Fatal(err)
	}
	if !halfClosed {
		return
	}
	if rest, err := io.ReadAll(in); len(rest) > 0 || err != nil {
		t.Fatalf("after %d of %d bytes and the end: %q, %v", cut, len(text), rest, err)
	}
}

// The rest of a command that is partial at SIGTERM is waited for. The command
// is served while the ingress serves, then rejected. If the rest doesn't come,
// the command ends with its connection, and never keeps the process beyond its
// time.
func TestPartialCommandAtShutdown(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		after time.Duration // of SIGTERM, when the rest comes; 0: never
		want  string        // the begin of its one answer; "": none, or an error
	}{
		{"the rest while it serves", 200 * time.Millisecond, "$5"},
		{"the rest behind the close of the listener", listenerGrace + 30*time.Millisecond, "$5"},
		{"the rest too late", commandGrace + 300*time.Millisecond, "-BUSY "},
		{"no rest", 0, ""},
	}
	backend := newObservedBackend(t, nil)
	list := fleetOf(backend.addr)
	addr, stop := startIngress(t, testConfig(registryOf(t, list), list))
	type client struct {
		nc  net.Conn
		all chan string
	}
	clients := make([]client, len(cases))
	text := func(n int) string { return encodeRead(n+1, readFields) }
	for n := range cases {
		nc, in := dial(t, addr)
		clients[n] = client{nc, make(chan string, 1)}
		io.WriteString(nc, text(n)[:20+n])
		go func() {
			rest, _ := io.ReadAll(in)
			clients[n].all <- string(rest)
		}()
	}
	time.Sleep(20 * time.Millisecond) // they are read
	began := time.Now()
	ended := make(chan error, 1)
	go func() { ended <- stop() }()
	for n, c := range cases {
		if c.after > 0 {
			time.AfterFunc(time.Until(began.Add(c.after)), func() { io.WriteString(clients[n].nc, text(n)[20+n:]) })
		}
	}
	for n, c := range cases {
		got := <-clients[n].all
		switch {
		case c.want == "" && got != "" && !strings.HasPrefix(got, "-ERR "):
			t.Errorf("%s: answered %q", c.name, got)
		case c.want != "" && (!strings.HasPrefix(got, c.want) || strings.Count(got, "\r\n") > 2):
			t.Errorf("%s: answered %q, want one answer %s", c.name, got, c.want)
		}
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if took, limit := time.Since(began), maxRequestGrace+commandGrace; took > limit {
		t.Errorf("ended %v after SIGTERM, want %v at the most", took, limit)
	}
	if n, _ := backend.commands(); n != 2 {
		t.Errorf("%d commands were forwarded, want those of two", n)
	}
}

// A backend that answers a part and falls silent, at whatever byte, is waited
// for 0.2 s. The request has one end: the answer of another backend if it may
// be retried, else a failure. The connection with the part is closed, so that
// the rest is not taken for another answer.
func TestBackendFallsSilentWithinAnswer(t *testing.T) {
	t.Parallel()
	const attempts = 2
	unsafeFields := strings.Replace(readFields, "c=read", "c=write", 1)
	for _, class := range []struct{ name, command, want string }{
		{"safe", encodeRead(1, readFields), "$5"},
		{"unsafe", encodeCommand("Q.DO", "00000000b4d65521", fmt.Sprintf("%016x", 1), unsafeFields), "-ERR"},
	} {
		t.Run(class.name, func(t *testing.T) {
			t.Parallel()
			for cut := 1; cut < len(servedReply); cut++ {
				t.Run(fmt.Sprintf("after %d of %d bytes", cut, len(servedReply)), func(t *testing.T) {
					t.Parallel()
					testSilenceWithinAnswer(t, class.command, class.want, cut, attempts)
				})
			}
		})
	}
}

func testSilenceWithinAnswer(t *testing.T, command, want string, cut, attempts int) {
	const maxAnswerTime = 2 * time.Second // 0.2 s for the backend, and some for a busy machine; the request has 50 s
	backend := newObservedBackend(t, func(n int) string {
		if n == 1 {
			return servedReply[:cut]
		}
		return servedReply
	})
	list := fleetOf(backend.addr)
	cfg := testConfig(registryOf(t, list), list)
	cfg.Settings.MaxAttempts = attempts
	addr, _ := startIngress(t, cfg)
	nc, in := dial(t, addr)
	began := time.Now()
	io.WriteString(nc, command+encodeCommand("PING"))
	got := readLine(t, in)
	if !strings.HasPrefix(got, want) {
		t.Fatalf("got answer %q, want %s", got, want)
	}
	if strings.HasPrefix(got, "$") {
		readLine(t, in)
	}
	if took := time.Since(began); took > maxAnswerTime {
		t.Errorf("answered after %v, want %v at most", took, maxAnswerTime)
	}
	if got := readLine(t, in); got != "+PONG" {
		t.Fatalf("got %q behind the answer, want +PONG", got)
	}
	// The ingress closes it before it sends the second attempt; the backend sees that when its reader runs.
	eventually(t, time.Second, "the connection with the part is closed", func() bool {
		return backend.connections() <= 1
	})
}
