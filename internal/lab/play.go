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

// play runs the load and the steps of the timeline on an open testbed, checks the rules, and returns the report.
func (tb *Testbed) play(ctx context.Context, steps []scenario.Step) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer tb.wg.Wait()
	tb.meter = lateness.Start(tb.clock)
	tb.onClose(tb.meter.Close)
	startedAt, cpuBefore := time.Now(), processCPU()
	tb.load.start()
	usageBefore := make([]proc.Usage, len(tb.instances))
	for i, inst := range tb.instances {
		usageBefore[i] = inst.Usage()
	}
	calls := tb.store.Calls()
	timelineDone := make(chan error, 1)
	go func() {
		err := tb.runTimeline(ctx, startedAt, steps)
		if err != nil {
			cancel() // end the load early
		}
		timelineDone <- err
	}()
	progressDone, trackResults := make(chan struct{}), make(chan map[string]*BackendTrack, 1)
	go func() {
		defer close(progressDone)
		tb.printProgress(ctx)
	}()
	capacity := &capacityTrack{map[string][]float64{}, map[string][]float64{}}
	go func() { trackResults <- tb.sample(ctx, capacity) }()
	watchDone := make(chan struct{})
	go func() {
		defer close(watchDone)
		if tb.cfg.Watch != nil {
			tb.cfg.Watch(ctx, tb)
		}
	}()
	tb.load.run(ctx)
	interrupted := context.Cause(ctx)
	var procs []Process
	cpu := time.Duration(0)
	for i, inst := range tb.instances {
		u := inst.Usage()
		cpu += u.CPU - usageBefore[i].CPU
		procs = append(procs, Process{Name: inst.Name, CPUSeconds: (u.CPU - usageBefore[i].CPU).Seconds(), PeakMB: float64(u.PeakKB) / 1024})
	}
	seconds, labCPU := time.Since(startedAt).Seconds(), processCPU()-cpuBefore
	cancel()
	<-progressDone
	<-watchDone
	if err := <-timelineDone; err != nil {
		return nil, err
	}
	tb.wg.Wait()
	if err := errors.Join(tb.stepErrors...); err != nil {
		return nil, err
	}
	if interrupted != nil {
		return nil, fmt.Errorf("interrupted: %w", interrupted)
	}
	time.Sleep(200 * ms) // let the last commands reach the records of the backends
	evidence := tb.evidence()
	checkResult := rulecheck.Check(tb.rules(), evidence)
	r := &Report{
		Scenario: tb.scenarioConfig.Name, Seed: tb.cfg.Seed, Store: tb.scenarioConfig.Store, Seconds: seconds, LoadStartS: tb.load.startedAt.Seconds(), Faults: tb.faultLog, Dropped: int(tb.load.dropped.Load()), Processes: procs,
		Violations: checkResult.Violations, Rules: map[string]int{}, Fronts: map[string]QuotaShare{}, checkResult: checkResult, Margins: checkResult.Margins, Unmet: append(tb.scenarioConfig.Required.Unmet(checkResult.Margins), tb.unusedLinkFaults()...),
		ObserverDelayMS: float64(checkResult.MaxObserverDelay.Microseconds()) / 1000, LabCores: labCPU.Seconds() / seconds, tolerance: tb.rules().Tolerance, droppedRecords: tb.fleet.DroppedRecords(),
	}
	for _, rule := range rulecheck.RuleNames {
		r.Rules[rule] = len(checkResult.ForRule(rule))
	}
	for _, inst := range tb.instances {
		inst.mu.Lock()
		if inst.crash != "" {
			r.Crashed = append(r.Crashed, inst.crash)
		}
		if inst.exited {
			r.Died = append(r.Died, inst.Name)
		}
		inst.mu.Unlock()
	}
	for _, s := range steps {
		r.Events = append(r.Events, TimelineEvent{s.At.Seconds(), s.Text})
	}
	backendTracks := <-trackResults
	for _, s := range tb.specs {
		r.Backends = append(r.Backends, *backendTracks[s.ID])
	}
	tb.addRows(r)
	tb.addZones(r, capacity, tb.addScore(r, evidence, tb.store.Calls()-calls))
	if r.Attempts > 0 {
		r.CPUPerRequestUS = float64(cpu.Microseconds()) / float64(r.Attempts)
	}
	tb.tenants(r, evidence)
	tb.addCommands(r)
	tb.addKeyedRequests(r)
	if tb.links != nil {
		r.Links = tb.links.FaultRecords()
	}
	return r, nil
}
