package zones

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hitchspring/policy"
)

const ms = time.Millisecond

// rig is a book with three halls of four nodes, and a world that answers what it sends, or doesn't.
type rig struct {
	t    testing.TB
	b    *Tracker
	now  time.Duration
	list []Backend
	dead map[string]bool // halls that refuse at once
	mute map[string]bool // halls that say nothing
	slow map[string]float64
	out  []flight
	facts
	turn  int
	moves []Change
}

type facts struct{ policy.ZonesChanged }

type flight struct {
	id   policy.BackendID
	hall string
	sent time.Duration
	ends time.Duration // 0: never
	ok   bool
}

func newRig(t testing.TB, cfg Config) *rig {
	if cfg.Own == "" {
		cfg.Own = "a"
	}
	cfg.Near, cfg.Probe, cfg.SlowStartWindow, cfg.SlowStartShare = []string{"b"}, true, 18*time.Second, 0.25
	cfg.LatencyObjectives = map[string]time.Duration{"read": 400 * ms}
	r := &rig{t: t, b: New(cfg), now: 100 * time.Second, dead: map[string]bool{}, mute: map[string]bool{}, slow: map[string]float64{}}
	for i := range 12 {
		h := string(rune('a' + i%3))
		r.list = append(r.list, Backend{ID: policy.BackendID(fmt.Sprint(h, i/3)), Zone: h, State: policy.Running})
	}
	r.b.UpdateBackends(r.now, r.list, true)
	return r
}

func (r *rig) fact(hall string) policy.Zone {
	for _, h := range r.Zones {
		if h.Name == hall {
			return h
		}
	}
	r.t.Fatalf("no fact of hall %s", hall)
	return policy.Zone{}
}

func (r *rig) state(hall string) ZoneStatus {
	for _, h := range r.b.Status(r.now).Zones {
		if h.Name == hall {
			return h
		}
	}
	r.t.Fatalf("no hall %s", hall)
	return ZoneStatus{}
}

// play lets the world go on: an attempt each 5 ms to the nodes in turn, as far as the facts let it, and a tick each 50.
func (r *rig) play(d time.Duration, until func() bool) time.Duration {
	began := r.now
	credit := map[string]float64{}
	for ; r.now < began+d; r.now += ms {
		r.out = slices.DeleteFunc(r.out, func(f flight) bool {
			if f.ends == 0 || f.ends > r.now {
				return false
			}
			o := policy.Succeeded
			if !f.ok {
				o = policy.NoConnect
			}
			r.b.AttemptEnded(r.now, f.id, f.sent, "read", o)
			return true
		})
		if r.now%(50*ms) == 0 {
			r.facts = facts{r.b.Tick(r.now)}
			for _, h := range r.Zones {
				if h.Rate > 0 {
					credit[h.Name] = min(credit[h.Name]+h.Rate*0.05, 2)
				}
			}
			for _, id := range r.b.DueProbes(r.now) {
				hall := string(id[:1])
				r.b.ProbeEnded(r.now, id, !r.dead[hall] && !r.mute[hall])
			}
			r.moves = append(r.moves, r.b.TakeChanges()...)
			if until != nil && until() {
				return r.now - began
			}
		}
		if r.now%(5*ms) != 0 {
			continue
		}
		for range r.list {
			r.turn++
			n := r.list[r.turn%len(r.list)]
			var f policy.Zone
			for _, h := range r.Zones {
				if h.Name == n.Zone {
					f = h
				}
			}
			if n.State != policy.Running || f.Rate == 0 && f.Name != "" || f.Rate > 0 && credit[n.Zone] < 1 || slices.Contains(f.Unproven, n.ID) {
				continue
			}
			if f.Rate > 0 {
				credit[n.Zone]--
			}
			x := flight{id: n.ID, hall: n.Zone, sent: r.now, ends: r.now + time.Duration(60*max(1, r.slow[n.Zone])*float64(ms)), ok: true}
			switch {
			case r.dead[n.Zone]:
				x.ends, x.ok = r.now+ms, false
			case r.mute[n.Zone]:
				x.ends = 0
			}
			r.b.AttemptSent(r.now, n.ID)
			r.out = append(r.out, x)
			break
		}
	}
	return r.now - began
}

// A hall that refuses is found lost within 0.3 s, one that says nothing within 1 s; nothing is sent there then, and its
// preference moves on. No other hall is touched.
func TestLoss(t *testing.T) {
	for name, c := range map[string]struct {
		lose func(*rig)
		most time.Duration
	}{
		"refuses": {func(r *rig) { r.dead["a"] = true }, 300 * ms},
		"silent":  {func(r *rig) { r.mute["a"] = true }, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, Config{})
			r.play(3*time.Second, nil)
			if s := r.b.Status(r.now); s.AvailableShare != 1 || s.Panic || s.PlannedSpill > 0.1 || r.fact("a").Price != 1 || r.fact("b").Price != 2 || r.fact("c").Price != 3 {
				t.Fatalf("calm: %+v, %+v", s, r.Zones)
			}
			c.lose(r)
			took := r.play(5*time.Second, func() bool { return r.state("a").State == "lost" })
			if took > c.most {
				t.Errorf("found lost after %v, at most %v is wanted", took, c.most)
			}
			if f := r.fact("a"); !f.Lost || f.Rate != 0 {
				t.Errorf("fact %+v", f)
			}
			if s := r.b.Status(r.now); s.PlannedSpill != 1 || s.AvailableShare > 0.67 || !strings.Contains(s.Reason, "lost") {
				t.Errorf("status %+v", s)
			}
			before := r.b.Status(r.now).Zones[0].Offered
			r.play(2*time.Second, nil)
			if after := r.state("a").Offered; after > before/4 {
				t.Errorf("%.1f a second still go there, %.1f before", after, before)
			}
			for _, h := range []string{"b", "c"} {
				if s := r.state(h); s.State != "up" || r.fact(h).Rate >= 0 {
					t.Errorf("hall %s: %+v", h, s)
				}
			}
		})
	}
}

// A return begins low, grows, and ends; a failure within it begins the next one lower and makes it longer, and calm
// forgets that.
func TestReturnAndAgain(t *testing.T) {
	r := newRig(t, Config{Forget: 5 * time.Second})
	ramp := func() (first float64, took time.Duration) {
		r.dead["a"] = true
		r.play(5*time.Second, func() bool { return r.state("a").State == "lost" })
		r.play(5*time.Second, nil) // a loss no longer than the ramp shortens it
		r.dead["a"] = false
		if r.play(3*time.Second, func() bool { return r.state("a").State == "returning" }) > 1500*ms {
			t.Fatal("it is not found to be back")
		}
		first = r.state("a").Ramp
		if rate := r.fact("a").Rate; rate <= 0 {
			t.Fatalf("rate %v", rate)
		}
		last := 0.0
		took = r.play(2*time.Minute, func() bool {
			s := r.state("a")
			if s.Ramp < last {
				t.Fatalf("the ramp falls from %v to %v", last, s.Ramp)
			}
			last = s.Ramp
			return s.State == "up"
		})
		return first, took
	}
	r.play(3*time.Second, nil)
	first, took := ramp()
	if first > 0.35 || took < 3*time.Second || took > 6*time.Second {
		t.Fatalf("first return: from %v, for %v", first, took)
	}
	r.play(time.Second, nil)
	again, longer := ramp()
	if again > 0.6*first || longer < 3*took/2 || r.state("a").Caution != 1 {
		t.Fatalf("second return: from %v for %v, the first %v for %v; %+v", again, longer, first, took, r.state("a"))
	}
	r.play(12*time.Second, nil)
	if c := r.state("a").Caution; c != 0 {
		t.Fatalf("caution %d after calm", c)
	}
}

// Where the list says that a hall's nodes have just started, its ramp runs from that time, at each instance alike, and
// whether or not it saw the loss.
func TestRampByTheList(t *testing.T) {
	started := 100*time.Second - 500*ms
	var shares []float64
	for _, age := range []time.Duration{0, 700 * ms} { // the second instance starts, or hears, later
		r := newRig(t, Config{})
		r.now += age
		for i := range r.list {
			if r.list[i].Zone == "b" {
				r.list[i].Started = started
			}
		}
		r.b.UpdateBackends(r.now, r.list, true)
		for r.now < 102*time.Second {
			r.now += 50 * ms
			r.facts = facts{r.b.Tick(r.now)}
		}
		if s := r.state("b"); s.State != "returning" {
			t.Fatalf("%+v", s)
		}
		shares = append(shares, r.state("b").Ramp)
	}
	if d := shares[0] - shares[1]; d > 0.01 || d < -0.01 {
		t.Fatalf("two instances let it in by %v", shares)
	}
}

// One node at a time: who has not answered since the loss gets no request, though the hall is back.
func TestOneNodeAtATime(t *testing.T) {
	r := newRig(t, Config{})
	r.play(2*time.Second, nil)
	r.dead["a"] = true
	r.play(2*time.Second, func() bool { return r.state("a").State == "lost" })
	for range 3 {
		for _, id := range r.b.DueProbes(r.now) {
			r.b.ProbeEnded(r.now, id, id == "a2")
		}
		r.now += 200 * ms
		r.facts = facts{r.b.Tick(r.now)}
	}
	if f := r.fact("a"); r.state("a").State != "returning" || slices.Contains(f.Unproven, "a2") || len(f.Unproven) != 3 {
		t.Fatalf("%+v, %+v", r.state("a"), f)
	}
}

// A hall whose nodes all leave the list is lost without anyone being called dead; what is out there may still answer.
func TestLostByTheList(t *testing.T) {
	r := newRig(t, Config{})
	r.play(2*time.Second, nil)
	for i := range r.list {
		if r.list[i].Zone == "c" {
			r.list[i].State = policy.Draining
		}
	}
	r.b.UpdateBackends(r.now, r.list, false)
	r.play(100*ms, nil)
	if f := r.fact("c"); f.Lost || f.Rate != 0 || !strings.Contains(r.state("c").Reason, "draining") {
		t.Fatalf("%+v %+v", f, r.state("c"))
	}
}

// All lost: nothing is closed, since there is nothing to keep it for.
func TestAllLost(t *testing.T) {
	r := newRig(t, Config{})
	r.play(2*time.Second, nil)
	r.dead = map[string]bool{"a": true, "b": true, "c": true}
	r.play(2*time.Second, nil)
	for _, h := range r.Zones {
		if h.Rate >= 0 || h.Lost || h.Price != 1 || len(h.Unproven) > 0 {
			t.Errorf("%+v", h)
		}
	}
	if !r.b.Status(r.now).Panic {
		t.Error("no panic")
	}
}

// A drill takes a hall out, ends by itself, and is not kept where it would leave too little.
func TestDrill(t *testing.T) {
	r := newRig(t, Config{})
	r.play(2*time.Second, nil)
	r.b.SetDrains(r.now, map[string]time.Duration{"a": r.now + 3*time.Second})
	r.play(100*ms, nil)
	if f := r.fact("a"); f.Rate != 0 || f.Lost || r.state("a").State != "drained" {
		t.Fatalf("%+v", f)
	}
	r.dead["b"], r.dead["c"] = true, true
	r.play(2*time.Second, nil)
	if f := r.fact("a"); f.Rate >= 0 {
		t.Fatalf("the drill is kept though all else is lost: %+v", r.b.Status(r.now))
	}
	r.dead = map[string]bool{}
	r.play(2*time.Second, nil)
	if s := r.state("a").State; s != "returning" {
		t.Fatalf("after the drill: %s", s)
	}
}

// A grey hall keeps its state, loses capacity, and the spill moves by no more than ten points a second.
func TestGrey(t *testing.T) {
	r := newRig(t, Config{})
	r.play(3*time.Second, nil)
	r.slow["a"] = 5
	last := r.b.relief
	for range 10 {
		r.play(time.Second, nil)
		if d := r.b.relief - last; d > 0.101 || d < -0.101 {
			t.Fatalf("the preference moved by %.3f in a second: %+v", d, r.b.Status(r.now))
		}
		last = r.b.relief
	}
	if s := r.state("a"); s.State != "up" || !s.GrayFailure || s.Capacity > 2 {
		t.Fatalf("%+v", s)
	}
	if p := r.fact("b").Price; p > 1.5 {
		t.Fatalf("price %v of the next hall", p)
	}
}

// Whatever happens: some hall can always be sent to while a node runs, rates and prices are sane, a lost hall gets no
// request, every probe is of a node that runs, and the same calls give the same facts.
func TestBook(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Own: "a", Near: []string{"b"}, Probe: rapid.Bool().Draw(t, "probe"), SlowStartWindow: 18 * time.Second, SlowStartShare: 0.25}
		b, twin := New(cfg), New(cfg)
		now := 50 * time.Second
		out := map[policy.BackendID][]time.Duration{}
		var list []Backend
		for i := range 9 {
			list = append(list, Backend{ID: policy.BackendID(fmt.Sprint("n", i)), Zone: string(rune('a' + i%3)), State: policy.Running})
		}
		both := func(do func(*Tracker)) { do(b); do(twin) }
		both(func(b *Tracker) { b.UpdateBackends(now, list, true) })
		node := rapid.IntRange(0, len(list)-1)
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * ms },
			"send": func(t *rapid.T) {
				id := list[node.Draw(t, "n")].ID
				both(func(b *Tracker) { b.AttemptSent(now, id) })
				out[id] = append(out[id], now)
			},
			"end": func(t *rapid.T) {
				id := list[node.Draw(t, "n")].ID
				if len(out[id]) == 0 {
					return
				}
				sent := out[id][0]
				out[id] = out[id][1:]
				o := policy.Outcome(rapid.IntRange(0, 7).Draw(t, "o"))
				both(func(b *Tracker) { b.AttemptEnded(now, id, sent, "c", o) })
			},
			"probe": func(t *rapid.T) {
				ids := b.DueProbes(now)
				if !slices.Equal(ids, twin.DueProbes(now)) {
					t.Fatal("two books differ in their probes")
				}
				ok := rapid.Bool().Draw(t, "ok")
				for _, id := range ids {
					if b.nodes[id].State != policy.Running {
						t.Fatalf("probe of %s", id)
					}
					both(func(b *Tracker) { b.ProbeEnded(now, id, ok) })
				}
			},
			"list": func(t *rapid.T) {
				i := node.Draw(t, "n")
				list[i].State = policy.BackendState(rapid.IntRange(0, 2).Draw(t, "state"))
				if rapid.Bool().Draw(t, "restart") {
					list[i].Started = now
				}
				both(func(b *Tracker) { b.UpdateBackends(now, list[i:i+1], false) })
			},
			"drill": func(t *rapid.T) {
				until := map[string]time.Duration{}
				if rapid.Bool().Draw(t, "on") {
					until["b"] = now + 2*time.Second
				}
				both(func(b *Tracker) { b.SetDrains(now, until) })
			},
			"": func(t *rapid.T) {
				ev := b.Tick(now)
				if fmt.Sprint(ev) != fmt.Sprint(twin.Tick(now)) {
					t.Fatal("two books differ in their facts")
				}
				open := false
				for i, h := range ev.Zones {
					s := b.order[i]
					if !(h.Price >= 1 && h.Price <= DefaultFarPrice) || !(h.Rate >= -1 && h.Rate < 1e6) {
						t.Fatalf("%+v", h)
					}
					if s.state == Lost && cfg.Probe && !b.panicked && h.Rate != 0 {
						t.Fatalf("a lost hall is open: %+v", h)
					}
					if h.Lost && s.state != Lost {
						t.Fatalf("%v is called lost", s.state)
					}
					open = open || h.Rate != 0
				}
				if !open && b.reach > 0 && !slices.ContainsFunc(b.order, func(h *hall) bool { return h.state == Lost || h.state == Drained }) {
					t.Fatalf("every hall is closed: %+v", ev)
				}
				if !(ev.AvailableShare >= 0 && ev.AvailableShare <= 1) || ev.MinRetryAfter < 0 || ev.MinRetryAfter > paceMost {
					t.Fatalf("%+v", ev)
				}
				s := b.Status(now)
				if !(s.PlannedSpill >= 0 && s.PlannedSpill <= 1 && s.Spilled >= 0 && s.Spilled <= 1) || s.Reason == "" {
					t.Fatalf("%+v", s)
				}
			},
		})
	})
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{20, 200, 2000} {
		b.Run(fmt.Sprint(n, "nodes"), func(b *testing.B) {
			r := newRig(b, Config{})
			var list []Backend
			for i := range n {
				list = append(list, Backend{ID: policy.BackendID(fmt.Sprint("x", i)), Zone: string(rune('a' + i%3)), State: policy.Running})
			}
			r.b.UpdateBackends(r.now, list, true)
			for i := range list {
				r.b.AttemptSent(r.now, list[i].ID)
			}
			b.ReportAllocs()
			for b.Loop() {
				r.now += ms
				r.b.Tick(r.now)
			}
		})
	}
}
