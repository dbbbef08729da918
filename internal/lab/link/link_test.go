package link

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func clock() func() time.Duration {
	began := time.Now()
	return func() time.Duration { return time.Since(began) }
}

// echo is a target that sends back what comes.
func echo(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				io.Copy(c, c)
				c.Close()
			}()
		}
	}()
	t.Cleanup(func() {
		ln.Close()
		<-done
	})
	return ln.Addr().String()
}

func stream(t *testing.T) (*Network, *TCPLink, net.Conn) {
	n := New(1, clock())
	t.Cleanup(n.Close)
	s, err := n.AddTCPLink("n0", "counter", "127.0.0.1", echo(t))
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return n, s, c
}

func say(t *testing.T, c net.Conn, text string, wait time.Duration) (string, error) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		return "", err
	}
	c.SetReadDeadline(time.Now().Add(wait))
	b := make([]byte, len(text))
	k, err := io.ReadFull(c, b)
	return string(b[:k]), err
}

func fault(t *testing.T, n *Network, from, to, text string) {
	t.Helper()
	f, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	if err := n.Inject([]string{from}, []string{to}, f); err != nil {
		t.Fatal(err)
	}
}

func acted(n *Network, k Kind) (times int) {
	for _, a := range n.FaultRecords() {
		if a.Fault.Kind == k {
			times += a.Count
		}
	}
	return times
}

// Each fault of a stream does what it says, in its own direction alone, and leaves a record; without any all passes.
func TestStream(t *testing.T) {
	n, _, c := stream(t)
	if got, err := say(t, c, "hello", 5*time.Second); got != "hello" {
		t.Fatal(got, err)
	}
	fault(t, n, "n0", "counter", "cut 400ms")
	if got, err := say(t, c, "held", 100*time.Millisecond); err == nil {
		t.Fatal("it passed a cut: ", got)
	}
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	b := make([]byte, 4)
	if _, err := io.ReadFull(c, b); err != nil || string(b) != "held" {
		t.Fatal("a short cut loses nothing: ", string(b), err)
	}
	fault(t, n, "counter", "n0", "corrupt 1 10s")
	if got, err := say(t, c, "corrupt me", 5*time.Second); got == "corrupt me" || len(got) != 10 || err != nil {
		t.Fatal(got, err)
	}
	if acted(n, Cut) == 0 || acted(n, Corrupt) == 0 {
		t.Fatal(n.FaultRecords())
	}
	for _, a := range n.FaultRecords() {
		if a.Fault.Kind == Cut && (a.Direction != "n0>counter" || a.FirstActedAt < a.SetAt) {
			t.Fatal(a)
		}
	}
}

// A long cut delivers nothing late: its connection is reset at its end, and one that was begun meanwhile as well.
func TestLongCut(t *testing.T) {
	n, s, c := stream(t)
	if got, err := say(t, c, "hello", 5*time.Second); got != "hello" {
		t.Fatal(got, err)
	}
	fault(t, n, "n0", "counter", "cut 1200ms")
	io.WriteString(c, "too late")
	d, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	io.WriteString(d, "too late")
	for _, x := range []net.Conn{c, d} {
		x.SetReadDeadline(time.Now().Add(5 * time.Second))
		if k, err := x.Read(make([]byte, 10)); err == nil || errors.Is(err, io.EOF) && k > 0 {
			t.Fatal("it was delivered")
		} else if ne := net.Error(nil); errors.As(err, &ne) && ne.Timeout() {
			t.Fatal("it was not reset")
		}
	}
}

// A reset ends all connections; a link whose target has gone takes none.
func TestReset(t *testing.T) {
	n, s, c := stream(t)
	if got, err := say(t, c, "hello", 5*time.Second); got != "hello" {
		t.Fatal(got, err)
	}
	fault(t, n, "n0", "counter", "reset")
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Fatal("it goes on")
	}
	for end := time.Now().Add(5 * time.Second); acted(n, Reset) != 1; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(n.FaultRecords())
		}
	}
	s.Close()
	if d, err := net.Dial("tcp", s.Addr()); err == nil {
		d.Close()
		t.Fatal("it still listens")
	}
}

// A stream that is throttled takes its time.
func TestThrottle(t *testing.T) {
	n, _, c := stream(t)
	say(t, c, "x", 5*time.Second)
	fault(t, n, "n0", "counter", "throttle 1000 10s")
	began := time.Now()
	for range 3 {
		if got, err := say(t, c, strings.Repeat("x", 100), 5*time.Second); len(got) != 100 {
			t.Fatal(err)
		}
	}
	if d := time.Since(began); d < 280*time.Millisecond {
		t.Fatal("300 bytes at 1,000 a second passed in ", d)
	}
}

// oneWay is a link for datagrams from n0 to n1, with a socket at each end.
func oneWay(t *testing.T) (n *Network, in net.PacketConn, out net.Conn) {
	t.Helper()
	in, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { in.Close() })
	n = New(2, clock())
	t.Cleanup(n.Close)
	at, err := n.AddUDPLink("n0", "n1", "127.0.0.1", in.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	if out, err = net.Dial("udp4", at); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { out.Close() })
	return n, in, out
}

// Datagrams are lost, doubled, swapped, spoilt and delayed as is asked.
func TestDatagrams(t *testing.T) {
	n, in, out := oneWay(t)
	// some is what comes within a while of so many that go out.
	some := func(k int) (got [][]byte) {
		for i := range k {
			out.Write([]byte{byte(i), 1, 2, 3, 4, 5, 6, 7})
		}
		b := make([]byte, 100)
		for wait := 2 * time.Second; ; wait = 100 * time.Millisecond {
			in.SetReadDeadline(time.Now().Add(wait))
			m, _, err := in.ReadFrom(b)
			if err != nil {
				return got
			}
			got = append(got, bytes.Clone(b[:m]))
		}
	}
	if got := some(20); len(got) != 20 {
		t.Fatal(len(got))
	}
	for text, fits := range map[string]func([][]byte) bool{
		"cut 600ms":        func(g [][]byte) bool { return len(g) == 0 },
		"drop 0.5 300ms":   func(g [][]byte) bool { return len(g) > 0 && len(g) < 20 },
		"repeat 0.5 300ms": func(g [][]byte) bool { return len(g) > 20 && len(g) < 40 },
		"swap 0.5 300ms": func(g [][]byte) bool {
			for i, x := range g {
				if int(x[0]) != i {
					return true
				}
			}
			return false
		},
		"corrupt 0.5 300ms": func(g [][]byte) bool {
			for _, x := range g {
				if !bytes.Equal(x[1:], []byte{1, 2, 3, 4, 5, 6, 7}) {
					return true
				}
			}
			return false
		},
	} {
		f, err := Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		if err := n.Inject([]string{"n0"}, []string{"n1"}, f); err != nil {
			t.Fatal(err)
		}
		if got := some(20); !fits(got) {
			t.Errorf("%s: %d came: %v", text, len(got), got)
		}
		if acted(n, f.Kind) == 0 {
			t.Errorf("%s left no record", text)
		}
		time.Sleep(f.For)
	}
}

// A link to a name that has no process turns datagrams back as its host would, from its own address, and carries them again when there is one;
// while the way is cut nothing comes back.
func TestTurnedBack(t *testing.T) {
	n, in, out := oneWay(t)
	refused := func() bool {
		out.Write([]byte("x"))
		out.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		_, err := out.Read(make([]byte, 1))
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	for i, c := range []struct {
		to    string
		there bool
		want  bool
	}{{"n1", true, false}, {"n1", false, true}, {"n1", false, true}, {"n1", true, false}, {"n0", false, false}} {
		if err := n.SetServing(c.to, c.there); err != nil {
			t.Fatal(err)
		}
		if refused() != c.want {
			t.Errorf("step %d: turned back: %v", i, !c.want)
		}
	}
	if err := n.Inject([]string{"n0"}, []string{"n1"}, Fault{Kind: Cut, For: time.Minute}); err != nil {
		t.Fatal(err)
	}
	n.SetServing("n1", false)
	if refused() {
		t.Error("a way that is cut has turned a datagram back")
	}
	b := make([]byte, 10)
	for range 2 { // what came while there was a process
		in.SetReadDeadline(time.Now().Add(2 * time.Second))
		if _, _, err := in.ReadFrom(b); err != nil {
			t.Error(err)
		}
	}
}

// What can't be done is one line, and a way that is not there is an error.
func TestBadFaults(t *testing.T) {
	for text, want := range map[string]string{
		"": "nothing", "explode 1s": `"explode" is nothing`, "cut": "cut wants 1 words", "cut soon": `"soon" is no duration`, "cut 0s": `"0s" is no duration`,
		"drop 2 1s": `"2" is out of range`, "drop x 1s": `"x" is out of range`, "delay x 1s": `"x" is no duration`, "reset now": "reset wants 0 words", "throttle 0 1s": `"0" is out of range`,
	} {
		if _, err := Parse(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
	n := New(1, clock())
	defer n.Close()
	if err := n.Inject([]string{"n0"}, []string{"n1"}, Fault{Kind: Cut, For: time.Second}); err == nil || err.Error() != "there is no link from n0 to n1" {
		t.Error(err)
	}
}
