package store_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"hitchspring/internal/core"
	"hitchspring/internal/discovery"
	"hitchspring/internal/ingress"
	"hitchspring/internal/settings"
	"hitchspring/internal/standin/fault"
	standredis "hitchspring/internal/standin/redis"
	"hitchspring/internal/standin/scripted"
	standtally "hitchspring/internal/standin/tally"
	"hitchspring/internal/store"
	"hitchspring/internal/store/redis"
	"hitchspring/internal/store/storetest"
	"hitchspring/internal/store/tally"
	"hitchspring/policy"
)

const (
	standinEnv = "STORE_BENCH_STANDIN"
	slowEnv    = "STORE_BENCH_SLOW" // adds 1 ms to each reply of the stand-in
)

// TestMain runs a stand-in if the process was started as one by a benchmark. Stand-ins run in a process of their own
// so that their CPU time is not counted as the store's.
func TestMain(m *testing.M) {
	var addr string
	slow := os.Getenv(slowEnv) != ""
	switch kind := os.Getenv(standinEnv); kind {
	case "":
		os.Exit(m.Run())
	case "redis":
		s, err := standredis.Start(standredis.Options{})
		if err != nil {
			panic(err)
		}
		addr = s.Addr()
		if slow {
			s.Fault(fault.Rule{Kind: fault.Delay, CallName: "EVALSHA", DelayTime: time.Millisecond})
		}
	case "tally":
		s, err := standtally.Start("", 1)
		if err != nil {
			panic(err)
		}
		addr = s.Addr()
		if slow {
			s.Fault(fault.Rule{Kind: fault.Delay, DelayTime: time.Millisecond})
		}
	}
	fmt.Println(addr)
	_, _ = os.Stdin.Read(make([]byte, 1)) // blocks until the benchmark closes stdin
}

// standIn starts a stand-in in a separate process and returns its address.
func standIn(b *testing.B, kind string, slow bool) (addr string) {
	b.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), standinEnv+"="+kind)
	if slow {
		cmd.Env = append(cmd.Env, slowEnv+"=1")
	}
	in, err := cmd.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		in.Close()
		if err := cmd.Wait(); err != nil {
			b.Error(err)
		}
	})
	if _, err := fmt.Fscan(bufio.NewReader(out), &addr); err != nil {
		b.Fatal(err)
	}
	return addr
}

// cpuTime returns the user and system CPU time that this process has used so far.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// newCounter returns a client for a stand-in of the given kind.
func newCounter(kind, addr string, sink store.Sink) (store.Counter, error) {
	if kind == "redis" {
		options := redis.Options{Address: addr, Prefix: "bench", Timeout: time.Second}
		return redis.New(options, storetest.DiscardLogger, sink)
	}
	return tally.New(addr, time.Second, sink), nil
}

// BenchmarkAdds keeps a fixed number of adds in flight. It reports adds per second, and this process's CPU time and
// allocations per add.
func BenchmarkAdds(b *testing.B) {
	for _, c := range []struct {
		inFlight int
		slow     bool // both stand-ins reply after 1 ms, so that both clients wait equally long
	}{{1, false}, {1, true}, {64, false}, {512, false}} {
		for _, kind := range []string{"tally", "redis"} {
			b.Run(fmt.Sprintf("%s/flying=%d/slow=%v", kind, c.inFlight, c.slow), func(b *testing.B) {
				benchmarkAdds(b, kind, standIn(b, kind, c.slow), c.inFlight)
			})
		}
	}
}

func benchmarkAdds(b *testing.B, kind, addr string, inFlight int) {
	b.Helper()
	free := make(chan struct{}, inFlight)
	for range inFlight {
		free <- struct{}{}
	}
	var lost int
	sink := func(_ *store.Call, result store.Result) {
		if !result.HasTotal {
			lost++
		}
		free <- struct{}{}
	}
	counter, err := newCounter(kind, addr, sink)
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { counter.Run(ctx) })
	names := make([]string, 200)
	for i := range names {
		names[i] = fmt.Sprintf("%016x:%d", i, 6)
	}
	b.ReportAllocs()
	b.ResetTimer()
	before := cpuTime(b)
	for i := range b.N {
		<-free
		counter.Add(&store.Call{Name: names[i%len(names)], Amount: 1.5, TTL: time.Minute})
	}
	for range inFlight {
		<-free
	}
	took := cpuTime(b) - before
	b.StopTimer()
	cancel()
	wg.Wait()
	b.ReportMetric(float64(took.Nanoseconds())/float64(b.N), "cpu-ns/add")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "adds/s")
	if lost > 0 {
		b.Fatalf("%d adds were not confirmed", lost)
	}
}

// BenchmarkRequest runs a complete ingress in this process between a client and a backend that do not allocate, with
// the store's stand-in in a separate process. All allocations per request are therefore those of the ingress.
func BenchmarkRequest(b *testing.B) {
	for _, kind := range []string{"tally", "redis"} {
		b.Run(kind, func(b *testing.B) { benchmarkRequest(b, kind, standIn(b, kind, false)) })
	}
}

// requestConfig returns the configuration of an ingress with one backend and a shared counter at addr.
func requestConfig(b *testing.B, kind, addr string) ingress.Config {
	b.Helper()
	backend, agent := silentPeers(b)
	cfg := ingress.Config{Listen: "127.0.0.1:0", Counter: addr, Config: core.Config{
		Discovery: agent,
		Sockets:   256,
		InitialEndpoints: discovery.List{
			Rev:      1,
			Complete: true,
			Targets:  []discovery.Target{{UID: "s", Endpoint: backend, State: "SERVING"}},
		},
		Settings: policy.Settings{
			Instances:      1,
			MaxAttempts:    1,
			MayCancel:      true,
			MaxUnits:       4,
			Counter:        true,
			CounterTimeout: time.Second,
			Classes: []policy.Class{{
				Name:             "read",
				PriorityWeight:   1,
				LatencyObjective: 10 * time.Second,
				Deadline:         20 * time.Second,
				Effect:           policy.Safe,
			}},
			Plans: []policy.Plan{{Name: "p", Price: 1, Rate: 1e6, Burst: 1e5}},
		},
		Connections: settings.Connections{Idle: time.Minute, ConnectTimeout: time.Second},
	}}
	if kind == "redis" {
		cfg.NewCounter = func(sink store.Sink) (store.Counter, error) { return newCounter(kind, addr, sink) }
	}
	return cfg
}

func benchmarkRequest(b *testing.B, kind, addr string) {
	b.Helper()
	instance, err := ingress.New(requestConfig(b, kind, addr), storetest.DiscardLogger)
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- instance.Run(ctx) }()
	<-instance.Ready()
	nc, err := net.Dial("tcp", instance.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	const (
		fields    = "c=read,t=p,d=9000,units=1,spread=1,first=0"
		requestID = "0000000000000000"
	)
	command := fmt.Appendf(nil, "*4\r\n$5\r\nQ.ASK\r\n$16\r\n00000000b4d65521\r\n$16\r\n%s\r\n$%d\r\n%s\r\n",
		requestID, len(fields), fields)
	id := command[bytes.Index(command, []byte(requestID+"\r\n")):][:len(requestID)]
	var reply [64]byte
	b.ReportAllocs()
	b.ResetTimer()
	before := cpuTime(b)
	for i := range b.N {
		for digit, rest := len(id)-1, i; digit >= 0; digit, rest = digit-1, rest>>4 {
			id[digit] = "0123456789abcdef"[rest&15]
		}
		if _, err := nc.Write(command); err != nil {
			b.Fatal(err)
		}
		if n, err := nc.Read(reply[:]); err != nil || reply[0] != '$' {
			b.Fatalf("%q %v", reply[:n], err)
		}
	}
	took := cpuTime(b) - before
	b.StopTimer()
	b.ReportMetric(float64(took.Nanoseconds())/float64(b.N), "cpu-ns/req")
	nc.Close()
	cancel()
	if err := <-done; err != nil {
		b.Error(err)
	}
}

// silentPeers starts a backend that sends the same reply to every request, and a discovery agent that never replies.
func silentPeers(b *testing.B) (backend, agent string) {
	b.Helper()
	backend = scripted.Listen(b, func(nc net.Conn) {
		var buf [1024]byte
		reply := []byte(scripted.Served)
		for {
			if _, err := nc.Read(buf[:]); err != nil {
				return
			}
			if _, err := nc.Write(reply); err != nil {
				return
			}
		}
	})
	agent = scripted.Listen(b, func(nc net.Conn) { _, _ = nc.Read(make([]byte, 1)) })
	return backend, agent
}
