package cost

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// startProxy serves until the test ends.
func startProxy(t *testing.T, backends ...string) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- ServeProxy(ctx, ln, backends) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String()
}

// The proxy passes commands and answers on as they are, keeps connections, and takes the backends in turn.
func TestProxyForwards(t *testing.T) {
	c := testConfig()
	b, err := startBackends(&c, Build{Name: Bare}, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer b.close()
	m := phase(t, startProxy(t, b.addresses()...), 60)
	if m.Served != 60 || m.Foreign != 0 || m.Void != "" {
		t.Fatalf("%+v", m)
	}
	records := b.fleet.Records(0)
	at := map[string]int{}
	for _, r := range records {
		at[r.Backend]++
	}
	if len(records) != 60 || len(at) != c.Backends || at["backend-000"] != 20 {
		t.Errorf("%d came: %v", len(records), at)
	}
	if n := b.acceptedConnections(); n > 2*c.Backends { // two clients, one request each at a time
		t.Errorf("%d connections for 2 clients and %d backends", n, c.Backends)
	}
}

// A command or an answer that comes in pieces, or is longer than the buffer, is passed on whole.
func TestProxyPieces(t *testing.T) {
	long := strings.Repeat("x", 3*proxyBuffer)
	addr := startProxy(t, server(t, func(_ int, id string) string {
		return fmt.Sprintf("$%d\r\n%s\r\n", len(id), id)
	}))
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(10 * time.Second))
	text := fmt.Sprintf("*3\r\n$1\r\na\r\n$1\r\nb\r\n$%d\r\n%s\r\n", len(long), long)
	for _, piece := range []string{text[:3], text[3:20], text[20:5000], text[5000:] + ping} {
		io.WriteString(nc, piece)
	}
	in := bufio.NewReader(nc)
	how, value, err := readAnswer(in)
	if err != nil || how != served || value != long {
		t.Fatal(how, len(value), err)
	}
	if line, err := in.ReadString('\n'); err != nil || line != pong {
		t.Fatal(line, err)
	}
}

// A backend that cannot be reached ends the client's connection and not the proxy; what is no RESP does the same.
func TestProxyFailures(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	addr := startProxy(t, ln.Addr().String())
	for _, text := range []string{command("0000000000000001", "0000000000000002"), "nonsense\r\n"} {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		nc.SetDeadline(time.Now().Add(10 * time.Second))
		io.WriteString(nc, text)
		if b, _ := io.ReadAll(nc); len(b) > 0 {
			t.Errorf("%q: %q", text, b)
		}
		nc.Close()
	}
	if !answersPing(addr) {
		t.Error("the proxy has ended")
	}
	if err := ServeProxy(t.Context(), ln, nil); err == nil {
		t.Error("a proxy without backends serves")
	}
}

// The rig measures the bare proxy as a process: CPU, memory, connections, and a median just over the backends'
// work.
func TestMeasureBare(t *testing.T) {
	c := testConfig()
	c.Warm, c.Length = 100*ms, 400*ms
	m, err := measureTurn(t.Context(), &c, turn{0, 200, Build{Name: Bare}})
	if err != nil {
		t.Fatal(err)
	}
	if m.Sent != 80 || m.Served != 80 || m.Rejected != 0 ||
		m.Failed != 0 { // void it may be: a busy machine makes the load late
		t.Fatalf("%+v", m)
	}
	if m.P50 < 1 || m.P99 < m.P50 || m.CPU <= 0 || m.PeakMB <= 0 || m.Opened < c.Backends || m.Switches <= 0 {
		t.Errorf("%+v", m)
	}
}

// A program that does not start is one error that names it.
func TestMeasureNoProgram(t *testing.T) {
	c := testConfig()
	if _, err := measureTurn(
		t.Context(),
		&c,
		turn{0, 200, Build{"new", "/no/such/program"}},
	); err == nil ||
		!strings.Contains(err.Error(), "build new, program /no/such/program") {
		t.Fatal(err)
	}
}

// Second answers come to builds and not to the bare proxy, which cannot distinguish them from the first.
func TestSecondAnswers(t *testing.T) {
	c := testConfig()
	c.SecondLate, c.SecondShare = 0, 1
	for name, want := range map[string]int{Bare: 1, "new": 2} {
		b, err := startBackends(&c, Build{Name: name}, 1)
		if err != nil {
			t.Fatal(err)
		}
		nc, err := net.Dial("tcp", b.addresses()[0])
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(nc, command("0000000000000001", "0000000000000002")+ping)
		text := ""
		for in := bufio.NewReader(nc); !strings.HasSuffix(text, pong); {
			line, err := in.ReadString('\n')
			if err != nil {
				t.Fatal(err)
			}
			text += line
		}
		nc.Close()
		b.close()
		if got := strings.Count(text, "value of"); got != want {
			t.Errorf("%s: %d answers, want %d", name, got, want)
		}
	}
}

// The account of a process follows what it does.
func TestAccount(t *testing.T) {
	before, err := readProcessUsage(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	for began := time.Now(); time.Since(began) < 20*ms; {
	}
	after, err := readProcessUsage(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if after.cpu <= before.cpu || after.peakKB < 1000 || after.switches < 0 {
		t.Errorf("%+v, then %+v", before, after)
	}
	if _, err := readProcessUsage(1 << 30); err == nil {
		t.Error("a process that isn't there has an account")
	}
	if _, err := statusField("VmHWM:\nx: 1\n", "VmHWM:"); err == nil {
		t.Error("a field without a value is a number")
	}
}
