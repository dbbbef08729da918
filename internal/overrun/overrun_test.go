package overrun

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hitchspring/policy"
)

const ms = time.Millisecond

func settings(rate, burst float64, ways int) policy.Settings {
	return policy.Settings{
		Instances: ways, MaxAttempts: 1, MaxUnits: 3, Counter: true, CounterTimeout: 80 * ms, MaxRetryAfter: time.Second,
		Classes: []policy.Class{{Name: "read", PriorityWeight: 1, LatencyObjective: 300 * ms, Deadline: 2 * time.Second, Effect: policy.Safe}},
		Plans:   []policy.Plan{{Name: "p", Price: 1, Rate: rate, Burst: burst, ExcessCost: 1}},
	}
}

// What an instance passes on after it has heard the counter for the last time stays within what was stated before, whatever its load, its part,
// the others' use and the moment of the cut.
func TestStatedBeforeItHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{2, 10, 26, 60}).Draw(t, "rate")
		ways := rapid.IntRange(1, 6).Draw(t, "ways")
		burst := rate * rapid.Float64Range(0.3, 6).Draw(t, "burst")
		cut := time.Duration(rapid.SampledFrom([]int{20, 300, 1500, 4000}).Draw(t, "cut, ms")+rapid.IntRange(0, 200).Draw(t, "and")) * ms
		span := time.Duration(rapid.SampledFrom([]int{100, 1000, 5000}).Draw(t, "span, ms")) * ms
		load := rapid.SampledFrom([]float64{0.3, 1, 2, 5}).Draw(t, "load") // times its part of the rate
		others := rapid.SampledFrom([]float64{0, 0.3, 1, 3}).Draw(t, "others")
		slow := rapid.Bool().Draw(t, "a narrow window")
		refuses := rapid.Bool().Draw(t, "calls fail at once")
		set := settings(rate, burst, ways)
		g, err := policy.New(set, rapid.Uint64().Draw(t, "seed"))
		if err != nil {
			t.Fatal(err)
		}
		now, took := time.Minute, 5*ms
		if slow {
			took = 150 * ms
		}
		type later struct {
			at time.Duration
			ev policy.Event
		}
		var queue []later
		totals := map[string]float64{}
		units := map[policy.RequestID]float64{}
		began, stated := now, Bound{}
		sent, isCut := 0.0, false
		handle := func(ev policy.Event) {
			for _, a := range g.Handle(now, ev, nil) {
				switch a := a.(type) {
				case policy.SendAttempt:
					if isCut {
						sent += units[a.ID]
					}
					queue = append(queue, later{now + took, policy.AttemptEnded{ID: a.ID, Outcome: policy.Succeeded, Took: took, Finished: true}})
				case policy.AddToCounter:
					switch {
					case isCut && refuses:
						queue = append(queue, later{now + ms, policy.CounterReply{Name: a.Name, Outcome: policy.NoConnect}})
					case isCut:
						queue = append(queue, later{now + set.CounterTimeout, policy.CounterReply{Name: a.Name, Outcome: policy.TimedOut}})
					default:
						totals[a.Name] += a.Add + others*rate*0.01
						queue = append(queue, later{now + 2*ms, policy.CounterReply{Name: a.Name, Outcome: policy.Succeeded, Total: totals[a.Name]}})
					}
				}
			}
		}
		handle(policy.EndpointsChanged{Complete: true, Backends: []policy.Backend{{ID: "s", State: policy.Running}, {ID: "u", State: policy.Running}}})
		id, due := policy.RequestID(0), now
		for ; now < began+cut+span; now += 5 * ms {
			if !isCut && now >= began+cut {
				for _, b := range QuotaStates(g.ExportState(), g.QuotaStandings(), set) {
					stated = BoundOf(now, b, span)
				}
				if stated.Tenant == "" {
					return // nothing was asked yet
				}
				isCut = true
				for i := range queue { // what is under way does not come any more
					if r, is := queue[i].ev.(policy.CounterReply); is {
						r.Outcome = policy.TimedOut
						queue[i] = later{now + set.CounterTimeout, r}
					}
				}
			}
			for i := 0; i < len(queue); i++ {
				if queue[i].at <= now {
					ev := queue[i].ev
					queue = append(queue[:i], queue[i+1:]...)
					i--
					handle(ev)
				}
			}
			for ; due <= now; due += time.Duration(float64(time.Second) / (load * rate / float64(ways))) {
				id++
				units[id] = 1
				handle(policy.Arrival{Request: policy.Request{ID: id, Class: "read", Plan: "p", Tenant: "c", Units: 1, GiveUpAt: now + time.Second, Spread: ways}})
			}
			handle(policy.TimerFired{})
		}
		if slack := 1.0; sent > stated.MaxSpend+slack {
			t.Fatalf("%.1f units were passed on in %v, %.1f were stated before: %+v", sent, span, stated.MaxSpend, stated)
		}
	})
}

// The modes, and what is stated in each.
func TestModes(t *testing.T) {
	plan := Plan{Rate: 10, Burst: 60, MaxUnits: 2}
	now := time.Hour
	book := func(change func(*QuotaState)) QuotaState {
		b := QuotaState{Plan: plan, LearnedTenant: policy.LearnedTenant{ID: "c", Plan: "p", Spread: 3, LeasedUnits: 5, Demand: 4, TotalAt: now - 100*ms, RefreshedAt: now}, QuotaStanding: policy.QuotaStanding{AvailableUnits: 10}}
		change(&b)
		return b
	}
	for name, c := range map[string]struct {
		change    func(*QuotaState)
		mode      Mode
		uncounted float64 // within 3 s
	}{
		"answered":                  {func(*QuotaState) {}, Normal, 10 + 9 + 1 + 5},
		"late":                      {func(b *QuotaState) { b.TotalAt = now - 3*time.Second }, Late, 10 + 9 + 1 + 5},
		"late, and nobody asks":     {func(b *QuotaState) { b.TotalAt, b.Demand = now-3*time.Second, 0 }, Normal, 10 + 9 + 1 + 5},
		"a call has failed":         {func(b *QuotaState) { b.CounterSilent = true }, Late, 10},
		"alone":                     {func(b *QuotaState) { b.CounterSilent, b.TotalAt = true, now-time.Second }, Disconnected, 10},
		"alone, and owes":           {func(b *QuotaState) { b.CounterSilent, b.TotalAt, b.UnreportedUnits = true, now-time.Second, 7 }, Disconnected, 17},
		"in debt":                   {func(b *QuotaState) { b.AvailableUnits = -29 }, Normal, 10},
		"never heard":               {func(b *QuotaState) { b.TotalAt, b.CounterSilent = 0, true }, NeverHeard, 10},
		"each request is asked for": {func(b *QuotaState) { b.Spread, b.Sparse, b.CounterSilent = 40, true, true }, PerRequest, 0.75},
	} {
		s := BoundOf(now, book(c.change), 3*time.Second)
		if s.Mode != c.mode || math.Abs(s.MaxUnreported-c.uncounted) > 1e-6 {
			t.Errorf("%s: %v, %.2f uncounted, want %v, %.2f", name, s.Mode, s.MaxUnreported, c.mode, c.uncounted)
		}
		text, err := json.Marshal(s)
		var back Bound
		if err != nil || json.Unmarshal(text, &back) != nil || back != s {
			t.Errorf("%s: %s comes back as %+v", name, text, back)
		}
	}
}
