package soak

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"hitchspring/internal/standin/discovery"
	"hitchspring/internal/standin/fault"
)

// Faults come in clusters that overlap.
const (
	clusterInterval = 2500 * time.Millisecond
	firstClusterAt  = 1500 * time.Millisecond
	clusterSize     = 5                       // faults
	maxFaultJitter  = 1200 * time.Millisecond // after the cluster's time, at which a fault begins
	floodRecovery   = time.Second             // until clients that waited for a connection slot have one
)

// scheduledFault is a fault with the time, since the load began, at which it is injected.
type scheduledFault struct {
	at     time.Duration
	text   string
	inject func(context.Context)
}

// faultGenerator draws a fault of one kind.
type faultGenerator func(*run, *rand.Rand) scheduledFault

var faultGenerators = []faultGenerator{
	drawTerminations, drawTerminations, drawKills, drawReloads, drawSilentDiscovery, drawFailingDiscovery, drawBackendDrains, drawBackendRestarts,
	drawConnectionResets, drawFaultRules, drawBackendPauses, drawPartitions, drawCounterFaults, drawInstancePauses, drawIdleCloses, drawConnectionFlood, drawInstanceDrains, drawSuspensions,
}

// drawFaults draws the faults of a run, in order of their time.
func (r *run) drawFaults(rng *rand.Rand) (out []scheduledFault) {
	for at := firstClusterAt; at < r.cfg.Length-clusterInterval/2; at += clusterInterval {
		for _, k := range rng.Perm(len(faultGenerators))[:clusterSize] {
			t := faultGenerators[k](r, rng)
			t.at = at + time.Duration(rng.Int64N(int64(maxFaultJitter)))
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b scheduledFault) int { return int(a.at - b.at) })
	return out
}

// injectFaults starts a goroutine for each fault, which injects it at its time. The goroutines belong to r.wg.
func (r *run) injectFaults(ctx context.Context, loadStart time.Duration, faults []scheduledFault) {
	for _, t := range faults {
		r.wg.Go(func() {
			if sleep(ctx, loadStart+t.at-r.clock()) {
				r.faultLog.add(fmt.Sprintf("%.3f s: %s", r.clock().Seconds(), t.text))
				t.inject(ctx)
			}
		})
	}
}

// pickIndices draws between minCount and maxCount different numbers below n, in ascending order.
func pickIndices(rng *rand.Rand, n, minCount, maxCount int) []int {
	count := min(n, minCount+rng.IntN(maxCount-minCount+1))
	out := rng.Perm(n)[:count]
	slices.Sort(out)
	return out
}

func drawDuration(rng *rand.Rand, shortest, longest time.Duration) time.Duration {
	return (shortest + time.Duration(rng.Int64N(int64(longest-shortest)))).Round(time.Millisecond)
}

// drawTerminations sends SIGTERM to some instances one after another, in most cases while many backends hang. In half
// the cases it also pauses each process near the end of its shutdown limit.
func drawTerminations(r *run, rng *rand.Rand) scheduledFault {
	which := pickIndices(rng, r.cfg.Instances, 1, max(1, r.cfg.Instances/5))
	gap, pauseLength := drawDuration(rng, 0, 400*time.Millisecond), time.Duration(rng.IntN(2))*drawDuration(rng, 100*time.Millisecond, 150*time.Millisecond)
	restartDelay := drawDuration(rng, 0, time.Second)
	signals := make([]signalSeries, len(which))
	for i := range signals {
		signals[i] = drawSignals(rng)
	}
	var hang []int
	if rng.IntN(4) > 0 {
		hang = pickIndices(rng, r.deployment.backends, r.deployment.backends/4, r.deployment.backends)
	}
	text := fmt.Sprintf("SIGTERM to %v, %v apart, held up for %v near the end, while %v hang; with it %v", which, gap, pauseLength, hang, signals)
	return scheduledFault{text: text, inject: func(ctx context.Context) {
		for _, b := range hang {
			r.backend(b).Pause(4500 * time.Millisecond)
		}
		for n, i := range which {
			r.wg.Go(func() { r.instances[i].terminate(ctx, restartDelay, pauseLength, signals[n]) })
			if !sleep(ctx, gap) {
				return
			}
		}
	}}
}

func drawKills(r *run, rng *rand.Rand) scheduledFault {
	which, restartDelay := pickIndices(rng, r.cfg.Instances, 1, max(1, r.cfg.Instances/3)), drawDuration(rng, 100*time.Millisecond, 1500*time.Millisecond)
	return scheduledFault{text: fmt.Sprintf("SIGKILL to %v, back after %v", which, restartDelay), inject: func(ctx context.Context) {
		for _, i := range which {
			r.wg.Go(func() { r.instances[i].kill(ctx, restartDelay) })
		}
	}}
}

func drawReloads(r *run, rng *rand.Rand) scheduledFault {
	which, times, gap, torn := pickIndices(rng, r.cfg.Instances, 1, r.cfg.Instances), 1+rng.IntN(5), drawDuration(rng, 20*time.Millisecond, 700*time.Millisecond), rng.IntN(2) == 0
	return scheduledFault{text: fmt.Sprintf("%d new configurations %v apart to %v, one torn: %v", times, gap, which, torn), inject: func(ctx context.Context) {
		for _, i := range which {
			r.wg.Go(func() { r.instances[i].reload(ctx, times, gap, torn) })
		}
	}}
}

// drawSilentDiscovery makes both agents of some instances silent.
func drawSilentDiscovery(r *run, rng *rand.Rand) scheduledFault {
	which, d := pickIndices(rng, r.cfg.Instances, r.cfg.Instances/2, r.cfg.Instances), drawDuration(rng, time.Second, 8*time.Second)
	return scheduledFault{text: fmt.Sprintf("discovery silent for %v at %v", d, which), inject: func(ctx context.Context) {
		r.failDiscovery(ctx, which, discovery.Silent, d)
	}}
}

// drawFailingDiscovery makes the agents of some instances reset their connections or reject calls.
func drawFailingDiscovery(r *run, rng *rand.Rand) scheduledFault {
	which, d := pickIndices(rng, r.cfg.Instances, 1, r.cfg.Instances), drawDuration(rng, 200*time.Millisecond, 4*time.Second)
	kind, name := discovery.Resetting, "resets"
	if rng.IntN(2) == 0 {
		kind, name = discovery.Rejecting, "turns away"
	}
	return scheduledFault{text: fmt.Sprintf("discovery %s for %v at %v", name, d, which), inject: func(ctx context.Context) {
		r.failDiscovery(ctx, which, kind, d)
	}}
}

// drawBackendDrains drains some backends, which keep running and serve again later. They may reject requests
// meanwhile.
func drawBackendDrains(r *run, rng *rand.Rand) scheduledFault {
	which, d := pickIndices(rng, r.deployment.backends, 1, r.deployment.backends/3), drawDuration(rng, 3*time.Second, 8*time.Second)
	rejects := rng.IntN(2) == 0
	return scheduledFault{text: fmt.Sprintf("backends %v drain for %v, and turn away: %v", which, d, rejects), inject: func(ctx context.Context) {
		for _, b := range which {
			r.setBackendState(b, "DRAINING")
			r.backend(b).SetDraining(rejects)
		}
		if !sleep(ctx, d) {
			return
		}
		for _, b := range which {
			r.backend(b).SetDraining(false)
			r.setBackendState(b, "SERVING")
		}
	}}
}

func drawBackendRestarts(r *run, rng *rand.Rand) scheduledFault {
	which := pickIndices(rng, r.deployment.backends, 1, r.deployment.backends/3)
	return scheduledFault{text: fmt.Sprintf("backends %v restart cold", which), inject: func(context.Context) {
		for _, b := range which {
			r.restartBackend(b)
		}
	}}
}

// drawConnectionResets makes some backends reset all their connections, several times.
func drawConnectionResets(r *run, rng *rand.Rand) scheduledFault {
	which, times, gap := pickIndices(rng, r.deployment.backends, 1, r.deployment.backends), 1+rng.IntN(8), drawDuration(rng, 5*time.Millisecond, 300*time.Millisecond)
	return scheduledFault{text: fmt.Sprintf("backends %v reset all connections %d times, %v apart", which, times, gap), inject: func(ctx context.Context) {
		for range times {
			for _, b := range which {
				r.backend(b).Reset()
			}
			if !sleep(ctx, gap) {
				return
			}
		}
	}}
}

// drawFaultRules applies a fault rule to some backends, which affects a fraction of their requests.
func drawFaultRules(r *run, rng *rand.Rand) scheduledFault {
	which, d := pickIndices(rng, r.deployment.backends, 2, r.deployment.backends), drawDuration(rng, time.Second, 4*time.Second)
	text := []string{
		"drop-after share 0.3", "drop-before share 0.3", "ignore share 0.3", "hold 400ms share 0.4", "repeat share 0.3", "repeat-late 8ms share 0.3", "cut share 0.3",
		"delay 300ms share 0.4", "fail share 0.3", "swallow share 0.3",
	}[rng.IntN(10)]
	return scheduledFault{text: fmt.Sprintf("backends %v for %v: %s", which, d, text), inject: func(context.Context) {
		rule, err := fault.Parse(text)
		if err != nil {
			panic(err) // the rules above are valid
		}
		rule.ActiveFor = d
		for _, b := range which {
			r.backend(b).Fault(rule)
		}
	}}
}

func drawBackendPauses(r *run, rng *rand.Rand) scheduledFault {
	which, d := pickIndices(rng, r.deployment.backends, 1, r.deployment.backends), drawDuration(rng, 200*time.Millisecond, 3*time.Second)
	return scheduledFault{text: fmt.Sprintf("backends %v hang for %v", which, d), inject: func(context.Context) {
		for _, b := range which {
			r.backend(b).Pause(d)
		}
	}}
}

// drawPartitions cuts the connections between some backends and some instances.
func drawPartitions(r *run, rng *rand.Rand) scheduledFault {
	which, from, d := pickIndices(rng, r.deployment.backends, 1, r.deployment.backends/2), pickIndices(rng, r.cfg.Instances, 1, r.cfg.Instances), drawDuration(rng, 500*time.Millisecond, 4*time.Second)
	return scheduledFault{text: fmt.Sprintf("backends %v are cut off from %v for %v", which, from, d), inject: func(context.Context) {
		for _, b := range which {
			for _, i := range from {
				r.backend(b).Partition(i, d)
			}
		}
	}}
}

func drawCounterFaults(r *run, rng *rand.Rand) scheduledFault {
	d := drawDuration(rng, 300*time.Millisecond, 4*time.Second)
	text := []string{fmt.Sprint("silent ", d), fmt.Sprint("stop ", d), "restart 200ms", fmt.Sprintf("drop-after for %v share 0.4", d), fmt.Sprintf("delay 90ms for %v share 0.5", d)}[rng.IntN(5)]
	return scheduledFault{text: "counter: " + text, inject: func(context.Context) {
		if err := r.counter.Do(text); err != nil {
			r.faultLog.add(err.Error())
		}
	}}
}

// drawInstancePauses pauses some instances several times, each for no longer than an ingress may be delayed between
// reading its clock and writing.
func drawInstancePauses(r *run, rng *rand.Rand) scheduledFault {
	which, times, d := pickIndices(rng, r.cfg.Instances, 1, max(1, r.cfg.Instances/3)), 2+rng.IntN(6), drawDuration(rng, 40*time.Millisecond, 150*time.Millisecond)
	return scheduledFault{text: fmt.Sprintf("%v are held up %d times for %v", which, times, d), inject: func(ctx context.Context) {
		for _, i := range which {
			r.wg.Go(func() {
				for range times {
					r.instances[i].pauseFor(ctx, d)
					if !sleep(ctx, d+250*time.Millisecond) {
						return
					}
				}
			})
		}
	}}
}

// drawIdleCloses makes some backends close idle connections far sooner than the settings say.
func drawIdleCloses(r *run, rng *rand.Rand) scheduledFault {
	which, after, d := pickIndices(rng, r.deployment.backends, 1, r.deployment.backends), drawDuration(rng, 15*time.Millisecond, 500*time.Millisecond), drawDuration(rng, time.Second, 4*time.Second)
	return scheduledFault{text: fmt.Sprintf("backends %v close connections after %v without a command, for %v", which, after, d), inject: func(ctx context.Context) {
		set := func(after time.Duration) {
			for _, b := range which {
				r.backend(b).SetIdleTimeout(after)
			}
		}
		set(after)
		sleep(ctx, d)
		set(0)
	}}
}

// drawConnectionFlood opens idle connections to one instance up to its limit or beyond. Some have sent the beginning
// of a command.
func drawConnectionFlood(r *run, rng *rand.Rand) scheduledFault {
	in, clients, d := r.instances[rng.IntN(r.cfg.Instances)], maxSockets+rng.IntN(100), drawDuration(rng, time.Second, 4*time.Second)
	return scheduledFault{text: fmt.Sprintf("%d idle clients at %s for %v", clients, in.Name, d), inject: func(ctx context.Context) {
		flood := in.beginFlood(r.clock())
		var open []net.Conn
		for i := range clients {
			nc, err := net.DialTimeout("tcp", in.addr, 100*time.Millisecond)
			if err != nil {
				break
			}
			if i%4 == 0 {
				nc.Write([]byte("*4\r\n"))
			}
			open = append(open, nc)
		}
		sleep(ctx, d)
		for _, nc := range open {
			nc.Close()
		}
		in.endFlood(flood, r.clock()+floodRecovery)
	}}
}

// beginFlood records that all connections of the instance may be taken from now on, and returns the number of the
// flood.
func (in *instance) beginFlood(from time.Duration) int {
	in.run.mu.Lock()
	defer in.run.mu.Unlock()
	in.floods = append(in.floods, span{from: from, to: math.MaxInt64})
	return len(in.floods) - 1
}

// endFlood records when a flood ended.
func (in *instance) endFlood(flood int, to time.Duration) {
	in.run.mu.Lock()
	defer in.run.mu.Unlock()
	in.floods[flood].to = to
}

// floodedSince reports whether all connections may have been taken at some time since from.
func (in *instance) floodedSince(from time.Duration) bool {
	in.run.mu.Lock()
	defer in.run.mu.Unlock()
	return in.floodedWithin(from, in.run.clock())
}
