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
	// MaxAddedMS is how many milliseconds the short check lets a build add to the bare proxy's median.
	MaxAddedMS = 1.0
	// ShortRounds is how many rounds the short check runs at most. The best one counts, since noise of the
	// machine only adds to a latency, and a latency that the build causes appears in each round.
	ShortRounds = 3
	shortWarm   = 300 * time.Millisecond
	shortLength = 1100 * time.Millisecond
)

// ErrTooSlow says that a build added more than MaxAddedMS to the median in each round.
var ErrTooSlow = errors.New("the added median is too high")

// ErrVoid says that all rounds of a check were void.
var ErrVoid = errors.New("no round could be judged")

// Short is the check for CI: each build at ShortRate only. It prints to out how each round went, and returns
// ErrTooSlow or ErrVoid for the first build that does not pass.
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

// assessRounds calls play until each build has passed in one round, at most c.Repeats times.
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

// assessRound prints a round, and updates in best the lowest latency that each build has added.
func (r *Report) assessRound(out io.Writer, round int, best map[string]float64) {
	for _, b := range r.Config.Builds {
		m, ok := r.find(b.Name, ShortRate, round)
		bare, bareOK := r.find(Bare, ShortRate, round)
		if !ok || !bareOK {
			continue
		}
		added := m.P50 - bare.P50
		if lowest, measured := best[b.Name]; !measured || added < lowest {
			best[b.Name] = added
		}
		fmt.Fprintf(out, "round %d: %s p50 %.2f ms, bare %.2f ms: added %.2f ms (p99 %.2f against %.2f)\n",
			round+1, b.Name, m.P50, bare.P50, added, m.P99, bare.P99)
	}
}

// checkAdded returns nil if each build has added at most MaxAddedMS in some round.
func checkAdded(c Config, best map[string]float64) error {
	for _, b := range c.Builds {
		added, measured := best[b.Name]
		if !measured {
			return fmt.Errorf("build %s: %w", b.Name, ErrVoid)
		}
		if added > MaxAddedMS {
			return fmt.Errorf("build %s: %w: %.2f ms at the best of the rounds, %.2f at most",
				b.Name, ErrTooSlow, added, MaxAddedMS)
		}
	}
	return nil
}
