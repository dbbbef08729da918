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
	slowEnv    = "STORE_BENCH_SLOW" // each answer takes 1 ms more
)

// TestMain is a stand-in where it was started as one: its CPU must not count as the store's.
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
			s.Fault(fault.Rule{Kind: fault.Delay, On: "EVALSHA", By: time.Millisecond})
		}
	case "tally":
		s, err := standtally.Start("", 1)
		if err != nil {
			panic(err)
		}
		addr = s.Addr()
		if slow {
			s.Fault(fault.Rule{Kind: fault.Delay, By: time.Millisecond})
		}
	}
	fmt.Println(addr)
	os.Stdin.Read(make([]byte, 1)) // until the benchmark ends
}

// standIn starts a stand-in as a process of its own.
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
		cmd.Wait()
	})
	if _, err := fmt.Fscan(bufio.NewReader(out), &addr); err != nil {
		b.Fatal(err)
	}
	return addr
}

func cpu() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkAdds keeps so many adds in flight and tells adds a second, CPU of this process for each and allocations.
func BenchmarkAdds(b *testing.B) {
	for _, c := range []struct {
		flying int
		slow   bool // both stand-ins answer after a millisecond, so that both wait for the same
	}{{1, false}, {1, true}, {64, false}, {512, false}} {
		for _, kind := range []string{"tally", "redis"} {
			flying := c.flying
			b.Run(fmt.Sprintf("%s/flying=%d/slow=%v", kind, flying, c.slow), func(b *testing.B) {
				addr := standIn(b, kind, c.slow)
				free := make(chan struct{}, flying)
				for range flying {
					free <- struct{}{}
				}
				var lost int
				sink := func(k *store.Call, r store.Result) {
					if !r.Seen {
						lost++
					}
					free <- struct{}{}
				}
				var c store.Counter = tally.New(addr, time.Second, sink)
				if kind == "redis" {
					r, err := redis.New(redis.Options{Address: addr, Prefix: "bench", Timeout: time.Second}, storetest.DiscardLogger, sink)
					if err != nil {
						b.Fatal(err)
					}
					c = r
				}
				ctx, cancel := context.WithCancel(context.Background())
				var wg sync.WaitGroup
				wg.Go(func() { c.Run(ctx) })
				names := make([]string, 200)
				for i := range names {
					names[i] = fmt.Sprintf("%016x:%d", i, 6)
				}
				b.ReportAllocs()
				b.ResetTimer()
				before := cpu()
				for i := range b.N {
					<-free
					c.Add(&store.Call{Name: names[i%len(names)], Amount: 1.5, TTL: time.Minute})
				}
				for range flying {
					<-free
				}
				took := cpu() - before
				b.StopTimer()
				cancel()
				wg.Wait()
				b.ReportMetric(float64(took.Nanoseconds())/float64(b.N), "cpu-ns/add")
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "adds/s")
				if lost > 0 {
					b.Fatalf("%d adds were not confirmed", lost)
				}
			})
		}
	}
}

// BenchmarkRequest is a whole ingress in this process between a client and a node that allocate nothing, with the store's
// stand-in as a process of its own: what is allocated for a request is the ingress's.
func BenchmarkRequest(b *testing.B) {
	for _, kind := range []string{"tally", "redis"} {
		b.Run(kind, func(b *testing.B) {
			addr := standIn(b, kind, false)
			node, agent := silentPeers(b)
			cfg := ingress.Config{Listen: "127.0.0.1:0", Counter: addr, Config: core.Config{
				Discovery: agent, Sockets: 256,
				Known: discovery.List{Rev: 1, Complete: true, Targets: []discovery.Target{{UID: "s", Endpoint: node, State: "SERVING"}}},
				Settings: policy.Settings{
					Instances: 1, MaxAttempts: 1, MayCancel: true, MaxUnits: 4, Counter: true, CounterTimeout: time.Second,
					Classes: []policy.Class{{Name: "read", PriorityWeight: 1, LatencyObjective: 10 * time.Second, Deadline: 20 * time.Second, Effect: policy.Safe}},
					Plans:   []policy.Plan{{Name: "p", Price: 1, Rate: 1e6, Burst: 1e5}},
				},
				Connections: settings.Connections{Idle: time.Minute, ConnectTimeout: time.Second},
			}}
			if kind == "redis" {
				cfg.Store = func(sink store.Sink) (store.Counter, error) {
					return redis.New(redis.Options{Address: addr, Prefix: "bench", Timeout: time.Second}, storetest.DiscardLogger, sink)
				}
			}
			g, err := ingress.New(cfg, storetest.DiscardLogger)
			if err != nil {
				b.Fatal(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go func() { done <- g.Run(ctx) }()
			<-g.Ready()
			nc, err := net.Dial("tcp", g.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			fields := "c=read,t=p,d=9000,units=1,spread=1,first=0"
			command := []byte(fmt.Sprintf("*4\r\n$5\r\nQ.ASK\r\n$16\r\n00000000b4d65521\r\n$16\r\n0000000000000000\r\n$%d\r\n%s\r\n", len(fields), fields))
			id := command[bytes.Index(command, []byte("0000000000000000\r\n")):][:16]
			var in [64]byte
			b.ReportAllocs()
			b.ResetTimer()
			before := cpu()
			for i := range b.N {
				for j, n := 15, i; j >= 0; j, n = j-1, n>>4 {
					id[j] = "0123456789abcdef"[n&15]
				}
				if _, err := nc.Write(command); err != nil {
					b.Fatal(err)
				}
				if n, err := nc.Read(in[:]); err != nil || in[0] != '$' {
					b.Fatalf("%q %v", in[:n], err)
				}
			}
			took := cpu() - before
			b.StopTimer()
			b.ReportMetric(float64(took.Nanoseconds())/float64(b.N), "cpu-ns/req")
			nc.Close()
			cancel()
			<-done
		})
	}
}

// silentPeers are a node that answers whatever comes with one value, and a registry that says nothing.
func silentPeers(b *testing.B) (node, agent string) {
	return scripted.Listen(b, func(nc net.Conn) {
		var in [1024]byte
		answer := []byte(scripted.Served)
		for {
			if _, err := nc.Read(in[:]); err != nil {
				return
			}
			if _, err := nc.Write(answer); err != nil {
				return
			}
		}
	}), scripted.Listen(b, func(nc net.Conn) { nc.Read(make([]byte, 1)) })
}
