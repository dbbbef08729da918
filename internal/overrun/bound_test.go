package overrun

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hitchspring/policy"
)

const ms = time.Millisecond

const (
	// engineStep is the time between two calls of the policy engine.
	engineStep = 5 * ms
	// slackUnits is the units by which forwarding may exceed a bound: one request.
	slackUnits = 1.0
)

// testSettings returns settings with one class and one plan.
func testSettings(rate, burst float64, instances int) policy.Settings {
	return policy.Settings{
		Instances:      instances,
		MaxAttempts:    1,
		MaxUnits:       3,
		Counter:        true,
		CounterTimeout: 80 * ms,
		MaxRetryAfter:  time.Second,
		Classes: []policy.Class{{
			Name:             "read",
			PriorityWeight:   1,
			LatencyObjective: 300 * ms,
			Deadline:         2 * time.Second,
			Effect:           policy.Safe,
		}},
		Plans: []policy.Plan{{Name: "p", Price: 1, Rate: rate, Burst: burst, ExcessCost: 1}},
	}
}

// disconnection is a test case in which an instance loses the counter.
type disconnection struct {
	rate, burst     float64
	instances       int
	disconnectAfter time.Duration // time from the start
	span            time.Duration // to which the bound applies
	load            float64       // requests at this instance, as a multiple of its share of the rate
	othersLoad      float64       // use by the other instances
	slow            bool          // requests have a long service time
	failsAtOnce     bool          // counter calls fail at once instead of timing out
	seed            uint64
}

func drawDisconnection(t *rapid.T) disconnection {
	var d disconnection
	d.rate = rapid.SampledFrom([]float64{2, 10, 26, 60}).Draw(t, "rate")
	d.instances = rapid.IntRange(1, 6).Draw(t, "instances")
	d.burst = d.rate * rapid.Float64Range(0.3, 6).Draw(t, "burst in seconds")
	disconnectAfter := rapid.SampledFrom([]int{20, 300, 1500, 4000}).Draw(t, "after, ms")
	d.disconnectAfter = time.Duration(disconnectAfter+rapid.IntRange(0, 200).Draw(t, "further ms")) * ms
	d.span = time.Duration(rapid.SampledFrom([]int{100, 1000, 5000}).Draw(t, "span, ms")) * ms
	d.load = rapid.SampledFrom([]float64{0.3, 1, 2, 5}).Draw(t, "load")
	d.othersLoad = rapid.SampledFrom([]float64{0, 0.3, 1, 3}).Draw(t, "others' load")
	d.slow = rapid.Bool().Draw(t, "slow requests")
	d.failsAtOnce = rapid.Bool().Draw(t, "calls fail at once")
	d.seed = rapid.Uint64().Draw(t, "seed")
	return d
}

// scheduledEvent is an event for the policy engine with its time.
type scheduledEvent struct {
	at    time.Duration
	event policy.Event
}

// engineRun drives one instance's policy engine.
type engineRun struct {
	disconnection
	settings      policy.Settings
	engine        *policy.Engine
	now           time.Duration
	serviceTime   time.Duration // of a request
	scheduled     []scheduledEvent
	totals        map[string]float64 // of the counter
	units         map[policy.RequestID]float64
	lastID        policy.RequestID
	nextRequestAt time.Duration
	counterLost   bool
	forwarded     float64 // units since the counter was lost
}

func newEngineRun(t *rapid.T, d disconnection) *engineRun {
	settings := testSettings(d.rate, d.burst, d.instances)
	engine, err := policy.New(settings, d.seed)
	if err != nil {
		t.Fatal(err)
	}
	r := &engineRun{
		disconnection: d,
		settings:      settings,
		engine:        engine,
		now:           time.Minute,
		serviceTime:   5 * ms,
		totals:        map[string]float64{},
		units:         map[policy.RequestID]float64{},
	}
	if d.slow {
		r.serviceTime = 150 * ms
	}
	r.nextRequestAt = r.now
	r.handle(policy.EndpointsChanged{
		Complete: true,
		Backends: []policy.Backend{{ID: "s", State: policy.Running}, {ID: "u", State: policy.Running}},
	})
	return r
}

// schedule schedules an event for the engine after a delay.
func (r *engineRun) schedule(delay time.Duration, event policy.Event) {
	r.scheduled = append(r.scheduled, scheduledEvent{r.now + delay, event})
}

// handle passes an event to the engine and performs the resulting actions.
func (r *engineRun) handle(event policy.Event) {
	for _, action := range r.engine.Handle(r.now, event, nil) {
		switch action := action.(type) {
		case policy.SendAttempt:
			if r.counterLost {
				r.forwarded += r.units[action.ID]
			}
			ended := policy.AttemptEnded{
				ID: action.ID, Outcome: policy.Succeeded, Elapsed: r.serviceTime, Finished: true,
			}
			r.schedule(r.serviceTime, ended)
		case policy.AddToCounter:
			r.addToCounter(action)
		}
	}
}

// addToCounter schedules the reply to a counter call, or its failure.
func (r *engineRun) addToCounter(call policy.AddToCounter) {
	switch {
	case r.counterLost && r.failsAtOnce:
		r.schedule(ms, policy.CounterReply{Name: call.Name, Outcome: policy.NoConnect})
	case r.counterLost:
		r.schedule(r.settings.CounterTimeout, policy.CounterReply{Name: call.Name, Outcome: policy.TimedOut})
	default:
		r.totals[call.Name] += call.Add + r.othersLoad*r.rate*0.01
		total := r.totals[call.Name]
		r.schedule(2*ms, policy.CounterReply{Name: call.Name, Outcome: policy.Succeeded, Total: total})
	}
}

// loseCounter returns the present bound and makes the counter unreachable; replies
// in transit are lost. It returns false if no request has arrived yet.
func (r *engineRun) loseCounter() (Bound, bool) {
	var bound Bound
	for _, quota := range QuotaStates(r.engine.ExportState(), r.engine.QuotaStatuses(), r.settings) {
		bound = BoundOf(r.now, quota, r.span)
	}
	if bound.Tenant == "" {
		return bound, false
	}
	r.counterLost = true
	for i := range r.scheduled {
		if reply, is := r.scheduled[i].event.(policy.CounterReply); is {
			reply.Outcome = policy.TimedOut
			r.scheduled[i] = scheduledEvent{r.now + r.settings.CounterTimeout, reply}
		}
	}
	return bound, true
}

// step handles all events and requests that are due, and advances the time.
func (r *engineRun) step() {
	for i := 0; i < len(r.scheduled); i++ {
		if r.scheduled[i].at <= r.now {
			event := r.scheduled[i].event
			r.scheduled = append(r.scheduled[:i], r.scheduled[i+1:]...)
			i--
			r.handle(event)
		}
	}
	interval := time.Duration(float64(time.Second) / (r.load * r.rate / float64(r.instances)))
	for ; r.nextRequestAt <= r.now; r.nextRequestAt += interval {
		r.lastID++
		r.units[r.lastID] = 1
		r.handle(policy.Arrival{Request: policy.Request{
			ID:       r.lastID,
			Class:    "read",
			Plan:     "p",
			Tenant:   "c",
			Units:    1,
			GiveUpAt: r.now + time.Second,
			Spread:   r.instances,
		}})
	}
	r.handle(policy.TimerFired{})
	r.now += engineStep
}

// The units that an instance forwards after it has lost the counter are within the
// bound stated at that moment, for any load, share, use by others and time of the
// loss.
func TestBoundHoldsWhenCounterIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newEngineRun(t, drawDisconnection(t))
		cutAt := r.now + r.disconnectAfter
		for r.now < cutAt {
			r.step()
		}
		bound, known := r.loseCounter()
		if !known {
			return
		}
		for r.now < cutAt+r.span {
			r.step()
		}
		if r.forwarded > bound.MaxSpend+slackUnits {
			t.Fatalf("forwarded in %v: got %.1f units, want at most %.1f: %+v",
				r.span, r.forwarded, bound.MaxSpend, bound)
		}
	})
}

const testNow = time.Hour

// modeTest is a change to a quota in Normal mode, with the expected mode and bound.
type modeTest struct {
	change        func(*QuotaState)
	mode          Mode
	maxUnreported float64 // within 3 s
}

var modeTests = map[string]modeTest{
	"answered": {
		change:        func(*QuotaState) {},
		mode:          Normal,
		maxUnreported: 10 + 9 + 1 + 5,
	},
	"late": {
		change:        func(q *QuotaState) { q.TotalAt = testNow - 3*time.Second },
		mode:          Late,
		maxUnreported: 10 + 9 + 1 + 5,
	},
	"late without demand": {
		change:        func(q *QuotaState) { q.TotalAt, q.Demand = testNow-3*time.Second, 0 },
		mode:          Normal,
		maxUnreported: 10 + 9 + 1 + 5,
	},
	"a call has failed": {
		change:        func(q *QuotaState) { q.CounterSilent = true },
		mode:          Late,
		maxUnreported: 10,
	},
	"disconnected": {
		change:        func(q *QuotaState) { q.CounterSilent, q.TotalAt = true, testNow-time.Second },
		mode:          Disconnected,
		maxUnreported: 10,
	},
	"disconnected with unreported units": {
		change: func(q *QuotaState) {
			q.CounterSilent, q.TotalAt, q.UnreportedUnits = true, testNow-time.Second, 7
		},
		mode:          Disconnected,
		maxUnreported: 17,
	},
	"in debt": {
		change:        func(q *QuotaState) { q.AvailableUnits = -29 },
		mode:          Normal,
		maxUnreported: 10,
	},
	"never heard": {
		change:        func(q *QuotaState) { q.TotalAt, q.CounterSilent = 0, true },
		mode:          NeverAnswered,
		maxUnreported: 10,
	},
	"each request calls the counter": {
		change:        func(q *QuotaState) { q.Spread, q.Sparse, q.CounterSilent = 40, true, true },
		mode:          PerRequest,
		maxUnreported: 0.75,
	},
}

func TestModes(t *testing.T) {
	for name, test := range modeTests {
		t.Run(name, func(t *testing.T) {
			quota := QuotaState{
				Plan: Plan{Rate: 10, Burst: 60, MaxUnits: 2},
				LearnedTenant: policy.LearnedTenant{
					Account:     "c",
					Plan:        "p",
					Spread:      3,
					LeasedUnits: 5,
					Demand:      4,
					TotalAt:     testNow - 100*ms,
					RefreshedAt: testNow,
				},
				QuotaStatus: policy.QuotaStatus{AvailableUnits: 10},
			}
			test.change(&quota)
			bound := BoundOf(testNow, quota, 3*time.Second)
			if bound.Mode != test.mode {
				t.Errorf("mode: got %v, want %v", bound.Mode, test.mode)
			}
			if math.Abs(bound.MaxUnreported-test.maxUnreported) > 1e-6 {
				t.Errorf("unreported units: got %.2f, want %.2f", bound.MaxUnreported, test.maxUnreported)
			}
			expectSameAfterJSON(t, bound)
		})
	}
}
