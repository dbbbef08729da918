package policy

import (
	"math"
	"testing"
	"time"
)

// timeOutCounter sends requests of one tenant until a counter call is in flight, and
// lets that call time out.
func (h *harness) timeOutCounter() *tenant {
	for id := RequestID(1001); ; id++ {
		h.arrive(id, "read", "small")
		h.notify(succeeded(id, "", ms))
		if t := h.tenant("small"); t.callPending {
			h.notify(CounterReply{Name: t.counterName(), Outcome: TimedOut})
			return t
		}
	}
}

// After a long silence of the counter, a tenant is not rejected because of the units
// that other instances used in the meantime.
func TestCounterOutageLeavesNoDebt(t *testing.T) {
	h := newHarness(t, testSettings(), runningBackends("s")...)
	small := h.timeOutCounter()
	h.advance(20 * time.Second)
	h.engine.requestBlock(small)
	total := small.callUnits + small.total + 30
	h.notify(CounterReply{Name: small.counterName(), Outcome: Succeeded, Total: total})
	if got := h.engine.availableUnits(small) + small.leasedUnits; got < 1 {
		t.Fatalf("got %v units after a silence in which others used only their share, want 1 or more", got)
	}
}

// Units used by other instances while the counter is silent may never be reported.
// Their shares of the rate must be assumed spent; otherwise each instance would start
// again with a full quota.
func TestOthersShareIsAssumedSpentWhileTheCounterIsSilent(t *testing.T) {
	h := newHarness(t, testSettings(), runningBackends("s")...)
	small := h.timeOutCounter()
	reply := func(outcome Outcome, total float64) {
		h.notify(CounterReply{Name: small.counterName(), Outcome: outcome, Total: total})
	}
	h.advance(5 * time.Second)
	h.engine.callCounter(small, 0)
	reply(Succeeded, small.callUnits+20) // the quota is empty
	h.advance(time.Second)
	h.engine.callCounter(small, 0)
	reply(TimedOut, 0)
	for range 20 {
		h.advance(time.Second)
		h.engine.refreshTenant(small)
		small.leasedUnits = 0 // its own share is spent
	}
	h.engine.callCounter(small, 0)
	reply(Succeeded, small.callUnits+small.total)
	if got, burst := h.engine.availableUnits(small), small.plan.Burst; got > burst/2 {
		t.Fatalf("got %v units of a burst of %v after a silence, want half at most", got, burst)
	}
}

// If the counter has lost its totals, the lower total is not evidence of free units,
// and no second burst is granted.
func TestCounterThatLostItsTotalsGrantsNoSecondBurst(t *testing.T) {
	h := newHarness(t, testSettings(), runningBackends("s")...)
	small := h.engine.tenantFor(&request{
		Request: Request{Tenant: "c", Spread: 2},
		plan:    h.engine.plans["small"],
	})
	small.leasedUnits, small.unreportedUnits, small.level = 0, 0, 0
	h.engine.callCounter(small, 0)
	h.notify(CounterReply{Name: small.counterName(), Outcome: Succeeded, Total: 1000})
	small.nextCall, small.level, small.leasedUnits = 0, 0, 0
	h.engine.callCounter(small, 0)
	h.notify(CounterReply{Name: small.counterName(), Outcome: Succeeded, Total: small.callUnits})
	if got := h.engine.availableUnits(small); got > 1 {
		t.Fatalf("got %v units after the counter lost its totals, want 1 at most", got)
	}
}

// After a garbled reply of the counter, its units have been added nevertheless. The
// requested block is leased with the next total, and no units are counted twice or
// lost.
func TestGarbledReplyLosesAndDoublesNoUnits(t *testing.T) {
	totals := map[string]float64{}
	h := newHarness(t, testSettings(), runningBackends("s", "u")...)
	garbled := true
	id := RequestID(0)
	for range 200 {
		h.now += 50 * ms
		id++
		for actions := h.arrive(id, "read", "capped"); len(actions) > 0; {
			var next []Action
			for _, call := range actionsOf[AddToCounter](actions) {
				totals[call.Name] += call.Add
				reply := CounterReply{Name: call.Name, Outcome: Succeeded, Total: totals[call.Name]}
				garbled = !garbled
				if garbled {
					reply.Outcome = Failed
					reply.Total = 0
				}
				next = append(next, h.notify(reply)...)
			}
			for _, s := range actionsOf[SendAttempt](actions) {
				next = append(next, h.notify(succeeded(s.ID, s.Backend, ms))...)
			}
			actions = next
		}
		capped := h.tenant("capped")
		want := totals[capped.counterName()]
		if capped.counterSilent || capped.othersRate > 1e-6 || math.Abs(capped.total-want) > 1e-6 {
			t.Fatalf("after request %d: got silent %v, others' rate %v, total %v; want false, 0, %v",
				id, capped.counterSilent, capped.othersRate, capped.total, want)
		}
	}
}

// A burst of less than one request per instance is granted by the counter, request by
// request. All instances together stay within the burst, whatever each has seen and
// even after all have restarted.
func TestSmallBurstOverManyInstancesIsGrantedByTheCounter(t *testing.T) {
	for _, n := range []int{4, 100, 340} {
		settings := testSettings()
		settings.Instances = n
		settings.Plans = append(settings.Plans, Plan{Name: "tiny", Price: 1, Rate: 0.5, Burst: 2, ExcessCost: 1})
		totals := map[string]float64{}
		sent := 0
		for i := range 2 * n { // each instance twice, the second time after a restart
			settings.Index = i % n
			h := newHarness(t, settings, runningBackends("s")...)
			q := h.request(1, "read", "tiny")
			q.GiveUpAt = h.now + time.Second
			q.Spread = n
			actions := h.notify(Arrival{q})
			for _, call := range actionsOf[AddToCounter](actions) {
				totals[call.Name] += call.Add
				reply := CounterReply{Name: call.Name, Outcome: Succeeded, Total: totals[call.Name]}
				actions = append(actions, h.notify(reply)...)
			}
			sent += len(actionsOf[SendAttempt](actions))
		}
		if sent != 2 {
			t.Errorf("%d instances: got %d sent at once, want the burst of 2", n, sent)
		}
	}
}

// A request that waits for the counter gets its answer before its client gives up,
// whatever the counter does. A late reply of the counter causes no attempt.
func TestWaitingForTheCounterLosesNoRequest(t *testing.T) {
	settings := testSettings()
	settings.Instances = 100
	for _, left := range []time.Duration{2 * ms, 15 * ms, 700 * ms} {
		h := newHarness(t, settings, runningBackends("s")...)
		q := h.request(1, "read", "small")
		q.GiveUpAt = h.now + left
		q.Spread = 100
		actions := h.notify(Arrival{q})
		calls := actionsOf[AddToCounter](actions)
		if len(calls) != 1 || calls[0].Add != 1 {
			t.Fatalf("got calls %v, want one for the request's unit", calls)
		}
		actions = append(actions, h.advance(left-left%(10*ms))...)
		if len(actionsOf[Reject](actions)) != 1 {
			t.Fatalf("%v left: got actions %v, want one rejection", left, actions)
		}
		late := h.notify(CounterReply{Name: calls[0].Name, Outcome: Succeeded, Total: 1})
		if len(actionsOf[SendAttempt](late)) > 0 || len(actionsOf[Reject](late)) > 0 {
			t.Fatalf("%v left: got actions %v after the late reply, want none", left, late)
		}
	}
}
