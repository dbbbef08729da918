package policy

import (
	"math"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

func settings() Settings {
	return Settings{
		Index: 0, Instances: 2, Zone: "a", MaxUnits: 1, MaxAttempts: 3, MaxRetryAfter: time.Second,
		MayCancel: true, Hedging: true, Counter: true, CounterTimeout: 50 * ms,
		SlowStartShare: 0.2, SlowStartWindow: 10 * time.Second, OverloadMultiple: 4, OverloadSpan: 3 * time.Second,
		Classes: []Class{
			{Name: "read", PriorityWeight: 1, LatencyObjective: 500 * ms, Deadline: 2 * time.Second, Effect: Safe},
			{Name: "book", PriorityWeight: 5, LatencyObjective: 500 * ms, Deadline: 2 * time.Second, Effect: Keyed, RepeatWindow: 4 * time.Second},
			{Name: "pay", PriorityWeight: 5, LatencyObjective: 500 * ms, Deadline: 2 * time.Second},
		},
		Plans: []Plan{
			{Name: "free", Price: 1},
			{Name: "dear", Price: 2},
			{Name: "small", Price: 1, Rate: 2, Burst: 8, ExcessCost: 0.5},
			{Name: "capped", Price: 1, Rate: 10, Burst: 20, CeilingRate: 20, CeilingBurst: 40, CeilingSlack: 4},
		},
	}
}

type rig struct {
	*testing.T
	engine *Engine
	now    time.Duration
}

func newRig(t *testing.T, set Settings, servers ...Backend) *rig {
	t.Helper()
	g, err := New(set, 7)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{T: t, engine: g, now: time.Minute}
	r.notify(EndpointsChanged{Complete: true, Backends: servers})
	return r
}

func (r *rig) notify(ev Event) []Action { return r.engine.Handle(r.now, ev, nil) }

func (r *rig) arrive(id RequestID, class, plan string) []Action {
	return r.notify(Arrival{Request{
		ID: id, Class: class, Plan: plan, Tenant: "c", Units: 1,
		GiveUpAt: r.now + 2*time.Second, Spread: 2,
	}})
}

// pass lets time go by in sweeps.
func (r *rig) pass(d time.Duration) (out []Action) {
	for end := r.now + d; r.now < end; {
		r.now += 10 * ms
		out = append(out, r.notify(TimerFired{})...)
	}
	return out
}

func actionsOf[A Action](acts []Action) (out []A) {
	for _, a := range acts {
		if a, ok := a.(A); ok {
			out = append(out, a)
		}
	}
	return out
}

func TestSendsAtOnceWhileTheWindowHasRoom(t *testing.T) {
	r := newRig(t, settings(), Backend{ID: "s", State: Running})
	if got := actionsOf[SendAttempt](r.arrive(1, "read", "free")); len(got) != 1 || got[0].Backend != "s" {
		t.Fatalf("sends %v", got)
	}
}

func TestFreedSlotTakesTheHighestWorth(t *testing.T) {
	r := newRig(t, settings(), Backend{ID: "s", State: Running})
	r.arrive(1, "read", "free")
	r.arrive(2, "read", "free")
	r.arrive(3, "read", "free")
	r.arrive(4, "read", "dear")
	got := actionsOf[SendAttempt](r.notify(AttemptEnded{ID: 1, Backend: "s", Outcome: Succeeded, Took: 20 * ms, Finished: true}))
	if len(got) == 0 || got[0].ID != 4 {
		t.Fatalf("sends %v, want request 4 first", got)
	}
}

func TestHeldWithLessTimeThanASweepIsAnsweredAtOnce(t *testing.T) {
	r := newRig(t, settings()) // no servers: nothing can leave
	got := r.notify(Arrival{Request{ID: 1, Class: "read", Plan: "free", Tenant: "c", Units: 1, GiveUpAt: r.now + ms}})
	if len(actionsOf[Reject](got)) != 1 {
		t.Fatalf("actions %v, want a refusal", got)
	}
}

func TestRefusedRequestsGiveNoUnitsBack(t *testing.T) {
	r := newRig(t, settings(), Backend{ID: "s", State: Running}, Backend{ID: "u", State: Running})
	sent := 0
	for id := RequestID(1); id < 60; id++ { // no counter answers: this gateway's share of the burst is 4
		sent += len(actionsOf[SendAttempt](r.arrive(id, "read", "small")))
		r.notify(AttemptEnded{ID: id, Outcome: Succeeded, Took: ms, Finished: true})
	}
	if sent < 4 || sent > 8 {
		t.Fatalf("sent %d of 59, the whole burst is 8", sent)
	}
}

// A server that restarts keeps what is still out to it, and survives that work's end.
func TestRestartedServerKeepsItsOutstandingAttempts(t *testing.T) {
	r := newRig(t, settings(), Backend{ID: "s", State: Running})
	r.arrive(1, "read", "free")
	r.arrive(2, "read", "free")
	before := len(r.engine.backends["s"].outstanding)
	r.notify(EndpointsChanged{Backends: []Backend{{ID: "s", State: Running, Started: r.now}}})
	if now := len(r.engine.backends["s"].outstanding); now != before || before == 0 {
		t.Fatalf("%d attempts out before the restart, %d after", before, now)
	}
	r.notify(AttemptEnded{ID: 1, Backend: "s", Outcome: Reset})
	r.notify(AttemptEnded{ID: 2, Backend: "s", Outcome: Reset})
	r.pass(time.Second)
	for _, a := range r.engine.backends["s"].outstanding {
		if a == nil || a.ended {
			t.Fatalf("out to the server: %v", a)
		}
	}
}

// After a long silence of the counter its customers are not refused for what others took in the meantime.
func TestCounterSilenceLeavesNoDebt(t *testing.T) {
	r := newRig(t, settings(), Backend{ID: "s", State: Running})
	c := r.timeOutCounter()
	r.pass(20 * time.Second)
	r.engine.requestBlock(c)
	r.notify(CounterReply{Name: c.counterName(), Outcome: Succeeded, Total: c.callUnits + c.total + 30})
	if room := r.engine.availableUnits(c) + c.leasedUnits; room < 1 {
		t.Fatalf("room %v after a silence in which others kept to their share", room)
	}
}

// What others took while nobody heard the counter may never be told: their parts of the rate are reckoned as spent, or each instance would begin
// again with a full store.
func TestOthersAreReckonedInASilence(t *testing.T) {
	r := newRig(t, settings(), Backend{ID: "s", State: Running})
	c := r.timeOutCounter()
	r.pass(5 * time.Second)
	r.engine.callCounter(c, 0)
	r.notify(CounterReply{Name: c.counterName(), Outcome: Succeeded, Total: c.callUnits + 20}) // the store is empty
	r.pass(time.Second)
	r.engine.callCounter(c, 0)
	r.notify(CounterReply{Name: c.counterName(), Outcome: TimedOut})
	for range 20 {
		r.pass(time.Second)
		r.engine.refreshTenant(c)
		c.leasedUnits = 0 // its own part is spent
	}
	r.engine.callCounter(c, 0)
	r.notify(CounterReply{Name: c.counterName(), Outcome: Succeeded, Total: c.callUnits + c.total})
	if room := r.engine.availableUnits(c); room > c.plan.Burst/2 {
		t.Fatalf("room %v of a burst of %v after a silence of which nothing was told", room, c.plan.Burst)
	}
}

// silence uses one customer until a call is out and lets it time out.
func (r *rig) timeOutCounter() *tenant {
	id := RequestID(1000)
	for {
		id++
		r.arrive(id, "read", "small")
		r.notify(AttemptEnded{ID: id, Outcome: Succeeded, Took: ms, Finished: true})
		if c := r.engine.tenants[(&Request{Tenant: "c", Plan: "small"}).Account()]; c.callPending {
			r.notify(CounterReply{Name: c.counterName(), Outcome: TimedOut})
			return c
		}
	}
}

// A burst that gives each gateway less than one request is asked for at the counter, request by request: what all
// gateways send stays within it, whatever each has seen, and also after all have restarted.
func TestSmallBurstOverManyGatewaysIsAskedFor(t *testing.T) {
	for _, n := range []int{4, 100, 340} {
		set := settings()
		set.Instances = n
		set.Plans = append(set.Plans, Plan{Name: "tiny", Price: 1, Rate: 0.5, Burst: 2, ExcessCost: 1})
		totals, sent := map[string]float64{}, 0
		for i := range 2 * n { // each gateway twice, the second time as one that has just started
			set.Index = i % n
			r := newRig(t, set, Backend{ID: "s", State: Running})
			acts := r.notify(Arrival{Request{
				ID: 1, Class: "read", Plan: "tiny", Tenant: "c", Units: 1,
				GiveUpAt: r.now + time.Second, Spread: n,
			}})
			for _, c := range actionsOf[AddToCounter](acts) {
				totals[c.Name] += c.Add
				acts = append(acts, r.notify(CounterReply{Name: c.Name, Outcome: Succeeded, Total: totals[c.Name]})...)
			}
			sent += len(actionsOf[SendAttempt](acts))
		}
		if sent != 2 {
			t.Errorf("%d gateways sent %d at once, the burst is 2", n, sent)
		}
	}
}

// A counter that comes back empty tells nothing new, and gives no second burst.
func TestCounterBackEmptyGivesNoSecondBurst(t *testing.T) {
	r := newRig(t, settings(), Backend{ID: "s", State: Running})
	c := r.engine.tenantFor(&request{Request: Request{Tenant: "c", Spread: 2}, plan: r.engine.plans["small"]})
	c.leasedUnits, c.unreportedUnits, c.level = 0, 0, 0
	r.engine.callCounter(c, 0)
	r.notify(CounterReply{Name: c.counterName(), Outcome: Succeeded, Total: 1000})
	c.nextCall, c.level, c.leasedUnits = 0, 0, 0
	r.engine.callCounter(c, 0)
	r.notify(CounterReply{Name: c.counterName(), Outcome: Succeeded, Total: c.callUnits})
	if room := r.engine.availableUnits(c); room > 1 {
		t.Fatalf("room %v after the counter lost its numbers", room)
	}
}

// A spoilt answer of the counter is no silence: the amount was added. The block that it asked for comes with the next
// total, and nothing is counted twice or forgotten.
func TestSpoiltTotalIsMadeGood(t *testing.T) {
	set := settings()
	totals := map[string]float64{}
	r := newRig(t, set, Backend{ID: "s", State: Running}, Backend{ID: "u", State: Running})
	id, spoilt := RequestID(0), true
	for range 200 {
		r.now += 50 * ms
		id++
		for acts := r.arrive(id, "read", "capped"); len(acts) > 0; {
			var next []Action
			for _, call := range actionsOf[AddToCounter](acts) {
				totals[call.Name] += call.Add // a name holds for a window of time
				reply := CounterReply{Name: call.Name, Outcome: Succeeded, Total: totals[call.Name]}
				if spoilt = !spoilt; spoilt {
					reply.Outcome, reply.Total = Failed, 0
				}
				next = append(next, r.notify(reply)...)
			}
			for _, s := range actionsOf[SendAttempt](acts) {
				next = append(next, r.notify(AttemptEnded{ID: s.ID, Backend: s.Backend, Outcome: Succeeded, Took: ms, Finished: true})...)
			}
			acts = next
		}
		c := r.engine.tenants[(&Request{Tenant: "c", Plan: "capped"}).Account()]
		if c.counterSilent || c.othersRate > 1e-6 || math.Abs(c.total-totals[c.counterName()]) > 1e-6 {
			t.Fatalf("after request %d: silent %v, others %v, total %v of %v", id, c.counterSilent, c.othersRate, c.total, totals[c.counterName()])
		}
	}
}

// Servers come under ever new ids: one that is gone is forgotten once nothing is out there.
func TestGoneServerIsForgotten(t *testing.T) {
	r := newRig(t, settings(), Backend{ID: "s", State: Running})
	r.arrive(1, "read", "free")
	r.notify(EndpointsChanged{Backends: []Backend{{ID: "s", State: Gone}, {ID: "u", State: Running}}})
	if len(r.engine.backends) != 2 {
		t.Fatal("forgotten while an attempt is out")
	}
	r.notify(AttemptEnded{ID: 1, Backend: "s", Outcome: Succeeded, Took: ms, Finished: true})
	r.notify(EndpointsChanged{Backends: []Backend{{ID: "v", State: Running}}})
	if r.engine.backends["s"] != nil || len(r.engine.running) != 2 {
		t.Fatalf("servers %v, fleet %v", r.engine.backends, r.engine.running)
	}
}

// A request that names a customer with another plan than the first one did is judged by its own plan, and leaves the other's store alone:
// whoever came first once set the quota of all that followed.
func TestPlansOfOneNameAreKeptApart(t *testing.T) {
	for _, first := range []string{"small", "large"} {
		set := settings()
		set.Instances, set.Counter = 1, false
		set.Plans = append(set.Plans, Plan{Name: "large", Price: 1, Rate: 3, Burst: 20, ExcessCost: 0.5})
		r := newRig(t, set, Backend{ID: "s", State: Running})
		sent := map[string]int{}
		id := RequestID(0)
		ask := func(plan string) {
			id++
			out := r.notify(Arrival{Request{ID: id, Class: "read", Plan: plan, Tenant: "c", Units: 1, GiveUpAt: r.now + 2*time.Second, Spread: 1}})
			if got := actionsOf[SendAttempt](out); len(got) > 0 {
				sent[plan]++
				r.notify(AttemptEnded{ID: id, Backend: "s", Outcome: Succeeded, Took: ms, Finished: true})
			}
		}
		ask(first)
		r.pass(3 * time.Second) // its store is full again
		for range 30 {
			ask("small")
			ask("large")
		}
		most := map[string]int{"small": 8, "large": 20}
		most[first]++ // the store has filled since its first request
		for plan, n := range most {
			if sent[plan] != n {
				t.Errorf("%s first: %d requests of plan %s were sent on, its store holds %d", first, sent[plan], plan, n)
			}
		}
	}
}

// A customer's books have one name at the counter, whatever each gateway has heard before: where one has first heard it with another plan, or
// with another set, its true requests are still counted together with the others'.
func TestBooksHaveOneName(t *testing.T) {
	name := func(before func(r *rig)) string {
		r := newRig(t, settings(), Backend{ID: "s", State: Running})
		before(r)
		for id := RequestID(10); id < 20; id++ {
			if calls := actionsOf[AddToCounter](r.arrive(id, "read", "small")); len(calls) > 0 {
				return calls[0].Name
			}
			r.notify(AttemptEnded{ID: id, Backend: "s", Outcome: Succeeded, Took: ms, Finished: true})
		}
		t.Fatal("the counter was not called")
		return ""
	}
	want := name(func(*rig) {})
	for what, before := range map[string]func(r *rig){
		"another plan first": func(r *rig) { r.arrive(1, "read", "capped") },
		"another set first": func(r *rig) {
			r.notify(Arrival{Request{ID: 1, Class: "read", Plan: "small", Tenant: "c", Units: 1, GiveUpAt: r.now + 2*time.Second, Spread: 1, First: 1}})
		},
	} {
		if got := name(before); got != want {
			t.Errorf("%s: counted as %q, elsewhere as %q", what, got, want)
		}
	}
	for _, plan := range []string{"small", "", "with space", "Ünï", "a-plan-with-a-name-that-is-longer-than-the-counter-would-take-it"} {
		r := Request{Tenant: "00000000b4d65521", Plan: plan}
		other := Request{Tenant: r.Tenant, Plan: plan + "2"}
		if n := r.Account(); len(n) > 24 || strings.ContainsAny(n, " :\r\n") || n == other.Account() {
			t.Errorf("plan %q: %q", plan, n)
		}
	}
}

// Each request is judged by the set that it names: one that says that its customer comes through this gateway alone does not leave it the whole
// of the rate.
func TestRequestsAreJudgedByTheirOwnSet(t *testing.T) {
	set := settings()
	set.Counter = false // the fair share of the rate decides
	r := newRig(t, set, Backend{ID: "s", State: Running})
	id, sent := RequestID(0), 0
	ask := func(spread int) {
		id++
		out := r.notify(Arrival{Request{ID: id, Class: "read", Plan: "small", Tenant: "c", Units: 1, GiveUpAt: r.now + 2*time.Second, Spread: spread}})
		if got := actionsOf[SendAttempt](out); len(got) > 0 {
			sent++
			r.notify(AttemptEnded{ID: id, Backend: "s", Outcome: Succeeded, Took: ms, Finished: true})
		}
	}
	ask(1)
	for range 80 {
		r.pass(100 * ms)
		ask(2)
	}
	if most := 8 + 8*1 + 1; sent > most { // the burst that the first has leased, half of the rate for 8 s, and one
		t.Errorf("%d were sent on, %d at the most may be", sent, most)
	}
}

// What was never sent costs no server anything: its repeat needs nothing of the budget of further attempts, which may be spent where a server
// begins to drain under many that wait for a connection to it.
func TestNeverSentIsRepeatedWithoutBudget(t *testing.T) {
	for o, want := range map[Outcome]int{NotSent: 1, NoConnect: 0} {
		r := newRig(t, settings(), Backend{ID: "s", State: Running}, Backend{ID: "u", State: Running})
		first := actionsOf[SendAttempt](r.arrive(1, "pay", "free"))[0]
		r.engine.retryBudget = 0
		again := actionsOf[SendAttempt](r.notify(AttemptEnded{ID: 1, Backend: first.Backend, Outcome: o}))
		if len(again) != want || r.engine.retryBudget != 0 {
			t.Errorf("outcome %d: %d further attempts, want %d; the budget is %v", o, len(again), want, r.engine.retryBudget)
		}
	}
}

// What a process of the version before leaves is known under its customers' names alone: the units stay this gateway's, the counter is asked
// under the new name.
func TestLearnsFromTheVersionBefore(t *testing.T) {
	old := newRig(t, settings(), Backend{ID: "s", State: Running})
	for id := RequestID(1); id < 4; id++ {
		old.arrive(id, "read", "small")
	}
	was := old.engine.ExportState()
	was.Tenants[0].ID, was.Tenants[0].Tenant = "c", ""
	was.Tenants[0].Total, was.Tenants[0].LeasedUnits = 5, 1.5
	next := newRig(t, settings(), Backend{ID: "s", State: Running})
	next.engine.ImportState(old.now, was)
	next.now = old.now
	next.arrive(9, "read", "small")
	got := next.engine.ExportState().Tenants
	if len(got) != 1 || got[0].ID != (&Request{Tenant: "c", Plan: "small"}).Account() || got[0].Tenant != "c" || got[0].LeasedUnits >= 1.5 || got[0].Total != 0 {
		t.Errorf("learned %+v", got)
	}
}
