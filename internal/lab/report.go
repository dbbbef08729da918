package lab

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"syscall"
	"time"

	"hitchspring/internal/audit"
	"hitchspring/internal/lab/day"
	"hitchspring/internal/lab/lateness"
	"hitchspring/internal/lab/link"
	"hitchspring/internal/lab/measure"
	"hitchspring/internal/lab/proc"
	"hitchspring/internal/standin/node"
)

// Exit codes of a run.
const (
	Clean    = 0
	Broken   = 1 // a rule broke
	Unjudged = 2 // nothing could be judged: the run did not exercise what it must, or the lab itself was late
)

// Quotas is the lab's own rule beside the five: what is passed on beyond quotas stays under the day's limit.
const Quotas = "quotas kept"

// Row is what clients of one class and plan got; a wish is a first try with its retries. Times are from when a wish was
// due.
type Row struct {
	Class, Plan           string
	Wishes, Tries         int
	Served, InTime        int // wishes
	Refused, Failed, None int // tries
	P50MS, P99MS          float64
}

// Process is what one ingress took.
type Process struct {
	Name   string
	Tries  int
	CPUS   float64 // seconds over the load
	PeakMB float64
}

// Channel is one customer under a ceiling, as the nodes saw it.
type Channel struct {
	Customer       string
	Plan           string
	Inside, Beyond float64 // units
	Overrun        float64 // units by which all use together overdrew the quota at the most
	OfCeiling      float64 // the same as a share of the ceiling's store
	Closest        float64 // most units beyond what the ceiling allowed, as a share of its store; below 0 it stayed under
}

// Share is what one front's clients asked for and got, of the channels under a ceiling that ask for more than their quota.
type Share struct{ Asked, Served float64 } // units of wishes

// Second is one second of a run, by when wishes were due.
type Second struct {
	Wishes, InTime, Refused int
	P50MS, P99MS            float64
	ByClass                 map[string]Slot
	ByPlan                  map[string]Slot
}

// Slot is a part of a second.
type Slot struct{ Wishes, InTime int }

// NodeTrack is how full a node was, sampled each quarter of a second: requests held for each core, -1 while it was down.
type NodeTrack struct {
	Node, Hall string
	Held       []float64
}

// Command is one command as its node saw it.
type Command struct {
	Came     time.Duration
	Node     string
	Instance int
	Class    string
	Late     bool // it had no answer within its class's aim
}

// Pass is units that one instance has passed on for a channel, as a node saw them: once for each try.
type Pass struct {
	Came     time.Duration
	Instance int
	Customer string
	Units    float64
}

// Wish is a client's keyed wish with its tries.
type Wish struct {
	Key      string
	Class    string
	First    time.Duration // when its first try was sent
	GiveUp   time.Duration // after it, when that try's client gives up
	Instance string        // that it was sent to
	Lost     bool          // its first try had no answer
	Answered time.Duration // when its first try was answered; 0: never
	Tries    int
	Served   bool
	Values   int           // different values that its tries were answered
	Effects  int           // that nodes saw
	Racks    int           // in which they were
	Helped   time.Duration // when a node first saw it from another instance than the first; 0: never
	Again    int           // further tries that an instance has answered
	Story    []string      // each try: whom it was sent to, when, and what came of it
}

// Mark is something that the timeline did.
type Mark struct {
	AtS  float64
	What string
}

// Report is what a run comes to.
type Report struct {
	Day             string
	Seed            uint64
	Store           string
	Seconds         float64
	BeganS          float64 // when the load began, on the clock of the breaks
	Faults          []string
	Tries, Dropped  int
	Service         float64 // as the brief counts it; Score has its parts
	Score           measure.Score
	Rows            []Row
	CPUPerRequestUS float64 // of the ingresses together, for a try
	LabCores        float64 // that the lab and its stand-ins took
	Processes       []Process
	Channels        []Channel
	WorstOverrun    float64          // the most of all channels, as a share of the ceiling
	Fronts          map[string]Share // resp and http
	BeyondShare     float64          // units passed on beyond quotas, as a share of those inside
	Rules           map[string]int
	Breaks          []audit.Break
	Edges           audit.Edges
	Unmet           []string // what the day wants exercised and was not
	LateMS          float64  // the longest time for which the lab itself was not run
	Crashed         []string
	Died            []string // instances that have ended by themselves, as they may
	Marks           []Mark
	Timeline        []Second
	Nodes           []NodeTrack
	Halls           []HallTrack
	Loss            *Loss        // of a day that loses a hall
	Swing           float64      // most points by which the spill changed from second to second while nothing was done
	Passes          []Pass       `json:"-"` // first sends, in order of time
	History         []Step       `json:"-"` // of keyed wishes, by clients and nodes
	Keyed           []Wish       `json:"-"` // keyed wishes, by when their first try was sent
	Commands        []Command    `json:"-"`
	Links           []link.Acted `json:",omitempty"` // what each fault of a link did
	tolerance       time.Duration
	lost            int // records that found no room
	verdict         audit.Verdict
}

// Clean says whether every rule was kept and nothing crashed.
func (r *Report) Clean() bool { return len(r.Breaks) == 0 && len(r.Crashed) == 0 }

// Doubts says why nothing can be said of a run; empty: it can be judged.
func (r *Report) Doubts() (out []string) {
	if late := time.Duration(r.LateMS * float64(ms)); late > r.tolerance {
		out = append(out, fmt.Sprintf("the lab itself stood still for %v: its observers were late", late.Round(ms)))
	}
	if r.lost > 0 {
		out = append(out, fmt.Sprintf("%d commands found no room in the nodes' record", r.lost))
	}
	if r.Dropped > 0 {
		out = append(out, fmt.Sprintf("%d tries found no room at the clients", r.Dropped))
	}
	return append(out, r.Unmet...)
}

// Code is the exit code: a break that lateness cannot explain is one, however late the lab was elsewhere.
func (r *Report) Code() int {
	certain := r.verdict.Certain()
	for _, b := range r.Breaks {
		if b.Rule == Quotas {
			certain++
		}
	}
	switch {
	case certain > 0 || len(r.Crashed) > 0:
		return Broken
	case len(r.Doubts()) > 0 || len(r.Breaks) > 0:
		return Unjudged
	}
	return Clean
}

const sampleEvery = 250 * ms

// sample watches how full the nodes are.
func (w *World) sample(ctx context.Context, able *ableTrack) map[string]*NodeTrack {
	out := map[string]*NodeTrack{}
	for _, s := range w.specs {
		out[s.ID] = &NodeTrack{Node: s.ID, Hall: s.Zone}
	}
	t := time.NewTicker(sampleEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return out
		case <-t.C:
		}
		w.sampleAble(w.load.began, able)
		for i, s := range w.specs {
			n, _ := w.node(i)
			held, _, down := n.Load()
			v := float64(held) / float64(s.Cores)
			if down {
				v = -1
			}
			out[s.ID].Held = append(out[s.ID].Held, v)
		}
	}
}

func ownCPU() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// play loads what is open, by the timeline, and judges.
func (w *World) play(ctx context.Context, steps []day.Step) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer w.wg.Wait()
	w.meter = lateness.Start(w.clock)
	w.onClose(w.meter.Close)
	began, beganCPU := time.Now(), ownCPU()
	w.load.begin()
	before := make([]proc.Usage, len(w.ingresses))
	for i, g := range w.ingresses {
		before[i] = g.Use()
	}
	calls := w.store.Calls()
	faulty := make(chan error, 1)
	go func() {
		err := w.timeline(ctx, began, steps)
		if err != nil {
			cancel() // the load ends early
		}
		faulty <- err
	}()
	live, tracks := make(chan struct{}), make(chan map[string]*NodeTrack, 1)
	go func() {
		defer close(live)
		w.show(ctx)
	}()
	able := &ableTrack{map[string][]float64{}, map[string][]float64{}}
	go func() { tracks <- w.sample(ctx, able) }()
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		if w.cfg.Watch != nil {
			w.cfg.Watch(ctx, w)
		}
	}()
	w.load.run(ctx)
	interrupted := context.Cause(ctx)
	var procs []Process
	cpu := time.Duration(0)
	for i, g := range w.ingresses {
		u := g.Use()
		cpu += u.CPU - before[i].CPU
		procs = append(procs, Process{Name: g.Name, CPUS: (u.CPU - before[i].CPU).Seconds(), PeakMB: float64(u.PeakKB) / 1024})
	}
	seconds, labCPU := time.Since(began).Seconds(), ownCPU()-beganCPU
	cancel()
	<-live
	<-watched
	if err := <-faulty; err != nil {
		return nil, err
	}
	w.wg.Wait()
	if err := errors.Join(w.failed...); err != nil {
		return nil, err
	}
	if interrupted != nil {
		return nil, fmt.Errorf("interrupted: %w", interrupted)
	}
	time.Sleep(200 * ms) // what was sent last reaches the nodes' record
	evidence := w.evidence()
	verdict := audit.Judge(w.rules(), evidence)
	r := &Report{Day: w.day.Name, Seed: w.cfg.Seed, Store: w.day.Store, Seconds: seconds, BeganS: w.load.began.Seconds(), Faults: w.notes, Dropped: int(w.load.dropped.Load()), Processes: procs,
		Breaks: verdict.Breaks, Rules: map[string]int{}, Fronts: map[string]Share{}, verdict: verdict, Edges: verdict.Edges, Unmet: append(w.day.Must.Unmet(verdict.Edges), w.idle()...),
		LateMS: float64(verdict.Late.Microseconds()) / 1000, LabCores: labCPU.Seconds() / seconds, tolerance: w.rules().Tolerance, lost: w.fleet.Lost()}
	for _, rule := range audit.RuleNames {
		r.Rules[rule] = len(verdict.Of(rule))
	}
	for _, g := range w.ingresses {
		g.mu.Lock()
		if g.crashed != "" {
			r.Crashed = append(r.Crashed, g.crashed)
		}
		if g.died {
			r.Died = append(r.Died, g.Name)
		}
		g.mu.Unlock()
	}
	for _, s := range steps {
		r.Marks = append(r.Marks, Mark{s.At.Seconds(), s.Text})
	}
	held := <-tracks
	for _, s := range w.specs {
		r.Nodes = append(r.Nodes, *held[s.ID])
	}
	w.rows(r)
	w.halls(r, able, w.score(r, evidence, w.store.Calls()-calls))
	if r.Tries > 0 {
		r.CPUPerRequestUS = float64(cpu.Microseconds()) / float64(r.Tries)
	}
	w.channels(r, evidence)
	w.commands(r)
	w.wishes(r)
	if w.links != nil {
		r.Links = w.links.Acted()
	}
	return r, nil
}

// commands are what came to nodes.
func (w *World) commands(r *Report) {
	aims := map[string]time.Duration{}
	for _, c := range w.classes {
		aims[c.name] = c.aim
	}
	seen := map[string]bool{}
	for _, x := range w.fleet.Records(0) {
		if !seen[x.ID] {
			seen[x.ID] = true
			r.Passes = append(r.Passes, Pass{x.Came, x.Instance, x.Customer, x.Units})
		}
		r.Commands = append(r.Commands, Command{x.Came, x.Node, x.Instance, x.Class, x.Ended == 0 || x.Ended-x.Came > aims[x.Class]})
	}
}

// wishes are the keyed ones, with what nodes saw of them.
func (w *World) wishes(r *Report) {
	by := map[string]*Wish{}
	values := map[string]map[string]bool{}
	racks := map[string]map[int]bool{}
	w.load.mu.Lock()
	slices.SortFunc(w.load.tried, func(a, b tried) int { return cmp.Compare(a.Sent, b.Sent) })
	for _, t := range w.load.tried {
		if t.key == "" {
			continue
		}
		x := by[t.key]
		if x == nil {
			x = &Wish{Key: t.key, Class: t.class.name, First: t.Sent, GiveUp: t.GiveUp, Instance: t.Instance, Lost: len(t.Answers) == 0}
			by[t.key], values[t.key], racks[t.key] = x, map[string]bool{}, map[int]bool{}
		}
		x.Tries++
		end, step := "no answer", Step{Key: t.key, From: t.Sent, Who: len(r.History)}
		if len(t.Answers) > 0 {
			step.Until, step.Served, step.Value = t.Answers[0].At, t.Answers[0].Kind == "served", t.value
			end = fmt.Sprintf("%s after %v", t.Answers[0].Kind, (t.Answers[0].At - t.Sent).Round(ms))
			if x.Tries > 1 {
				x.Again++
			} else {
				x.Answered = t.Answers[0].At
			}
		}
		r.History = append(r.History, step)
		x.Story = append(x.Story, fmt.Sprintf("%s at %v: %s", t.Instance, t.Sent.Round(ms), end))
		if len(t.Answers) > 0 && t.Answers[0].Kind == "served" {
			x.Served = true
			values[t.key][t.value] = true
		}
	}
	w.load.mu.Unlock()
	for _, c := range w.fleet.Records(0) {
		x := by[c.Key]
		if x == nil {
			continue
		}
		if fmt.Sprint("n", c.Instance) != x.Instance && x.Helped == 0 {
			x.Helped = c.Came
		}
		switch c.How {
		case node.Ran, node.DroppedAfter, node.Unanswered:
			x.Effects++
			r.History = append(r.History, Step{Key: c.Key, From: c.Came, Until: c.Ended, Effect: true, Who: len(r.History)})
			racks[c.Key][c.Rack] = true
		}
	}
	for key, x := range by {
		x.Values, x.Racks = len(values[key]), len(racks[key])
		r.Keyed = append(r.Keyed, *x)
	}
	slices.SortFunc(r.Keyed, func(a, b Wish) int { return cmp.Compare(a.First, b.First) })
}

// rows sums up the clients' record.
func (w *World) rows(r *Report) {
	type key struct{ class, plan string }
	byKey := map[key]*Row{}
	took := map[key]*measure.Latencies{}
	var seconds []*Second
	var perSecond []*measure.Latencies
	w.load.mu.Lock()
	defer w.load.mu.Unlock()
	r.Tries = len(w.load.tried)
	slices.SortFunc(w.load.tried, func(a, b tried) int { return cmp.Compare(a.Sent, b.Sent) })
	for _, t := range w.load.tried {
		for i := range r.Processes {
			if r.Processes[i].Name == t.Instance {
				r.Processes[i].Tries++
			}
		}
		k := key{t.class.name, t.ch.plan.name}
		row := byKey[k]
		if row == nil {
			row = &Row{Class: k.class, Plan: k.plan}
			byKey[k], took[k] = row, measure.NewLatencies()
		}
		n := int((t.due - w.load.began) / time.Second)
		for len(seconds) <= n {
			seconds = append(seconds, &Second{ByClass: map[string]Slot{}, ByPlan: map[string]Slot{}})
			perSecond = append(perSecond, measure.NewLatencies())
		}
		sec := seconds[n]
		count := func(wishes, inTime int) {
			sec.Wishes, sec.InTime = sec.Wishes+wishes, sec.InTime+inTime
			c, p := sec.ByClass[k.class], sec.ByPlan[k.plan]
			sec.ByClass[k.class], sec.ByPlan[k.plan] = Slot{c.Wishes + wishes, c.InTime + inTime}, Slot{p.Wishes + wishes, p.InTime + inTime}
		}
		row.Tries++
		if t.ch.plan.ceiling > 0 && t.ch.demand > 1 {
			name := map[bool]string{false: "resp", true: "http"}[t.http]
			x := r.Fronts[name]
			if t.retry == 0 {
				x.Asked += t.class.units
			}
			if len(t.Answers) > 0 && t.Answers[0].Kind == "served" {
				x.Served += t.class.units
			}
			r.Fronts[name] = x
		}
		if t.retry == 0 {
			row.Wishes++
			count(1, 0)
		}
		if len(t.Answers) == 0 {
			row.None++
			continue
		}
		switch lat := t.Answers[0].At - t.due; t.Answers[0].Kind {
		case "served":
			row.Served++
			took[k].Add(lat)
			perSecond[n].Add(lat)
			if lat <= t.class.aim {
				row.InTime++
				count(0, 1)
			}
		case "refused":
			row.Refused++
			sec.Refused++
		default:
			row.Failed++
		}
	}
	for i, s := range seconds {
		s.P50MS, s.P99MS = perSecond[i].MS(0.5), perSecond[i].MS(0.99)
		r.Timeline = append(r.Timeline, *s)
	}
	for _, p := range w.plans {
		for _, c := range w.classes {
			k := key{c.name, p.name}
			if row := byKey[k]; row != nil {
				row.P50MS, row.P99MS = took[k].MS(0.5), took[k].MS(0.99)
				r.Rows = append(r.Rows, *row)
			}
		}
	}
}

// score is the service as the brief counts it, from the clients' and the nodes' records.
func (w *World) score(r *Report, e audit.Evidence, calls int) (list []measure.Wish) {
	wishes := map[int]*measure.Wish{}
	costs := measure.Costs{CounterCalls: calls}
	w.load.mu.Lock()
	for _, t := range w.load.tried {
		x := wishes[t.wish]
		if x == nil {
			x = &measure.Wish{Due: t.due - w.load.began, Channel: fmt.Sprint(t.ch.id), Plan: t.ch.plan.name, Class: t.class.name, Units: t.class.units}
			wishes[t.wish] = x
			costs.Asked += t.class.work.Mean()
		}
		if x.Served || len(t.Answers) == 0 {
			continue
		}
		x.At, x.Served = t.Answers[0].At-w.load.began, t.Answers[0].Kind == "served"
	}
	w.load.mu.Unlock()
	list = make([]measure.Wish, 0, len(wishes))
	for _, x := range wishes {
		list = append(list, *x)
	}
	slices.SortFunc(list, func(a, b measure.Wish) int {
		return cmp.Or(cmp.Compare(a.Due, b.Due), cmp.Compare(a.Channel, b.Channel))
	})
	for _, rec := range w.fleet.Records(0) {
		if rec.How != node.Busy {
			costs.Done += rec.Work
		}
		if rec.Zone != "hall-"+string(rune('a'+rec.Instance%3)) {
			costs.CrossHall++
		}
	}
	var beyond []measure.Passed
	for _, s := range audit.Beyond(w.quotas(), e.Sent) {
		beyond = append(beyond, measure.Passed{At: s.Came - w.load.began, Plan: s.Plan, Class: s.Class, Units: s.Units})
	}
	mc, mp := worths(w.classes, w.plans)
	r.Score = measure.Rate(mc, mp, list, beyond, costs)
	r.Service = r.Score.Service
	return list
}

// channels compares what the nodes saw with what was allowed.
func (w *World) channels(r *Report, e audit.Evidence) {
	uses := audit.Uses(w.quotas(), e.Sent)
	inside, beyond := 0.0, 0.0
	for _, u := range uses {
		inside, beyond = inside+u.Inside, beyond+u.Beyond
	}
	if inside > 0 {
		r.BeyondShare = beyond / inside
	}
	if most := w.day.MostBeyond; most > 0 && r.BeyondShare > most {
		r.Breaks = append(r.Breaks, audit.Break{Rule: Quotas, At: w.load.began + time.Duration(w.day.Length), Until: w.load.began + time.Duration(w.day.Length), What: fmt.Sprintf("%.0f units were passed on beyond quotas, %.0f%% of those inside; the day allows %.0f%%", beyond, 100*r.BeyondShare, 100*most)})
		r.Rules[Quotas] = 1
	}
	for _, ch := range w.load.channels {
		id := fmt.Sprintf("%016x", ch.id)
		u, seen := uses[id]
		if !seen || ch.plan.ceiling == 0 {
			continue
		}
		size := ch.plan.ceilingBurst()
		c := Channel{Customer: id, Plan: u.Plan, Inside: u.Inside, Beyond: u.Beyond, Overrun: u.Overrun, OfCeiling: u.Overrun / size, Closest: r.verdict.Closest[id]}
		r.WorstOverrun = max(r.WorstOverrun, c.OfCeiling)
		r.Channels = append(r.Channels, c)
	}
}

// Text is the report for people.
func (r *Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "\n%-14s %-10s %7s %7s %7s %8s %8s %7s %9s %9s\n", "class", "plan", "wishes", "served", "in time", "refused", "failed", "none", "p50 ms", "p99 ms")
	for _, row := range r.Rows {
		fmt.Fprintf(&b, "%-14s %-10s %7d %7d %7d %8d %8d %7d %9.1f %9.1f\n", row.Class, row.Plan, row.Wishes, row.Served, row.InTime, row.Refused, row.Failed, row.None, row.P50MS, row.P99MS)
	}
	s := r.Score
	fmt.Fprintf(&b, "\nday %s, seed %d: service %.3f (whole %.3f, worst 10 s %.3f, worst class %.3f, worst plan %.3f, prices %.3f); use beyond quotas cost %.3f\n", r.Day, r.Seed,
		r.Service, s.Whole, s.Worst10s, s.WorstClass, s.WorstPlan, s.Prices, s.Beyond)
	fmt.Fprintf(&b, "%d tries in %.1f s, %d more that found no room at the clients; %.0f%% of the units that went inside quotas went beyond\n", r.Tries, r.Seconds, r.Dropped, 100*r.BeyondShare)
	fmt.Fprintf(&b, "%.0f%% of the sends crossed halls; the spill changed by %.0f points from second to second at the most\n", 100*s.CrossShare, 100*r.Swing)
	if r.Loss != nil {
		fmt.Fprintln(&b, r.Loss.Text())
	}
	fmt.Fprintf(&b, "\nchannels of a plan with a ceiling, as the nodes saw them (units; shares of the ceiling)\n")
	for _, c := range r.Channels {
		fmt.Fprintf(&b, "  %s %-10s inside %7.0f beyond %6.0f  most overdrawn %6.1f (%5.1f%%)  nearest to the ceiling %+6.1f%%\n", c.Customer, c.Plan, c.Inside, c.Beyond, c.Overrun, 100*c.OfCeiling, 100*c.Closest)
	}
	if a, h := r.Fronts["resp"], r.Fronts["http"]; a.Asked > 0 && h.Asked > 0 {
		fmt.Fprintf(&b, "channels above their quota, by front: RESP2 got %.0f of %.0f units (%.1f%%), HTTP %.0f of %.0f (%.1f%%)\n", a.Served, a.Asked, 100*a.Served/a.Asked, h.Served, h.Asked, 100*h.Served/h.Asked)
	}
	fmt.Fprintf(&b, "\ningresses: %.0f us of CPU a try; the lab itself took %.2f cores\n", r.CPUPerRequestUS, r.LabCores)
	for _, p := range r.Processes {
		fmt.Fprintf(&b, "  %s  %6.2f s of CPU, %5.1f MB at the most\n", p.Name, p.CPUS, p.PeakMB)
	}
	if len(r.Faults) > 0 {
		fmt.Fprintf(&b, "\nfaults (seed %d): %s\n", r.Seed, strings.Join(r.Faults, "; "))
	} else {
		fmt.Fprintf(&b, "\nno faults (seed %d)\n", r.Seed)
	}
	e := r.Edges
	fmt.Fprintf(&b, "\nhow near the run came: %d refused, %d answered in the client's last 150 ms, %d repeats that are allowed, %d that were not repeated,\n"+
		"  %d drains kept past their grace, %d sends to cold nodes (pushed to %.2f of their fall), nearest ceiling %+.0f%% (%d channels within a tenth)\n",
		e.Refused, e.Tight, e.Repeats, e.HeldBack, e.Drains, e.ColdSends, e.ColdPush, 100*e.Ceiling, e.CeilingFor)
	fmt.Fprintf(&b, "\nthe five rules, by what the peers saw\n%s", r.verdict.String())
	for _, k := range r.Breaks {
		if k.Rule == Quotas {
			fmt.Fprintf(&b, "  %-26s BROKEN: %s\n", Quotas, k.What)
		}
	}
	for _, c := range r.Crashed {
		fmt.Fprintf(&b, "  CRASHED: %s\n", c)
	}
	if r.Code() != Broken {
		for _, d := range r.Doubts() {
			fmt.Fprintf(&b, "  CAN'T JUDGE: %s\n", d)
		}
	}
	return b.String()
}

// blockEvery is the seconds from one table by class and plan to the next.
const blockEvery = 5

// block prints what the tries from one to another came to, by class and plan.
func (w *World) block(out io.Writer, from, to int) {
	type cell struct {
		served, refused int
		took            *measure.Latencies
	}
	cells := map[string]*cell{}
	w.load.mu.Lock()
	for _, t := range w.load.tried[from:to] {
		k := t.class.name + " " + t.ch.plan.name
		c := cells[k]
		if c == nil {
			c = &cell{took: measure.NewLatencies()}
			cells[k] = c
		}
		switch {
		case len(t.Answers) == 0:
		case t.Answers[0].Kind == "served":
			c.served++
			c.took.Add(t.Answers[0].At - t.due)
		case t.Answers[0].Kind == "refused":
			c.refused++
		}
	}
	w.load.mu.Unlock()
	fmt.Fprintf(out, "   %-14s", "served/refused")
	for _, p := range w.plans {
		fmt.Fprintf(out, " %-28s", p.name+" (p50, p99 ms)")
	}
	fmt.Fprintln(out)
	for _, c := range w.classes {
		fmt.Fprintf(out, "   %-14s", c.name)
		for _, p := range w.plans {
			x := cells[c.name+" "+p.name]
			if x == nil {
				x = &cell{took: measure.NewLatencies()}
			}
			fmt.Fprintf(out, " %-28s", fmt.Sprintf("%d/%d (%.0f, %.0f)", x.served, x.refused, x.took.MS(0.5), x.took.MS(0.99)))
		}
		fmt.Fprintln(out)
	}
}

// show prints a line each second, and now and then a table.
func (w *World) show(ctx context.Context) {
	out := w.cfg.Live
	if out == nil {
		return
	}
	fmt.Fprintf(out, "%6s %7s %7s %8s %7s %6s %8s %8s  %-26s %s\n", "s", "tries/s", "served", "refused", "failed", "none", "p50 ms", "p99 ms", "quota used (storby)", "nodes: held")
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	from, sentFrom, last := 0, 0, time.Now()
	began := 0 // of the tries that the next block is about
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		from, sentFrom = w.line(out, from, sentFrom, time.Since(last))
		last = time.Now()
		if n%blockEvery == 0 {
			w.block(out, began, from)
			began = from
		}
	}
}

func (w *World) line(out io.Writer, from, sentFrom int, span time.Duration) (int, int) {
	w.load.mu.Lock()
	now := w.load.tried[from:]
	kinds := map[string]int{}
	took := measure.NewLatencies()
	for _, t := range now {
		if len(t.Answers) == 0 {
			kinds["none"]++
			continue
		}
		kinds[t.Answers[0].Kind]++
		if t.Answers[0].Kind == "served" {
			took.Add(t.Answers[0].At - t.due)
		}
	}
	next := from + len(now)
	w.load.mu.Unlock()
	records := w.fleet.Records(sentFrom)
	units, allowed := 0.0, 0.0
	for _, r := range records {
		if r.Plan == "storby" && r.How == node.Ran {
			units += r.Units
		}
	}
	for _, ch := range w.load.channels {
		if ch.plan.name == "storby" {
			allowed += ch.plan.rate * span.Seconds()
		}
	}
	var held []string
	for i := range w.specs {
		n, _ := w.node(i)
		h, _, down := n.Load()
		if down {
			held = append(held, "-")
		} else {
			held = append(held, fmt.Sprint(h))
		}
	}
	fmt.Fprintf(out, "%6.1f %7.0f %7d %8d %7d %6d %8.1f %8.1f  %6.0f of %6.0f units/s   %s\n", w.clock().Seconds(), float64(len(now))/span.Seconds(), kinds["served"], kinds["refused"],
		kinds["failed"], kinds["none"], took.MS(0.5), took.MS(0.99), units/span.Seconds(), allowed/span.Seconds(), strings.Join(held, " "))
	return next, sentFrom + len(records)
}
