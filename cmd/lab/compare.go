package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"

	"hitchspring/internal/lab"
)

// subject is a program with a store, as compare plays it.
type subject struct {
	name             string
	cpu, peak        []float64 // us a try, MB
	ofBase, moreThan []float64 // the same against the other commit's, in the same round
}

func (s *subject) add(cpu, peak, baseCPU, basePeak float64) {
	s.cpu, s.peak = append(s.cpu, cpu), append(s.peak, peak)
	s.ofBase, s.moreThan = append(s.ofBase, cpu/baseCPU), append(s.moreThan, peak-basePeak)
}

// side sums up every second process of a run, from the given one on.
func side(r *lab.Report, from int) (cpuUS, peakMB float64) {
	cpu, tries := 0.0, 0
	for i := from; i < len(r.Processes); i += 2 {
		cpu += r.Processes[i].CPUS
		tries += r.Processes[i].Tries
		peakMB += r.Processes[i].PeakMB / float64(len(r.Processes)/2)
	}
	return cpu * 1e6 / float64(max(1, tries)), peakMB
}

// compare plays the demo's load on four ingresses at once, two of another commit and two of this one, so that both meet
// the same machine, and tells what a try costs each; then the same load on this one's with Redis.
func compare(ctx context.Context, args []string, out io.Writer) (code int, err error) {
	f := newFlags("compare")
	base := f.String("base", "HEAD", "")
	rounds := f.Int("rounds", 3, "")
	done, err := f.parse(args)
	if err != nil {
		return failed, err
	}
	defer done()
	dir, err := os.MkdirTemp("", "lab-compare-")
	if err != nil {
		return failed, err
	}
	defer os.RemoveAll(dir)
	tree := filepath.Join(dir, "base")
	if err := command(ctx, "", "git", "worktree", "add", "--detach", tree, *base); err != nil {
		return failed, err
	}
	defer func() {
		err = errors.Join(err, command(context.WithoutCancel(ctx), "", "git", "worktree", "remove", "--force", tree))
	}()
	before, now := filepath.Join(dir, "before"), filepath.Join(dir, "now")
	if err := command(ctx, tree, "go", "build", "-o", before, "./cmd/hitchspring"); err != nil {
		return failed, err
	}
	if err := command(ctx, "", "go", "build", "-o", now, "hitchspring/cmd/hitchspring"); err != nil {
		return failed, err
	}
	was, is, redis := &subject{name: *base + " tally"}, &subject{name: "now tally"}, &subject{name: "now redis"}
	first, breaks := f.cfg.Seed, 0
	for i := range *rounds {
		cfg := f.cfg
		cfg.Seed, cfg.Ingresses, cfg.Store = first+uint64(i), 4, lab.StoreTally
		cfg.Mixed = []string{before, now}
		if i%2 > 0 { // the ways by which channels come are uneven: both get each place in turn
			cfg.Mixed = []string{now, before}
		}
		r, err := lab.Run(ctx, cfg)
		if err != nil {
			return failed, err
		}
		baseCPU, basePeak := side(r, i%2)
		cpu, peak := side(r, 1-i%2)
		was.add(baseCPU, basePeak, baseCPU, basePeak)
		is.add(cpu, peak, baseCPU, basePeak)
		cfg.Mixed, cfg.Ingress, cfg.Store = nil, now, lab.StoreRedis
		rr, err := lab.Run(ctx, cfg)
		if err != nil {
			return failed, err
		}
		_, redisPeak := side(rr, 0)
		redis.add(rr.CPUPerRequestUS, redisPeak, baseCPU, basePeak)
		breaks += len(r.Breaks) + len(r.Crashed) + len(rr.Breaks) + len(rr.Crashed)
		fmt.Fprintf(out, "round %d  base %.1f us %.1f MB   now %.1f us %.1f MB   now with Redis %.1f us %.1f MB   breaks so far %d\n", i, baseCPU, basePeak,
			cpu, peak, rr.CPUPerRequestUS, redisPeak, breaks)
	}
	fmt.Fprintf(out, "\nmedians of %d rounds; in brackets against %s in the same round\n", *rounds, was.name)
	for _, s := range []*subject{was, is, redis} {
		fmt.Fprintf(out, "  %-18s  %6.1f us of CPU a try (%.3f)  %5.1f MB at the most (%+.1f)\n", s.name, median(s.cpu), median(s.ofBase), median(s.peak), median(s.moreThan))
	}
	if breaks > 0 {
		return broken, nil
	}
	return clean, nil
}

func median(v []float64) float64 {
	s := slices.Sorted(slices.Values(v))
	if len(s) == 0 {
		return 0
	}
	return (s[(len(s)-1)/2] + s[len(s)/2]) / 2
}

func command(ctx context.Context, dir, name string, args ...string) error {
	cmd := exec.CommandContext(ctx, name, args...)
	cmd.Dir = dir
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("%s %s: %w: %s", name, strings.Join(args, " "), err, strings.TrimSpace(string(out)))
	}
	return nil
}
