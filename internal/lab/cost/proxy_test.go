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

// startProxy starts the bare proxy, which runs until the test ends.
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

// The proxy forwards commands and answers unchanged, reuses connections, and selects backends round robin.
func TestProxyForwards(t *testing.T) {
	c := testConfig()
	b, err := startBackends(&c, Build{Name: BareProxy}, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer b.close()
	m := runTestPhase(t, startProxy(t, b.addresses()...), 60)
	if m.Served != 60 || m.Mismatched != 0 || m.Void != "" {
		t.Fatalf("%+v", m)
	}
	records := b.fleet.Records(0)
	at := map[string]int{}
	for _, r := range records {
		at[r.Backend]++
	}
	if len(records) != 60 || len(at) != c.Backends || at["backend-000"] != 20 {
		t.Errorf("got %d commands at the backends, by backend %v, want 60, and 20 each", len(records), at)
	}
	if n := b.acceptedConnections(); n > 2*c.Backends { // two clients, each with one request in flight
		t.Errorf("got %d connections for 2 clients and %d backends, want at most two for each backend", n, c.Backends)
	}
}

// Commands and answers that arrive in fragments or exceed the buffer are forwarded completely.
func TestProxyForwardsFragmentedValues(t *testing.T) {
	long := strings.Repeat("x", 3*proxyBuffer)
	addr := startProxy(t, startTestServer(t, func(_ int, id string) string {
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
	result, value, err := readAnswer(in)
	if err != nil || result != served || value != long {
		t.Fatal(result, len(value), err)
	}
	if line, err := in.ReadString('\n'); err != nil || line != pong {
		t.Fatal(line, err)
	}
}

// An unreachable backend or malformed input closes the client's connection, but the proxy goes on serving.
func TestProxySurvivesFailures(t *testing.T) {
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
		t.Error("the proxy does not answer PING any more")
	}
	if err := ServeProxy(t.Context(), ln, nil); err == nil {
		t.Error("got no error for a proxy without backends")
	}
}

// A measurement of the bare proxy in a process of its own has plausible latencies, CPU time, memory and connections.
func TestMeasureBare(t *testing.T) {
	c := testConfig()
	c.WarmUp, c.Length = 100*ms, 400*ms
	m, err := measureSlot(t.Context(), &c, measurementSlot{0, 200, Build{Name: BareProxy}})
	if err != nil {
		t.Fatal(err)
	}
	if m.Sent != 80 || m.Served != 80 || m.Rejected != 0 ||
		m.Failed != 0 { // Void is not checked: on a busy machine the load may be late
		t.Fatalf("%+v", m)
	}
	if m.P50 < 1 || m.P99 < m.P50 || m.CPU <= 0 || m.PeakMB <= 0 || m.ConnectionsOpened < c.Backends ||
		m.Switches <= 0 {
		t.Errorf("%+v", m)
	}
}

// The error for a program that does not start names the build and the program.
func TestMeasureMissingProgram(t *testing.T) {
	c := testConfig()
	if _, err := measureSlot(
		t.Context(),
		&c,
		measurementSlot{0, 200, Build{"new", "/no/such/program"}},
	); err == nil ||
		!strings.Contains(err.Error(), "build new, program /no/such/program") {
		t.Fatal(err)
	}
}

// Backends answer twice for builds, but not for the bare proxy, which cannot tell a second answer from the next one.
func TestSecondAnswers(t *testing.T) {
	c := testConfig()
	c.SecondAnswerDelay, c.SecondAnswerFraction = 0, 1
	for name, want := range map[string]int{BareProxy: 1, "new": 2} {
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

// The reported usage of a process grows with its work, and unreadable usage is an error.
func TestReadProcessUsage(t *testing.T) {
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
	if after.cpu <= before.cpu || after.peakKB < 1000 || after.contextSwitches < 0 {
		t.Errorf("%+v, then %+v", before, after)
	}
	if _, err := readProcessUsage(1 << 30); err == nil {
		t.Error("got no error for a process that does not exist")
	}
	if _, err := statusField("VmHWM:\nx: 1\n", "VmHWM:"); err == nil {
		t.Error("got no error for a field without a value")
	}
}
