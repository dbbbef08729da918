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
	return policy.Settings{Gateways: ways, MaxAttempts: 1, MaxUnits: 3, Counter: true, CounterTimeout: 80 * ms, MaxRetryAfter: time.Second,
		Classes: []policy.Class{{Name: "read", Worth: 1, Aim: 300 * ms, Deadline: 2 * time.Second, Effect: policy.Safe}},
		Plans:   []policy.Plan{{Name: "p", Price: 1, Rate: rate, Burst: burst, ExcessCost: 1}}}
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
		began, stated := now, Statement{}
		sent, isCut := 0.0, false
		handle := func(ev policy.Event) {
			for _, a := range g.Handle(now, ev, nil) {
				switch a := a.(type) {
				case policy.Send:
					if isCut {
						sent += units[a.ID]
					}
					queue = append(queue, later{now + took, policy.AttemptEnded{ID: a.ID, Outcome: policy.Done, Took: took, Finished: true}})
				case policy.Count:
					switch {
					case isCut && refuses:
						queue = append(queue, later{now + ms, policy.CountReply{Name: a.Name, Outcome: policy.NoConnect}})
					case isCut:
						queue = append(queue, later{now + set.CounterTimeout, policy.CountReply{Name: a.Name, Outcome: policy.TimedOut}})
					default:
						totals[a.Name] += a.Add + others*rate*0.01
						queue = append(queue, later{now + 2*ms, policy.CountReply{Name: a.Name, Outcome: policy.Done, Total: totals[a.Name]}})
					}
				}
			}
		}
		handle(policy.FleetChanged{Whole: true, Servers: []policy.Server{{ID: "s", State: policy.Running}, {ID: "u", State: policy.Running}}})
		id, due := policy.RequestID(0), now
		for ; now < began+cut+span; now += 5 * ms {
			if !isCut && now >= began+cut {
				for _, b := range Books(g.Learned(), g.Standings(), set) {
					stated = Of(now, b, span)
				}
				if stated.Customer == "" {
					return // nothing was asked yet
				}
				isCut = true
				for i := range queue { // what is under way does not come any more
					if r, is := queue[i].ev.(policy.CountReply); is {
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
				handle(policy.Arrival{Request: policy.Request{ID: id, Class: "read", Plan: "p", Customer: "c", Units: 1, GiveUpAt: now + time.Second, Spread: ways}})
			}
			handle(policy.TimerFired{})
		}
		if slack := 1.0; sent > stated.Spend+slack {
			t.Fatalf("%.1f units were passed on in %v, %.1f were stated before: %+v", sent, span, stated.Spend, stated)
		}
	})
}

// The modes, and what is stated in each.
func TestModes(t *testing.T) {
	plan := Plan{Rate: 10, Burst: 60, MaxUnits: 2}
	now := time.Hour
	book := func(change func(*Book)) Book {
		b := Book{Plan: plan, LearnedCustomer: policy.LearnedCustomer{ID: "c", Plan: "p", Spread: 3, Block: 5, Demand: 4, Looked: now - 100*ms, Refreshed: now}, Standing: policy.Standing{Room: 10}}
		change(&b)
		return b
	}
	for name, c := range map[string]struct {
		change    func(*Book)
		mode      Mode
		uncounted float64 // within 3 s
	}{
		"answered":                  {func(*Book) {}, Normal, 10 + 9 + 1 + 5},
		"late":                      {func(b *Book) { b.Looked = now - 3*time.Second }, Late, 10 + 9 + 1 + 5},
		"late, and nobody asks":     {func(b *Book) { b.Looked, b.Demand = now-3*time.Second, 0 }, Normal, 10 + 9 + 1 + 5},
		"a call has failed":         {func(b *Book) { b.Silent = true }, Late, 10},
		"alone":                     {func(b *Book) { b.Silent, b.Looked = true, now-time.Second }, Alone, 10},
		"alone, and owes":           {func(b *Book) { b.Silent, b.Looked, b.Owed = true, now-time.Second, 7 }, Alone, 17},
		"in debt":                   {func(b *Book) { b.Room = -29 }, Normal, 10},
		"never heard":               {func(b *Book) { b.Looked, b.Silent = 0, true }, Unheard, 10},
		"each request is asked for": {func(b *Book) { b.Spread, b.Sparse, b.Silent = 40, true, true }, Asked, 0.75},
	} {
		s := Of(now, book(c.change), 3*time.Second)
		if s.Mode != c.mode || math.Abs(s.Uncounted-c.uncounted) > 1e-6 {
			t.Errorf("%s: %v, %.2f uncounted, want %v, %.2f", name, s.Mode, s.Uncounted, c.mode, c.uncounted)
		}
		text, err := json.Marshal(s)
		var back Statement
		if err != nil || json.Unmarshal(text, &back) != nil || back != s {
			t.Errorf("%s: %s comes back as %+v", name, text, back)
		}
	}
}
