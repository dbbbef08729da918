package ingress

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"hitchspring/internal/core"
	"hitchspring/internal/discovery"
	"hitchspring/internal/settings"
	"hitchspring/policy"
)

// endpointList returns a complete list of serving backends s0, s1, ... at addrs.
func endpointList(addrs ...string) discovery.List {
	list := discovery.List{Rev: 1, Complete: true}
	for i, addr := range addrs {
		target := discovery.Target{UID: fmt.Sprint("s", i), Endpoint: addr, Zone: "a", State: "SERVING"}
		list.Targets = append(list.Targets, target)
	}
	return list
}

const servedReply = "*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"

func testClass(name string, effect policy.Effect) policy.Class {
	return policy.Class{
		Name:             name,
		PriorityWeight:   1,
		LatencyObjective: 20 * time.Second,
		Deadline:         60 * time.Second,
		Effect:           effect,
	}
}

func testConfig(discoveryAddr string, known discovery.List) Config {
	return Config{Listen: "127.0.0.1:0", Config: core.Config{
		Discovery: discoveryAddr, Sockets: 256, Known: known,
		Settings: policy.Settings{
			Instances: 1, MaxAttempts: 1, MayCancel: true, MaxUnits: 4,
			Classes: []policy.Class{
				testClass("read", policy.Safe),
				testClass("write", policy.Unsafe),
				testClass("keyed", policy.Keyed),
			},
			Plans: []policy.Plan{{Name: "p", Price: 1}},
		},
		Connections: settings.Connections{Idle: 15 * time.Second, ConnectTimeout: 5 * time.Second},
	}}
}

// startIngress runs an instance. It returns its address for clients, and a function
// that stops it and returns the result of Run.
func startIngress(t *testing.T, cfg Config) (addr string, stop func() error) {
	t.Helper()
	instance, stop := runIngress(t, cfg)
	return instance.Addr().String(), stop
}

func startInstance(t *testing.T, cfg Config) (addr string, instance *Instance) {
	t.Helper()
	instance, _ = runIngress(t, cfg)
	return instance.Addr().String(), instance
}

func runIngress(t testing.TB, cfg Config) (instance *Instance, stop func() error) {
	t.Helper()
	instance, stop = startWithoutWaiting(t, cfg)
	select {
	case <-instance.Ready():
	case <-time.After(10 * time.Second):
		t.Fatal("the ingress does not serve: ", stop())
	}
	return instance, stop
}

// requireStop stops an instance and fails the test if that is an error.
func requireStop(t testing.TB, stop func() error) {
	t.Helper()
	if err := stop(); err != nil {
		t.Error(err)
	}
}

// startWithoutWaiting runs an instance without waiting until it accepts clients.
func startWithoutWaiting(t testing.TB, cfg Config) (instance *Instance, stop func() error) {
	t.Helper()
	instance, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- instance.Run(ctx) }()
	stop = sync.OnceValue(func() error {
		cancel()
		return <-done
	})
	t.Cleanup(func() { _ = stop() }) // tests of the shutdown check its result themselves
	return instance, stop
}

// dial opens a client connection, whose reads fail a minute after it was opened.
func dial(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetReadDeadline(time.Now().Add(time.Minute))
	return nc, bufio.NewReader(nc)
}

func encodeCommand(args ...string) string {
	encoded := redcon.AppendArray(nil, len(args))
	for _, arg := range args {
		encoded = redcon.AppendBulkString(encoded, arg)
	}
	return string(encoded)
}

func encodeRead(id int, fields string) string {
	return encodeCommand("Q.ASK", "00000000b4d65521", fmt.Sprintf("%016x", id), fields)
}

const readFields = "c=read,t=p,d=50000,units=1,spread=1,first=0"

func readLine(t *testing.T, reader *bufio.Reader) string {
	t.Helper()
	text, err := reader.ReadString('\n')
	if err != nil {
		t.Fatalf("read %q: %v", text, err)
	}
	return strings.TrimRight(text, "\r\n")
}

func requireValue(t *testing.T, reader *bufio.Reader) {
	t.Helper()
	if a, b := readLine(t, reader), readLine(t, reader); a != "$5" || b != "value" {
		t.Fatalf("answer %q %q, want the backend's value", a, b)
	}
}
