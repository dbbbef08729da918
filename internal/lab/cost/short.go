package cost

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

const (
	// ShortRate is the load of the short check, in requests per second.
	ShortRate = 190
	// MaxAddedMS is the maximum latency that a build may add to the bare proxy's median in the short check, in
	// milliseconds.
	MaxAddedMS = 1.0
	// ShortRounds is the maximum number of rounds of the short check. The best round counts: noise from the machine
	// only increases a latency, whereas latency that the build causes appears in every round.
	ShortRounds = 3
	shortWarmUp = 300 * time.Millisecond
	shortLength = 1100 * time.Millisecond
)

// ErrTooSlow means that a build added more than MaxAddedMS to the median latency in every round.
var ErrTooSlow = errors.New("the added median latency is too high")

// ErrVoid means that a build has no round in which both its measurement and the bare proxy's were valid.
var ErrVoid = errors.New("all rounds are void")

// Short is the check for CI. It measures each build at ShortRate only, prints the result of each round to out, and
// returns ErrTooSlow or ErrVoid for the first build that does not pass.
func Short(ctx context.Context, c Config, out io.Writer) (*Report, error) {
	c.Rates, c.WarmUp, c.Length, c.Repeats = []int{ShortRate}, shortWarmUp, shortLength, ShortRounds
	if err := c.Check(); err != nil {
		return nil, err
	}
	if err := c.checkPrograms(); err != nil {
		return nil, err
	}
	return assessRounds(c, out, func(round int) ([]Measurement, error) { return measureRound(ctx, &c, round, nil) })
}

// assessRounds calls measure until each build has passed in some round, but at most c.Repeats times.
func assessRounds(c Config, out io.Writer, measure func(round int) ([]Measurement, error)) (*Report, error) {
	r := &Report{Config: c}
	best := map[string]float64{}
	for round := range c.Repeats {
		done, err := measure(round)
		r.Measurements = append(r.Measurements, done...)
		if err != nil {
			return r, err
		}
		for _, line := range voidLines(done) {
			fmt.Fprintln(out, line)
		}
		r.assessRound(out, round, best)
		if checkAdded(c, best) == nil {
			return r, nil
		}
	}
	return r, checkAdded(c, best)
}

// assessRound prints the result of a round, and updates best, the lowest added median latency of each build so far.
func (r *Report) assessRound(out io.Writer, round int, best map[string]float64) {
	for _, b := range r.Config.Builds {
		m, ok := r.find(b.Name, ShortRate, round)
		bare, bareOK := r.find(BareProxy, ShortRate, round)
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

// checkAdded returns an error for the first build that has added more than MaxAddedMS in all rounds, or has no valid
// round.
func checkAdded(c Config, best map[string]float64) error {
	for _, b := range c.Builds {
		added, measured := best[b.Name]
		if !measured {
			return fmt.Errorf("build %s: %w", b.Name, ErrVoid)
		}
		if added > MaxAddedMS {
			return fmt.Errorf("build %s: %w: %.2f ms in the best round, want at most %.2f ms",
				b.Name, ErrTooSlow, added, MaxAddedMS)
		}
	}
	return nil
}
