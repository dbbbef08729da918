package ingress

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hitchspring/internal/standin/scripted"
)

// BenchmarkFronts puts the two fronts side by side in one process and one run: a request over RESP2, which the ingress sends to
// a node itself, and a call over HTTP with its report, where the caller would send it. Both figures hold the client's own
// cost; cpu-us is user and system time of the whole process for one.
func BenchmarkFronts(b *testing.B) {
	cfg := authConfig(b, 8, func(c *Config) {
		for i := range c.Known.Targets {
			c.Known.Targets[i].Endpoint = scripted.NewBackend(b, func(int, []string, net.Conn) string { return servedReply }).Addr
		}
		c.Discovery = scripted.Registry(b, c.Known, nil)
		c.Sockets, c.Leases.Retention, c.Leases.MaxRequests = 4096, time.Second, 1<<20
		c.Settings.MaxAttempts, c.Settings.Hedging = 1, false
		c.Settings.Classes[0].LatencyObjective, c.Settings.Classes[0].Deadline = time.Second, time.Second
	})
	instance, _ := runIngress(b, cfg)
	var id atomic.Int64
	cpu := func() time.Duration {
		var u syscall.Rusage
		syscall.Getrusage(syscall.RUSAGE_SELF, &u)
		return time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	measure := func(b *testing.B, one func(*testing.PB)) {
		before := cpu()
		b.ResetTimer()
		b.RunParallel(one)
		b.ReportMetric(float64((cpu()-before).Microseconds())/float64(b.N), "cpu-us/op")
	}
	b.Run("resp", func(b *testing.B) {
		measure(b, func(pb *testing.PB) {
			nc, err := net.Dial("tcp", instance.Addr().String())
			if err != nil {
				b.Error(err)
				return
			}
			defer nc.Close()
			in := bufio.NewReader(nc)
			for pb.Next() {
				io.WriteString(nc, encodeCommand("Q.ASK", "00000000b4d65521", fmt.Sprintf("%016x", id.Add(1)), "c=read,t=p,d=900,units=1,spread=1,first=0"))
				if l, err := in.ReadString('\n'); err != nil || l[0] == '$' && func() bool { _, err := in.ReadString('\n'); return err != nil }() {
					b.Error(l, err)
					return
				}
			}
		})
	})
	tr := &http.Transport{MaxIdleConnsPerHost: 100}
	defer tr.CloseIdleConnections()
	client := &http.Client{Transport: tr}
	base := "http://" + instance.AuthAddr().String()
	body := []byte(`{"outcome":"served"}`)
	http1 := func(b *testing.B, report bool) {
		var mu sync.Mutex
		var took []time.Duration
		measure(b, func(pb *testing.PB) {
			var mine []time.Duration
			defer func() {
				mu.Lock()
				took = append(took, mine...)
				mu.Unlock()
			}()
			for pb.Next() {
				req, _ := http.NewRequest("GET", base+"/x", nil)
				req.Header = http.Header{"X-Hitch-Class": {"read"}, "X-Hitch-Plan": {"p"}, "X-Hitch-Channel": {"b4d65521"}}
				began := time.Now()
				resp, err := client.Do(req)
				if err != nil {
					b.Error(err)
					return
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				mine = append(mine, time.Since(began))
				lease := resp.Header.Get("X-Hitch-Lease")
				if !report || lease == "" {
					continue
				}
				if resp, err = client.Post(base+"/v1/attempts/"+lease, "application/json", bytes.NewReader(body)); err != nil {
					b.Error(err)
					return
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
		})
		if slices.Sort(took); len(took) > 0 { // of the call alone, its report left out
			b.ReportMetric(float64(took[len(took)/2].Microseconds()), "ask-p50-us")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "ask-p99-us")
		}
	}
	b.Run("http and report", func(b *testing.B) { http1(b, true) })
	b.Run("http, bare", func(b *testing.B) { // what net/http and its client cost by themselves
		measure(b, func(pb *testing.PB) {
			for pb.Next() {
				resp, err := client.Get(base + "/healthz")
				if err != nil {
					b.Error(err)
					return
				}
				resp.Body.Close()
			}
		})
	})
}
