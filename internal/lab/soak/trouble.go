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

// Troubles come in clusters of a few that overlap; this is how many, and how far apart.
const (
	clusterEvery = 2500 * time.Millisecond
	clusterFirst = 1500 * time.Millisecond
	clusterSize  = 5
	jitter       = 1200 * time.Millisecond
	crowdEnds    = time.Second // that it takes until those who waited for a place have one
)

// trouble is something that goes wrong at a time, counted from the beginning of the load.
type trouble struct {
	at   time.Duration
	text string
	do   func(context.Context)
}

// troubleKind draws a trouble of one kind.
type troubleKind func(*run, *rand.Rand) trouble

var troubleKinds = []troubleKind{
	drawTerminations, drawTerminations, drawKills, drawHangups, drawSilence, drawBrokenDiscovery, drawDrains, drawColdRestarts,
	drawResets, drawRules, drawPauses, drawCuts, drawCounter, drawHolds, drawIdleCloses, drawCrowd, drawDrainedInstances, drawSuspensions,
}

// drawTroubles draws the troubles of a run.
func (r *run) drawTroubles(rng *rand.Rand) (out []trouble) {
	for at := clusterFirst; at < r.cfg.Length-clusterEvery/2; at += clusterEvery {
		for _, k := range rng.Perm(len(troubleKinds))[:clusterSize] {
			t := troubleKinds[k](r, rng)
			t.at = at + time.Duration(rng.Int64N(int64(jitter)))
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b trouble) int { return int(a.at - b.at) })
	return out
}

// play does the troubles at their times and waits until all have ended.
func (r *run) play(ctx context.Context, began time.Duration, list []trouble) {
	for _, t := range list {
		r.wg.Go(func() {
			if sleep(ctx, began+t.at-r.clock()) {
				r.notes.add(fmt.Sprintf("%.3f s: %s", r.clock().Seconds(), t.text))
				t.do(ctx)
			}
		})
	}
}

// pick draws some of n.
func pick(rng *rand.Rand, n, least, most int) []int {
	count := min(n, least+rng.IntN(most-least+1))
	out := rng.Perm(n)[:count]
	slices.Sort(out)
	return out
}

func drawSpan(rng *rand.Rand, least, most time.Duration) time.Duration {
	return (least + time.Duration(rng.Int64N(int64(most-least)))).Round(time.Millisecond)
}

// drawTerminations ends some instances one after another, mostly while many backends hang, and holds some of them up at their end.
func drawTerminations(r *run, rng *rand.Rand) trouble {
	which := pick(rng, r.cfg.Instances, 1, max(1, r.cfg.Instances/5))
	gap, hold := drawSpan(rng, 0, 400*time.Millisecond), time.Duration(rng.IntN(2))*drawSpan(rng, 100*time.Millisecond, 150*time.Millisecond)
	pause := drawSpan(rng, 0, time.Second)
	signals := make([]signalSeries, len(which))
	for i := range signals {
		signals[i] = drawSignals(rng)
	}
	var hang []int
	if rng.IntN(4) > 0 {
		hang = pick(rng, r.deployment.backends, r.deployment.backends/4, r.deployment.backends)
	}
	text := fmt.Sprintf("SIGTERM to %v, %v apart, held up for %v near the end, while %v hang; with it %v", which, gap, hold, hang, signals)
	return trouble{text: text, do: func(ctx context.Context) {
		for _, b := range hang {
			r.backend(b).Pause(4500 * time.Millisecond)
		}
		for n, i := range which {
			r.wg.Go(func() { r.instances[i].terminate(ctx, pause, hold, signals[n]) })
			if !sleep(ctx, gap) {
				return
			}
		}
	}}
}

func drawKills(r *run, rng *rand.Rand) trouble {
	which, pause := pick(rng, r.cfg.Instances, 1, max(1, r.cfg.Instances/3)), drawSpan(rng, 100*time.Millisecond, 1500*time.Millisecond)
	return trouble{text: fmt.Sprintf("SIGKILL to %v, back after %v", which, pause), do: func(ctx context.Context) {
		for _, i := range which {
			r.wg.Go(func() { r.instances[i].kill(ctx, pause) })
		}
	}}
}

func drawHangups(r *run, rng *rand.Rand) trouble {
	which, times, gap, torn := pick(rng, r.cfg.Instances, 1, r.cfg.Instances), 1+rng.IntN(5), drawSpan(rng, 20*time.Millisecond, 700*time.Millisecond), rng.IntN(2) == 0
	return trouble{text: fmt.Sprintf("%d new configurations %v apart to %v, one torn: %v", times, gap, which, torn), do: func(ctx context.Context) {
		for _, i := range which {
			r.wg.Go(func() { r.instances[i].hangUp(ctx, times, gap, torn) })
		}
	}}
}

// drawSilence makes the agents of some instances silent, both of each.
func drawSilence(r *run, rng *rand.Rand) trouble {
	which, d := pick(rng, r.cfg.Instances, r.cfg.Instances/2, r.cfg.Instances), drawSpan(rng, time.Second, 8*time.Second)
	return trouble{text: fmt.Sprintf("discovery silent for %v at %v", d, which), do: func(ctx context.Context) {
		r.discoveryFails(ctx, which, discovery.Silent, d)
	}}
}

// drawBrokenDiscovery has the agents of some instances reset connections, or turn calls away.
func drawBrokenDiscovery(r *run, rng *rand.Rand) trouble {
	which, d := pick(rng, r.cfg.Instances, 1, r.cfg.Instances), drawSpan(rng, 200*time.Millisecond, 4*time.Second)
	how, name := discovery.Resetting, "resets"
	if rng.IntN(2) == 0 {
		how, name = discovery.TurningAway, "turns away"
	}
	return trouble{text: fmt.Sprintf("discovery %s for %v at %v", name, d, which), do: func(ctx context.Context) {
		r.discoveryFails(ctx, which, how, d)
	}}
}

// drawDrains has backends drain and stay up; they come back later.
func drawDrains(r *run, rng *rand.Rand) trouble {
	which, d := pick(rng, r.deployment.backends, 1, r.deployment.backends/3), drawSpan(rng, 3*time.Second, 8*time.Second)
	turnsAway := rng.IntN(2) == 0
	return trouble{text: fmt.Sprintf("backends %v drain for %v, and turn away: %v", which, d, turnsAway), do: func(ctx context.Context) {
		for _, b := range which {
			r.tell(b, "DRAINING")
			r.backend(b).Drain(turnsAway)
		}
		if !sleep(ctx, d) {
			return
		}
		for _, b := range which {
			r.backend(b).Drain(false)
			r.tell(b, "SERVING")
		}
	}}
}

func drawColdRestarts(r *run, rng *rand.Rand) trouble {
	which := pick(rng, r.deployment.backends, 1, r.deployment.backends/3)
	return trouble{text: fmt.Sprintf("backends %v restart cold", which), do: func(context.Context) {
		for _, b := range which {
			r.restartBackend(b)
		}
	}}
}

// drawResets has backends forget their connections, some times.
func drawResets(r *run, rng *rand.Rand) trouble {
	which, times, gap := pick(rng, r.deployment.backends, 1, r.deployment.backends), 1+rng.IntN(8), drawSpan(rng, 5*time.Millisecond, 300*time.Millisecond)
	return trouble{text: fmt.Sprintf("backends %v reset all connections %d times, %v apart", which, times, gap), do: func(ctx context.Context) {
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

// drawRules spoils a share of what some backends answer.
func drawRules(r *run, rng *rand.Rand) trouble {
	which, d := pick(rng, r.deployment.backends, 2, r.deployment.backends), drawSpan(rng, time.Second, 4*time.Second)
	text := []string{
		"drop-after share 0.3", "drop-before share 0.3", "ignore share 0.3", "hold 400ms share 0.4", "repeat share 0.3", "repeat-late 8ms share 0.3", "cut share 0.3",
		"delay 300ms share 0.4", "fail share 0.3", "swallow share 0.3",
	}[rng.IntN(10)]
	return trouble{text: fmt.Sprintf("backends %v for %v: %s", which, d, text), do: func(context.Context) {
		rule, err := fault.Parse(text)
		if err != nil {
			panic(err) // the words are above
		}
		rule.For = d
		for _, b := range which {
			r.backend(b).Fault(rule)
		}
	}}
}

func drawPauses(r *run, rng *rand.Rand) trouble {
	which, d := pick(rng, r.deployment.backends, 1, r.deployment.backends), drawSpan(rng, 200*time.Millisecond, 3*time.Second)
	return trouble{text: fmt.Sprintf("backends %v hang for %v", which, d), do: func(context.Context) {
		for _, b := range which {
			r.backend(b).Pause(d)
		}
	}}
}

// drawCuts cuts some backends off from some instances.
func drawCuts(r *run, rng *rand.Rand) trouble {
	which, from, d := pick(rng, r.deployment.backends, 1, r.deployment.backends/2), pick(rng, r.cfg.Instances, 1, r.cfg.Instances), drawSpan(rng, 500*time.Millisecond, 4*time.Second)
	return trouble{text: fmt.Sprintf("backends %v are cut off from %v for %v", which, from, d), do: func(context.Context) {
		for _, b := range which {
			for _, i := range from {
				r.backend(b).Cut(i, d)
			}
		}
	}}
}

func drawCounter(r *run, rng *rand.Rand) trouble {
	d := drawSpan(rng, 300*time.Millisecond, 4*time.Second)
	text := []string{fmt.Sprint("silent ", d), fmt.Sprint("stop ", d), "restart 200ms", fmt.Sprintf("drop-after for %v share 0.4", d), fmt.Sprintf("delay 90ms for %v share 0.5", d)}[rng.IntN(5)]
	return trouble{text: "counter: " + text, do: func(context.Context) {
		if err := r.counter.Do(text); err != nil {
			r.notes.add(err.Error())
		}
	}}
}

// drawHolds holds some instances up, again and again, for as long as an ingress may be held up between reading its clock and writing.
func drawHolds(r *run, rng *rand.Rand) trouble {
	which, times, d := pick(rng, r.cfg.Instances, 1, max(1, r.cfg.Instances/3)), 2+rng.IntN(6), drawSpan(rng, 40*time.Millisecond, 150*time.Millisecond)
	return trouble{text: fmt.Sprintf("%v are held up %d times for %v", which, times, d), do: func(ctx context.Context) {
		for _, i := range which {
			r.wg.Go(func() {
				for range times {
					r.instances[i].holdUp(ctx, d)
					if !sleep(ctx, d+250*time.Millisecond) {
						return
					}
				}
			})
		}
	}}
}

// drawIdleCloses has backends close idle connections far sooner than the settings say, for a while.
func drawIdleCloses(r *run, rng *rand.Rand) trouble {
	which, after, d := pick(rng, r.deployment.backends, 1, r.deployment.backends), drawSpan(rng, 15*time.Millisecond, 500*time.Millisecond), drawSpan(rng, time.Second, 4*time.Second)
	return trouble{text: fmt.Sprintf("backends %v close connections after %v without a command, for %v", which, after, d), do: func(ctx context.Context) {
		set := func(after time.Duration) {
			for _, b := range which {
				r.backend(b).CloseIdle(after)
			}
		}
		set(after)
		sleep(ctx, d)
		set(0)
	}}
}

// drawCrowd fills the places of one instance with idle clients, some of which have begun a command.
func drawCrowd(r *run, rng *rand.Rand) trouble {
	in, clients, d := r.instances[rng.IntN(r.cfg.Instances)], mostSockets+rng.IntN(100), drawSpan(rng, time.Second, 4*time.Second)
	return trouble{text: fmt.Sprintf("%d idle clients at %s for %v", clients, in.Name, d), do: func(ctx context.Context) {
		crowd := in.beginCrowd(r.clock())
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
		in.endCrowd(crowd, r.clock()+crowdEnds)
	}}
}

// beginCrowd notes that all places of an instance may be taken from now on, and returns the number of the crowd.
func (in *instance) beginCrowd(from time.Duration) int {
	in.run.mu.Lock()
	defer in.run.mu.Unlock()
	in.crowds = append(in.crowds, span{from: from, to: math.MaxInt64})
	return len(in.crowds) - 1
}

// endCrowd notes when a crowd has gone.
func (in *instance) endCrowd(crowd int, to time.Duration) {
	in.run.mu.Lock()
	defer in.run.mu.Unlock()
	in.crowds[crowd].to = to
}

// crowdedSince reports whether all places may have been taken at some time since then.
func (in *instance) crowdedSince(from time.Duration) bool {
	in.run.mu.Lock()
	defer in.run.mu.Unlock()
	return in.crowded(from, in.run.clock())
}
