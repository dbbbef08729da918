package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"
)

// The bounds of the signals before and after a SIGTERM.
const (
	maxReloadsBefore = 2
	maxSignalsAfter  = 6
	maxGapBefore     = 30 * time.Millisecond
	maxGapAfter      = 700 * time.Millisecond
)

// timedSignal is a signal and the time since the one before it.
type timedSignal struct {
	gap    time.Duration
	signal syscall.Signal
}

// signalSeries is the signals that an instance is sent before and after its first SIGTERM.
type signalSeries struct {
	before []timedSignal // SIGHUPs that reload the configuration
	after  []timedSignal
}

// drawSignals draws a series. One in four is empty, and half of the gaps are 0.
func drawSignals(rng *rand.Rand) (series signalSeries) {
	if rng.IntN(4) == 0 {
		return series
	}
	gap := func(limit time.Duration) time.Duration {
		return time.Duration(rng.IntN(2)) * time.Duration(rng.Int64N(int64(limit))).Round(time.Millisecond)
	}
	for range rng.IntN(maxReloadsBefore + 1) {
		series.before = append(series.before, timedSignal{gap(maxGapBefore), syscall.SIGHUP})
	}
	kinds := []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT}
	for range 1 + rng.IntN(maxSignalsAfter) {
		series.after = append(series.after, timedSignal{gap(maxGapAfter), kinds[rng.IntN(len(kinds))]})
	}
	return series
}

// String lists the signals with their gaps.
func (s signalSeries) String() string {
	var parts []string
	for _, x := range s.before {
		parts = append(parts, fmt.Sprintf("%v before by %v", x.signal, x.gap))
	}
	for _, x := range s.after {
		parts = append(parts, fmt.Sprintf("%v after %v", x.signal, x.gap))
	}
	return strings.Join(parts, ", ")
}

// sendSeries sends signals one after another until the process has ended. Before each SIGHUP it writes a configuration
// that names the other agent of discovery.
func (in *instance) sendSeries(ctx context.Context, list []timedSignal) {
	for _, x := range list {
		if !sleep(ctx, x.gap) || !in.Running() {
			return
		}
		if x.signal == syscall.SIGHUP {
			in.moveAgent()
			continue
		}
		if in.SendSignal(x.signal) == nil {
			in.countLateSignal()
		}
	}
}

// moveAgent reloads the configuration with the other agent of discovery. It returns false if that fails.
func (in *instance) moveAgent() bool {
	in.mu.Lock()
	next := 1 - in.configuredAgent
	in.mu.Unlock()
	if in.writeConfig(next) != nil || in.SendSignal(syscall.SIGHUP) != nil {
		return false
	}
	in.mu.Lock()
	in.reloadedAt = append(in.reloadedAt, in.run.clock())
	if in.terminating {
		in.lateSignals++
	}
	in.mu.Unlock()
	return true
}

// countLateSignal counts a signal sent after the first SIGTERM.
func (in *instance) countLateSignal() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.lateSignals++
}

// setTerminating records whether the process has been sent SIGTERM and has not been started again since.
func (in *instance) setTerminating(terminating bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.terminating = terminating
}
