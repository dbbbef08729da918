package ingress

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// bytePause is the pause between two bytes of a command that is sent in pieces.
const bytePause = time.Millisecond

// Commands that arrive byte by byte are served once each and in order.
func TestCommandsInSingleBytes(t *testing.T) {
	t.Parallel()
	backend := newObservedBackend(t, nil)
	list := endpointList(backend.addr)
	addr, _ := startIngress(t, testConfig(startDiscovery(t, list), list))
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

// If a connection ends within a command, after any number of bytes, the partial
// command is neither forwarded nor answered, and the connection slot becomes free.
// Earlier commands are answered.
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
			list := endpointList(backend.addr)
			addr, instance := startInstance(t, testConfig(startDiscovery(t, list), list))
			text := encodeRead(1<<20, readFields)
			for cut := 1; cut < len(text); cut++ {
				endWithinCommand(t, addr, text, cut, name == "half closed", end)
			}
			eventually(t, 5*time.Second, "all connections are closed", func() bool {
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

// endWithinCommand sends the first cut bytes of a command and ends the connection.
// If cut is a multiple of 5, a complete command comes first; if it is a multiple of
// 3, the ingress has time to read the bytes before the end. A half-closed connection
// must be closed without an answer.
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

// A shutdown waits for the rest of partial commands. If the rest arrives while the
// ingress still accepts commands, the command is served, afterwards it is rejected.
// If the rest never arrives, the connection is closed and does not delay the process
// exit beyond the shutdown timeout.
func TestPartialCommandAtShutdown(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		after time.Duration // from SIGTERM until the rest is sent; 0 if it is never sent
		want  string        // prefix of the only answer; if empty, there is no answer or an error
	}{
		{"the rest while the listener is open", 200 * time.Millisecond, "$5"},
		{"the rest after the listener is closed", listenerGrace + 30*time.Millisecond, "$5"},
		{"the rest too late", commandGrace + 300*time.Millisecond, "-BUSY "},
		{"no rest", 0, ""},
	}
	backend := newObservedBackend(t, nil)
	list := endpointList(backend.addr)
	addr, stop := startIngress(t, testConfig(startDiscovery(t, list), list))
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
	time.Sleep(20 * time.Millisecond) // until the ingress has read them
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
		t.Errorf("%d commands were forwarded, want 2", n)
	}
}

// A backend sends part of an answer, of any length, and then nothing more. The
// ingress waits 1.5 s for the rest. Then the request is retried if that is safe, else
// it fails. The connection is closed, so that the rest is not taken for the answer to
// another command.
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
	const maxAnswerTime = 2 * time.Second // above the wait of 1.5 s, and far below the deadline of 50 s
	backend := newObservedBackend(t, func(n int) string {
		if n == 1 {
			return servedReply[:cut]
		}
		return servedReply
	})
	list := endpointList(backend.addr)
	cfg := testConfig(startDiscovery(t, list), list)
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
		t.Fatalf("got %q after the answer, want +PONG", got)
	}
	// The ingress closes it before the second attempt, but the backend's reader may notice that later.
	eventually(t, time.Second, "the connection with the partial answer is closed", func() bool {
		return backend.connections() <= 1
	})
}
