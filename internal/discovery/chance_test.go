package discovery

import (
	"flag"
	"math/rand/v2"
)

// seedOf is a further seed of the trials, to look at more of them than the standing ones.
var seedOf = flag.Uint64("seed", 1, "seed of the trials of outages")

// seeded gives a watcher chances of its own, the same in each run.
func seeded(d *Watcher, seed, caller uint64) {
	d.random = rand.New(rand.NewPCG(seed, caller)).Float64
}
