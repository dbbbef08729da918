package sim

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

const second = time.Second

// base is a fleet at some six tenths of what it can do.
func base(gateways int, seed uint64) Fleet {
	return Fleet{Seed: seed, Gateways: gateways, Nodes: 30, Rate: 250, Channels: 160, Length: 14 * second, Calls: 120, ListLate: 1500 * time.Millisecond}
}

// keep fails the test for each rule that a report breaks.
func keep(t *testing.T, what string, r *Report) {
	t.Helper()
	if r.Answers+r.Lost != r.Requests || r.Twice > 0 || r.Late > 0 {
		t.Errorf("%s: %d requests, %d answers, %d lost with their gateway, %d twice, %d late", what, r.Requests, r.Answers, r.Lost, r.Twice, r.Late)
	}
	if len(r.Fallen) > 0 {
		t.Errorf("%s: cold nodes pushed over: %v", what, r.Fallen)
	}
	if r.Drained > 0 {
		t.Errorf("%s: %d sends to nodes that drain or are gone, after the grace", what, r.Drained)
	}
	if r.Over > 6+ceilRate*0.15 {
		t.Errorf("%s: a channel went %.1f units over its ceiling", what, r.Over)
	}
}

// Days of a large fleet, each at 3 and at 80 gateways under the same load and the same faults.
func TestDays(t *testing.T) {
	if testing.Short() {
		t.Skip("plays a fleet of 80")
	}
	for name, day := range map[string]struct {
		faults func(gateways int) []Fault
		busy   float64
		list   time.Duration
		least  float64 // served at 80 gateways, in what is served at 3
	}{
		"calm": {func(int) []Fault { return nil }, 0, 0, 0.90},
		"most gateways killed within a second, the list silent for 8 s": {func(n int) []Fault { return []Fault{Kill(4*second, n*7/8, 3*second)} }, 0, 8 * second, 0.90},
		"a hall gone silently and back cold":                            {func(int) []Fault { return []Fault{LoseHall(3*second, "b", 5*second)} }, 0, 0, 0.90},
		"six nodes in ten replaced within 7 s while two crawl": {func(int) []Fault {
			return []Fault{Crawl(2*second, 2, 6, 12*second), Replace(3*second, 18, 7*second)}
		}, 0, 0, 0.90},
		"one node refuses, one is mute":                  {func(int) []Fault { return []Fault{Refuse(3*second, 4), Mute(3*second, 7)} }, 0, 0, 0.90},
		"the counter busy half of the time":              {func(int) []Fault { return nil }, 0.5, 0, 0.90},
		"one gateway hears all of it 5 s after the rest": {func(int) []Fault { return []Fault{Late(1, 5*second), LoseHall(3*second, "c", 5*second)} }, 0, 0, 0.90},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var served [2]float64
			for i, n := range []int{3, 80} {
				for seed := range uint64(2) {
					f := base(n, seed+1)
					f.Faults, f.Busy = day.faults(n), day.busy
					f.ListLate += day.list
					r, err := Play(f)
					if err != nil {
						t.Fatal(err)
					}
					keep(t, name, r)
					served[i] += r.Served / r.Asked / 2
				}
			}
			t.Logf("served %.3f at 3 gateways, %.3f at 80: %.2f", served[0], served[1], served[1]/served[0])
			if served[1] < day.least*served[0] {
				t.Errorf("served %.3f at 80 gateways, %.3f at 3", served[1], served[0])
			}
		})
	}
}

// The same seed is the same run, another is not.
func TestSeed(t *testing.T) {
	var got [3]*Report
	for i, seed := range []uint64{7, 7, 8} {
		f := base(20, seed)
		f.Length = 3 * second
		f.Faults = []Fault{LoseHall(second, "a", second)}
		r, err := Play(f)
		if err != nil {
			t.Fatal(err)
		}
		got[i] = r
	}
	if !reflect.DeepEqual(got[0], got[1]) {
		t.Errorf("one seed, two runs: %+v, %+v", got[0], got[1])
	}
	if reflect.DeepEqual(got[0], got[2]) {
		t.Error("two seeds, one run")
	}
}

// A fleet that is none is an error, not a crash.
func TestBadFleets(t *testing.T) {
	for _, f := range []Fleet{
		{},
		{Gateways: 1, Nodes: 2, Channels: 1, Rate: 1, Length: 1},
		{Gateways: 1, Nodes: 3, Channels: 1, Length: 1},
		{Gateways: 0, Nodes: 3, Channels: 1, Rate: 1, Length: 1},
	} {
		if _, err := Play(f); err == nil {
			t.Errorf("%+v: no error", f)
		}
	}
}

// The books see what they are for: a module's sends that are too many for a cold node, after the grace, over a ceiling.
func TestBooksSeeBreaks(t *testing.T) {
	f := base(3, 1)
	f.Length = second
	w := &world{Fleet: f, channels: []*channel{{id: "c", plan: plans()[1], store: ceilMost}}}
	n := &node{cores: 2, speed: 1, crawl: 1}
	w.boot(n)
	for range 100 {
		r := &request{}
		r.Tenant, r.Units = "c", 1
		w.judge(&attempt{r: r, node: n, work: 0.1})
	}
	if len(w.rep.Fallen) != 1 || w.rep.Over < 30 {
		t.Errorf("fallen %v, over the ceiling %.1f: a hundred at once are too many", w.rep.Fallen, w.rep.Over)
	}
}

// More gateways than requests, or than nodes, is a fleet as well.
func TestFewRequests(t *testing.T) {
	r, err := Play(Fleet{Seed: 1, Gateways: 80, Nodes: 3, Channels: 2, Rate: 3, Length: 5 * second, Faults: []Fault{LoseHall(second, "a", second)}})
	if err != nil {
		t.Fatal(err)
	}
	keep(t, "few requests", r)
	if r.Served < r.Asked/2 {
		t.Errorf("served %.0f of %.0f", r.Served, r.Asked)
	}
}

// On a quiet day what all gateways together let through beyond quotas costs at most 0.1 of the worth inside them, also where the counter
// takes fewer calls than half of the requests. That is 0.1 more than under a policy that never sends anything beyond: none that sees the
// true state late can do with less.
func TestQuotasHoldForTheFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("plays fleets of 300")
	}
	for _, calls := range []float64{600, 120} {
		for _, n := range []int{3, 20, 80, 300} {
			t.Run(fmt.Sprintf("%d gateways, %v calls a second", n, calls), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(3) {
					f := base(n, seed+1)
					f.Shares, f.Calls, f.Length = true, calls, 40*second
					r, err := Play(f)
					if err != nil {
						t.Fatal(err)
					}
					keep(t, t.Name(), r)
					t.Logf("seed %d: %d requests, served %.3f of the worth inside quotas, paid %.3f for what passed them", seed+1, r.Requests, r.Served/r.Inside, r.Beyond/r.Inside)
					if r.Beyond > 0.1*r.Inside {
						t.Errorf("seed %d: %.3f of the worth inside quotas is paid for what passes them", seed+1, r.Beyond/r.Inside)
					}
				}
			})
		}
	}
}
