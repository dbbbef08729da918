package link

import (
	"bytes"
	"errors"
	"io"
	"net"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// clock returns a clock that starts now.
func clock() func() time.Duration {
	began := time.Now()
	return func() time.Duration { return time.Since(began) }
}

// startEcho starts an echo server and returns its address.
func startEcho(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				io.Copy(conn, conn)
				conn.Close()
			}()
		}
	}()
	t.Cleanup(func() {
		listener.Close()
		<-done
	})
	return listener.Addr().String()
}

// newTCPLink returns a link from n0 to counter, and a connection through it to an echo server.
func newTCPLink(t *testing.T) (*Network, *TCPLink, net.Conn) {
	t.Helper()
	network := New(1, clock())
	t.Cleanup(network.Close)
	link, err := network.AddTCPLink("n0", "counter", "127.0.0.1", startEcho(t))
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", link.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return network, link, conn
}

// exchange sends a text and returns what comes back before the timeout, up to the text's length.
func exchange(t *testing.T, conn net.Conn, text string, timeout time.Duration) (string, error) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		return "", err
	}
	conn.SetReadDeadline(time.Now().Add(timeout))
	buffer := make([]byte, len(text))
	size, err := io.ReadFull(conn, buffer)
	return string(buffer[:size]), err
}

// mustExchange fails the test unless the text comes back.
func mustExchange(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if got, err := exchange(t, conn, text, 5*time.Second); got != text {
		t.Fatalf("got %q and %v, want %q", got, err, text)
	}
}

// inject injects a fault between two names and returns it.
func inject(t *testing.T, network *Network, from, to, text string) Fault {
	t.Helper()
	fault, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	if err := network.Inject([]string{from}, []string{to}, fault); err != nil {
		t.Fatal(err)
	}
	return fault
}

// countActions returns how often faults of a kind have acted.
func countActions(network *Network, kind Kind) (count int) {
	for _, record := range network.FaultRecords() {
		if record.Fault.Kind == kind {
			count += record.Count
		}
	}
	return count
}

// Data passes unchanged without a fault. A fault acts only on its own direction and leaves a record.
func TestStream(t *testing.T) {
	network, _, conn := newTCPLink(t)
	mustExchange(t, conn, "hello")
	inject(t, network, "n0", "counter", "cut 400ms")
	if got, err := exchange(t, conn, "late", 100*time.Millisecond); err == nil {
		t.Fatalf("got %q through a cut", got)
	}
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	buffer := make([]byte, 4)
	if _, err := io.ReadFull(conn, buffer); err != nil || string(buffer) != "late" {
		t.Fatalf("got %q and %v after a short cut, want %q", buffer, err, "late")
	}
	inject(t, network, "counter", "n0", "corrupt 1 10s")
	got, err := exchange(t, conn, "corrupt me", 5*time.Second)
	if got == "corrupt me" || len(got) != len("corrupt me") || err != nil {
		t.Fatalf("got %q and %v, want another text of the same length", got, err)
	}
	if countActions(network, Cut) == 0 || countActions(network, Corrupt) == 0 {
		t.Fatalf("got the records %+v, want a cut and a corruption", network.FaultRecords())
	}
	for _, record := range network.FaultRecords() {
		if record.Fault.Kind == Cut && (record.Direction != "n0>counter" || record.FirstActedAt < record.SetAt) {
			t.Fatalf("got %+v, want it on n0>counter, and acting after it was set", record)
		}
	}
}

// A cut longer than maxCutDelay resets its connection instead of delivering data late. A connection opened during the
// cut is reset too.
func TestLongCut(t *testing.T) {
	network, link, conn := newTCPLink(t)
	mustExchange(t, conn, "hello")
	inject(t, network, "n0", "counter", "cut 1200ms")
	io.WriteString(conn, "too late")
	second, err := net.Dial("tcp", link.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	io.WriteString(second, "too late")
	for _, c := range []net.Conn{conn, second} {
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		var netErr net.Error
		if size, err := c.Read(make([]byte, 10)); err == nil || errors.Is(err, io.EOF) && size > 0 {
			t.Fatal("data was delivered after a long cut")
		} else if errors.As(err, &netErr) && netErr.Timeout() {
			t.Fatal("the connection was not reset")
		}
	}
}

// A reset ends all connections. A closed link accepts none.
func TestReset(t *testing.T) {
	network, link, conn := newTCPLink(t)
	mustExchange(t, conn, "hello")
	inject(t, network, "n0", "counter", "reset")
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Fatal("the connection was not reset")
	}
	for end := time.Now().Add(5 * time.Second); countActions(network, Reset) != 1; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got the records %+v, want one reset", network.FaultRecords())
		}
	}
	link.Close()
	if second, err := net.Dial("tcp", link.Addr()); err == nil {
		second.Close()
		t.Fatal("the closed link still listens")
	}
}

// A throttled stream passes no faster than its rate.
func TestThrottle(t *testing.T) {
	network, _, conn := newTCPLink(t)
	mustExchange(t, conn, "x")
	inject(t, network, "n0", "counter", "throttle 1000 10s")
	began := time.Now()
	for range 3 {
		mustExchange(t, conn, strings.Repeat("x", 100))
	}
	if took := time.Since(began); took < 280*time.Millisecond {
		t.Fatalf("300 bytes at 1,000 a second passed in %v", took)
	}
}

// newUDPLink returns a link for datagrams from n0 to n1, with the sockets of its receiver and its sender.
func newUDPLink(t *testing.T) (network *Network, receiver net.PacketConn, sender net.Conn) {
	t.Helper()
	receiver, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { receiver.Close() })
	network = New(2, clock())
	t.Cleanup(network.Close)
	addr, err := network.AddUDPLink("n0", "n1", "127.0.0.1", receiver.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	if sender, err = net.Dial("udp4", addr); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { sender.Close() })
	return network, receiver, sender
}

// payload is what each datagram carries after its number.
var payload = []byte{1, 2, 3, 4, 5, 6, 7}

// transmit sends count datagrams, each with its number and payload, and returns those that arrive until there is a
// pause.
func transmit(sender net.Conn, receiver net.PacketConn, count int) (received [][]byte) {
	for i := range count {
		sender.Write(append([]byte{byte(i)}, payload...))
	}
	buffer := make([]byte, 100)
	for wait := 2 * time.Second; ; wait = 100 * time.Millisecond {
		receiver.SetReadDeadline(time.Now().Add(wait))
		size, _, err := receiver.ReadFrom(buffer)
		if err != nil {
			return received
		}
		received = append(received, bytes.Clone(buffer[:size]))
	}
}

// reordered reports whether a datagram did not arrive at the position of its number.
func reordered(received [][]byte) bool {
	for i, datagram := range received {
		if int(datagram[0]) != i {
			return true
		}
	}
	return false
}

// corrupted reports whether a payload was changed.
func corrupted(received [][]byte) bool {
	return slices.ContainsFunc(received, func(datagram []byte) bool { return !bytes.Equal(datagram[1:], payload) })
}

// Datagrams are lost, duplicated, swapped and corrupted as the faults say.
func TestDatagrams(t *testing.T) {
	network, receiver, sender := newUDPLink(t)
	if received := transmit(sender, receiver, 20); len(received) != 20 {
		t.Fatalf("got %d of 20 datagrams without a fault", len(received))
	}
	for text, want := range map[string]func(received [][]byte) bool{
		"cut 600ms":         func(received [][]byte) bool { return len(received) == 0 },
		"drop 0.5 300ms":    func(received [][]byte) bool { return len(received) > 0 && len(received) < 20 },
		"repeat 0.5 300ms":  func(received [][]byte) bool { return len(received) > 20 && len(received) < 40 },
		"swap 0.5 300ms":    reordered,
		"corrupt 0.5 300ms": corrupted,
	} {
		fault := inject(t, network, "n0", "n1", text)
		if received := transmit(sender, receiver, 20); !want(received) {
			t.Errorf("%s: got %d datagrams: %v", text, len(received), received)
		}
		if countActions(network, fault.Kind) == 0 {
			t.Errorf("%s left no record", text)
		}
		time.Sleep(fault.For)
	}
}

// A link to a name without a process refuses datagrams from its own address, as the process's host would. It forwards
// them again when there is a process. Nothing comes back while the direction is cut.
func TestSetServing(t *testing.T) {
	network, receiver, sender := newUDPLink(t)
	refused := func() bool {
		sender.Write([]byte("x"))
		sender.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		_, err := sender.Read(make([]byte, 1))
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	for i, c := range []struct {
		to      string
		serving bool
		want    bool
	}{
		{"n1", true, false},
		{"n1", false, true},
		{"n1", false, true},
		{"n1", true, false},
		{"n0", false, false},
	} {
		if err := network.SetServing(c.to, c.serving); err != nil {
			t.Fatal(err)
		}
		if got := refused(); got != c.want {
			t.Errorf("step %d: got refused %v, want %v", i, got, c.want)
		}
	}
	inject(t, network, "n0", "n1", "cut 1m")
	if err := network.SetServing("n1", false); err != nil {
		t.Fatal(err)
	}
	if refused() {
		t.Error("a datagram was refused though its direction is cut")
	}
	buffer := make([]byte, 10)
	for range 2 { // the datagrams sent while there was a process
		receiver.SetReadDeadline(time.Now().Add(2 * time.Second))
		if _, _, err := receiver.ReadFrom(buffer); err != nil {
			t.Error(err)
		}
	}
}

// An invalid fault is an error that names the wrong part.
func TestParseFails(t *testing.T) {
	for text, want := range map[string]string{
		"":              "nothing",
		"explode 1s":    `"explode" is nothing`,
		"cut":           "cut wants 1 words",
		"cut soon":      `"soon" is no duration`,
		"cut 0s":        `"0s" is no duration`,
		"drop 2 1s":     `"2" is out of range`,
		"drop x 1s":     `"x" is out of range`,
		"delay x 1s":    `"x" is no duration`,
		"reset now":     "reset wants 0 words",
		"throttle 0 1s": `"0" is out of range`,
	} {
		if _, err := Parse(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %q", text, err, want)
		}
	}
}

// A fault between names without a link is an error.
func TestInjectFails(t *testing.T) {
	network := New(1, clock())
	defer network.Close()
	err := network.Inject([]string{"n0"}, []string{"n1"}, Fault{Kind: Cut, For: time.Second})
	if want := "there is no link from n0 to n1"; err == nil || err.Error() != want {
		t.Errorf("got %v, want %s", err, want)
	}
}
