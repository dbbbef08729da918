package policy

import "hash/fnv"

// Where there are many instances, each sees little of a tenant, a backend or a
// zone, and what each does is done as often as there are instances. Constants that
// stand for the whole fleet are divided by their number when they are used.

const (
	// maxSmallFleet is the most instances with which each of them sees enough of each
	// tenant and each backend to decide by that alone.
	maxSmallFleet = 20
	// minSubset is how many backends one instance of a large fleet prefers at least.
	minSubset = 12
	// maxSubsetCount is the most parts that the backends are divided into.
	maxSubsetCount = 4
	// outsideSubsetFactor is the factor on the score of backends outside the subset.
	outsideSubsetFactor = 1.5
)

// updateSubsetCount sets the number of parts that the backends are divided into.
// It is a power of two, so that a fleet of backends that shrinks adds some to an
// instance's subset and takes none away.
func (e *Engine) updateSubsetCount() {
	e.subsetCount = 1
	for e.largeFleet && e.subsetCount < maxSubsetCount && e.subsetCount*2*minSubset <= len(e.running) {
		e.subsetCount *= 2
	}
}

// hashForSubset returns the hash of a backend that decides which of four
// instances prefer it; of each such four, every backend has the same number.
func (e *Engine) hashForSubset(id BackendID) uint64 {
	four := []byte{byte(e.settings.Index >> 2), byte(e.settings.Index >> 10)}
	return hash64(string(four)+string(id)) >> 7
}

// inSubset reports whether this instance prefers the backend. An instance of a
// large fleet uses a few backends often rather than all of them seldom: it learns
// from a few answers which are slow, and keeps their connections open.
func (e *Engine) inSubset(b *backend) bool {
	return b.subsetHash%uint64(e.subsetCount) == uint64(e.settings.Index%e.subsetCount)
}

// hash64 returns the 64-bit FNV-1a hash of the text.
func hash64(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}
