package lab

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"hitchspring/internal/audit"
)

// Row is what clients of one class and plan got; a wish is a first try with its retries.
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

// Report is what a run comes to.
type Report struct {
	Seed            uint64
	Store           string
	Seconds         float64
	Faults          []string
	Tries, Dropped  int
	Service         float64 // worth answered in time over worth asked for inside quotas, first tries with their retries
	Rows            []Row
	CPUPerRequestUS float64 // of the ingresses together, for a try
	Processes       []Process
	Channels        []Channel
	WorstOverrun    float64 // the most of all channels, as a share of the ceiling
	Rules           map[string]int
	Breaks          []audit.Break
	Crashed         []string
	verdict         audit.Verdict
}

// Clean says whether every rule was kept and nothing crashed.
func (r *Report) Clean() bool { return len(r.Breaks) == 0 && len(r.Crashed) == 0 }

// play loads what is open, by the timeline, and judges.
func (w *World) play(ctx context.Context, steps []step) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.load = newLoad(w)
	began := time.Now()
	before := make([]usage, len(w.ingresses))
	for i, g := range w.ingresses {
		before[i] = g.now()
	}
	faulty := make(chan error, 1)
	go func() {
		err := w.timeline(ctx, began, steps)
		if err != nil {
			cancel() // the load ends early
		}
		faulty <- err
	}()
	live := make(chan struct{})
	go func() {
		defer close(live)
		w.show(ctx)
	}()
	w.load.run(ctx)
	var procs []Process
	cpu := time.Duration(0)
	for i, g := range w.ingresses {
		u := g.now()
		cpu += u.CPU - before[i].CPU
		procs = append(procs, Process{Name: g.name, CPUS: (u.CPU - before[i].CPU).Seconds(), PeakMB: float64(u.PeakKB) / 1024})
	}
	seconds := time.Since(began).Seconds()
	cancel()
	<-live
	if err := <-faulty; err != nil {
		return nil, err
	}
	time.Sleep(200 * ms) // what was sent last reaches the nodes' record
	verdict := audit.Judge(w.rules(), w.evidence())
	r := &Report{Seed: w.cfg.Seed, Store: w.cfg.Store, Seconds: seconds, Faults: w.notes, Dropped: int(w.load.dropped.Load()), Processes: procs,
		Breaks: verdict.Breaks, Rules: map[string]int{}, verdict: verdict}
	for _, rule := range audit.RuleNames {
		r.Rules[rule] = len(verdict.Of(rule))
	}
	for _, g := range w.ingresses {
		g.mu.Lock()
		if g.crashed != "" {
			r.Crashed = append(r.Crashed, g.crashed)
		}
		g.mu.Unlock()
	}
	w.rows(r)
	if r.Tries > 0 {
		r.CPUPerRequestUS = float64(cpu.Microseconds()) / float64(r.Tries)
	}
	w.quotas(r)
	return r, nil
}

// rows sums up the clients' record.
func (w *World) rows(r *Report) {
	type key struct{ class, plan string }
	byKey := map[key]*Row{}
	took := map[key][]float64{}
	earned := map[*channel]float64{}
	w.load.mu.Lock()
	defer w.load.mu.Unlock()
	r.Tries = len(w.load.tried)
	slices.SortFunc(w.load.tried, func(a, b tried) int { return cmp.Compare(a.Sent, b.Sent) })
	inside := newWishes()
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
			byKey[k] = row
		}
		row.Tries++
		worth := t.class.worth * t.ch.plan.price * t.class.units
		if t.retry == 0 {
			row.Wishes++
			inside.ask(t.ch, t.Sent, t.class.units, worth)
		}
		if len(t.Answers) == 0 {
			row.None++
			continue
		}
		switch lat := t.Answers[0].At - t.Sent; t.Answers[0].Kind {
		case "served":
			row.Served++
			took[k] = append(took[k], float64(lat.Microseconds())/1000)
			if lat <= t.class.aim {
				row.InTime++
				earned[t.ch] += worth
			}
		case "refused":
			row.Refused++
		default:
			row.Failed++
		}
	}
	r.Service = inside.service(earned)
	for _, p := range plans {
		for _, c := range classes {
			if row := byKey[key{c.name, p.name}]; row != nil {
				list := took[key{c.name, p.name}]
				slices.Sort(list)
				row.P50MS, row.P99MS = quantile(list, 0.5), quantile(list, 0.99)
				r.Rows = append(r.Rows, *row)
			}
		}
	}
}

// wishes replays each channel's quota over its first tries, to tell the worth that was asked for inside it.
type wishes struct {
	level map[*channel]float64
	at    map[*channel]time.Duration
	worth map[*channel]float64
}

func newWishes() *wishes {
	return &wishes{map[*channel]float64{}, map[*channel]time.Duration{}, map[*channel]float64{}}
}

func (w *wishes) ask(ch *channel, at time.Duration, units, worth float64) {
	full := ch.plan.rate * ch.plan.seconds
	level, known := w.level[ch]
	if !known {
		level = full
	}
	level = min(full, level+ch.plan.rate*(at-w.at[ch]).Seconds())
	if level >= units {
		level -= units
		w.worth[ch] += worth
	}
	w.level[ch], w.at[ch] = level, at
}

// service is the worth earned over the worth asked for inside quotas; what a channel earned beyond its own counts for none.
func (w *wishes) service(earned map[*channel]float64) float64 {
	asked, got := 0.0, 0.0
	for ch, worth := range w.worth {
		asked += worth
		got += min(worth, earned[ch])
	}
	if asked == 0 {
		return 0
	}
	return got / asked
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// quotas compares what the nodes saw with what was allowed.
func (w *World) quotas(r *Report) {
	uses := audit.Uses(quotas(), w.evidence().Sent)
	for _, ch := range w.load.channels {
		id := fmt.Sprintf("%016x", ch.id)
		u, seen := uses[id]
		if !seen || ch.plan.ceiling == 0 {
			continue
		}
		size := ch.plan.rate * ch.plan.seconds * ch.plan.ceiling
		c := Channel{Customer: id, Plan: u.Plan, Inside: u.Inside, Beyond: u.Beyond, Overrun: u.Overrun, OfCeiling: u.Overrun / size, Closest: r.verdict.Closest[id]}
		r.WorstOverrun = max(r.WorstOverrun, c.OfCeiling)
		r.Channels = append(r.Channels, c)
	}
}

// Text is the report for people.
func (r *Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "\n%-14s %-7s %7s %7s %7s %8s %8s %7s %9s %9s\n", "class", "plan", "wishes", "served", "in time", "refused", "failed", "none", "p50 ms", "p99 ms")
	for _, row := range r.Rows {
		fmt.Fprintf(&b, "%-14s %-7s %7d %7d %7d %8d %8d %7d %9.1f %9.1f\n", row.Class, row.Plan, row.Wishes, row.Served, row.InTime, row.Refused, row.Failed, row.None, row.P50MS, row.P99MS)
	}
	fmt.Fprintf(&b, "\nservice %.3f of the worth asked for inside quotas, within the wanted times; %d tries in %.1f s, %d more that found no room at the clients\n", r.Service, r.Tries, r.Seconds, r.Dropped)
	fmt.Fprintf(&b, "\nchannels of a plan with a ceiling, as the nodes saw them (units; shares of the ceiling)\n")
	for _, c := range r.Channels {
		fmt.Fprintf(&b, "  %s inside %7.0f beyond %6.0f  most overdrawn %6.1f (%5.1f%%)  nearest to the ceiling %+6.1f%%\n", c.Customer, c.Inside, c.Beyond, c.Overrun, 100*c.OfCeiling, 100*c.Closest)
	}
	fmt.Fprintf(&b, "\ningresses: %.0f us of CPU a try\n", r.CPUPerRequestUS)
	for _, p := range r.Processes {
		fmt.Fprintf(&b, "  %s  %6.2f s of CPU, %5.1f MB at the most\n", p.Name, p.CPUS, p.PeakMB)
	}
	if len(r.Faults) > 0 {
		fmt.Fprintf(&b, "\nfaults (seed %d): %s\n", r.Seed, strings.Join(r.Faults, "; "))
	} else {
		fmt.Fprintf(&b, "\nno faults (seed %d)\n", r.Seed)
	}
	fmt.Fprintf(&b, "\nthe five rules, by what the peers saw\n%s", r.verdict.String())
	for _, c := range r.Crashed {
		fmt.Fprintf(&b, "  CRASHED: %s\n", c)
	}
	return b.String()
}

// blockEvery is the seconds from one table by class and plan to the next.
const blockEvery = 5

// block prints what the tries from one to another came to, by class and plan.
func (w *World) block(out io.Writer, from, to int) {
	type cell struct {
		served, refused int
		took            []float64
	}
	cells := map[string]*cell{}
	w.load.mu.Lock()
	for _, t := range w.load.tried[from:to] {
		k := t.class.name + " " + t.ch.plan.name
		c := cells[k]
		if c == nil {
			c = &cell{}
			cells[k] = c
		}
		switch {
		case len(t.Answers) == 0:
		case t.Answers[0].Kind == "served":
			c.served++
			c.took = append(c.took, float64((t.Answers[0].At-t.Sent).Microseconds())/1000)
		case t.Answers[0].Kind == "refused":
			c.refused++
		}
	}
	w.load.mu.Unlock()
	fmt.Fprintf(out, "   %-14s", "served/refused")
	for _, p := range plans {
		fmt.Fprintf(out, " %-28s", p.name+" (p50, p99 ms)")
	}
	fmt.Fprintln(out)
	for _, c := range classes {
		fmt.Fprintf(out, "   %-14s", c.name)
		for _, p := range plans {
			x := cells[c.name+" "+p.name]
			if x == nil {
				x = &cell{}
			}
			slices.Sort(x.took)
			fmt.Fprintf(out, " %-28s", fmt.Sprintf("%d/%d (%.0f, %.0f)", x.served, x.refused, quantile(x.took, 0.5), quantile(x.took, 0.99)))
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
	var took []float64
	for _, t := range now {
		if len(t.Answers) == 0 {
			kinds["none"]++
			continue
		}
		kinds[t.Answers[0].Kind]++
		if t.Answers[0].Kind == "served" {
			took = append(took, float64((t.Answers[0].At-t.Sent).Microseconds())/1000)
		}
	}
	next := from + len(now)
	w.load.mu.Unlock()
	slices.Sort(took)
	records := w.fleet.Records()
	units, allowed := 0.0, 0.0
	for _, r := range records[sentFrom:] {
		if r.Plan == "storby" && r.Ran {
			units += r.Units
		}
	}
	for _, ch := range w.load.channels {
		if ch.plan.name == "storby" {
			allowed += ch.plan.rate * span.Seconds()
		}
	}
	var held []string
	for _, n := range w.fleet.Nodes() {
		h, _, down := n.Load()
		if down {
			held = append(held, "-")
		} else {
			held = append(held, fmt.Sprint(h))
		}
	}
	fmt.Fprintf(out, "%6.1f %7.0f %7d %8d %7d %6d %8.1f %8.1f  %6.0f of %6.0f units/s   %s\n", w.clock().Seconds(), float64(len(now))/span.Seconds(), kinds["served"], kinds["refused"],
		kinds["failed"], kinds["none"], quantile(took, 0.5), quantile(took, 0.99), units/span.Seconds(), allowed/span.Seconds(), strings.Join(held, " "))
	return next, len(records)
}
