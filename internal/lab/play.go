package lab

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hitchspring/internal/lab/lateness"
	"hitchspring/internal/lab/proc"
	"hitchspring/internal/lab/scenario"
	"hitchspring/internal/rulecheck"
)

// play loads what is open, by the timeline, and judges.
func (w *Testbed) play(ctx context.Context, steps []scenario.Step) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer w.wg.Wait()
	w.meter = lateness.Start(w.clock)
	w.onClose(w.meter.Close)
	began, beganCPU := time.Now(), ownCPU()
	w.load.begin()
	before := make([]proc.Usage, len(w.ingresses))
	for i, g := range w.ingresses {
		before[i] = g.Usage()
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
	live, tracks := make(chan struct{}), make(chan map[string]*BackendTrack, 1)
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
		u := g.Usage()
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
	verdict := rulecheck.Check(w.rules(), evidence)
	r := &Report{
		Scenario: w.day.Name, Seed: w.cfg.Seed, Store: w.day.Store, Seconds: seconds, BeganS: w.load.began.Seconds(), Faults: w.notes, Dropped: int(w.load.dropped.Load()), Processes: procs,
		Violations: verdict.Violations, Rules: map[string]int{}, Fronts: map[string]QuotaShare{}, verdict: verdict, Margins: verdict.Margins, Unmet: append(w.day.Required.Unmet(verdict.Margins), w.idle()...),
		ObserverDelayMS: float64(verdict.WorstDelay.Microseconds()) / 1000, LabCores: labCPU.Seconds() / seconds, tolerance: w.rules().Tolerance, lost: w.fleet.Lost(),
	}
	for _, rule := range rulecheck.RuleNames {
		r.Rules[rule] = len(verdict.ForRule(rule))
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
		r.Backends = append(r.Backends, *held[s.ID])
	}
	w.rows(r)
	w.halls(r, able, w.score(r, evidence, w.store.Calls()-calls))
	if r.Attempts > 0 {
		r.CPUPerRequestUS = float64(cpu.Microseconds()) / float64(r.Attempts)
	}
	w.channels(r, evidence)
	w.commands(r)
	w.wishes(r)
	if w.links != nil {
		r.Links = w.links.FaultRecords()
	}
	return r, nil
}
