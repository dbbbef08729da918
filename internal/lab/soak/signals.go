package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"
)

// Bounds of the signals around a SIGTERM.
const (
	maxHangupsBefore = 2
	maxSignalsAfter  = 6
	maxGapBefore     = 30 * time.Millisecond
	maxGapAfter      = 700 * time.Millisecond
)

// timedSignal is a signal that follows another after a gap.
type timedSignal struct {
	gap    time.Duration
	signal syscall.Signal
}

// signalSeries is what an instance is sent around its first SIGTERM.
type signalSeries struct {
	before []timedSignal // new configurations, the last of them a gap before the SIGTERM
	after  []timedSignal
}

// drawSignals draws a series. One in four is the SIGTERM alone, and half of the
// gaps are none.
func drawSignals(rng *rand.Rand) (series signalSeries) {
	if rng.IntN(4) == 0 {
		return series
	}
	gap := func(limit time.Duration) time.Duration {
		return time.Duration(rng.IntN(2)) * time.Duration(rng.Int64N(int64(limit))).Round(time.Millisecond)
	}
	for range rng.IntN(maxHangupsBefore + 1) {
		series.before = append(series.before, timedSignal{gap(maxGapBefore), syscall.SIGHUP})
	}
	kinds := []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT}
	for range 1 + rng.IntN(maxSignalsAfter) {
		series.after = append(series.after, timedSignal{gap(maxGapAfter), kinds[rng.IntN(len(kinds))]})
	}
	return series
}

// String names the signals with their gaps.
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

// sendSeries sends signals one after another, until the process has ended. A
// SIGHUP comes with a configuration that names the other agent.
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

// moveAgent gives the process a configuration that names its other agent.
func (in *instance) moveAgent() bool {
	in.mu.Lock()
	next := 1 - in.configuredAgent
	in.mu.Unlock()
	if in.write(next) != nil || in.SendSignal(syscall.SIGHUP) != nil {
		return false
	}
	in.mu.Lock()
	in.hangups = append(in.hangups, in.run.clock())
	if in.ending {
		in.lateSignals++
	}
	in.mu.Unlock()
	return true
}

// countLateSignal counts a signal that was sent after the first SIGTERM.
func (in *instance) countLateSignal() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.lateSignals++
}

// setEnding notes whether the process has been sent a SIGTERM and has not been
// started again.
func (in *instance) setEnding(ending bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.ending = ending
}
