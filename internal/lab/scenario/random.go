package scenario

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// faultStream is the random stream of the faults. It makes them independent of everything else that is drawn from
	// the seed.
	faultStream = 23
	// earliestRandomFault is the earliest time of a random fault.
	earliestRandomFault = 500 * time.Millisecond
	// latestRandomFault is the latest time of a random fault, as a fraction of the load's length. The fault's effect
	// must show before the end.
	latestRandomFault = 0.85
)

// faultGenerator draws the texts of faults from a seed. Its draws must keep their order, or a seed gives other faults.
type faultGenerator struct {
	rng       *rand.Rand
	backends  int
	ingresses int
}

func (g *faultGenerator) backend() int { return g.rng.IntN(g.backends) }

func (g *faultGenerator) ingress() int { return g.rng.IntN(g.ingresses) }

func (g *faultGenerator) zone() string { return zoneNames[g.rng.IntN(len(zoneNames))] }

// factor draws a value between low and low+width.
func (g *faultGenerator) factor(low, width float64) float64 { return low + width*g.rng.Float64() }

// span draws a duration in whole milliseconds.
func (g *faultGenerator) span(shortest, longest time.Duration) time.Duration {
	drawn := shortest + time.Duration(g.rng.Float64()*float64(longest-shortest))
	return drawn.Round(time.Millisecond)
}

// randomFaults draw the text of one fault each, without its time.
var randomFaults = []func(g *faultGenerator) string{
	func(g *faultGenerator) string {
		return fmt.Sprintf("node/%d:slow %.1f %v",
			g.backend(), g.factor(2.2, 6.1), g.span(2*time.Second, 6*time.Second))
	},
	func(g *faultGenerator) string {
		return fmt.Sprintf("node/%d:pause %v", g.backend(), g.span(200*time.Millisecond, 900*time.Millisecond))
	},
	func(g *faultGenerator) string {
		return fmt.Sprintf("node/%d:neighbour %.2f 1s 700ms %v",
			g.backend(), g.factor(0.37, 0.34), g.span(3*time.Second, 8*time.Second))
	},
	func(g *faultGenerator) string { return fmt.Sprintf("node/%d:drain", g.backend()) },
	func(g *faultGenerator) string { return fmt.Sprintf("node/%d:restart", g.backend()) },
	func(g *faultGenerator) string { return fmt.Sprintf("node/%d:drop-after for 2s share 0.1", g.backend()) },
	func(g *faultGenerator) string {
		return fmt.Sprintf("node/%d:drop-before for 2s share 0.1", g.backend())
	},
	func(g *faultGenerator) string { return fmt.Sprintf("node/%d:fail for 2s share 0.1", g.backend()) },
	func(g *faultGenerator) string {
		return fmt.Sprintf("node/%d:cut %d %v",
			g.backend(), g.ingress(), g.span(500*time.Millisecond, 2*time.Second))
	},
	func(g *faultGenerator) string {
		return fmt.Sprintf("fleet:slow %.1f %v", g.factor(1.4, 1.6), g.span(time.Second, 4*time.Second))
	},
	func(g *faultGenerator) string {
		return fmt.Sprintf("hall/%s:slow 5 %v", g.zone(), g.span(time.Second, 3*time.Second))
	},
	func(g *faultGenerator) string {
		return fmt.Sprintf("ingress/%d:restart %v", g.ingress(), g.span(200*time.Millisecond, 2*time.Second))
	},
	func(g *faultGenerator) string {
		return fmt.Sprintf("discovery/%d:mute %v", g.ingress(), g.span(500*time.Millisecond, 3*time.Second))
	},
	func(g *faultGenerator) string {
		return fmt.Sprintf("store:stop %v", g.span(200*time.Millisecond, 2*time.Second))
	},
	func(g *faultGenerator) string {
		return fmt.Sprintf("store:restart %v", g.span(100*time.Millisecond, time.Second))
	},
}

// drawFaults returns the texts of the random faults of a seed.
func (s *Scenario) drawFaults(seed uint64) []string {
	generator := &faultGenerator{
		rng:       rand.New(rand.NewPCG(seed, faultStream)),
		backends:  s.Backends,
		ingresses: s.Ingresses,
	}
	latest := time.Duration(float64(s.Length) * latestRandomFault)
	var faults []string
	for range s.RandomFaults {
		fault := randomFaults[generator.rng.IntN(len(randomFaults))](generator)
		faults = append(faults, fmt.Sprintf("%s at %v", fault, generator.span(earliestRandomFault, latest)))
	}
	return faults
}
