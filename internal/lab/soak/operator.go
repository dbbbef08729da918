package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"hitchspring/internal/rulecheck"
)

// The time limits of operators' calls.
const (
	operatorTimeout     = time.Second            // for an answer of the admin server
	drainEffectDelay    = 300 * time.Millisecond // after a drain was accepted, until PING must fail
	activateEffectDelay = 2 * time.Second        // after an activation was accepted, until PING must succeed
)

var operatorClient = &http.Client{Timeout: operatorTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// putAdmin makes a PUT request to the admin server, and reports whether the answer was 200 OK.
func (in *instance) putAdmin(path string) bool {
	req, err := http.NewRequest(http.MethodPut, "http://"+in.adminAddr+path, nil)
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

// generation returns a number that changes when a process of the instance starts or ends, and when a drain begins or
// ends.
func (in *instance) generation() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return len(in.terminatedAt) + len(in.killedAt) + len(in.startedAt) + len(in.drains) + in.activations
}

// activate ends the drain of the instance. It may also end the drain of another operator, so generation changes before
// the call is made.
func (in *instance) activate() bool {
	in.mu.Lock()
	in.activations++
	in.mu.Unlock()
	return in.putAdmin("/v1/ingress/activate")
}

// drawInstanceDrains makes operators drain some instances and activate them again.
func drawInstanceDrains(r *run, rng *rand.Rand) scheduledFault {
	which, d := pickIndices(rng, r.cfg.Instances, 1, max(1, r.cfg.Instances/6)), drawDuration(rng, 500*time.Millisecond, 4*time.Second)
	return scheduledFault{text: fmt.Sprintf("operators drain %v for %v", which, d), inject: func(ctx context.Context) {
		for _, i := range which {
			r.wg.Go(func() { r.instances[i].drainFor(ctx, d) })
		}
	}}
}

// drainFor drains the instance for a while. Soon after the drain begins PING must fail, and soon after it ends PING
// must succeed. Neither is checked if another fault or operator has acted on the instance meanwhile.
func (in *instance) drainFor(ctx context.Context, d time.Duration) {
	if !in.putAdmin("/v1/ingress/drain") {
		return
	}
	from := in.run.clock()
	in.mu.Lock()
	in.drains = append(in.drains, span{from: from, to: from + d + activateEffectDelay})
	in.mu.Unlock()
	before := in.generation()
	if sleep(ctx, drainEffectDelay) && in.ping() && in.generation() == before {
		in.run.addViolation(rulecheck.NoRequestLost, in.run.clock(), fmt.Sprintf("%s says yes to PING %v after it was drained", in.Name, drainEffectDelay))
	}
	if !sleep(ctx, d) || !in.activate() {
		return
	}
	before++ // for the activation
	if !sleep(ctx, activateEffectDelay) || in.generation() != before {
		return
	}
	pingedAt := in.run.clock()
	if !in.ping() && in.generation() == before && !in.floodedSince(pingedAt) { // a PING may have waited for a connection slot
		in.run.addViolation(RuleReady, in.run.clock(), fmt.Sprintf("%s says no to PING %v after it was put back to work", in.Name, activateEffectDelay))
	}
}

// drawSuspensions makes operators suspend backends at some instances and resume them.
func drawSuspensions(r *run, rng *rand.Rand) scheduledFault {
	which, instanceIndexes := pickIndices(rng, r.deployment.backends, 1, 3), pickIndices(rng, r.cfg.Instances, 1, r.cfg.Instances)
	d := drawDuration(rng, 2500*time.Millisecond, 6*time.Second)
	return scheduledFault{text: fmt.Sprintf("operators suspend backends %v at %v for %v", which, instanceIndexes, d), inject: func(ctx context.Context) {
		for _, i := range instanceIndexes {
			for _, b := range which {
				r.wg.Go(func() { r.instances[i].suspendFor(ctx, r.deployment.backendSpec(b).ID, d) })
			}
		}
	}}
}

// suspendFor suspends a backend at this instance for a while. Once the call has succeeded, the backend counts as
// draining for the instance.
func (in *instance) suspendFor(ctx context.Context, backend string, d time.Duration) {
	if !in.putAdmin("/v1/backends/" + backend + "/suspend") {
		return
	}
	in.recordOverride(backend, false)
	sleep(ctx, d)
	in.recordOverride(backend, true)
	in.putAdmin("/v1/backends/" + backend + "/resume")
}

// recordOverride records that an operator has suspended or resumed a backend.
func (in *instance) recordOverride(backend string, serving bool) {
	in.run.mu.Lock()
	defer in.run.mu.Unlock()
	in.run.operatorNotifications = append(in.run.operatorNotifications, rulecheck.Notification{At: in.run.clock(), Instance: in.Name, Backend: backend, Serving: serving})
}
