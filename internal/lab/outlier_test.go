package lab

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"
)

// avoidedSlowness is the slowness reported by peers from which an instance practically avoids a backend.
const avoidedSlowness = 3

// peerReports collects the slowness that instances derived from the reports of peers, over a run.
type peerReports struct {
	mu             sync.Mutex
	maxSlowness    map[string]float64 // by instance and backend
	avoidedSamples map[string]int     // samples with at least avoidedSlowness, by instance and backend
	responses      int                // status responses received
}

func (x *peerReports) slowness(instance int, node string) float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.maxSlowness[fmt.Sprintf("n%d %s", instance, node)]
}

func (x *peerReports) samplesAvoided(instance int, node string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.avoidedSamples[fmt.Sprintf("n%d %s", instance, node)]
}

// watch returns a Config.Watch function that samples all instances, from a time of the load on.
func (x *peerReports) watch(from time.Duration) func(context.Context, *Testbed) {
	return func(ctx context.Context, tb *Testbed) {
		x.mu.Lock()
		x.maxSlowness, x.avoidedSamples = map[string]float64{}, map[string]int{} // discards those of a previous run
		x.mu.Unlock()
		for at := from; tb.WaitUntil(ctx, at); at += 200 * ms {
			for i := range tb.Instances() {
				s, err := tb.Backends(ctx, i)
				if err != nil {
					continue
				}
				x.mu.Lock()
				x.responses++
				for _, n := range s.Backends {
					k := fmt.Sprintf("n%d %s", i, n.Backend)
					if x.maxSlowness[k] = max(x.maxSlowness[k], n.PeerSlowness); n.PeerSlowness >= avoidedSlowness {
						x.avoidedSamples[k]++
					}
				}
				x.mu.Unlock()
			}
		}
	}
}

// runWithPeerReports runs instances that gossip about backends, and returns the reports that each received.
func runWithPeerReports(t *testing.T, cfg Config) (*peerReports, *Report) {
	t.Helper()
	x := &peerReports{}
	cfg.Watch = x.watch(500 * ms)
	r := runUntilOnTime(t, cfg)
	if x.responses == 0 {
		t.Fatal("got no status response of any instance")
	}
	requireRules(t, r)
	return x, r
}

// Checks that all instances avoid a backend that is slowed to an eighth once two have observed it, however little each
// sends, even with wrong clocks: one 5 s ahead, one 5 s behind, one 10% fast. No other backend is avoided.
func TestSlowBackendIsAvoided(t *testing.T) {
	t.Parallel()
	cfg := peersConfig(t, 4, "node/4:slow 8 6s at 2s")
	cfg.For, cfg.Rate = 8*time.Second, 0.7
	cfg.Options = map[int]string{1: "[clock]\nahead = \"5s\"\n", 2: "[clock]\nahead = \"-5s\"\n", 3: "[clock]\nrate = 1.1\n"}
	x, r := runWithPeerReports(t, cfg)
	for i := range 4 {
		for k := range 12 {
			if name := fmt.Sprintf("node-%02d", k); k != 4 && x.slowness(i, name) >= avoidedSlowness {
				t.Errorf("n%d got slowness %.1f by peers for %s, which is healthy", i, x.slowness(i, name), name)
			}
		}
	}
	toSlow, all := 0, 0
	for _, k := range r.Commands {
		if at := k.ArrivedAt.Seconds() - r.LoadStartS; at >= 4 && at < 8 {
			all++
			if k.Backend == "node-04" {
				toSlow++
			}
		}
	}
	if all < 100 || toSlow > all/12/3 {
		t.Errorf("%d of %d commands went to the slow backend, two seconds after it slowed down", toSlow, all)
	}
}

// Checks that instances which cannot reach the backends of one zone, and report them as dead, do not make the others
// avoid these backends. One or three instances are cut off, while garbage datagrams arrive at all.
func TestInstancesCutOffFromZone(t *testing.T) {
	for name, c := range map[string]struct {
		cut  string
		free []int // instances that can reach the zone
		most int   // maximum of 25 samples at which these may avoid a backend there
	}{
		"one instance": {"link/0>hall-b:cut 5s at 2s", []int{1, 2, 3, 4, 5}, 0},
		"half of them": {"link/0,1,2>hall-b:cut 5s at 2s", []int{3, 4, 5}, 10}, // until the backends have served them again
		"all are slow": {"fleet:slow 5 3s at 2s", []int{0, 1, 2, 3, 4, 5}, 5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cfg := peersConfig(t, 6, c.cut)
			cfg.For, cfg.Rate = 8*time.Second, 0.6
			x := &peerReports{}
			watch := x.watch(500 * ms)
			cfg.Watch = func(ctx context.Context, tb *Testbed) {
				var wg sync.WaitGroup
				wg.Go(func() { sendGarbage(ctx, tb) })
				watch(ctx, tb)
				wg.Wait()
			}
			r := runUntilOnTime(t, cfg)
			requireRules(t, r)
			sent := map[int]int{}
			from := time.Duration((r.LoadStartS + 4) * float64(time.Second))
			for _, k := range r.Commands {
				if (k.Backend == "node-01" || k.Backend == "node-04" || k.Backend == "node-07" || k.Backend == "node-10") && k.ArrivedAt >= from && k.ArrivedAt < from+3*time.Second {
					sent[k.Instance]++
				}
			}
			all := 0
			for _, i := range c.free {
				for k := 1; k < 12; k += 3 {
					if node := fmt.Sprintf("node-%02d", k); x.samplesAvoided(i, node) > c.most {
						t.Errorf("n%d got slowness %.1f by peers for %s in %d samples, though it can reach it", i, x.slowness(i, node), node, x.samplesAvoided(i, node))
					}
				}
				all += sent[i]
			}
			if all < 8*len(c.free) {
				t.Errorf("the other instances avoid zone b: %v", sent)
			}
		})
	}
}

// Checks that a backend which no instance could reach for a moment is soon used again, as it would be without gossip.
func TestUnreachableBackendReturns(t *testing.T) {
	t.Parallel()
	cfg := peersConfig(t, 4, "link/0,1,2,3>node-04:cut 1500ms at 1s")
	cfg.For, cfg.Rate = 9*time.Second, 1
	r := runUntilOnTime(t, cfg)
	requireRules(t, r)
	for _, violation := range r.LeftOnReport("node-04", -1) {
		t.Errorf("seed %d: %s", r.Seed, violation.Detail)
	}
}

// sendGarbage sends datagrams that no peer would send to all instances.
func sendGarbage(ctx context.Context, tb *Testbed) {
	for k := 0; tb.WaitUntil(ctx, time.Second+time.Duration(k)*20*ms); k++ {
		c, err := net.Dial("udp4", tb.peerAddr(k%tb.Instances()))
		if err != nil {
			continue
		}
		b := make([]byte, 1+k*97%40000)
		for i := range b {
			b[i] = byte(k * i)
		}
		if k%3 == 0 {
			copy(b, "hsp\x01")
		}
		c.Write(b)
		c.Close()
	}
}

// Checks restarts of backends and of half of the instances, a drain and a silent discovery agent within seconds, while
// one backend is slow: no rule is violated, and no healthy backend is avoided because of the reports of peers.
func TestRestartsDuringSlowBackend(t *testing.T) {
	t.Parallel()
	cfg := peersConfig(t, 6, "node/4:slow 8 7s at 1s", "node/1:restart at 2s", "node/7:drain at 2s", "node/4:restart at 5s", "ingress/0:restart 1s at 3s", "ingress/1:restart 1500ms at 3s",
		"ingress/2:restart 2s at 3s", "discovery/3:mute 3s at 1500ms")
	cfg.For, cfg.Rate = 9*time.Second, 0.6
	x, _ := runWithPeerReports(t, cfg)
	for i := range 6 {
		for k := range 12 {
			if name := fmt.Sprintf("node-%02d", k); k != 4 && k != 1 && k != 7 && x.slowness(i, name) >= avoidedSlowness {
				t.Errorf("n%d got slowness %.1f by peers for %s, which is healthy", i, x.slowness(i, name), name)
			}
		}
	}
}
