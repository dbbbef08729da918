package cost

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

const (
	// ShortRate is the rate of the short check, a second.
	ShortRate = 190
	// MostAdded is what the short check lets a build add to the bare proxy's median, in milliseconds.
	MaxAddedMS = 1.0
	// ShortRounds is the short check's margin for a noisy machine: the best of so many rounds counts, and the first good
	// one ends it. Noise only ever adds to a wait, while a wait that is built in is there in each round.
	ShortRounds = 3
	shortWarm   = 300 * time.Millisecond
	shortLength = 1100 * time.Millisecond
)

// ErrTooSlow is a build that adds more to the median than MostAdded in each round.
var ErrTooSlow = errors.New("the added median is too high")

// ErrVoid is a check whose rounds were all void.
var ErrVoid = errors.New("no round could be judged")

// Short is the check for CI of each build, at ShortRate only; it says on out how each round went.
func Short(ctx context.Context, c Config, out io.Writer) (*Report, error) {
	c.Rates, c.Warm, c.Length, c.Repeats = []int{ShortRate}, shortWarm, shortLength, ShortRounds
	if err := c.Check(); err != nil {
		return nil, err
	}
	if err := c.findPrograms(); err != nil {
		return nil, err
	}
	return assessRounds(c, out, func(round int) ([]Measurement, error) { return measureRound(ctx, &c, round, nil) })
}

// judgeRounds plays rounds until each build has had a good one.
func assessRounds(c Config, out io.Writer, play func(round int) ([]Measurement, error)) (*Report, error) {
	r := &Report{Config: c}
	best := map[string]float64{}
	for round := range c.Repeats {
		done, err := play(round)
		r.Measurements = append(r.Measurements, done...)
		if err != nil {
			return r, err
		}
		for _, line := range voids(done) {
			fmt.Fprintln(out, line)
		}
		r.assessRound(out, round, best)
		if checkAdded(c, best) == nil {
			return r, nil
		}
	}
	return r, checkAdded(c, best)
}

// judgeRound prints a round and keeps the least that each build has added.
func (r *Report) assessRound(out io.Writer, round int, best map[string]float64) {
	for _, b := range r.Config.Builds {
		m, ok := r.find(b.Name, ShortRate, round)
		bare, bareOK := r.find(Bare, ShortRate, round)
		if !ok || !bareOK {
			continue
		}
		added := m.P50 - bare.P50
		if least, judged := best[b.Name]; !judged || added < least {
			best[b.Name] = added
		}
		fmt.Fprintf(out, "round %d: %s p50 %.2f ms, bare %.2f ms: added %.2f ms (p99 %.2f against %.2f)\n", round+1, b.Name, m.P50, bare.P50, added, m.P99, bare.P99)
	}
}

// verdict is nil where each build has added little enough in some round.
func checkAdded(c Config, best map[string]float64) error {
	for _, b := range c.Builds {
		added, judged := best[b.Name]
		if !judged {
			return fmt.Errorf("build %s: %w", b.Name, ErrVoid)
		}
		if added > MaxAddedMS {
			return fmt.Errorf("build %s: %w: %.2f ms at the best of the rounds, %.2f at most", b.Name, ErrTooSlow, added, MaxAddedMS)
		}
	}
	return nil
}
