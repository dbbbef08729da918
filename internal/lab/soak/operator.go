package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"hitchspring/internal/rulecheck"
)

const (
	operatorWaits = time.Second            // for an answer of the door
	drainShows    = 300 * time.Millisecond // after the yes to a drain, when PING says no
	activeShows   = 2 * time.Second        // after the yes to its end, when PING says yes again
)

var operatorClient = &http.Client{Timeout: operatorWaits, Transport: &http.Transport{DisableKeepAlives: true}}

// call makes an operator's call, and reports whether the answer was yes.
func (in *instance) call(path string) bool {
	req, err := http.NewRequest(http.MethodPut, "http://"+in.admin+path, nil)
	if err != nil {
		return false
	}
	resp, err := operatorClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// generation tells one process of the instance, in one drain, from another: how often something was done that ends either.
func (in *instance) generation() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return len(in.terms) + len(in.kills) + len(in.starts) + len(in.drains) + in.activations
}

// activate puts the instance back to work. From the call on that may end the drain of another operator.
func (in *instance) activate() bool {
	in.mu.Lock()
	in.activations++
	in.mu.Unlock()
	return in.call("/v1/ingress/activate")
}

// drawDrainedInstances has operators drain some instances and put them back to work.
func drawDrainedInstances(r *run, rng *rand.Rand) trouble {
	which, d := pick(rng, r.cfg.Instances, 1, max(1, r.cfg.Instances/6)), drawSpan(rng, 500*time.Millisecond, 4*time.Second)
	return trouble{text: fmt.Sprintf("operators drain %v for %v", which, d), do: func(ctx context.Context) {
		for _, i := range which {
			r.wg.Go(func() { r.instances[i].drainFor(ctx, d) })
		}
	}}
}

// drainFor drains the instance for a while. PING says no meanwhile, and yes soon after, where it is the same process still.
func (in *instance) drainFor(ctx context.Context, d time.Duration) {
	if !in.call("/v1/ingress/drain") {
		return
	}
	from := in.run.clock()
	in.mu.Lock()
	in.drains = append(in.drains, span{from: from, to: from + d + activeShows})
	in.mu.Unlock()
	before := in.generation()
	if sleep(ctx, drainShows) && in.ping() && in.generation() == before {
		in.run.found(rulecheck.NoRequestLost, in.run.clock(), fmt.Sprintf("%s says yes to PING %v after it was drained", in.Name, drainShows))
	}
	if !sleep(ctx, d) || !in.activate() {
		return
	}
	before++ // by this call alone
	if !sleep(ctx, activeShows) || in.generation() != before {
		return
	}
	pingedAt := in.run.clock()
	if !in.ping() && in.generation() == before && !in.crowdedSince(pingedAt) { // a PING may wait for a place
		in.run.found(RuleReady, in.run.clock(), fmt.Sprintf("%s says no to PING %v after it was put back to work", in.Name, activeShows))
	}
}

// drawSuspensions has operators take backends out at some instances, and put them back.
func drawSuspensions(r *run, rng *rand.Rand) trouble {
	which, at := pick(rng, r.deployment.backends, 1, 3), pick(rng, r.cfg.Instances, 1, r.cfg.Instances)
	d := drawSpan(rng, 2500*time.Millisecond, 6*time.Second)
	return trouble{text: fmt.Sprintf("operators suspend backends %v at %v for %v", which, at, d), do: func(ctx context.Context) {
		for _, i := range at {
			for _, b := range which {
				r.wg.Go(func() { r.instances[i].suspendFor(ctx, r.deployment.spec(b).ID, d) })
			}
		}
	}}
}

// suspendFor takes a backend out for a while. From the yes on it counts as draining for this instance.
func (in *instance) suspendFor(ctx context.Context, backend string, d time.Duration) {
	if !in.call("/v1/backends/" + backend + "/suspend") {
		return
	}
	in.say(backend, false)
	sleep(ctx, d)
	in.say(backend, true)
	in.call("/v1/backends/" + backend + "/resume")
}

// say notes what an operator has said of a backend.
func (in *instance) say(backend string, serves bool) {
	in.run.mu.Lock()
	defer in.run.mu.Unlock()
	in.run.said = append(in.run.said, rulecheck.Notification{At: in.run.clock(), Instance: in.Name, Backend: backend, Serving: serves})
}
