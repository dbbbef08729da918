package outlier

import (
	"math"
	"slices"
	"time"
)

const (
	slowFactor        = 6.0                   // an attempt is slow beyond this multiple of its class's mean latency
	minSlowLatency    = 20 * time.Millisecond // a shorter latency never counts as slow
	latencyMeanGain   = 0.04                  // weight of one sample in the mean latency of its class
	minLatencySamples = 8                     // samples required before the mean of a class is used
	maxFleetSampleAge = 2 * time.Second       // of an ended attempt that counts towards the fleet latency
	minFleetBackends  = 3                     // minimum of other backends with a latency; else the fleet latency is 1
)

// classLatency is the mean latency of the attempts of one request class, over all backends.
type classLatency struct {
	mean    float64 // seconds
	samples int
}

// isKnown reports whether there are enough samples to use the mean.
func (c *classLatency) isKnown() bool { return c.samples >= minLatencySamples }

// slowLimit returns the latency, in seconds, beyond which an attempt counts against its backend.
func (c *classLatency) slowLimit() float64 {
	if !c.isKnown() {
		return math.Inf(1)
	}
	return max(slowFactor*c.mean, minSlowLatency.Seconds())
}

// add adds a sample, in seconds, to the mean.
func (c *classLatency) add(latency float64) {
	gain := max(latencyMeanGain, 1/float64(c.samples+1))
	if c.isKnown() {
		latency = min(latency, slowFactor*c.mean)
	}
	c.mean += gain * (latency - c.mean)
	c.samples++
}

// class returns the latency of a request class, and adds the class if it is new.
func (d *LocalDetector) class(name string) *classLatency {
	c := d.classes[name]
	if c == nil {
		c = &classLatency{}
		d.classes[name] = c
	}
	return c
}

// fleetLatency returns the present latency of the backends other than except: the median of their last completed
// attempts and of those in flight, relative to the mean of each class. It is at least 1, and exactly 1 if fewer than
// minFleetBackends have a latency. Comparing a backend with the others keeps it from being ejected while all are slow.
func (d *LocalDetector) fleetLatency(now time.Duration, except *backendStats) float64 {
	ratios := make([]float64, 0, len(d.backends))
	for _, stats := range d.backends {
		if stats == except {
			continue
		}
		if ratio := d.currentLatencyRatio(now, stats); ratio > 0 {
			ratios = append(ratios, ratio)
		}
	}
	if len(ratios) < minFleetBackends {
		return 1
	}
	slices.Sort(ratios)
	return max(1, ratios[len(ratios)/2])
}

// currentLatencyRatio returns the latency of a backend relative to the mean of its class: of the last completed attempt
// if that was recent, or of an attempt in flight that is older than the mean. It returns 0 if there is neither.
func (d *LocalDetector) currentLatencyRatio(now time.Duration, stats *backendStats) float64 {
	ratio := 0.0
	if stats.latencyAt > 0 && now-stats.latencyAt <= maxFleetSampleAge {
		ratio = stats.latencyRatio
	}
	for _, a := range stats.inFlight {
		latency := d.class(a.class)
		if !latency.isKnown() {
			continue
		}
		elapsed := (now - a.sentAt).Seconds() / latency.mean
		// The age of an attempt in flight is a lower bound of its latency. Below the mean it is used only if there is
		// no sample.
		if elapsed > 1 || ratio == 0 && elapsed > 0.5 {
			ratio = max(ratio, elapsed)
		}
	}
	return ratio
}
