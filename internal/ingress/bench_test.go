package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hitchspring/internal/standin/scripted"
)

// BenchmarkFronts compares the two fronts in one process: a request over RESP2,
// which the ingress forwards to a backend, and a call over HTTP with its report,
// where the caller forwards the request. Both results include the cost of the
// client. cpu-us is the user and system time of the process per request.
func BenchmarkFronts(b *testing.B) {
	cfg := authConfig(b, 8, func(c *Config) {
		for i := range c.Known.Targets {
			backend := scripted.NewBackend(b, func(int, []string, net.Conn) string { return servedReply })
			c.Known.Targets[i].Endpoint = backend.Addr
		}
		c.Discovery = scripted.Registry(b, c.Known, nil)
		c.Sockets, c.Leases.Retention, c.Leases.MaxRequests = 4096, time.Second, 1<<20
		c.Settings.MaxAttempts, c.Settings.Hedging = 1, false
		c.Settings.Classes[0].LatencyObjective, c.Settings.Classes[0].Deadline = time.Second, time.Second
	})
	instance, _ := runIngress(b, cfg)
	proxy := &http.Transport{MaxIdleConnsPerHost: 100}
	defer proxy.CloseIdleConnections()
	client := &http.Client{Transport: proxy}
	baseURL := "http://" + instance.AuthAddr().String()
	b.Run("resp", func(b *testing.B) { benchmarkRESP(b, instance.Addr().String()) })
	b.Run("http and report", func(b *testing.B) { benchmarkAuth(b, client, baseURL) })
	b.Run("http, bare", func(b *testing.B) { benchmarkBareHTTP(b, client, baseURL) })
}

// benchmarkID is the last request ID used over RESP2, by all runs.
var benchmarkID atomic.Int64

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// runMeasured runs body in parallel and reports the CPU time per operation.
func runMeasured(b *testing.B, body func(*testing.PB)) {
	b.Helper()
	before := cpuTime(b)
	b.ResetTimer()
	b.RunParallel(body)
	b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
}

func benchmarkRESP(b *testing.B, addr string) {
	runMeasured(b, func(pb *testing.PB) {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			b.Error(err)
			return
		}
		defer nc.Close()
		in := bufio.NewReader(nc)
		for pb.Next() {
			id := int(benchmarkID.Add(1))
			io.WriteString(nc, encodeRead(id, "c=read,t=p,d=900,units=1,spread=1,first=0"))
			head, err := in.ReadString('\n')
			if err == nil && head[0] == '$' {
				_, err = in.ReadString('\n')
			}
			if err != nil {
				b.Error(head, err)
				return
			}
		}
	})
}

// benchmarkAuth makes calls and reports their attempts. The quantiles cover the
// calls only, not the reports.
func benchmarkAuth(b *testing.B, client *http.Client, baseURL string) {
	var mu sync.Mutex
	var durations []time.Duration
	runMeasured(b, func(pb *testing.PB) {
		var own []time.Duration
		defer func() {
			mu.Lock()
			durations = append(durations, own...)
			mu.Unlock()
		}()
		for pb.Next() {
			duration, err := callAndReport(client, baseURL)
			if err != nil {
				b.Error(err)
				return
			}
			own = append(own, duration)
		}
	})
	if slices.Sort(durations); len(durations) > 0 {
		b.ReportMetric(float64(durations[len(durations)/2].Microseconds()), "ask-p50-us")
		b.ReportMetric(float64(durations[len(durations)*99/100].Microseconds()), "ask-p99-us")
	}
}

// callAndReport makes a call and, if it grants an attempt, reports the attempt as
// served. It returns the duration of the call.
func callAndReport(client *http.Client, baseURL string) (time.Duration, error) {
	req, err := http.NewRequest("GET", baseURL+"/x", nil)
	if err != nil {
		return 0, err
	}
	req.Header.Set("X-Hitch-Class", "read")
	req.Header.Set("X-Hitch-Plan", "p")
	req.Header.Set("X-Hitch-Channel", "b4d65521")
	began := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	duration := time.Since(began)
	lease := resp.Header.Get("X-Hitch-Lease")
	if lease == "" {
		return duration, nil
	}
	body := strings.NewReader(`{"outcome":"served"}`)
	resp, err = client.Post(baseURL+"/v1/attempts/"+lease, "application/json", body)
	if err != nil {
		return 0, err
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return duration, nil
}

// benchmarkBareHTTP measures the cost of net/http and its client alone.
func benchmarkBareHTTP(b *testing.B, client *http.Client, baseURL string) {
	runMeasured(b, func(pb *testing.PB) {
		for pb.Next() {
			resp, err := client.Get(baseURL + "/healthz")
			if err != nil {
				b.Error(err)
				return
			}
			resp.Body.Close()
		}
	})
}
